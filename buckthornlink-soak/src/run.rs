//! One run: starts the programs and the endpoints of flows, injects faults and reports violations.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

use crate::cluster::Cluster;
use crate::invariants::Summary;
use crate::plan::{Scenario, generate};
use crate::shape::Shape;
use crate::topology::Topology;

/// Interval at which processes are checked for unexpected exits.
const PROCESS_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Directory of the programs.
    pub program_dir: PathBuf,
    /// Directory under which each seed gets a directory for settings and log files.
    pub work_dir: PathBuf,
    /// Which faults are injected.
    pub scenario: Scenario,
    /// Duration of the run.
    pub duration: Duration,
    /// Numbers of instances and callers.
    pub shape: Shape,
}

/// Runs a seed on a block of loopback addresses.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or a program cannot be started.
pub async fn run_seed(setup: &Setup, seed: u64, block: u8) -> anyhow::Result<Summary> {
    let work_dir = setup.work_dir.join(format!("seed-{seed}"));
    let _ = std::fs::remove_dir_all(&work_dir);
    std::fs::create_dir_all(&work_dir)?;
    let mut topology = Topology::new(block, &setup.shape);
    if setup.scenario == Scenario::Cuts {
        topology = topology.with_own_ports();
    }
    let cluster = Arc::new(Cluster::start(topology, setup, &work_dir, seed).await?);
    let mut endpoints = JoinSet::new();
    cluster
        .spawn_endpoints(&mut endpoints, setup.shape.callers, seed)
        .await;
    let mut faults = JoinSet::new();
    let started_at = tokio::time::Instant::now();
    for entry in generate(setup.scenario, seed, setup.duration, &setup.shape) {
        let cluster = Arc::clone(&cluster);
        faults.spawn(async move {
            sleep_until(started_at + entry.at).await;
            cluster.inject(entry).await;
        });
    }
    while started_at.elapsed() < setup.duration {
        sleep(PROCESS_CHECK_INTERVAL).await;
        cluster.check_processes().await;
    }
    while faults.join_next().await.is_some() {}
    while let Some(ended) = endpoints.try_join_next() {
        cluster
            .checker
            .record_violation(format!("a caller or backend server stopped: {ended:?}"));
    }
    let summary = cluster.checker.finish();
    cluster.shut_down().await;
    Ok(summary)
}
