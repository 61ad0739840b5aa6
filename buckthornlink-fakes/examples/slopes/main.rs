//! Measures the slopes behind `docs/CAPACITY.md`.
//!
//! Each subcommand measures at several sizes, prints a table and the least-squares slope, and
//! draws a plot if a folder is given.

mod agent;
mod forward;
mod process;
mod reducer;
mod series;
mod spread;

use std::path::PathBuf;

use clap::{Parser, Subcommand};

/// Measure what a process costs as the fleet grows.
#[derive(Debug, Parser)]
struct Arguments {
    /// Folder that plots are drawn to
    #[arg(long, global = true)]
    plots: Option<PathBuf>,
    #[command(subcommand)]
    what: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Time and memory of a balancer's reducer, by members known
    Reducer {
        /// Members known
        #[arg(
            long,
            value_delimiter = ',',
            default_value = "1000,4000,8000,16000,22900"
        )]
        sizes: Vec<u32>,
    },
    /// Time until a configuration is in force, bytes and store calls, by balancers
    Spread {
        /// Balancers
        #[arg(long, value_delimiter = ',', default_value = "4,16,48,128,240")]
        sizes: Vec<u32>,
    },
    /// Memory and processor time of a balancer process, by members known
    Process {
        /// Members known
        #[arg(long, value_delimiter = ',', default_value = "0,6000,12000,22900")]
        sizes: Vec<u32>,
        /// The `buckthornlink` program
        #[arg(long, default_value = "target/release/buckthornlink")]
        program: PathBuf,
    },
    /// Memory of a balancer process, by services configured
    Services {
        /// Services
        #[arg(long, value_delimiter = ',', default_value = "2,500,1000,1900")]
        sizes: Vec<u32>,
        /// The `buckthornlink` program
        #[arg(long, default_value = "target/release/buckthornlink")]
        program: PathBuf,
    },
    /// Datagrams per second of processor time, beside a bare relay in the same run
    Forward {
        /// The `buckthornlink` program
        #[arg(long, default_value = "target/release/buckthornlink")]
        program: PathBuf,
    },
    /// The bare relay
    #[command(hide = true)]
    Relay,
    /// Memory and processor time of an agent process, by flows open
    Agent {
        /// Flows
        #[arg(long, value_delimiter = ',', default_value = "0,200,400,800")]
        sizes: Vec<u32>,
        /// The `buckthornlink-agent` program
        #[arg(long, default_value = "target/release/buckthornlink-agent")]
        program: PathBuf,
    },
}

/// Compares the balancer with a bare relay.
async fn compare_forwarding(program: &std::path::Path) -> anyhow::Result<()> {
    let [relay, balancer] = forward::measure(program).await?;
    for throughput in [&relay, &balancer] {
        println!(
            "{}: {} datagrams in {:.2} s of processor time, {:.0} per second, {} bytes resident",
            throughput.name,
            throughput.datagrams,
            throughput.cpu_seconds,
            throughput.rate(),
            throughput.memory_bytes,
        );
    }
    println!("ratio: {:.3}", balancer.rate() / relay.rate());
    Ok(())
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args = Arguments::parse();
    let results = match &args.what {
        Command::Relay => return forward::run_relay(),
        Command::Forward { program } => return compare_forwarding(program).await,
        Command::Reducer { sizes } => reducer::measure(sizes)?,
        Command::Spread { sizes } => spread::measure(sizes).await?,
        Command::Process { sizes, program } => process::measure(sizes, program).await?,
        Command::Services { sizes, program } => process::measure_services(sizes, program).await?,
        Command::Agent { sizes, program } => agent::measure(sizes, program).await?,
    };
    println!("{}", series::table(&results));
    for series in &results {
        println!("{}", series.format_fit());
    }
    if let Some(folder) = &args.plots {
        std::fs::create_dir_all(folder)?;
        for series in &results {
            series.draw(folder)?;
        }
    }
    Ok(())
}
