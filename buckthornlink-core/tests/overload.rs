//! One backend server behind an agent's reducer, in virtual time, at chosen loads.

mod common;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use buckthornlink_core::agent::{Effect, Event, Outcome, Ticket};
use buckthornlink_core::id::stable_hash;
use buckthornlink_core::{Millis, Verdict};
use common::{Harness, request};

const SLOTS: u32 = 8;
/// Slots that a cold server bears, and the answers that add one.
const COLD_SLOTS: u32 = 2;
const ANSWERS_PER_SLOT: u32 = 4;
/// Shortest and longest time of a request on a warm server, in milliseconds.
const WORK_MS: (u64, u64) = (8, 12);
/// Mean of the above.
const MEAN_WORK_MS: u64 = 10;
const DEADLINE: Millis = Millis(200);
const LENGTH: Millis = Millis(10_000);

/// A backend server that sheds what it cannot bear.
#[derive(Default)]
struct Server {
    boot: u64,
    answered: u32,
    running: u32,
    overloads: u32,
}

impl Server {
    fn bears(&self) -> u32 {
        (COLD_SLOTS + self.answered / ANSWERS_PER_SLOT).min(SLOTS)
    }

    fn is_warm(&self) -> bool {
        self.bears() == SLOTS
    }

    fn work(&self, ticket: Ticket) -> Millis {
        let spread = WORK_MS.1 - WORK_MS.0 + 1;
        let time = WORK_MS.0 + stable_hash(&ticket.0.to_be_bytes()) % spread;
        Millis(if self.is_warm() { time } else { time * 2 })
    }
}

/// End of a running request: when, which, the server's boot id, and when it began.
type End = (Millis, Ticket, u64, Millis);

/// What a run found.
#[derive(Default)]
struct Found {
    useful: u64,
    late: u64,
    refused: u64,
    false_refusals: u64,
    overloads: u32,
    /// When the server was warm again after its last restart.
    warm_at: Option<Millis>,
}

/// Offers `percent` of the capacity; the server turns cold at `restarts`.
fn run(percent: u64, restarts: &[Millis]) -> Found {
    let mut harness = Harness::cold();
    let start = harness.now;
    let mut server = Server::default();
    let mut found = Found::default();
    let mut ends = BinaryHeap::<Reverse<End>>::new();
    let mut arrived = BTreeMap::new();
    let mut offered = 0;
    while harness.now.since(start) < LENGTH {
        harness.now = harness.now + Millis(1);
        let elapsed = harness.now.since(start);
        if restarts.contains(&elapsed) {
            server.boot += 1;
            server.answered = 0;
            found.warm_at = None;
        }
        let mut effects = Vec::new();
        while let Some(Reverse((at, ticket, boot, began))) = ends.pop() {
            if at > harness.now {
                ends.push(Reverse((at, ticket, boot, began)));
                break;
            }
            server.running -= 1;
            server.answered += 1;
            let answer = Outcome::Answered { boot: Some(boot) };
            let asked: Millis = arrived[&ticket];
            if harness.now.since(asked) <= DEADLINE {
                found.useful += 1;
            } else {
                found.late += 1;
            }
            effects.extend(harness.finish_after(ticket.0, answer, harness.now.since(began)));
        }
        let due = elapsed.0 * u64::from(SLOTS) * percent / (MEAN_WORK_MS * 100);
        while offered < due {
            offered += 1;
            arrived.insert(Ticket(offered), harness.now);
            let mut asked = request(offered, &format!("r{offered}"), 1);
            asked.deadline = harness.now + DEADLINE;
            effects.extend(harness.ask(asked));
        }
        if elapsed.0.is_multiple_of(100) {
            effects.extend(harness.state.reduce(Event::Tick, harness.now));
        }
        while let Some(effect) = effects.pop() {
            match effect {
                Effect::Run(ticket) if server.running >= server.bears() => {
                    server.overloads += 1;
                    effects.extend(harness.finish(ticket.0, Outcome::Shed));
                }
                Effect::Run(ticket) => {
                    server.running += 1;
                    let end = harness.now + server.work(ticket);
                    ends.push(Reverse((end, ticket, server.boot, harness.now)));
                }
                Effect::Refuse { verdict, .. } => {
                    found.refused += 1;
                    found.false_refusals += u64::from(verdict != Verdict::NotRun);
                }
                _ => {}
            }
        }
        if found.warm_at.is_none() && harness.state.limit() == SLOTS {
            found.warm_at = Some(elapsed);
        }
    }
    found.overloads = server.overloads;
    found
}

/// Requests that a warm server answers in a whole run.
fn capacity() -> u64 {
    LENGTH.0 * u64::from(SLOTS) / MEAN_WORK_MS
}

#[test]
fn at_150_percent_useful_answers_stay_above_90_percent_of_capacity() {
    let found = run(150, &[]);
    assert!(
        found.useful * 100 >= capacity() * 90,
        "{} of {}",
        found.useful,
        capacity()
    );
    assert_eq!(found.late, 0, "an admitted request was answered late");
    assert_eq!(found.false_refusals, 0);
}

#[test]
fn at_70_percent_nothing_is_refused_once_warm() {
    let found = run(70, &[]);
    let offered = capacity() * 70 / 100;
    let cold = found.refused + found.late;
    assert!(
        cold * 100 <= offered * 2,
        "{cold} of {offered} refused or late"
    );
    assert_eq!(found.late, 0);
}

#[test]
fn a_cold_server_never_gets_more_than_it_bears() {
    for percent in [30, 70, 150, 400] {
        assert_eq!(run(percent, &[]).overloads, 0, "at {percent}%");
    }
}

#[test]
fn a_silent_restart_is_found_within_its_first_answers() {
    let restart = Millis(5_000);
    let found = run(95, &[restart]);
    // What ran at the restart and what was started before the first answer may be too much.
    assert!(found.overloads <= SLOTS, "{} overloads", found.overloads);
    let warm = found.warm_at.expect("the server is warm again");
    assert!(
        warm.since(restart) <= Millis(5_000),
        "warm after {:?}",
        warm.since(restart)
    );
    assert!(
        found.useful * 100 >= capacity() * 80,
        "{} of {}",
        found.useful,
        capacity()
    );
}

#[test]
fn restarts_in_a_row_do_not_add_up() {
    let restarts = [Millis(2_000), Millis(2_100), Millis(6_000)];
    let found = run(95, &restarts);
    assert!(
        found.overloads <= SLOTS * 3,
        "{} overloads",
        found.overloads
    );
    assert_eq!(found.false_refusals, 0);
}
