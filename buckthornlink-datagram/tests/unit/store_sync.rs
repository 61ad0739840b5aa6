//! First reads of instances that start at the same time.

use std::time::Duration;

use super::{first_read_delay, max_answer_age};

/// Reads a second that the store takes at the target size.
const STORE_READ_RATE: usize = 2_000;
const BALANCERS: usize = 1_900;
const AGENTS: u32 = 21_000;

#[test]
fn a_small_fleet_reads_at_once() {
    assert_eq!(first_read_delay(195, 0.9), Duration::ZERO);
}

/// Guards against a return of all instances whose reads exceed what the store takes.
#[test]
fn the_first_reads_of_22_900_instances_stay_within_the_rate_of_the_store() {
    let mut reads = vec![BALANCERS];
    for agent in 0..AGENTS {
        let share = f64::from(agent) / f64::from(AGENTS);
        let second = first_read_delay(22_900, share).as_secs();
        let second = usize::try_from(second).unwrap();
        reads.resize(reads.len().max(second + 1), 0);
        reads[second] += 1;
    }
    assert!(
        reads.iter().all(|&count| count < STORE_READ_RATE),
        "{reads:?}"
    );
    assert!(reads.len() < 30, "{} s", reads.len());
}

/// Guards against an answer without changes that was held up on its way and counts as given when it arrives.
#[test]
fn an_answer_to_a_watch_that_comes_late_is_old() {
    let wait = Duration::from_millis(1_500);
    let age = |elapsed| max_answer_age(Duration::from_millis(elapsed), Some(wait));
    assert_eq!(age(2_300), Duration::from_millis(800));
    assert_eq!(age(20), Duration::ZERO);
}
