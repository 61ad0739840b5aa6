//! Delays between attempts.

use std::time::Duration;

use buckthornlink_node::backoff::Backoff;

const MIN: Duration = Duration::from_millis(150);
const MAX: Duration = Duration::from_secs(2);

// Guards against attempts that stay frequent while a store is away, or that wait longer than the maximum
// for its return.
#[test]
fn delays_double_up_to_the_maximum() {
    let mut backoff = Backoff::new(MIN, MAX);
    let delays: Vec<u128> = (0..6).map(|_| backoff.next_delay().as_millis()).collect();
    assert_eq!(delays, [150, 300, 600, 1_200, 2_000, 2_000]);
}

// Guards against long delays after a short failure that follows a long one.
#[test]
fn a_success_starts_the_delays_anew() {
    let mut backoff = Backoff::new(MIN, MAX);
    for _ in 0..6 {
        backoff.next_delay();
    }
    backoff.reset();
    assert_eq!(backoff.next_delay(), MIN);
}
