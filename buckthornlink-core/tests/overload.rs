//! Simulates one backend server behind an agent's reducer, in virtual time, under chosen loads.

mod common;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use buckthornlink_core::agent::{Effect, Event, Outcome, Ticket};
use buckthornlink_core::id::stable_hash;
use buckthornlink_core::{Millis, Verdict};
use common::{Harness, request};

/// Slots of a warm server.
const SLOTS: u32 = 8;
/// Slots of a cold server.
const COLD_SLOTS: u32 = 2;
/// Number of answers after which a cold server has one more slot.
const ANSWERS_PER_SLOT: u32 = 4;
/// Shortest and longest service time on a warm server, in milliseconds. A cold one is half as fast.
const SERVICE_TIME_MS: (u64, u64) = (8, 12);
/// Mean service time on a warm server, in milliseconds.
const MEAN_SERVICE_TIME_MS: u64 = 10;
/// Time from the arrival of each request to its deadline.
const REQUEST_TIMEOUT: Millis = Millis(200);
const RUN_DURATION: Millis = Millis(10_000);

/// A backend server that sheds requests beyond its current slots.
#[derive(Default)]
struct Server {
    boot: u64,
    answered: u32,
    running: u32,
    overloads: u32,
}

impl Server {
    fn slots(&self) -> u32 {
        (COLD_SLOTS + self.answered / ANSWERS_PER_SLOT).min(SLOTS)
    }

    fn is_warm(&self) -> bool {
        self.slots() == SLOTS
    }

    fn service_time(&self, ticket: Ticket) -> Millis {
        let spread = SERVICE_TIME_MS.1 - SERVICE_TIME_MS.0 + 1;
        let time = SERVICE_TIME_MS.0 + stable_hash(&ticket.0.to_be_bytes()) % spread;
        Millis(if self.is_warm() { time } else { time * 2 })
    }
}

/// Completion of a running request: its time, the ticket, the server's boot id, and the start time.
type Completion = (Millis, Ticket, u64, Millis);

/// Results of one simulated run.
#[derive(Default)]
struct Results {
    in_time: u64,
    late: u64,
    refused: u64,
    false_refusals: u64,
    overloads: u32,
    /// Time from the start at which the agent's limit reached all slots after the last restart.
    warm_at: Option<Millis>,
}

/// Simulates a load of `percent` of the capacity on a server that restarts cold at `restarts`.
fn run(percent: u64, restarts: &[Millis]) -> Results {
    let mut harness = Harness::cold();
    let start = harness.now;
    let mut server = Server::default();
    let mut results = Results::default();
    let mut completions = BinaryHeap::<Reverse<Completion>>::new();
    let mut arrived = BTreeMap::new();
    let mut offered = 0;
    while harness.now.since(start) < RUN_DURATION {
        harness.now = harness.now + Millis(1);
        let elapsed = harness.now.since(start);
        if restarts.contains(&elapsed) {
            server.boot += 1;
            server.answered = 0;
            results.warm_at = None;
        }
        let mut effects = Vec::new();
        while let Some(Reverse((at, ticket, boot, started))) = completions.pop() {
            if at > harness.now {
                completions.push(Reverse((at, ticket, boot, started)));
                break;
            }
            server.running -= 1;
            server.answered += 1;
            let answer = Outcome::Answered { boot: Some(boot) };
            let arrived_at: Millis = arrived[&ticket];
            if harness.now.since(arrived_at) <= REQUEST_TIMEOUT {
                results.in_time += 1;
            } else {
                results.late += 1;
            }
            effects.extend(harness.finish_after(ticket.0, answer, harness.now.since(started)));
        }
        let due = elapsed.0 * u64::from(SLOTS) * percent / (MEAN_SERVICE_TIME_MS * 100);
        while offered < due {
            offered += 1;
            arrived.insert(Ticket(offered), harness.now);
            let mut new_request = request(offered, &format!("r{offered}"), 1);
            new_request.deadline = harness.now + REQUEST_TIMEOUT;
            effects.extend(harness.submit(new_request));
        }
        if elapsed.0.is_multiple_of(100) {
            effects.extend(harness.state.reduce(Event::Tick, harness.now));
        }
        while let Some(effect) = effects.pop() {
            match effect {
                Effect::Run(ticket) if server.running >= server.slots() => {
                    server.overloads += 1;
                    effects.extend(harness.finish(ticket.0, Outcome::Shed));
                }
                Effect::Run(ticket) => {
                    server.running += 1;
                    let end = harness.now + server.service_time(ticket);
                    completions.push(Reverse((end, ticket, server.boot, harness.now)));
                }
                Effect::Refuse { verdict, .. } => {
                    results.refused += 1;
                    results.false_refusals += u64::from(verdict != Verdict::NotRun);
                }
                _ => {}
            }
        }
        if results.warm_at.is_none() && harness.state.limit() == SLOTS {
            results.warm_at = Some(elapsed);
        }
    }
    results.overloads = server.overloads;
    results
}

/// Number of requests that a warm server can answer during one run.
fn capacity() -> u64 {
    RUN_DURATION.0 * u64::from(SLOTS) / MEAN_SERVICE_TIME_MS
}

#[test]
fn at_150_percent_load_timely_answers_stay_above_90_percent_of_capacity() {
    let results = run(150, &[]);
    assert!(
        results.in_time * 100 >= capacity() * 90,
        "{} of {}",
        results.in_time,
        capacity()
    );
    assert_eq!(results.late, 0, "an admitted request was answered late");
    assert_eq!(results.false_refusals, 0);
}

#[test]
fn at_70_percent_load_at_most_2_percent_is_refused() {
    let results = run(70, &[]);
    let offered = capacity() * 70 / 100;
    let unserved = results.refused + results.late;
    assert!(
        unserved * 100 <= offered * 2,
        "{unserved} of {offered} refused or late"
    );
    assert_eq!(results.late, 0);
}

#[test]
fn a_cold_server_is_never_overloaded() {
    for percent in [30, 70, 150, 400] {
        assert_eq!(run(percent, &[]).overloads, 0, "at {percent}%");
    }
}

#[test]
fn an_unannounced_restart_is_detected_by_its_first_answers() {
    let restart = Millis(5_000);
    let results = run(95, &[restart]);
    // Requests that run at the restart or start before its first answer may exceed the slots.
    assert!(
        results.overloads <= SLOTS,
        "{} overloads",
        results.overloads
    );
    let warm = results
        .warm_at
        .expect("the limit reaches all slots again after the restart");
    assert!(
        warm.since(restart) <= Millis(5_000),
        "warm after {:?}",
        warm.since(restart)
    );
    assert!(
        results.in_time * 100 >= capacity() * 80,
        "{} of {}",
        results.in_time,
        capacity()
    );
}

#[test]
fn overloads_stay_bounded_over_several_restarts() {
    let restarts = [Millis(2_000), Millis(2_100), Millis(6_000)];
    let results = run(95, &restarts);
    assert!(
        results.overloads <= SLOTS * 3,
        "{} overloads",
        results.overloads
    );
    assert_eq!(results.false_refusals, 0);
}
