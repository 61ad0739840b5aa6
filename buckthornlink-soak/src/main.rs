//! Fault-injection tests of the real programs, run as separate processes on loopback addresses.
//!
//! Each seed is a separate run: processes are killed, paused, restarted and told to reload, the
//! store and the connections to it fail, backend servers crash and leave, and operators move routes
//! and take zones out of service. Meanwhile, callers and backend servers check the invariants.
//!
//! ```sh
//! cargo build --release --bins
//! cargo run --release -p buckthornlink-soak -- --first 1 --seeds 50 --jobs 4
//! ```

mod backend_server;
mod callers;
mod cluster;
mod departure;
mod invariants;
mod links;
mod lossy_socket;
mod plan;
mod process;
mod rebind;
mod run;
mod seeds;
mod shape;
mod tcp_proxy;
mod topology;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::time::Duration;

use anyhow::Context;
use clap::{Args, Parser, ValueEnum};
use tokio::runtime::Runtime;

use lossy_socket::LinkQuality;
use plan::Scenario;
use run::{Setup, run_seed};
use shape::{Preset, Shape};

/// Runs the real programs on loopback addresses and injects faults.
#[derive(Debug, Parser)]
struct Options {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Number of concurrent runs.
    #[arg(long, default_value_t = 2)]
    jobs: u8,
    /// Duration of each run in seconds.
    #[arg(long, default_value_t = 40)]
    seconds: u64,
    /// Numbers of instances and callers in each run.
    #[arg(long, value_enum, default_value_t)]
    shape: Preset,
    /// Number of balancers in each run, if it differs from that of the shape.
    #[arg(long)]
    balancers: Option<u8>,
    /// Number of agents in each run, if it differs from that of the shape.
    #[arg(long)]
    agents: Option<u8>,
    /// Number of callers in each run, if it differs from that of the shape.
    #[arg(long)]
    callers: Option<u16>,
    /// Also runs the seeds that failed once, and passes over those that are known to fail still.
    #[arg(long)]
    regressions: bool,
    /// Second octet of the loopback addresses that the first job uses; further jobs count up.
    #[arg(long, default_value_t = 40)]
    block: u8,
    #[command(flatten)]
    scenario: ScenarioOptions,
    /// Prints the faults of each seed instead of running it.
    #[arg(long)]
    plan: bool,
}

/// Which faults are injected, if not those of [`Scenario::Mixed`].
#[derive(Clone, Copy, Debug, Args)]
#[group(multiple = false)]
struct ScenarioOptions {
    /// Runs store drills, with time for changes to be in force in between, in place of the other
    /// faults of the store.
    #[arg(long)]
    store_drills: bool,
    /// Runs planned work only, in series that overlap; with `=foreign-heartbeats`, beside heartbeats of other writers, and
    /// with backend servers that take seconds to exit.
    #[arg(long, num_args = 0..=1, require_equals = true, default_missing_value = "alone")]
    planned_work: Option<PlannedWork>,
    /// Runs rolls of several agents and balancers at once only.
    #[arg(long)]
    rolls: bool,
    /// Runs outages of one or several instances only; with `=links`, of links that are cut in one direction as well; with
    /// `=changes`, beside changes of the configuration and of zones.
    #[arg(long, num_args = 0..=1, require_equals = true, default_missing_value = "processes")]
    outages: Option<Outages>,
    /// Runs a loss of all programs during a release or a scale-in, with or without all backend servers.
    #[arg(long)]
    losses: bool,
}

/// What there is beside planned work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum PlannedWork {
    /// Nothing.
    Alone,
    /// Heartbeats that agents get from other writers.
    ForeignHeartbeats,
}

/// What is away in an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Outages {
    /// Processes.
    Processes,
    /// Processes, or their links in one direction.
    Links,
    /// Processes, while operators change the configuration and take zones out of service.
    Changes,
}

