//! Reads the operators' records from the store, and registers processes there.
//!
//! A watching process reads the records once, then watches for changes. Any other process polls
//! at a long interval. Both report every record that they read, and then the time of the store's answer;
//! the reducer ignores records that are not newer than its own.

use std::time::{Duration, Instant};

use serde::Serialize;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use buckthornlink_core::Version;
use buckthornlink_core::config::Config;
use buckthornlink_core::member::ZoneRecord;
use buckthornlink_platform::{
    CONFIG_KEY, Catalog, Change, ConfigRecord, LeaseId, Position, ROOT_PREFIX, Store, StoreError,
    Watch, ZONES_PREFIX, ZoneEntry,
};

use crate::backoff::{Backoff, jittered};

/// Target of the log records of this module. Operators name it in the filters of `log.level`, so
/// it is kept although the module has another name.
const LOG_TARGET: &str = "buckthornlink_node::source";
/// Mean interval between polls of a process that does not watch.
const POLL_INTERVAL: Duration = Duration::from_mins(1);
/// Mean time after which a watch is reopened, since a broken connection may go unnoticed.
const WATCH_LIFETIME: Duration = Duration::from_mins(2);
/// Limits of the mean delay between attempts while calls to the store fail.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Maximum for a process that watches, which others rely on.
const MAX_WATCH_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time to live of the lease on a process's entry in the store.
const ENTRY_TTL: Duration = Duration::from_mins(1);
/// Mean interval between renewals of that lease.
const RENEW_INTERVAL: Duration = Duration::from_secs(20);

/// A record read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// A valid configuration.
    Config {
        /// Version of the configuration.
        version: Version,
        /// The configuration.
        config: Config,
    },
    /// A zone record.
    Zone(ZoneRecord),
    /// The store held no other records than those reported so far at this moment.
    Answered(Instant),
    /// A call to the store failed.
    Failed,
}

/// Handle of a task that watches or polls the store. Dropping it stops the task.
#[derive(Debug)]
pub struct StoreSync {
    task: JoinHandle<()>,
    watching_sender: watch::Sender<bool>,
}

impl StoreSync {
    /// Starts the task, which polls at first and sends all that it reads to `updates`. It waits for room
    /// there, so that no record is missing when an answer is reported.
    pub fn spawn<S: Store, T>(store: S, updates: flume::Sender<T>) -> Self
    where
        T: From<Update> + Send + 'static,
    {
        let (watching_sender, watching) = watch::channel(false);
        let sync = RecordSync {
            catalog: Catalog::new(store),
            updates,
            backoff: Backoff::new(MIN_RETRY_DELAY, MAX_WATCH_RETRY_DELAY),
        };
        Self {
            task: tokio::spawn(sync.run(watching)),
            watching_sender,
        }
    }

    /// Selects whether the task watches the store or polls it.
    pub fn set_watching(&self, watching: bool) {
        self.watching_sender.send_replace(watching);
    }
}

impl Drop for StoreSync {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Handle of a task that keeps a leased entry in the store. Dropping it stops the renewal of the
/// lease.
#[derive(Debug)]
pub struct Registration {
    task: JoinHandle<()>,
    lease: watch::Receiver<Option<LeaseId>>,
}

impl Registration {
    /// Starts a task that writes `entry` to `key` as JSON and renews its lease.
    pub fn spawn<S: Store>(store: S, key: String, entry: &impl Serialize) -> Self {
        let value = serde_json::to_vec(entry).unwrap_or_default();
        let (lease_sender, lease) = watch::channel(None);
        let task = tokio::spawn(async move {
            let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
            loop {
                if let Err(err) =
                    maintain_entry(&store, &key, &value, &lease_sender, &mut backoff).await
                {
                    log::debug!(
                        target: LOG_TARGET,
                        err:% = err;
                        "cannot maintain the entry in the store; retrying"
                    );
                }
                sleep(jittered(backoff.next_delay())).await;
            }
        });
        Self { task, lease }
    }

