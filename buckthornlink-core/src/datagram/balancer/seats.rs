//! Where flows live, as far as a balancer remembers.

use std::net::Ipv4Addr;

use crate::datagram::{Flow, FlowMap, OwnerRecord};
use crate::id::BootId;
use crate::time::Millis;

/// Most flows that a balancer remembers.
const MAX_SEATS: usize = 200_000;
/// Interval at which forgotten flows are swept out.
const SWEEP_INTERVAL: Millis = Millis(2_000);

/// Where one flow lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Seat {
    /// At this agent, and in this start of its backend server.
    Lives {
        /// The agent.
        owner: Ipv4Addr,
        /// Start of its backend server.
        backend: BootId,
    },
}

/// An opening packet that was placed.
#[derive(Clone, Debug, Default)]
pub(super) struct Opening {
    /// When it was last placed.
    pub at: Millis,
    /// Agents that were tried.
    pub tried: Vec<Ipv4Addr>,
    /// How many of them were busy.
    pub busy: u8,
}

#[derive(Clone, Debug)]
struct Entry {
    seat: Seat,
    seen: Millis,
    opening: Opening,
}

/// A bounded cache of the agents of flows.
#[derive(Clone, Debug, Default)]
pub(super) struct Seats {
    entries: FlowMap<Entry>,
    swept: Millis,
}

impl Seats {
    /// Flows that are remembered.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Where a flow lives; its entry counts as used.
    pub(super) fn touch(&mut self, flow: &Flow, now: Millis) -> Option<Seat> {
        let entry = self.entries.get_mut(flow)?;
        entry.seen = now;
        Some(entry.seat)
    }

    /// How a flow was opened, as far as is known.
    pub(super) fn opening(&self, flow: &Flow) -> Option<(&Opening, Seat)> {
        self.entries.get(flow).map(|e| (&e.opening, e.seat))
    }

    /// Notes that a flow's opening packet was placed.
    pub(super) fn place(&mut self, flow: &Flow, seat: Seat, opening: Opening) {
        let seen = opening.at;
        let entry = Entry {
            seat,
            seen,
            opening,
        };
        self.entries.insert(*flow, entry);
    }

    /// Notes that a flow's opening packet is to be placed anew.
    pub(super) fn reopen(&mut self, flow: &Flow, opening: Opening) {
        if let Some(entry) = self.entries.get_mut(flow) {
            entry.opening = opening;
        }
    }

    /// Takes the word of an owner over.
    pub(super) fn learn(&mut self, note: &OwnerRecord, now: Millis) {
        let seat = Seat::Lives {
            owner: note.owner,
            backend: note.backend,
        };
        let entry = self.entries.entry(note.flow).or_insert(Entry {
            seat,
            seen: now,
            opening: Opening::default(),
        });
        entry.seat = seat;
    }

    /// Forgets a flow.
    pub(super) fn remove(&mut self, flow: &Flow) {
        self.entries.remove(flow);
    }

    /// Forgets flows without packets for `idle`, sooner if there are too many.
    pub(super) fn sweep(&mut self, idle: Millis, now: Millis) {
        if now.since(self.swept) < SWEEP_INTERVAL {
            return;
        }
        self.swept = now;
        let is_full = self.entries.len() > MAX_SEATS;
        let span = if is_full { Millis(idle.0 / 8) } else { idle };
        self.entries.retain(|_, e| now.since(e.seen) <= span);
    }
}
