//! The fabric's choice of a balancer for a packet, and the deliveries in flight.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::Ipv4Addr;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Flow, Message, Packet};

/// A packet, message or configuration in flight.
#[derive(Clone, Debug)]
pub(super) enum Delivery {
    /// A packet from a caller to a balancer.
    FromCaller(Packet),
    /// A packet from the given instance to another one.
    Relayed(Ipv4Addr, Packet),
    /// A packet to the backend server on the same instance.
    ToBackend(Packet),
    /// A packet from the backend server on the same instance, including one that it bounced.
    FromBackend(Packet),
    /// A packet to a caller; if it is a reset, with the instance that created it.
    ToCaller(Packet, Option<Ipv4Addr>),
    /// A control message from the given instance.
    Control(Ipv4Addr, Message),
    /// The configuration of the given instance, read on delivery.
    TableFrom(Ipv4Addr),
}

/// Deliveries in flight, ordered by time of arrival and then by time of sending.
#[derive(Debug, Default)]
pub(super) struct DeliveryQueue {
    heap: BinaryHeap<Reverse<(Millis, u64)>>,
    deliveries: std::collections::HashMap<u64, (Ipv4Addr, Delivery)>,
    last_id: u64,
}

impl DeliveryQueue {
    pub(super) fn schedule(&mut self, at: Millis, to: Ipv4Addr, delivery: Delivery) {
        self.last_id += 1;
        self.heap.push(Reverse((at, self.last_id)));
        self.deliveries.insert(self.last_id, (to, delivery));
    }

    /// Removes the next delivery that is due at `now`.
    pub(super) fn pop_due(&mut self, now: Millis) -> Option<(Millis, Ipv4Addr, Delivery)> {
        let &Reverse((at, id)) = self.heap.peek()?;
        if at > now {
            return None;
        }
        self.heap.pop();
        let (to, delivery) = self.deliveries.remove(&id)?;
        Some((at, to, delivery))
    }
}

/// The balancer in `rotation` that receives the packets of a flow, by rendezvous hashing.
pub(super) fn choose_balancer(flow: &Flow, rotation: &[Ipv4Addr]) -> Option<Ipv4Addr> {
    let best = rotation.iter().max_by_key(|&&ip| flow.rank(ip));
    best.copied()
}
