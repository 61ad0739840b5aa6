//! `buckthornlink balancer`.

use std::path::PathBuf;

use tokio::signal::unix::{SignalKind, signal};

use buckthornlink_adapter::Platform;
use buckthornlink_datagram::{Settings, run_balancer};
use buckthornlink_node::{logs, settings};

use super::CommandResult;
use crate::balancer::{Balancer, BalancerSettings};

#[derive(Debug, clap::Args)]
pub(super) struct Arguments {
    /// Settings file in JSON
    #[arg(
        required_unless_present = "print_schema",
        env = "BUCKTHORNLINK_SETTINGS"
    )]
    settings: Option<PathBuf>,
    /// Balance flows of datagrams that carry no connection id
    #[arg(long)]
    datagrams: bool,
    /// Print the JSON Schema of the settings and exit
    #[arg(long)]
    print_schema: bool,
    /// Trace file to which the reducer's events are recorded
    #[arg(long, value_name = "FILE")]
    record: Option<PathBuf>,
}

impl Arguments {
    pub(super) fn run(self) -> CommandResult {
        let Some(path) = self.settings.filter(|_| !self.print_schema) else {
            println!("{}", schema(self.datagrams));
            return Ok(());
        };
        if self.datagrams {
            return Ok(run_balancer(Platform, &path)?);
        }
        let mut settings: BalancerSettings = settings::load(&path)?;
        settings.record = self.record.or(settings.record);
        logs::init(&settings.log);
        let runtime = tokio::runtime::Runtime::new()?;
        runtime.block_on(serve(settings))?;
        Ok(())
    }
}

fn schema(is_datagram_path: bool) -> String {
    if is_datagram_path {
        settings::schema::<Settings>()
    } else {
        settings::schema::<BalancerSettings>()
    }
}

async fn serve(settings: BalancerSettings) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::spawn(logs::flush_periodically());
    let balancer = Balancer::spawn(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        interrupted = tokio::signal::ctrl_c() => interrupted?,
    }
    balancer.shut_down().await;
    logs::flush();
    Ok(())
}
