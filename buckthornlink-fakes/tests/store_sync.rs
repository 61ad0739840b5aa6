//! Processes that follow the operators' records while the store or the connections to it fail.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

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
    versions: flume::Receiver<Version>,
    _sync: StoreSync,
}

impl Follower {
    async fn start() -> Self {
        let addr = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        let store = FakeStore::spawn(addr).await.unwrap();
        let (sender, versions) = flume::unbounded();
        let sync = StoreSync::spawn(EtcdStore::new(store.url()), move |update| {
            if let Update::Config { version, .. } = update {
                let _ = sender.send(version);
            }
        });
        sync.set_watching(true);
        Self {
            catalog: Catalog::new(EtcdStore::new(store.url())),
            store,
            versions,
            _sync: sync,
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
        let read = async { while self.versions.recv_async().await != Ok(version) {} };
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
