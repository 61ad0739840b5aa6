//! Placing new flows.

use std::net::Ipv4Addr;

use super::seats::{Opening, Seat};
use super::{Balancer, reset};
use crate::datagram::{Effect, Flow, Member, Mode, Packet, Reason, ServiceLoad, ServiceTag, Tag};
use crate::time::Millis;

/// A copy of an opening packet that comes this long after the last one goes to another agent.
const COPY_SPAN: Millis = Millis(150);

/// Weight of the load of an agent in the balancer's own zone, and in another one: flows stay in
/// their zone until its agents bear a fifth more than those of the others.
const LOCAL_PERCENT: u64 = 100;
const REMOTE_PERCENT: u64 = 120;
/// Time after the start within which a balancer that knows no agent for a flow does not refuse it:
/// the caller sends a copy, and agents are heard of meanwhile.
const ACQUAINT_SPAN: Millis = Millis(3_000);

impl Balancer {
    /// Places an opening packet; a copy goes to another agent if the first has not answered.
    pub(super) fn place(&mut self, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        let Some((opening, seat)) = self.seats.opening(&packet.flow) else {
            self.try_next(packet, Vec::new(), Reason::Placed, now, out);
            return;
        };
        let Seat::Lives { owner, .. } = seat;
        if now.since(opening.at) < COPY_SPAN {
            let tag = self.tag(Mode::Placed, owner, now);
            out.push(Effect::Relay { to: owner, tag });
            return;
        }
        let mut tried = opening.tried.clone();
        if self.choose(packet, &tried, now).is_none() {
            tried.clear();
        }
        self.try_next(packet, tried, Reason::PlacedAgain, now, out);
    }

    /// Places an opening packet that an agent refused on the next one.
    pub(super) fn refused(
        &mut self,
        from: Ipv4Addr,
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if packet.tag.mode != Mode::Refused || !packet.is_opening() {
            return;
        }
        let opening = self.seats.opening(&packet.flow);
        let mut tried = opening.map(|(o, _)| o.tried.clone()).unwrap_or_default();
        if !tried.contains(&from) {
            tried.push(from);
        }
        self.try_next(packet, tried, Reason::HandedOn, now, out);
    }

    fn try_next(
        &mut self,
        packet: &Packet,
        mut tried: Vec<Ipv4Addr>,
        reason: Reason,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(owner) = self.choose(packet, &tried, now) else {
            if tried.is_empty() && now.since(self.started) < ACQUAINT_SPAN {
                return;
            }
            self.seats.remove(&packet.flow);
            out.push(self.decision(Reason::NoAgent, packet, tried.last().copied(), now));
            out.push(reset(packet));
            return;
        };
        out.push(self.decision(reason, packet, Some(owner), now));
        let hops = u8::try_from(tried.len()).unwrap_or(u8::MAX);
        tried.push(owner);
        let member = self.mesh.roster_mut().get_mut(owner);
        let backend = member.map_or(crate::BootId(0), |m| {
            m.sent = m.sent.saturating_add(1);
            m.fact.backend
        });
        let seat = Seat::Lives { owner, backend };
        self.seats
            .place(&packet.flow, seat, Opening { at: now, tried });
        let tag = Tag {
            hops,
            ..self.tag(Mode::Placed, owner, now)
        };
        out.push(Effect::Relay { to: owner, tag });
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
        let zones = self.mesh.zones();
        let agents = self.mesh.roster().agents(service);
        let open = agents.filter(|m| m.fact.phase.is_open() && !zones.is_out(m.fact.zone));
        let load = ServiceLoad::of(self.mesh.roster().agents(service));
        let fresh = open.filter(|m| !tried.contains(&m.fact.ip));
        let own_zone = self.mesh.own().zone;
        let cost = |m: &&Member| {
            let is_doubtful = m.suspect || m.is_mute(now);
            let pressure = load.pressure(m);
            let distance = if m.fact.zone == own_zone {
                LOCAL_PERCENT
            } else {
                REMOTE_PERCENT
            };
            (is_doubtful, pressure * distance, flow.rank(m.fact.ip))
        };
        fresh.min_by_key(cost).map(|m| m.fact.ip)
    }
}
