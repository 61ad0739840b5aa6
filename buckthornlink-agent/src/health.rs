//! Polls the backend server's health and load endpoints.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

use buckthornlink_core::agent::Event;

use crate::backend::BackendClient;
use crate::executor::Job;
use crate::metrics::Metrics;
use crate::settings::BackendSettings;

const POLL_INTERVAL: Duration = Duration::from_millis(500);
const POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// Polls both endpoints until the task is aborted, and reports health to the reducer.
pub(crate) async fn poll(
    backend: BackendClient,
    settings: BackendSettings,
    jobs: flume::Sender<Job>,
    metrics: Arc<Metrics>,
) {
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let response = backend.probe(&settings.health, POLL_TIMEOUT).await;
        let is_up = response.is_some_and(|r| r.status.is_success());
        metrics.backend_up.set(i64::from(is_up));
        let _ = jobs.send_async(Job::Event(Event::Health { is_up })).await;
        let load = backend.probe(&settings.load, POLL_TIMEOUT).await;
        let load = load.and_then(|a| String::from_utf8(a.body.to_vec()).ok());
        if let Some(load) = load.and_then(|text| text.trim().parse().ok()) {
            metrics.backend_load.set(load);
        }
    }
}
