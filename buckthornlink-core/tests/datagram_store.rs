//! What an instance says, and others believe, about its access to the store.

mod datagram;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Balancer, Event, Reducer, Role};

use datagram::{OWN, setup};

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
