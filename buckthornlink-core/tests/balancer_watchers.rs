//! What each balancer knows of the store while others are lost, and what that costs.

mod balancers;

use std::net::SocketAddrV4;

use balancers::{Balancers, Loss};
use buckthornlink_core::Millis;

/// Time in which an edit is known to all balancers: 6 s, less the time in which their agents hear of it.
const KNOWN_TIME: Millis = Millis(3_600);
/// Balancers of the fleets, and scenarios that are played with each.
const FLEETS: [(u16, u64); 5] = [(2, 30), (6, 30), (25, 12), (60, 4), (120, 2)];
/// Time from the loss of balancers to an edit, as in a series of faults.
const EDIT_AFTER: Millis = Millis(20);
/// Time in which balancers that joined the watchers leave again.
const SETTLE_TIME: Millis = Millis(10_000);
const CALM_TIME: Millis = Millis(60_000);
/// Interval at which a watcher calls the store on a calm day.
const CHECK_INTERVAL: Millis = Millis(2_000);
/// Time after which some balancer has noticed that one was lost.
const SILENCE_TIME: Millis = Millis(40_000);
/// Longest time between two answers to the watchers, and until an answer has reached all.
const MAX_CALM_AGE: Millis = Millis(2_450);
/// Balancers that join the watchers after a loss, at most.
const MAX_JOINS: usize = 8;
const OUTAGE_TIME: Millis = Millis(30_000);
/// Calls to the store in a second of its outage by all balancers, after one call of each.
const OUTAGE_CALLS: usize = 200;
/// Time for which the store has to be stable before the limit holds again.
const CONTACT_TIME: Millis = Millis(4_000);
/// Pauses that are shorter may go unnoticed, since ticks are due less often.
const UNNOTICED_PAUSE: Millis = Millis(300);

/// Plays a scenario with each size, in one zone and in three.
fn for_each_fleet(play: impl Fn(&mut Balancers, &str)) {
    for (size, seeds) in FLEETS {
        for seed in 0..seeds {
            let zones = if seed % 2 == 0 { 1 } else { 3 };
            let mut fleet = Balancers::start(size, zones, seed);
            play(&mut fleet, &format!("{size} in {zones} zones, seed {seed}"));
        }
    }
}

/// Asks each balancer that is left whether the latest edit is in force.
fn assert_all_current(fleet: &Balancers, context: &str) {
    let left = fleet.left();
    let is_late = |addr: &&SocketAddrV4| !fleet.is_current(**addr);
    let late: Vec<&SocketAddrV4> = left.iter().filter(is_late).collect();
    assert!(late.is_empty(), "{context}: {late:?} of {}", left.len());
}

/// Removes `count` random balancers of those that are left, in random ways; at least one stays.
fn lose_random(fleet: &mut Balancers, count: u64) {
    for _ in 0..count {
        let left = fleet.left();
        if left.len() > 1 {
            let index = usize::try_from(fleet.random(left.len() as u64)).unwrap();
            lose(fleet, left[index]);
        }
    }
}

/// Loses a balancer in a random way, unless it is the last one.
fn lose(fleet: &mut Balancers, addr: SocketAddrV4) {
    let loss = if fleet.random(2) == 0 {
        Loss::Killed
    } else {
        Loss::Paused
    };
    if fleet.left().len() > 1 {
        fleet.lose(addr, loss);
    }
}

/// Guards against an edit that a balancer misses for seconds since any others were lost at once, among them
/// all that watched the store.
#[test]
fn each_balancer_left_knows_an_edit_in_time_whoever_is_lost_at_once() {
    for_each_fleet(|fleet, context| {
        let wait = fleet.random(3_000);
        fleet.run(Millis(wait));
        for addr in fleet.watchers() {
            lose(fleet, addr);
        }
        let left = fleet.left().len() as u64;
        let count = fleet.random(left);
        lose_random(fleet, count);
        fleet.run(EDIT_AFTER);
        fleet.edit();
        fleet.run(KNOWN_TIME);
        assert_all_current(fleet, context);
    });
}

