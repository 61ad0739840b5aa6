//! Placing new flows.

use std::net::Ipv4Addr;

use super::flow_cache::{FlowLocation, Placement};
use super::{Balancer, reset};
use crate::datagram::{
    Effect, Flow, Member, Mode, Packet, Reason, RelayTag, ServiceLoad, ServiceTag,
};
use crate::time::Millis;

/// A copy of an opening packet that comes this long after the last one goes to another agent.
const PLACEMENT_TIMEOUT: Millis = Millis(150);
/// Busy agents after which an opening packet waits for its next copy.
const MAX_BUSY_AGENTS: u8 = 3;
/// Copies of an opening packet that a caller has sent before its last one.
const LAST_RETRANSMISSION: u32 = 2;

/// Weight of the load of an agent in the balancer's own zone, and in another one: flows stay in
/// their zone until its agents bear a fifth more than those of the others.
const LOCAL_LOAD_PERCENT: u64 = 100;
const REMOTE_LOAD_PERCENT: u64 = 120;
/// Agents of the own zone, and of others, among which the least loaded is chosen. Since reports are
/// late, an agent that looks idle would else get the new flows of all balancers.
const LOCAL_SAMPLE_SIZE: usize = 3;
const REMOTE_SAMPLE_SIZE: usize = 3;
/// Time after the start within which a balancer that knows no agent for a flow does not refuse it:
/// the caller sends a copy, and agents are heard of meanwhile.
const DISCOVERY_GRACE_PERIOD: Millis = Millis(3_000);

impl Balancer {
    /// Places an opening packet; a copy goes to another agent if the first has not answered.
    pub(super) fn place(&mut self, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        let Some((placement, location)) = self.flow_cache.placement(&packet.flow) else {
            self.place_on_next(packet, Placement::default(), Reason::Placed, now, out);
            return;
        };
        let FlowLocation::Agent { owner, .. } = location;
        if now.since(placement.placed_at) < PLACEMENT_TIMEOUT {
            let tag = self.build_tag(Mode::Placed, owner, now);
            out.push(Effect::Relay { to: owner, tag });
            return;
        }
        let mut placement = placement.clone();
        if self.choose_agent(packet, &placement.tried, now).is_none() {
            placement.tried.clear();
        }
        self.place_on_next(packet, placement, Reason::PlacedAgain, now, out);
    }

    /// Places an opening packet that an agent refused on the next one.
    pub(super) fn handle_refusal(
        &mut self,
        from: Ipv4Addr,
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let is_busy = packet.tag.mode == Mode::Busy;
        if !packet.is_opening() || !(is_busy || packet.tag.mode == Mode::Refused) {
            return;
        }
        let placement = self.flow_cache.placement(&packet.flow);
        let mut placement = placement.map(|(p, _)| p.clone()).unwrap_or_default();
        if !placement.tried.contains(&from) {
            placement.tried.push(from);
        }
        placement.busy_count += u8::from(is_busy);
        if placement.busy_count >= MAX_BUSY_AGENTS {
            self.defer(packet, &placement, now, out);
        } else {
            self.place_on_next(packet, placement, Reason::HandedOn, now, out);
        }
    }

    fn place_on_next(
        &mut self,
        packet: &Packet,
        mut placement: Placement,
        reason: Reason,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(owner) = self.choose_agent(packet, &placement.tried, now) else {
            self.handle_no_candidate(packet, &placement, now, out);
            return;
        };
        out.push(self.decision(reason, packet, Some(owner), now));
        placement.placed_at = now;
        placement.tried.push(owner);
        let member = self.gossip.membership_mut().get_mut(owner);
        let backend = member.map_or(crate::BootId(0), |m| {
            m.placed = m.placed.saturating_add(1);
            m.fact.backend
        });
        let tag = RelayTag {
            hops: placement.busy_count,
            ..self.build_tag(Mode::Placed, owner, now)
        };
        let location = FlowLocation::Agent { owner, backend };
        self.flow_cache
            .record_placement(&packet.flow, location, placement);
        out.push(Effect::Relay { to: owner, tag });
    }

