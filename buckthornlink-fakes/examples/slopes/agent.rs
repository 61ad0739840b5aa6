//! Measures an agent that runs as a separate process and has many open flows.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::process::{Child, Command};
use std::time::Duration;

use anyhow::Context;
use buckthornlink::balancer::{Balancer, BalancerSettings, StoreSettings};
use buckthornlink_agent::TlsSettings;
use buckthornlink_core::balancer::Policy;
use buckthornlink_fakes::{
    BackendServer, BackendSetup, Callers, CallersSetup, Fabric, FakeStore, Preset, RequestLog,
    SelfSignedCert,
};
use buckthornlink_node::settings::{KeySettings, LogSettings};
use buckthornlink_platform::{Catalog, EtcdStore};
use tokio::time::{Instant, sleep};

use crate::process::{TICKS_PER_SECOND, processor_ticks, resident_bytes};
use crate::series::Series;

const LINK_PORT: u16 = 4_400;
const STARTUP_TIME: Duration = Duration::from_secs(2);
const MEASUREMENT_TIME: Duration = Duration::from_secs(5);
/// Mean pause between two requests on a flow: flows are long-lived and mostly idle.
const THINK_TIME: Duration = Duration::from_secs(5);

pub async fn measure(sizes: &[u32], program: &Path) -> anyhow::Result<Vec<Series>> {
    let mut memory = Series::new("agent-memory", "flows", "MB");
    let mut processor = Series::new("agent-processor", "flows", "% of a core");
    for (index, &flows) in sizes.iter().enumerate() {
        let subnet = Subnet(u8::try_from(index)?);
        let (bytes, core_share) = measure_agent(flows, program, subnet).await?;
        #[expect(
            clippy::cast_precision_loss,
            reason = "memory stays far below 2^52 bytes"
        )]
        memory.push(flows, bytes as f64 / 1e6);
        processor.push(flows, core_share * 100.0);
    }
    Ok(vec![memory, processor])
}

/// Loopback subnet of one measurement; each size uses another one.
#[derive(Clone, Copy)]
struct Subnet(u8);

impl Subnet {
    const fn fabric_ip(self) -> Ipv4Addr {
        Ipv4Addr::new(127, 9, self.0, 1)
    }

    const fn balancer_ip(self) -> Ipv4Addr {
        Ipv4Addr::new(127, 9, self.0, 2)
    }

    const fn agent_ip(self) -> Ipv4Addr {
        Ipv4Addr::new(127, 9, self.0, 3)
    }
}

/// Measures the resident memory in bytes and the share of a core that one agent process uses.
async fn measure_agent(flows: u32, program: &Path, subnet: Subnet) -> anyhow::Result<(u64, f64)> {
    let service = Preset::Carpatia.services()[1];
    let fabric = Fabric::new(subnet.fabric_ip(), 1, Duration::ZERO);
    fabric.serve(LINK_PORT).await?;
    fabric.serve(service.port).await?;
    let store = FakeStore::spawn(SocketAddrV4::new(subnet.fabric_ip(), 0)).await?;
    let catalog = Catalog::new(EtcdStore::new(store.url()));
    let text = Preset::Carpatia.config_at(subnet.fabric_ip());
    catalog
        .apply(&text, None, "slopes", "slopes", STARTUP_TIME)
        .await?;
    let _balancer = spawn_balancer(&fabric, &store, subnet).await?;
    fabric.add_balancer(subnet.balancer_ip());
    let request_log = RequestLog::default();
    let setup = BackendSetup {
        name: "ledger-0@brasov-1".to_owned(),
        service,
        request_log: request_log.clone(),
        seed: 1,
    };
    let backend = BackendServer::spawn(SocketAddrV4::new(subnet.agent_ip(), 0), setup).await?;
    let certificate = SelfSignedCert::generate([service.name.to_owned()])?;
    let mut child = start_agent(
        program,
        &fabric,
        backend.addr(),
        certificate.settings(),
        subnet,
    )?;
    sleep(STARTUP_TIME).await;
    let setup = CallersSetup {
        ip: subnet.fabric_ip(),
        addr: fabric.addr(service.port),
        service: service.name,
        flows: usize::try_from(flows)?,
        think_time: THINK_TIME,
        deadline: Duration::from_secs(2),
        seed: 1,
        request_log,
    };
    let callers = Callers::spawn(&setup, &certificate)?;
    sleep(THINK_TIME * 2).await;
    let pid = child.id().to_string();
    let ticks_before = processor_ticks(&pid)?;
    let start = Instant::now();
    sleep(MEASUREMENT_TIME).await;
    let processor_seconds = (processor_ticks(&pid)? - ticks_before) / TICKS_PER_SECOND;
    let core_share = processor_seconds / start.elapsed().as_secs_f64();
    let bytes = resident_bytes(&pid)?;
    let counts = callers.counts();
    anyhow::ensure!(
        counts.opened_flows >= u64::from(flows),
        "callers opened too few flows: {counts:?}"
    );
    drop(callers);
    child.kill()?;
    child.wait()?;
    Ok((bytes, core_share))
}

async fn spawn_balancer(
    fabric: &Fabric,
    store: &FakeStore,
    subnet: Subnet,
) -> anyhow::Result<Balancer> {
    Balancer::spawn(BalancerSettings {
        zone: "brasov-1".to_owned(),
        ip: subnet.balancer_ip(),
        link_port: LINK_PORT,
        http: SocketAddrV4::new(subnet.balancer_ip(), 0),
        entry: fabric.addr(LINK_PORT),
        store: StoreSettings { url: store.url() },
        keys: vec![key()],
        ports: Vec::new(),
        policy: Policy::Adaptive,
        control_bytes_per_second: 4_000,
        seed: Some(1),
        record: None,
        log: LogSettings::default(),
    })
    .await
}

fn start_agent(
    program: &Path,
    fabric: &Fabric,
    backend: SocketAddrV4,
    tls: &TlsSettings,
    subnet: Subnet,
) -> anyhow::Result<Child> {
    let service = Preset::Carpatia.services()[1];
    let any = SocketAddrV4::new(subnet.agent_ip(), 0);
    let settings = serde_json::json!({
        "service": service.name,
        "service_port": service.port,
        "zone": "brasov-1",
        "link": any,
        "http": any,
        "dependencies": any,
        "entry": fabric.addr(LINK_PORT),
        "backend": { "addr": backend },
        "tls": tls,
        "keys": [key()],
        "log": { "level": "error" },
    });
    let path = std::env::temp_dir().join(format!("slopes-agent-{}.json", std::process::id()));
    std::fs::write(&path, settings.to_string())?;
    let child = Command::new(program).arg(&path).spawn();
    child.with_context(|| format!("failed to start {}", program.display()))
}

fn key() -> KeySettings {
    KeySettings {
        id: 1,
        secret: vec![1; 32],
    }
}
