//! A stand-in for consumers: one address with many flows.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::packet::{ACK, Packet, RST, SYN};
use crate::record::Record;

/// Times after the first copy of an opening packet at which further ones are sent.
const COPY_TIMES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
/// Time after which an attempt to open a flow ends.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_400);
const MAX_INTERVAL: Duration = Duration::from_millis(1_600);
/// Time after which a request is given up.
const DEADLINE: Duration = Duration::from_secs(4);
/// Distance from the last acknowledgement within which a reset counts.
const RESET_WINDOW: u32 = 76_800;

/// What a consumer saw of a flow or request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    Opened,
    /// The attempt ended before the flow was open.
    NotOpened,
    /// A success, with the id of the backend server.
    Answered {
        id: String,
        backend: String,
    },
    /// A reset of the system on an open flow.
    SystemReset,
    /// A reset of the backend server on an open flow.
    BackendReset,
    Deadline {
        id: String,
    },
    Forged,
}

/// One thing that a consumer saw.
#[derive(Clone, Debug)]
pub struct Event {
    pub at_ms: u64,
    pub caller: SocketAddrV4,
    pub route: SocketAddrV4,
    pub seen: Seen,
}

struct Pending {
    id: String,
    packet: Packet,
    next_at: Instant,
    interval: Duration,
    deadline: Instant,
}

struct Flow {
    caller: SocketAddrV4,
    route: SocketAddrV4,
    balancer: SocketAddrV4,
    start_seq: u32,
    next_seq: u32,
    expected: u32,
    started_at: Instant,
    copies: u32,
    is_open: bool,
    is_closed: bool,
    /// Requests to send once the flow is open.
    queued: Vec<String>,
    pending: Option<Pending>,
}

#[derive(Default)]
struct State {
    flows: HashMap<u16, Flow>,
    events: Vec<Event>,
    next_port: u16,
}

/// The consumers at one address.
#[derive(Clone)]
pub struct Consumer {
    ip: Ipv4Addr,
    balancers: Vec<SocketAddrV4>,
    state: Arc<Mutex<State>>,
    socket: Arc<UdpSocket>,
    record: Record,
}

impl Consumer {
    /// Starts consumers at `ip`, which receive packets at `data_port` and send to these balancers.
    pub fn start(
        ip: Ipv4Addr,
        data_port: u16,
        balancers: Vec<SocketAddrV4>,
        record: &Record,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(SocketAddrV4::new(ip, data_port))?;
        socket.set_read_timeout(Some(Duration::from_millis(5)))?;
        let consumer = Self {
            ip,
            balancers,
            state: Arc::new(Mutex::new(State {
                next_port: 20_000,
                ..State::default()
            })),
            socket: Arc::new(socket),
            record: record.clone(),
        };
        let running = consumer.clone();
        thread::spawn(move || running.run());
        Ok(consumer)
    }

    /// Opens a flow from a new port and sends a request on it; returns the consumer's end.
    pub fn open(&self, route: SocketAddrV4, id: &str) -> SocketAddrV4 {
        let mut state = self.state.lock().unwrap();
        state.next_port += 1;
        let caller = SocketAddrV4::new(self.ip, state.next_port);
        let mixed = u32::from(caller.port()).wrapping_mul(2_654_435_761)
            ^ u32::from(*route.ip())
            ^ u32::from(route.port());
        let balancer = self.balancers[(mixed >> 16) as usize % self.balancers.len()];
        let start_seq = mixed.wrapping_mul(40_503);
        let flow = Flow {
            caller,
            route,
            balancer,
            start_seq,
            next_seq: start_seq.wrapping_add(1),
            expected: 0,
            started_at: Instant::now(),
            copies: 0,
            is_open: false,
            is_closed: false,
            queued: vec![id.to_owned()],
            pending: None,
        };
        self.send_opening(&flow);
        self.record.line(&format!(
            "consumer {caller} opens a flow to {route} through {balancer} for request {id}"
        ));
        state.flows.insert(caller.port(), flow);
        caller
    }

    /// Sends a further request on an open flow.
    pub fn request(&self, caller: SocketAddrV4, id: &str) {
        let mut state = self.state.lock().unwrap();
        if let Some(flow) = state
            .flows
            .get_mut(&caller.port())
            .filter(|flow| !flow.is_closed)
        {
            flow.queued.push(id.to_owned());
            self.send_next(flow);
        }
    }

    /// What was seen so far.
    pub fn events(&self) -> Vec<Event> {
        self.state.lock().unwrap().events.clone()
    }

    fn run(&self) {
        let mut buffer = [0; 2048];
        loop {
            if let Ok((count, _)) = self.socket.recv_from(&mut buffer)
                && let Some(packet) = Packet::parse(&buffer[..count])
            {
                self.handle(&packet);
            }
            self.check_timers();
        }
    }

    fn send(&self, to: SocketAddrV4, packet: &Packet) {
        let _ = self.socket.send_to(&packet.encode(), to);
    }

