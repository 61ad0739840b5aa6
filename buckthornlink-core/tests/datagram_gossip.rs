//! Gossip between balancers: discovery, distribution of versions, and detection of failures.

mod datagram;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use std::sync::Arc;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Balancer, Effect, Event, Reason, Reducer, Role};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use datagram::{setup, table};

/// Balancers that exchange messages, of which `loss_percent` are lost.
struct Network {
    balancers: BTreeMap<Ipv4Addr, Balancer>,
    now: Millis,
    fetchers: BTreeSet<Ipv4Addr>,
    reported_lost: BTreeSet<Ipv4Addr>,
    /// Instances that were reported as heard again, with the shortest silence that was reported.
    reported_returned: BTreeMap<Ipv4Addr, Millis>,
    loss_percent: u32,
    rng: SmallRng,
}

impl Network {
    fn start(ips: impl IntoIterator<Item = Ipv4Addr>) -> Self {
        let now = Millis(1_000);
        let start = |ip| (ip, Balancer::new(&setup(ip, Role::Balancer), now));
        let balancers = ips.into_iter().map(start).collect();
        let fetchers = BTreeSet::new();
        Self {
            balancers,
            now,
            fetchers,
            reported_lost: BTreeSet::new(),
            reported_returned: BTreeMap::new(),
            loss_percent: 0,
            rng: SmallRng::seed_from_u64(7),
        }
    }

    fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Millis(200);
            let ips: Vec<Ipv4Addr> = self.balancers.keys().copied().collect();
            for ip in ips {
                self.reduce(ip, Event::Tick);
            }
        }
    }

    fn reduce(&mut self, ip: Ipv4Addr, event: Event) {
        let mut queue = VecDeque::from([(ip, event)]);
        while let Some((at, event)) = queue.pop_front() {
            let Some(balancer) = self.balancers.get_mut(&at) else {
                continue;
            };
            let mut effects = Vec::new();
            balancer.reduce(event, self.now, &mut effects);
            for effect in effects {
                match effect {
                    Effect::Send { .. } if self.rng.random_ratio(self.loss_percent, 100) => {}
                    Effect::Log(decision) if decision.reason == Reason::MemberLost => {
                        self.reported_lost.extend(decision.peer);
                    }
                    Effect::Log(decision) if decision.reason == Reason::MemberReturned => {
                        let shortest = self.reported_returned.entry(decision.peer.unwrap());
                        let shortest = shortest.or_insert(decision.age);
                        *shortest = decision.age.min(*shortest);
                    }
                    Effect::Send { to, message } => {
                        queue.push_back((to, Event::Message { from: at, message }));
                    }
                    Effect::Fetch { .. } => {
                        self.fetchers.insert(at);
                    }
                    _ => {}
                }
            }
        }
    }

    fn known(&self, ip: Ipv4Addr) -> BTreeSet<Ipv4Addr> {
        let membership = self.balancers[&ip].gossip().membership();
        membership.iter().map(|m| m.fact.ip).collect()
    }
}

fn ip(host: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, 0, host)
}

#[test]
fn two_groups_that_share_one_contact_merge() {
    let mut net = Network::start((1..=6).map(ip));
    for host in 1..=6 {
        let group = if host <= 3 { 1 } else { 4 };
        let contacts = vec![ip(group), ip(group + 1)];
        net.reduce(ip(host), Event::Contacts(contacts));
    }
    net.run(Millis(2_000));
    assert_eq!(net.known(ip(1)).len(), 3);
    net.reduce(ip(5), Event::Contacts(vec![ip(2)]));
    net.run(Millis(6_000));
    for host in 1..=6 {
        assert_eq!(net.known(ip(host)).len(), 6, "instance {host}");
    }
}

#[test]
fn a_version_that_one_instance_has_is_fetched_by_all() {
    let mut net = Network::start((1..=8).map(ip));
    for host in 1..=8 {
        net.reduce(ip(host), Event::Contacts(vec![ip(1)]));
    }
    net.run(Millis(2_000));
    net.reduce(ip(3), Event::Table(Arc::new(table(7))));
    net.run(Millis(1_200));
    assert_eq!(net.fetchers.len(), 7);
}

#[test]
fn only_a_failed_instance_is_suspected() {
    let mut net = Network::start((1..=30).map(ip));
    for host in 1..=30 {
        net.reduce(ip(host), Event::Contacts(vec![ip(1), ip(2), ip(3)]));
    }
    net.loss_percent = 5;
    net.run(Millis(60_000));
    assert_eq!(net.known(ip(30)).len(), 30);
    assert_eq!(net.reported_lost, BTreeSet::new());
    net.balancers.remove(&ip(4));
    net.run(Millis(5_500));
    assert_eq!(net.reported_lost, BTreeSet::from([ip(4)]));
    let suspecting = net.balancers.values().filter(|balancer| {
        let member = balancer.gossip().membership().get(ip(4));
        member.is_some_and(|m| m.is_suspect)
    });
    assert_eq!(suspecting.count(), 29);
}

/// Guards against an outage that leaves no line at its end, so that nobody can tell how long it was.
#[test]
fn an_instance_that_is_heard_again_is_reported_with_its_silence() {
    let mut net = Network::start((1..=6).map(ip));
    for host in 1..=6 {
        net.reduce(ip(host), Event::Contacts(vec![ip(1), ip(2)]));
    }
    net.run(Millis(4_000));
    let paused = net.balancers.remove(&ip(4)).unwrap();
    net.run(Millis(6_000));
    net.balancers.insert(ip(4), paused);
    net.run(Millis(2_000));
    let silence = net.reported_returned.remove(&ip(4));
    assert!(silence.is_some_and(|s| s >= Millis(5_000)), "{silence:?}");
    assert_eq!(net.reported_returned, BTreeMap::new());
}
