//! Reads the operators' records from the store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::Event;
use buckthornlink_core::member::{ZoneRecord, ZoneSeq, ZoneSnapshot};
use buckthornlink_node::backoff::{Backoff, jittered};
use buckthornlink_platform::{Change, Entry, Epoch, Position, Revision, Store, StoreError, Watch};

use crate::metrics::{Metrics, StoreCall};
use crate::{Adapter, Record, ReducerHandle};

/// Target of the log records of this module. Operators name it in the filters of `log.level`, so
/// it is kept although the module has another name.
const LOG_TARGET: &str = "buckthornlink_datagram::follow";
/// Limits of the exponential delay between attempts while calls to the store fail.
pub(crate) const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);
pub(crate) const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Maximum time for which the first read waits until the number of instances is known.
const COUNT_TIMEOUT: Duration = Duration::from_millis(100);
/// First reads of all instances together in a second, if all start at once; the store takes about
/// twice as many calls.
const FIRST_READ_RATE: u32 = 1_000;
/// Mean interval between reads of a process that does not watch the store.
const POLL_INTERVAL: Duration = Duration::from_mins(2);
/// Limit of entries for each range read of the store.
const MAX_ENTRIES: u32 = 10_000;

/// Reads the operators' records, then watches them for changes while `watching` is true, and reads them at
/// long intervals otherwise. Starts over when a call to the store fails. The first read waits for its turn
/// among the number of instances in `paced_by`, if there is one. Never returns.
pub(crate) async fn sync_records<A: Adapter>(
    adapter: A,
    store: A::Store,
    handle: ReducerHandle,
    metrics: Metrics,
    mut watching: watch::Receiver<bool>,
    paced_by: Option<watch::Receiver<Option<u32>>>,
) {
    if let Some(total) = paced_by {
        wait_for_turn(total).await;
    }
    let mut sync = RecordSync {
        adapter,
        store,
        handle,
        metrics,
        epoch: Epoch::default(),
        last_answer: Instant::now(),
        has_read: false,
        is_unreachable: false,
    };
    let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    loop {
        let err = tokio::select! {
            err = sync.watch_store(&mut backoff, watching.clone()) => err,
            () = watching_stopped(&mut watching) => continue,
        };
        sync.report_unreachable(&err).await;
        tokio::select! {
            () = sleep(backoff.next_delay()) => {}
            () = watching_started(&mut watching) => {}
        }
    }
}

/// Waits for the turn of this instance among those that may all have started at once, whose number
/// `total` holds once it is known.
pub(crate) async fn wait_for_turn(mut total: watch::Receiver<Option<u32>>) {
    let counted = timeout(COUNT_TIMEOUT, total.wait_for(Option::is_some)).await;
    let total = counted.ok().and_then(|total| *total.ok()?);
    let share = rand::rng().random_range(0.0..1.0);
    sleep(first_read_delay(total.unwrap_or_default(), share)).await;
}

/// Time until the first read of an instance: none in a small fleet, otherwise one of the seconds after
/// the first, which is left to balancers. `share` is a random number below 1.
fn first_read_delay(total: u32, share: f64) -> Duration {
    if total <= FIRST_READ_RATE {
        return Duration::ZERO;
    }
    let span = Duration::from_secs(1) * total / FIRST_READ_RATE;
    Duration::from_secs(1) + span.mul_f64(share)
}

/// Age of an answer to a watch that took `elapsed`, of which the store may have waited for changes for `max_wait`.
fn max_answer_age(elapsed: Duration, max_wait: Option<Duration>) -> Duration {
    max_wait.map_or(Duration::ZERO, |wait| elapsed.saturating_sub(wait))
}

/// Waits until `watching` changes from true to false; forever if its sender is dropped.
async fn watching_stopped(watching: &mut watch::Receiver<bool>) {
    wait_for_state(watching, true).await;
    wait_for_state(watching, false).await;
}

/// Waits until `watching` changes from false to true; forever if its sender is dropped.
async fn watching_started(watching: &mut watch::Receiver<bool>) {
    wait_for_state(watching, false).await;
    wait_for_state(watching, true).await;
}

/// Waits until `watching` is `state`; forever if its sender is dropped, as when the process stops.
async fn wait_for_state(watching: &mut watch::Receiver<bool>, state: bool) {
    if watching.wait_for(|&w| w == state).await.is_err() {
        std::future::pending::<()>().await;
    }
}

struct RecordSync<A: Adapter> {
    adapter: A,
    store: A::Store,
    handle: ReducerHandle,
    metrics: Metrics,
    /// Epoch of the latest read.
    epoch: Epoch,
    /// When the store last answered; at first, when the task started.
    last_answer: Instant,
    /// Whether the records have been read once.
    has_read: bool,
    is_unreachable: bool,
}

