//! Owner records for the home agents of flows, where balancers and other agents look for the owner.

use std::net::Ipv4Addr;

use super::Agent;
use crate::datagram::{Effect, Flow, FlowState, Message, OwnerRecord};
use crate::time::Millis;

/// Minimum age of a flow before its owner record is sent to its home agent; shorter flows end
/// before the record is of use.
const MIN_RECORD_AGE: Millis = Millis(150);
/// Maximum owner records in one message, so that it fits into a datagram.
const MAX_MESSAGE_RECORDS: usize = 24;

impl Agent {
    /// Sends owner records to the flows' home agents, once for each boot of a home: those of flows that are
    /// established here, and those of other owners, whose home this agent was.
    pub(super) fn send_due_records(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let own = self.gossip.own().ip;
        let membership = self.gossip.membership();
        let mut due: Vec<(Ipv4Addr, Flow)> = Vec::new();
        for (flow, state) in self.flows.iter_located() {
            if now.since(state.opened_at) < MIN_RECORD_AGE {
                continue;
            }
            let owner = state.remote_owner().map_or(own, |(ip, _)| ip);
            let home = membership.home_agent(flow, now);
            let home = home.filter(|&ip| ip != own && ip != owner);
            let home = home.and_then(|ip| Some((ip, membership.get(ip)?.fact.boot)));
            if home.is_some() && home != state.recorded_home {
                due.extend(home.map(|(ip, _)| (ip, *flow)));
            }
        }
        due.sort_unstable();
        for group in due.chunk_by(|a, b| a.0 == b.0) {
            for batch in group.chunks(MAX_MESSAGE_RECORDS) {
                self.send_owner_records(batch, out);
            }
        }
    }

    fn send_owner_records(&mut self, batch: &[(Ipv4Addr, Flow)], out: &mut Vec<Effect>) {
        let to = batch[0].0;
        let boot = self.gossip.membership().get(to).map(|m| m.fact.boot);
        let mut records = Vec::with_capacity(batch.len());
        for (_, flow) in batch {
            records.push(self.known_record(flow));
            self.flows
                .update(flow, |s| s.recorded_home = boot.map(|boot| (to, boot)));
        }
        let message = Message::OwnerRecords(records);
        out.push(Effect::Send { to, message });
    }

    /// The owner record of a flow that is established here or whose owner is known.
    fn known_record(&self, flow: &Flow) -> OwnerRecord {
        let owner = self.flows.get(flow).and_then(FlowState::remote_owner);
        owner.map_or_else(
            || self.owner_record(flow),
            |(owner, backend)| OwnerRecord {
                flow: *flow,
                owner,
                backend,
            },
        )
    }

    pub(super) fn owner_record(&self, flow: &Flow) -> OwnerRecord {
        OwnerRecord {
            flow: *flow,
            owner: self.gossip.own().ip,
            backend: self.backend.boot(),
        }
    }
}
