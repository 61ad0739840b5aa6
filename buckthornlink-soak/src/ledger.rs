//! What callers and backend servers saw, judged against the promises.

use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Flow, Packet};

/// Time after a disturbance for which an instance is not held to promises.
const CONTACT_SPAN: Millis = Millis(4_000);
/// Time after an acknowledged departure from which on no flow may open there.
const DRAIN_SPAN: Millis = Millis(3_000);
/// Time after which a zone that was taken out gets no new flow.
const ZONE_SPAN: Millis = Millis(5_000);
/// Time after which a configuration is in force.
const CONFIG_SPAN: Millis = Millis(3_000);
/// Time for which packets of a flow may miss its backend server.
const STRAY_SPAN: Millis = Millis(2_000);
/// Packets that must have missed it meanwhile.
const MIN_STRAYS: usize = 3;
/// Length of the end of a run in which callers are to be served again.
const FINAL_SPAN: Millis = Millis(6_000);
/// Least share of requests that are served there, in percent.
const MIN_SERVED: u64 = 95;

/// One start of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Start {
    /// Where it runs.
    pub ip: Ipv4Addr,
    /// Names the start.
    pub born: u64,
}

/// A record shared by all ends.
#[derive(Clone, Debug)]
pub struct Ledger {
    state: Arc<Mutex<State>>,
    started: Instant,
}

#[derive(Debug, Default)]
struct State {
    disturbed: HashMap<Ipv4Addr, Millis>,
    balancers: Vec<Ipv4Addr>,
    store: Millis,
    live: HashMap<Ipv4Addr, u64>,
    owners: HashMap<Flow, Start>,
    strays: HashMap<Flow, Vec<Millis>>,
    ran: HashMap<(Flow, u32), Start>,
    leaving: HashMap<Start, Millis>,
    zones_out: HashMap<String, Millis>,
    targets: HashMap<SocketAddrV4, (Millis, String)>,
    asked: BTreeMap<u64, u64>,
    served: BTreeMap<u64, u64>,
    violations: Vec<String>,
}

/// Counts of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Requests that were sent.
    pub asked: u64,
    /// Requests that were answered.
    pub served: u64,
    /// Promises that were broken.
    pub violations: Vec<String>,
}

impl Ledger {
    /// An empty record.
    #[must_use]
    pub fn new(balancers: Vec<Ipv4Addr>) -> Self {
        let state = State {
            balancers,
            ..State::default()
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            started: Instant::now(),
        }
    }

    /// Time since the start of the run.
    #[must_use]
    pub fn now(&self) -> Millis {
        let span = self.started.elapsed().as_millis();
        Millis(u64::try_from(span).unwrap_or(u64::MAX))
    }

    /// An instance is disturbed now, or was until now.
    pub fn disturb(&self, ip: Ipv4Addr) {
        let now = self.now();
        self.lock().disturbed.insert(ip, now);
    }

    /// The store, or a link to it, is disturbed now, or was until now.
    pub fn disturb_store(&self) {
        let now = self.now();
        self.lock().store = now;
    }

    /// A promise was broken.
    pub fn violate(&self, what: impl Into<String>) {
        let now = self.now();
        self.lock().violate(now, what);
    }

    /// A backend server starts, or ends.
    pub fn set_live(&self, start: Start, is_live: bool) {
        let mut state = self.lock();
        if is_live {
            state.live.insert(start.ip, start.born);
        } else {
            state.live.remove(&start.ip);
        }
    }

    /// The departure of a backend server was acknowledged.
    pub fn leave(&self, start: Start) {
        let now = self.now();
        self.lock().leaving.entry(start).or_insert(now);
    }

    /// A zone is taken out of service, or back.
    pub fn set_zone_out(&self, zone: &str, out: bool) {
        let now = self.now();
        let mut state = self.lock();
        if out {
            state.zones_out.insert(zone.to_owned(), now);
        } else {
            state.zones_out.remove(zone);
        }
    }

    /// A route points to a service from now on.
    pub fn set_target(&self, route: SocketAddrV4, service: &str) {
        let now = self.now();
        let target = (now, service.to_owned());
        self.lock().targets.insert(route, target);
    }

    /// A request was sent for the first time.
    pub fn ask(&self) {
        let second = self.now().0 / 1_000;
        *self.lock().asked.entry(second).or_default() += 1;
    }

    /// A request that was sent at `since` was answered.
    pub fn serve(&self, since: Millis) {
        *self.lock().served.entry(since.0 / 1_000).or_default() += 1;
    }

