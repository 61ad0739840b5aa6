//! Ends of searched flows that their former owners know from what was saved.

use std::net::Ipv4Addr;

use super::Agent;
use crate::datagram::{Effect, Evidence, Flow, FlowState, Reason, SavedFlow};
use crate::time::Millis;

impl Agent {
    /// Records that a searched flow has ended with a backend server beside `from`. That says nothing about a later flow of the
    /// same addresses.
    pub(super) fn handle_reported_end(
        &mut self,
        from: Ipv4Addr,
        saved: &SavedFlow,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let is_searched = |s: &FlowState| s.last_search.is_some();
        let flow = &saved.flow;
        if self.flows.get(flow).is_some_and(is_searched) {
            self.flows.update(flow, |s| {
                s.ended_at = s.ended_at.or(saved.is_same(s.last_ack).then_some(from));
            });
            self.handle_denial(from, flow, now, out);
        }
    }

    /// The agent with whose backend server a flow has ended, by what that agent saved, once the others that hear their
    /// backend server have denied the flow or had time to claim it: its caller may have opened another one since, from
    /// the same port.
    pub(super) fn ended_owner(&self, flow: &Flow, now: Millis) -> Option<Ipv4Addr> {
        let own = self.gossip.own().ip;
        let state = self.flows.get(flow)?;
        let saved = self.saved_as_ended(flow, now);
        let is_own = saved.is_some_and(|saved| saved.is_same(state.last_ack));
        let owner = state.ended_at.or(is_own.then_some(own))?;
        let is_settled = self.has_asked_candidates(flow, now)
            || self
                .pending_candidates(flow)
                .all(|ip| !self.can_answer_query(ip));
        is_settled.then_some(owner)
    }

    /// Returns the log entry of the reset of a flow that its owner reported as ended.
    pub(super) fn saved_end_decision(&self, flow: &Flow, owner: Ipv4Addr, age: Millis) -> Effect {
        let mut decision = self.peer_end_decision(Reason::BackendOver, flow, owner, age);
        decision.evidence = Some(Evidence::SavedAsEnded);
        Effect::Log(decision)
    }
}
