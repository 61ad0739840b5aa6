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
    what: What,
}

#[derive(Debug, Subcommand)]
enum What {
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
async fn compare(program: &std::path::Path) -> anyhow::Result<()> {
    let [bare, balancer] = forward::measure(program).await?;
    for found in [&bare, &balancer] {
        println!(
            "{}: {} datagrams in {:.2} s of processor time, {:.0} per second, {} bytes resident",
            found.name,
            found.datagrams,
            found.seconds,
            found.rate(),
            found.memory,
        );
    }
    println!("ratio: {:.3}", balancer.rate() / bare.rate());
    Ok(())
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args = Arguments::parse();
    let found = match &args.what {
        What::Relay => return forward::relay(),
        What::Forward { program } => return compare(program).await,
        What::Reducer { sizes } => reducer::measure(sizes)?,
        What::Spread { sizes } => spread::measure(sizes).await?,
        What::Process { sizes, program } => process::measure(sizes, program).await?,
        What::Services { sizes, program } => process::measure_services(sizes, program).await?,
        What::Agent { sizes, program } => agent::measure(sizes, program).await?,
    };
    println!("{}", series::table(&found));
    for series in &found {
        println!("{}", series.slope_line());
    }
    if let Some(folder) = &args.plots {
        std::fs::create_dir_all(folder)?;
        for series in &found {
            series.draw(folder)?;
        }
    }
    Ok(())
}