    /// A backend server accepted the opening packet of a flow that it did not know.
    pub fn open(&self, start: Start, zone: &str, service: &str, flow: &Flow) {
        let now = self.now();
        let mut state = self.lock();
        if !state.is_calm(start.ip, now) {
            return;
        }
        let left = state.leaving.get(&start).copied();
        if left.is_some_and(|at| now.since(at) > DRAIN_SPAN) {
            state.violate(now, format!("{} takes {flow:?} after it left", start.ip));
        }
        let out = state.zones_out.get(zone).copied();
        if out.is_some_and(|at| state.is_overdue(at, ZONE_SPAN, now)) {
            state.violate(now, format!("{} takes {flow:?} in a zone out", start.ip));
        }
        let target = state.targets.get(&flow.route).cloned();
        if target.is_some_and(|(at, to)| to != service && state.is_overdue(at, CONFIG_SPAN, now)) {
            state.violate(now, format!("{service} takes {flow:?} by an old version"));
        }
    }

    /// A backend server took a packet of a flow that it holds.
    pub fn take(&self, start: Start, packet: &Packet) {
        let now = self.now();
        let mut state = self.lock();
        state.owners.insert(packet.flow, start);
        state.strays.remove(&packet.flow);
        if packet.len == 0 {
            return;
        }
        let first = *state.ran.entry((packet.flow, packet.seq)).or_insert(start);
        if first != start {
            let flow = packet.flow;
            state.violate(now, format!("{flow:?} runs at {first:?} and at {start:?}"));
        }
    }

    /// A packet of a flow reached a backend server that does not hold it.
    pub fn stray(&self, ip: Ipv4Addr, packet: &Packet) {
        let now = self.now();
        let mut state = self.lock();
        let owner = state.owners.get(&packet.flow).copied();
        let Some(owner) = owner.filter(|o| state.is_live(*o) && o.ip != ip) else {
            return;
        };
        let strays = state.strays.entry(packet.flow).or_default();
        strays.push(now);
        let is_broken = strays.len() >= MIN_STRAYS && now.since(strays[0]) >= STRAY_SPAN;
        let balancers = state.balancers.clone();
        let is_calm = balancers.iter().all(|ip| state.is_calm(*ip, now));
        if is_broken && is_calm && state.is_calm(owner.ip, now) {
            state.violate(now, format!("{:?} misses its owner {owner:?}", packet.flow));
        }
    }

    /// A caller's open flow was reset by the instance at `from`.
    pub fn reset(&self, flow: &Flow, from: Ipv4Addr) {
        let now = self.now();
        let mut state = self.lock();
        let owner = state.owners.get(flow).copied();
        let Some(owner) = owner.filter(|o| state.is_live(*o)) else {
            return;
        };
        if state.is_calm(owner.ip, now) && state.is_calm(from, now) {
            state.violate(now, format!("{from} resets {flow:?} of {owner:?}"));
        }
    }

    /// Judges the end of the run and returns its counts.
    #[must_use]
    pub fn close(&self) -> Summary {
        let now = self.now();
        let mut state = self.lock();
        let from = now.since(FINAL_SPAN).0 / 1_000;
        let last = (now.0 / 1_000).saturating_sub(2);
        let sum = |counts: &BTreeMap<u64, u64>| counts.range(from..last).map(|(_, n)| n).sum();
        let (asked, served): (u64, u64) = (sum(&state.asked), sum(&state.served));
        if asked == 0 || served * 100 < asked * MIN_SERVED {
            let missed: Vec<u64> = (from..last).map(|second| state.missed(second)).collect();
            let what = format!("{served} of {asked} served at the end, by second {missed:?} not");
            state.violate(now, what);
        }
        Summary {
            asked: state.asked.values().sum(),
            served: state.served.values().sum(),
            violations: std::mem::take(&mut state.violations),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn violate(&mut self, now: Millis, what: impl Into<String>) {
        self.violations
            .push(format!("{} ms: {}", now.0, what.into()));
    }

    /// Requests of a second that were not served.
    fn missed(&self, second: u64) -> u64 {
        let count = |counts: &BTreeMap<u64, u64>| counts.get(&second).copied().unwrap_or(0);
        count(&self.asked).saturating_sub(count(&self.served))
    }

    /// Whether an instance has not been disturbed of late.
    fn is_calm(&self, ip: Ipv4Addr, now: Millis) -> bool {
        let last = self.disturbed.get(&ip);
        last.is_none_or(|&at| now.since(at) > CONTACT_SPAN)
    }

    fn is_live(&self, start: Start) -> bool {
        self.live.get(&start.ip) == Some(&start.born)
    }

    /// Whether a change at `at` is to be in force, with the store at hand all the while.
    fn is_overdue(&self, at: Millis, span: Millis, now: Millis) -> bool {
        let is_stable = self.store + CONTACT_SPAN < at || self.store == Millis(0);
        is_stable && now.since(at) > span
    }
}

#[cfg(test)]
#[path = "../tests/unit/ledger.rs"]
mod tests;
