//! Stand-ins of the platform: the metadata store, and small helpers for HTTP and JSON.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// An HTTP message: its first line and its body.
pub struct Message {
    pub line: String,
    pub body: Vec<u8>,
}

/// Reads one HTTP/1.1 message with a `Content-Length` body.
pub fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.split("\r\n");
    let line = lines.next()?.to_owned();
    let mut len = 0;
    for header in lines {
        if let Some((name, value)) = header.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            len = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; len];
    stream.read_exact(&mut body).ok()?;
    Some(Message { line, body })
}

/// Sends a request on a new connection; returns the status of a response within a second.
pub fn call(addr: SocketAddrV4, method: &str, path: &str, body: &str) -> Option<u16> {
    call_within(Duration::from_millis(1_000), addr, method, path, body)
}

/// The same, with another limit.
pub fn call_within(
    limit: Duration,
    addr: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&addr.into(), limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let response = read_message(&mut stream)?;
    response.line.split(' ').nth(1)?.parse().ok()
}

/// A JSON value, without floating point numbers, which the store's calls do not use.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Number(i64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        parse_value(text, &mut 0)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields
                .iter()
                .find(|(n, _)| n == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> i64 {
        match self {
            Json::Number(number) => *number,
            _ => 0,
        }
    }
}

fn skip_space(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(text, at);
    match text.get(*at)? {
        b'{' => {
            let mut fields = Vec::new();
            *at += 1;
            loop {
                skip_space(text, at);
                match text.get(*at)? {
                    b'}' => break,
                    b',' => *at += 1,
                    _ => {
                        let name = parse_value(text, at)?.text().to_owned();
                        skip_space(text, at);
                        *at += 1;
                        fields.push((name, parse_value(text, at)?));
                    }
                }
            }
            *at += 1;
            Some(Json::Table(fields))
        }
        b'[' => {
            let mut items = Vec::new();
            *at += 1;
            loop {
                skip_space(text, at);
                match text.get(*at)? {
                    b']' => break,
                    b',' => *at += 1,
                    _ => items.push(parse_value(text, at)?),
                }
            }
            *at += 1;
            Some(Json::List(items))
        }
        b'"' => {
            *at += 1;
            let start = *at;
            while *text.get(*at)? != b'"' {
                *at += 1;
            }
            let value = String::from_utf8_lossy(&text[start..*at]).into_owned();
            *at += 1;
            Some(Json::Text(value))
        }
        _ => {
            let start = *at;
            while text.get(*at).is_some_and(|b| !b",]} \r\n".contains(b)) {
                *at += 1;
            }
            let word = std::str::from_utf8(&text[start..*at]).ok()?;
            Some(word.parse().map_or(Json::Null, Json::Number))
        }
    }
}

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word =
            chunk.iter().fold(0u32, |word, &b| word << 8 | u32::from(b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * i) & 63) as usize];
            out.push(if i <= chunk.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    out
}

/// One change of the store; no value means that the key was removed.
struct Change {
    revision: i64,
    key: String,
    value: Option<String>,
}

#[derive(Default)]
struct Contents {
    revision: i64,
    items: BTreeMap<String, (String, i64, i64)>,
    history: Vec<Change>,
}

/// The platform's metadata store. It answers at once and loses nothing.
#[derive(Clone, Default)]
pub struct Store {
    contents: Arc<(Mutex<Contents>, Condvar)>,
    /// Addresses at which a watch came in, with the latest time.
    watched: Arc<Mutex<BTreeMap<SocketAddrV4, Instant>>>,
}

