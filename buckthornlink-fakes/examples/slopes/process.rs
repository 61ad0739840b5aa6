//! Measures a balancer that runs as a separate process, with many members and the load of the
//! target fleet.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use anyhow::Context;
use buckthornlink_core::member::Load;
use buckthornlink_core::message::{Heartbeat, Message};
use buckthornlink_core::{ServicePort, Version};
use buckthornlink_fakes::{FakeStore, Preset};
use buckthornlink_node::settings::{KeySettings, key_ring};
use buckthornlink_platform::{Catalog, EtcdStore};
use buckthornlink_wire::{Header, KeyRing, control};
use bytes::BytesMut;
use tokio::net::UdpSocket;
use tokio::time::{Instant, interval, sleep};

use crate::reducer::{exchanges, member_fact};
use crate::series::Series;

/// Number of agents that send heartbeats to one balancer.
const REPORTING_AGENTS: u32 = 33;
/// Heartbeats per second that these agents send in total, at the interval that the control traffic
/// budget allows.
const HEARTBEATS_PER_SECOND: u32 = 5;
const MEASUREMENT_TIME: Duration = Duration::from_secs(5);
const STARTUP_TIME: Duration = Duration::from_secs(1);
/// Clock ticks per second (`USER_HZ`), the unit in which the kernel reports processor time.
pub const TICKS_PER_SECOND: f64 = 100.0;
const BALANCER_IP: Ipv4Addr = Ipv4Addr::new(127, 9, 9, 9);
const LINK_PORT: u16 = 4_400;
const PAGE_BYTES: u64 = 4_096;

pub async fn measure(sizes: &[u32], program: &Path) -> anyhow::Result<Vec<Series>> {
    let mut memory = Series::new("process-memory", "members", "MB");
    let mut processor = Series::new("process-processor", "members", "% of a core");
    for &members in sizes {
        let (bytes, core_share) = measure_balancer(members, program).await?;
        #[expect(
            clippy::cast_precision_loss,
            reason = "memory stays far below 2^52 bytes"
        )]
        memory.push(members, bytes as f64 / 1e6);
        processor.push(members, core_share * 100.0);
    }
    Ok(vec![memory, processor])
}

pub async fn measure_services(sizes: &[u32], program: &Path) -> anyhow::Result<Vec<Series>> {
    let mut memory = Series::new("services-memory", "services", "MB");
    for &services in sizes {
        let store = spawn_store(&many_services_config(services)).await?;
        let mut child = start_balancer(program, &store, SocketAddrV4::new(BALANCER_IP, LINK_PORT))?;
        sleep(STARTUP_TIME * 3).await;
        let bytes = resident_bytes(&child.id().to_string())?;
        child.kill()?;
        child.wait()?;
        #[expect(
            clippy::cast_precision_loss,
            reason = "memory stays far below 2^52 bytes"
        )]
        memory.push(services, bytes as f64 / 1e6);
    }
    Ok(vec![memory])
}

/// Configuration with one service on port `service`.
pub fn single_service_config(service: ServicePort) -> String {
    let service = serde_json::json!({
        "name": "token",
        "address": format!("127.0.0.1:{service}"),
    });
    serde_json::json!({ "zones": ["brasov-1"], "services": [service] }).to_string()
}

/// Address of the measured balancer's link.
pub const fn balancer_addr() -> SocketAddrV4 {
    SocketAddrV4::new(BALANCER_IP, LINK_PORT)
}

/// Configuration with `services` services.
fn many_services_config(services: u32) -> String {
    let services = (0..services).map(|i| {
        serde_json::json!({
            "name": format!("service-{i}"),
            "address": format!("127.0.0.1:{}", 10_000 + i),
        })
    });
    let services: Vec<_> = services.collect();
    serde_json::json!({ "zones": ["brasov-1"], "services": services }).to_string()
}

