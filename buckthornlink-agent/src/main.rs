//! The `buckthornlink-agent` program.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use tokio::signal::unix::{SignalKind, signal};

use buckthornlink_adapter::Platform;
use buckthornlink_agent::{Agent, AgentSettings};
use buckthornlink_datagram::{Settings, run_agent};
use buckthornlink_node::{logs, settings};

/// Agent process that runs next to a backend server.
///
/// On SIGTERM it drains: it asks callers to move their flows and finishes requests before it exits.
///
/// Exit codes: 0 success; 1 failure, such as invalid settings or an unusable address; 2 usage error.
#[derive(Debug, Parser)]
#[command(name = "buckthornlink-agent", version, about, long_about)]
struct Arguments {
    /// Settings file in JSON
    #[arg(
        required_unless_present = "print_schema",
        env = "BUCKTHORNLINK_SETTINGS"
    )]
    settings: Option<PathBuf>,
    /// Serve flows whose datagrams carry no connection id
    #[arg(long)]
    datagrams: bool,
    /// Print the JSON Schema of the settings and exit
    #[arg(long)]
    print_schema: bool,
    /// Trace file to which the reducer's events are recorded
    #[arg(long, value_name = "FILE")]
    record: Option<PathBuf>,
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: Arguments) -> anyhow::Result<()> {
    let Some(path) = args.settings.filter(|_| !args.print_schema) else {
        println!("{}", schema(args.datagrams));
        return Ok(());
    };
    if args.datagrams {
        return run_agent(Platform, &path);
    }
    let mut settings: AgentSettings = settings::load(&path)?;
    settings.record = args.record.or(settings.record);
    logs::init(&settings.log);
    tokio::runtime::Runtime::new()?.block_on(serve(settings))
}

fn schema(is_datagram_path: bool) -> String {
    if is_datagram_path {
        settings::schema::<Settings>()
    } else {
        settings::schema::<AgentSettings>()
    }
}

async fn serve(settings: AgentSettings) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::spawn(logs::flush_periodically());
    let agent = Agent::spawn(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        interrupted = tokio::signal::ctrl_c() => interrupted?,
    }
    agent.drain().await.finish().await;
    logs::flush();
    Ok(())
}
