//! Stand-in of a backend: takes flows at `app`, and reports itself to its machine's node.

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddrV4, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::packet::{ACK, BOUNCED, FIN, Flow, Packet, RST, SYN};
use crate::platform::call;
use crate::record::Record;

/// Where a backend runs, and what it is.
#[derive(Clone, Debug)]
pub struct Place {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
    pub capacity: u16,
    pub heartbeat: Duration,
}

/// One opening packet that a backend took.
#[derive(Clone, Debug)]
pub struct Taken {
    pub flow: Flow,
    pub backend: String,
    pub service: String,
    pub at: Instant,
    /// Until when the backend is cold.
    pub cold_until: Instant,
}

/// What all backends have seen, for the checks.
#[derive(Default)]
pub struct Seen {
    pub taken: Vec<Taken>,
    /// Flows that are open, with the backend that holds each.
    pub open: HashMap<Flow, String>,
    /// Flows that their backend has reset itself.
    pub reset: HashSet<Flow>,
    /// When each backend last sent a heartbeat.
    pub beats: HashMap<String, Instant>,
    /// Packets that are not as their sender wrote them.
    pub altered: u64,
}

/// The backend takes part.
const STAYS: u8 = 0;
/// It is draining.
const DRAINS: u8 = 1;
/// It is draining and does not listen over TCP any more.
const DEAF: u8 = 2;

/// A running boot of a backend.
pub struct Backend {
    id: String,
    control: SocketAddrV4,
    record: Record,
    stop: Arc<AtomicBool>,
    leaving: Arc<AtomicU8>,
    threads: Vec<JoinHandle<()>>,
    seen: Arc<Mutex<Seen>>,
    name: String,
}

/// Bytes of data in a packet.
const DATA: usize = 1_200;
/// Packets in flight.
const IN_FLIGHT: usize = 16;
/// Time after which packets without acknowledgement are sent again.
const RETRANSMIT: Duration = Duration::from_millis(200);

struct Held {
    seq: u32,
    is_open: bool,
    /// Next byte that is expected from the consumer.
    expected: u32,
    /// Bytes that the consumer has not acknowledged, the first of which has number `base`.
    out: Vec<u8>,
    base: u32,
    /// How many of them are in flight, and since when nothing was acknowledged.
    sent: usize,
    progress: Instant,
}

impl Backend {
    /// Starts a boot that is cold for `cold`.
    pub fn start(
        place: &Place,
        cold: Duration,
        seen: &Arc<Mutex<Seen>>,
        record: &Record,
    ) -> Backend {
        let stop = Arc::new(AtomicBool::new(false));
        let leaving = Arc::new(AtomicU8::new(STAYS));
        let cold_until = Instant::now() + cold;
        let socket = UdpSocket::bind(place.app).expect("address of a backend");
        let listener = TcpListener::bind(place.app).expect("address of a backend");
        socket
            .set_read_timeout(Some(Duration::from_millis(20)))
            .unwrap();
        listener.set_nonblocking(true).unwrap();
        record.line(format!(
            "{} starts, cold for {} ms",
            place.name,
            cold.as_millis()
        ));
        let mut threads = Vec::new();
        let born = now_ms();
        let id = format!("i-{born:x}-{}", place.name);
        let packets = Packets {
            place: place.clone(),
            cold_until,
            seen: Arc::clone(seen),
            record: record.clone(),
            flows: HashMap::new(),
            ended: HashSet::new(),
            leaving: Arc::clone(&leaving),
            random: u64::from(u32::from(*place.app.ip())) << 32 ^ now_ms(),
        };
        let flag = Arc::clone(&stop);
        threads.push(std::thread::spawn(move || packets.run(&socket, &flag)));
        let flag = Arc::clone(&stop);
        let phase = Arc::clone(&leaving);
        threads.push(std::thread::spawn(move || {
            serve_health(listener, &flag, &phase);
        }));
        let reporter = Reporter {
            place: place.clone(),
            id: id.clone(),
            born,
            cold_until,
            seen: Arc::clone(seen),
            record: record.clone(),
            stop: Arc::clone(&stop),
            leaving: Arc::clone(&leaving),
        };
        threads.push(std::thread::spawn(move || reporter.run()));
        Backend {
            id,
            control: place.control,
            record: record.clone(),
            name: place.name.clone(),
            stop,
            leaving,
            threads,
            seen: Arc::clone(seen),
        }
    }

    /// The backend reports that it is draining, at once and in all later heartbeats.
    pub fn drain(&self) {
        self.leaving.store(DRAINS, Ordering::SeqCst);
    }

    /// The backend stops listening over TCP, and serves the flows that it has left.
    pub fn stop_listening(&self) {
        self.leaving.store(DEAF, Ordering::SeqCst);
    }

    /// The backend reports that it leaves, and exits.
    pub fn leave(self) {
        let path = format!("/v1/backends/{}", self.id);
        let status = call(self.control, "DELETE", &path, "");
        self.record
            .line(format!("{} leaves: {status:?}", self.name));
        self.crash();
    }

