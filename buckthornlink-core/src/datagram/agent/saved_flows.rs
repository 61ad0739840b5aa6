//! Flows that an agent saves in the store for its next process, which may be the only one that can tell after
//! a loss of all processes.

use super::Agent;
use crate::datagram::{Effect, Flow, FlowDigest};
use crate::time::Millis;

/// Minimum interval between two saves.
const MIN_SAVE_INTERVAL: Millis = Millis(8_000);
/// Interval between two saves for each agent of the fleet: all of them together save 40 times a second.
const SAVE_INTERVAL_PER_AGENT: Millis = Millis(25);
/// Minimum age of a flow that is saved; shorter ones end before that is of use.
const MIN_SAVED_AGE: Millis = Millis(1_000);

/// What this process has saved, and what an earlier one had.
#[derive(Clone, Debug, Default)]
pub(super) struct SavedFlows {
    /// What an earlier process saved, and when it was read.
    loaded: Option<(FlowDigest, Millis)>,
    saved: FlowDigest,
    saved_at: Millis,
}

impl Agent {
    /// Takes over what an earlier process saved. A later read finds what this process saved itself.
    pub(super) fn load_saved_flows(&mut self, digest: FlowDigest, now: Millis) {
        if self.saved_flows.loaded.is_some() {
            return;
        }
        self.saved_flows.saved = digest.clone();
        self.saved_flows.saved_at = now;
        self.saved_flows.loaded = Some((digest, now));
    }

    /// Whether an earlier process saved that the backend server holds a flow.
    pub(super) fn is_saved(&self, flow: &Flow) -> bool {
        let loaded = self.saved_flows.loaded.as_ref();
        loaded.is_some_and(|(digest, _)| {
            digest.is_about(self.backend.boot()) && digest.contains(flow)
        })
    }

    /// Saves the flows of the backend server if there are new ones, once those of an earlier process are known. Ended
    /// ones do no harm there.
    pub(super) fn save_flows(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let Some((loaded, loaded_at)) = &self.saved_flows.loaded else {
            return;
        };
        let agents = self.gossip.membership().all_agents().count() as u64;
        let interval = MIN_SAVE_INTERVAL.max(Millis(SAVE_INTERVAL_PER_AGENT.0 * agents));
        let is_due = now.since(self.saved_flows.saved_at) >= interval;
        if !is_due && !self.is_leaving {
            return;
        }
        let boot = self.backend.boot();
        let open = self.flows.iter_established();
        let lasting = open.filter(|(_, s)| now.since(s.opened_at) >= MIN_SAVED_AGE);
        let mut digest = FlowDigest::new(boot, lasting.map(|(flow, _)| flow));
        if now.since(*loaded_at) <= self.table.idle && loaded.is_about(boot) {
            digest.merge(loaded);
        }
        self.saved_flows.saved_at = now;
        if !self.saved_flows.saved.includes(&digest) {
            self.saved_flows.saved = digest.clone();
            out.push(Effect::SaveFlows(digest));
        }
    }
}
