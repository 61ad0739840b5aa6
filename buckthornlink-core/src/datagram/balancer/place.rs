//! Placement of new flows on agents.

use std::net::Ipv4Addr;

use super::flow_cache::{CachedOwner, HolderBoot, Placement};
use super::{Balancer, reset};
use crate::datagram::{
    Effect, Flow, Member, Mode, Packet, Reason, RelayTag, ServiceLoad, ServiceTag,
    sort_by_preference,
};
use crate::id::BootId;
use crate::time::Millis;

/// Time after a placement from which on a retransmitted opening packet goes to another agent.
const PLACEMENT_TIMEOUT: Millis = Millis(150);
/// Busy refusals after which an opening packet waits for the caller's next retransmission.
pub(super) const MAX_BUSY_AGENTS: u8 = 6;
/// Maximum retransmissions of an opening packet by a caller; the packet's `ack` counts them.
const MAX_RETRANSMISSIONS: u32 = 2;

/// Weight, in percent, of the load of agents in the balancer's own zone and in other ones: flows
/// stay in their zone until its agents have a fifth more load than those of the others.
const LOCAL_LOAD_PERCENT: u64 = 100;
const REMOTE_LOAD_PERCENT: u64 = 120;
/// Number of preferred agents among which the less loaded is chosen. Load reports are late, so with more of them
/// an agent that looks idle would get all balancers' new flows.
const SAMPLE_SIZE: usize = 2;
/// Time after the start during which a balancer that knows no agent for a flow does not refuse it:
/// the caller retransmits, and agents may be discovered meanwhile.
const DISCOVERY_GRACE_PERIOD: Millis = Millis(3_000);

impl Balancer {
    /// Places an opening packet; a retransmission goes to another agent if the first does not
    /// answer in time, and to any agent once all were tried.
    pub(super) fn place(&mut self, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        let Some((placement, cached)) = self.flow_cache.placement(&packet.flow) else {
            let mut placement = Placement::default();
            placement.record_copy(packet, now);
            self.place_on_next(packet, placement, Reason::Placed, now, out);
            return;
        };
        let mut placement = placement.clone();
        placement.record_copy(packet, now);
        let is_recent = now.since(placement.placed_at) < PLACEMENT_TIMEOUT;
        if is_recent && !self.is_deferred(packet, &placement) {
            placement.offer_count = placement.offer_count.saturating_add(1);
            self.flow_cache.reset_placement(&packet.flow, placement);
            let to = cached.agent;
            let tag = self.build_tag(Mode::Placed, to, now);
            out.push(Effect::Relay { to, tag });
            return;
        }
        if self.choose_agent(packet, &placement.tried, now).is_none() {
            placement.tried.clear();
        }
        self.place_on_next(packet, placement, Reason::PlacedAgain, now, out);
    }

    /// Handles an opening packet that an agent refused: places it on the next agent, or defers or
    /// refuses the flow.
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
        placement.offer_count = placement.offer_count.saturating_sub(1);
        if is_busy && self.record_busy(packet, &mut placement, now) {
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
        let Some(agent) = self.choose_agent(packet, &placement.tried, now) else {
            self.handle_no_agent(packet, &placement, now, out);
            return;
        };
        out.push(self.decision(reason, packet, Some(agent), now));
        self.start_placement(packet, &mut placement, now);
        placement.placed_at = now;
        placement.tried.push(agent);
        placement.offer_count = placement.offer_count.saturating_add(1);
        let member = self.gossip.membership_mut().get_mut(agent);
        let backend = member.map_or(BootId::default(), |m| {
            m.placed = m.placed.saturating_add(1);
            m.fact.backend
        });
        let tag = RelayTag {
            hops: placement.busy_count,
            ..self.build_tag(Mode::Placed, agent, now)
        };
        let backend = if placement.offer_count > 1 {
            HolderBoot::Guessed(backend)
        } else {
            HolderBoot::Assumed(backend)
        };
        let cached = CachedOwner { agent, backend };
        self.flow_cache
            .record_placement(&packet.flow, cached, placement);
        out.push(Effect::Relay { to: agent, tag });
    }

    /// Defers or refuses an opening packet for which no further agent is left.
    fn handle_no_agent(
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
        self.refuse(packet, placement, now, out);
    }

    /// Leaves a flow that busy agents refused to the caller's next retransmission, which is placed
    /// afresh, or refuses the flow if none is to come.
    fn defer(
        &mut self,
        packet: &Packet,
        placement: &Placement,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if packet.ack >= MAX_RETRANSMISSIONS {
            self.refuse(packet, placement, now, out);
            return;
        }
        let last = placement.tried.last().copied();
        out.push(self.decision(Reason::Deferred, packet, last, now));
        let placement = Placement {
            placed_at: now,
            tried: Vec::new(),
            busy_count: 0,
            ..placement.clone()
        };
        self.flow_cache.reset_placement(&packet.flow, placement);
    }

    /// Resets a flow that no agent accepts. An agent that still has a copy of the opening packet may have accepted it, and
    /// so may one that got a copy from another balancer.
    fn refuse(
        &mut self,
        packet: &Packet,
        placement: &Placement,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if placement.offer_count > 0 || !placement.has_all_copies(now) {
            self.flow_cache
                .reset_placement(&packet.flow, placement.clone());
            return;
        }
        let last = placement.tried.last().copied();
        self.flow_cache.remove(&packet.flow);
        out.push(self.decision(Reason::NoAgent, packet, last, now));
        out.push(reset(packet));
    }

    /// Chooses the least loaded agent that has not been tried, of the service that the flow's hash
    /// picks, or of another service of the route if that one has none.
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
        let accepting =
            agents.filter(|m| m.fact.phase.can_accept_flows() && !zones.is_out(m.fact.zone));
        let load = ServiceLoad::of(self.gossip.membership().agents(service));
        let untried = accepting.filter(|m| !tried.contains(&m.fact.ip));
        let is_unhealthy = |m: &&Member| m.is_suspect || m.is_answer_overdue(now);
        let (unhealthy, healthy): (Vec<&Member>, Vec<&Member>) = untried.partition(is_unhealthy);
        let pool = if healthy.is_empty() {
            unhealthy
        } else {
            healthy
        };
        let own_zone = self.gossip.own().zone;
        let mut preferred = pool;
        sort_by_preference(&mut preferred, flow, own_zone);
        let cost = |m: &&Member| {
            let percent = if m.fact.zone == own_zone {
                LOCAL_LOAD_PERCENT
            } else {
                REMOTE_LOAD_PERCENT
            };
            percent * load.placement_cost(m)
        };
        let sample = preferred.into_iter().take(SAMPLE_SIZE);
        sample.min_by_key(cost).map(|m| m.fact.ip)
    }
}

impl Placement {
    /// Records that a copy of the opening packet came here.
    fn record_copy(&mut self, packet: &Packet, now: Millis) {
        self.copies |= 1 << packet.ack.min(MAX_RETRANSMISSIONS);
        self.last_copy = now;
    }

    /// Whether all copies of the opening packet that the caller has sent so far came here.
    fn has_all_copies(&self, now: Millis) -> bool {
        let count = self.copies.trailing_ones();
        let is_gapless = self.copies.count_ones() == count;
        let is_next_due = now.since(self.last_copy) >= PLACEMENT_TIMEOUT;
        is_gapless && count > 0 && (count > MAX_RETRANSMISSIONS || !is_next_due)
    }
}
