//! What callers and backend servers saw, judged against the promises.

use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Flow, Packet};

/// Time after a disturbance for which an instance is not held to promises.
const DISRUPTION_GRACE_PERIOD: Millis = Millis(4_000);
/// Time after an acknowledged departure from which on no flow may open there.
const MAX_DRAIN_DELAY: Millis = Millis(3_000);
/// Time after which a zone that was taken out gets no new flow.
const MAX_ZONE_DELAY: Millis = Millis(5_000);
/// Time after which a configuration is in force.
const MAX_CONFIG_DELAY: Millis = Millis(3_000);
/// Time for which packets of a flow may miss its backend server.
const STRAY_WINDOW: Millis = Millis(2_000);
/// Packets that must have missed it meanwhile.
const STRAY_THRESHOLD: usize = 3;
/// Length of the end of a run in which callers are to be served again.
const FINAL_WINDOW: Millis = Millis(6_000);
/// Least share of requests that are served there, in percent.
const MIN_SERVED_PERCENT: u64 = 95;

/// One start of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BackendBoot {
    /// Where it runs.
    pub ip: Ipv4Addr,
    /// Names the boot.
    pub born: u64,
}

/// A record shared by all ends.
#[derive(Clone, Debug)]
pub struct InvariantChecker {
    state: Arc<Mutex<State>>,
    started: Instant,
}

#[derive(Debug, Default)]
struct State {
    disruptions: HashMap<Ipv4Addr, Millis>,
    balancers: Vec<Ipv4Addr>,
    store_disruption: Millis,
    live_backends: HashMap<Ipv4Addr, u64>,
    owners: HashMap<Flow, BackendBoot>,
    strays: HashMap<Flow, Vec<Millis>>,
    executed_by: HashMap<(Flow, u32), BackendBoot>,
    departures: HashMap<BackendBoot, Millis>,
    zones_out: HashMap<String, Millis>,
    targets: HashMap<SocketAddrV4, (Millis, String)>,
    sent: BTreeMap<u64, u64>,
    served: BTreeMap<u64, u64>,
    violations: Vec<String>,
}

/// Counts of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Requests that were sent.
    pub sent: u64,
    /// Requests that were answered.
    pub served: u64,
    /// Promises that were broken.
    pub violations: Vec<String>,
}

