//! A stand-in for a backend server on a `side` machine.

use std::collections::HashMap;
use std::net::{Shutdown, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Response, call, read_request, write_response};
use crate::packet::{ACK, BOUNCED, Packet, RST, SYN};
use crate::record::Record;

/// Interval of heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// First interval after which an unacknowledged answer is sent again, and how often that is done.
const RETRANSMISSION: Duration = Duration::from_millis(200);
const MAX_RETRANSMISSIONS: u32 = 8;

/// What a backend server says of itself.
#[derive(Clone, Debug)]
pub struct Identity {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
    /// How far the time of day of its machine is ahead when it starts, in milliseconds.
    pub clock_ahead_ms: u64,
    /// `Seq` of its first heartbeat.
    pub first_seq: u64,
    /// Time from its start to its first heartbeat.
    pub first_beat_after: Duration,
    /// How long it is cold.
    pub warmup: Duration,
}

/// A packet that opens a flow, as the backend server took it.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub route: SocketAddrV4,
}

#[derive(Default)]
struct Flow {
    is_open: bool,
    handshake: u32,
    next_seq: u32,
    expected: u32,
    unacked: Option<(Packet, Instant, Duration, u32)>,
    last_answer: Option<Packet>,
}

#[derive(Default)]
struct State {
    flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow>,
    arrivals: Vec<Arrival>,
    /// Ids of requests that were run, with their route.
    runs: Vec<(String, SocketAddrV4, u64)>,
    streams: Vec<TcpStream>,
}

/// A running backend server; clones share it.
#[derive(Clone)]
pub struct Backend {
    pub identity: Identity,
    born: u64,
    state: Arc<Mutex<State>>,
    is_alive: Arc<AtomicBool>,
    /// `Seq` of its next heartbeat.
    seq: Arc<AtomicU64>,
    /// Until when it is cold, in milliseconds of the record.
    cold_until: Arc<AtomicU64>,
    record: Record,
}

impl Backend {
    /// Starts a backend server.
    pub fn start(identity: Identity, record: &Record) -> std::io::Result<Self> {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let backend = Self {
            born: wall.as_millis() as u64 + identity.clock_ahead_ms,
            state: Arc::default(),
            is_alive: Arc::new(AtomicBool::new(true)),
            seq: Arc::new(AtomicU64::new(identity.first_seq)),
            cold_until: Arc::new(AtomicU64::new(
                record.now() + identity.warmup.as_millis() as u64,
            )),
            record: record.clone(),
            identity,
        };
        let socket = UdpSocket::bind(backend.identity.address)?;
        socket.set_read_timeout(Some(Duration::from_millis(10)))?;
        let listener = TcpListener::bind(backend.identity.address)?;
        listener.set_nonblocking(true)?;
        let (packets, health, beats) = (backend.clone(), backend.clone(), backend.clone());
        thread::spawn(move || packets.serve_packets(&socket));
        thread::spawn(move || health.serve_health(&listener));
        thread::spawn(move || beats.send_heartbeats());
        record.line(&format!(
            "backend {} starts, born {}",
            backend.identity.id, backend.born
        ));
        Ok(backend)
    }

    /// Ends the process without a word: its flows and sockets are gone.
    pub fn crash(&self) {
        self.record
            .line(&format!("backend {} crashes", self.identity.id));
        self.is_alive.store(false, Ordering::SeqCst);
        let mut state = self.state.lock().unwrap();
        state.flows.clear();
        for stream in state.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        thread::sleep(Duration::from_millis(30));
    }

    fn is_alive(&self) -> bool {
        self.is_alive.load(Ordering::SeqCst)
    }

    /// Whether it holds a flow that has opened.
    pub fn holds(&self, caller: SocketAddrV4, route: SocketAddrV4) -> bool {
        let state = self.state.lock().unwrap();
        self.is_alive()
            && state
                .flows
                .get(&(caller, route))
                .is_some_and(|flow| flow.is_open)
    }

