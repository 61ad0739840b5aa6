//! Runs the real programs as separate processes on loopback, with faults from outside.
//!
//! Each seed is a run of its own: processes are killed, paused, restarted and told to reload, the
//! store and the links to it misbehave, backend servers crash and leave, and operators move routes
//! and take zones out of service. Callers and backend servers judge the promises meanwhile.
//!
//! ```sh
//! cargo build --release --bins
//! cargo run --release -p buckthornlink-soak -- --first 1 --seeds 50 --jobs 4
//! ```

mod endpoints;
mod invariants;
mod plan;
mod process;
mod run;
mod tcp_proxy;
mod topology;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::time::Duration;

use anyhow::Context;
use clap::Parser;
use tokio::runtime::Runtime;

use run::{Setup, run_seed};

/// Seeds that failed once, each with its cause.
const REGRESSION_SEEDS: &str = include_str!("../seeds.txt");
/// First block of loopback addresses that runs use.
const FIRST_ADDRESS_BLOCK: u8 = 40;

/// Faults against the real programs, on loopback.
#[derive(Debug, Parser)]
struct Options {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Runs at a time.
    #[arg(long, default_value_t = 2)]
    jobs: u8,
    /// Length of a run in seconds.
    #[arg(long, default_value_t = 40)]
    seconds: u64,
    /// Balancers of a run.
    #[arg(long, default_value_t = 3)]
    balancers: u8,
    /// Agents of a run.
    #[arg(long, default_value_t = 6)]
    agents: u8,
    /// Callers of a run.
    #[arg(long, default_value_t = 24)]
    callers: u8,
    /// Also plays the seeds that failed once.
    #[arg(long)]
    regressions: bool,
    /// Prints the faults of the seeds instead of playing them.
    #[arg(long)]
    plan: bool,
}

impl Options {
    fn all_seeds(&self) -> Vec<u64> {
        let mut seeds: Vec<u64> = (self.first..self.first + self.seeds).collect();
        if self.regressions {
            seeds.extend(regression_seeds());
        }
        seeds
    }
}

/// Seeds that failed once.
fn regression_seeds() -> impl Iterator<Item = u64> {
    let lines = REGRESSION_SEEDS
        .lines()
        .filter(|line| !line.starts_with('#'));
    lines.filter_map(|line| line.split_whitespace().next()?.parse().ok())
}

fn main() -> anyhow::Result<ExitCode> {
    let options = Options::parse();
    let seeds = options.all_seeds();
    let duration = Duration::from_secs(options.seconds);
    if options.plan {
        for seed in seeds {
            println!("seed {seed}: {:#?}", plan::generate(seed, duration));
        }
        return Ok(ExitCode::SUCCESS);
    }
    let program_dir = std::env::current_exe()?;
    let program_dir = program_dir.parent().context("no folder of programs")?;
    let setup = Setup {
        program_dir: program_dir.to_owned(),
        work_dir: PathBuf::from("target/soak"),
        duration,
        counts: [options.balancers, options.agents, options.callers],
    };
    let total = seeds.len() as u64;
    let failed = run_all(&setup, seeds, options.jobs)?;
    println!("{} passed, {failed} failed", total - failed);
    Ok(ExitCode::from(u8::from(failed > 0)))
}

/// Plays seeds in some threads; returns how many failed.
fn run_all(setup: &Setup, seeds: Vec<u64>, jobs: u8) -> anyhow::Result<u64> {
    let queue = Mutex::new(seeds.into_iter());
    let next = || queue.lock().ok().and_then(|mut seeds| seeds.next());
    let worker = |job| {
        let mut failed = 0;
        while let Some(seed) = next() {
            failed += u64::from(!run_and_report(setup, seed, FIRST_ADDRESS_BLOCK + job)?);
        }
        anyhow::Ok(failed)
    };
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..jobs)
            .map(|job| scope.spawn(move || worker(job)))
            .collect();
        let mut failed = 0;
        for worker in workers {
            let result = worker.join();
            failed += result.map_err(|_| anyhow::anyhow!("a player panicked"))??;
        }
        Ok(failed)
    })
}

/// Plays a seed and prints what came of it; returns whether all promises were kept.
fn run_and_report(setup: &Setup, seed: u64, block: u8) -> anyhow::Result<bool> {
    let runtime = Runtime::new()?;
    let summary = runtime.block_on(run_seed(setup, seed, block))?;
    // Waits until all tasks are gone, and with them their sockets.
    drop(runtime);
    let has_passed = summary.violations.is_empty();
    let verdict = if has_passed { "passed" } else { "FAILED" };
    println!(
        "seed {seed}: {verdict}, {} of {} requests served",
        summary.served, summary.sent
    );
    for violation in &summary.violations {
        println!("  {violation}");
    }
    Ok(has_passed)
}
