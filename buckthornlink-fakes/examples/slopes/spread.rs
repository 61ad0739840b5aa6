//! Measures on real balancers on loopback how soon an edit is in force, and the control traffic and
//! store calls that it causes.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use anyhow::ensure;
use buckthornlink::balancer::{Balancer, BalancerSettings, StoreSettings};
use buckthornlink_core::Version;
use buckthornlink_core::balancer::Policy;
use buckthornlink_fakes::{Fabric, FakeStore, Preset};
use buckthornlink_node::settings::{KeySettings, LogSettings};
use buckthornlink_platform::{Catalog, EtcdStore};
use tokio::time::sleep;

use crate::series::Series;

const LINK_PORT: u16 = 4_400;
const ZONE_COUNT: usize = 4;
/// Number of edits at each size.
const EDIT_COUNT: u32 = 5;
const STARTUP_TIME: Duration = Duration::from_secs(5);
/// Pause after each edit.
const EDIT_DELAY: Duration = Duration::from_millis(1_500);
const EDIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

pub async fn measure(sizes: &[u32]) -> anyhow::Result<Vec<Series>> {
    let size_label = "balancers";
    let mut median = Series::new("spread-in-force-median", size_label, "ms");
    let mut max = Series::new("spread-in-force-greatest", size_label, "ms");
    let mut bytes = Series::new("spread-control-bytes", size_label, "bytes/s");
    let mut calls = Series::new("spread-store-calls", size_label, "calls/edit");
    for (index, &count) in sizes.iter().enumerate() {
        let cost = measure_edits(count, u8::try_from(index)?).await?;
        median.push(count, cost.median_ms);
        max.push(count, cost.max_ms);
        bytes.push(count, cost.byte_rate);
        calls.push(count, cost.calls);
    }
    Ok(vec![median, max, bytes, calls])
}

struct EditCost {
    median_ms: f64,
    max_ms: f64,
    byte_rate: f64,
    calls: f64,
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
async fn measure_edits(count: u32, subnet: u8) -> anyhow::Result<EditCost> {
    let fabric_ip = Ipv4Addr::new(127, 200, subnet, 1);
    let fabric = Fabric::new(fabric_ip, 1, Duration::ZERO);
    fabric.serve(LINK_PORT).await?;
    let store = FakeStore::spawn(SocketAddrV4::new(fabric_ip, 0)).await?;
    let catalog = Catalog::new(EtcdStore::new(store.url()));
    let mut balancers = Vec::new();
    for index in 0..count {
        balancers.push(spawn_balancer(index, subnet, &fabric, &store).await?);
    }
    sleep(STARTUP_TIME).await;
    let (reads, writes) = store.call_counts();
    let sent = total_control_bytes(&balancers);
    let start = Instant::now();
    let mut times = Vec::new();
    for edit in 0..EDIT_COUNT {
        let text = Preset::Carpatia.config_text();
        let id = format!("edit-{edit}");
        let accepted = catalog
            .apply(&text, None, &id, "slopes", EDIT_TIMEOUT)
            .await?;
        times.push(wait_until_in_force(&balancers, accepted.record.version).await?);
        sleep(EDIT_DELAY).await;
    }
    times.sort_by(f64::total_cmp);
    let seconds = start.elapsed().as_secs_f64();
    let (reads_after, writes_after) = store.call_counts();
    let calls = (reads_after + writes_after - reads - writes) as f64;
    Ok(EditCost {
        median_ms: times[times.len() / 2],
        max_ms: times.last().copied().unwrap_or(0.0),
        byte_rate: (total_control_bytes(&balancers) - sent) as f64 / seconds / f64::from(count),
        calls: calls / f64::from(EDIT_COUNT),
    })
}

async fn spawn_balancer(
    index: u32,
    subnet: u8,
    fabric: &Fabric,
    store: &FakeStore,
) -> anyhow::Result<Balancer> {
    let host = u8::try_from(index + 2)?;
    let ip = Ipv4Addr::new(127, 200, subnet, host);
    let zones = Preset::Carpatia.zones();
    let settings = BalancerSettings {
        zone: zones[index as usize % ZONE_COUNT].to_owned(),
        ip,
        link_port: LINK_PORT,
        http: SocketAddrV4::new(ip, 0),
        entry: fabric.addr(LINK_PORT),
        store: StoreSettings { url: store.url() },
        keys: vec![KeySettings {
            id: 1,
            secret: vec![1; 32],
        }],
        ports: Vec::new(),
        policy: Policy::Adaptive,
        control_bytes_per_second: 4_000,
        seed: Some(u64::from(index)),
        record: None,
        log: LogSettings::default(),
    };
    let balancer = Balancer::spawn(settings).await?;
    fabric.add_balancer(ip);
    Ok(balancer)
}

/// Waits until all balancers have `version` in force; returns the time in milliseconds.
async fn wait_until_in_force(balancers: &[Balancer], version: Version) -> anyhow::Result<f64> {
    let start = Instant::now();
    while balancers.iter().any(|b| b.version() < version) {
        ensure!(
            start.elapsed() < EDIT_TIMEOUT,
            "timed out before version {version} was in force on all balancers"
        );
        sleep(POLL_INTERVAL).await;
    }
    Ok(start.elapsed().as_secs_f64() * 1e3)
}

fn total_control_bytes(balancers: &[Balancer]) -> u64 {
    balancers.iter().map(Balancer::control_bytes).sum()
}
