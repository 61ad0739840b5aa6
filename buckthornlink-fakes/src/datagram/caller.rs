//! A caller that keeps one flow open, sends a request now and then, and opens a new flow when the
//! old one ends.

use std::net::{Ipv4Addr, SocketAddrV4};

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Flags, Flow, Packet, RelayTag};

/// When copies of an opening packet go out, after the first.
const OPENING_COPIES: [Millis; 2] = [Millis(200), Millis(600)];
/// When the attempt to open a flow ends.
const OPENING_TIMEOUT: Millis = Millis(1_400);
/// When copies of a request go out, after the first.
const REQUEST_COPIES: [Millis; 4] = [Millis(200), Millis(600), Millis(1_400), Millis(3_000)];
/// When a request is given up.
const DEADLINE: Millis = Millis(4_000);
/// Pause between an answer and the next request.
const THINK_SPAN: Millis = Millis(350);
/// Port of a caller's first flow.
const FIRST_PORT: u16 = 1_024;

/// State of a caller's flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Idle,
    Opening { since: Millis, copies: usize },
    Open { next: Millis },
    Waiting { since: Millis, copies: usize },
}

/// One caller.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Its present flow.
    pub flow: Flow,
    stage: Stage,
    ack: u32,
    seq: u32,
}

/// What became of a request or a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// A request was sent for the first time.
    Asked,
    /// A request was answered.
    Served,
    /// A flow was opened.
    Opened,
}

impl Caller {
    /// A caller at `ip` that connects to `route`.
    #[must_use]
    pub const fn new(ip: Ipv4Addr, route: SocketAddrV4) -> Self {
        let caller = SocketAddrV4::new(ip, FIRST_PORT);
        Self {
            flow: Flow { caller, route },
            stage: Stage::Idle,
            ack: 0,
            seq: 1,
        }
    }

    /// Whether the caller takes its flow for open.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        matches!(self.stage, Stage::Open { .. } | Stage::Waiting { .. })
    }

    /// Sends what is due.
    pub fn tick(&mut self, now: Millis, news: &mut Vec<News>) -> Option<Packet> {
        match self.stage {
            Stage::Idle => {
                self.renew();
                self.stage = Stage::Opening {
                    since: now,
                    copies: 0,
                };
                Some(self.opening())
            }
            Stage::Opening { since, copies } => self.open_again(since, copies, now),
            Stage::Open { next } if now >= next => {
                news.push(News::Asked);
                self.seq = self.seq.wrapping_add(1);
                self.stage = Stage::Waiting {
                    since: now,
                    copies: 0,
                };
                Some(self.request())
            }
            Stage::Open { .. } => None,
            Stage::Waiting { since, copies } => self.ask_again(since, copies, now),
        }
    }

    /// Takes a packet of its flow; returns an acknowledgement of the handshake.
    pub fn receive(
        &mut self,
        packet: &Packet,
        now: Millis,
        news: &mut Vec<News>,
    ) -> Option<Packet> {
        if packet.flow != self.flow {
            return None;
        }
        if packet.flags.rst {
            self.stage = Stage::Idle;
            return None;
        }
        match self.stage {
            Stage::Opening { .. } if packet.flags.syn => {
                news.push(News::Opened);
                self.ack = packet.seq.wrapping_add(1);
                self.stage = Stage::Open { next: now };
                let mut ack = self.request();
                ack.len = 0;
                Some(ack)
            }
            Stage::Waiting { .. } if !packet.flags.syn && packet.ack == self.seq => {
                news.push(News::Served);
                self.stage = Stage::Open {
                    next: now + THINK_SPAN,
                };
                None
            }
            _ => None,
        }
    }

    fn open_again(&mut self, since: Millis, copies: usize, now: Millis) -> Option<Packet> {
        let age = now.since(since);
        if age >= OPENING_TIMEOUT {
            self.stage = Stage::Idle;
            return None;
        }
        let is_due = OPENING_COPIES.get(copies).is_some_and(|&at| age >= at);
        is_due.then(|| {
            let copies = copies + 1;
            self.stage = Stage::Opening { since, copies };
            self.opening()
        })
    }

    fn ask_again(&mut self, since: Millis, copies: usize, now: Millis) -> Option<Packet> {
        let age = now.since(since);
        if age >= DEADLINE {
            self.stage = Stage::Idle;
            return None;
        }
        let is_due = REQUEST_COPIES.get(copies).is_some_and(|&at| age >= at);
        is_due.then(|| {
            let copies = copies + 1;
            self.stage = Stage::Waiting { since, copies };
            self.request()
        })
    }

    /// Takes a new port for a new flow.
    fn renew(&mut self) {
        let port = self.flow.caller.port().wrapping_add(1).max(FIRST_PORT);
        self.flow.caller.set_port(port);
        self.ack = 0;
    }

    const fn opening(&self) -> Packet {
        let mut packet = self.packet();
        packet.flags.syn = true;
        packet
    }

    const fn request(&self) -> Packet {
        let mut packet = self.packet();
        packet.flags.ack = true;
        packet.ack = self.ack;
        packet.len = 100;
        packet
    }

    const fn packet(&self) -> Packet {
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
