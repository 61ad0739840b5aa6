//! Processes that follow the operators' records while the store or the connections to it fail.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use buckthornlink_core::Version;
use buckthornlink_fakes::{FakeStore, Preset};
use buckthornlink_node::store_sync::{StoreSync, Update};
use buckthornlink_platform::{
    BALANCERS_PREFIX, Catalog, EtcdStore, Revision, Store, SwapOutcome, ZONES_PREFIX,
};
use tokio::time::{sleep, timeout};

const EDIT_TIMEOUT: Duration = Duration::from_secs(5);
const STARTUP_TIME: Duration = Duration::from_secs(1);
/// Time in which an edit must be in force everywhere (6 s), less the time in which it reaches all
/// agents from a process that has read it (2.4 s).
const READ_TIME: Duration = Duration::from_millis(3_600);

/// A process that watches a store, and the versions that it reads.
struct Follower {
    store: FakeStore,
    catalog: Catalog<EtcdStore>,
    updates: flume::Receiver<Update>,
    sync: StoreSync,
}

impl Follower {
    async fn start() -> Self {
        Self::with_capacity(1_000).await
    }

    /// A process whose queue has room for `capacity` updates.
    async fn with_capacity(capacity: usize) -> Self {
        let addr = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        let store = FakeStore::spawn(addr).await.unwrap();
        let (sender, updates) = flume::bounded(capacity);
        let sync = StoreSync::spawn(EtcdStore::new(store.url()), sender);
        sync.set_watching(true);
        Self {
            catalog: Catalog::new(EtcdStore::new(store.url())),
            store,
            updates,
            sync,
        }
    }

    async fn apply(&self, edit_id: &str) -> Version {
        let text = Preset::Carpatia.config_text();
        let accepted = self
            .catalog
            .apply(&text, None, edit_id, "ana", EDIT_TIMEOUT)
            .await;
        accepted.unwrap().record.version
    }

    async fn reads(&self, version: Version) -> bool {
        let is_read = |u: &Update| matches!(u, Update::Config { version: v, .. } if *v == version);
        self.reports(is_read).await
    }

    /// Whether an update is reported in time that is as described.
    async fn reports(&self, is_as_described: impl Fn(&Update) -> bool) -> bool {
        let read = async {
            loop {
                let update = self.updates.recv_async().await;
                if update.is_ok_and(|u| is_as_described(&u)) {
                    return;
                }
            }
        };
        timeout(READ_TIME, read).await.is_ok()
    }
}

/// Guards against a watch that waits for an event on a silent connection for longer than an edit
/// may take to be in force.
#[tokio::test]
async fn an_edit_is_read_although_the_watch_has_fallen_silent() {
    let follower = Follower::start().await;
    let first = follower.apply("e1").await;
    assert!(follower.reads(first).await);
    sleep(STARTUP_TIME).await;
    follower.store.silence_watches();
    let second = follower.apply("e2").await;
    assert!(follower.reads(second).await);
}

/// Guards against one malformed record, left by another writer, that ends the reading of all others.
#[tokio::test]
async fn a_malformed_record_does_not_hide_the_others() {
    let follower = Follower::start().await;
    let value = "[".repeat(200);
    for prefix in [ZONES_PREFIX, BALANCERS_PREFIX] {
        let key = format!("{prefix}odd");
        let store = follower.catalog.store();
        let written = store
            .compare_and_swap(&key, value.as_bytes(), Revision(0))
            .await;
        assert_eq!(written.unwrap(), SwapOutcome::Done);
    }
    let version = follower.apply("e1").await;
    assert!(follower.reads(version).await);
    assert_eq!(follower.catalog.zones().await.unwrap().0, []);
    assert_eq!(follower.catalog.balancers(10).await.unwrap(), []);
}

/// Guards against a watch that waits for revisions which the restored store has yet to give out, and
/// misses the changes until then.
#[tokio::test]
async fn a_watch_of_a_restored_store_is_opened_anew() {
    let follower = Follower::start().await;
    let copy = follower.store.copy();
    for edit_id in ["e1", "e2", "e3", "e4"] {
        let version = follower.apply(edit_id).await;
        assert!(follower.reads(version).await);
    }
    follower.store.restore(copy);
    let version = follower.apply("e5").await;
    assert!(follower.reads(version).await);
}

/// Guards against an edit that no process puts in force, as its version was given out before the
/// store was restored.
#[tokio::test]
async fn an_edit_after_a_restore_supersedes_the_lost_ones() {
    let follower = Follower::start().await;
    follower.apply("e1").await;
    let copy = follower.store.copy();
    let lost = follower.apply("e2").await;
    assert!(follower.reads(lost).await);
    follower.store.restore(copy);
    assert!(follower.apply("e3").await > lost);
}

/// Guards against knowledge that counts as young since events arrive, though they were held up, and against
/// knowledge that grows old on a calm day.
#[tokio::test]
async fn only_answers_to_questions_tell_how_old_the_knowledge_is() {
    let follower = Follower::start().await;
    let version = follower.apply("e1").await;
    assert!(follower.reads(version).await);
    sleep(STARTUP_TIME).await;
    let asked_at = Instant::now();
    let is_later = |u: &Update| matches!(u, Update::Answered(at) if *at >= asked_at);
    assert!(follower.reports(is_later).await);
    follower.store.silence_watches();
    let silenced_at = Instant::now();
    follower.apply("e2").await;
    let has_failed = |u: &Update| *u == Update::Failed;
    let is_confirmed = |u: &Update| matches!(u, Update::Answered(at) if *at >= silenced_at);
    let is_either = |u: &Update| has_failed(u) || is_confirmed(u);
    let first = timeout(READ_TIME, async {
        loop {
            let update = follower.updates.recv_async().await.unwrap();
            if is_either(&update) {
                return update;
            }
        }
    });
    assert_eq!(first.await.unwrap(), Update::Failed);
}

/// Guards against a busy process that takes an answer for knowledge of records that it has dropped.
#[tokio::test]
async fn records_wait_for_room_in_the_queue() {
    let follower = Follower::with_capacity(1).await;
    sleep(STARTUP_TIME).await;
    let version = follower.apply("e1").await;
    sleep(STARTUP_TIME).await;
    assert!(follower.reads(version).await);
}

/// Guards against a process that reads the store at once after it was told to stop watching it, as do all
/// others in an outage.
#[tokio::test]
async fn a_process_that_stops_watching_makes_no_call() {
    let follower = Follower::start().await;
    let version = follower.apply("e1").await;
    assert!(follower.reads(version).await);
    follower.sync.set_watching(false);
    sleep(STARTUP_TIME).await;
    let is_any = |_: &Update| true;
    while follower.updates.try_recv().is_ok() {}
    assert!(!follower.reports(is_any).await);
    follower.sync.set_watching(true);
    assert!(follower.reads(version).await);
}
