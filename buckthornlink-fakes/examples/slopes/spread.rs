//! Real balancers on loopback: how fast an edit is in force, and what it costs.

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
const ZONES: usize = 4;
/// Edits made at each size.
const EDITS: u32 = 5;
const SETTLE: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(1_500);
const PATIENCE: Duration = Duration::from_secs(20);
const STEP: Duration = Duration::from_millis(5);

pub async fn measure(sizes: &[u32]) -> anyhow::Result<Vec<Series>> {
    let size = "balancers";
    let mut median = Series::new("spread-in-force-median", size, "ms");
    let mut greatest = Series::new("spread-in-force-greatest", size, "ms");
    let mut bytes = Series::new("spread-control-bytes", size, "bytes/s");
    let mut calls = Series::new("spread-store-calls", size, "calls/edit");
    for (index, &count) in sizes.iter().enumerate() {
        let found = run(count, u8::try_from(index)?).await?;
        median.push(count, found.median);
        greatest.push(count, found.greatest);
        bytes.push(count, found.bytes);
        calls.push(count, found.calls);
    }
    Ok(vec![median, greatest, bytes, calls])
}

struct Found {
    median: f64,
    greatest: f64,
    bytes: f64,
    calls: f64,
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
async fn run(count: u32, net: u8) -> anyhow::Result<Found> {
    let front = Ipv4Addr::new(127, 200, net, 1);
    let fabric = Fabric::new(front, 1, Duration::ZERO);
    fabric.serve(LINK_PORT).await?;
    let store = FakeStore::spawn(SocketAddrV4::new(front, 0)).await?;
    let catalog = Catalog::new(EtcdStore::new(store.url()));
    let mut balancers = Vec::new();
    for index in 0..count {
        balancers.push(start(index, net, &fabric, &store).await?);
    }
    sleep(SETTLE).await;
    let (reads, writes) = store.call_counts();
    let sent = total_bytes(&balancers);
    let begun = Instant::now();
    let mut times = Vec::new();
    for edit in 0..EDITS {
        let text = Preset::Carpatia.config_text();
        let id = format!("edit-{edit}");
        let accepted = catalog.apply(&text, None, &id, "slopes", PATIENCE).await?;
        times.push(in_force(&balancers, accepted.record.version).await?);
        sleep(PAUSE).await;
    }
    times.sort_by(f64::total_cmp);
    let seconds = begun.elapsed().as_secs_f64();
    let (reads_after, writes_after) = store.call_counts();
    let made = (reads_after + writes_after - reads - writes) as f64;
    Ok(Found {
        median: times[times.len() / 2],
        greatest: times.last().copied().unwrap_or(0.0),
        bytes: (total_bytes(&balancers) - sent) as f64 / seconds / f64::from(count),
        calls: made / f64::from(EDITS),
    })
}

async fn start(
    index: u32,
    net: u8,
    fabric: &Fabric,
    store: &FakeStore,
) -> anyhow::Result<Balancer> {
    let host = u8::try_from(index + 2)?;
    let ip = Ipv4Addr::new(127, 200, net, host);
    let zones = Preset::Carpatia.zones();
    let settings = BalancerSettings {
        zone: zones[index as usize % ZONES].to_owned(),
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

/// Milliseconds until all balancers have a version in force.
async fn in_force(balancers: &[Balancer], version: Version) -> anyhow::Result<f64> {
    let start = Instant::now();
    while balancers.iter().any(|b| b.version() < version) {
        ensure!(
            start.elapsed() < PATIENCE,
            "version {version} is not in force in time"
        );
        sleep(STEP).await;
    }
    Ok(start.elapsed().as_secs_f64() * 1e3)
}

fn total_bytes(balancers: &[Balancer]) -> u64 {
    balancers.iter().map(Balancer::control_bytes).sum()
}