impl Store {
    /// Serves the store at `addr`.
    pub fn serve(&self, addr: SocketAddrV4) {
        let listener = TcpListener::bind(addr).expect("store address");
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.serve_connection(stream, addr));
            }
        });
    }

    /// Writes a value as the operator does; the return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        let (lock, changed) = &*self.contents;
        lock.lock().unwrap().put(key, base64(value.as_bytes()));
        changed.notify_all();
    }

    /// Whether a watch came in at `addr` lately.
    pub fn is_watched(&self, addr: SocketAddrV4) -> bool {
        let watched = self.watched.lock().unwrap();
        watched
            .get(&addr)
            .is_some_and(|at| at.elapsed() < Duration::from_millis(2_000))
    }

    fn serve_connection(&self, mut stream: TcpStream, addr: SocketAddrV4) {
        let _ = stream.set_nodelay(true);
        while let Some(request) = read_message(&mut stream) {
            if request.line.contains("/v1/kv-watch") {
                self.watched.lock().unwrap().insert(addr, Instant::now());
            }
            let (status, body) = self.answer(&request);
            let response = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let mut words = request.line.split(' ');
        let target = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.1.split_once('?').unwrap_or((target.1, ""));
        let value = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut values = pairs.filter(|(n, _)| *n == name).map(|(_, v)| v);
            values.next().unwrap_or("").replace("%2F", "/")
        };
        let (lock, changed) = &*self.contents;
        match (target.0, path) {
            ("GET", "/v1/kv-range") => {
                let contents = lock.lock().unwrap();
                let prefix = value("Prefix");
                let items = contents
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix));
                let items: Vec<String> = items.map(|(key, item)| describe(key, item)).collect();
                (
                    "200 OK",
                    format!(
                        "{{\"items\":[{}],\"MorePages\":false,\"StoreRevision\":{}}}",
                        items.join(","),
                        contents.revision
                    ),
                )
            }
            ("GET", "/v1/kv-key") => {
                let contents = lock.lock().unwrap();
                let key = value("Key");
                match contents.items.get(&key) {
                    Some(item) => ("200 OK", describe(&key, item)),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("GET", "/v1/kv-watch") => {
                let prefix = value("Prefix");
                let after: i64 = value("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(value("WaitMs").parse().unwrap_or(0));
                let end = Instant::now() + wait;
                let mut contents = lock.lock().unwrap();
                loop {
                    let events = contents.events(&prefix, after);
                    let now = Instant::now();
                    if !events.is_empty() || now >= end {
                        return (
                            "200 OK",
                            format!(
                                "{{\"events\":[{}],\"StoreRevision\":{}}}",
                                events.join(","),
                                contents.revision
                            ),
                        );
                    }
                    contents = changed.wait_timeout(contents, end - now).unwrap().0;
                }
            }
            ("POST", "/v1/kv-txn") => {
                let Some(call) = Json::parse(&request.body) else {
                    return ("400 Bad Request", "{}".to_owned());
                };
                let mut contents = lock.lock().unwrap();
                let rows = call.get("Precondition").list();
                let holds = rows.iter().all(|row| {
                    let known = contents.items.get(row.get("Key").text());
                    known.map_or(0, |item| item.1) == row.get("Revision").number()
                });
                if !holds {
                    let keys = rows.iter().map(|row| row.get("Key").text());
                    let items =
                        keys.filter_map(|key| Some(describe(key, contents.items.get(key)?)));
                    let items: Vec<String> = items.collect();
                    return (
                        "412 Precondition Failed",
                        format!("{{\"items\":[{}]}}", items.join(",")),
                    );
                }
                for write in call.get("Writes").list() {
                    contents.put(
                        write.get("Key").text(),
                        write.get("Value").text().to_owned(),
                    );
                }
                changed.notify_all();
                ("200 OK", format!("{{\"Revision\":{}}}", contents.revision))
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }
}

impl Contents {
    fn put(&mut self, key: &str, value: String) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.2);
        self.items
            .insert(key.to_owned(), (value.clone(), self.revision, created));
        self.history.push(Change {
            revision: self.revision,
            key: key.to_owned(),
            value: Some(value),
        });
    }

    fn events(&self, prefix: &str, after: i64) -> Vec<String> {
        let changes = self.history.iter();
        let changes = changes.filter(|c| c.revision > after && c.key.starts_with(prefix));
        let event = |c: &Change| match &c.value {
            Some(value) => describe(&c.key, &(value.clone(), c.revision, c.revision)),
            None => format!(
                "{{\"Key\":\"{}\",\"Revision\":{},\"Removed\":true}}",
                c.key, c.revision
            ),
        };
        changes.map(event).collect()
    }
}

fn describe(key: &str, item: &(String, i64, i64)) -> String {
    format!(
        "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Revision\":{},\"CreateRevision\":{},\"Lease\":0}}",
        item.0, item.1, item.2
    )
}
