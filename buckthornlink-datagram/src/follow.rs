//! Follows the operators' records in the store.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use buckthornlink_core::ZoneTag;
use buckthornlink_core::datagram::Event;
use buckthornlink_core::member::ZoneRecord;
use buckthornlink_platform::{
    Change, Entry, INSTANCES_PREFIX, InstanceEntry, Revision, Store, StoreError, Watch,
};

use crate::metrics::Metrics;
use crate::{Adapter, Inbox, Record};

/// Pauses between tries while the store does not answer.
const RETRY_MIN: Duration = Duration::from_millis(150);
const RETRY_MAX: Duration = Duration::from_secs(2);
/// Pauses before the instances' entries are read.
const INSTANCE_DELAYS: [Duration; 2] = [Duration::ZERO, Duration::from_millis(1_500)];
/// Time after which a process that does not watch looks for changes all the same.
const POLL_INTERVAL: Duration = Duration::from_mins(2);
/// Most records that are read at once.
const MAX_RECORDS: u32 = 10_000;

/// Reads the operators' records, and watches them while `watching` says so, for ever.
pub(crate) async fn follow<A: Adapter>(
    adapter: A,
    store: A::Store,
    inbox: Inbox,
    metrics: Metrics,
    mut watching: watch::Receiver<bool>,
) {
    let mut follower = Follower {
        adapter,
        store,
        inbox,
        metrics,
        out: BTreeSet::new(),
        is_lost: false,
    };
    let mut pause = RETRY_MIN;
    loop {
        let err = tokio::select! {
            err = follower.watch(&mut pause, watching.clone()) => err,
            () = stopped(&mut watching) => continue,
        };
        follower.lose(&err);
        sleep(pause).await;
        pause = (pause * 2).min(RETRY_MAX);
    }
}

/// Waits until a process that watches is to stop; for ever if it does not watch.
async fn stopped(watching: &mut watch::Receiver<bool>) {
    for state in [true, false] {
        if watching
            .wait_for(|&watching| watching == state)
            .await
            .is_err()
        {
            std::future::pending::<()>().await;
        }
    }
}

/// Reads which instances have an entry in the store: at the start, and again once others that
/// started at the same time have written theirs.
pub(crate) async fn find_instances<S: Store>(store: S, inbox: Inbox) {
    for delay in INSTANCE_DELAYS {
        sleep(delay).await;
        let mut pause = RETRY_MIN;
        while read_instances(&store, &inbox).await.is_err() {
            sleep(pause).await;
            pause = (pause * 2).min(RETRY_MAX);
        }
    }
}

async fn read_instances<S: Store>(store: &S, inbox: &Inbox) -> Result<(), StoreError> {
    let (entries, _) = store.range(INSTANCES_PREFIX, MAX_RECORDS).await?;
    let parsed = entries.iter().filter_map(read_instance);
    let (agents, balancers): (Vec<_>, Vec<_>) = parsed.partition(|entry| entry.agent);
    let ips = |entries: &[InstanceEntry]| entries.iter().map(|e| e.ip).collect();
    inbox.send(Event::Contacts(ips(&balancers)));
    inbox.send(Event::RegisteredAgents(ips(&agents)));
    Ok(())
}

fn read_instance(entry: &Entry) -> Option<InstanceEntry> {
    serde_json::from_slice(&entry.value).ok()
}

struct Follower<A: Adapter> {
    adapter: A,
    store: A::Store,
    inbox: Inbox,
    metrics: Metrics,
    out: BTreeSet<ZoneTag>,
    is_lost: bool,
}

impl<A: Adapter> Follower<A> {
    /// Reads all records, and watches for changes until that fails or the process is to stop.
    async fn watch(
        &mut self,
        pause: &mut Duration,
        mut watching: watch::Receiver<bool>,
    ) -> StoreError {
        let start = Instant::now();
        let result = self.read_all().await;
        let outcome = if result.is_ok() { "ok" } else { "failed" };
        self.metrics.observe_store(outcome, start.elapsed());
        let revision = match result {
            Ok(revision) => revision,
            Err(err) => return err,
        };
        self.regain();
        *pause = RETRY_MIN;
        let _ = timeout(POLL_INTERVAL, watching.wait_for(|&watching| watching)).await;
        self.inbox.send(Event::StoreReachable(true));
        let prefix = self.adapter.records_prefix();
        let mut watch = match self.store.watch(prefix, revision).await {
            Ok(watch) => watch,
            Err(err) => return err,
        };
        loop {
            match watch.next().await {
                Ok(changes) => changes.iter().for_each(|change| self.report(change)),
                Err(err) => return err,
            }
        }
    }

    async fn read_all(&mut self) -> Result<Revision, StoreError> {
        let prefix = self.adapter.records_prefix();
        let (entries, revision) = self.store.range(prefix, MAX_RECORDS).await?;
        let mut standing = BTreeSet::new();
        for entry in &entries {
            standing.extend(self.put(entry));
        }
        let returned: Vec<ZoneTag> = self.out.difference(&standing).copied().collect();
        for zone in returned {
            self.zone(zone, false, revision);
        }
        Ok(revision)
    }

    fn report(&mut self, change: &Change) {
        match change {
            Change::Put(entry) => {
                self.put(entry);
            }
            Change::Delete { key, revision } => {
                if let Some(zone) = self.adapter.zone_of(key) {
                    self.zone(zone, false, *revision);
                }
            }
        }
    }

    /// Reports a record; returns the zone that it takes out of service, if any.
    fn put(&mut self, entry: &Entry) -> Option<ZoneTag> {
        match self.adapter.read_record(&entry.key, &entry.value) {
            Some(Record::Config(table)) => {
                self.inbox.send(Event::Table(Arc::new(table)));
                None
            }
            Some(Record::ZoneOut(zone)) => {
                self.zone(zone, true, entry.revision);
                Some(zone)
            }
            None => {
                log::warn!(key = entry.key; "record in the store is malformed");
                None
            }
        }
    }

    fn zone(&mut self, zone: ZoneTag, out: bool, revision: Revision) {
        if out {
            self.out.insert(zone);
        } else {
            self.out.remove(&zone);
        }
        let seq = u64::try_from(revision.0).unwrap_or(0);
        self.inbox.send(Event::Zone(ZoneRecord { zone, seq, out }));
    }

    fn lose(&mut self, err: &StoreError) {
        if !self.is_lost {
            self.is_lost = true;
            log::warn!(err:% = err; "store is lost");
        }
        self.inbox.send(Event::StoreReachable(false));
    }

    fn regain(&mut self) {
        if self.is_lost {
            self.is_lost = false;
            log::info!("store is regained");
        }
    }
}
