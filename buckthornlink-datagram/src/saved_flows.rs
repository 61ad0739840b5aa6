//! The flows of an agent's backend server in the store, where the agent's next process finds them.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio::time::sleep;

use buckthornlink_core::datagram::{Event, FlowDigest};
use buckthornlink_node::backoff::Backoff;
use buckthornlink_platform::{FLOWS_PREFIX, LeaseId, Store, StoreError};

use crate::ReducerHandle;
use crate::metrics::{Metrics, StoreCall};
use crate::store_sync::{MAX_RETRY_DELAY, MIN_RETRY_DELAY, wait_for_turn};

/// Target of the log records of this module.
const LOG_TARGET: &str = "buckthornlink_datagram::saved_flows";
/// Time after which the flows of an agent that does not return are deleted.
const LEASE_TTL: Duration = Duration::from_mins(10);
/// Age of a lease from which on a new one is granted.
const MAX_LEASE_AGE: Duration = Duration::from_mins(5);

/// Limits of the exponential delay between attempts to save. All agents save at the same time after an outage of the
/// store, which counts each call.
const MIN_SAVE_DELAY: Duration = Duration::from_millis(500);
const MAX_SAVE_DELAY: Duration = Duration::from_secs(8);

/// Reads and writes the flows of one agent.
#[derive(Debug)]
pub(crate) struct SavedFlows<S> {
    pub store: S,
    pub ip: Ipv4Addr,
    pub handle: ReducerHandle,
    pub metrics: Metrics,
    /// The flows to save.
    pub digests: watch::Receiver<FlowDigest>,
    /// Number of instances, among which the read waits for its turn.
    pub total: watch::Receiver<Option<u32>>,
}

impl<S: Store> SavedFlows<S> {
    /// Reports what an earlier process saved, then writes what this one has to save. Never returns while the
    /// sender of that lives.
    pub(crate) async fn run(mut self) {
        wait_for_turn(self.total.clone()).await;
        let digest = self.load().await;
        self.handle.send(Event::SavedFlows(digest));
        let mut lease = None;
        while self.digests.changed().await.is_ok() {
            self.save_newest(&mut lease).await;
        }
    }

    /// Writes what this process has to save until the store confirms it: a lease that was revoked fails one call, and the
    /// reducer does not repeat what it had saved.
    async fn save_newest(&mut self, lease: &mut Option<(LeaseId, Instant)>) {
        let mut backoff = Backoff::new(MIN_SAVE_DELAY, MAX_SAVE_DELAY);
        loop {
            let digest = self.digests.borrow_and_update().clone();
            match self.save(&digest, lease).await {
                Ok(()) => {
                    let has_tried = digest.has_tried;
                    self.handle.send(Event::FlowsSaved { has_tried });
                    return;
                }
                Err(err) => {
                    *lease = None;
                    log::debug!(target: LOG_TARGET, err:% = err; "the flows were not saved; retrying");
                    sleep(backoff.next_delay()).await;
                }
            }
        }
    }

    /// Reads what an earlier process saved, for as long as it takes: a store that does not answer does not say that
    /// nothing was saved.
    async fn load(&self) -> FlowDigest {
        let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        loop {
            self.metrics.count_store_call(StoreCall::ReadFlows);
            match self.store.get(&self.key()).await {
                Ok(entry) => {
                    let value = entry.map(|entry| entry.value).unwrap_or_default();
                    return rmp_serde::from_slice(&value).unwrap_or_default();
                }
                Err(err) => {
                    log::debug!(target: LOG_TARGET, err:% = err; "cannot read the saved flows; retrying");
                    sleep(backoff.next_delay()).await;
                }
            }
        }
    }

    async fn save(
        &self,
        digest: &FlowDigest,
        lease: &mut Option<(LeaseId, Instant)>,
    ) -> Result<(), StoreError> {
        let current = lease.filter(|(_, granted_at)| granted_at.elapsed() < MAX_LEASE_AGE);
        let (id, granted_at) = match current {
            Some(current) => current,
            None => (self.store.grant(LEASE_TTL).await?, Instant::now()),
        };
        *lease = Some((id, granted_at));
        let value = rmp_serde::to_vec(digest).unwrap_or_default();
        self.metrics.count_store_call(StoreCall::WriteFlows);
        self.store.put_leased(&self.key(), &value, id).await
    }

    fn key(&self) -> String {
        format!("{FLOWS_PREFIX}{}", self.ip)
    }
}

#[cfg(test)]
#[path = "../tests/unit/saved_flows.rs"]
mod tests;
