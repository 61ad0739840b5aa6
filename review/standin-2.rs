//! Stand-ins of the platform, backends and consumers for the cases 6 to 10, with the standard library only.
//!
//! `standin-2 CASE RECORD` starts the programs of the deploy file on loopback addresses, plays the case and exits with 1 if
//! the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

type Res<T> = Result<T, Box<dyn std::error::Error + Send + Sync>>;

const HEARTBEAT_MS: u64 = 1_200;
const IDLE_TIMEOUT_MS: u64 = 15_000;
/// Bound `ContactMs` of the small deployment.
const CONTACT_MS: u64 = 4_000;
const WARMUP_MS: u64 = 2_000;
/// Bounds `ColdOver` and `ColdSlack`.
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
const HEADER: usize = 32;
const SYN: u8 = 1;
const RST: u8 = 2;
const ACK: u8 = 4;
const BOUNCED: u8 = 8;
const FIN: u8 = 32;
/// Number of times that the disruption of the case `silent-connection` is played.
const ROUNDS: usize = 2;
/// Distance from the consumer's last acknowledgement within which it takes a reset.
const RESET_WINDOW: u32 = 76_800;
const SERVICE: &str = "huvo11a";
const ZONES: [&str; 4] = ["brasov-a", "brasov-b", "brasov-c", "brasov-d"];
const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8080);

const DATA_PORT: u16 = 28_172;
const READINESS_PORT: u16 = 28_167;
const CONTROL_PORT: u16 = 28_166;
const APP_PORT: u16 = 28_165;
const OUTBOUND_PORT: u16 = 28_162;
const STORE_PORT: u16 = 28_169;
const INTERNAL_PORTS: [u16; 2] = [27_720, 27_735];

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A small generator of random numbers.
struct Rng(u64);

impl Rng {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
}

// ---------------------------------------------------------------------------------------------- record

/// Clock and record of a run.
struct Run {
    start: Instant,
    record: Mutex<File>,
    stop: AtomicBool,
}

impl Run {
    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn log(&self, line: impl std::fmt::Display) {
        let text = format!("{:>7} ms  {line}\n", self.now());
        let mut record = self.record.lock().unwrap();
        let _ = record.write_all(text.as_bytes());
    }

    fn is_over(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }
}

// ---------------------------------------------------------------------------------------------- JSON

#[derive(Clone, Debug)]
enum Json {
    Null,
    Num(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        Self::value(bytes, &mut at)
    }

    fn skip(b: &[u8], at: &mut usize) {
        while *at < b.len() && (b[*at].is_ascii_whitespace() || b[*at] == b',' || b[*at] == b':') {
            *at += 1;
        }
    }

