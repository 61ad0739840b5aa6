//! The set of flows that a backend server holds, in the form in which it is saved.

use serde::{Deserialize, Serialize};

use super::{Flow, FlowState};
use crate::id::BootId;
use crate::time::Millis;

/// Progress of a caller's acknowledgements from which on a flow is saved anew. Callers ignore a reset that is too far from
/// what they have acknowledged.
const MAX_ACK_LAG: u32 = 1 << 15;
/// Maximum distance between the acknowledgements of one flow in the time for which a digest counts. Another flow of the same
/// addresses begins anywhere in the range of sequence numbers.
const MAX_ACK_DISTANCE: u32 = 1 << 26;

/// The flows that a backend server held at some time, as its agent saves them in the store.
///
/// ```
/// use buckthornlink_core::BootId;
/// use buckthornlink_core::datagram::{Flow, FlowDigest, SavedFlow};
///
/// let caller = "100.64.0.7:40001".parse().unwrap();
/// let route = "198.18.0.1:443".parse().unwrap();
/// let flow = Flow { caller, route };
/// let digest = FlowDigest::new(BootId(1), [SavedFlow::held(flow, 501)]);
/// assert!(digest.contains(&flow) && digest.held(&flow).is_some());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowDigest {
    /// Boot of the backend server, or zero if it was not known.
    pub backend: BootId,
    /// The flows, in order.
    flows: Vec<SavedFlow>,
    /// When the digest was made, in milliseconds since the machine booted, or zero if that is not known.
    #[serde(default)]
    pub saved_at: Millis,
    /// Whether the backend server opens no further flows, so that it holds none that is not in the set.
    #[serde(default)]
    pub is_final: bool,
    /// Whether the process that saved the digest may have delivered packets to find out whether the backend server holds
    /// their flows.
    #[serde(default)]
    pub has_tried: bool,
}

/// One flow of a [`FlowDigest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedFlow {
    /// The flow.
    pub flow: Flow,
    /// What the caller acknowledged last.
    pub ack: u32,
    /// Whether the backend server held the flow for certain. It may never have if it was only offered the flow, or was given a packet
    /// to find out.
    pub is_held: bool,
}

impl SavedFlow {
    /// A flow that the backend server held, and what its caller acknowledged last.
    #[must_use]
    pub const fn held(flow: Flow, ack: u32) -> Self {
        Self {
            flow,
            ack,
            is_held: true,
        }
    }

    /// What is saved of a flow in this state, which opened while its boot of the backend server ran for certain if it
    /// `is_proven`.
    pub(super) fn of(flow: &Flow, state: &FlowState, is_proven: bool) -> Self {
        Self {
            flow: *flow,
            ack: state.last_ack,
            is_held: is_proven && state.is_established() && !state.is_reoffered,
        }
    }

    /// Whether a packet with this acknowledgement may be one of the same flow, and not of a later one of the same addresses.
    #[must_use]
    pub const fn is_same(&self, ack: u32) -> bool {
        let distance = ack.wrapping_sub(self.ack);
        distance <= MAX_ACK_DISTANCE || distance.wrapping_neg() <= MAX_ACK_DISTANCE
    }

    /// Whether this entry says all that a later one of the same flow does.
    const fn covers(&self, later: &Self) -> bool {
        let progress = later.ack.wrapping_sub(self.ack);
        (self.is_held || !later.is_held) && progress <= MAX_ACK_LAG
    }
}

impl FlowDigest {
    /// The digest of these flows of a boot of a backend server.
    pub fn new(backend: BootId, flows: impl IntoIterator<Item = SavedFlow>) -> Self {
        let mut flows: Vec<SavedFlow> = flows.into_iter().collect();
        flows.sort_by_key(|saved| saved.flow);
        Self {
            backend,
            flows,
            ..Self::default()
        }
    }

    /// Whether the flow is one of the set.
    #[must_use]
    pub fn contains(&self, flow: &Flow) -> bool {
        self.get(flow).is_some()
    }

    /// The entry of a flow that the backend server held for certain.
    #[must_use]
    pub fn held(&self, flow: &Flow) -> Option<&SavedFlow> {
        self.get(flow).filter(|saved| saved.is_held)
    }

    /// The flows that the backend server held for certain.
    pub fn iter_held(&self) -> impl Iterator<Item = &SavedFlow> {
        self.flows.iter().filter(|saved| saved.is_held)
    }

    /// Whether this digest says all that another one of the same boot does.
    #[must_use]
    pub fn includes(&self, other: &Self) -> bool {
        let is_included =
            |later: &SavedFlow| self.get(&later.flow).is_some_and(|s| s.covers(later));
        self.backend == other.backend && other.flows.iter().all(is_included)
    }

    /// Adds the flows of an earlier digest.
    pub fn merge(&mut self, earlier: &Self) {
        let added = earlier.flows.iter().filter(|s| !self.contains(&s.flow));
        let added: Vec<SavedFlow> = added.copied().collect();
        for saved in &mut self.flows {
            saved.is_held |= earlier.held(&saved.flow).is_some();
        }
        self.flows.extend(added);
        self.flows.sort_by_key(|saved| saved.flow);
    }

    /// Number of flows.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether there is no flow.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Whether the digest may be about this boot of a backend server; either may be unknown.
    #[must_use]
    pub fn is_about(&self, backend: BootId) -> bool {
        let unknown = BootId::default();
        self.backend == backend || self.backend == unknown || backend == unknown
    }

    fn get(&self, flow: &Flow) -> Option<&SavedFlow> {
        let index = self.flows.binary_search_by_key(flow, |s| s.flow);
        index.ok().map(|i| &self.flows[i])
    }
}
