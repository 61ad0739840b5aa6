//! Delivery of packets and messages between callers, instances and backend servers.

use std::net::Ipv4Addr;
use std::sync::Arc;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Event, Packet, Source};
use rand::Rng;

use super::Simulation;
use crate::datagram::backend::Reaction;
use crate::datagram::caller::CallerEvent;
use crate::datagram::fabric::{Delivery, choose_balancer};

/// Consecutive failed readiness checks after which the fabric stops sending to a balancer.
pub(super) const MAX_FAILED_CHECKS: u32 = 2;
/// Upper bound of the time in which a backend server answers a request, in milliseconds.
const MAX_SERVICE_TIME_MS: u64 = 60;

impl Simulation {
    /// Sends a delivery that may be lost and has a random delay.
    pub(super) fn transmit(&mut self, to: Ipv4Addr, delivery: Delivery) {
        if self.rng.random_ratio(self.loss_permille, 1_000) {
            return;
        }
        let delay = Millis(self.rng.random_range(0..4));
        self.deliveries.schedule(self.now + delay, to, delivery);
    }

    /// Handles all deliveries that are due.
    pub(super) fn process_deliveries(&mut self) {
        while let Some((_, to, delivery)) = self.deliveries.pop_due(self.now) {
            self.handle_delivery(to, delivery);
        }
    }

    fn handle_delivery(&mut self, to: Ipv4Addr, delivery: Delivery) {
        match delivery {
            Delivery::FromCaller(packet) => self.handle_packet(to, Source::Fabric, &packet),
            Delivery::Relayed(from, packet) => self.handle_packet(to, Source::Peer(from), &packet),
            Delivery::FromBackend(packet) => self.handle_packet(to, Source::Backend, &packet),
            Delivery::ToBackend(packet) => self.deliver_to_backend(to, &packet),
            Delivery::ToCaller(packet, sender) => self.deliver_to_caller(to, &packet, sender),
            Delivery::Control(from, message) => self.dispatch(to, Event::Message { from, message }),
            Delivery::TableFrom(from) => {
                let source = self.instances.get(&from).and_then(|i| i.process.as_ref());
                if let Some(table) = source.map(|p| Arc::clone(p.reducer().table())) {
                    self.dispatch(to, Event::Table(table));
                }
            }
        }
    }

    fn handle_packet(&mut self, to: Ipv4Addr, source: Source, packet: &Packet) {
        let event = Event::Packet {
            source,
            packet: *packet,
        };
        self.reduce(to, event, Some(packet));
    }

    /// Delivers a packet to the backend server of an instance.
    fn deliver_to_backend(&mut self, ip: Ipv4Addr, packet: &Packet) {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(&ip) else {
            return;
        };
        let Some(backend) = &mut instance.backend else {
            return;
        };
        let reaction = backend.receive(packet, now, &mut self.rng);
        self.check_delivery(ip, packet, reaction);
        let answer = match reaction {
            Reaction::HalfOpened { answer, .. } => Some((answer, 0)),
            Reaction::Accepted { answer } => {
                answer.map(|answer| (answer, self.rng.random_range(5..MAX_SERVICE_TIME_MS)))
            }
            Reaction::Bounced(packet) => Some((packet, 0)),
        };
        if let Some((packet, service_time)) = answer {
            let at = now + Millis(service_time);
            self.deliveries
                .schedule(at, ip, Delivery::FromBackend(packet));
        }
    }

    fn deliver_to_caller(&mut self, to: Ipv4Addr, packet: &Packet, sender: Option<Ipv4Addr>) {
        let now = self.now;
        let Some(caller) = self.callers.get_mut(&to) else {
            return;
        };
        let was_open = caller.is_open() && caller.flow == packet.flow;
        let mut events = Vec::new();
        let reply = caller.receive(packet, now, &mut events);
        if let Some(reply) = reply {
            self.send_to_balancer(reply);
        }
        self.count_events(&events);
        if let (true, true, Some(sender)) = (packet.flags.rst, was_open, sender) {
            self.check_reset(sender, &packet.flow);
        }
    }

    pub(super) fn count_events(&mut self, events: &[CallerEvent]) {
        for item in events {
            match item {
                CallerEvent::RequestSent => self.outcome.sent += 1,
                CallerEvent::RequestAnswered => self.outcome.served += 1,
                CallerEvent::FlowOpened => self.outcome.opened += 1,
            }
        }
    }

    /// Sends a packet from a caller through the fabric to a balancer in rotation, or to any one if
    /// none is in rotation.
    pub(super) fn send_to_balancer(&mut self, packet: Packet) {
        let all: Vec<Ipv4Addr> = self.balancers().collect();
        let in_rotation = |ip: &&Ipv4Addr| self.instances[*ip].failed_checks < MAX_FAILED_CHECKS;
        let rotation: Vec<Ipv4Addr> = all.iter().filter(in_rotation).copied().collect();
        let rotation = if rotation.is_empty() { all } else { rotation };
        if let Some(to) = choose_balancer(&packet.flow, &rotation) {
            self.transmit(to, Delivery::FromCaller(packet));
        }
    }
}
