//! Balancers that are left when all that watched the store are lost.

use std::time::{Duration, Instant};

use buckthornlink::balancer::Balancer;
use buckthornlink_fakes::{Fleet, Preset};
use tokio::time::{sleep, timeout};

/// Balancers of the fleet, in four zones.
const BALANCERS: usize = 12;
/// Balancers that watch the store once all know each other: two in each of four zones.
const WATCHERS: usize = 8;
/// Time in which that is so.
const SETTLE_TIME: Duration = Duration::from_mins(1);
/// Time in which a balancer knows an edit: 6 s, less the time in which its agents hear of it.
const KNOWN_TIME: Duration = Duration::from_millis(3_600);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Guards against balancers that wait until the lost ones are taken for silent, 30 s later.
#[tokio::test(flavor = "multi_thread")]
async fn balancers_know_an_edit_in_time_after_the_loss_of_all_that_watched_the_store() {
    let mut fleet = Fleet::spawn(Preset::Carpatia, 7).await.unwrap();
    let text = fleet.config_text();
    fleet.apply(&text).await.unwrap();
    while fleet.balancers().len() < BALANCERS {
        fleet.add_balancer().await.unwrap();
    }
    let settled = timeout(SETTLE_TIME, async {
        while count_watchers(&fleet) > WATCHERS {
            sleep(POLL_INTERVAL).await;
        }
    });
    settled.await.unwrap();
    fleet.kill_balancers(Balancer::is_watching);
    assert_eq!(fleet.balancers().len(), BALANCERS - WATCHERS);
    let edit = text.replace("\"slots\": 8", "\"slots\": 6");
    let version = fleet.apply(&edit).await.unwrap();
    let accepted_at = Instant::now();
    while !fleet
        .balancers()
        .iter()
        .all(|(_, b)| b.version() >= version)
    {
        let elapsed = accepted_at.elapsed();
        assert!(elapsed <= KNOWN_TIME, "not known after {elapsed:?}");
        sleep(POLL_INTERVAL).await;
    }
}

fn count_watchers(fleet: &Fleet) -> usize {
    let watchers = fleet.balancers().iter().filter(|(_, b)| b.is_watching());
    watchers.count()
}
