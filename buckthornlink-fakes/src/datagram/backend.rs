//! A simulated backend server that bounces packets of flows that it does not hold.

use std::collections::{HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{BackendHeartbeat, Flow, Packet, ServiceTag};
use rand::Rng;

/// Interval of the backend server's heartbeats.
pub const HEARTBEAT_INTERVAL: Millis = Millis(1_200);
/// Port of each backend server.
const BACKEND_PORT: u16 = 8_080;
/// Duration of a cold start.
const COLD_START_PERIOD: Millis = Millis(2_000);
/// Maximum number of new flows per second that a backend server can take during cold start.
pub(super) const MAX_COLD_FLOWS_PER_SECOND: usize = 20;

/// Address of the backend server beside the agent at `ip`.
pub(super) const fn backend_address(ip: Ipv4Addr) -> SocketAddrV4 {
    SocketAddrV4::new(ip, BACKEND_PORT)
}

/// A backend server from one boot to its end.
#[derive(Clone, Debug)]
pub struct Backend {
    /// The service that it runs.
    pub service: ServiceTag,
    /// Identifies this boot of the backend server.
    pub born: u64,
    /// When it started.
    pub started_at: Millis,
    /// When it began to drain.
    pub draining_since: Option<Millis>,
    /// Number of heartbeats that it has sent.
    pub seq: u64,
    half_open: HashMap<Flow, u32>,
    open: HashMap<Flow, u32>,
    recent_openings: VecDeque<Millis>,
}

/// How a backend server handles a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reaction {
    /// Answers an opening packet, which leaves the flow half-open.
    HalfOpened {
        /// The answer to the opening packet.
        answer: Packet,
        /// Whether the flow exceeds the rate that the backend server can take during cold start.
        is_overload: bool,
    },
    /// Accepts a packet of a flow that it holds, and answers it if it carries a request.
    Accepted {
        /// The answer, if the packet carries a request.
        answer: Option<Packet>,
    },
    /// Returns the packet with the bounced flag.
    Bounced(Packet),
}

impl Backend {
    /// A backend server that starts at `now`.
    #[must_use]
    pub fn new(service: ServiceTag, born: u64, now: Millis) -> Self {
        Self {
            service,
            born,
            started_at: now,
            draining_since: None,
            seq: 0,
            half_open: HashMap::new(),
            open: HashMap::new(),
            recent_openings: VecDeque::new(),
        }
    }

    /// Whether it holds an open flow.
    #[must_use]
    pub fn holds(&self, flow: &Flow) -> bool {
        self.open.contains_key(flow)
    }

    /// Whether it has a flow that is open or half-open.
    #[must_use]
    pub fn has_flow(&self, flow: &Flow) -> bool {
        self.half_open.contains_key(flow) || self.open.contains_key(flow)
    }

    /// Creates the next heartbeat of the backend server, which is at `address`.
    pub fn next_heartbeat(&mut self, address: SocketAddrV4, now: Millis) -> BackendHeartbeat {
        self.seq += 1;
        BackendHeartbeat {
            id: format!("i-{}", self.born),
            born: Some(self.born),
            seq: self.seq,
            service: self.service,
            address,
            draining: self.draining_since.is_some(),
            cold: COLD_START_PERIOD.since(now.since(self.started_at)),
            slots: 8,
        }
    }

    /// Handles a packet that was delivered to the backend server.
    pub fn receive(&mut self, packet: &Packet, now: Millis, rng: &mut impl Rng) -> Reaction {
        if packet.is_opening() {
            return self.answer_opening(packet, now, rng);
        }
        if let Some(&seq) = self.half_open.get(&packet.flow)
            && packet.ack == seq.wrapping_add(1)
        {
            self.half_open.remove(&packet.flow);
            self.open.insert(packet.flow, seq);
        }
        let Some(&seq) = self.open.get(&packet.flow) else {
            let mut bounced = *packet;
            bounced.flags.bounced = true;
            return Reaction::Bounced(bounced);
        };
        let answer = (packet.len > 0).then(|| {
            let mut answer = *packet;
            answer.seq = seq.wrapping_add(1);
            answer.ack = packet.seq;
            answer
        });
        Reaction::Accepted { answer }
    }

    fn answer_opening(&mut self, packet: &Packet, now: Millis, rng: &mut impl Rng) -> Reaction {
        let is_known = self.has_flow(&packet.flow);
        let is_overload = !is_known && self.is_overload(now);
        let seq = *self
            .half_open
            .entry(packet.flow)
            .or_insert_with(|| rng.random());
        let mut answer = *packet;
        answer.flags.ack = true;
        answer.seq = seq;
        Reaction::HalfOpened {
            answer,
            is_overload,
        }
    }

    fn is_overload(&mut self, now: Millis) -> bool {
        if now.since(self.started_at) >= COLD_START_PERIOD {
            return false;
        }
        self.recent_openings.push_back(now);
        while self
            .recent_openings
            .front()
            .is_some_and(|&at| now.since(at) >= Millis(1_000))
        {
            self.recent_openings.pop_front();
        }
        self.recent_openings.len() > MAX_COLD_FLOWS_PER_SECOND
    }
}