impl InvariantChecker {
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
        let elapsed = self.started.elapsed().as_millis();
        Millis(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// An instance is disturbed now, or was until now.
    pub fn record_disruption(&self, ip: Ipv4Addr) {
        let now = self.now();
        self.lock().disruptions.insert(ip, now);
    }

    /// The store, or a link to it, is disturbed now, or was until now.
    pub fn record_store_disruption(&self) {
        let now = self.now();
        self.lock().store_disruption = now;
    }

    /// A promise was broken.
    pub fn record_violation(&self, description: impl Into<String>) {
        let now = self.now();
        self.lock().record_violation(now, description);
    }

    /// A backend server starts, or ends.
    pub fn set_live(&self, boot: BackendBoot, is_live: bool) {
        let mut state = self.lock();
        if is_live {
            state.live_backends.insert(boot.ip, boot.born);
        } else {
            state.live_backends.remove(&boot.ip);
        }
    }

    /// The departure of a backend server was acknowledged.
    pub fn record_departure(&self, boot: BackendBoot) {
        let now = self.now();
        self.lock().departures.entry(boot).or_insert(now);
    }

    /// A zone is taken out of service, or back.
    pub fn set_zone_out(&self, zone: &str, is_out: bool) {
        let now = self.now();
        let mut state = self.lock();
        if is_out {
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
    pub fn record_sent(&self) {
        let second = self.now().0 / 1_000;
        *self.lock().sent.entry(second).or_default() += 1;
    }

    /// A request that was sent at `since` was answered.
    pub fn record_served(&self, since: Millis) {
        *self.lock().served.entry(since.0 / 1_000).or_default() += 1;
    }

    /// A backend server accepted the opening packet of a flow that it did not know.
    pub fn check_opening(&self, boot: BackendBoot, zone: &str, service: &str, flow: &Flow) {
        let now = self.now();
        let mut state = self.lock();
        if !state.is_stable(boot.ip, now) {
            return;
        }
        let left = state.departures.get(&boot).copied();
        if left.is_some_and(|at| now.since(at) > MAX_DRAIN_DELAY) {
            state.record_violation(now, format!("{} takes {flow:?} after it left", boot.ip));
        }
        let out = state.zones_out.get(zone).copied();
        if out.is_some_and(|at| state.is_overdue(at, MAX_ZONE_DELAY, now)) {
            state.record_violation(now, format!("{} takes {flow:?} in a zone out", boot.ip));
        }
        let target = state.targets.get(&flow.route).cloned();
        if target
            .is_some_and(|(at, to)| to != service && state.is_overdue(at, MAX_CONFIG_DELAY, now))
        {
            state.record_violation(now, format!("{service} takes {flow:?} by an old version"));
        }
    }

    /// A backend server took a packet of a flow that it holds.
    pub fn check_delivery(&self, boot: BackendBoot, packet: &Packet) {
        let now = self.now();
        let mut state = self.lock();
        state.owners.insert(packet.flow, boot);
        state.strays.remove(&packet.flow);
        if packet.len == 0 {
            return;
        }
        let first = *state
            .executed_by
            .entry((packet.flow, packet.seq))
            .or_insert(boot);
        if first != boot {
            let flow = packet.flow;
            state.record_violation(now, format!("{flow:?} runs at {first:?} and at {boot:?}"));
        }
    }

    /// A packet of a flow reached a backend server that does not hold it.
    pub fn check_stray(&self, ip: Ipv4Addr, packet: &Packet) {
        let now = self.now();
        let mut state = self.lock();
        let owner = state.owners.get(&packet.flow).copied();
        let Some(owner) = owner.filter(|o| state.is_live(*o) && o.ip != ip) else {
            return;
        };
        let strays = state.strays.entry(packet.flow).or_default();
        strays.push(now);
        let is_broken = strays.len() >= STRAY_THRESHOLD && now.since(strays[0]) >= STRAY_WINDOW;
        let balancers = state.balancers.clone();
        let are_balancers_stable = balancers.iter().all(|ip| state.is_stable(*ip, now));
        if is_broken && are_balancers_stable && state.is_stable(owner.ip, now) {
            state.record_violation(now, format!("{:?} misses its owner {owner:?}", packet.flow));
        }
    }

    /// A caller's open flow was reset by the instance at `from`.
    pub fn check_reset(&self, flow: &Flow, from: Ipv4Addr) {
        let now = self.now();
        let mut state = self.lock();
        let owner = state.owners.get(flow).copied();
        let Some(owner) = owner.filter(|o| state.is_live(*o)) else {
            return;
        };
        if state.is_stable(owner.ip, now) && state.is_stable(from, now) {
            state.record_violation(now, format!("{from} resets {flow:?} of {owner:?}"));
        }
    }

    /// Judges the end of the run and returns its counts.
    #[must_use]
    pub fn finish(&self) -> Summary {
        let now = self.now();
        let mut state = self.lock();
        let from = now.since(FINAL_WINDOW).0 / 1_000;
        let last = (now.0 / 1_000).saturating_sub(2);
        let sum = |counts: &BTreeMap<u64, u64>| counts.range(from..last).map(|(_, n)| n).sum();
        let (sent, served): (u64, u64) = (sum(&state.sent), sum(&state.served));
        if sent == 0 || served * 100 < sent * MIN_SERVED_PERCENT {
            let unserved: Vec<u64> = (from..last)
                .map(|second| state.count_unserved(second))
                .collect();
            let description =
                format!("{served} of {sent} served at the end, by second {unserved:?} not");
            state.record_violation(now, description);
        }
        Summary {
            sent: state.sent.values().sum(),
            served: state.served.values().sum(),
            violations: std::mem::take(&mut state.violations),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn record_violation(&mut self, now: Millis, description: impl Into<String>) {
        self.violations
            .push(format!("{} ms: {}", now.0, description.into()));
    }

    /// Requests of a second that were not served.
    fn count_unserved(&self, second: u64) -> u64 {
        let count = |counts: &BTreeMap<u64, u64>| counts.get(&second).copied().unwrap_or(0);
        count(&self.sent).saturating_sub(count(&self.served))
    }

    /// Whether an instance has not been disturbed of late.
    fn is_stable(&self, ip: Ipv4Addr, now: Millis) -> bool {
        let last = self.disruptions.get(&ip);
        last.is_none_or(|&at| now.since(at) > DISRUPTION_GRACE_PERIOD)
    }

    fn is_live(&self, boot: BackendBoot) -> bool {
        self.live_backends.get(&boot.ip) == Some(&boot.born)
    }

    /// Whether a change at `at` is to be in force, with the store at hand all the while.
    fn is_overdue(&self, at: Millis, period: Millis, now: Millis) -> bool {
        let is_store_stable = self.store_disruption + DISRUPTION_GRACE_PERIOD < at
            || self.store_disruption == Millis(0);
        is_store_stable && now.since(at) > period
    }
}

#[cfg(test)]
#[path = "../tests/unit/invariants.rs"]
mod tests;
