//! The fabric: which balancer a packet goes to, and packets on their way.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::Ipv4Addr;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Flow, Message, Packet};

/// Something on its way.
#[derive(Clone, Debug)]
pub(super) enum Delivery {
    /// A packet of a caller, to a balancer.
    FromCaller(Packet),
    /// A packet between instances.
    Relayed(Ipv4Addr, Packet),
    /// A packet to the backend server on the same instance.
    ToBackend(Packet),
    /// A packet of the backend server, or one that it gives back.
    FromBackend(Packet),
    /// A packet to a caller; whether an instance made it.
    ToCaller(Packet, Option<Ipv4Addr>),
    /// A control message.
    Control(Ipv4Addr, Message),
    /// The configuration of another instance.
    TableFrom(Ipv4Addr),
}

/// What is on its way, by time of arrival.
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

    /// The next thing that arrives until `now`.
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

/// The balancer of those in rotation that a flow's packets go to.
pub(super) fn choose_balancer(flow: &Flow, rotation: &[Ipv4Addr]) -> Option<Ipv4Addr> {
    let best = rotation.iter().max_by_key(|&&ip| flow.rank(ip));
    best.copied()
}
