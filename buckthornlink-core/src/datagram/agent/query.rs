//! Queries for flows of which no packet is in hand.
//!
//! A search begins with a packet of its flow, which is relayed to the agents that are known then.
//! Agents that become known later, or that learn of their backend server later, are queried for the
//! flow alone, since the caller may not retransmit the packet before its deadline.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use super::Agent;
use super::search::MAX_ACTIVE_SEARCHES;
use crate::datagram::{Effect, Flow, Message, Ownership, Phase};
use crate::time::Millis;

/// Maximum flows in one query, so that it fits into a datagram.
const MAX_QUERY_FLOWS: usize = 40;

impl Agent {
    /// Continues the active searches after a change of what is known about agents.
    pub(super) fn resume_searches(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let mut searches = std::mem::take(&mut self.active_searches);
        searches.retain(|flow| !self.reset_if_denied(flow, now, out));
        self.active_searches = searches;
        self.query_pending(now, out);
    }

    /// Ends the trial deliveries that a backend server did not answer before its first heartbeat.
    ///
    /// It was not running when the packets were delivered, so it holds none of their flows.
    pub(super) fn decide_trials(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if !self.backend.is_tracked() {
            return;
        }
        for (flow, requester) in self.flows.pending_trials() {
            self.deny_flow(requester, &flow, out);
            if requester.is_none() && self.active_searches.len() < MAX_ACTIVE_SEARCHES {
                self.flows.update(&flow, |s| s.last_search = Some(now));
                self.active_searches.insert(flow);
            }
        }
    }

    /// Answers a query for the flows whose ownership is certain.
    ///
    /// A flow that only a trial delivery can decide is left to the next packet of the flow.
    pub(super) fn answer_query(
        &mut self,
        from: Ipv4Addr,
        flows: &[Flow],
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        for flow in flows {
            if let Some(&saved) = self.saved_as_ended(flow, now) {
                let message = Message::Ended(saved);
                out.push(Effect::Send { to: from, message });
                continue;
            }
            let may_have_tried = self.may_have_tried(flow, now);
            let state = self.flows.get(flow);
            let message = match state.map(|s| s.ownership).unwrap_or_default() {
                Ownership::Open => Message::OwnerRecords(vec![self.owner_record(flow)]),
                Ownership::Remote { owner: None } | Ownership::Ended => Message::Denied(*flow),
                Ownership::Unknown if self.can_deny(flow, now) => Message::Denied(*flow),
                Ownership::Unknown if may_have_tried => {
                    self.report_try(from, flow, now, out);
                    continue;
                }
                _ => continue,
            };
            out.push(Effect::Send { to: from, message });
        }
    }

    /// Records that an agent is queried for a flow.
    pub(super) fn record_query(&mut self, to: Ipv4Addr, flow: &Flow, now: Millis) {
        if let Some(member) = self.gossip.membership_mut().get_mut(to) {
            member.record_query(now);
        }
        let can_answer = self.can_answer_query(to);
        self.flows.update(flow, |s| {
            if can_answer {
                s.queried.insert(to);
            }
        });
    }

    /// Queries each agent for the active searches that it has not been queried for since it learnt
    /// of its backend server.
    fn query_pending(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let mut due: BTreeMap<Ipv4Addr, Vec<Flow>> = BTreeMap::new();
        for flow in &self.active_searches {
            let queried = self.flows.get(flow).map(|s| &s.queried);
            let is_queried = |ip: &Ipv4Addr| queried.is_some_and(|ips| ips.contains(ip));
            for ip in self.pending_candidates(flow) {
                if !is_queried(&ip) && self.can_answer_query(ip) {
                    due.entry(ip).or_default().push(*flow);
                }
            }
        }
        for (to, flows) in due {
            for batch in flows.chunks(MAX_QUERY_FLOWS) {
                for flow in batch {
                    self.record_query(to, flow, now);
                }
                let message = Message::Query(batch.to_vec());
                out.push(Effect::Send { to, message });
            }
        }
    }

    /// Whether an agent has heard of its backend server, so that it may know which flows that
    /// holds.
    pub(super) fn can_answer_query(&self, ip: Ipv4Addr) -> bool {
        let member = self.gossip.membership().get(ip);
        member.is_some_and(|m| m.fact.phase != Phase::Starting)
    }
}