impl ScenarioOptions {
    const fn scenario(self) -> Scenario {
        match (self.outages, self.planned_work) {
            (Some(Outages::Processes), _) => Scenario::Outages,
            (Some(Outages::Links), _) => Scenario::Cuts,
            (Some(Outages::Changes), _) => Scenario::OutagesInChanges,
            (_, Some(PlannedWork::Alone)) => Scenario::PlannedWork,
            (_, Some(PlannedWork::ForeignHeartbeats)) => Scenario::ForeignHeartbeats,
            _ if self.store_drills => Scenario::StoreDrills,
            _ if self.rolls => Scenario::Rolls,
            _ if self.losses => Scenario::Losses,
            _ => Scenario::Mixed,
        }
    }
}

impl Options {
    fn all_seeds(&self) -> Vec<u64> {
        let mut seeds: Vec<u64> = (self.first..self.first + self.seeds).collect();
        if self.regressions {
            let recorded = seeds::recorded(self.scenario.scenario());
            seeds.extend(recorded.iter().map(|recorded| recorded.seed));
            seeds.sort_unstable();
            seeds.dedup();
            let is_known_red = |seed| recorded.iter().any(|r| r.seed == seed && r.is_known_red);
            for seed in seeds.extract_if(.., |seed| is_known_red(*seed)) {
                println!("seed {seed}: known red, passed over");
            }
        }
        seeds
    }

    fn shape(&self) -> Shape {
        let mut shape = self.shape.shape();
        if let Some(balancers) = self.balancers {
            shape.set_balancers(balancers);
        }
        shape.agents = self.agents.unwrap_or(shape.agents);
        shape.callers = self.callers.unwrap_or(shape.callers);
        shape
    }
}

fn main() -> anyhow::Result<ExitCode> {
    let options = Options::parse();
    let seeds = options.all_seeds();
    let duration = Duration::from_secs(options.seconds);
    if options.plan {
        for seed in seeds {
            let shape = options.shape();
            let faults = plan::generate(options.scenario.scenario(), seed, duration, &shape);
            let quality = LinkQuality::of_run(seed);
            println!("seed {seed}: {quality:?}, {faults:#?}");
        }
        return Ok(ExitCode::SUCCESS);
    }
    let program_dir = std::env::current_exe()?;
    let program_dir = program_dir
        .parent()
        .context("the current executable has no parent directory")?;
    let setup = Setup {
        program_dir: program_dir.to_owned(),
        work_dir: PathBuf::from("target/soak"),
        scenario: options.scenario.scenario(),
        duration,
        shape: options.shape(),
    };
    let total = seeds.len() as u64;
    let failed = run_all(&setup, seeds, &options)?;
    println!("{} passed, {failed} failed", total - failed);
    Ok(ExitCode::from(u8::from(failed > 0)))
}

/// Runs the seeds on as many threads as there are jobs and returns how many failed.
fn run_all(setup: &Setup, seeds: Vec<u64>, options: &Options) -> anyhow::Result<u64> {
    let queue = Mutex::new(seeds.into_iter());
    let next = || queue.lock().ok().and_then(|mut seeds| seeds.next());
    let worker = |job| {
        let mut failed = 0;
        while let Some(seed) = next() {
            failed += u64::from(!run_and_report(setup, seed, options.block + job)?);
        }
        anyhow::Ok(failed)
    };
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..options.jobs)
            .map(|job| scope.spawn(move || worker(job)))
            .collect();
        let mut failed = 0;
        for worker in workers {
            let result = worker.join();
            failed += result.map_err(|_| anyhow::anyhow!("a worker thread panicked"))??;
        }
        Ok(failed)
    })
}

/// Runs a seed and prints the result; returns whether there were no violations.
fn run_and_report(setup: &Setup, seed: u64, block: u8) -> anyhow::Result<bool> {
    let runtime = Runtime::new()?;
    let summary = runtime.block_on(run_seed(setup, seed, block))?;
    // Waits until all tasks have ended and closed their sockets.
    drop(runtime);
    let has_passed = summary.violations.is_empty();
    let verdict = if has_passed { "passed" } else { "FAILED" };
    println!(
        "seed {seed}: {verdict}, {} of {} requests served",
        summary.served, summary.sent
    );
    if let Some(slowest) = summary.told_after.iter().max() {
        let told = summary.told_after.len();
        println!(
            "  {told} callers of dead flows told, the last one after {} ms",
            slowest.0
        );
    }
    for violation in &summary.violations {
        println!("  {violation}");
    }
    Ok(has_passed)
}
