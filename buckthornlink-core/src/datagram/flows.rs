//! The flows that an agent knows.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use super::{Flow, FlowMap, Mode};
use crate::id::BootId;
use crate::time::Millis;

/// Maximum flows that an agent remembers for the full retention, those of other owners included.
const MAX_FLOWS: usize = 100_000;

/// Time for which the owner record of another agent's flow is kept. The owner sends it once, and packets of the
/// flow that go to the owner straight don't show here.
const RECORD_RETENTION: Millis = Millis(90_000);

/// Whether the local backend server holds a flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Ownership {
    /// Nothing is known about the flow.
    #[default]
    Unknown,
    /// The opening packet was delivered to the backend server.
    Offered,
    /// The backend server answered the opening packet; the caller is yet to acknowledge that.
    HalfOpen {
        /// Sequence number of the answer.
        seq: u32,
    },
    /// The backend server holds the flow.
    Open,
    /// Others have a record that the backend server holds the flow; this process has not seen it yet.
    Recorded {
        /// The boot of the backend server that the record names.
        backend: BootId,
    },
    /// A packet was delivered to the backend server to find out whether it holds the flow.
    Trial {
        /// The home agent that asked for that. There is none if others know this agent as the owner.
        requester: Option<Ipv4Addr>,
    },
    /// The backend server does not hold the flow.
    Remote {
        /// The agent that owns the flow and the boot of its backend server, if known.
        owner: Option<(Ipv4Addr, BootId)>,
    },
    /// The backend server held the flow, and has ended or lost it. A flow that it was only offered, or
    /// whose caller did not acknowledge its answer, never gets here: it may be open elsewhere.
    Ended,
}

impl Ownership {
    /// What is known of a flow once the backend server has ended.
    const fn after_end(self) -> Self {
        match self {
            Self::Open => Self::Ended,
            Self::Offered | Self::HalfOpen { .. } => Self::Remote { owner: None },
            Self::Trial { .. } | Self::Recorded { .. } => Self::Unknown,
            Self::Unknown | Self::Remote { .. } | Self::Ended => self,
        }
    }
}

/// A packet that its flow's home agent had tried by an agent that may hold the flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Try {
    /// The agent.
    pub agent: Ipv4Addr,
    /// When the packet was sent to it.
    pub at: Millis,
    /// Whether its backend server returned the packet.
    pub has_failed: bool,
    /// Whether this agent has not handed it out, but knows of it by [`Message::Tried`](super::Message::Tried), last at
    /// that time.
    pub is_reported: bool,
}

/// A packet that is held until it may be tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldTry {
    /// The instance that sent it.
    pub from: Ipv4Addr,
    /// Why it was sent.
    pub mode: Mode,
    /// When it arrived.
    pub since: Millis,
    /// When it was last held.
    pub at: Millis,
    /// Whether it has been reduced once more since.
    pub is_back: bool,
}

/// State of one flow in [`Flows`].
#[derive(Clone, Debug, Default)]
pub struct FlowState {
    /// Whether the local backend server holds the flow.
    pub ownership: Ownership,
    /// When the flow was offered to the backend server, or last became open.
    pub opened_at: Millis,
    /// When a packet or an owner record of the flow last arrived.
    pub last_seen: Millis,
    /// Arrival of the oldest request without a response.
    pub waiting_since: Option<Millis>,
    /// How often the backend server had to fill its slots to process the requests up to that one.
    pub queue_rounds: u16,
    /// Sequence number after the last data from the caller.
    pub request_end: Option<u32>,
    /// Whether the caller and the backend server, in this order, have closed their side.
    pub closed_sides: [bool; 2],
    /// The home agent that was sent the owner record, and its boot.
    pub recorded_home: Option<(Ipv4Addr, BootId)>,
    /// The other owner's process that knows that it owns the flow.
    pub informed_owner: Option<BootId>,
    /// When a packet of the flow last caused an owner record to be sent.
    pub last_record: Option<Millis>,
    /// When other agents were last queried for the flow.
    pub last_search: Option<Millis>,
    /// Agents that were queried for the flow in the current search.
    pub queried: BTreeSet<Ipv4Addr>,
    /// Agents that have denied the flow.
    pub denied_by: BTreeSet<Ipv4Addr>,
    /// The agent whose backend server held the flow and has ended, by what that agent saved.
    pub ended_at: Option<Ipv4Addr>,
    /// Whether the caller was sent a reset.
    pub was_reset: bool,
    /// Sequence number of the answer with which the flow opened, if this process saw that.
    pub handshake: Option<u32>,
    /// Whether the backend server answered an opening packet anew while the flow was open. The caller may
    /// have begun another flow, with another backend server.
    pub is_reoffered: bool,
    /// Last acknowledgement number from the caller.
    pub last_ack: u32,
    /// Number of trial deliveries of the flow to the backend server, at most 255.
    pub trial_count: u8,
    /// When the last trial delivery was.
    pub tried_at: Millis,
    /// Whether the flow's home agent counts a packet that may have been tried here: it has asked for that, or its search
    /// was told of it.
    pub is_try_counted: bool,
    /// The packet that is held until it may be tried.
    pub held_try: Option<HeldTry>,
    /// When the current search for the flow began.
    pub searched_since: Option<Millis>,
    /// When a packet of the flow was last held.
    pub held_at: Option<Millis>,
    /// Tries that this agent, as the flow's home agent, has handed out since the owner was last known.
    pub tries: Vec<Try>,
}

/// The flows that an agent knows, with counts of those that its backend server holds.
#[derive(Clone, Debug, Default)]
pub struct Flows {
    states: FlowMap<FlowState>,
    open_count: usize,
    waiting_count: usize,
}