    /// The backend crashes: its sockets are closed and its flows are gone.
    pub fn crash(self) {
        self.stop.store(true, Ordering::SeqCst);
        self.forget_flows();
        for thread in self.threads {
            let _ = thread.join();
        }
    }

    fn forget_flows(&self) {
        let mut seen = self.seen.lock().unwrap();
        seen.open.retain(|_, backend| *backend != self.name);
    }
}

/// Unix time in milliseconds.
pub fn now_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// Sends heartbeats; the first one at once, and one at once when the backend begins to drain.
struct Reporter {
    place: Place,
    id: String,
    born: u64,
    cold_until: Instant,
    seen: Arc<Mutex<Seen>>,
    record: Record,
    stop: Arc<AtomicBool>,
    leaving: Arc<AtomicU8>,
}

impl Reporter {
    fn run(self) {
        let mut seq = 0;
        let mut next = Instant::now();
        let mut was_draining = false;
        while !self.stop.load(Ordering::SeqCst) {
            let is_draining = self.leaving.load(Ordering::SeqCst) != STAYS;
            if Instant::now() < next && is_draining == was_draining {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            }
            was_draining = is_draining;
            next = Instant::now() + self.place.heartbeat;
            seq += 1;
            self.beat(seq, if is_draining { "draining" } else { "ready" });
        }
    }

    fn beat(&self, seq: u64, state: &str) {
        let place = &self.place;
        let cold = self
            .cold_until
            .saturating_duration_since(Instant::now())
            .as_millis();
        let body = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Capacity\":{},\"State\":\"{state}\",\"WarmupLeftMs\":{cold},\"Seq\":{seq},\"born\":{}}}",
            place.service, place.app, place.zone, place.capacity, self.born
        );
        let mut seen = self.seen.lock().unwrap();
        seen.beats.insert(place.name.clone(), Instant::now());
        drop(seen);
        let path = format!("/v1/backends/{}", self.id);
        let status = call(place.control, "PUT", &path, &body);
        self.record.line(format!(
            "{} heartbeat {seq}, {state}: {status:?}",
            place.name
        ));
    }
}

