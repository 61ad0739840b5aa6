//! Stand-ins of the consumers, and of the routers that forward their packets.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::backend::Seen;
use crate::packet::{ACK, FIN, Flow, Packet, RST, SYN};
use crate::platform::call_within;
use crate::record::Record;

/// When copies of a SYN are sent, after the SYN.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
/// When an attempt without a SYN+ACK ends.
const OPENING_TIME: Duration = Duration::from_millis(1_400);
/// Deadline of a request.
const DEADLINE: Duration = Duration::from_secs(5);
/// How far from the consumer's last `ack` the `seq` of a reset may be.
const RESET_WINDOW: u32 = 76_800;

/// Interval of the readiness checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The routers: which balancers are in rotation, by zone.
#[derive(Clone)]
pub struct Router {
    nodes: Arc<Mutex<BTreeMap<Ipv4Addr, Node>>>,
    data_port: u16,
}

#[derive(Clone, Debug)]
struct Node {
    zone: String,
    misses: u32,
}

impl Router {
    /// Checks the readiness of each node twice a second.
    pub fn start(nodes: &[(Ipv4Addr, String)], data_port: u16, readiness_port: u16) -> Router {
        let list = nodes.iter().map(|(ip, zone)| {
            let zone = zone.clone();
            (*ip, Node { zone, misses: 2 })
        });
        let router = Router {
            nodes: Arc::new(Mutex::new(list.collect())),
            data_port,
        };
        for (ip, _) in nodes {
            let (ip, shared) = (*ip, Arc::clone(&router.nodes));
            std::thread::spawn(move || {
                loop {
                    let next = Instant::now() + CHECK_INTERVAL;
                    let status = call_within(
                        CHECK_INTERVAL,
                        SocketAddrV4::new(ip, readiness_port),
                        "GET",
                        "/v1/ready",
                        "",
                    );
                    let mut nodes = shared.lock().unwrap();
                    let node = nodes.get_mut(&ip).unwrap();
                    node.misses = if status == Some(200) {
                        0
                    } else {
                        node.misses + 1
                    };
                    drop(nodes);
                    std::thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            });
        }
        router
    }

    /// Number of nodes in rotation.
    pub fn ready(&self) -> usize {
        self.nodes
            .lock()
            .unwrap()
            .values()
            .filter(|n| n.misses < 2)
            .count()
    }

    /// The node for a flow of a consumer in `zone`, by a steady hash.
    pub fn node(&self, flow: &Flow, zone: &str) -> SocketAddrV4 {
        let nodes = self.nodes.lock().unwrap();
        let local: Vec<_> = nodes.iter().filter(|(_, n)| n.zone == zone).collect();
        let mut used: Vec<_> = local.iter().filter(|(_, n)| n.misses < 2).collect();
        if used.len() * 2 < local.len() && !used.is_empty() {
            used = local.iter().collect();
        }
        let mut ips: Vec<Ipv4Addr> = used.iter().map(|(ip, _)| **ip).collect();
        if ips.is_empty() {
            let ready = nodes.iter().filter(|(_, n)| n.misses < 2);
            ips = ready.map(|(ip, _)| *ip).collect();
        }
        if ips.is_empty() {
            ips = local.iter().map(|(ip, _)| **ip).collect();
        }
        let best = ips.iter().max_by_key(|ip| steady_hash(flow, **ip));
        SocketAddrV4::new(*best.expect("a node"), self.data_port)
    }
}

/// Whether an answer has arrived whole.
fn is_whole(answer: &[u8]) -> bool {
    let Some(end) = answer.windows(4).position(|w| w == b"\r\n\r\n") else {
        return false;
    };
    let head = String::from_utf8_lossy(&answer[..end]).into_owned();
    let rest = head
        .split_once("Content-Length: ")
        .map_or("", |(_, rest)| rest);
    let len: usize = rest.split("\r\n").next().unwrap_or("").parse().unwrap_or(0);
    answer.len() >= end + 4 + len
}

fn steady_hash(flow: &Flow, node: Ipv4Addr) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325u64;
    let words = [
        flow.consumer.0,
        u32::from(flow.consumer.1),
        flow.route.0,
        u32::from(flow.route.1),
        u32::from(node),
    ];
    for byte in words.iter().flat_map(|w| w.to_le_bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    hash ^ hash >> 29
}

/// Consumers of one kind.
#[derive(Clone, Debug)]
pub struct Kind {
    pub name: &'static str,
    pub zone: String,
    pub route: (u32, u16),
    /// Time between the openings of two flows.
    pub every: Duration,
    /// Pause between two requests of a flow; none for a flow for each request.
    pub pause: Option<Duration>,
    /// Flows that are kept open; unused with a flow for each request.
    pub flows: usize,
    /// Requests after which a flow is closed.
    pub requests: u32,
    /// Size of the answers that are asked for.
    pub bytes: usize,
    /// A longer pause, and the number of requests between two of them.
    pub rest: Option<(Duration, u32)>,
}

/// An end of a flow that the consumer saw.
#[derive(Clone, Debug)]
pub struct Reset {
    pub flow: Flow,
    pub at: Instant,
    pub opened: Instant,
    pub last_packet: Instant,
    /// Backend that held the flow when the reset arrived, if any.
    pub holder: Option<String>,
    /// Node that took the consumer's last packet.
    pub node: SocketAddrV4,
}

/// What the consumers have seen.
#[derive(Default)]
pub struct Log {
    /// When the first SYN of each flow was sent.
    pub sent: HashMap<Flow, Instant>,
    /// Resets of open flows that are within the window.
    pub resets: Vec<Reset>,
    pub answered: u64,
    pub failed: u64,
    pub refused: u64,
}

enum Stage {
    Opening {
        since: Instant,
        copies: usize,
    },
    Idle {
        next: Instant,
    },
    Waiting {
        since: Instant,
        sent: Instant,
        delay: Duration,
    },
    Closing {
        since: Instant,
    },
}

struct Running {
    kind: usize,
    host: usize,
    stage: Stage,
    seq: u32,
    ack: u32,
    opened: Instant,
    last_packet: Instant,
    requests: u32,
    request: Vec<u8>,
    /// The part of the answer that has arrived, and the packets of it since the last acknowledgement.
    answer: Vec<u8>,
    unacknowledged: u32,
    received: u64,
    /// Node that took the last packet.
    node: SocketAddrV4,
}

/// Running consumers.
pub struct Consumers {
    pub log: Arc<Mutex<Log>>,
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Consumers {
    pub fn start(
        hosts: &[SocketAddrV4],
        kinds: Vec<Kind>,
        router: &Router,
        seen: &Arc<Mutex<Seen>>,
        record: &Record,
    ) -> Consumers {
        let log = Arc::new(Mutex::new(Log::default()));
        let stop = Arc::new(AtomicBool::new(false));
        let sockets = hosts.iter().map(|addr| {
            let socket = UdpSocket::bind(addr).expect("address of a consumer");
            socket.set_nonblocking(true).unwrap();
            socket
        });
        let crowd = Crowd {
            hosts: hosts.to_vec(),
            sockets: sockets.collect(),
            last_opened: vec![Instant::now(); kinds.len()],
            kinds,
            router: router.clone(),
            seen: Arc::clone(seen),
            log: Arc::clone(&log),
            record: record.clone(),
            flows: HashMap::new(),
            past: HashSet::new(),
            next_port: 20_000,
            next_host: 0,
        };
        let flag = Arc::clone(&stop);
        let thread = std::thread::spawn(move || crowd.run(&flag));
        Consumers {
            log,
            stop,
            thread: Some(thread),
        }
    }

    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

struct Crowd {
    hosts: Vec<SocketAddrV4>,
    sockets: Vec<UdpSocket>,
    kinds: Vec<Kind>,
    last_opened: Vec<Instant>,
    router: Router,
    seen: Arc<Mutex<Seen>>,
    log: Arc<Mutex<Log>>,
    record: Record,
    flows: HashMap<Flow, Running>,
    past: HashSet<Flow>,
    next_port: u16,
    next_host: usize,
}

impl Crowd {
    fn run(mut self, stop: &AtomicBool) {
        let mut buffer = [0; 2_048];
        while !stop.load(Ordering::SeqCst) {
            for host in 0..self.sockets.len() {
                while let Ok((len, _)) = self.sockets[host].recv_from(&mut buffer) {
                    if let Some(packet) = Packet::parse(&buffer[..len]) {
                        self.receive(&packet);
                    }
                }
            }
            self.open_flows();
            self.advance();
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn open_flows(&mut self) {
        for kind in 0..self.kinds.len() {
            let spec = self.kinds[kind].clone();
            let now = Instant::now();
            let count = self.flows.values().filter(|f| f.kind == kind).count();
            let is_full = spec.pause.is_some() && count >= spec.flows;
            if is_full || now - self.last_opened[kind] < spec.every {
                continue;
            }
            self.last_opened[kind] =
                (self.last_opened[kind] + spec.every).max(now - spec.every * 3);
            self.next_host = (self.next_host + 1) % self.hosts.len();
            self.next_port = if self.next_port > 60_000 {
                20_000
            } else {
                self.next_port + 1
            };
            let consumer = (u32::from(*self.hosts[self.next_host].ip()), self.next_port);
            let flow = Flow {
                consumer,
                route: spec.route,
            };
            let running = Running {
                kind,
                host: self.next_host,
                stage: Stage::Opening {
                    since: now,
                    copies: 0,
                },
                seq: u32::from(self.next_port).wrapping_mul(2_654_435_761),
                ack: 0,
                opened: now,
                last_packet: now,
                requests: 0,
                request: Vec::new(),
                answer: Vec::new(),
                unacknowledged: 0,
                received: 0,
                node: self.hosts[self.next_host],
            };
            self.log.lock().unwrap().sent.insert(flow, now);
            self.flows.insert(flow, running);
            self.send(&flow, SYN, 0, Vec::new());
            self.record.line(format!("{} SYN 0 of {flow}", spec.name));
        }
    }

    /// Sends a packet of a flow through the node that the router selects now.
    fn send(&mut self, flow: &Flow, flags: u8, ack: u32, data: Vec<u8>) {
        let Some(running) = self.flows.get_mut(flow) else {
            return;
        };
        running.last_packet = Instant::now();
        let seq = running.seq;
        let packet = Packet {
            flags,
            src: flow.consumer.0,
            sport: flow.consumer.1,
            dst: flow.route.0,
            dport: flow.route.1,
            seq,
            ack,
            data,
            ..Packet::default()
        };
        let node = self.router.node(flow, &self.kinds[running.kind].zone);
        running.node = node;
        let _ = self.sockets[running.host].send_to(&packet.signed().bytes(), node);
    }

    fn advance(&mut self) {
        let now = Instant::now();
        let flows: Vec<Flow> = self.flows.keys().copied().collect();
        for flow in flows {
            let running = self.flows.get_mut(&flow).unwrap();
            match running.stage {
                Stage::Opening { since, copies } => {
                    if now - since >= OPENING_TIME {
                        self.log.lock().unwrap().failed += 1;
                        self.record.line(format!("no SYN+ACK for {flow}"));
                        self.forget(&flow);
                    } else if copies < COPIES.len() && now - since >= COPIES[copies] {
                        let copies = copies + 1;
                        running.stage = Stage::Opening { since, copies };
                        self.send(&flow, SYN, copies as u32, Vec::new());
                        self.record.line(format!("SYN {copies} of {flow}"));
                    }
                }
                Stage::Idle { next } if now >= next => self.request(&flow, now),
                Stage::Idle { .. } => {}
                Stage::Waiting { since, sent, delay } => {
                    if now - since >= DEADLINE {
                        self.log.lock().unwrap().failed += 1;
                        self.record.line(format!("deadline of {flow}"));
                        self.forget(&flow);
                    } else if now - sent >= delay {
                        let delay = (delay * 2).min(Duration::from_millis(1_600));
                        running.stage = Stage::Waiting {
                            since,
                            sent: now,
                            delay,
                        };
                        let (ack, data) = (running.ack, running.request.clone());
                        running.seq = running.seq.wrapping_sub(data.len() as u32);
                        let len = data.len() as u32;
                        self.send(&flow, ACK, ack, data);
                        let running = self.flows.get_mut(&flow).unwrap();
                        running.seq = running.seq.wrapping_add(len);
                    }
                }
                Stage::Closing { since } if now - since >= Duration::from_millis(500) => {
                    self.forget(&flow);
                }
                Stage::Closing { .. } => {}
            }
        }
    }

    fn request(&mut self, flow: &Flow, now: Instant) {
        let running = self.flows.get_mut(flow).unwrap();
        let id = NEXT_REQUEST.fetch_add(1, Ordering::SeqCst);
        let bytes = self.kinds[running.kind].bytes;
        let text = format!(
            "GET /item?bytes={bytes} HTTP/1.1\r\nX-Buckthornlink-Request-Id: r{id}\r\n\r\n"
        );
        running.requests += 1;
        running.request = text.into_bytes();
        running.stage = Stage::Waiting {
            since: now,
            sent: now,
            delay: Duration::from_millis(200),
        };
        let (ack, data) = (running.ack, running.request.clone());
        let len = data.len() as u32;
        self.send(flow, ACK, ack, data);
        let running = self.flows.get_mut(flow).unwrap();
        running.seq = running.seq.wrapping_add(len);
        self.record.line(format!("sent r{id} on {flow}"));
    }

    fn receive(&mut self, packet: &Packet) {
        let flow = Flow {
            consumer: (packet.dst, packet.dport),
            route: (packet.src, packet.sport),
        };
        let now = Instant::now();
        let Some(running) = self.flows.get_mut(&flow) else {
            return;
        };
        if packet.flags & RST != 0 {
            self.reset(&flow, packet, now);
            return;
        }
        match running.stage {
            Stage::Opening { .. } if packet.flags & SYN != 0 => {
                running.ack = packet.seq.wrapping_add(1);
                running.seq = running.seq.wrapping_add(1);
                running.opened = now;
                running.last_packet = now;
                running.stage = Stage::Idle { next: now };
                self.record.line(format!("opened {flow}"));
            }
            Stage::Waiting { .. } if packet.flags & SYN == 0 && !packet.data.is_empty() => {
                if packet.seq != running.ack {
                    let ack = running.ack;
                    self.send(&flow, ACK, ack, Vec::new());
                    return;
                }
                running.ack = packet.seq.wrapping_add(packet.data.len() as u32);
                running.answer.extend(&packet.data);
                running.received += packet.data.len() as u64;
                running.unacknowledged += 1;
                running.last_packet = now;
                if let Stage::Waiting { sent, .. } = &mut running.stage {
                    *sent = now;
                }
                if !is_whole(&running.answer) {
                    if running.unacknowledged >= 2 {
                        running.unacknowledged = 0;
                        let ack = running.ack;
                        self.send(&flow, ACK, ack, Vec::new());
                    }
                    return;
                }
                running.answer.clear();
                running.unacknowledged = 0;
                let kind = &self.kinds[running.kind];
                let requests = running.requests;
                let rest = kind.rest.filter(|(_, count)| requests % count == 0);
                let pause = rest.map(|(rest, _)| rest).or(kind.pause);
                let pause = pause.filter(|_| requests < kind.requests);
                self.log.lock().unwrap().answered += 1;
                self.record.line(format!("answer {requests} on {flow}"));
                let ack = running.ack;
                let pause = pause.filter(|_| packet.flags & FIN == 0);
                match pause {
                    Some(pause) => {
                        running.stage = Stage::Idle { next: now + pause };
                        self.send(&flow, ACK, ack, Vec::new());
                    }
                    None => {
                        running.stage = Stage::Closing { since: now };
                        self.send(&flow, ACK | FIN, ack, Vec::new());
                    }
                }
            }
            _ => {}
        }
    }

    fn reset(&mut self, flow: &Flow, packet: &Packet, now: Instant) {
        let running = &self.flows[flow];
        let is_opening = matches!(running.stage, Stage::Opening { .. });
        let distance = packet.seq.wrapping_sub(running.ack);
        let is_near = distance <= RESET_WINDOW || distance.wrapping_neg() <= RESET_WINDOW;
        if is_opening {
            self.log.lock().unwrap().refused += 1;
            self.record.line(format!("refused {flow}"));
        } else if is_near && !matches!(running.stage, Stage::Closing { .. }) {
            let seen = self.seen.lock().unwrap();
            let own = seen.reset.contains(flow);
            let holder = seen.open.get(flow).cloned().filter(|_| !own);
            drop(seen);
            self.record.line(format!(
                "reset of open {flow} after {} bytes, held by {holder:?}",
                running.received
            ));
            let reset = Reset {
                flow: *flow,
                at: now,
                opened: running.opened,
                last_packet: running.last_packet,
                holder,
                node: running.node,
            };
            self.log.lock().unwrap().resets.push(reset);
        } else {
            return;
        }
        self.forget(flow);
    }

    fn forget(&mut self, flow: &Flow) {
        self.flows.remove(flow);
        self.past.insert(*flow);
    }
}
