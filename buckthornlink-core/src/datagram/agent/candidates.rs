//! The agents that may hold a flow whose owner is unknown.

use std::net::Ipv4Addr;

use super::Agent;
use crate::datagram::{Flow, Member, Packet, Phase, addresses, sort_by_preference};
use crate::time::Millis;

/// Time after the start of an agent in which the others pass on what they know of flows that it owns, or
/// whose home agent it is.
const HANDOVER_TIME: Millis = Millis(500);
/// Maximum time from the start of one agent to that of another at which both count as started together, so that neither
/// knows more than the other.
const GROUP_START_TIME: Millis = Millis(1_000);
/// Time within which an agent that knows that it owns a flow answers a search.
const SEARCH_TIME: Millis = Millis(100);

impl Agent {
    /// The agents that may hold the flow of a packet, in the order in which its balancer prefers them for new
    /// flows. Those that get no new flows come last.
    pub(super) fn try_candidates(&self, packet: &Packet, now: Millis) -> Vec<Ipv4Addr> {
        let Some(route) = self.table.route(&packet.flow) else {
            return Vec::new();
        };
        let membership = self.gossip.membership();
        let origin = membership.get(packet.tag.origin);
        let zone = origin.map_or(self.gossip.own().zone, |m| m.fact.zone);
        let picked = route.pick(packet.flow.hash());
        let services = route.targets.iter().map(|target| target.service);
        let agents = services.flat_map(|service| membership.agents(service));
        let candidates = agents.filter(|m| self.can_hold(m, &packet.flow, now));
        let (preferred, others): (Vec<&Member>, Vec<&Member>) = candidates.partition(|m| {
            let is_out = self.gossip.zones().is_out(m.fact.zone);
            m.fact.service() == picked && m.fact.phase != Phase::Draining && !is_out
        });
        let mut order = Vec::new();
        for mut group in [preferred, others] {
            sort_by_preference(&mut group, &packet.flow, zone);
            order.extend(addresses(&group));
        }
        order
    }

    pub(super) fn is_home(&self, flow: &Flow, now: Millis) -> bool {
        let home = self.gossip.membership().home_agent(flow, now);
        home == Some(self.gossip.own().ip)
    }

    /// Whether this agent has been told what others know, or has no predecessor among them.
    pub(super) fn is_informed(&self, now: Millis) -> bool {
        let own = self.gossip.own();
        let mut agents = self.gossip.membership().all_agents();
        now.since(self.started_at) >= HANDOVER_TIME
            || agents.all(|m| m.fact.boot.0 + GROUP_START_TIME.0 >= own.boot.0)
    }

    /// Whether the agents that know that they own a flow have had time to say so.
    pub(super) fn has_asked_candidates(&self, flow: &Flow, now: Millis) -> bool {
        let searched_at = self.flows.get(flow).and_then(|s| s.searched_since);
        searched_at.is_some_and(|at| now.since(at) >= SEARCH_TIME)
    }

    /// Whether an agent can be asked for a flow that it may hold.
    fn can_hold(&self, member: &Member, flow: &Flow, now: Millis) -> bool {
        let is_open = if member.fact.ip == self.gossip.own().ip {
            !self.can_deny(flow, now)
        } else {
            !member.is_unresponsive(now)
        };
        is_open && !member.fact.phase.is_over()
    }
}
