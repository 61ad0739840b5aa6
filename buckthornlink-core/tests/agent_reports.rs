//! Reports of an agent to balancers, some of which are lost.

mod common;

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use buckthornlink_core::agent::{Effect, Event, TICK_INTERVAL};
use buckthornlink_core::member::{Fact, Phase, Role};
use buckthornlink_core::message::Message;
use buckthornlink_core::{BootId, Millis, Version, ZoneTag};
use common::{Harness, ack_of, addr};

/// Balancers that the agent knows, half of them in its zone.
const BALANCERS: u8 = 12;
const FIRST_BALANCER: u8 = 100;
/// Balancers that an agent reports to in turn, each once in an interval.
const TARGETS: u64 = 3;
/// Intervals of a small fleet, and of one of 21,000 agents.
const INTERVALS: [Millis; 2] = [Millis(1_000), Millis(6_600)];
/// Time from a report that nobody answers to another balancer's answer.
const RETRY_TIME: Millis = Millis(400);
const LATENCY: Millis = Millis(20);
/// The fabric's address, which leads to a balancer that lives.
const ENTRY_HOST: u8 = 250;

fn balancer(host: u8) -> Fact {
    Fact {
        addr: addr(host),
        role: Role::Balancer,
        zone: ZoneTag(1 + u16::from(host % 2)),
        boot: BootId(1),
        seq: 1,
        phase: Phase::Warm,
    }
}

/// An agent that knows all balancers and reports to three of them.
struct Reports {
    harness: Harness,
    interval: Millis,
    lost: BTreeSet<SocketAddrV4>,
    version: Version,
    /// Acknowledgements on their way.
    acks: Vec<(Millis, Fact)>,
    /// Messages that the agent sent.
    sent: Vec<SocketAddrV4>,
}

impl Reports {
    fn start(interval: Millis) -> Self {
        let mut reports = Self {
            harness: Harness::warm(),
            interval,
            lost: BTreeSet::new(),
            version: Version(1),
            acks: Vec::new(),
            sent: Vec::new(),
        };
        for host in (FIRST_BALANCER..).take(usize::from(BALANCERS)) {
            reports.acknowledge(balancer(host));
        }
        reports.run(Millis(interval.0 * 2));
        reports
    }

    /// Balancers that the agent reports to.
    fn targets(&mut self) -> BTreeSet<SocketAddrV4> {
        self.sent.clear();
        self.run(self.interval);
        self.sent.iter().copied().collect()
    }

    /// Runs for some time; returns whether the agent fetched the latest configuration.
    fn run(&mut self, span: Millis) -> bool {
        let end = self.harness.now + span;
        let mut has_fetched = false;
        while self.harness.now < end {
            self.harness.now = self.harness.now + Millis(10);
            let now = self.harness.now;
            let (due, later) = self.acks.iter().partition(|(at, _)| *at <= now);
            self.acks = later;
            let due: Vec<(Millis, Fact)> = due;
            for (_, from) in due {
                has_fetched |= self.acknowledge(from);
            }
            if now.0.is_multiple_of(TICK_INTERVAL.0) {
                let effects = self.harness.state.reduce(Event::Tick, now);
                self.deliver(&effects);
            }
        }
        has_fetched
    }

    fn deliver(&mut self, effects: &[Effect]) {
        for effect in effects {
            let Effect::Send { to, .. } = effect else {
                continue;
            };
            self.sent.push(*to);
            let mut hosts = (FIRST_BALANCER..).take(usize::from(BALANCERS));
            let receiver = if *to == addr(ENTRY_HOST) {
                hosts.find(|&host| !self.lost.contains(&addr(host)))
            } else {
                hosts.find(|&host| addr(host) == *to && !self.lost.contains(to))
            };
            if let Some(host) = receiver {
                let at = self.harness.now + LATENCY + LATENCY;
                self.acks.push((at, balancer(host)));
            }
        }
    }

    /// Delivers an acknowledgement; returns whether the agent fetches the latest configuration.
    fn acknowledge(&mut self, from: Fact) -> bool {
        let mut ack = ack_of(from);
        ack.version = self.version;
        ack.interval = self.interval;
        let message = Message::Ack(ack);
        let event = Event::Control {
            from: from.addr,
            message,
        };
        let effects = self.harness.state.reduce(event, self.harness.now);
        let latest = self.version;
        let is_fetch =
            |e: &Effect| matches!(e, Effect::Fetch { version, .. } if *version == latest);
        latest > Version(1) && effects.iter().any(is_fetch)
    }
}

/// Guards against an agent that hears of an edit only once it has given up the balancers that it reported to.
#[test]
fn an_agent_hears_of_an_edit_in_time_whichever_balancers_are_lost() {
    for interval in INTERVALS {
        for wait in 0..20 {
            let mut reports = Reports::start(interval);
            let targets = reports.targets();
            reports.run(Millis(wait * interval.0 / 20));
            reports.lost = targets;
            reports.version = Version(2);
            let limit = Millis(interval.0 / TARGETS) + TICK_INTERVAL + RETRY_TIME;
            assert!(reports.run(limit), "{interval:?}, {wait}");
        }
    }
}

/// Guards against an agent that goes on to ask at short intervals while most balancers answer.
#[test]
fn an_agent_sends_few_messages_while_a_balancer_is_lost() {
    for interval in INTERVALS {
        let mut reports = Reports::start(interval);
        let targets = reports.targets();
        reports.lost.extend(targets.first());
        reports.sent.clear();
        reports.run(Millis(interval.0 * 10));
        let regular = 10 * usize::try_from(TARGETS).unwrap();
        let sent = reports.sent.len();
        assert!(sent <= regular + 10, "{interval:?}: {sent}");
    }
}

/// Guards against reports that multiply while balancers are slow to answer, and make them slower.
#[test]
fn an_agent_asks_less_often_the_longer_nobody_answers() {
    let mut reports = Reports::start(Millis(6_600));
    let hosts = (FIRST_BALANCER..).take(usize::from(BALANCERS));
    reports.lost = hosts.map(addr).collect();
    reports.run(Millis(6_600));
    reports.sent.clear();
    reports.run(Millis(10_000));
    let sent = reports.sent.len();
    assert!(sent <= 10, "{sent}");
}
