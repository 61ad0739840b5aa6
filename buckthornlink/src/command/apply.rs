//! `buckthornlink apply`.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::Context;
use serde::Serialize;

use buckthornlink_core::Version;
use buckthornlink_core::config::{Config, ConfigDelta};
use buckthornlink_platform::{Catalog, EtcdStore};

use super::status::fetch_statuses;
use super::{CommandResult, EditArguments, Failure, Output, StoreArguments, block_on, check};

/// Delay between two queries of all balancers.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, clap::Args)]
pub(super) struct Arguments {
    /// Configuration file in JSON
    file: PathBuf,
    /// Version that the file is based on; the edit is refused if the store has another one
    #[arg(long, value_name = "VERSION")]
    base: Option<u64>,
    /// Show what would change and write nothing
    #[arg(long)]
    dry_run: bool,
    /// Wait until every balancer has the new version in force
    #[arg(long)]
    wait: bool,
    /// Output format
    #[arg(long, value_enum, default_value_t)]
    output: Output,
    #[command(flatten)]
    store: StoreArguments,
    #[command(flatten)]
    edit: EditArguments,
}

#[derive(Debug, Serialize)]
struct Report {
    version: Version,
    edit: String,
    superseded: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    in_force_ms: Option<u128>,
}

impl Arguments {
    pub(super) fn run(self) -> CommandResult {
        let text = check::read_config(&self.file)?;
        let config = Config::parse(&text).with_context(|| self.file.display().to_string())?;
        block_on(async {
            let catalog = self.store.catalog();
            if self.dry_run {
                return self.print_changes(&catalog, &config).await;
            }
            let report = self.apply(&catalog, &text).await?;
            self.output.print(&report, |r| match r.in_force_ms {
                Some(ms) => format!("accepted as version {}, in force after {ms} ms", r.version),
                None => format!("accepted as version {}", r.version),
            })?;
            Ok(())
        })
    }

    async fn print_changes(&self, catalog: &Catalog<EtcdStore>, config: &Config) -> CommandResult {
        let current = catalog.config().await?;
        let text = current.map_or_else(
            || "{\"zones\":[],\"services\":[]}".to_owned(),
            |c| c.record.text,
        );
        let delta = ConfigDelta::between(&Config::parse(&text)?, config);
        self.output.print(&delta, ToString::to_string)?;
        Ok(())
    }

    async fn apply(&self, catalog: &Catalog<EtcdStore>, text: &str) -> Result<Report, Failure> {
        let edit = self.edit.new_edit_id();
        let base = self.base.map(Version);
        let timeout = self.edit.timeout();
        let accepted = catalog
            .apply(text, base, &edit, &self.edit.editor, timeout)
            .await?;
        let version = accepted.record.version;
        let in_force_ms = if self.wait {
            Some(self.wait_until_in_force(catalog, version).await?)
        } else {
            None
        };
        Ok(Report {
            version,
            edit,
            superseded: accepted.superseded,
            in_force_ms,
        })
    }

    /// Queries the balancers until all of them have `version` in force, and returns the time that
    /// this took in milliseconds.
    async fn wait_until_in_force(
        &self,
        catalog: &Catalog<EtcdStore>,
        version: Version,
    ) -> Result<u128, Failure> {
        let start = Instant::now();
        loop {
            let statuses = fetch_statuses(catalog).await?;
            let is_behind = |s: &&super::status::BalancerStatus| s.version() < Some(version);
            let behind = statuses.iter().filter(is_behind).count();
            if behind == 0 {
                return Ok(start.elapsed().as_millis());
            }
            if start.elapsed() > self.edit.timeout() {
                let total = statuses.len();
                let error = anyhow::anyhow!(
                    "accepted as version {version}, but {behind} of {total} balancers do not have \
                     it in force yet; ask again with: buckthornlink status"
                );
                return Err(Failure {
                    verdict: buckthornlink_core::Verdict::MayHaveRun,
                    error,
                });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
