//! `buckthornlink status`.

use std::time::Duration;

use serde::Serialize;
use tabled::{Table, Tabled};

use buckthornlink_core::Version;
use buckthornlink_core::member::Phase;
use buckthornlink_platform::{BalancerEntry, Catalog, EtcdStore, StoreError};

use super::{CommandResult, Output, StoreArguments, block_on};
use crate::balancer::Status;

/// Maximum number of balancers queried.
const MAX_BALANCERS: u32 = 4_096;
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug, clap::Args)]
pub(super) struct Arguments {
    /// Output format
    #[arg(long, value_enum, default_value_t)]
    output: Output,
    #[command(flatten)]
    store: StoreArguments,
}

/// Store entry of a balancer, and its status if it responded.
#[derive(Debug, Serialize)]
pub(super) struct BalancerStatus {
    entry: BalancerEntry,
    status: Option<Status>,
}

#[derive(Tabled)]
struct Row {
    balancer: String,
    zone: String,
    version: String,
    #[tabled(rename = "zones out")]
    zones_out: String,
    #[tabled(rename = "open agents")]
    open: usize,
    #[tabled(rename = "silent or gone")]
    gone: usize,
}

impl Arguments {
    pub(super) fn run(self) -> CommandResult {
        block_on(async {
            let statuses = fetch_statuses(&self.store.catalog()).await?;
            self.output.print(&statuses, |s| {
                Table::new(s.iter().map(Row::from)).to_string()
            })?;
            Ok(())
        })
    }
}

impl BalancerStatus {
    /// Returns the version that the balancer has in force, if it responded.
    pub(super) fn version(&self) -> Option<Version> {
        self.status.as_ref().map(|s| s.version)
    }
}

impl From<&BalancerStatus> for Row {
    fn from(balancer: &BalancerStatus) -> Self {
        let status = balancer.status.as_ref();
        let agents = status.map_or(&[][..], |s| &s.members);
        let agents = agents.iter().filter(|m| m.service.is_some());
        let phases: Vec<Phase> = agents.map(|m| m.phase).collect();
        Self {
            balancer: balancer.entry.link.to_string(),
            zone: balancer.entry.zone.clone(),
            version: status.map_or("no answer".to_owned(), |s| s.version.to_string()),
            zones_out: status.map_or(String::new(), |s| s.zones_out.join(", ")),
            open: phases.iter().filter(|p| p.can_accept_flows()).count(),
            gone: phases.iter().filter(|p| p.is_gone()).count(),
        }
    }
}

/// Queries the status of every balancer that has a valid entry in the store.
pub(super) async fn fetch_statuses(
    catalog: &Catalog<EtcdStore>,
) -> Result<Vec<BalancerStatus>, StoreError> {
    let entries = catalog.balancers(MAX_BALANCERS).await?;
    let http = buckthornlink_node::config_transfer::http_client();
    let mut statuses = Vec::with_capacity(entries.len());
    for entry in entries {
        let status = fetch_status(&http, &entry).await.ok();
        statuses.push(BalancerStatus { entry, status });
    }
    Ok(statuses)
}

async fn fetch_status(http: &reqwest::Client, entry: &BalancerEntry) -> reqwest::Result<Status> {
    let request = http
        .get(format!("http://{}/status", entry.http))
        .timeout(STATUS_TIMEOUT);
    request.send().await?.error_for_status()?.json().await
}
