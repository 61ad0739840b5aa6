//! Tests of the datagram path under faults, in virtual time with fixed seeds.

use buckthornlink_core::Millis;
use buckthornlink_fakes::datagram::{Fault, Outcome, Plan, Simulation, SimulationSetup};

const RUN_TIME: Millis = Millis(40_000);
const FIRST_FAULT_TIME: Millis = Millis(6_000);

fn run_plan(plan: Plan, seed: u64) -> Outcome {
    let setup = SimulationSetup {
        plan,
        ..SimulationSetup::default()
    };
    let mut simulation = Simulation::new(&setup, seed);
    simulation.run(RUN_TIME);
    simulation.outcome()
}

fn assert_no_violations(outcome: Outcome, min_served: f64, context: &str) {
    assert_eq!(outcome.violations(), 0, "{context}: {outcome:?}");
    assert!(
        outcome.served_share() >= min_served,
        "{context}: {outcome:?}"
    );
}

#[test]
fn fault_free_run_serves_nearly_all_requests() {
    for seed in 1..=5 {
        assert_no_violations(run_plan(Plan::default(), seed), 0.995, "no faults");
    }
}

#[test]
fn each_single_fault_causes_no_violation() {
    for fault in Fault::ALL {
        for seed in 1..=5 {
            let outcome = run_plan(Plan::once(FIRST_FAULT_TIME, fault), seed);
            assert_no_violations(outcome, 0.90, &format!("{fault:?}, seed {seed}"));
        }
    }
}

#[test]
fn overlapping_planned_changes_cause_no_violation() {
    for seed in 1..=25 {
        let plan = Plan::random(&Fault::PLANNED, 10, FIRST_FAULT_TIME, Millis(30_000), seed);
        assert_no_violations(run_plan(plan.clone(), seed), 0.97, &format!("{plan:?}"));
    }
}

#[test]
fn overlapping_faults_cause_no_violation() {
    for seed in 1..=60 {
        let plan = Plan::random(&Fault::ALL, 8, FIRST_FAULT_TIME, Millis(30_000), seed);
        assert_no_violations(
            run_plan(plan.clone(), seed),
            0.60,
            &format!("seed {seed}: {plan:?}"),
        );
    }
}

#[test]
fn requests_are_served_after_all_processes_restart() {
    for seed in 1..=10 {
        let setup = SimulationSetup {
            plan: Plan::once(FIRST_FAULT_TIME, Fault::KillAll),
            ..SimulationSetup::default()
        };
        let mut simulation = Simulation::new(&setup, seed);
        simulation.run(Millis(12_000));
        let before = simulation.outcome();
        simulation.run(Millis(10_000));
        let after = simulation.outcome();
        let sent = after.sent - before.sent;
        let served = after.served - before.served;
        assert!(
            served * 100 >= sent * 99,
            "seed {seed}: {served} of {sent} requests were answered"
        );
    }
}