    fn value(b: &[u8], at: &mut usize) -> Option<Json> {
        Self::skip(b, at);
        match *b.get(*at)? {
            b'{' => {
                *at += 1;
                let mut map = BTreeMap::new();
                loop {
                    Self::skip(b, at);
                    if *b.get(*at)? == b'}' {
                        *at += 1;
                        return Some(Json::Map(map));
                    }
                    let Json::Text(key) = Self::value(b, at)? else { return None };
                    map.insert(key, Self::value(b, at)?);
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::skip(b, at);
                    if *b.get(*at)? == b']' {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    list.push(Self::value(b, at)?);
                }
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                loop {
                    let c = *b.get(*at)?;
                    *at += 1;
                    match c {
                        b'"' => return Some(Json::Text(String::from_utf8_lossy(&text).into_owned())),
                        b'\\' => {
                            text.push(*b.get(*at)?);
                            *at += 1;
                        }
                        c => text.push(c),
                    }
                }
            }
            _ => {
                let from = *at;
                while *at < b.len() && !b",}] \n\r\t".contains(&b[*at]) {
                    *at += 1;
                }
                let word = std::str::from_utf8(&b[from..*at]).ok()?;
                Some(word.parse().map_or(Json::Null, Json::Num))
            }
        }
    }

    fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Map(map) => map.get(key),
            _ => None,
        }
    }

    fn list(&self, key: &str) -> Vec<Json> {
        match self.get(key) {
            Some(Json::List(list)) => list.clone(),
            _ => Vec::new(),
        }
    }

    fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    fn num(&self, key: &str) -> u64 {
        match self.get(key) {
            Some(Json::Num(n)) => *n as u64,
            _ => 0,
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const SET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= chunk.len() {
                text.push(SET[(n >> (18 - 6 * i) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------------------------------------- HTTP

struct Request {
    method: String,
    path: String,
    query: HashMap<String, String>,
    body: String,
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let mut length = 0;
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header).ok()? == 0 {
            return None;
        }
        let header = header.trim().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let unescape = |v: &str| v.replace("%2F", "/").replace("%2B", "+").replace("%26", "&").replace("%25", "%");
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.map(|(k, v)| (k.to_owned(), unescape(v))).collect(),
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

fn respond(stream: &mut TcpStream, status: u16, body: &str) -> bool {
    let head = format!(
        "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).is_ok()
}

/// Sends one request over a new connection; returns the status.
fn call(to: SocketAddrV4, method: &str, path: &str, body: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&to.into(), ms(1_000)).ok()?;
    stream.set_read_timeout(Some(ms(1_000))).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    line.split_whitespace().nth(1)?.parse().ok()
}

// ---------------------------------------------------------------------------------------------- store

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes by revision; a removal has no item.
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, Instant>,
}

/// The platform's store.
#[derive(Default)]
struct Store {
    contents: Mutex<Contents>,
    changed: Condvar,
}

impl Contents {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.history.push((self.revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: HashSet<u64> = self.leases.iter().filter(|(_, at)| **at < now).map(|(id, _)| *id).collect();
        if ended.is_empty() {
            return;
        }
        self.leases.retain(|id, _| !ended.contains(id));
        let keys: Vec<String> = self.items.iter().filter(|(_, i)| ended.contains(&i.lease)).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.remove(&key);
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Revision\":{},\"CreateRevision\":{},\"Lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

impl Store {
    fn serve(self: &Arc<Self>, at: SocketAddrV4) -> Res<()> {
        let listener = TcpListener::bind(at)?;
        self.contents.lock().unwrap().revision = 100;
        let store = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                thread::spawn(move || store.serve_connection(stream));
            }
        });
        Ok(())
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else { return };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(clone);
        while let Some(request) = read_request(&mut reader) {
            let (status, body) = self.handle(&request);
            if !respond(&mut stream, status, &body) {
                return;
            }
        }
    }

    /// Writes an item as the operator, or removes it.
    fn edit(&self, key: &str, value: Option<&str>) {
        let mut contents = self.contents.lock().unwrap();
        contents.revision += 1;
        match value {
            Some(value) => contents.write(key, base64(value.as_bytes()), 0),
            None => contents.remove(key),
        }
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> (u16, String) {
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let mut contents = self.contents.lock().unwrap();
        contents.expire();
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/kv-key") => {
                let key = query("Key");
                let Some(item) = contents.items.get(&key) else { return (404, "{}".to_owned()) };
                let mut json = item_json(&key, item);
                json.pop();
                (200, format!("{json},\"StoreRevision\":{}}}", contents.revision))
            }
            ("GET", "/v1/kv-range") => {
                let (prefix, after) = (query("Prefix"), query("after"));
                let items = contents.items.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let items: Vec<String> = items.map(|(k, i)| item_json(k, i)).collect();
                (200, format!("{{\"items\":[{}],\"MorePages\":false,\"StoreRevision\":{}}}", items.join(","), contents.revision))
            }
            ("GET", "/v1/kv-watch") => {
                let prefix = query("Prefix");
                let after: u64 = query("after").parse().unwrap_or(0);
                let until = Instant::now() + ms(query("WaitMs").parse().unwrap_or(0));
                loop {
                    let events = contents.history.iter().filter(|(r, k, _)| *r > after && k.starts_with(&prefix));
                    let events: Vec<String> = events
                        .map(|(r, k, item)| match item {
                            Some(item) => item_json(k, item),
                            None => format!("{{\"Key\":\"{k}\",\"Revision\":{r},\"Removed\":true}}"),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        return (200, format!("{{\"events\":[{}],\"StoreRevision\":{}}}", events.join(","), contents.revision));
                    }
                    contents = self.changed.wait_timeout(contents, left).unwrap().0;
                }
            }
            ("POST", "/v1/kv-txn") => {
                let Some(body) = Json::parse(&request.body) else { return (400, "{}".to_owned()) };
                let rows = body.list("Precondition");
                let current = |c: &Contents, key: &str| c.items.get(key).map_or(0, |i| i.revision);
                if rows.iter().any(|row| current(&contents, &row.text("Key")) != row.num("Revision")) {
                    let keys = rows.iter().map(|row| row.text("Key"));
                    let items: Vec<String> = keys.filter_map(|k| contents.items.get(&k).map(|i| item_json(&k, i))).collect();
                    return (412, format!("{{\"items\":[{}]}}", items.join(",")));
                }
                let writes = body.list("Writes");
                if writes.iter().any(|w| w.num("Lease") != 0 && !contents.leases.contains_key(&w.num("Lease"))) {
                    return (404, "{}".to_owned());
                }
                contents.revision += 1;
                for write in writes {
                    contents.write(&write.text("Key"), write.text("Value"), write.num("Lease"));
                }
                for key in body.list("Remove") {
                    if let Json::Text(key) = key {
                        contents.remove(&key);
                    }
                }
                self.changed.notify_all();
                (200, format!("{{\"Revision\":{}}}", contents.revision))
            }
            ("POST", "/v1/kv-lease") => {
                let ttl = Json::parse(&request.body).map_or(0, |b| b.num("TtlMs")).clamp(1_000, 600_000);
                let id = 70_000 + contents.leases.len() as u64 + contents.revision * 1_000;
                contents.leases.insert(id, Instant::now() + ms(ttl));
                (200, format!("{{\"Lease\":{id},\"TtlMs\":{ttl}}}"))
            }
            (method, path) => {
                let id = path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok()).unwrap_or(0);
                if !contents.leases.contains_key(&id) {
                    return (404, "{}".to_owned());
                }
                if method == "DELETE" {
                    contents.leases.insert(id, Instant::now() - ms(1));
                    contents.expire();
                    return (200, "{}".to_owned());
                }
                contents.leases.insert(id, Instant::now() + ms(600_000));
                (200, "{\"TtlMs\":600000}".to_owned())
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------- packets

type FlowKey = (SocketAddrV4, SocketAddrV4);

#[derive(Clone, Copy, Debug)]
struct Head {
    flags: u8,
    src: SocketAddrV4,
    dst: SocketAddrV4,
    seq: u32,
    ack: u32,
    len: u16,
}

fn checksum(bytes: &[u8]) -> u32 {
    let mut sum: u32 = 0x811c_9dc5 ^ 0x5eed_2026;
    for (i, &byte) in bytes.iter().enumerate() {
        let byte = match i {
            0 => byte & !BOUNCED,
            1 | 24..=31 => 0,
            _ => byte,
        };
        sum = (sum ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    }
    sum
}

fn encode(head: &Head, payload: &[u8]) -> Vec<u8> {
    let mut b = vec![0; HEADER];
    b[0] = head.flags;
    b[2..6].copy_from_slice(&u32::from(*head.src.ip()).to_le_bytes());
    b[6..10].copy_from_slice(&u32::from(*head.dst.ip()).to_le_bytes());
    b[10..12].copy_from_slice(&head.dst.port().to_le_bytes());
    b[12..14].copy_from_slice(&head.src.port().to_le_bytes());
    b[14..18].copy_from_slice(&head.seq.to_le_bytes());
    b[18..22].copy_from_slice(&head.ack.to_le_bytes());
    b[22..24].copy_from_slice(&(payload.len() as u16).to_le_bytes());
    b.extend_from_slice(payload);
    let sum = checksum(&b);
    b[24..28].copy_from_slice(&sum.to_le_bytes());
    b
}

fn decode(b: &[u8]) -> Option<Head> {
    if b.len() < HEADER {
        return None;
    }
    let u16_at = |i: usize| u16::from_le_bytes([b[i], b[i + 1]]);
    let u32_at = |i: usize| u32::from_le_bytes([b[i], b[i + 1], b[i + 2], b[i + 3]]);
    Some(Head {
        flags: b[0],
        src: SocketAddrV4::new(Ipv4Addr::from(u32_at(2)), u16_at(12)),
        dst: SocketAddrV4::new(Ipv4Addr::from(u32_at(6)), u16_at(10)),
        seq: u32_at(14),
        ack: u32_at(18),
        len: u16_at(22),
    })
}

fn is_intact(b: &[u8]) -> bool {
    b.len() >= HEADER && b[24..28] == checksum(b).to_le_bytes()
}

/// A packet that is sent again until it is acknowledged.
struct Unacked {
    bytes: Vec<u8>,
    end: u32,
    next_at: u64,
    interval: u64,
    copies: u32,
}

impl Unacked {
    fn new(bytes: Vec<u8>, end: u32, now: u64) -> Self {
        Self { bytes, end, next_at: now + 200, interval: 200, copies: 0 }
    }

    /// Whether the packet is due again.
    fn is_due(&mut self, now: u64) -> bool {
        if now < self.next_at {
            return false;
        }
        self.interval = (self.interval * 2).min(1_600);
        self.next_at = now + self.interval;
        self.copies += 1;
        true
    }
}

// ---------------------------------------------------------------------------------------------- backends

struct BackendFlow {
    is_open: bool,
    opened_at: u64,
    start: u32,
    next_seq: u32,
    expected: u32,
    unacked: Vec<Unacked>,
    has_ended: bool,
}

/// What a backend is asked to do.
#[derive(Clone, Copy, PartialEq)]
enum Order {
    None,
    /// Crash, and start again after this time.
    Crash(u64),
    /// Turn cold.
    Cool,
}

/// One backend server's address, at which boots follow each other.
struct Backend {
    run: Arc<Run>,
    ip: Ipv4Addr,
    zone: String,
    slots: u32,
    work_ms: u64,
    order: Mutex<Order>,
    /// Idle connections, with whether they have fallen silent, and when the last one was accepted.
    connections: Mutex<Vec<(TcpStream, bool)>>,
    last_accept: AtomicU64,
    last_heartbeat: AtomicU64,
    boots: Mutex<Vec<Boot>>,
    ran: Mutex<HashMap<String, u32>>,
    /// Flows that each boot opened, and when.
    opened: Mutex<HashMap<FlowKey, (usize, u64)>>,
    /// When opening packets arrived that were new to the boot.
    openings: Mutex<Vec<Opening>>,
    sent_resets: Mutex<HashSet<FlowKey>>,
    faults: Mutex<Vec<String>>,
}

/// An opening packet that a backend took.
#[derive(Clone, Copy, Debug)]
struct Opening {
    key: FlowKey,
    at: u64,
    is_cold: bool,
}

#[derive(Clone, Debug)]
struct Boot {
    id: String,
    started_at: u64,
    ended_at: Option<u64>,
    born: u64,
    cold_until: u64,
}

impl Backend {
    fn new(run: &Arc<Run>, ip: Ipv4Addr, zone: &str, slots: u32, work_ms: u64) -> Arc<Self> {
        Arc::new(Self {
            run: Arc::clone(run),
            ip,
            zone: zone.to_owned(),
            slots,
            work_ms,
            order: Mutex::new(Order::None),
            connections: Mutex::default(),
            last_accept: AtomicU64::new(0),
            last_heartbeat: AtomicU64::new(0),
            boots: Mutex::default(),
            ran: Mutex::default(),
            opened: Mutex::default(),
            openings: Mutex::default(),
            sent_resets: Mutex::default(),
            faults: Mutex::default(),
        })
    }

    fn app(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, APP_PORT)
    }

    /// Makes the connections that exist fall silent.
    fn silence(&self) {
        for (_, is_silent) in self.connections.lock().unwrap().iter_mut() {
            *is_silent = true;
        }
    }

    /// Runs one boot after the other.
    fn start(self: &Arc<Self>, is_cold: bool) {
        let backend = Arc::clone(self);
        thread::spawn(move || {
            let mut is_first = !is_cold;
            while !backend.run.is_over() {
                let downtime = backend.run_boot(is_first);
                is_first = false;
                thread::sleep(ms(downtime));
            }
        });
    }

    fn run_boot(self: &Arc<Self>, is_first: bool) -> u64 {
        let socket = loop {
            match UdpSocket::bind(self.app()) {
                Ok(socket) => break socket,
                Err(_) => thread::sleep(ms(2)),
            }
        };
        let listener = loop {
            match TcpListener::bind(self.app()) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(ms(2)),
            }
        };
        let now = self.run.now();
        let number = self.boots.lock().unwrap().len();
        let boot = Boot {
            id: format!("i-{}-{number}", self.ip),
            started_at: now,
            ended_at: None,
            born: unix_ms(),
            cold_until: if is_first { 0 } else { now + WARMUP_MS },
        };
        self.run.log(format!("backend {} starts, born {}", boot.id, boot.born));
        self.boots.lock().unwrap().push(boot.clone());
        let alive = Arc::new(AtomicBool::new(true));
        self.listen(listener, &alive);
        self.send_heartbeats(&boot.id, number, &alive);
        let downtime = self.serve(&socket, number);
        alive.store(false, Ordering::SeqCst);
        self.boots.lock().unwrap()[number].ended_at = Some(self.run.now());
        self.run.log(format!("backend {} crashes", boot.id));
        // The system closes the connections of a process that ends; the other end of a silent one doesn't hear of it.
        self.connections.lock().unwrap().retain(|(_, is_silent)| *is_silent);
        let _ = TcpStream::connect_timeout(&self.app().into(), ms(50)).map(|s| s.shutdown(Shutdown::Both));
        downtime
    }

    fn listen(self: &Arc<Self>, listener: TcpListener, alive: &Arc<AtomicBool>) {
        let (backend, alive) = (Arc::clone(self), Arc::clone(alive));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !alive.load(Ordering::SeqCst) {
                    return;
                }
                backend.last_accept.store(backend.run.now(), Ordering::SeqCst);
                let mut connections = backend.connections.lock().unwrap();
                connections.retain(|(s, is_silent)| {
                    let _ = s.set_nonblocking(true);
                    let mut byte = [0; 1];
                    *is_silent || !matches!(s.peek(&mut byte), Ok(0))
                });
                connections.push((stream, false));
            }
        });
    }

    fn send_heartbeats(self: &Arc<Self>, id: &str, number: usize, alive: &Arc<AtomicBool>) {
        let (backend, alive, id) = (Arc::clone(self), Arc::clone(alive), id.to_owned());
        thread::spawn(move || {
            let control = SocketAddrV4::new(backend.ip, CONTROL_PORT);
            let mut seq = 0;
            while alive.load(Ordering::SeqCst) && !backend.run.is_over() {
                seq += 1;
                let boot = backend.boots.lock().unwrap()[number].clone();
                let cold = boot.cold_until.saturating_sub(backend.run.now());
                let body = format!(
                    "{{\"Service\":\"{SERVICE}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Capacity\":{},\"State\":\"ready\",\"WarmupLeftMs\":{cold},\"Seq\":{seq},\"born\":{}}}",
                    backend.app(), backend.zone, backend.slots, boot.born
                );
                let sent_at = Instant::now();
                let status = call(control, "PUT", &format!("/v1/backends/{id}"), &body);
                backend.last_heartbeat.store(backend.run.now(), Ordering::SeqCst);
                if number > 0 || status != Some(200) {
                    backend.run.log(format!("heartbeat {seq} of {id}, WarmupLeftMs {cold}: {status:?}"));
                }
                while sent_at.elapsed() < ms(HEARTBEAT_MS) && alive.load(Ordering::SeqCst) {
                    thread::sleep(ms(5));
                }
            }
        });
    }

    /// Serves flows until the boot is to end; returns the downtime.
    fn serve(&self, socket: &UdpSocket, number: usize) -> u64 {
        let outbound = SocketAddrV4::new(self.ip, OUTBOUND_PORT);
        let mut rng = Rng(unix_ms() ^ u64::from(u32::from(self.ip)) << 20 | 1);
        let mut flows: HashMap<FlowKey, BackendFlow> = HashMap::new();
        let mut due: Vec<(u64, FlowKey, String)> = Vec::new();
        let mut buffer = [0; 2_048];
        let _ = socket.set_read_timeout(Some(ms(2)));
        let mut last_sweep = 0;
        loop {
            if self.run.is_over() {
                return 0;
            }
            let order = std::mem::replace(&mut *self.order.lock().unwrap(), Order::None);
            match order {
                Order::Crash(downtime) => return downtime,
                Order::Cool => {
                    let until = self.run.now() + WARMUP_MS;
                    self.boots.lock().unwrap()[number].cold_until = until;
                    self.run.log(format!("backend {} is cold until {until} ms", self.ip));
                }
                Order::None => {}
            }
            if let Ok((len, _)) = socket.recv_from(&mut buffer) {
                let now = self.run.now();
                self.receive(&mut buffer[..len], socket, outbound, number, &mut flows, &mut due, &mut rng, now);
            }
            let now = self.run.now();
            let mut waiting = Vec::new();
            for (at, key, id) in due.drain(..) {
                if at > now {
                    waiting.push((at, key, id));
                } else if let Some(flow) = flows.get_mut(&key) {
                    let text = format!("HTTP/1.1 200 OK\r\nX-Buckthornlink-Backend-Stamp: {}/{id}\r\nContent-Length: 0\r\n\r\n", self.ip);
                    let head = Head { flags: ACK, src: key.1, dst: key.0, seq: flow.next_seq, ack: flow.expected, len: 0 };
                    let bytes = encode(&head, text.as_bytes());
                    flow.next_seq = flow.next_seq.wrapping_add(text.len() as u32);
                    let _ = socket.send_to(&bytes, outbound);
                    flow.unacked.push(Unacked::new(bytes, flow.next_seq, now));
                }
            }
            due = waiting;
            if now >= last_sweep + 20 {
                last_sweep = now;
                flows.retain(|_, flow| {
                    for unacked in &mut flow.unacked {
                        if unacked.is_due(now) && unacked.copies <= 8 {
                            let _ = socket.send_to(&unacked.bytes, outbound);
                        }
                    }
                    let has_given_up = flow.unacked.iter().any(|u| u.copies > 8);
                    !has_given_up && !(flow.has_ended && now > flow.opened_at + 60_000)
                });
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn receive(
        &self,
        bytes: &mut [u8],
        socket: &UdpSocket,
        outbound: SocketAddrV4,
        number: usize,
        flows: &mut HashMap<FlowKey, BackendFlow>,
        due: &mut Vec<(u64, FlowKey, String)>,
        rng: &mut Rng,
        now: u64,
    ) {
        if !is_intact(bytes) {
            self.faults.lock().unwrap().push("UNASKED: a backend got a packet that its sender didn't write so".to_owned());
            return;
        }
        let Some(head) = decode(bytes) else { return };
        let key = (head.src, head.dst);
        if head.flags & SYN != 0 {
            let is_new = !flows.contains_key(&key);
            let flow = flows.entry(key).or_insert_with(|| {
                let start = rng.next() as u32;
                BackendFlow {
                    is_open: false,
                    opened_at: now,
                    start,
                    next_seq: start.wrapping_add(1),
                    expected: head.seq.wrapping_add(1),
                    unacked: Vec::new(),
                    has_ended: false,
                }
            });
            if is_new {
                let cold_until = self.boots.lock().unwrap()[number].cold_until;
                self.openings.lock().unwrap().push(Opening { key, at: now, is_cold: now < cold_until });
            }
            let answer = Head { flags: SYN | ACK, src: key.1, dst: key.0, seq: flow.start, ack: flow.expected, len: 0 };
            let _ = socket.send_to(&encode(&answer, &[]), outbound);
            return;
        }
        let is_held = flows.get(&key).is_some_and(|f| f.is_open || head.flags & ACK != 0 && head.ack == f.next_seq);
        if !is_held {
            // Not held: the packet goes back.
            bytes[0] |= BOUNCED;
            bytes[1] = 0;
            let _ = socket.send_to(bytes, outbound);
            return;
        }
        let flow = flows.get_mut(&key).unwrap();
        if !flow.is_open {
            flow.is_open = true;
            flow.opened_at = now;
            self.opened.lock().unwrap().insert(key, (number, now));
        }
        flow.unacked.retain(|u| head.ack.wrapping_sub(u.end) as i32 >= 1 << 30 || (head.ack.wrapping_sub(u.end) as i32) < 0);
        let ack = |flow: &BackendFlow, flags: u8| {
            encode(&Head { flags, src: key.1, dst: key.0, seq: flow.next_seq, ack: flow.expected, len: 0 }, &[])
        };
        if head.len > 0 {
            if flow.has_ended {
                self.sent_resets.lock().unwrap().insert(key);
                let _ = socket.send_to(&ack(flow, RST | ACK), outbound);
                return;
            }
            if head.seq == flow.expected {
                flow.expected = flow.expected.wrapping_add(u32::from(head.len));
                let text = String::from_utf8_lossy(&bytes[HEADER..]).into_owned();
                let id = text.split("Request-Id: ").nth(1).and_then(|t| t.split("\r\n").next()).unwrap_or("").to_owned();
                *self.ran.lock().unwrap().entry(id.clone()).or_default() += 1;
                self.run.log(format!("run {id} at {} boot {number}", self.ip));
                let work = match rng.next() % 20 {
                    0 => self.work_ms * 12,
                    n => self.work_ms / 2 + self.work_ms * n / 20,
                };
                due.push((now + work, key, id));
            }
            let _ = socket.send_to(&ack(flow, ACK), outbound);
        }
        if head.flags & FIN != 0 {
            flow.has_ended = true;
            let _ = socket.send_to(&ack(flow, FIN | ACK), outbound);
        }
    }
}

// ---------------------------------------------------------------------------------------------- consumers

/// The router's view of the balancers.
struct Router {
    balancers: Vec<Ipv4Addr>,
    ready: Mutex<Vec<Ipv4Addr>>,
}

impl Router {
    fn start(run: &Arc<Run>, balancers: Vec<Ipv4Addr>) -> Arc<Self> {
        let router = Arc::new(Self { balancers, ready: Mutex::default() });
        for &ip in &router.balancers {
            let (router, run) = (Arc::clone(&router), Arc::clone(run));
            thread::spawn(move || {
                let mut misses = 2;
                while !run.is_over() {
                    let status = call(SocketAddrV4::new(ip, READINESS_PORT), "GET", "/v1/ready", "");
                    misses = if status == Some(200) { 0 } else { misses + 1 };
                    let mut ready = router.ready.lock().unwrap();
                    ready.retain(|&other| other != ip || misses == 1);
                    if misses == 0 {
                        ready.push(ip);
                    }
                    drop(ready);
                    thread::sleep(ms(500));
                }
            });
        }
        router
    }

    fn choose(&self, key: &FlowKey) -> Option<Ipv4Addr> {
        let ready = self.ready.lock().unwrap();
        let rank = |ip: &Ipv4Addr| {
            let text = format!("{key:?}{ip}");
            checksum(format!("{:40}{text}", "").as_bytes())
        };
        ready.iter().copied().max_by_key(rank)
    }
}

/// What consumers do with their flows.
#[derive(Clone, Copy)]
struct Habit {
    /// Time between the starts of two flows of one consumer.
    every_ms: u64,
    /// Pauses before the second and further requests on a flow.
    pauses_ms: &'static [u64],
}

struct ConsumerFlow {
    key: FlowKey,
    number: u64,
    start: u32,
    next_seq: u32,
    expected: u32,
    opened_at: Option<u64>,
    started_at: u64,
    syn_copies: u32,
    last_packet: u64,
    requests: usize,
    waiting: Option<(String, u64)>,
    next_request: Option<u64>,
    unacked: Vec<Unacked>,
    is_done: bool,
}

#[derive(Clone, Debug)]
struct Reset {
    at: u64,
    key: FlowKey,
    from: Ipv4Addr,
    opened_at: u64,
    idle_ms: u64,
    pending: Option<String>,
}

/// What all consumers have seen.
#[derive(Default)]
struct Seen {
    resets: Mutex<Vec<Reset>>,
    sent: AtomicU64,
    answered: AtomicU64,
    unanswered: AtomicU64,
    faults: Mutex<Vec<String>>,
    /// When consumers began to open their flows.
    starts: Mutex<HashMap<FlowKey, u64>>,
}

fn start_consumer(run: &Arc<Run>, router: &Arc<Router>, seen: &Arc<Seen>, ip: Ipv4Addr, habit: Habit, until: u64) -> Res<()> {
    let socket = UdpSocket::bind(SocketAddrV4::new(ip, DATA_PORT))?;
    socket.set_read_timeout(Some(ms(2)))?;
    let (run, router, seen) = (Arc::clone(run), Arc::clone(router), Arc::clone(seen));
    thread::spawn(move || {
        let mut rng = Rng(unix_ms() << 8 ^ u64::from(u32::from(ip)) | 1);
        let mut flows: HashMap<u16, ConsumerFlow> = HashMap::new();
        let mut port = 20_000;
        let mut next_flow = run.now() + rng.next() % habit.every_ms;
        let mut buffer = [0; 2_048];
        while !run.is_over() {
            let now = run.now();
            if now >= next_flow && now < until {
                next_flow = now + habit.every_ms;
                port += 1;
                let key = (SocketAddrV4::new(ip, port), ROUTE);
                let start = rng.next() as u32;
                let flow = ConsumerFlow {
                    key,
                    number: u64::from(ip.octets()[3]) * 100_000 + u64::from(port),
                    start,
                    next_seq: start.wrapping_add(1),
                    expected: 0,
                    opened_at: None,
                    started_at: now,
                    syn_copies: 0,
                    last_packet: now,
                    requests: 0,
                    waiting: None,
                    next_request: None,
                    unacked: Vec::new(),
                    is_done: false,
                };
                seen.starts.lock().unwrap().insert(key, now);
                send_syn(&socket, &router, &flow);
                flows.insert(port, flow);
            }
            if let Ok((len, from)) = socket.recv_from(&mut buffer) {
                let from = match from {
                    std::net::SocketAddr::V4(from) => *from.ip(),
                    std::net::SocketAddr::V6(_) => continue,
                };
                receive(&run, &socket, &router, &seen, &mut flows, &buffer[..len], from);
            }
            let now = run.now();
            for flow in flows.values_mut() {
                advance(&run, &socket, &router, &seen, flow, habit, now);
            }
            flows.retain(|_, f| !f.is_done);
        }
    });
    Ok(())
}

fn send(socket: &UdpSocket, router: &Router, key: &FlowKey, bytes: &[u8]) {
    if let Some(ip) = router.choose(key) {
        let _ = socket.send_to(bytes, SocketAddrV4::new(ip, DATA_PORT));
    }
}

fn send_syn(socket: &UdpSocket, router: &Router, flow: &ConsumerFlow) {
    let head = Head { flags: SYN, src: flow.key.0, dst: flow.key.1, seq: flow.start, ack: flow.syn_copies, len: 0 };
    send(socket, router, &flow.key, &encode(&head, &[]));
}

fn send_request(run: &Run, socket: &UdpSocket, router: &Router, seen: &Seen, flow: &mut ConsumerFlow, now: u64) {
    flow.requests += 1;
    let id = format!("q{}-{}", flow.number, flow.requests);
    let text = format!("POST /r HTTP/1.1\r\nX-Buckthornlink-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n");
    let head = Head { flags: ACK, src: flow.key.0, dst: flow.key.1, seq: flow.next_seq, ack: flow.expected, len: 0 };
    let bytes = encode(&head, text.as_bytes());
    flow.next_seq = flow.next_seq.wrapping_add(text.len() as u32);
    send(socket, router, &flow.key, &bytes);
    run.log(format!("sent {id} on {}", flow.key.0));
    seen.sent.fetch_add(1, Ordering::SeqCst);
    flow.unacked.push(Unacked::new(bytes, flow.next_seq, now));
    flow.waiting = Some((id, now));
    flow.last_packet = now;
}

fn receive(run: &Run, socket: &UdpSocket, router: &Router, seen: &Seen, flows: &mut HashMap<u16, ConsumerFlow>, bytes: &[u8], from: Ipv4Addr) {
    let Some(head) = decode(bytes) else { return };
    let Some(flow) = flows.get_mut(&head.dst.port()) else { return };
    let now = run.now();
    let is_own_reset = head.flags == RST && head.len == 0 && bytes[24..28] == [0; 4];
    if !is_own_reset && !is_intact(bytes) {
        seen.faults.lock().unwrap().push("MIXED: a consumer got a packet that its sender didn't write so".to_owned());
        return;
    }
    if head.flags & RST != 0 {
        let Some(opened_at) = flow.opened_at else {
            flow.is_done = true;
            return;
        };
        let distance = head.seq.wrapping_sub(flow.expected);
        if distance.min(distance.wrapping_neg()) <= RESET_WINDOW {
            let pending = flow.waiting.as_ref().map(|(id, _)| id.clone());
            run.log(format!("reset on open flow {} from {from}, request {pending:?} waits", flow.key.0));
            if is_own_reset {
                let idle_ms = now - flow.last_packet;
                seen.resets.lock().unwrap().push(Reset { at: now, key: flow.key, from, opened_at, idle_ms, pending });
            }
            flow.is_done = true;
        }
        return;
    }
    if head.flags & SYN != 0 {
        if flow.opened_at.is_none() {
            flow.opened_at = Some(now);
            flow.expected = head.seq.wrapping_add(1);
            send_request(run, socket, router, seen, flow, now);
        }
        return;
    }
    if flow.opened_at.is_none() {
        return;
    }
    flow.unacked.retain(|u| (head.ack.wrapping_sub(u.end) as i32) < 0);
    if head.len > 0 {
        if head.seq == flow.expected {
            flow.expected = flow.expected.wrapping_add(u32::from(head.len));
            let text = String::from_utf8_lossy(&bytes[HEADER..]).into_owned();
            if let Some((id, _)) = flow.waiting.take() {
                if text.starts_with("HTTP/1.1 200") && text.contains(&format!("/{id}\r\n")) {
                    run.log(format!("answered {id}"));
                    seen.answered.fetch_add(1, Ordering::SeqCst);
                } else {
                    seen.faults.lock().unwrap().push(format!("MIXED: {id} got {text:?}"));
                }
                flow.next_request = Some(now);
                flow.last_packet = now;
            }
        }
        let ack = Head { flags: ACK, src: flow.key.0, dst: flow.key.1, seq: flow.next_seq, ack: flow.expected, len: 0 };
        send(socket, router, &flow.key, &encode(&ack, &[]));
    }
}

fn advance(run: &Run, socket: &UdpSocket, router: &Router, seen: &Seen, flow: &mut ConsumerFlow, habit: Habit, now: u64) {
    if flow.opened_at.is_none() {
        let copies = [200, 600];
        let copy = flow.syn_copies as usize;
        if copy < copies.len() && now >= flow.started_at + copies[copy] {
            flow.syn_copies += 1;
            send_syn(socket, router, flow);
        }
        if now >= flow.started_at + 1_400 {
            flow.is_done = true;
        }
        return;
    }
    for unacked in &mut flow.unacked {
        if unacked.is_due(now) {
            send(socket, router, &flow.key, &unacked.bytes);
        }
    }
    if let Some((id, sent_at)) = &flow.waiting {
        if now >= sent_at + 5_000 {
            run.log(format!("no answer to {id} within its deadline"));
            seen.unanswered.fetch_add(1, Ordering::SeqCst);
            flow.is_done = true;
        }
        return;
    }
    if let Some(since) = flow.next_request {
        let Some(&pause) = habit.pauses_ms.get(flow.requests - 1) else {
            let fin = Head { flags: FIN | ACK, src: flow.key.0, dst: flow.key.1, seq: flow.next_seq, ack: flow.expected, len: 0 };
            send(socket, router, &flow.key, &encode(&fin, &[]));
            flow.is_done = true;
            return;
        };
        if now >= since + pause {
            flow.next_request = None;
            send_request(run, socket, router, seen, flow, now);
        }
    }
}

// ---------------------------------------------------------------------------------------------- programs

/// The running programs, which end with the run.
struct Programs {
    dir: std::path::PathBuf,
    children: Vec<(Ipv4Addr, Child)>,
}

impl Programs {
    fn spawn(&mut self, template: &str, program: &[&str], fields: &[(&str, String)], ip: Ipv4Addr) -> Res<()> {
        let mut settings = std::fs::read_to_string(template)?;
        for (name, value) in fields {
            settings = settings.replace(&format!("{{{{{name}}}}}"), value);
        }
        let path = self.dir.join(format!("{ip}.json"));
        std::fs::write(&path, settings)?;
        let log = File::create(self.dir.join(format!("{ip}.log")))?;
        let child = Command::new(program[0])
            .args(&program[1..])
            .env_clear()
            .env("BUCKTHORNLINK_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.children.push((ip, child));
        Ok(())
    }
}

impl Drop for Programs {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// A small deployment: balancers and agents in three zones, a store, an operator, backends and a router.
struct Deployment {
    run: Arc<Run>,
    store: Arc<Store>,
    store_addr: SocketAddrV4,
    seeds: String,
    backends: Vec<Arc<Backend>>,
    router: Arc<Router>,
    seen: Arc<Seen>,
    block: u8,
    /// When channels fell silent or a backend crashed.
    disturbances: Mutex<Vec<u64>>,
    programs: Programs,
}

/// The platform's fields of one process, as far as the templates in `deploy/` use them.
fn settings_fields(ip: Ipv4Addr, zone: &str, store: SocketAddrV4, seeds: &str) -> Vec<(&'static str, String)> {
    vec![
        ("Ip", ip.to_string()),
        ("Zone", zone.to_owned()),
        ("platform.Address", store.to_string()),
        ("InternalPorts.0", INTERNAL_PORTS[0].to_string()),
        ("InternalPorts.1", INTERNAL_PORTS[1].to_string()),
        ("Listen.Readiness", format!("{ip}:{READINESS_PORT}")),
        ("Listen.ControlPlane", format!("{ip}:{CONTROL_PORT}")),
        ("Listen.DataAddr", format!("{ip}:{DATA_PORT}")),
        ("Listen.outbound", format!("{ip}:{OUTBOUND_PORT}")),
        ("Seeds|json", seeds.to_owned()),
        ("HeartbeatMs", HEARTBEAT_MS.to_string()),
        ("Service", SERVICE.to_owned()),
        ("app", format!("{ip}:{APP_PORT}")),
    ]
}

struct Shape {
    zones: &'static [&'static str],
    balancers: u8,
    agents: u8,
    slots: u32,
    work_ms: u64,
    warmup_per_s: f64,
}

impl Deployment {
    fn start(run: Arc<Run>, shape: &Shape) -> Res<Self> {
        let block = 64 + (std::process::id() % 128) as u8;
        let ip = |net: u8, host: u8| Ipv4Addr::new(127, block, net, host);
        let store_addr = SocketAddrV4::new(ip(0, 1), STORE_PORT);
        let store = Arc::new(Store::default());
        store.serve(store_addr)?;
        let routes = format!(
            "{{\"Name\":\"r-1\",\"Host\":\"{}\",\"Prefix\":\"/{}/\",\"Type\":\"unsafe\",\"TimeoutMs\":5000,\"TargetLatencyMs\":300,\"Priority\":1,\"Service\":\"{SERVICE}\",\"Attempts\":2}}",
            ROUTE.ip(), ROUTE.port()
        );
        let config = format!(
            "{{\"Version\":7,\"Routes\":[{routes}],\"Services\":[{{\"Name\":\"{SERVICE}\",\"HealthCheck\":\"/health\",\"MaxConns\":2000,\"Protocol\":\"h1\",\"Tls\":false,\"WarmupS\":2.0,\"WarmupPerS\":{:.1}}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":{IDLE_TIMEOUT_MS}}}}}",
            shape.warmup_per_s
        );
        store.edit("op/config", Some(&config));
        let dir = std::env::temp_dir().join(format!("standin-2-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let mut programs = Programs { dir, children: Vec::new() };
        let balancers: Vec<Ipv4Addr> = (0..shape.balancers).map(|i| ip(1, 10 + i)).collect();
        let seeds: Vec<String> = balancers.iter().take(3).map(|ip| format!("\"{ip}:{CONTROL_PORT}\"")).collect();
        let seeds = format!("[{}]", seeds.join(","));
        let zone = |i: usize| shape.zones[i % shape.zones.len()];
        for (i, &ip) in balancers.iter().enumerate() {
            let fields = settings_fields(ip, zone(i), store_addr, &seeds);
            programs.spawn("deploy/balancer.json", &["target/release/buckthornlink", "balancer", "--datagrams"], &fields, ip)?;
        }
        let router = Router::start(&run, balancers);
        let backends = Vec::new();
        let mut deployment = Self { run, store, store_addr, seeds, backends, router, seen: Arc::default(), block, disturbances: Mutex::default(), programs };
        for i in 0..shape.agents {
            deployment.add_agent(shape, zone(usize::from(i)), false)?;
        }
        Ok(deployment)
    }

    /// Starts an agent and the backend beside it, which is cold if it starts during traffic.
    fn add_agent(&mut self, shape: &Shape, zone: &str, is_cold: bool) -> Res<()> {
        let ip = Ipv4Addr::new(127, self.block, 2, 10 + self.backends.len() as u8);
        let fields = settings_fields(ip, zone, self.store_addr, &self.seeds);
        self.programs.spawn("deploy/agent.json", &["target/release/buckthornlink-agent", "--datagrams"], &fields, ip)?;
        let backend = Backend::new(&self.run, ip, zone, shape.slots, shape.work_ms);
        backend.start(is_cold);
        self.backends.push(backend);
        Ok(())
    }

    fn start_consumers(&self, count: u8, habit: Habit, until: u64) -> Res<()> {
        for i in 0..count {
            let ip = Ipv4Addr::new(127, self.block, 9, 1 + i);
            start_consumer(&self.run, &self.router, &self.seen, ip, habit, until)?;
        }
        Ok(())
    }

    fn sleep_until(&self, at: u64) {
        while self.run.now() < at {
            thread::sleep(ms(5));
        }
    }

    /// Waits until a time is another one than now, for `limit_ms` at most.
    fn wait_change(&self, time: &AtomicU64, limit_ms: u64) {
        let known = time.load(Ordering::SeqCst);
        let deadline = self.run.now() + limit_ms;
        while time.load(Ordering::SeqCst) == known && self.run.now() < deadline {
            thread::sleep(ms(5));
        }
    }

    /// Whether the deployment serves before the disruption, and all programs still run.
    fn check_running(&mut self) -> Res<()> {
        for (ip, child) in &mut self.programs.children {
            if let Some(status) = child.try_wait()? {
                return Err(format!("the program at {ip} has ended: {status}").into());
            }
        }
        Ok(())
    }

    fn summary(&self) {
        let load = |n: &AtomicU64| n.load(Ordering::SeqCst);
        self.run.log(format!(
            "requests sent {}, answered {}, without answer within their deadline {}",
            load(&self.seen.sent), load(&self.seen.answered), load(&self.seen.unanswered)
        ));
        for backend in &self.backends {
            for (id, count) in backend.ran.lock().unwrap().iter().filter(|(_, n)| **n > 1) {
                self.run.log(format!("{id} ran {count} times at {}", backend.ip));
            }
            for fault in backend.faults.lock().unwrap().iter() {
                self.run.log(fault);
            }
        }
        for fault in self.seen.faults.lock().unwrap().iter() {
            self.run.log(fault);
        }
    }

    /// Resets that the rule FLOW, part (a), counts: the flow's backend lives, was without impairment for `ContactMs`, and sent no reset.
    fn count_flow_breaks(&self) -> usize {
        let disturbances = self.disturbances.lock().unwrap().clone();
        let is_disturbed = |at: u64| disturbances.iter().any(|&d| d <= at && at < d + CONTACT_MS);
        let mut count = 0;
        for reset in self.seen.resets.lock().unwrap().iter() {
            let owner = self.backends.iter().find_map(|b| {
                let opened = b.opened.lock().unwrap().get(&reset.key).copied();
                opened.map(|(number, _)| (b, number))
            });
            let Some((backend, number)) = owner else { continue };
            let boot = backend.boots.lock().unwrap()[number].clone();
            let lives = boot.ended_at.is_none_or(|at| at > reset.at);
            let is_calm = reset.at >= boot.started_at + CONTACT_MS && !is_disturbed(reset.at);
            let is_own = backend.sent_resets.lock().unwrap().contains(&reset.key);
            let is_young = reset.at - reset.opened_at < 60_000 && reset.idle_ms < IDLE_TIMEOUT_MS;
            let counts = lives && is_calm && !is_own && is_young;
            if !lives && !counts {
                continue;
            }
            self.run.log(format!(
                "reset at {} ms of flow {} from {}: opened at {} ms at {} (started at {} ms, lives: {lives}), backend's own: {is_own}, idle {} ms, request {:?}: {}",
                reset.at, reset.key.0, reset.from, reset.opened_at, boot.id, boot.started_at, reset.idle_ms, reset.pending,
                if counts { "FLOW broken" } else { "not counted" }
            ));
            count += usize::from(counts);
        }
        count
    }
}

// ---------------------------------------------------------------------------------------------- cases

impl Deployment {
    /// The most opening packets that a cold backend took in one second, of those that were sent and arrived inside that second.
    fn most_while_cold(&self, backend: &Backend) -> (u64, usize) {
        let starts = self.seen.starts.lock().unwrap();
        let openings = backend.openings.lock().unwrap();
        let mut spans: Vec<(u64, u64)> = Vec::new();
        for opening in openings.iter().filter(|o| o.is_cold) {
            spans.extend(starts.get(&opening.key).map(|&sent| (sent, opening.at)));
        }
        let in_second = |from: u64| spans.iter().filter(|(sent, at)| *sent >= from && *at < from + 1_000).count();
        let counts = spans.iter().map(|&(sent, _)| (sent, in_second(sent)));
        counts.max_by_key(|(_, count)| *count).unwrap_or_default()
    }

    /// Whether a cold backend got more than the rule FAILBACK allows.
    fn is_failback_broken(&self, warmup_per_s: f64) -> bool {
        let limit = warmup_per_s * COLD_OVER + COLD_SLACK;
        let mut is_broken = false;
        for backend in &self.backends {
            let (from, count) = self.most_while_cold(backend);
            let verdict = if count as f64 > limit { "FAILBACK broken" } else { "held" };
            self.run.log(format!("backend {}: at most {count} in one second while cold, from {from} ms, where {limit} are allowed: {verdict}", backend.ip));
            is_broken |= count as f64 > limit;
        }
        is_broken
    }
}

/// A backend crashes and is back within a second while its agent's idle connection to it has fallen silent.
fn silent_connection(run: Arc<Run>, trouble: &str) -> Res<bool> {
    let shape = Shape { zones: &ZONES, balancers: 5, agents: 7, slots: 8, work_ms: 36, warmup_per_s: 0.0 };
    let mut deployment = Deployment::start(run, &shape)?;
    deployment.sleep_until(4_000);
    let habit = Habit { every_ms: 600, pauses_ms: &[6_000] };
    deployment.start_consumers(60, habit, 80_000)?;
    deployment.sleep_until(8_000);
    deployment.check_running()?;
    if deployment.seen.answered.load(Ordering::SeqCst) < 100 {
        return Err("the deployment doesn't serve".into());
    }
    let backend = Arc::clone(&deployment.backends[0]);
    let is_in_gap = trouble == "gap";
    let mut silenced_at = 0;
    for _ in 0..ROUNDS {
        // The agent replaces its idle connection every 10 s; the next one is the one that falls silent.
        deployment.wait_change(&backend.last_accept, 11_000);
        let accepted_at = backend.last_accept.load(Ordering::SeqCst);
        thread::sleep(ms(1_500));
        if is_in_gap {
            // The connection is 10 s old, and the next one follows 0.1 s later.
            deployment.sleep_until(accepted_at + 10_020);
        }
        silenced_at = deployment.run.now();
        deployment.disturbances.lock().unwrap().push(silenced_at);
        if is_in_gap {
            *backend.order.lock().unwrap() = Order::Crash(100);
        } else if trouble != "0" {
            if trouble != "crash" {
                backend.silence();
                deployment.run.log(format!("open connections to {} fall silent", backend.ip));
            }
            thread::sleep(ms(500));
            deployment.wait_change(&backend.last_heartbeat, 2_000);
            thread::sleep(ms(150));
            *backend.order.lock().unwrap() = Order::Crash(100);
        }
        deployment.disturbances.lock().unwrap().push(deployment.run.now());
    }
    deployment.sleep_until(silenced_at + 12_000);
    deployment.check_running()?;
    deployment.summary();
    let count = deployment.count_flow_breaks();
    deployment.run.log(format!("FLOW broken {count} times"));
    deployment.run.stop.store(true, Ordering::SeqCst);
    Ok(count > 0)
}

/// A zone is taken out of service and back; its backends are cold then.
fn zone_return(run: Arc<Run>, trouble: &str) -> Res<bool> {
    let warmup_per_s = 10.0;
    let shape = Shape { zones: &ZONES, balancers: 5, agents: 7, slots: 8, work_ms: 20, warmup_per_s };
    let mut deployment = Deployment::start(run, &shape)?;
    deployment.sleep_until(4_000);
    deployment.start_consumers(40, Habit { every_ms: 150, pauses_ms: &[] }, 24_000)?;
    deployment.sleep_until(7_000);
    deployment.check_running()?;
    if deployment.seen.answered.load(Ordering::SeqCst) < 100 {
        return Err("the deployment doesn't serve".into());
    }
    if trouble != "0" {
        deployment.store.edit("op/evacuate/brasov-a", Some("{}"));
        deployment.run.log("the operator takes brasov-a out of service");
    }
    deployment.sleep_until(15_000);
    if trouble != "0" {
        for backend in deployment.backends.iter().filter(|b| b.zone == "brasov-a") {
            *backend.order.lock().unwrap() = Order::Cool;
        }
        thread::sleep(ms(100));
        deployment.store.edit("op/evacuate/brasov-a", None);
        deployment.run.log("the operator takes brasov-a back");
    }
    deployment.sleep_until(22_000);
    deployment.check_running()?;
    deployment.summary();
    let is_broken = deployment.is_failback_broken(warmup_per_s);
    deployment.run.stop.store(true, Ordering::SeqCst);
    Ok(is_broken)
}

/// A backend crashes and starts again, cold, beside three others, while consumers open many flows.
fn cold_start(run: Arc<Run>, trouble: &str) -> Res<bool> {
    let warmup_per_s = 260.0;
    let shape = Shape { zones: &ZONES[..2], balancers: 4, agents: 4, slots: 8, work_ms: 5, warmup_per_s };
    let mut deployment = Deployment::start(run, &shape)?;
    deployment.sleep_until(4_000);
    deployment.start_consumers(80, Habit { every_ms: 50, pauses_ms: &[] }, 18_000)?;
    deployment.sleep_until(8_000);
    deployment.check_running()?;
    if deployment.seen.answered.load(Ordering::SeqCst) < 1_000 {
        return Err("the deployment doesn't serve".into());
    }
    if trouble != "0" {
        *deployment.backends[0].order.lock().unwrap() = Order::Crash(2_000);
    }
    deployment.sleep_until(16_000);
    deployment.check_running()?;
    deployment.summary();
    let is_broken = deployment.is_failback_broken(warmup_per_s);
    deployment.run.stop.store(true, Ordering::SeqCst);
    Ok(is_broken)
}

fn main() {
    let mut args = std::env::args().skip(1);
    let case = args.next().unwrap_or_default();
    let record = args.next().unwrap_or_else(|| "record.txt".to_owned());
    let trouble = std::env::var("TROUBLE").unwrap_or_default();
    let Ok(file) = File::create(&record) else { std::process::exit(2) };
    let run = Arc::new(Run { start: Instant::now(), record: Mutex::new(file), stop: AtomicBool::new(false) });
    let result = match case.as_str() {
        "silent-connection" => silent_connection(Arc::clone(&run), &trouble),
        "zone-return" => zone_return(Arc::clone(&run), &trouble),
        "cold-start" => cold_start(Arc::clone(&run), &trouble),
        _ => Err("unknown case".into()),
    };
    let code = match result {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(err) => {
            run.log(format!("the case couldn't run: {err}"));
            2
        }
    };
    println!("{case}: {code}");
    std::process::exit(code);
}
