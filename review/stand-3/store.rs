//! A stand-in for the platform's store, and the operator who writes to it.

use std::collections::BTreeMap;
use std::net::{SocketAddrV4, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Response, serve};
use crate::json::Json;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    last_lease: u64,
    items: BTreeMap<String, Item>,
    /// All changes; `None` is a removal.
    history: Vec<(u64, String, Option<Item>)>,
}

/// The store; clones share its contents.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts the store.
    pub fn start(at: SocketAddrV4) -> std::io::Result<Self> {
        let state = State {
            revision: 100,
            ..State::default()
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let served = store.clone();
        serve(
            TcpListener::bind(at)?,
            Arc::new(move |request| served.handle(&request)),
        );
        Ok(store)
    }

    /// Writes a record as the operator does. The return is the acknowledgement.
    pub fn operate(&self, key: &str, text: &str) {
        self.apply(&[(key.to_owned(), encode_base64(text.as_bytes()), 0)], &[]);
    }

    /// Removes a record as the operator does.
    pub fn remove(&self, key: &str) {
        self.apply(&[], &[key.to_owned()]);
    }

    /// The keys and values that it holds, for the record.
    pub fn dump(&self) -> Vec<(String, String)> {
        let state = self.state.0.lock().unwrap();
        state
            .items
            .iter()
            .map(|(key, item)| (key.clone(), item.value.clone()))
            .collect()
    }

    fn apply(&self, writes: &[(String, String, u64)], removals: &[String]) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        self.apply_to(&mut state, writes, removals)
    }

    /// Applies a change to the locked contents; returns its revision.
    fn apply_to(
        &self,
        state: &mut State,
        writes: &[(String, String, u64)],
        removals: &[String],
    ) -> u64 {
        state.revision += 1;
        let revision = state.revision;
        for (key, value, lease) in writes {
            let created = state.items.get(key).map_or(revision, |item| item.created);
            let item = Item {
                value: value.clone(),
                revision,
                created,
                lease: *lease,
            };
            state.items.insert(key.clone(), item.clone());
            state.history.push((revision, key.clone(), Some(item)));
        }
        for key in removals {
            if state.items.remove(key).is_some() {
                state.history.push((revision, key.clone(), None));
            }
        }
        self.state.1.notify_all();
        revision
    }

    fn handle(&self, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/kv-key") => self.get(request),
            ("GET", "/v1/kv-range") => self.range(request),
            ("GET", "/v1/kv-watch") => self.watch(request),
            ("POST", "/v1/kv-txn") => self.transact(request),
            ("POST", "/v1/kv-lease") => self.grant(request),
            ("POST", path) if path.starts_with("/v1/kv-keep/") => {
                answer(200, r#"{"TtlMs":600000}"#)
            }
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => answer(200, "{}"),
            _ => answer(400, "{}"),
        }
    }

    fn get(&self, request: &Request) -> Response {
        let state = self.state.0.lock().unwrap();
        let key = request.query("Key").unwrap_or_default();
        match state.items.get(key) {
            Some(item) => {
                let fields = item_fields(key, item);
                answer(
                    200,
                    &format!("{{{fields},\"StoreRevision\":{}}}", state.revision),
                )
            }
            None => answer(404, "{}"),
        }
    }

    fn range(&self, request: &Request) -> Response {
        let state = self.state.0.lock().unwrap();
        let prefix = request.query("Prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let items = state.items.iter();
        let items = items.filter(|(key, _)| {
            key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
        });
        let items: Vec<String> = items
            .map(|(key, item)| format!("{{{}}}", item_fields(key, item)))
            .collect();
        let items = items.join(",");
        answer(
            200,
            &format!(
                "{{\"items\":[{items}],\"MorePages\":false,\"StoreRevision\":{}}}",
                state.revision
            ),
        )
    }

    fn watch(&self, request: &Request) -> Response {
        let prefix = request.query("Prefix").unwrap_or_default();
        let number = |name| {
            request
                .query(name)
                .and_then(|v| v.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let until = Instant::now() + Duration::from_millis(number("WaitMs").min(30_000));
        let mut state = self.state.0.lock().unwrap();
        loop {
            let news = state.history.iter();
            let news = news.filter(|(revision, key, _)| {
                *revision > number("after") && key.starts_with(prefix)
            });
            let events: Vec<String> = news
                .map(|(revision, key, item)| event(*revision, key, item.as_ref()))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return answer(
                    200,
                    &format!(
                        "{{\"events\":[{events}],\"StoreRevision\":{}}}",
                        state.revision
                    ),
                );
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Request) -> Response {
        let Some(body) = Json::parse(&request.body) else {
            return answer(400, "{}");
        };
        let list = |name: &str| body.get(name).map(Json::items).unwrap_or_default().to_vec();
        let text = |entry: &Json, name: &str| {
            entry
                .get(name)
                .and_then(Json::text)
                .unwrap_or_default()
                .to_owned()
        };
        let number =
            |entry: &Json, name: &str| entry.get(name).and_then(Json::number).unwrap_or(0.0) as u64;
        let conditions = list("Precondition");
        let mut state = self.state.0.lock().unwrap();
        let current = |entry: &Json| state.items.get(&text(entry, "Key")).cloned();
        let is_met = |entry: &Json| {
            current(entry).map_or(0, |item| item.revision) == number(entry, "Revision")
        };
        if !conditions.iter().all(is_met) {
            let items = conditions
                .iter()
                .filter_map(|c| Some((text(c, "Key"), current(c)?)));
            let items: Vec<String> = items
                .map(|(key, item)| format!("{{{}}}", item_fields(&key, &item)))
                .collect();
            return answer(412, &format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let writes: Vec<_> = list("Writes")
            .iter()
            .map(|w| (text(w, "Key"), text(w, "Value"), number(w, "Lease")))
            .collect();
        let removals: Vec<String> = list("Remove")
            .iter()
            .filter_map(|key| key.text().map(str::to_owned))
            .collect();
        let revision = self.apply_to(&mut state, &writes, &removals);
        answer(200, &format!("{{\"Revision\":{revision}}}"))
    }

    fn grant(&self, request: &Request) -> Response {
        let ttl = Json::parse(&request.body)
            .and_then(|body| body.get("TtlMs")?.number())
            .unwrap_or(1_000.0);
        let mut state = self.state.0.lock().unwrap();
        state.last_lease += 1;
        answer(
            200,
            &format!("{{\"Lease\":{},\"TtlMs\":{ttl}}}", state.last_lease),
        )
    }
}

fn answer(status: u16, body: &str) -> Response {
    Response {
        status,
        body: body.to_owned(),
    }
}

fn item_fields(key: &str, item: &Item) -> String {
    format!(
        "\"Key\":\"{key}\",\"Value\":\"{}\",\"Revision\":{},\"CreateRevision\":{},\"Lease\":{}",
        item.value, item.revision, item.created, item.lease
    )
}

fn event(revision: u64, key: &str, item: Option<&Item>) -> String {
    match item {
        Some(item) => format!("{{{}}}", item_fields(key, item)),
        None => format!("{{\"Key\":\"{key}\",\"Revision\":{revision},\"Removed\":true}}"),
    }
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = group
            .iter()
            .fold(0_u32, |bits, b| bits << 8 | u32::from(*b))
            << (8 * (3 - group.len()));
        for i in 0..4 {
            if i <= group.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * i) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
