//! What must hold, checked on every packet that a backend server or a caller gets.

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Flow, Packet};

use super::World;
use crate::datagram::backend::Reaction;

/// Time after something unplanned within which a bound does not hold for an instance.
const TOUCH_SPAN: Millis = Millis(4_000);
/// Window in which packets of a flow at other backend servers are counted.
const STRAY_SPAN: Millis = Millis(2_000);
/// Packets at other backend servers that break a flow.
const MAX_STRAYS: usize = 3;
/// Time in which a backend server that drains gets no new flows any more.
const DRAIN_SPAN: Millis = Millis(3_000);
/// Time in which a zone that is taken out gets no new flows any more.
const ZONE_SPAN: Millis = Millis(5_000);
/// Time in which a configuration is in force.
const CONFIG_SPAN: Millis = Millis(3_000);

/// What is known about an open flow.
#[derive(Clone, Debug)]
pub(super) struct Watched {
    /// The instance whose backend server holds it.
    pub owner: Ipv4Addr,
    /// Start of that backend server.
    pub born: u64,
    /// When a packet last reached it.
    reached: Millis,
    /// Packets at other backend servers since then, within [`STRAY_SPAN`].
    strays: VecDeque<Millis>,
}

impl Watched {
    /// Whether the flow has been at other backend servers, and not at its own, for too long.
    fn is_broken(&self, now: Millis) -> bool {
        now.since(self.reached) >= STRAY_SPAN && self.strays.len() >= MAX_STRAYS
    }
}

impl World {
    /// Checks a packet that a backend server got.
    pub(super) fn check_delivery(&mut self, ip: Ipv4Addr, packet: &Packet, reaction: Reaction) {
        match reaction {
            Reaction::Opened { is_overload, .. } => self.check_opening(ip, packet, is_overload),
            Reaction::Took { .. } => self.check_owner(ip, packet),
            Reaction::Bounced(_) => self.check_stray(ip, packet),
        }
    }

    /// Checks a reset that an instance made of a flow which its caller took for open.
    pub(super) fn check_reset(&mut self, sender: Ipv4Addr, flow: &Flow) {
        let Some(watched) = self.watched.get(flow).cloned() else {
            return;
        };
        if !self.lives(flow, &watched) {
            self.outcome.true_resets += 1;
        } else if self.is_calm(sender) && self.is_calm(watched.owner) {
            self.outcome.false_resets += 1;
        }
        self.watched.remove(flow);
    }

    fn check_opening(&mut self, ip: Ipv4Addr, packet: &Packet, is_overload: bool) {
        let now = self.now;
        self.outcome.overloads += u64::from(is_overload);
        if !self.is_calm(ip) {
            return;
        }
        let instance = &self.instances[&ip];
        let Some(backend) = &instance.backend else {
            return;
        };
        let is_past = |at: Millis, span: Millis| now.since(at) > span;
        if backend.draining.is_some_and(|at| is_past(at, DRAIN_SPAN)) {
            self.outcome.late_drains += 1;
        }
        let zone = self.zones.get(&instance.zone);
        let is_out = zone.is_some_and(|(record, at)| record.out && is_past(*at, ZONE_SPAN));
        if is_out {
            self.outcome.late_zones += 1;
        }
        let mut allowed = self
            .tables
            .iter()
            .rev()
            .scan(false, |is_last, (at, table)| {
                let is_over = std::mem::replace(is_last, is_past(*at, CONFIG_SPAN));
                (!is_over).then_some(table)
            });
        if !allowed.any(|table| table.allows(&packet.flow, backend.service)) {
            self.outcome.late_routes += 1;
        }
    }

    fn check_owner(&mut self, ip: Ipv4Addr, packet: &Packet) {
        let flow = packet.flow;
        let holds = |other: &Ipv4Addr| {
            let backend = self.instances[other].backend.as_ref();
            *other != ip && backend.is_some_and(|b| b.holds(&flow))
        };
        if self.instances.keys().any(holds) {
            self.outcome.doubles += 1;
        }
        let backend = self.instances[&ip].backend.as_ref();
        let born = backend.map_or(0, |b| b.born);
        let watched = Watched {
            owner: ip,
            born,
            reached: self.now,
            strays: VecDeque::new(),
        };
        if let Some(before) = self.watched.insert(flow, watched) {
            self.outcome.strays += u64::from(before.is_broken(self.now));
        }
    }

    fn check_stray(&mut self, ip: Ipv4Addr, packet: &Packet) {
        let now = self.now;
        let Some(watched) = self.watched.get(&packet.flow).cloned() else {
            return;
        };
        let is_judged =
            self.lives(&packet.flow, &watched) && self.is_calm(ip) && self.is_calm(watched.owner);
        let Some(watched) = self.watched.get_mut(&packet.flow).filter(|_| is_judged) else {
            return;
        };
        watched.strays.push_back(now);
        let is_old = |at: &Millis| now.since(*at) > STRAY_SPAN;
        while watched.strays.front().is_some_and(is_old) {
            watched.strays.pop_front();
        }
        if watched.is_broken(now) {
            watched.strays.clear();
            self.outcome.strays += 1;
        }
    }

    /// Whether the backend server that holds a flow lives, and still holds it.
    fn lives(&self, flow: &Flow, watched: &Watched) -> bool {
        let instance = self.instances.get(&watched.owner);
        let backend = instance.and_then(|i| i.backend.as_ref());
        backend.is_some_and(|b| b.born == watched.born && b.holds(flow))
    }

    fn is_calm(&self, ip: Ipv4Addr) -> bool {
        let instance = self.instances.get(&ip);
        instance.is_some_and(|i| i.is_calm(TOUCH_SPAN, self.now))
    }
}
