//! Placing new flows.

use std::net::Ipv4Addr;

use super::seats::{Opening, Seat};
use super::{Balancer, reset};
use crate::datagram::{
    Effect, Flow, Member, Mode, Packet, Reason, RelayTag, ServiceLoad, ServiceTag,
};
use crate::time::Millis;

/// A copy of an opening packet that comes this long after the last one goes to another agent.
const COPY_SPAN: Millis = Millis(150);
/// Busy agents after which an opening packet waits for its next copy.
const MAX_BUSY: u8 = 3;
/// Copies of an opening packet that a caller has sent before its last one.
const LAST_COPY: u32 = 2;

/// Weight of the load of an agent in the balancer's own zone, and in another one: flows stay in
/// their zone until its agents bear a fifth more than those of the others.
const LOCAL_PERCENT: u64 = 100;
const REMOTE_PERCENT: u64 = 120;
/// Agents of the own zone, and of others, among which the least loaded is chosen. Since reports are
/// late, an agent that looks idle would else get the new flows of all balancers.
const NEAR_SAMPLE: usize = 3;
const FAR_SAMPLE: usize = 3;
/// Time after the start within which a balancer that knows no agent for a flow does not refuse it:
/// the caller sends a copy, and agents are heard of meanwhile.
const ACQUAINT_SPAN: Millis = Millis(3_000);

impl Balancer {
    /// Places an opening packet; a copy goes to another agent if the first has not answered.
    pub(super) fn place(&mut self, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        let Some((opening, seat)) = self.seats.opening(&packet.flow) else {
            self.try_next(packet, Opening::default(), Reason::Placed, now, out);
            return;
        };
        let Seat::Lives { owner, .. } = seat;
        if now.since(opening.at) < COPY_SPAN {
            let tag = self.tag(Mode::Placed, owner, now);
            out.push(Effect::Relay { to: owner, tag });
            return;
        }
        let mut opening = opening.clone();
        if self.choose(packet, &opening.tried, now).is_none() {
            opening.tried.clear();
        }
        self.try_next(packet, opening, Reason::PlacedAgain, now, out);
    }

    /// Places an opening packet that an agent refused on the next one.
    pub(super) fn refused(
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
        let opening = self.seats.opening(&packet.flow);
        let mut opening = opening.map(|(o, _)| o.clone()).unwrap_or_default();
        if !opening.tried.contains(&from) {
            opening.tried.push(from);
        }
        opening.busy += u8::from(is_busy);
        if opening.busy >= MAX_BUSY {
            self.defer(packet, &opening, now, out);
        } else {
            self.try_next(packet, opening, Reason::HandedOn, now, out);
        }
    }

    fn try_next(
        &mut self,
        packet: &Packet,
        mut opening: Opening,
        reason: Reason,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(owner) = self.choose(packet, &opening.tried, now) else {
            self.give_up(packet, &opening, now, out);
            return;
        };
        out.push(self.decision(reason, packet, Some(owner), now));
        opening.at = now;
        opening.tried.push(owner);
        let member = self.gossip.membership_mut().get_mut(owner);
        let backend = member.map_or(crate::BootId(0), |m| {
            m.placed = m.placed.saturating_add(1);
            m.fact.backend
        });
        let tag = RelayTag {
            hops: opening.busy,
            ..self.tag(Mode::Placed, owner, now)
        };
        let seat = Seat::Lives { owner, backend };
        self.seats.place(&packet.flow, seat, opening);
        out.push(Effect::Relay { to: owner, tag });
    }

    /// No further agent is left for an opening packet.
    fn give_up(&mut self, packet: &Packet, opening: &Opening, now: Millis, out: &mut Vec<Effect>) {
        if opening.busy > 0 {
            self.defer(packet, opening, now, out);
            return;
        }
        if opening.tried.is_empty() && now.since(self.started) < ACQUAINT_SPAN {
            return;
        }
        self.refuse(packet, opening.tried.last().copied(), now, out);
    }

    /// All agents that were tried are busy: the caller's next copy is placed anew, and the flow is
    /// refused if there is none to come.
    fn defer(&mut self, packet: &Packet, opening: &Opening, now: Millis, out: &mut Vec<Effect>) {
        let last = opening.tried.last().copied();
        if packet.ack >= LAST_COPY {
            self.refuse(packet, last, now, out);
            return;
        }
        out.push(self.decision(Reason::Deferred, packet, last, now));
        let opening = Opening {
            at: now,
            ..Opening::default()
        };
        self.seats.reopen(&packet.flow, opening);
    }

    fn refuse(
        &mut self,
        packet: &Packet,
        last: Option<Ipv4Addr>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.seats.remove(&packet.flow);
        out.push(self.decision(Reason::NoAgent, packet, last, now));
        out.push(reset(packet));
    }

    /// The least loaded agent that is not tried yet: of the service that the flow's hash picks, or
    /// of another one of the route if that has none.
    fn choose(&self, packet: &Packet, tried: &[Ipv4Addr], now: Millis) -> Option<Ipv4Addr> {
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
        let fresh = open.filter(|m| !tried.contains(&m.fact.ip));
        let is_doubtful = |m: &&Member| m.is_suspect || m.is_answer_overdue(now);
        let (doubtful, sound): (Vec<&Member>, Vec<&Member>) = fresh.partition(is_doubtful);
        let pool = if sound.is_empty() { doubtful } else { sound };
        let own_zone = self.gossip.own().zone;
        let (near, far): (Vec<&Member>, Vec<&Member>) =
            pool.into_iter().partition(|m| m.fact.zone == own_zone);
        let near = sample(near, flow, NEAR_SAMPLE);
        let far = sample(far, flow, FAR_SAMPLE);
        let near = near.map(|m| (LOCAL_PERCENT * load.placement_cost(m), m));
        let far = far.map(|m| (REMOTE_PERCENT * load.placement_cost(m), m));
        let best = near
            .chain(far)
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