impl<A: Adapter> RecordSync<A> {
    /// Reads all records until `watching` is true, then reports changes. Returns the error of the
    /// first call to the store that fails.
    async fn watch_store(
        &mut self,
        backoff: &mut Backoff,
        mut watching: watch::Receiver<bool>,
    ) -> StoreError {
        let result = self.read_until_watching(backoff, &mut watching).await;
        let position = match result {
            Ok(position) => position,
            Err(err) => return err,
        };
        let prefix = self.adapter.records_prefix();
        let mut watch = match self.store.watch(prefix, position).await {
            Ok(watch) => watch,
            Err(err) => return err,
        };
        loop {
            self.metrics.count_store_call(StoreCall::WatchRecords);
            let start = Instant::now();
            match watch.next().await {
                Ok(changes) => {
                    for change in &changes {
                        self.report_change(change).await;
                    }
                }
                Err(err) => return err,
            }
            let age = max_answer_age(start.elapsed(), watch.max_wait());
            self.report_answer(age).await;
        }
    }

    /// Reads all records at once if this process never did, and about every [`POLL_INTERVAL`] until
    /// `watching` is true. The last read is recent then, so that a watch can start from its revision.
    ///
    /// An instance that stops watching, or whose call fails while it need not watch, does not read at once:
    /// others tell it, and it watches again if they do not.
    async fn read_until_watching(
        &mut self,
        backoff: &mut Backoff,
        watching: &mut watch::Receiver<bool>,
    ) -> Result<Position, StoreError> {
        loop {
            if self.has_read {
                let _ = timeout(jittered(POLL_INTERVAL), wait_for_state(watching, true)).await;
            }
            let is_watching = *watching.borrow_and_update();
            let start = Instant::now();
            let result = self.read_all().await;
            let outcome = if result.is_ok() { "ok" } else { "failed" };
            self.metrics.observe_store(outcome, start.elapsed());
            let position = result?;
            self.has_read = true;
            backoff.reset();
            self.report_answer(start.elapsed()).await;
            if is_watching {
                return Ok(position);
            }
        }
    }

    async fn read_all(&mut self) -> Result<Position, StoreError> {
        let prefix = self.adapter.records_prefix();
        self.metrics.count_store_call(StoreCall::ReadRecords);
        let (entries, position) = self.store.range(prefix, MAX_ENTRIES).await?;
        self.record_epoch(position.epoch);
        let mut zones_out = Vec::new();
        for entry in &entries {
            zones_out.extend(self.report_record(entry).await);
        }
        let seq = self.zone_seq(position.revision);
        let snapshot = ZoneSnapshot { zones_out, seq };
        self.handle.deliver(Event::Zones(snapshot)).await;
        Ok(position)
    }

    /// Takes note of the epoch of a read; logs that the store has been restored.
    fn record_epoch(&mut self, epoch: Epoch) {
        let is_restored = self.epoch != Epoch::default() && epoch != self.epoch;
        if is_restored {
            let age_ms = self.age_ms();
            log::warn!(target: LOG_TARGET, epoch = epoch.0, age_ms = age_ms; "store was restored");
        }
        self.epoch = epoch;
        self.metrics.set_store_epoch(epoch.0);
    }

    async fn report_change(&mut self, change: &Change) {
        match change {
            Change::Put(entry) => {
                if let Some(record) = self.report_record(entry).await {
                    self.handle.deliver(Event::Zone(record)).await;
                }
            }
            Change::Delete { key, revision } => {
                if let Some(zone) = self.adapter.zone_of(key) {
                    let seq = self.zone_seq(*revision);
                    let out = false;
                    let record = ZoneRecord { zone, seq, out };
                    self.handle.deliver(Event::Zone(record)).await;
                }
            }
        }
    }

    /// Reports a configuration; returns the record of a zone that is out of service.
    async fn report_record(&self, entry: &Entry) -> Option<ZoneRecord> {
        match self.adapter.parse_record(&entry.key, &entry.value) {
            Some(Record::Config(table)) => {
                self.handle.deliver(Event::Table(Arc::new(table))).await;
                None
            }
            Some(Record::ZoneOut(zone)) => Some(ZoneRecord {
                zone,
                seq: self.zone_seq(entry.revision),
                out: true,
            }),
            None => {
                log::warn!(
                    target: LOG_TARGET,
                    key = entry.key;
                    "ignoring an unknown or malformed record in the store"
                );
                None
            }
        }
    }

    /// Position of an edit at this revision of the latest read's epoch.
    fn zone_seq(&self, revision: Revision) -> ZoneSeq {
        ZoneSeq {
            epoch: self.epoch.0,
            number: u64::try_from(revision.0).unwrap_or(0),
        }
    }

    /// Logs the first of a series of failures; `age_ms` is the time since the store last answered.
    async fn report_unreachable(&mut self, err: &StoreError) {
        if !self.is_unreachable {
            self.is_unreachable = true;
            log::warn!(target: LOG_TARGET, err:% = err, age_ms = self.age_ms(); "store is lost");
        }
        self.handle.deliver(Event::StoreFailed).await;
    }

    /// Reports that the store answered, at most `age` ago: a read shows what it holds since the call, or later.
    async fn report_answer(&mut self, age: Duration) {
        if self.is_unreachable {
            self.is_unreachable = false;
            log::info!(target: LOG_TARGET, age_ms = self.age_ms(); "store is regained");
        }
        self.last_answer = Instant::now();
        let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        self.handle.deliver(Event::StoreAnswered(Millis(age))).await;
    }

    fn age_ms(&self) -> u64 {
        u64::try_from(self.last_answer.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

#[cfg(test)]
#[path = "../tests/unit/store_sync.rs"]
mod tests;
