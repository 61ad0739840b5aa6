//! `buckthornlink balancer`.

use std::path::PathBuf;

use tokio::signal::unix::{SignalKind, signal};

use buckthornlink_node::{logs, settings};

use super::Outcome;
use crate::balancer::{Balancer, BalancerSettings};

#[derive(Debug, clap::Args)]
pub(super) struct Arguments {
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

impl Arguments {
    pub(super) fn run(self) -> Outcome {
        let Some(path) = self.settings.filter(|_| !self.print_schema) else {
            println!("{}", settings::schema::<BalancerSettings>());
            return Ok(());
        };
        let mut settings: BalancerSettings = settings::load(&path)?;
        settings.record = self.record.or(settings.record);
        logs::init(&settings.log);
        let runtime = tokio::runtime::Runtime::new()?;
        runtime.block_on(serve(settings))?;
        Ok(())
    }
}

async fn serve(settings: BalancerSettings) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let balancer = Balancer::spawn(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        interrupted = tokio::signal::ctrl_c() => interrupted?,
    }
    balancer.leave().await;
    Ok(())
}
