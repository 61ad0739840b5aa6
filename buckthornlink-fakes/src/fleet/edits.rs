//! Edits of the operators, and waiting until they are in force.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use buckthornlink::platform::{Catalog, EtcdStore};
use buckthornlink_core::Version;

use super::{Fleet, POLL_INTERVAL, ip};

/// Maximum time until a configuration is in force.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time until the store has accepted an edit.
const EDIT_TIMEOUT: Duration = Duration::from_secs(5);

impl Fleet {
    /// Writes a configuration to the store, as an operator would.
    ///
    /// # Errors
    ///
    /// Returns an error if the edit is not accepted.
    pub async fn apply(&self, text: &str) -> anyhow::Result<Version> {
        let edit = self.edit_id();
        let accepted = self
            .catalog()
            .apply(text, None, &edit, "fleet", EDIT_TIMEOUT)
            .await?;
        Ok(accepted.record.version)
    }

    /// Takes a zone out of service or brings it back, as an operator would.
    ///
    /// # Errors
    ///
    /// Returns an error if the edit is not accepted.
    pub async fn set_zone(&self, zone: &str, out: bool) -> anyhow::Result<()> {
        let edit = self.edit_id();
        self.catalog()
            .set_zone(zone, out, &edit, "fleet", EDIT_TIMEOUT)
            .await?;
        for host in self.hosts.iter().filter(|h| h.zone == zone) {
            if let Some(handle) = &host.handle {
                handle.set_out_of_service(out);
            }
        }
        Ok(())
    }

    /// Configuration of this fleet, in the format that operators write.
    #[must_use]
    pub fn config_text(&self) -> String {
        self.preset.config_at(ip(self.net, 1))
    }

    /// Waits until every balancer and agent has `version` or a later one in force; returns the time
    /// that this took.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes too long.
    pub async fn wait_until_in_force(&self, version: Version) -> anyhow::Result<Duration> {
        let start = Instant::now();
        while !self.is_in_force(version) {
            anyhow::ensure!(
                start.elapsed() < CONFIG_TIMEOUT,
                "timed out waiting for version {version} to be in force"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(start.elapsed())
    }

    fn is_in_force(&self, version: Version) -> bool {
        let balancers = self.balancers.iter().all(|(_, b)| b.version() >= version);
        let mut agents = self.hosts.iter().filter_map(|h| h.agent.as_ref());
        balancers && agents.all(|a| a.version() >= version)
    }

    fn catalog(&self) -> Catalog<EtcdStore> {
        Catalog::new(EtcdStore::new(self.store.url()))
    }

    fn edit_id(&self) -> String {
        format!("fleet-{}", self.edit_count.fetch_add(1, Ordering::Relaxed))
    }
}