    /// The opening packets that it took.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.lock().unwrap().arrivals.clone()
    }

    /// The requests that it ran: id, route and time.
    pub fn runs(&self) -> Vec<(String, SocketAddrV4, u64)> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Becomes cold for this time, as while its zone got no flows.
    pub fn become_cold(&self, warmup: Duration) {
        let until = self.record.now() + warmup.as_millis() as u64;
        self.cold_until.store(until, Ordering::SeqCst);
    }

    /// Number of heartbeats that it has begun to send.
    pub fn heartbeats_begun(&self) -> u64 {
        self.seq.load(Ordering::SeqCst) - self.identity.first_seq
    }

    /// The heartbeat that it would send now, as text.
    pub fn heartbeat(&self, seq: u64) -> String {
        let warmup = self
            .cold_until
            .load(Ordering::SeqCst)
            .saturating_sub(self.record.now());
        format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Capacity\":8,\"State\":\"ready\",\"WarmupLeftMs\":{},\"Seq\":{seq},\"born\":{}}}",
            self.identity.service, self.identity.address, self.identity.zone, warmup, self.born
        )
    }

    fn send_heartbeats(&self) {
        thread::sleep(self.identity.first_beat_after);
        while self.is_alive() {
            let start = Instant::now();
            let seq = self.seq.fetch_add(1, Ordering::SeqCst);
            let path = format!("/v1/backends/{}", self.identity.id);
            let status = call(
                self.identity.control,
                "PUT",
                &path,
                &self.heartbeat(seq),
                Duration::from_secs(1),
            );
            let status = status.map_or("no answer".to_owned(), |status| status.to_string());
            self.record.line(&format!(
                "heartbeat {seq} of {}: {status}",
                self.identity.id
            ));
            while self.is_alive() && start.elapsed() < HEARTBEAT {
                thread::sleep(Duration::from_millis(5));
            }
        }
    }

    fn serve_health(&self, listener: &TcpListener) {
        while self.is_alive() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(5));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(copy) = stream.try_clone() {
                self.state.lock().unwrap().streams.push(copy);
            }
            let backend = self.clone();
            thread::spawn(move || backend.answer_health(stream));
        }
    }

    fn answer_health(&self, mut stream: TcpStream) {
        while let Some(_request) = read_request(&mut stream) {
            let response = Response {
                status: if self.is_alive() { 200 } else { 503 },
                body: "{}".to_owned(),
            };
            if write_response(&mut stream, &response).is_err() {
                return;
            }
        }
    }

    fn serve_packets(&self, socket: &UdpSocket) {
        let mut buffer = [0; 2048];
        while self.is_alive() {
            if let Ok((count, _)) = socket.recv_from(&mut buffer)
                && let Some(packet) = Packet::parse(&buffer[..count])
                && self.is_alive()
            {
                for answer in self.handle(packet) {
                    let _ = socket.send_to(&answer.encode(), self.identity.outbound);
                }
            }
            for answer in self.due_retransmissions() {
                let _ = socket.send_to(&answer.encode(), self.identity.outbound);
            }
        }
    }

    /// Handles a packet; returns what is sent in answer.
    fn handle(&self, packet: Packet) -> Vec<Packet> {
        let mut state = self.state.lock().unwrap();
        if !packet.is_genuine() {
            self.record.line(&format!(
                "backend {} gets a forged packet {packet:?}",
                self.identity.id
            ));
            return Vec::new();
        }
        let key = (packet.src, packet.dst);
        if packet.has(SYN) {
            if packet.has(ACK) {
                return Vec::new();
            }
            return vec![self.open(&mut state, &packet)];
        }
        let Some(flow) = state.flows.get_mut(&key) else {
            return vec![Packet {
                flags: packet.flags | BOUNCED,
                pad: 0,
                ..packet
            }];
        };
        if packet.has(RST) {
            state.flows.remove(&key);
            return Vec::new();
        }
        if !flow.is_open {
            if packet.ack != flow.handshake.wrapping_add(1) {
                return vec![Packet {
                    flags: packet.flags | BOUNCED,
                    pad: 0,
                    ..packet
                }];
            }
            flow.is_open = true;
            self.record.line(&format!(
                "flow {} -> {} is open at {}",
                packet.src, packet.dst, self.identity.id
            ));
        }
        if packet.ack == flow.next_seq {
            flow.unacked = None;
        }
        if packet.data.is_empty() {
            return Vec::new();
        }
        if packet.seq != flow.expected {
            return flow.last_answer.clone().into_iter().collect();
        }
        flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
        let request = String::from_utf8_lossy(&packet.data).into_owned();
        let id = request_id(&request);
        let body = format!("{id} {} {}", self.identity.id, self.identity.service);
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Buckthornlink-Backend-Stamp: {}\r\nContent-Length: {}\r\n\r\n{body}",
            self.identity.id,
            body.len()
        );
        let answer = Packet::new(
            ACK,
            packet.dst,
            packet.src,
            flow.next_seq,
            flow.expected,
            text.as_bytes(),
        );
        flow.next_seq = flow.next_seq.wrapping_add(text.len() as u32);
        flow.unacked = Some((
            answer.clone(),
            Instant::now() + RETRANSMISSION,
            RETRANSMISSION * 2,
            0,
        ));
        flow.last_answer = Some(answer.clone());
        state.runs.push((id.clone(), packet.dst, self.record.now()));
        self.record.line(&format!(
            "request {id} for {} runs at {} ({})",
            packet.dst, self.identity.id, self.identity.service
        ));
        vec![answer]
    }

    fn open(&self, state: &mut State, packet: &Packet) -> Packet {
        let key = (packet.src, packet.dst);
        if !state.flows.contains_key(&key) {
            let at_ms = self.record.now();
            state.arrivals.push(Arrival {
                at_ms,
                route: packet.dst,
            });
            self.record.line(&format!(
                "opening packet {} -> {} reaches {}",
                packet.src, packet.dst, self.identity.id
            ));
            let handshake =
                (at_ms as u32).wrapping_mul(2_654_435_761) ^ u32::from(packet.src.port()) << 13;
            state.flows.insert(
                key,
                Flow {
                    handshake,
                    next_seq: handshake.wrapping_add(1),
                    expected: packet.seq.wrapping_add(1),
                    ..Flow::default()
                },
            );
        }
        let flow = &state.flows[&key];
        Packet::new(
            SYN | ACK,
            packet.dst,
            packet.src,
            flow.handshake,
            flow.expected,
            &[],
        )
    }

    fn due_retransmissions(&self) -> Vec<Packet> {
        let mut due = Vec::new();
        let now = Instant::now();
        for flow in self.state.lock().unwrap().flows.values_mut() {
            if let Some((packet, at, interval, count)) = &mut flow.unacked
                && *at <= now
            {
                *at = now + *interval;
                *interval = (*interval * 2).min(Duration::from_millis(1_600));
                *count += 1;
                due.push(packet.clone());
                if *count >= MAX_RETRANSMISSIONS {
                    flow.unacked = None;
                }
            }
        }
        due
    }
}

fn request_id(request: &str) -> String {
    let line = request
        .lines()
        .find_map(|line| line.strip_prefix("X-Buckthornlink-Request-Id: "));
    line.unwrap_or("-").to_owned()
}
