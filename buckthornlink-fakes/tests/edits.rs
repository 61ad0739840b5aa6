//! Edits against a store with faults: an edit that is reported as accepted is in the store, and of
//! concurrent edits exactly one wins.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use buckthornlink_core::{Verdict, Version};
use buckthornlink_fakes::{FakeStore, Preset};
use buckthornlink_platform::{
    Catalog, EditError, EditTime, EtcdStore, Revision, Store, StoreError, SwapOutcome,
};

const EDIT_TIMEOUT: Duration = Duration::from_secs(5);

/// A store, and a catalog whose clock stands still, so that edits are numbered from 1.
async fn spawn_store() -> (FakeStore, Catalog<EtcdStore>) {
    let addr = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    let store = FakeStore::spawn(addr).await.unwrap();
    let catalog = Catalog::with_clock(EtcdStore::new(store.url()), || EditTime(0));
    (store, catalog)
}

fn config_text() -> String {
    Preset::Carpatia.config_text()
}

#[tokio::test]
async fn a_lost_response_is_resolved_by_the_edit_id() {
    let (store, catalog) = spawn_store().await;
    store.lose_responses(1);
    let accepted = catalog
        .apply(&config_text(), None, "e1", "ana", EDIT_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(accepted.record.version, Version(1));
    let current = catalog.config().await.unwrap().unwrap();
    assert_eq!(current.record, accepted.record);
    assert_eq!(catalog.find_edit("e1").await.unwrap(), Some(Version(1)));
    assert_eq!(catalog.find_edit("e2").await.unwrap(), None);
}

#[tokio::test]
async fn a_zone_edit_with_lost_responses_is_applied_once() {
    let (store, catalog) = spawn_store().await;
    catalog
        .apply(&config_text(), None, "e1", "ana", EDIT_TIMEOUT)
        .await
        .unwrap();
    store.lose_responses(2);
    let accepted = catalog
        .set_zone("brasov-1", true, "z1", "ana", EDIT_TIMEOUT)
        .await
        .unwrap();
    assert_eq!((accepted.record.seq, accepted.record.out), (1, true));
    assert_eq!(catalog.zones().await.unwrap().0.len(), 1);
}

#[tokio::test]
async fn a_conflicting_edit_reports_the_edit_that_won() {
    let (_store, catalog) = spawn_store().await;
    catalog
        .apply(&config_text(), None, "e1", "ana", EDIT_TIMEOUT)
        .await
        .unwrap();
    let other = config_text().replace("\"slots\": 8", "\"slots\": 6");
    catalog
        .apply(&other, Some(Version(1)), "e2", "ben", EDIT_TIMEOUT)
        .await
        .unwrap();
    let mine = config_text().replace("\"queue\": 64", "\"queue\": 32");
    let refused = catalog
        .apply(&mine, Some(Version(1)), "e3", "ana", EDIT_TIMEOUT)
        .await;
    let err = refused.unwrap_err();
    assert_eq!(err.verdict(), Verdict::NotRun);
    let EditError::Conflict {
        editor,
        version,
        delta,
    } = err
    else {
        panic!("expected a conflict, got {err}");
    };
    assert_eq!((editor.as_str(), version), ("ben", Version(2)));
    assert_eq!(delta.changed.len(), 2);
    assert_eq!(catalog.find_edit("e3").await.unwrap(), None);
}

#[tokio::test]
async fn exactly_one_of_many_concurrent_edits_wins() {
    let (_store, catalog) = spawn_store().await;
    catalog
        .apply(&config_text(), None, "e0", "ana", EDIT_TIMEOUT)
        .await
        .unwrap();
    let tasks = (1..=8).map(|i| {
        let catalog = catalog.clone();
        tokio::spawn(async move {
            let edit = format!("e{i}");
            catalog
                .apply(
                    &config_text(),
                    Some(Version(1)),
                    &edit,
                    "racer",
                    EDIT_TIMEOUT,
                )
                .await
                .is_ok()
        })
    });
    let mut wins = 0;
    for task in tasks.collect::<Vec<_>>() {
        wins += u32::from(task.await.unwrap());
    }
    assert_eq!(wins, 1);
    assert_eq!(
        catalog.config().await.unwrap().unwrap().record.version,
        Version(2)
    );
}

#[tokio::test]
async fn an_invalid_config_is_never_written() {
    let (store, catalog) = spawn_store().await;
    let invalid = config_text().replace("\"ledger\"", "\"token\"");
    let err = catalog
        .apply(&invalid, None, "e1", "ana", EDIT_TIMEOUT)
        .await
        .unwrap_err();
    assert!(matches!(err, EditError::Invalid(_)), "{err}");
    assert_eq!(store.call_counts(), (0, 0));
}

#[tokio::test]
async fn an_unknown_zone_is_refused() {
    let (_store, catalog) = spawn_store().await;
    catalog
        .apply(&config_text(), None, "e1", "ana", EDIT_TIMEOUT)
        .await
        .unwrap();
    let err = catalog
        .set_zone("atlantis", true, "z1", "ana", EDIT_TIMEOUT)
        .await
        .unwrap_err();
    assert!(matches!(err, EditError::UnknownZone(_)), "{err}");
}

#[tokio::test]
async fn an_unreachable_store_means_not_run_and_lost_responses_mean_may_have_run() {
    let unreachable = Catalog::new(EtcdStore::new("http://127.0.0.1:9"));
    let err = unreachable
        .apply(&config_text(), None, "e1", "ana", Duration::ZERO)
        .await
        .unwrap_err();
    assert_eq!(err.verdict(), Verdict::NotRun);
    let (store, catalog) = spawn_store().await;
    store.lose_responses(u32::MAX);
    let err = catalog
        .apply(&config_text(), None, "e1", "ana", Duration::ZERO)
        .await
        .unwrap_err();
    assert_eq!(err.verdict(), Verdict::MayHaveRun);
    assert!(err.to_string().contains("show --edit e1"), "{err}");
}

#[tokio::test]
async fn revoking_a_lease_deletes_its_keys() {
    let (_store, catalog) = spawn_store().await;
    let store = catalog.store();
    let lease = store.grant(Duration::from_secs(30)).await.unwrap();
    store.put_leased("/k", b"v", lease).await.unwrap();
    assert!(!store.renew(lease).await.unwrap().is_zero());
    store.revoke(lease).await.unwrap();
    assert_eq!(store.get("/k").await.unwrap(), None);
    assert!(store.renew(lease).await.unwrap().is_zero());
}

#[tokio::test]
async fn compare_and_swap_checks_the_revision() -> Result<(), StoreError> {
    let (_store, catalog) = spawn_store().await;
    let store = catalog.store();
    assert_eq!(
        store
            .compare_and_swap("/k", b"1", Revision::default())
            .await?,
        SwapOutcome::Done
    );
    let SwapOutcome::Conflict(Some(entry)) = store
        .compare_and_swap("/k", b"2", Revision::default())
        .await?
    else {
        panic!("expected a conflict on the second creation");
    };
    assert_eq!(entry.value, b"1");
    assert_eq!(
        store.compare_and_swap("/k", b"2", entry.revision).await?,
        SwapOutcome::Done
    );
    Ok(())
}
