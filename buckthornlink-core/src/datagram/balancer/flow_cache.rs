//! Where flows live, as far as a balancer remembers.

use std::net::Ipv4Addr;

use crate::datagram::{Flow, FlowMap, OwnerRecord};
use crate::id::BootId;
use crate::time::Millis;

/// Most flows that a balancer remembers.
const MAX_CACHED_FLOWS: usize = 200_000;
/// Interval at which forgotten flows are swept out.
const SWEEP_INTERVAL: Millis = Millis(2_000);

/// Where one flow lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FlowLocation {
    /// At this agent, and in this start of its backend server.
    Agent {
        /// The agent.
        owner: Ipv4Addr,
        /// Start of its backend server.
        backend: BootId,
    },
}

/// An opening packet that was placed.
#[derive(Clone, Debug, Default)]
pub(super) struct Placement {
    /// When it was last placed.
    pub placed_at: Millis,
    /// Agents that were tried.
    pub tried: Vec<Ipv4Addr>,
    /// How many of them were busy.
    pub busy_count: u8,
}

#[derive(Clone, Debug)]
struct Entry {
    location: FlowLocation,
    last_seen: Millis,
    placement: Placement,
}

/// A bounded cache of the agents of flows.
#[derive(Clone, Debug, Default)]
pub(super) struct FlowCache {
    entries: FlowMap<Entry>,
    last_sweep: Millis,
}

impl FlowCache {
    /// Flows that are remembered.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Where a flow lives; its entry counts as used.
    pub(super) fn touch(&mut self, flow: &Flow, now: Millis) -> Option<FlowLocation> {
        let entry = self.entries.get_mut(flow)?;
        entry.last_seen = now;
        Some(entry.location)
    }

    /// How a flow was opened, as far as is known.
    pub(super) fn placement(&self, flow: &Flow) -> Option<(&Placement, FlowLocation)> {
        self.entries.get(flow).map(|e| (&e.placement, e.location))
    }

    /// Notes that a flow's opening packet was placed.
    pub(super) fn record_placement(
        &mut self,
        flow: &Flow,
        location: FlowLocation,
        placement: Placement,
    ) {
        let last_seen = placement.placed_at;
        let entry = Entry {
            location,
            last_seen,
            placement,
        };
        self.entries.insert(*flow, entry);
    }

    /// Notes that a flow's opening packet is to be placed anew.
    pub(super) fn reset_placement(&mut self, flow: &Flow, placement: Placement) {
        if let Some(entry) = self.entries.get_mut(flow) {
            entry.placement = placement;
        }
    }

    /// Takes the word of an owner over.
    pub(super) fn apply_owner_record(&mut self, record: &OwnerRecord, now: Millis) {
        let location = FlowLocation::Agent {
            owner: record.owner,
            backend: record.backend,
        };
        let entry = self.entries.entry(record.flow).or_insert(Entry {
            location,
            last_seen: now,
            placement: Placement::default(),
        });
        entry.location = location;
    }

    /// Forgets a flow.
    pub(super) fn remove(&mut self, flow: &Flow) {
        self.entries.remove(flow);
    }

    /// Forgets flows without packets for `idle`, sooner if there are too many.
    pub(super) fn sweep(&mut self, idle: Millis, now: Millis) {
        if now.since(self.last_sweep) < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        let is_full = self.entries.len() > MAX_CACHED_FLOWS;
        let span = if is_full { Millis(idle.0 / 8) } else { idle };
        self.entries.retain(|_, e| now.since(e.last_seen) <= span);
    }
}
