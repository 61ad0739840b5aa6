//! Reads the operators' records from the store, and registers processes there.
//!
//! A watching process reads the records once, then watches for changes. Any other process polls
//! at a long interval. Both report every record that they read; the reducer ignores records that
//! are not newer than its own.

use std::time::Duration;

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
}

/// Handle of a task that watches or polls the store. Dropping it stops the task.
#[derive(Debug)]
pub struct StoreSync {
    task: JoinHandle<()>,
    watching_sender: watch::Sender<bool>,
}

impl StoreSync {
    /// Starts the task, which polls at first and calls `on_update` with each record it reads.
    pub fn spawn<S: Store>(store: S, on_update: impl Fn(Update) + Send + Sync + 'static) -> Self {
        let (watching_sender, watching) = watch::channel(false);
        let task = tokio::spawn(sync(Catalog::new(store), watching, on_update));
        Self {
            task,
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

async fn sync<S: Store>(
    catalog: Catalog<S>,
    mut watching: watch::Receiver<bool>,
    on_update: impl Fn(Update) + Send + Sync,
) {
    let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    loop {
        let result = if *watching.borrow_and_update() {
            tokio::select! {
                result = watch_store(&catalog, &on_update, &mut backoff) => result,
                changed = watching.changed() => if changed.is_ok() { Ok(()) } else { return },
            }
        } else {
            let result = read_all(&catalog, &on_update).await.map(drop);
            if result.is_ok() {
                backoff.reset();
                let pause = jittered(POLL_INTERVAL);
                let _ = timeout(pause, watching.changed()).await;
            }
            result
        };
        if let Err(err) = result {
            log::debug!(
                target: LOG_TARGET,
                err:% = err;
                "cannot read records from the store; retrying"
            );
            sleep(jittered(backoff.next_delay())).await;
        }
    }
}

/// Reads all records, then reports changes until the watch fails or about [`WATCH_LIFETIME`] is
/// over.
async fn watch_store<S: Store>(
    catalog: &Catalog<S>,
    on_update: &impl Fn(Update),
    backoff: &mut Backoff,
) -> Result<(), StoreError> {
    let position = read_all(catalog, on_update).await?;
    let mut watch = catalog.store().watch(ROOT_PREFIX, position).await?;
    backoff.reset();
    let report_all = async {
        loop {
            for change in watch.next().await? {
                report_change(&change, on_update);
            }
        }
    };
    timeout(jittered(WATCH_LIFETIME), report_all)
        .await
        .unwrap_or(Ok(()))
}

async fn read_all<S: Store>(
    catalog: &Catalog<S>,
    on_update: &impl Fn(Update),
) -> Result<Position, StoreError> {
    let (zones, position) = catalog.zones().await?;
    for zone in &zones {
        on_update(Update::Zone(zone.to_record()));
    }
    if let Some(current) = catalog.config().await? {
        report_config(&current.record, on_update);
    }
    Ok(position)
}

fn report_change(change: &Change, on_update: &impl Fn(Update)) {
    let Change::Put(entry) = change else {
        return;
    };
    if entry.key == CONFIG_KEY {
        match serde_json::from_slice::<ConfigRecord>(&entry.value) {
            Ok(record) => report_config(&record, on_update),
            Err(err) => log::error!(
                target: LOG_TARGET,
                err:% = err;
                "ignoring a malformed configuration in the store"
            ),
        }
    } else if entry.key.starts_with(ZONES_PREFIX) {
        match serde_json::from_slice::<ZoneEntry>(&entry.value) {
            Ok(zone) => on_update(Update::Zone(zone.to_record())),
            Err(err) => log::error!(
                target: LOG_TARGET,
                err:% = err;
                "ignoring a malformed zone record in the store"
            ),
        }
    }
}

fn report_config(record: &ConfigRecord, on_update: &impl Fn(Update)) {
    match Config::parse(&record.text) {
        Ok(config) => on_update(Update::Config {
            version: record.version,
            config,
        }),
        Err(err) => log::error!(
            target: LOG_TARGET,
            err:% = err;
            "ignoring an invalid configuration in the store"
        ),
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