/// Guards against the same while balancers are lost one after the other, before and after the edit.
#[test]
fn each_balancer_left_knows_an_edit_in_time_in_whatever_order_others_are_lost() {
    for_each_fleet(|fleet, context| {
        let edit_in = fleet.random(3_000);
        let edit_at = fleet.now + Millis(edit_in);
        let end = edit_at + KNOWN_TIME;
        let mut has_edited = false;
        while fleet.now < end {
            if fleet.random(60) == 0 {
                lose_random(fleet, 1);
            }
            if !has_edited && fleet.now >= edit_at {
                has_edited = true;
                fleet.edit();
            }
            fleet.step();
        }
        assert_all_current(fleet, context);
    });
}

/// Guards against a bound that rests on some balancer that takes over: each one that begins to watch the store
/// is lost before the store answers it, until one is left.
#[test]
fn the_last_balancer_left_knows_an_edit_in_time() {
    for_each_fleet(|fleet, context| {
        for addr in fleet.watchers() {
            lose(fleet, addr);
        }
        fleet.run(EDIT_AFTER);
        fleet.edit();
        let end = fleet.now + KNOWN_TIME;
        while fleet.now < end {
            fleet.step();
            for addr in fleet.watchers() {
                if !fleet.is_current(addr) {
                    lose(fleet, addr);
                }
            }
        }
        assert_all_current(fleet, context);
    });
}

/// Guards against an edit that is in force late since the store no longer answers the balancers that watch
/// it, though they live.
#[test]
fn each_balancer_knows_an_edit_in_time_if_the_store_serves_one() {
    for_each_fleet(|fleet, context| {
        let all = fleet.left();
        let index = usize::try_from(fleet.random(all.len() as u64)).unwrap();
        fleet.set_outage(true, &[all[index]]);
        fleet.run(EDIT_AFTER);
        fleet.edit();
        fleet.run(KNOWN_TIME);
        assert_all_current(fleet, context);
    });
}

/// Guards against a balancer that takes its knowledge for younger than it is, and so does not ask.
#[test]
fn no_balancer_takes_its_knowledge_for_younger_than_it_is() {
    for_each_fleet(|fleet, context| {
        let end = fleet.now + SETTLE_TIME;
        while fleet.now < end {
            disturb(fleet);
            fleet.step();
            for addr in fleet.left() {
                let is_false = fleet.has_false_age(addr, UNNOTICED_PAUSE);
                assert!(!is_false, "{context}: {addr}");
            }
        }
    });
}

/// Now and then pauses some balancers, resumes all that are paused, edits the records, or takes the store away
/// and brings it back.
fn disturb(fleet: &mut Balancers) {
    match fleet.random(400) {
        0..4 => lose_paused(fleet),
        4 => {
            for addr in fleet.watchers() {
                fleet.lose(addr, Loss::Paused);
            }
        }
        5..8 => {
            for addr in fleet.paused() {
                fleet.resume(addr);
            }
        }
        8 => fleet.edit(),
        9 => fleet.set_outage(true, &[]),
        10 => fleet.set_outage(false, &[]),
        _ => {}
    }
}

fn lose_paused(fleet: &mut Balancers) {
    let left = fleet.left();
    if !left.is_empty() {
        let index = usize::try_from(fleet.random(left.len() as u64)).unwrap();
        fleet.lose(left[index], Loss::Paused);
    }
}

