//! Simulates the datagram path in virtual time with many seeds and prints the violations.
//!
//! `cargo run --release --example datagram_world -- --seeds 200 --faults all`

use std::process::ExitCode;

use clap::{Parser, ValueEnum};
use tabled::builder::Builder;

use buckthornlink_core::Millis;
use buckthornlink_fakes::datagram::{Fault, Outcome, Plan, Simulation, SimulationSetup};

/// Earliest time of a fault.
const FIRST_FAULT_TIME: Millis = Millis(6_000);
/// Time without faults at the end of a run, in milliseconds.
const RECOVERY_MS: u64 = 10_000;

/// Simulates the datagram path in virtual time with many seeds.
#[derive(Debug, Parser)]
struct Arguments {
    /// Number of seeds
    #[arg(long, default_value_t = 50)]
    seeds: u64,
    /// First seed
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Which faults are injected
    #[arg(long, value_enum, default_value_t = Faults::All)]
    faults: Faults,
    /// Number of faults in each run
    #[arg(long, default_value_t = 8)]
    count: usize,
    /// Simulated length of a run in seconds
    #[arg(long, default_value_t = 40)]
    seconds: u64,
    /// Number of zones
    #[arg(long, default_value_t = 3)]
    zones: u8,
    /// Number of agents of the first service in each zone
    #[arg(long, default_value_t = 2)]
    agents: u8,
    /// Number of callers of each route
    #[arg(long, default_value_t = 60)]
    callers: u8,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Faults {
    None,
    Planned,
    All,
}

fn main() -> ExitCode {
    let args = Arguments::parse();
    let mut table = Builder::default();
    table.push_record(["seed", "sent", "served", "broken", "outcome"]);
    let mut failed_seeds = 0;
    for seed in args.first..args.first + args.seeds {
        let outcome = run_seed(&args, seed);
        if outcome.violations() > 0 {
            failed_seeds += 1;
        }
        if outcome.violations() > 0 || args.seeds <= 20 {
            table.push_record(row(seed, &outcome));
        }
    }
    println!("{}", table.build());
    println!("{{\"seeds\":{},\"broken\":{failed_seeds}}}", args.seeds);
    if failed_seeds == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn run_seed(args: &Arguments, seed: u64) -> Outcome {
    let end = Millis(args.seconds * 1_000);
    let last = Millis(
        (end.0)
            .saturating_sub(RECOVERY_MS)
            .max(FIRST_FAULT_TIME.0 + 1),
    );
    let plan = match args.faults {
        Faults::None => Plan::default(),
        Faults::Planned => Plan::random(&Fault::PLANNED, args.count, FIRST_FAULT_TIME, last, seed),
        Faults::All => Plan::random(&Fault::ALL, args.count, FIRST_FAULT_TIME, last, seed),
    };
    let setup = SimulationSetup {
        zones: args.zones,
        agents: [args.agents, 1],
        callers: args.callers,
        plan,
        ..SimulationSetup::default()
    };
    let mut simulation = Simulation::new(&setup, seed);
    simulation.run(end);
    simulation.outcome()
}

fn row(seed: u64, outcome: &Outcome) -> [String; 5] {
    [
        seed.to_string(),
        outcome.sent.to_string(),
        format!("{:.4}", outcome.served_share()),
        outcome.violations().to_string(),
        format!("{outcome:?}"),
    ]
}
