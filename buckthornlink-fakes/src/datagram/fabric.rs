//! The fabric: which balancer a packet goes to, and packets on their way.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::Ipv4Addr;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Flow, Message, Packet};

/// Something on its way.
#[derive(Clone, Debug)]
pub(super) enum Cargo {
    /// A packet of a caller, to a balancer.
    Caller(Packet),
    /// A packet between instances.
    Relayed(Ipv4Addr, Packet),
    /// A packet to the backend server on the same instance.
    Delivered(Packet),
    /// A packet of the backend server, or one that it gives back.
    Outbound(Packet),
    /// A packet to a caller; whether an instance made it.
    Answer(Packet, Option<Ipv4Addr>),
    /// A control message.
    Control(Ipv4Addr, Message),
    /// The configuration of another instance.
    Fetched(Ipv4Addr),
}

/// What is on its way, by time of arrival.
#[derive(Debug, Default)]
pub(super) struct Transit {
    heap: BinaryHeap<Reverse<(Millis, u64)>>,
    cargo: std::collections::HashMap<u64, (Ipv4Addr, Cargo)>,
    count: u64,
}

impl Transit {
    pub(super) fn send(&mut self, at: Millis, to: Ipv4Addr, cargo: Cargo) {
        self.count += 1;
        self.heap.push(Reverse((at, self.count)));
        self.cargo.insert(self.count, (to, cargo));
    }

    /// The next thing that arrives until `now`.
    pub(super) fn next(&mut self, now: Millis) -> Option<(Millis, Ipv4Addr, Cargo)> {
        let &Reverse((at, id)) = self.heap.peek()?;
        if at > now {
            return None;
        }
        self.heap.pop();
        let (to, cargo) = self.cargo.remove(&id)?;
        Some((at, to, cargo))
    }
}

/// The balancer of those in rotation that a flow's packets go to.
pub(super) fn route(flow: &Flow, rotation: &[Ipv4Addr]) -> Option<Ipv4Addr> {
    let best = rotation.iter().max_by_key(|&&ip| flow.rank(ip));
    best.copied()
}
