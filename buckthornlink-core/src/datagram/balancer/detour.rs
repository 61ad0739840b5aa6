//! Relay around a partition.
//!
//! Two zones may be unable to reach each other while a third one reaches both. A packet whose owner
//! does not answer this balancer is sent to an agent of a third zone, which forwards it to the owner
//! or searches for it.

use std::net::Ipv4Addr;

use super::{Balancer, is_probe_due};
use crate::datagram::{Effect, Mode, Packet, Reason, RelayTag};
use crate::id::ZoneTag;
use crate::time::Millis;

impl Balancer {
    /// Sends a packet around a partition if its owner's answer is overdue; returns whether it did. An owner
    /// that announced its shutdown is not cut off: its next process answers.
    pub(super) fn detour(
        &mut self,
        owner: Ipv4Addr,
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(member) = self.gossip.membership().get(owner) else {
            return false;
        };
        if member.fact.phase.is_leaving() || !member.is_answer_overdue(now) {
            return false;
        }
        let is_due = is_probe_due(member, now);
        let Some(via) = self.detour_agent(member.fact.zone, packet, now) else {
            return false;
        };
        if is_due {
            self.gossip.probe(owner, now, out);
        }
        out.push(self.decision(Reason::Detoured, packet, Some(via), now));
        let tag = RelayTag::new(Mode::Lookup, self.gossip.own().ip);
        out.push(Effect::Relay { to: via, tag });
        true
    }

    /// Chooses an agent that answers, in neither the own zone nor the owner's. Packets of one flow
    /// get the same one, which remembers the owner.
    fn detour_agent(&self, owner_zone: ZoneTag, packet: &Packet, now: Millis) -> Option<Ipv4Addr> {
        let own_zone = self.gossip.own().zone;
        let agents = self.gossip.membership().all_agents();
        let others = agents.filter(|m| {
            let is_third_zone = m.fact.zone != own_zone && m.fact.zone != owner_zone;
            is_third_zone && !m.is_suspect && !m.is_answer_overdue(now) && !m.fact.phase.is_over()
        });
        let ips = others.map(|m| m.fact.ip);
        ips.max_by_key(|&ip| packet.flow.rank(ip))
    }
}