/// Answers health checks and keeps other connections open, until the backend stops listening.
fn serve_health(listener: TcpListener, stop: &AtomicBool, leaving: &AtomicU8) {
    let mut streams = Vec::new();
    while !stop.load(Ordering::SeqCst) && leaving.load(Ordering::SeqCst) != DEAF {
        if let Ok((stream, _)) = listener.accept() {
            streams.push(stream);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

struct Packets {
    place: Place,
    cold_until: Instant,
    seen: Arc<Mutex<Seen>>,
    record: Record,
    flows: HashMap<Flow, Held>,
    ended: HashSet<Flow>,
    leaving: Arc<AtomicU8>,
    random: u64,
}

impl Packets {
    fn run(mut self, socket: &UdpSocket, stop: &AtomicBool) {
        let mut buffer = [0; 2_048];
        while !stop.load(Ordering::SeqCst) {
            for answer in self.retransmit() {
                let _ = socket.send_to(&answer.bytes(), self.place.outbound);
            }
            let Ok((len, _)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            if stop.load(Ordering::SeqCst) {
                continue;
            }
            let Some(packet) = Packet::parse(&buffer[..len]) else {
                continue;
            };
            for answer in self.receive(packet) {
                let _ = socket.send_to(&answer.bytes(), self.place.outbound);
            }
        }
    }

    fn receive(&mut self, packet: Packet) -> Vec<Packet> {
        let flow = Flow {
            consumer: (packet.src, packet.sport),
            route: (packet.dst, packet.dport),
        };
        if !packet.is_intact() || packet.flags & BOUNCED != 0 {
            self.seen.lock().unwrap().altered += 1;
            self.record.line(format!(
                "{} got an altered packet of {flow}",
                self.place.name
            ));
            return Vec::new();
        }
        if packet.flags & SYN != 0 {
            return self.open(flow, &packet);
        }
        if self.ended.contains(&flow) {
            return self.answer_ended(flow, &packet);
        }
        let Some(held) = self.flows.get_mut(&flow) else {
            return vec![bounce(packet)];
        };
        if !held.is_open {
            if packet.ack != held.seq.wrapping_add(1) {
                return vec![bounce(packet)];
            }
            held.is_open = true;
            let mut seen = self.seen.lock().unwrap();
            seen.open.insert(flow, self.place.name.clone());
            drop(seen);
            self.record.line(format!("{} open {flow}", self.place.name));
        }
        if packet.flags & RST != 0 {
            self.end(flow);
            return Vec::new();
        }
        let acked = packet.ack.wrapping_sub(held.base) as usize;
        if acked > 0 && acked <= held.sent {
            held.out.drain(..acked);
            held.base = packet.ack;
            held.sent -= acked;
            held.progress = Instant::now();
        }
        if !packet.data.is_empty() && packet.seq == held.expected {
            held.expected = held.expected.wrapping_add(packet.data.len() as u32);
            let request = String::from_utf8_lossy(&packet.data).into_owned();
            self.record.line(format!(
                "{} ran {} of {flow}",
                self.place.name,
                request_id(&request)
            ));
            let mut body = format!("done by {} ", self.place.name).into_bytes();
            body.resize(requested_bytes(&request).max(body.len()), b'.');
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Buckthornlink-Backend-Stamp: {}\r\nContent-Length: {}\r\n\r\n",
                self.place.name,
                body.len()
            );
            held.out.extend(head.into_bytes());
            held.out.extend(body);
            held.progress = Instant::now();
        }
        let is_draining = self.leaving.load(Ordering::SeqCst) != STAYS;
        let mut answers = held.fill(flow, is_draining);
        if packet.flags & FIN != 0 {
            let answer = reply(flow, ACK | FIN, held.base, held.expected.wrapping_add(1));
            answers.push(answer.signed());
            self.end(flow);
        }
        answers
    }

    fn retransmit(&mut self) -> Vec<Packet> {
        let mut answers = Vec::new();
        let is_draining = self.leaving.load(Ordering::SeqCst) != STAYS;
        for (flow, held) in &mut self.flows {
            if held.sent > 0 && held.progress.elapsed() >= RETRANSMIT {
                held.sent = 0;
                held.progress = Instant::now();
                answers.extend(held.fill(*flow, is_draining));
            }
        }
        answers
    }

    fn open(&mut self, flow: Flow, packet: &Packet) -> Vec<Packet> {
        let seq = match self.flows.get(&flow) {
            Some(held) => held.seq,
            None => {
                self.random = self
                    .random
                    .wrapping_mul(0x5851_f42d_4c95_7f2d)
                    .wrapping_add(0x1405_7b7e_f767_814f);
                (self.random >> 32) as u32
            }
        };
        if !self.flows.contains_key(&flow) {
            let held = Held {
                seq,
                is_open: false,
                expected: packet.seq.wrapping_add(1),
                out: Vec::new(),
                base: seq.wrapping_add(1),
                sent: 0,
                progress: Instant::now(),
            };
            self.flows.insert(flow, held);
            self.ended.remove(&flow);
            let taken = Taken {
                flow,
                backend: self.place.name.clone(),
                service: self.place.service.clone(),
                at: Instant::now(),
                cold_until: self.cold_until,
            };
            self.seen.lock().unwrap().taken.push(taken);
            self.record.line(format!(
                "{} took SYN {} of {flow}",
                self.place.name, packet.ack
            ));
        }
        vec![reply(flow, SYN | ACK, seq, packet.seq.wrapping_add(1)).signed()]
    }

    fn answer_ended(&mut self, flow: Flow, packet: &Packet) -> Vec<Packet> {
        if packet.flags & FIN != 0 {
            return vec![reply(flow, ACK, packet.ack, packet.seq.wrapping_add(1)).signed()];
        }
        if packet.data.is_empty() {
            return Vec::new();
        }
        self.seen.lock().unwrap().reset.insert(flow);
        vec![reply(flow, RST, packet.ack, 0).signed()]
    }

    fn end(&mut self, flow: Flow) {
        self.flows.remove(&flow);
        self.ended.insert(flow);
        self.seen.lock().unwrap().open.remove(&flow);
    }
}

impl Held {
    /// Sends as much as may be in flight. A backend that is draining closes the flow with the end of an
    /// answer.
    fn fill(&mut self, flow: Flow, is_draining: bool) -> Vec<Packet> {
        let mut packets = Vec::new();
        while self.sent < self.out.len() && self.sent < IN_FLIGHT * DATA {
            let end = (self.sent + DATA).min(self.out.len());
            let mut packet = reply(
                flow,
                ACK,
                self.base.wrapping_add(self.sent as u32),
                self.expected,
            );
            packet.data = self.out[self.sent..end].to_vec();
            if is_draining && end == self.out.len() {
                packet.flags |= FIN;
            }
            packets.push(packet.signed());
            self.sent = end;
        }
        packets
    }
}

/// The size of the answer that a request asks for.
fn requested_bytes(request: &str) -> usize {
    let rest = request.split_once("bytes=").map_or("", |(_, rest)| rest);
    rest.split(' ').next().unwrap_or("").parse().unwrap_or(0)
}

fn reply(flow: Flow, flags: u8, seq: u32, ack: u32) -> Packet {
    Packet {
        flags,
        src: flow.route.0,
        sport: flow.route.1,
        dst: flow.consumer.0,
        dport: flow.consumer.1,
        seq,
        ack,
        ..Packet::default()
    }
}

/// The packet as a backend returns it: `echo` as it arrived, `pad` zero.
fn bounce(mut packet: Packet) -> Packet {
    packet.flags |= BOUNCED;
    packet.pad = 0;
    packet
}

fn request_id(request: &str) -> &str {
    let name = "X-Buckthornlink-Request-Id: ";
    let rest = request.split_once(name).map_or("", |(_, rest)| rest);
    rest.split("\r\n").next().unwrap_or("")
}