    fn send_opening(&self, flow: &Flow) {
        let packet = Packet::new(
            SYN,
            flow.caller,
            flow.route,
            flow.start_seq,
            flow.copies,
            &[],
        );
        self.send(flow.balancer, &packet);
    }

    fn send_next(&self, flow: &mut Flow) {
        if !flow.is_open || flow.pending.is_some() || flow.queued.is_empty() {
            return;
        }
        let id = flow.queued.remove(0);
        let text = format!(
            "POST / HTTP/1.1\r\nX-Buckthornlink-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        );
        let packet = Packet::new(
            ACK,
            flow.caller,
            flow.route,
            flow.next_seq,
            flow.expected,
            text.as_bytes(),
        );
        flow.next_seq = flow.next_seq.wrapping_add(text.len() as u32);
        self.send(flow.balancer, &packet);
        self.record
            .line(&format!("request {id} is sent on {}", flow.caller));
        let now = Instant::now();
        flow.pending = Some(Pending {
            id,
            packet,
            next_at: now + Duration::from_millis(200),
            interval: Duration::from_millis(400),
            deadline: now + DEADLINE,
        });
    }

    fn handle(&self, packet: &Packet) {
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        let Some(flow) = state.flows.get_mut(&packet.dst.port()) else {
            return;
        };
        if flow.is_closed || packet.src != flow.route || *packet.dst.ip() != self.ip {
            return;
        }
        let is_system_reset = packet.is_system_reset();
        let seen = if !is_system_reset && !packet.is_genuine() {
            Some(Seen::Forged)
        } else if packet.has(RST) {
            let distance = packet.seq.wrapping_sub(flow.expected);
            let is_near = distance <= RESET_WINDOW || distance.wrapping_neg() <= RESET_WINDOW;
            if flow.is_open && !is_near {
                return;
            }
            flow.is_closed = true;
            Some(match (flow.is_open, is_system_reset) {
                (false, _) => Seen::NotOpened,
                (true, true) => Seen::SystemReset,
                (true, false) => Seen::BackendReset,
            })
        } else if packet.has(SYN) {
            if flow.is_open || !packet.has(ACK) {
                return;
            }
            flow.is_open = true;
            flow.expected = packet.seq.wrapping_add(1);
            let ack = Packet::new(
                ACK,
                flow.caller,
                flow.route,
                flow.next_seq,
                flow.expected,
                &[],
            );
            self.send(flow.balancer, &ack);
            self.send_next(flow);
            Some(Seen::Opened)
        } else if flow.is_open && !packet.data.is_empty() {
            self.take_answer(flow, packet)
        } else {
            None
        };
        if let Some(seen) = seen {
            self.note(&mut state.events, packet.dst, packet.src, seen);
        }
    }

    /// Takes an answer, and acknowledges it. Answers fit into one packet.
    fn take_answer(&self, flow: &mut Flow, packet: &Packet) -> Option<Seen> {
        let is_new = packet.seq == flow.expected;
        if is_new {
            flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
        }
        let ack = Packet::new(
            ACK,
            flow.caller,
            flow.route,
            flow.next_seq,
            flow.expected,
            &[],
        );
        self.send(flow.balancer, &ack);
        if !is_new {
            return None;
        }
        let pending = flow.pending.take()?;
        let text = String::from_utf8_lossy(&packet.data).into_owned();
        let body = text.split("\r\n\r\n").nth(1).unwrap_or_default();
        let mut words = body.split(' ');
        let (id, backend) = (
            words.next().unwrap_or("-").to_owned(),
            words.next().unwrap_or("-").to_owned(),
        );
        if id != pending.id {
            return Some(Seen::Forged);
        }
        self.send_next(flow);
        Some(Seen::Answered { id, backend })
    }

    fn check_timers(&self) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        let State { flows, events, .. } = &mut *state;
        for flow in flows.values_mut().filter(|flow| !flow.is_closed) {
            if !flow.is_open {
                let elapsed = now - flow.started_at;
                if elapsed >= OPEN_TIMEOUT {
                    flow.is_closed = true;
                    self.note(events, flow.caller, flow.route, Seen::NotOpened);
                } else if COPY_TIMES
                    .get(flow.copies as usize)
                    .is_some_and(|at| elapsed >= *at)
                {
                    flow.copies += 1;
                    self.send_opening(flow);
                }
                continue;
            }
            let Some(pending) = &mut flow.pending else {
                continue;
            };
            if now >= pending.deadline {
                let id = pending.id.clone();
                flow.is_closed = true;
                self.note(events, flow.caller, flow.route, Seen::Deadline { id });
            } else if now >= pending.next_at {
                pending.next_at = now + pending.interval;
                pending.interval = (pending.interval * 2).min(MAX_INTERVAL);
                let packet = pending.packet.clone();
                self.send(flow.balancer, &packet);
            }
        }
    }

    fn note(&self, events: &mut Vec<Event>, caller: SocketAddrV4, route: SocketAddrV4, seen: Seen) {
        self.record
            .line(&format!("consumer {caller} on {route}: {seen:?}"));
        events.push(Event {
            at_ms: self.record.now(),
            caller,
            route,
            seen,
        });
    }
}
