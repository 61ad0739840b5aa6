//! A simulated caller that keeps one flow open, sends requests on it one after the other, and opens
//! a new flow when the old one ends.

use std::net::{Ipv4Addr, SocketAddrV4};

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Flags, Flow, Packet, RelayTag};

/// Times after the first opening packet at which it is retransmitted.
const OPENING_RETRANSMIT_DELAYS: [Millis; 2] = [Millis(200), Millis(600)];
/// Time after which an attempt to open a flow is abandoned.
const OPENING_TIMEOUT: Millis = Millis(1_400);
/// Times after the first packet of a request at which it is retransmitted.
const REQUEST_RETRANSMIT_DELAYS: [Millis; 4] =
    [Millis(200), Millis(600), Millis(1_400), Millis(3_000)];
/// Time after which an unanswered request and its flow are abandoned.
const REQUEST_DEADLINE: Millis = Millis(4_000);
/// Time between an answer and the next request, unless another one is set.
const THINK_TIME: Millis = Millis(350);
/// Lowest source port of a caller.
const FIRST_PORT: u16 = 1_024;

/// State of a caller's flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FlowStage {
    Idle,
    Opening {
        since: Millis,
        retransmissions: usize,
    },
    Open {
        next_request: Millis,
    },
    Waiting {
        since: Millis,
        retransmissions: usize,
    },
}

/// A caller with one flow.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The current flow.
    pub flow: Flow,
    stage: FlowStage,
    think_time: Millis,
    ack: u32,
    seq: u32,
}

/// Progress of a caller's flow or request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerEvent {
    /// A request was sent for the first time.
    RequestSent,
    /// A request was answered.
    RequestAnswered,
    /// A flow was opened.
    FlowOpened,
}

impl Caller {
    /// A caller at `ip` that opens flows to `route`.
    #[must_use]
    pub const fn new(ip: Ipv4Addr, route: SocketAddrV4) -> Self {
        let caller = SocketAddrV4::new(ip, FIRST_PORT);
        Self {
            flow: Flow { caller, route },
            stage: FlowStage::Idle,
            think_time: THINK_TIME,
            ack: 0,
            seq: 1,
        }
    }

    /// Sets the time between an answer and the next request, in which the flow is open and idle.
    ///
    /// # Example
    ///
    /// ```
    /// use std::net::{Ipv4Addr, SocketAddrV4};
    ///
    /// use buckthornlink_core::Millis;
    /// use buckthornlink_fakes::datagram::Caller;
    ///
    /// let route = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
    /// let caller = Caller::new(Ipv4Addr::LOCALHOST, route).with_think_time(Millis(9_000));
    /// assert!(!caller.is_open());
    /// ```
    #[must_use]
    pub const fn with_think_time(mut self, think_time: Millis) -> Self {
        self.think_time = think_time;
        self
    }

    /// Whether the flow is open from the caller's point of view.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        matches!(
            self.stage,
            FlowStage::Open { .. } | FlowStage::Waiting { .. }
        )
    }

    /// Abandons the flow without closing it; the next one opens at the next tick.
    pub const fn abandon_flow(&mut self) {
        self.stage = FlowStage::Idle;
    }

    /// Advances the caller to `now`; returns the packet that is due, if any.
    pub fn tick(&mut self, now: Millis, events: &mut Vec<CallerEvent>) -> Option<Packet> {
        match self.stage {
            FlowStage::Idle => {
                self.use_next_port();
                self.stage = FlowStage::Opening {
                    since: now,
                    retransmissions: 0,
                };
                Some(self.build_opening())
            }
            FlowStage::Opening {
                since,
                retransmissions,
            } => self.continue_opening(since, retransmissions, now),
            FlowStage::Open { next_request } if now >= next_request => {
                events.push(CallerEvent::RequestSent);
                self.seq = self.seq.wrapping_add(1);
                self.stage = FlowStage::Waiting {
                    since: now,
                    retransmissions: 0,
                };
                Some(self.build_request())
            }
            FlowStage::Open { .. } => None,
            FlowStage::Waiting {
                since,
                retransmissions,
            } => self.continue_request(since, retransmissions, now),
        }
    }

    /// Handles a packet; returns the acknowledgement that completes a handshake.
    pub fn receive(
        &mut self,
        packet: &Packet,
        now: Millis,
        events: &mut Vec<CallerEvent>,
    ) -> Option<Packet> {
        if packet.flow != self.flow {
            return None;
        }
        if packet.flags.rst {
            self.stage = FlowStage::Idle;
            return None;
        }
        match self.stage {
            FlowStage::Opening { .. } if packet.flags.syn => {
                events.push(CallerEvent::FlowOpened);
                self.ack = packet.seq.wrapping_add(1);
                self.stage = FlowStage::Open { next_request: now };
                let mut ack = self.build_request();
                ack.len = 0;
                Some(ack)
            }
            FlowStage::Waiting { .. } if !packet.flags.syn && packet.ack == self.seq => {
                events.push(CallerEvent::RequestAnswered);
                self.stage = FlowStage::Open {
                    next_request: now + self.think_time,
                };
                None
            }
            _ => None,
        }
    }

    fn continue_opening(
        &mut self,
        since: Millis,
        retransmissions: usize,
        now: Millis,
    ) -> Option<Packet> {
        let age = now.since(since);
        if age >= OPENING_TIMEOUT {
            self.stage = FlowStage::Idle;
            return None;
        }
        let is_due = OPENING_RETRANSMIT_DELAYS
            .get(retransmissions)
            .is_some_and(|&at| age >= at);
        is_due.then(|| {
            let retransmissions = retransmissions + 1;
            self.stage = FlowStage::Opening {
                since,
                retransmissions,
            };
            self.build_opening()
        })
    }

    fn continue_request(
        &mut self,
        since: Millis,
        retransmissions: usize,
        now: Millis,
    ) -> Option<Packet> {
        let age = now.since(since);
        if age >= REQUEST_DEADLINE {
            self.stage = FlowStage::Idle;
            return None;
        }
        let is_due = REQUEST_RETRANSMIT_DELAYS
            .get(retransmissions)
            .is_some_and(|&at| age >= at);
        is_due.then(|| {
            let retransmissions = retransmissions + 1;
            self.stage = FlowStage::Waiting {
                since,
                retransmissions,
            };
            self.build_request()
        })
    }

    /// Selects the next source port, for a new flow.
    fn use_next_port(&mut self) {
        let port = self.flow.caller.port().wrapping_add(1).max(FIRST_PORT);
        self.flow.caller.set_port(port);
        self.ack = 0;
    }

    const fn build_opening(&self) -> Packet {
        let mut packet = self.build_packet();
        packet.flags.syn = true;
        packet
    }

    const fn build_request(&self) -> Packet {
        let mut packet = self.build_packet();
        packet.flags.ack = true;
        packet.ack = self.ack;
        packet.len = 100;
        packet
    }

    const fn build_packet(&self) -> Packet {
        Packet {
            flow: self.flow,
            flags: Flags {
                syn: false,
                ack: false,
                fin: false,
                rst: false,
                bounced: false,
            },
            seq: self.seq,
            ack: 0,
            len: 0,
            tag: RelayTag::direct(),
        }
    }
}