    /// Revokes the lease, which deletes the entry from the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the store did not confirm; the entry then expires with its lease.
    pub async fn withdraw(self, store: &impl Store) -> Result<(), StoreError> {
        self.task.abort();
        let lease = *self.lease.borrow();
        match lease {
            Some(lease) => store.revoke(lease).await,
            None => Ok(()),
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Reads the records, and reports them.
struct RecordSync<S, T> {
    catalog: Catalog<S>,
    updates: flume::Sender<T>,
    backoff: Backoff,
}

impl<S: Store, T: From<Update> + Send> RecordSync<S, T> {
    /// Watches or polls until the handle is dropped. A process that is told to watch reads the records at
    /// once; one that is told to stop reads them at the next poll.
    async fn run(mut self, mut watching: watch::Receiver<bool>) {
        let mut pause = Duration::ZERO;
        loop {
            let is_watching = *watching.borrow_and_update();
            tokio::select! {
                next = self.attempt(is_watching, pause) => pause = next,
                changed = watching.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let is_watching = *watching.borrow();
                    pause = if is_watching { Duration::ZERO } else { jittered(POLL_INTERVAL) };
                }
            }
        }
    }

    /// Waits, then polls once, or watches until that ends; returns the time until the next attempt.
    async fn attempt(&mut self, is_watching: bool, pause: Duration) -> Duration {
        sleep(pause).await;
        let result = if is_watching {
            self.watch_store().await
        } else {
            self.read_all().await.map(drop)
        };
        if let Err(err) = &result {
            log::debug!(
                target: LOG_TARGET,
                err:% = err;
                "cannot read records from the store; retrying"
            );
            self.report(Update::Failed).await;
        }
        match result {
            _ if !is_watching => jittered(POLL_INTERVAL),
            Ok(()) => Duration::ZERO,
            Err(_) => jittered(self.backoff.next_delay()),
        }
    }

    /// Reads all records, then reports changes until the watch fails or about [`WATCH_LIFETIME`] is
    /// over.
    async fn watch_store(&mut self) -> Result<(), StoreError> {
        let position = self.read_all().await?;
        let mut watch = self.catalog.store().watch(ROOT_PREFIX, position).await?;
        self.backoff.reset();
        timeout(jittered(WATCH_LIFETIME), self.report_changes(&mut watch))
            .await
            .unwrap_or(Ok(()))
    }

    /// Reports changes, and each answer that tells that none is missing, until the watch fails.
    async fn report_changes(&self, watch: &mut S::Watch) -> Result<(), StoreError> {
        let mut confirmed_at = None;
        loop {
            for change in watch.next().await? {
                self.report_change(&change).await;
            }
            if watch.confirmed_at() > confirmed_at {
                confirmed_at = watch.confirmed_at();
                self.report_answer(confirmed_at).await;
            }
        }
    }

    async fn read_all(&self) -> Result<Position, StoreError> {
        let start = Instant::now();
        let (zones, position) = self.catalog.zones().await?;
        for zone in &zones {
            self.report(Update::Zone(zone.to_record())).await;
        }
        if let Some(current) = self.catalog.config().await? {
            self.report_config(&current.record).await;
        }
        self.report_answer(Some(start)).await;
        Ok(position)
    }

    async fn report_change(&self, change: &Change) {
        let Change::Put(entry) = change else {
            return;
        };
        if entry.key == CONFIG_KEY {
            match serde_json::from_slice::<ConfigRecord>(&entry.value) {
                Ok(record) => self.report_config(&record).await,
                Err(err) => log::error!(
                    target: LOG_TARGET,
                    err:% = err;
                    "ignoring a malformed configuration in the store"
                ),
            }
        } else if entry.key.starts_with(ZONES_PREFIX) {
            match serde_json::from_slice::<ZoneEntry>(&entry.value) {
                Ok(zone) => self.report(Update::Zone(zone.to_record())).await,
                Err(err) => log::error!(
                    target: LOG_TARGET,
                    err:% = err;
                    "ignoring a malformed zone record in the store"
                ),
            }
        }
    }

    async fn report_config(&self, record: &ConfigRecord) {
        match Config::parse(&record.text) {
            Ok(config) => {
                let version = record.version;
                self.report(Update::Config { version, config }).await;
            }
            Err(err) => log::error!(
                target: LOG_TARGET,
                err:% = err;
                "ignoring an invalid configuration in the store"
            ),
        }
    }

    async fn report_answer(&self, at: Option<Instant>) {
        if let Some(at) = at {
            self.report(Update::Answered(at)).await;
        }
    }

    async fn report(&self, update: Update) {
        let _ = self.updates.send_async(update.into()).await;
    }
}

/// Obtains a lease, writes the entry under it and renews the lease until it expires, a call fails or
/// the store is known to have been restored, which may have lost the entry.
async fn maintain_entry<S: Store>(
    store: &S,
    key: &str,
    value: &[u8],
    lease_sender: &watch::Sender<Option<LeaseId>>,
    backoff: &mut Backoff,
) -> Result<(), StoreError> {
    let lease: LeaseId = store.grant(ENTRY_TTL).await?;
    lease_sender.send_replace(Some(lease));
    store.put_leased(key, value, lease).await?;
    backoff.reset();
    loop {
        tokio::select! {
            () = sleep(jittered(RENEW_INTERVAL)) => {}
            () = store.wait_restored(lease.epoch) => return Ok(()),
        }
        if store.renew(lease).await?.is_zero() {
            return Ok(());
        }
    }
}
