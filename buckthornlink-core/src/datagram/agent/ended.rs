//! Flows of a boot of the backend server that has ended.
//!
//! Their callers are told before they send another request, since one that was sent on a dead flow may
//! not be repeated unless it is idempotent.

use super::Agent;
use crate::datagram::backend::LATE_PACKET_TIME;
use crate::datagram::{Effect, Evidence, Flow, FlowState, Ownership, Reason};
use crate::time::Millis;

/// Flows whose callers are yet to be told that the backend server has ended.
#[derive(Clone, Debug, Default)]
pub(super) struct EndedFlows {
    flows: Vec<Flow>,
    ended_at: Millis,
    evidence: Option<Evidence>,
}

impl EndedFlows {
    /// Number of flows whose callers are yet to be told.
    pub(super) const fn len(&self) -> usize {
        self.flows.len()
    }
}

impl Agent {
    /// Marks the flows of the backend server's last boot that opened up to `opened_until` as ended; their callers are told shortly. Later
    /// ones may have opened at the next boot.
    pub(super) fn end_flows(&mut self, evidence: Evidence, opened_until: Millis, now: Millis) {
        let ended = self.flows.end_opened(opened_until);
        self.admission.forget_requests();
        self.ended_flows.flows.extend(ended);
        self.ended_flows.ended_at = now;
        self.ended_flows.evidence = Some(evidence);
    }

    /// Keeps the flows whose callers are yet to be told of an end that was taken back. Their home agents, which others may have told
    /// meanwhile that they are not held here, are told so at once.
    pub(super) fn keep_ended_flows(&mut self, now: Millis, out: &mut Vec<Effect>) {
        for flow in std::mem::take(&mut self.ended_flows.flows) {
            self.flows.update(&flow, FlowState::revert_end);
        }
        self.flows.renew_records();
        self.send_due_records(now, out);
    }

    /// What showed that the backend server of ended flows has ended, and how long ago.
    pub(super) fn ended_flows_evidence(&self, now: Millis) -> (Option<Evidence>, Millis) {
        let ended = &self.ended_flows;
        (ended.evidence, now.since(ended.ended_at))
    }

    /// Resets the flows that have ended, once no answer is on its way any more.
    pub(super) fn reset_ended_flows(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if now.since(self.ended_flows.ended_at) < LATE_PACKET_TIME {
            return;
        }
        for flow in std::mem::take(&mut self.ended_flows.flows) {
            let Some(state) = self.flows.get(&flow) else {
                continue;
            };
            let is_due = state.ownership == Ownership::Ended && !state.was_reset;
            if !is_due || state.is_closed() {
                continue;
            }
            let seq = state.last_ack;
            self.flows.update(&flow, |s| s.was_reset = true);
            let age = now.since(self.ended_flows.ended_at);
            let basis = (self.ended_flows.evidence, age);
            out.push(self.end_decision(Reason::BackendOver, Some(flow), basis));
            out.push(Effect::Reset { flow, seq });
        }
    }
}

impl FlowState {
    /// Takes back the end of the flow, unless its caller was told.
    fn revert_end(&mut self) {
        if self.ownership == Ownership::Ended && !self.was_reset {
            self.ownership = Ownership::Open;
        }
    }
}