    /// No further agent is left for an opening packet.
    fn handle_no_candidate(
        &mut self,
        packet: &Packet,
        placement: &Placement,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if placement.busy_count > 0 {
            self.defer(packet, placement, now, out);
            return;
        }
        if placement.tried.is_empty() && now.since(self.started_at) < DISCOVERY_GRACE_PERIOD {
            return;
        }
        self.refuse(packet, placement.tried.last().copied(), now, out);
    }

    /// All agents that were tried are busy: the caller's next copy is placed anew, and the flow is
    /// refused if there is none to come.
    fn defer(
        &mut self,
        packet: &Packet,
        placement: &Placement,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let last = placement.tried.last().copied();
        if packet.ack >= LAST_RETRANSMISSION {
            self.refuse(packet, last, now, out);
            return;
        }
        out.push(self.decision(Reason::Deferred, packet, last, now));
        let placement = Placement {
            placed_at: now,
            ..Placement::default()
        };
        self.flow_cache.reset_placement(&packet.flow, placement);
    }

    fn refuse(
        &mut self,
        packet: &Packet,
        last: Option<Ipv4Addr>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.flow_cache.remove(&packet.flow);
        out.push(self.decision(Reason::NoAgent, packet, last, now));
        out.push(reset(packet));
    }

    /// The least loaded agent that is not tried yet: of the service that the flow's hash picks, or
    /// of another one of the route if that has none.
    fn choose_agent(&self, packet: &Packet, tried: &[Ipv4Addr], now: Millis) -> Option<Ipv4Addr> {
        let route = self.table.route(&packet.flow)?;
        let picked = route.pick(packet.flow.hash())?;
        let others = route.targets.iter().filter(|t| t.weight > 0);
        let others = others.map(|t| t.service).filter(|&s| s != picked);
        let mut services = std::iter::once(picked).chain(others);
        services.find_map(|s| self.least_loaded(s, &packet.flow, tried, now))
    }

    fn least_loaded(
        &self,
        service: ServiceTag,
        flow: &Flow,
        tried: &[Ipv4Addr],
        now: Millis,
    ) -> Option<Ipv4Addr> {
        let zones = self.gossip.zones();
        let agents = self.gossip.membership().agents(service);
        let open = agents.filter(|m| m.fact.phase.can_accept_flows() && !zones.is_out(m.fact.zone));
        let load = ServiceLoad::of(self.gossip.membership().agents(service));
        let untried = open.filter(|m| !tried.contains(&m.fact.ip));
        let is_unhealthy = |m: &&Member| m.is_suspect || m.is_answer_overdue(now);
        let (unhealthy, healthy): (Vec<&Member>, Vec<&Member>) = untried.partition(is_unhealthy);
        let pool = if healthy.is_empty() {
            unhealthy
        } else {
            healthy
        };
        let own_zone = self.gossip.own().zone;
        let (local, remote): (Vec<&Member>, Vec<&Member>) =
            pool.into_iter().partition(|m| m.fact.zone == own_zone);
        let local = sample(local, flow, LOCAL_SAMPLE_SIZE);
        let remote = sample(remote, flow, REMOTE_SAMPLE_SIZE);
        let local = local.map(|m| (LOCAL_LOAD_PERCENT * load.placement_cost(m), m));
        let remote = remote.map(|m| (REMOTE_LOAD_PERCENT * load.placement_cost(m), m));
        let best = local
            .chain(remote)
            .min_by_key(|(cost, m)| (*cost, flow.rank(m.fact.ip)));
        best.map(|(_, m)| m.fact.ip)
    }
}

/// Some agents of a pool, which differ from flow to flow.
fn sample<'a>(
    mut pool: Vec<&'a Member>,
    flow: &Flow,
    count: usize,
) -> impl Iterator<Item = &'a Member> {
    pool.sort_by_cached_key(|m| flow.rank(m.fact.ip));
    pool.into_iter().take(count)
}
