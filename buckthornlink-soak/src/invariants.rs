//! Invariants, checked on what callers and backend servers see.

mod dead_flows;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Flow, Packet};

use dead_flows::DeadFlow;

/// Time after a disruption of an instance or the store in which checks that it affects are omitted.
const DISRUPTION_GRACE_PERIOD: Millis = Millis(4_000);
/// Maximum time until a backend server whose drain was acknowledged gets no more new flows.
const MAX_DRAIN_DELAY: Millis = Millis(3_000);
/// Maximum time until a zone that was taken out of service gets no more new flows.
const MAX_ZONE_DELAY: Millis = Millis(5_000);
/// Maximum time until a new configuration is in force.
const MAX_CONFIG_DELAY: Millis = Millis(3_000);
/// Time within which few packets of an open flow may reach other backend servers (strays).
const STRAY_WINDOW: Millis = Millis(2_000);
/// Minimum number of stray packets within [`STRAY_WINDOW`] at which a flow counts as broken, even if others
/// reached its owner meanwhile: on slower links they may come later.
const STRAY_THRESHOLD: usize = 3;
/// Time before the end of a run in which callers must be served again.
const FINAL_WINDOW: Millis = Millis(6_000);
/// Minimum percentage of requests that must be served in [`FINAL_WINDOW`].
const MIN_SERVED_PERCENT: u64 = 95;

/// Identifies one boot of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BackendBoot {
    /// Address of its instance.
    pub ip: Ipv4Addr,
    /// Distinguishes the boots at this address.
    pub born: u64,
}

/// Records events and checks invariants; clones share their state.
#[derive(Clone, Debug)]
pub struct InvariantChecker {
    state: Arc<Mutex<State>>,
    started_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    disruptions: HashMap<Ipv4Addr, Millis>,
    balancers: Vec<Ipv4Addr>,
    store_disruption: Option<Millis>,
    live_backends: HashMap<Ipv4Addr, u64>,
    flows: HashMap<Flow, OpenFlow>,
    executed_by: HashMap<(Flow, u32), BackendBoot>,
    departures: HashMap<BackendBoot, Millis>,
    /// Backend servers that have begun to leave, whether or not their agents know.
    leaving: HashSet<BackendBoot>,
    /// Flows that the last loss of everything ended, and when everything was back.
    dead_flows: HashMap<Flow, DeadFlow>,
    returned_at: Option<Millis>,
    told_after: Vec<Millis>,
    zones_out: HashMap<String, Millis>,
    targets: HashMap<SocketAddrV4, (Millis, String)>,
    sent: BTreeMap<u64, u64>,
    served: BTreeMap<u64, u64>,
    /// Requests without an answer: when they were sent, and by which caller.
    unanswered: BTreeSet<(Millis, Ipv4Addr)>,
    violations: Vec<String>,
}

/// An open flow and the packets of it that missed its owner.
#[derive(Clone, Debug)]
struct OpenFlow {
    owner: BackendBoot,
    /// When a packet first reached its owner.
    opened_at: Millis,
    /// When a packet last reached its owner.
    last_delivery: Millis,
    /// The stray packets since then, and those of the last [`STRAY_WINDOW`].
    strays: Vec<Stray>,
}

/// A packet that reached another backend server than the owner of its flow.
#[derive(Clone, Copy, Debug)]
struct Stray {
    at: Millis,
    /// The balancer that took it.
    taker: Ipv4Addr,
    /// Whether neither that balancer nor the owner's instance was disrupted then.
    is_counted: bool,
}

/// Whether the instances that a violation is about were undisrupted, so that it is one by the milder check as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Touch {
    In,
    Out,
}

impl Touch {
    const fn of(is_in_touch: bool) -> Self {
        if is_in_touch { Self::In } else { Self::Out }
    }
}

impl fmt::Display for Touch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::In => f.write_str("in touch"),
            Self::Out => f.write_str("out of touch"),
        }
    }
}