pub async fn spawn_store(text: &str) -> anyhow::Result<FakeStore> {
    let store = FakeStore::spawn(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).await?;
    let catalog = Catalog::new(EtcdStore::new(store.url()));
    catalog
        .apply(text, None, "slopes", "slopes", Duration::from_secs(2))
        .await?;
    Ok(store)
}

/// Measures the resident memory in bytes and the share of a core that one balancer process uses.
async fn measure_balancer(members: u32, program: &Path) -> anyhow::Result<(u64, f64)> {
    let local = Ipv4Addr::LOCALHOST;
    let store = spawn_store(&Preset::Carpatia.config_text()).await?;
    let peer = UdpSocket::bind((local, 0)).await?;
    let link = SocketAddrV4::new(BALANCER_IP, LINK_PORT);
    let mut child = start_balancer(program, &store, link)?;
    sleep(STARTUP_TIME).await;
    let keys = key_ring(&[key()])?;
    for message in exchanges(members) {
        send(&peer, link, &message, &keys).await?;
        sleep(Duration::from_micros(200)).await;
    }
    let pid = child.id().to_string();
    let ticks_before = processor_ticks(&pid)?;
    let start = Instant::now();
    let mut ticker = interval(Duration::from_secs(1) / HEARTBEATS_PER_SECOND);
    let mut heartbeat_count = 0;
    while start.elapsed() < MEASUREMENT_TIME {
        ticker.tick().await;
        heartbeat_count += 1;
        let heartbeat = Heartbeat {
            fact: member_fact(1 + heartbeat_count % REPORTING_AGENTS),
            load: Load::default(),
            version: Version(1),
        };
        send(&peer, link, &Message::Heartbeat(heartbeat), &keys).await?;
    }
    let processor_seconds = (processor_ticks(&pid)? - ticks_before) / TICKS_PER_SECOND;
    let bytes = resident_bytes(&pid)?;
    child.kill()?;
    child.wait()?;
    Ok((bytes, processor_seconds / start.elapsed().as_secs_f64()))
}

pub fn start_balancer(
    program: &Path,
    store: &FakeStore,
    link: SocketAddrV4,
) -> anyhow::Result<Child> {
    let settings = serde_json::json!({
        "zone": "brasov-1",
        "ip": link.ip(),
        "link_port": link.port(),
        "http": SocketAddrV4::new(*link.ip(), 0),
        "entry": SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9),
        "store": { "url": store.url() },
        "keys": [key()],
        "log": { "level": "error" },
    });
    let path = std::env::temp_dir().join(format!("slopes-{}.json", std::process::id()));
    std::fs::write(&path, settings.to_string())?;
    let child = Command::new(program)
        .arg("balancer")
        .arg(&path)
        .stderr(Stdio::inherit())
        .spawn();
    child.with_context(|| format!("failed to start {}", program.display()))
}

fn key() -> KeySettings {
    KeySettings {
        id: 1,
        secret: vec![1; 32],
    }
}

async fn send(
    peer: &UdpSocket,
    link: SocketAddrV4,
    message: &Message,
    keys: &KeyRing,
) -> anyhow::Result<()> {
    let mut out = BytesMut::new();
    Header::Control.encode(keys.current(), &control::encode(message)?, &mut out);
    peer.send_to(&out, link).await?;
    Ok(())
}

/// Resident memory of a process, in bytes.
pub fn resident_bytes(pid: &str) -> anyhow::Result<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm"))?;
    let pages: u64 = text
        .split_whitespace()
        .nth(1)
        .context("statm has no resident size")?
        .parse()?;
    Ok(pages * PAGE_BYTES)
}

/// Processor time of a process so far, in clock ticks.
pub fn processor_ticks(pid: &str) -> anyhow::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields = text
        .rsplit(')')
        .next()
        .context("stat has no command name")?;
    let mut fields = fields.split_whitespace().skip(11);
    let user: f64 = fields.next().context("stat has no user time")?.parse()?;
    let system: f64 = fields.next().context("stat has no system time")?.parse()?;
    Ok(user + system)
}
