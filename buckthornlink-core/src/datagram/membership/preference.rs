//! Order in which the agents of a service are preferred for a flow.

use std::net::Ipv4Addr;

use super::Member;
use crate::datagram::Flow;
use crate::id::ZoneTag;

/// Sorts agents in the order in which a balancer of `zone` prefers them for new flows, apart from their load.
///
/// The first two are one of the own zone and one of another zone, if there are any. A new flow goes to the less
/// loaded of them, so that an agent that has lost what it knew finds most flows with two tries.
pub(crate) fn sort_by_preference(agents: &mut Vec<&Member>, flow: &Flow, zone: ZoneTag) {
    let key = |m: &&Member| (m.fact.zone != zone, flow.rank(m.fact.ip), m.fact.ip);
    agents.sort_by_cached_key(key);
    let first_remote = agents.iter().position(|m| m.fact.zone != zone);
    if let Some(index) = first_remote.filter(|&index| index > 1) {
        agents[1..=index].rotate_right(1);
    }
}

/// The addresses of agents.
pub(crate) fn addresses(agents: &[&Member]) -> Vec<Ipv4Addr> {
    agents.iter().map(|m| m.fact.ip).collect()
}
