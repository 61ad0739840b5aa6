//! The datagram path under faults, in virtual time with fixed seeds.

use buckthornlink_core::Millis;
use buckthornlink_fakes::datagram::{Fault, Outcome, Plan, World, WorldSetup};

const SPAN: Millis = Millis(40_000);
const SETTLE: Millis = Millis(6_000);

fn run(plan: Plan, seed: u64) -> Outcome {
    let setup = WorldSetup {
        plan,
        ..WorldSetup::default()
    };
    let mut world = World::new(&setup, seed);
    world.run(SPAN);
    world.outcome()
}

fn assert_kept(outcome: Outcome, least_served: f64, what: &str) {
    assert_eq!(outcome.broken(), 0, "{what}: {outcome:?}");
    assert!(
        outcome.served_share() >= least_served,
        "{what}: {outcome:?}"
    );
}

#[test]
fn a_calm_day_serves_every_request() {
    for seed in 1..=5 {
        assert_kept(run(Plan::default(), seed), 0.995, "calm");
    }
}

#[test]
fn each_fault_alone_breaks_nothing() {
    for fault in Fault::ALL {
        for seed in 1..=5 {
            let outcome = run(Plan::once(SETTLE, fault), seed);
            assert_kept(outcome, 0.90, &format!("{fault:?}, seed {seed}"));
        }
    }
}

#[test]
fn planned_work_that_meets_breaks_nothing() {
    for seed in 1..=25 {
        let plan = Plan::random(&Fault::PLANNED, 10, SETTLE, Millis(30_000), seed);
        assert_kept(run(plan.clone(), seed), 0.97, &format!("{plan:?}"));
    }
}

#[test]
fn faults_that_meet_break_nothing() {
    for seed in 1..=60 {
        let plan = Plan::random(&Fault::ALL, 8, SETTLE, Millis(30_000), seed);
        assert_kept(
            run(plan.clone(), seed),
            0.60,
            &format!("seed {seed}: {plan:?}"),
        );
    }
}

#[test]
fn everything_is_found_again_after_all_processes_were_killed() {
    for seed in 1..=10 {
        let setup = WorldSetup {
            plan: Plan::once(SETTLE, Fault::KillAll),
            ..WorldSetup::default()
        };
        let mut world = World::new(&setup, seed);
        world.run(Millis(12_000));
        let before = world.outcome();
        world.run(Millis(10_000));
        let after = world.outcome();
        let asked = after.asked - before.asked;
        let served = after.served - before.served;
        assert!(
            served * 100 >= asked * 99,
            "seed {seed}: {served} of {asked}"
        );
    }
}
