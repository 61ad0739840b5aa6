//! Measures how costs grow with the size of a fleet, for `docs/CAPACITY.md`.
//!
//! Each subcommand except `forward` measures at several sizes, prints a table and the least-squares
//! lines, and draws plots if a directory is given.

mod agent;
mod forward;
mod process;
mod reducer;
mod series;
mod spread;

use std::path::PathBuf;

use clap::{Parser, Subcommand};

/// Measure how the costs of a process grow with the size of the fleet.
#[derive(Debug, Parser)]
struct Arguments {
    /// Directory to which plots are written
    #[arg(long, global = true)]
    plots: Option<PathBuf>,
    #[command(subcommand)]
    what: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Time and memory of a balancer's reducer, by number of known members
    Reducer {
        /// Numbers of known members
        #[arg(
            long,
            value_delimiter = ',',
            default_value = "1000,4000,8000,16000,22900"
        )]
        sizes: Vec<u32>,
    },
    /// Time until a configuration is in force, control traffic and store calls, by number of balancers
    Spread {
        /// Numbers of balancers
        #[arg(long, value_delimiter = ',', default_value = "4,16,48,128,240")]
        sizes: Vec<u32>,
    },
    /// Memory and processor time of a balancer process, by number of known members
    Process {
        /// Numbers of known members
        #[arg(long, value_delimiter = ',', default_value = "0,6000,12000,22900")]
        sizes: Vec<u32>,
        /// Path of the `buckthornlink` program
        #[arg(long, default_value = "target/release/buckthornlink")]
        program: PathBuf,
    },
    /// Memory of a balancer process, by number of configured services
    Services {
        /// Numbers of services
        #[arg(long, value_delimiter = ',', default_value = "2,500,1000,1900")]
        sizes: Vec<u32>,
        /// Path of the `buckthornlink` program
        #[arg(long, default_value = "target/release/buckthornlink")]
        program: PathBuf,
    },
    /// Datagrams forwarded per second of processor time, beside a bare relay in the same run
    Forward {
        /// Path of the `buckthornlink` program
        #[arg(long, default_value = "target/release/buckthornlink")]
        program: PathBuf,
    },
    /// Run the bare relay that `forward` measures
    #[command(hide = true)]
    Relay,
    /// Memory and processor time of an agent process, by number of open flows
    Agent {
        /// Numbers of flows
        #[arg(long, value_delimiter = ',', default_value = "0,200,400,800")]
        sizes: Vec<u32>,
        /// Path of the `buckthornlink-agent` program
        #[arg(long, default_value = "target/release/buckthornlink-agent")]
        program: PathBuf,
    },
}

/// Prints the throughput of the balancer and of a bare relay, and their ratio.
async fn compare_forwarding(program: &std::path::Path) -> anyhow::Result<()> {
    let [relay, balancer] = forward::measure(program).await?;
    for throughput in [&relay, &balancer] {
        println!(
            "{}: {} datagrams in {:.2} s of processor time, {:.0} per second, {} bytes resident",
            throughput.name,
            throughput.datagrams,
            throughput.processor_seconds,
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
    if let Some(dir) = &args.plots {
        std::fs::create_dir_all(dir)?;
        for series in &results {
            series.draw(dir)?;
        }
    }
    Ok(())
}