/// Result of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Number of requests that were sent.
    pub sent: u64,
    /// Number of requests that were answered.
    pub served: u64,
    /// How long after they asked, or after everything was back, callers were told that a loss had ended their flows.
    pub told_after: Vec<Millis>,
    /// Descriptions of all violated invariants, with their times.
    pub violations: Vec<String>,
}

impl InvariantChecker {
    /// Creates a checker of a run that starts now.
    #[must_use]
    pub fn new(balancers: Vec<Ipv4Addr>) -> Self {
        let state = State {
            balancers,
            ..State::default()
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            started_at: Instant::now(),
        }
    }

    /// Time since the start of the run.
    #[must_use]
    pub fn now(&self) -> Millis {
        let elapsed = self.started_at.elapsed().as_millis();
        Millis(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// Records that an instance is disrupted now, or was until now.
    pub fn record_disruption(&self, ip: Ipv4Addr) {
        let now = self.now();
        self.lock().disruptions.insert(ip, now);
    }

    /// Records that the store, or a connection to it, is disrupted now, or was until now.
    pub fn record_store_disruption(&self) {
        let now = self.now();
        self.lock().store_disruption = Some(now);
    }

    /// Records that an invariant was violated.
    pub fn record_violation(&self, description: impl Into<String>) {
        let now = self.now();
        self.lock().record_violation(now, description);
    }

    /// Records that a backend server started or ended.
    pub fn set_live(&self, boot: BackendBoot, is_live: bool) {
        let mut state = self.lock();
        if is_live {
            state.live_backends.insert(boot.ip, boot.born);
        } else {
            state.live_backends.remove(&boot.ip);
        }
    }

    /// Records that the agent acknowledged a heartbeat of its backend server that announces a drain.
    pub fn record_departure(&self, boot: BackendBoot) {
        let now = self.now();
        self.lock().departures.entry(boot).or_insert(now);
    }

    /// Records that a zone was taken out of service or returned to service.
    pub fn set_zone_out(&self, zone: &str, is_out: bool) {
        let now = self.now();
        let mut state = self.lock();
        if is_out {
            state.zones_out.insert(zone.to_owned(), now);
        } else {
            state.zones_out.remove(zone);
        }
    }

    /// Records that a route points to a service from now on.
    pub fn set_target(&self, route: SocketAddrV4, service: &str) {
        let now = self.now();
        let target = (now, service.to_owned());
        self.lock().targets.insert(route, target);
    }

    /// Records that a request was sent for the first time.
    pub fn record_sent(&self, sent_at: Millis, caller: Ipv4Addr) {
        let mut state = self.lock();
        *state.sent.entry(sent_at.0 / 1_000).or_default() += 1;
        state.unanswered.insert((sent_at, caller));
    }

    /// Records that a request first sent at `sent_at` was answered.
    pub fn record_served(&self, sent_at: Millis, caller: Ipv4Addr) {
        let mut state = self.lock();
        *state.served.entry(sent_at.0 / 1_000).or_default() += 1;
        state.unanswered.remove(&(sent_at, caller));
    }

    /// Checks an opening packet of a new flow that a backend server accepted.
    pub fn check_opening(&self, boot: BackendBoot, zone: &str, service: &str, flow: &Flow) {
        let now = self.now();
        let mut state = self.lock();
        if !state.is_stable(boot.ip, now) {
            return;
        }
        let departed_at = state.departures.get(&boot).copied();
        if departed_at.is_some_and(|at| now.since(at) > MAX_DRAIN_DELAY) {
            state.record_violation(
                now,
                format!(
                    "{} accepted an opening of {flow:?} after its drain was acknowledged",
                    boot.ip
                ),
            );
        }
        let out_since = state.zones_out.get(zone).copied();
        if out_since.is_some_and(|at| state.is_overdue(at, MAX_ZONE_DELAY, now)) {
            state.record_violation(
                now,
                format!(
                    "{} accepted an opening of {flow:?} in a zone out of service",
                    boot.ip
                ),
            );
        }
        let target = state.targets.get(&flow.route).cloned();
        if target
            .is_some_and(|(at, to)| to != service && state.is_overdue(at, MAX_CONFIG_DELAY, now))
        {
            state.record_violation(
                now,
                format!(
                    "{service} accepted an opening of {flow:?} under an outdated configuration"
                ),
            );
        }
    }

    /// Checks a packet that reached the backend server which holds its flow.
    pub fn check_delivery(&self, boot: BackendBoot, packet: &Packet) {
        let now = self.now();
        let mut state = self.lock();
        state.record_delivery(boot, packet, now);
        if packet.len == 0 {
            return;
        }
        let first = *state
            .executed_by
            .entry((packet.flow, packet.seq))
            .or_insert(boot);
        if first != boot {
            let flow = packet.flow;
            state.record_violation(
                now,
                format!("a request of {flow:?} ran at {first:?} and at {boot:?}"),
            );
        }
    }

    /// Checks a packet that reached a backend server which does not hold its flow.
    pub fn check_stray(&self, ip: Ipv4Addr, packet: &Packet) {
        let now = self.now();
        let mut state = self.lock();
        state.record_stray(ip, packet, now);
        state.check_strays(&packet.flow, now);
    }

    /// Checks a reset of a caller's open flow, sent by the instance at `from`. While the backend server that holds
    /// the flow lives, there is none, whatever happens to instances, links and the store.
    pub fn check_reset(&self, flow: &Flow, from: Ipv4Addr) {
        let now = self.now();
        let mut state = self.lock();
        state.record_told(flow, now);
        let owner = state.flows.get(flow).map(|open| open.owner);
        let Some(owner) = owner.filter(|o| state.is_live(*o)) else {
            return;
        };
        let is_in_touch = state.is_stable(owner.ip, now) && state.is_stable(from, now);
        let touch = Touch::of(is_in_touch);
        let description = format!("{from} reset {flow:?}, which {owner:?} holds, {touch}");
        state.record_violation(now, description);
    }

    /// Checks that callers were served in [`FINAL_WINDOW`], without its last two seconds, and
    /// returns the result of the run.
    #[must_use]
    pub fn finish(&self) -> Summary {
        let now = self.now();
        let mut state = self.lock();
        state.check_untold(now);
        let from = now.since(FINAL_WINDOW).0 / 1_000;
        let last = (now.0 / 1_000).saturating_sub(2);
        let sum = |counts: &BTreeMap<u64, u64>| counts.range(from..last).map(|(_, n)| n).sum();
        let (sent, served): (u64, u64) = (sum(&state.sent), sum(&state.served));
        if sent == 0 || served * 100 < sent * MIN_SERVED_PERCENT {
            let unanswered = state.unanswered_between(from, last);
            let description = format!("{served} of {sent} served at the end, not: {unanswered}");
            state.record_violation(now, description);
        }
        Summary {
            sent: state.sent.values().sum(),
            served: state.served.values().sum(),
            told_after: std::mem::take(&mut state.told_after),
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

    /// Records a packet at the owner of its flow, which clears no recent stray packet.
    fn record_delivery(&mut self, owner: BackendBoot, packet: &Packet, now: Millis) {
        let open = self.flows.entry(packet.flow);
        let open = open.or_insert(OpenFlow {
            owner,
            opened_at: now,
            last_delivery: now,
            strays: Vec::new(),
        });
        let is_same_owner = open.owner == owner;
        open.strays
            .retain(|s| is_same_owner && now.since(s.at) <= STRAY_WINDOW);
        if !is_same_owner {
            open.opened_at = now;
        }
        open.owner = owner;
        open.last_delivery = now;
    }

    fn record_stray(&mut self, ip: Ipv4Addr, packet: &Packet, now: Millis) {
        let taker = packet.tag.origin;
        let is_taker_stable = self.is_taker_stable(taker, now);
        let owner = self.flows.get(&packet.flow).map(|open| open.owner.ip);
        let is_owner_stable = owner.is_some_and(|owner| self.is_stable(owner, now));
        let stray = Stray {
            at: now,
            taker,
            is_counted: is_taker_stable && is_owner_stable,
        };
        if let Some(open) = self
            .flows
            .get_mut(&packet.flow)
            .filter(|o| o.owner.ip != ip)
        {
            open.strays.push(stray);
        }
    }

    /// Checks the stray packets of a flow when one has just arrived.
    fn check_strays(&mut self, flow: &Flow, now: Millis) {
        let Some(open) = self.flows.get(flow) else {
            return;
        };
        let is_counted = |s: &&Stray| s.is_counted || self.is_taker_stable(s.taker, now);
        let counted = || open.strays.iter().filter(is_counted);
        let recent = counted().filter(|s| now.since(s.at) <= STRAY_WINDOW);
        let undelivered = counted().filter(|s| s.at >= open.last_delivery);
        let is_over = now.since(open.last_delivery) >= STRAY_WINDOW;
        let has_missed = is_over && undelivered.count() >= STRAY_THRESHOLD;
        let is_owner_stable = self.is_stable(open.owner.ip, now);
        let is_in_touch = is_owner_stable && (has_missed || recent.count() >= STRAY_THRESHOLD);
        let all_recent = open.strays.iter();
        let all_recent = all_recent.filter(|s| now.since(s.at) <= STRAY_WINDOW);
        if is_in_touch || all_recent.count() >= STRAY_THRESHOLD {
            self.record_strays(flow, Touch::of(is_in_touch), now);
        }
    }

    /// Records a violation, unless the owner has ended.
    fn record_strays(&mut self, flow: &Flow, touch: Touch, at: Millis) {
        let owner = self.flows.get(flow).map(|open| open.owner);
        let Some(owner) = owner.filter(|owner| self.is_live(*owner)) else {
            return;
        };
        let description =
            format!("packets of {flow:?} reach others than its owner {owner:?}, {touch}");
        self.record_violation(at, description);
        if let Some(open) = self.flows.get_mut(flow) {
            open.strays.clear();
        }
    }

    /// Whether the balancer that took a packet has not been disrupted. A packet that names none may have
    /// been taken by any of them.
    fn is_taker_stable(&self, balancer: Ipv4Addr, now: Millis) -> bool {
        if self.balancers.contains(&balancer) {
            return self.is_stable(balancer, now);
        }
        self.balancers.iter().all(|ip| self.is_stable(*ip, now))
    }

    /// Requests without an answer that were sent in these seconds of the run.
    fn unanswered_between(&self, from: u64, last: u64) -> String {
        let is_inside = |(at, _): &&(Millis, Ipv4Addr)| (from..last).contains(&(at.0 / 1_000));
        let requests = self.unanswered.iter().filter(is_inside);
        let requests = requests.map(|(at, caller)| format!("{caller} at {} ms", at.0));
        requests.collect::<Vec<_>>().join(", ")
    }

    /// Whether an instance has not been disrupted within the grace period.
    fn is_stable(&self, ip: Ipv4Addr, now: Millis) -> bool {
        let last = self.disruptions.get(&ip);
        last.is_none_or(|&at| now.since(at) > DISRUPTION_GRACE_PERIOD)
    }

    fn is_live(&self, boot: BackendBoot) -> bool {
        self.live_backends.get(&boot.ip) == Some(&boot.born)
    }

    /// Whether a change at `at` must be in force by `now`: the period is over, and the store has not
    /// been disrupted within the grace period.
    fn is_overdue(&self, at: Millis, period: Millis, now: Millis) -> bool {
        let is_store_stable = self
            .store_disruption
            .is_none_or(|at| now.since(at) > DISRUPTION_GRACE_PERIOD);
        is_store_stable && now.since(at) > period
    }
}

#[cfg(test)]
#[path = "../tests/unit/invariants.rs"]
mod tests;
