//! What an instance says, and others believe, about its access to the store.

mod datagram;

use std::net::Ipv4Addr;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{
    Balancer, Effect, Event, Fact, Message, Reducer, Role, Setup, Status, StoreView,
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
    balancer.reduce(Event::StoreAnswered(Millis(0)), start, &mut Vec::new());
    tick_until(&mut balancer, start, start + Millis(2_000));
    assert!(balancer.gossip().own().store);
    tick_until(&mut balancer, start + Millis(2_000), start + CONTACT_TIME);
    assert!(!balancer.gossip().own().store);
}

/// Age of what is known of the store from which on an instance calls it.
const CALL_AGE: Millis = Millis(2_000);
/// Time by which each instance has called the store, whatever others do, so that a change is in force within 3 s.
const LATEST_CALL: Millis = Millis(2_500);
/// Calls in a second that the store takes at the target size.
const STORE_READ_RATE: usize = 2_000;

/// An instance that knows `count` others, and hears of none of them again.
fn isolated(seed: u64, count: u16) -> Balancer {
    let start = Millis(1_000);
    let setup = Setup {
        seed,
        ..datagram::setup(OWN, Role::Agent(service()))
    };
    let mut balancer = Balancer::new(&setup, start);
    let ip =
        |host: u16| Ipv4Addr::from_bits(Ipv4Addr::new(10, 2, 0, 0).to_bits() + u32::from(host));
    let sender = Balancer::new(&datagram::setup(BALANCER, Role::Balancer), start);
    let other = |host| Fact {
        ip: ip(host),
        ..*sender.gossip().own()
    };
    let status = Status {
        from: *sender.gossip().own(),
        store: StoreView::default(),
        facts: (0..count).map(other).collect(),
        beats: Vec::new(),
        known: 1,
        asks: false,
    };
    let message = Message::Status(status);
    let from = BALANCER;
    balancer.reduce(Event::Message { from, message }, start, &mut Vec::new());
    balancer
}

/// Time from its start after which an instance calls the store.
fn time_of_call(mut balancer: Balancer) -> Millis {
    let start = Millis(1_000);
    let mut now = start;
    loop {
        let mut effects = Vec::new();
        balancer.reduce(Event::Tick, now, &mut effects);
        if effects.contains(&Effect::Watch(true)) {
            return now.since(start);
        }
        now = now + TICK_INTERVAL;
    }
}

/// Guards against an instance that relies on others to call the store, and against calls while its knowledge
/// is recent.
#[test]
fn an_instance_that_hears_of_nobody_calls_the_store_in_time() {
    for seed in 0..100 {
        let called_at = time_of_call(isolated(seed, 200));
        let is_in_time = (CALL_AGE..=LATEST_CALL).contains(&called_at);
        assert!(is_in_time, "seed {seed}: {called_at:?}");
    }
}

/// Guards against a store that gets calls from all instances at once when nobody gets an answer.
#[test]
fn the_calls_of_a_large_fleet_stay_within_the_rate_of_the_store() {
    let (size, sample) = (2_290, 200);
    let mut calls: Vec<usize> = Vec::new();
    for seed in 0..sample {
        let Millis(at) = time_of_call(isolated(seed, size));
        let second = usize::try_from(at / 1_000).unwrap();
        calls.resize(calls.len().max(second + 1), 0);
        calls[second] += 1;
    }
    let busiest =
        calls.iter().max().unwrap() * usize::from(size) / usize::try_from(sample).unwrap();
    assert!(
        busiest <= STORE_READ_RATE,
        "{busiest} in a second: {calls:?}"
    );
}

/// Guards against calls to the store by instances that are about to end, in a roll of all.
#[test]
fn an_instance_that_leaves_does_not_call_the_store() {
    let mut balancer = isolated(1, 200);
    let start = Millis(1_000);
    balancer.reduce(Event::Leave, start, &mut Vec::new());
    let mut effects = Vec::new();
    for step in 0..30 {
        let now = Millis(start.0 + step * TICK_INTERVAL.0);
        balancer.reduce(Event::Tick, now, &mut effects);
    }
    assert!(!effects.contains(&Effect::Watch(true)), "{effects:?}");
}

/// Guards against an age that counts from the arrival of an answer which was on its way for long.
#[test]
fn the_age_of_an_answer_counts_from_when_it_was_given() {
    let start = Millis(1_000);
    let mut balancer = Balancer::new(&setup(OWN, Role::Balancer), start);
    tick_until(&mut balancer, start, start + Millis(1_400));
    let now = start + Millis(1_400);
    balancer.reduce(Event::StoreAnswered(Millis(800)), now, &mut Vec::new());
    let age = balancer.gossip().store_age(now);
    assert!((Millis(800)..Millis(900)).contains(&age), "{age:?}");
}