/// Guards against balancers that join the watchers on a calm day, and against more calls to the store by the
/// watchers than their checks.
#[test]
fn on_a_calm_day_two_balancers_of_each_zone_call_the_store() {
    for_each_fleet(|fleet, context| {
        let watchers = fleet.watchers().len();
        let limit = 2 * usize::from(fleet.zones);
        assert!(watchers <= limit, "{context}: {watchers} watch");
        let mut max_age = Millis(0);
        let end = fleet.now + CALM_TIME;
        while fleet.now < end {
            fleet.step();
            let ages = fleet.left().into_iter().map(|addr| fleet.store_age(addr));
            max_age = ages.max().unwrap().max(max_age);
        }
        assert!(max_age <= MAX_CALM_AGE, "{context}: {max_age:?}");
        assert_eq!(fleet.joins, [], "{context}");
        let checks = CALM_TIME.0.div_ceil(CHECK_INTERVAL.0);
        let limit = watchers * usize::try_from(checks).unwrap();
        assert!(fleet.calls <= limit, "{context}: {} calls", fleet.calls);
    });
}

/// Guards against living balancers that are taken for silent since exchanges with random ones reach each of many
/// too seldom, and whose refutations fill the exchanges.
#[test]
fn no_living_balancer_is_taken_for_silent() {
    for_each_fleet(|fleet, context| {
        fleet.run(CALM_TIME);
        for addr in fleet.left() {
            assert!(!fleet.is_held_for_silent(addr), "{context}: {addr}");
        }
    });
}

/// Guards against a lost balancer that nobody takes for silent, since each balancer hears only some of many
/// within the timeout.
#[test]
fn a_lost_balancer_is_taken_for_silent_whatever_the_number_of_balancers() {
    for_each_fleet(|fleet, context| {
        let left = fleet.left();
        if left.len() > 2 {
            fleet.lose(left[0], Loss::Killed);
            fleet.run(SILENCE_TIME);
            assert!(fleet.is_held_for_silent(left[0]), "{context}");
        }
    });
}

/// Guards against a storm of calls to the store, by balancers that all miss its watchers at once.
#[test]
fn few_balancers_join_after_a_loss() {
    for_each_fleet(|fleet, context| {
        for addr in fleet.watchers() {
            lose(fleet, addr);
        }
        let half = fleet.left().len() as u64 / 2;
        lose_random(fleet, half);
        fleet.run(SETTLE_TIME);
        let joins = fleet.joins.len();
        assert!(joins <= MAX_JOINS, "{context}: {joins}");
        let watchers = fleet.watchers().len();
        let limit = 2 * usize::from(fleet.zones) + 2;
        assert!(watchers <= limit, "{context}: {watchers} stay");
    });
}

/// Guards against a storm of calls to the store, by balancers that were paused together and all find their knowledge
/// too old at the moment they go on.
#[test]
fn few_balancers_join_after_a_pause_of_all() {
    for_each_fleet(|fleet, context| {
        for addr in fleet.left() {
            fleet.lose(addr, Loss::Paused);
        }
        let pause = 1_000 + fleet.random(10_000);
        fleet.run(Millis(pause));
        for addr in fleet.paused() {
            fleet.resume(addr);
        }
        fleet.run(SETTLE_TIME);
        let joins = fleet.joins.len();
        assert!(joins <= MAX_JOINS, "{context}: {joins}");
    });
}

/// Guards against a storm of calls to a store that does not answer, and against balancers that stay out of touch
/// after its return.
#[test]
fn an_outage_of_the_store_leads_to_few_calls_and_ends_for_all_at_once() {
    for (size, _) in FLEETS {
        let mut fleet = Balancers::start(size, 1, 1);
        fleet.set_outage(true, &[]);
        fleet.run(OUTAGE_TIME);
        let limit = OUTAGE_CALLS * usize::try_from(OUTAGE_TIME.0 / 1_000).unwrap();
        let limit = usize::from(size) + limit;
        assert!(fleet.calls <= limit, "size {size}: {}", fleet.calls);
        fleet.set_outage(false, &[]);
        fleet.run(CONTACT_TIME);
        fleet.edit();
        fleet.run(KNOWN_TIME);
        assert_all_current(&fleet, &format!("size {size}"));
    }
}
