//! Edits against a store with faults: "accepted" is always true, and one racer wins.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use buckthornlink_core::{Verdict, Version};
use buckthornlink_fakes::{FakeStore, Preset};
use buckthornlink_platform::{
    Catalog, EditError, EtcdStore, Revision, Store, StoreError, SwapOutcome,
};

const EDIT_TIMEOUT: Duration = Duration::from_secs(5);

async fn open() -> (FakeStore, Catalog<EtcdStore>) {
    let addr = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    let store = FakeStore::spawn(addr).await.unwrap();
    let catalog = Catalog::new(EtcdStore::new(store.url()));
    (store, catalog)
}

fn text() -> String {
    Preset::Carpatia.config_text()
}

#[tokio::test]
async fn a_lost_answer_is_resolved_by_the_edit_id() {
    let (store, catalog) = open().await;
    store.lose_responses(1);
    let accepted = catalog
        .apply(&text(), None, "e1", "ana", EDIT_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(accepted.record.version, Version(1));
    let current = catalog.config().await.unwrap().unwrap();
    assert_eq!(current.record, accepted.record);
    assert_eq!(catalog.find_edit("e1").await.unwrap(), Some(Version(1)));
    assert_eq!(catalog.find_edit("e2").await.unwrap(), None);
}

#[tokio::test]
async fn a_zone_edit_with_a_lost_answer_counts_once() {
    let (store, catalog) = open().await;
    catalog
        .apply(&text(), None, "e1", "ana", EDIT_TIMEOUT)
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
async fn the_loser_of_a_race_is_told_what_won() {
    let (_store, catalog) = open().await;
    catalog
        .apply(&text(), None, "e1", "ana", EDIT_TIMEOUT)
        .await
        .unwrap();
    let other = text().replace("\"slots\": 8", "\"slots\": 6");
    catalog
        .apply(&other, Some(Version(1)), "e2", "ben", EDIT_TIMEOUT)
        .await
        .unwrap();
    let mine = text().replace("\"queue\": 64", "\"queue\": 32");
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
async fn of_many_racers_from_one_base_exactly_one_wins() {
    let (_store, catalog) = open().await;
    catalog
        .apply(&text(), None, "e0", "ana", EDIT_TIMEOUT)
        .await
        .unwrap();
    let racers = (1..=8).map(|i| {
        let catalog = catalog.clone();
        tokio::spawn(async move {
            let edit = format!("e{i}");
            catalog
                .apply(&text(), Some(Version(1)), &edit, "racer", EDIT_TIMEOUT)
                .await
                .is_ok()
        })
    });
    let mut wins = 0;
    for racer in racers.collect::<Vec<_>>() {
        wins += u32::from(racer.await.unwrap());
    }
    assert_eq!(wins, 1);
    assert_eq!(
        catalog.config().await.unwrap().unwrap().record.version,
        Version(2)
    );
}

#[tokio::test]
async fn a_faulty_text_is_never_written() {
    let (store, catalog) = open().await;
    let faulty = text().replace("\"ledger\"", "\"token\"");
    let err = catalog
        .apply(&faulty, None, "e1", "ana", EDIT_TIMEOUT)
        .await
        .unwrap_err();
    assert!(matches!(err, EditError::Invalid(_)), "{err}");
    assert_eq!(store.call_counts(), (0, 0));
}

#[tokio::test]
async fn an_unknown_zone_is_refused() {
    let (_store, catalog) = open().await;
    catalog
        .apply(&text(), None, "e1", "ana", EDIT_TIMEOUT)
        .await
        .unwrap();
    let err = catalog
        .set_zone("atlantis", true, "z1", "ana", EDIT_TIMEOUT)
        .await
        .unwrap_err();
    assert!(matches!(err, EditError::UnknownZone(_)), "{err}");
}

#[tokio::test]
async fn an_unreachable_store_means_not_run_and_a_silent_one_unknown() {
    let nowhere = Catalog::new(EtcdStore::new("http://127.0.0.1:9"));
    let err = nowhere
        .apply(&text(), None, "e1", "ana", Duration::ZERO)
        .await
        .unwrap_err();
    assert_eq!(err.verdict(), Verdict::NotRun);
    let (store, catalog) = open().await;
    store.lose_responses(u32::MAX);
    let err = catalog
        .apply(&text(), None, "e1", "ana", Duration::ZERO)
        .await
        .unwrap_err();
    assert_eq!(err.verdict(), Verdict::MayHaveRun);
    assert!(err.to_string().contains("show --edit e1"), "{err}");
}

#[tokio::test]
async fn leases_take_their_keys_along() {
    let (_store, catalog) = open().await;
    let store = catalog.store();
    let lease = store.grant(Duration::from_secs(30)).await.unwrap();
    store.put_leased("/k", b"v", lease).await.unwrap();
    assert!(!store.renew(lease).await.unwrap().is_zero());
    store.revoke(lease).await.unwrap();
    assert_eq!(store.get("/k").await.unwrap(), None);
    assert!(store.renew(lease).await.unwrap().is_zero());
}

#[tokio::test]
async fn a_swap_compares_the_revision() -> Result<(), StoreError> {
    let (_store, catalog) = open().await;
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
        panic!("a second creation conflicts");
    };
    assert_eq!(entry.value, b"1");
    assert_eq!(
        store.compare_and_swap("/k", b"2", entry.revision).await?,
        SwapOutcome::Done
    );
    Ok(())
}
