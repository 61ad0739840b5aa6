//! The `buckthornlink-agent` program.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use tokio::signal::unix::{SignalKind, signal};

use buckthornlink_agent::{Agent, AgentSettings};
use buckthornlink_node::{logs, settings};

/// The process beside a backend server.
///
/// On SIGTERM it drains: flows are asked to move and requests are finished before it ends.
///
/// Exit codes: 0 done; 1 settings or addresses cannot stand; 2 usage.
#[derive(Debug, Parser)]
#[command(name = "buckthornlink-agent", version, about, long_about)]
struct Arguments {
    /// Settings file in JSON
    #[arg(required_unless_present = "print_schema")]
    settings: Option<PathBuf>,
    /// Print the JSON Schema of the settings and stop
    #[arg(long)]
    print_schema: bool,
    /// Record the reducer's events to this file
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
        println!("{}", settings::schema::<AgentSettings>());
        return Ok(());
    };
    let mut settings: AgentSettings = settings::load(&path)?;
    settings.record = args.record.or(settings.record);
    logs::init(&settings.log);
    tokio::runtime::Runtime::new()?.block_on(serve(settings))
}

async fn serve(settings: AgentSettings) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let agent = Agent::spawn(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        interrupted = tokio::signal::ctrl_c() => interrupted?,
    }
    agent.drain().await.finish().await;
    Ok(())
}
