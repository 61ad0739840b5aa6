//! Owner records for the home agents of flows, where balancers and other agents look for the owner.

use std::net::Ipv4Addr;

use super::Agent;
use crate::datagram::{Effect, Flow, FlowState, Message, OwnerRecord, Ownership};
use crate::id::BootId;
use crate::time::Millis;

/// Minimum age of a flow before its owner record is sent to its home agent; shorter flows end
/// before the record is of use.
const MIN_RECORD_AGE: Millis = Millis(150);
/// Maximum owner records in one message, so that it fits into a datagram.
const MAX_MESSAGE_RECORDS: usize = 24;

impl Agent {
    /// Sends owner records that are due: to the flows' home agents, once for each boot of a home, and to the
    /// owners of flows, once for each boot of an owner, which has forgotten them.
    ///
    /// An agent that stops passes on all that it knows, whatever its age.
    pub(super) fn send_due_records(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let mut due: Vec<(Ipv4Addr, Flow)> = Vec::new();
        for (flow, state) in self.flows.iter_located() {
            if !self.is_leaving && now.since(state.opened_at) < MIN_RECORD_AGE {
                continue;
            }
            let receivers = [self.due_home(flow, state, now), self.due_owner(state)];
            due.extend(receivers.into_iter().flatten().map(|ip| (ip, *flow)));
        }
        due.sort_unstable();
        for group in due.chunk_by(|a, b| a.0 == b.0) {
            for batch in group.chunks(MAX_MESSAGE_RECORDS) {
                self.send_owner_records(batch, out);
            }
        }
    }

    /// The home agent of a flow, if it has not been sent the record. An owner is no home of its own flows: its
    /// successor on the ring stores them.
    fn due_home(&self, flow: &Flow, state: &FlowState, now: Millis) -> Option<Ipv4Addr> {
        let own = self.gossip.own().ip;
        let membership = self.gossip.membership();
        let owner = state.remote_owner().map(|(ip, _)| ip);
        let is_stored_here = owner.is_some() && !self.is_leaving;
        if is_stored_here && membership.home_agent(flow, now) == Some(own) {
            return None;
        }
        let is_candidate = |ip| ip != own && Some(ip) != owner;
        let home = membership.home_agent_among(flow, is_candidate, now)?;
        let boot = membership.get(home)?.fact.boot;
        (state.recorded_home != Some((home, boot))).then_some(home)
    }

    /// The other agent that owns a flow, if its process may not know that.
    fn due_owner(&self, state: &FlowState) -> Option<Ipv4Addr> {
        let (owner, _) = state.remote_owner()?;
        let boot = self.gossip.membership().get(owner)?.fact.boot;
        (state.informed_owner != Some(boot)).then_some(owner)
    }

    /// Stores that others know this agent as the owner of a flow, unless it knows better.
    pub(super) fn apply_own_record(&mut self, record: &OwnerRecord, now: Millis) {
        let state = self.flows.get(&record.flow);
        let ownership = state.map(|s| s.ownership).unwrap_or_default();
        let boot = self.backend.boot();
        let is_of_present =
            [record.backend, boot].contains(&BootId::default()) || record.backend == boot;
        let may_be_held = is_of_present || self.holds_earlier && record.backend < boot;
        let is_news = ownership == Ownership::Unknown && may_be_held;
        if !is_news || self.can_deny(&record.flow, now) {
            return;
        }
        self.flows.update(&record.flow, |s| {
            s.ownership = Ownership::Recorded {
                backend: record.backend,
            };
            s.opened_at = now;
            s.last_seen = now;
        });
    }

    fn send_owner_records(&mut self, batch: &[(Ipv4Addr, Flow)], out: &mut Vec<Effect>) {
        let to = batch[0].0;
        let boot = self.gossip.membership().get(to).map(|m| m.fact.boot);
        let mut records = Vec::with_capacity(batch.len());
        for (_, flow) in batch {
            records.push(self.known_record(flow));
            self.flows.update(flow, |s| {
                if s.remote_owner().is_some_and(|(owner, _)| owner == to) {
                    s.informed_owner = boot;
                } else {
                    s.recorded_home = boot.map(|boot| (to, boot));
                }
            });
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

    /// The owner record of a flow of this agent. What others have recorded, and this process has not seen, keeps the boot that they named.
    pub(super) fn owner_record(&self, flow: &Flow) -> OwnerRecord {
        let ownership = self.flows.get(flow).map(|s| s.ownership);
        let backend = match ownership {
            Some(Ownership::Recorded { backend }) if backend != BootId::default() => backend,
            _ => self.backend.boot(),
        };
        OwnerRecord {
            flow: *flow,
            owner: self.gossip.own().ip,
            backend,
        }
    }
}