impl Flows {
    /// Number of flows that the backend server holds or was offered.
    #[must_use]
    pub const fn open_count(&self) -> usize {
        self.open_count
    }

    /// Number of open flows with an outstanding request.
    #[must_use]
    pub const fn waiting_count(&self) -> usize {
        self.waiting_count
    }

    /// Number of remembered flows, those of other owners included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether no flow is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Returns the state of a flow, if any is known.
    #[must_use]
    pub fn get(&self, flow: &Flow) -> Option<&FlowState> {
        self.states.get(flow)
    }

    /// Updates the state of a flow, which is created if needed, and the counts.
    pub fn update<R>(&mut self, flow: &Flow, f: impl FnOnce(&mut FlowState) -> R) -> R {
        let state = self.states.entry(*flow).or_default();
        let before = state.counts();
        let result = f(state);
        let after = state.counts();
        self.open_count = self.open_count + usize::from(after.0) - usize::from(before.0);
        self.waiting_count = self.waiting_count + usize::from(after.1) - usize::from(before.1);
        result
    }

    /// Removes a flow and updates the counts.
    pub fn remove(&mut self, flow: &Flow) {
        if self.states.contains_key(flow) {
            self.update(flow, |state| state.ownership = Ownership::Unknown);
            self.states.remove(flow);
        }
    }

    /// Marks the flows of a backend server that has ended which opened up to `until`, and forgets its trial deliveries. Returns
    /// those that were open, in order.
    pub fn end_opened(&mut self, until: Millis) -> Vec<Flow> {
        let mut ended = Vec::new();
        for (flow, state) in &mut self.states {
            if state.is_offered() && state.opened_at > until {
                continue;
            }
            if state.is_established() {
                ended.push(*flow);
            }
            state.ownership = state.ownership.after_end();
        }
        self.count();
        ended.sort_unstable();
        ended
    }

    /// Has the home agents of all open flows told of them once more; returns whether there are any.
    pub fn renew_records(&mut self) -> bool {
        let mut has_open = false;
        for state in self.states.values_mut().filter(|s| s.is_established()) {
            state.recorded_home = None;
            has_open = true;
        }
        has_open
    }

    /// Leaves a time in which this process was away, which ends now, out of the time without packets.
    pub fn exclude_absence(&mut self, absence: Millis, now: Millis) {
        for state in self.states.values_mut() {
            state.last_seen = now.min(state.last_seen + absence);
        }
    }

    /// Removes flows without packets for `idle`, or for an eighth of it if there are too many.
    pub fn remove_expired(&mut self, idle: Millis, now: Millis) {
        let is_full = self.states.len() > MAX_FLOWS;
        let span = if is_full { Millis(idle.0 / 8) } else { idle };
        self.states.retain(|_, s| {
            let is_record = s.remote_owner().is_some() && !is_full;
            let span = if is_record { RECORD_RETENTION } else { span };
            now.since(s.last_seen) <= span
        });
        self.count();
    }

    fn count(&mut self) {
        self.open_count = self.states.values().filter(|s| s.counts().0).count();
        self.waiting_count = self.states.values().filter(|s| s.counts().1).count();
    }

    /// Returns the flows whose trial delivery the backend server has not answered, in order, with
    /// the agents that search for them.
    #[must_use]
    pub fn pending_trials(&self) -> Vec<(Flow, Option<Ipv4Addr>)> {
        let trials = self
            .states
            .iter()
            .filter_map(|(flow, s)| match s.ownership {
                Ownership::Trial { requester } => Some((*flow, requester)),
                _ => None,
            });
        let mut trials: Vec<_> = trials.collect();
        trials.sort_unstable();
        trials
    }

    /// Returns the flows whose owner is known: the open ones that are not closed on both sides, and those
    /// that others have recorded here or elsewhere.
    pub fn iter_located(&self) -> impl Iterator<Item = (&Flow, &FlowState)> {
        let located = self.states.iter();
        located.filter(|(_, s)| {
            let is_recorded = matches!(s.ownership, Ownership::Recorded { .. });
            s.is_established() || s.remote_owner().is_some() || is_recorded
        })
    }

    /// Returns all remembered flows.
    pub fn iter(&self) -> impl Iterator<Item = (&Flow, &FlowState)> {
        self.states.iter()
    }

    /// Returns the open flows that are not closed on both sides.
    pub fn iter_established(&self) -> impl Iterator<Item = (&Flow, &FlowState)> {
        self.states.iter().filter(|(_, s)| s.is_established())
    }
}

impl FlowState {
    /// Whether both sides are closed.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        self.closed_sides[0] && self.closed_sides[1]
    }

    /// Whether the backend server holds the flow and neither side has closed it for good.
    #[must_use]
    pub fn is_established(&self) -> bool {
        self.ownership == Ownership::Open && !self.is_closed()
    }

    /// The other agent that owns the flow and the boot of its backend server, if known.
    #[must_use]
    pub const fn remote_owner(&self) -> Option<(Ipv4Addr, BootId)> {
        match self.ownership {
            Ownership::Remote { owner } => owner,
            _ => None,
        }
    }

    /// Whether the backend server was given the opening packet of a flow that has not ended since.
    #[must_use]
    pub const fn is_offered(&self) -> bool {
        let is_given = matches!(
            self.ownership,
            Ownership::Offered | Ownership::HalfOpen { .. } | Ownership::Open
        );
        is_given && !self.is_closed()
    }

    /// Whether the flow counts as open, and as waiting.
    const fn counts(&self) -> (bool, bool) {
        let is_open = self.is_offered();
        (is_open, is_open && self.waiting_since.is_some())
    }
}
