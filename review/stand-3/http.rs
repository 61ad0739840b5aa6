//! HTTP/1.1 for the stand-ins: a server with a thread for each connection, and single calls.

use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn query(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

pub struct Response {
    pub status: u16,
    pub body: String,
}

/// Serves requests at a listener forever.
pub fn serve(listener: TcpListener, handle: Arc<dyn Fn(Request) -> Response + Send + Sync>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || serve_connection(stream, &*handle));
        }
    });
}

fn serve_connection(mut stream: TcpStream, handle: &dyn Fn(Request) -> Response) {
    let _ = stream.set_nodelay(true);
    while let Some(request) = read_request(&mut stream) {
        let response = handle(request);
        if write_response(&mut stream, &response).is_err() {
            return;
        }
    }
}

pub fn write_response(stream: &mut TcpStream, response: &Response) -> std::io::Result<()> {
    let text = format!(
        "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
        response.status,
        response.body.len(),
        response.body
    );
    stream.write_all(text.as_bytes())
}

/// Reads a request; returns `None` at the end of the connection.
pub fn read_request(stream: &mut TcpStream) -> Option<Request> {
    let (head, body) = read_message(stream)?;
    let mut words = head.lines().next()?.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        method,
        path: path.to_owned(),
        query: pairs
            .map(|(k, v)| (k.to_owned(), v.replace("%2F", "/")))
            .collect(),
        body,
    })
}

/// Makes a call; returns the status, or `None` without an answer in time.
pub fn call(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&to.into(), timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let (head, _) = read_message(&mut stream)?;
    head.split(' ').nth(1)?.parse().ok()
}

/// Reads a message with a body of known length; returns its head and body.
fn read_message(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 8192];
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break end + 4;
        }
        let count = stream.read(&mut buffer).ok().filter(|n| *n > 0)?;
        bytes.extend(&buffer[..count]);
    };
    let head = String::from_utf8(bytes[..end].to_vec()).ok()?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length")
            .then(|| value.trim().parse::<usize>().ok())?
    });
    let total = end + length.unwrap_or(0);
    while bytes.len() < total {
        let count = stream.read(&mut buffer).ok().filter(|n| *n > 0)?;
        bytes.extend(&buffer[..count]);
    }
    Some((head, String::from_utf8(bytes[end..total].to_vec()).ok()?))
}
