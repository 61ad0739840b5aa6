//! The flows that an agent knows.

use std::net::Ipv4Addr;

use super::{Flow, FlowMap};
use crate::id::BootId;
use crate::time::Millis;

/// Most flows that an agent remembers, its backend server's and others'.
const MAX_FLOWS: usize = 100_000;

/// What an agent knows about one flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Ownership {
    /// Nothing.
    #[default]
    Unknown,
    /// The backend server was given the opening packet.
    Offered,
    /// The backend server answered the opening packet with this sequence number.
    HalfOpen {
        /// Sequence number of the answer.
        seq: u32,
    },
    /// The backend server holds the flow.
    Open,
    /// The backend server was given a packet, to see whether it holds the flow.
    Trial {
        /// Who wants to know, if another agent does.
        requester: Option<Ipv4Addr>,
    },
    /// The backend server does not hold the flow.
    Remote {
        /// The agent that owns the flow, if it is known, and the start of its backend server.
        owner: Option<(Ipv4Addr, BootId)>,
    },
    /// The backend server that held the flow has ended.
    Ended,
}

/// One flow of [`Flows`].
#[derive(Clone, Debug, Default)]
pub struct FlowState {
    /// What is known about it.
    pub ownership: Ownership,
    /// When the backend server took it over.
    pub opened_at: Millis,
    /// When a packet of it last came.
    pub last_seen: Millis,
    /// Since when the backend server owes an answer, if it does.
    pub waiting_since: Option<Millis>,
    /// Sequence number after the last data of the caller.
    pub request_end: Option<u32>,
    /// Whether the caller, or the backend server, has sent its end.
    pub closed_sides: [bool; 2],
    /// The agent that was told that the flow lives here.
    pub recorded_home: Option<(Ipv4Addr, BootId)>,
    /// When a balancer was last told so.
    pub last_record: Option<Millis>,
    /// When all agents were last asked for the flow.
    pub last_search: Option<Millis>,
    /// How often all agents were asked.
    pub search_rounds: u8,
    /// Agents that deny the flow.
    pub denied_by: Vec<Ipv4Addr>,
    /// What the caller last acknowledged.
    pub last_ack: u32,
}

/// The flows that an agent knows, with counts of those that its backend server holds.
#[derive(Clone, Debug, Default)]
pub struct Flows {
    states: FlowMap<FlowState>,
    open_count: usize,
    waiting_count: usize,
}

impl Flows {
    /// Flows that the backend server holds or was offered.
    #[must_use]
    pub const fn open_count(&self) -> usize {
        self.open_count
    }

    /// Open flows for which the backend server owes an answer.
    #[must_use]
    pub const fn waiting_count(&self) -> usize {
        self.waiting_count
    }

    /// Flows that are remembered, also those of others.
    #[must_use]
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether no flow is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// What is known about a flow.
    #[must_use]
    pub fn get(&self, flow: &Flow) -> Option<&FlowState> {
        self.states.get(flow)
    }

    /// Changes a flow and keeps the counts.
    pub fn update<R>(&mut self, flow: &Flow, f: impl FnOnce(&mut FlowState) -> R) -> R {
        let state = self.states.entry(*flow).or_default();
        let before = state.counts();
        let result = f(state);
        let after = state.counts();
        self.open_count = self.open_count + usize::from(after.0) - usize::from(before.0);
        self.waiting_count = self.waiting_count + usize::from(after.1) - usize::from(before.1);
        result
    }

    /// Forgets a flow.
    pub fn remove(&mut self, flow: &Flow) {
        if self.states.contains_key(flow) {
            self.update(flow, |state| state.ownership = Ownership::Unknown);
            self.states.remove(flow);
        }
    }

    /// Marks the flows that an ended backend server held.
    pub fn end_all(&mut self) {
        for state in self.states.values_mut() {
            state.ownership = match state.ownership {
                Ownership::Offered | Ownership::HalfOpen { .. } | Ownership::Open => {
                    Ownership::Ended
                }
                Ownership::Trial { .. } => Ownership::Unknown,
                other => other,
            };
        }
        self.open_count = 0;
        self.waiting_count = 0;
    }

    /// Forgets flows without packets since `idle`, and all if there are too many.
    pub fn expire(&mut self, idle: Millis, now: Millis) {
        let is_full = self.states.len() > MAX_FLOWS;
        let span = if is_full { Millis(idle.0 / 8) } else { idle };
        self.states.retain(|_, s| now.since(s.last_seen) <= span);
        self.open_count = self.states.values().filter(|s| s.counts().0).count();
        self.waiting_count = self.states.values().filter(|s| s.counts().1).count();
    }

    /// The flows that the backend server holds.
    pub fn iter_established(&self) -> impl Iterator<Item = (&Flow, &FlowState)> {
        self.states
            .iter()
            .filter(|(_, s)| s.ownership == Ownership::Open && !s.is_closed())
    }
}

impl FlowState {
    /// Whether both ends have sent their end.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        self.closed_sides[0] && self.closed_sides[1]
    }

    /// Whether the flow counts as open, and as waiting.
    const fn counts(&self) -> (bool, bool) {
        let is_open = matches!(
            self.ownership,
            Ownership::Offered | Ownership::HalfOpen { .. } | Ownership::Open
        ) && !self.is_closed();
        (is_open, is_open && self.waiting_since.is_some())
    }
}
