//! What an instance says, and others believe, about its access to the store.

mod datagram;

use std::net::Ipv4Addr;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{
    Agent, Balancer, Effect, Event, Fact, Message, Phase, Reducer, Role, Status,
};

use datagram::{BALANCER, OWN, service, setup};

/// Time for which a watcher may be without an answer before it must not count as one.
const CONTACT_TIME: Millis = Millis(4_000);
const TICK_INTERVAL: Millis = Millis(200);

fn tick_until(balancer: &mut Balancer, from: Millis, end: Millis) {
    let mut now = from;
    while now < end {
        now = now + TICK_INTERVAL;
        balancer.reduce(Event::Tick, now, &mut Vec::new());
    }
}

/// Guards against a watcher that goes on to say that it reaches the store, while its last answer
/// grows old and nobody has told it of a failed call.
#[test]
fn a_watcher_without_recent_answers_says_so() {
    let start = Millis(1_000);
    let mut balancer = Balancer::new(&setup(OWN, Role::Balancer), start);
    balancer.reduce(Event::Tick, start, &mut Vec::new());
    balancer.reduce(Event::StoreReachable(true), start, &mut Vec::new());
    tick_until(&mut balancer, start, start + Millis(2_000));
    assert!(balancer.gossip().own().store);
    tick_until(&mut balancer, start + Millis(2_000), start + CONTACT_TIME);
    assert!(!balancer.gossip().own().store);
}

/// Agents of a large deployment, each of which knows all others.
fn agents(count: u8) -> Vec<Agent> {
    let ips = || (0..count).map(|host| Ipv4Addr::new(10, 2, 0, host));
    let agent = |ip| Agent::new(&setup(ip, Role::Agent(service())), Millis(1_000));
    let facts: Vec<Fact> = ips().map(|ip| *agent(ip).gossip().own()).collect();
    let sender = Balancer::new(&setup(BALANCER, Role::Balancer), Millis(1_000));
    let status = Status {
        from: Fact {
            phase: Phase::Left,
            ..*sender.gossip().own()
        },
        version: sender.gossip().version(),
        zones: Vec::new(),
        facts,
        beats: Vec::new(),
        known: 1,
        asks: false,
    };
    let know_all = |mut agent: Agent| {
        let message = Message::Status(status.clone());
        let from = BALANCER;
        let event = Event::Message { from, message };
        agent.reduce(event, Millis(1_000), &mut Vec::new());
        agent
    };
    ips().map(|ip| know_all(agent(ip))).collect()
}

/// Guards against a store that gets calls from all instances at once when its watchers are lost.
#[test]
fn few_instances_join_the_watchers_at_once() {
    let mut joined_at = Vec::new();
    for agent in &mut agents(200) {
        for step in 0..20 {
            let now = Millis(1_000 + step * TICK_INTERVAL.0);
            let mut effects = Vec::new();
            agent.reduce(Event::Tick, now, &mut effects);
            let joins = effects.iter().filter(|e| **e == Effect::Watch(true));
            joined_at.extend(joins.map(|_| step));
        }
    }
    let first = joined_at.iter().filter(|step| **step == 0).count();
    let second = joined_at.iter().filter(|step| **step == 1).count();
    assert_eq!((first, second, joined_at.len()), (1, 10, 64));
}
