//! A fleet on loopback: real balancers and agents with a fake fabric, store, backend servers and
//! callers.

mod host;
mod imbalance;
mod setup;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use anyhow::Context;

use buckthornlink::balancer::{Balancer, BalancerSettings, StoreSettings};
use buckthornlink::platform::{Catalog, EtcdStore};
use buckthornlink_agent::client::Flow;
use buckthornlink_agent::{Agent, AgentSettings, BackendSettings};
use buckthornlink_core::Version;
use buckthornlink_core::balancer::Policy;
use buckthornlink_node::settings::{KeySettings, LogSettings};

use crate::backend::{BackendServer, BackendSetup};
use crate::caller::{Callers, CallersSetup, caller_endpoint};
use crate::certificate::SelfSignedCert;
use crate::fabric::Fabric;
use crate::preset::Preset;
use crate::request_log::RequestLog;
use crate::store::FakeStore;
pub use host::Host;
pub use setup::FleetSetup;

/// Port of every balancer's link to agents and other balancers.
const LINK_PORT: u16 = 4_400;
/// Number of balancers that a fleet starts with.
const BALANCER_COUNT: usize = 3;
const CONFIG_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const READY_TIMEOUT: Duration = Duration::from_secs(2);
const EDIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of fleets that this process has started; gives each fleet different addresses.
static FLEET_COUNT: AtomicU8 = AtomicU8::new(0);

/// A running fleet. It stops when dropped.
pub struct Fleet {
    preset: Preset,
    seed: u64,
    net: [u8; 2],
    next_octet: u8,
    store: FakeStore,
    fabric: Fabric,
    balancers: Vec<(Ipv4Addr, Balancer)>,
    hosts: Vec<Host>,
    certificate: SelfSignedCert,
    request_log: RequestLog,
    policy: Policy,
    trace_dir: Option<PathBuf>,
    edit_count: AtomicU8,
}

impl Fleet {
    /// Starts the store, the fabric, three balancers and all hosts, without a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn spawn(preset: Preset, seed: u64) -> anyhow::Result<Self> {
        Self::spawn_with(FleetSetup::new(preset, seed)).await
    }

    /// Like [`Fleet::spawn`], with all parameters.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn spawn_with(setup: FleetSetup) -> anyhow::Result<Self> {
        let FleetSetup {
            preset,
            seed,
            delay,
            ..
        } = setup;
        let net = allocate_network();
        let fabric_ip = ip(net, 1);
        let fabric = Fabric::new(fabric_ip, seed, delay);
        fabric
            .serve(LINK_PORT)
            .await
            .context("failed to bind a port of the fabric")?;
        for service in preset.services() {
            fabric
                .serve(service.port)
                .await
                .context("failed to bind a port of the fabric")?;
        }
        let service_names = preset.services().map(|s| s.name.to_owned());
        let mut fleet = Self {
            preset,
            seed,
            policy: setup.policy,
            trace_dir: setup.trace_dir,
            net,
            next_octet: 10,
            store: FakeStore::spawn(SocketAddrV4::new(fabric_ip, 0)).await?,
            fabric,
            balancers: Vec::new(),
            hosts: Vec::new(),
            certificate: SelfSignedCert::generate(service_names)?,
            request_log: RequestLog::default(),
            edit_count: AtomicU8::new(0),
        };
        for _ in 0..BALANCER_COUNT {
            fleet.add_balancer().await?;
        }
        fleet.start_hosts().await?;
        Ok(fleet)
    }

    /// Starts one more balancer and adds it to the fabric.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn add_balancer(&mut self) -> anyhow::Result<()> {
        let balancer_ip = ip(self.net, self.next_octet);
        self.next_octet += 1;
        let zones = self.preset.zones();
        let zone = zones[usize::from(self.next_octet) % zones.len()];
        let settings = BalancerSettings {
            zone: zone.to_owned(),
            ip: balancer_ip,
            link_port: LINK_PORT,
            http: SocketAddrV4::new(balancer_ip, 0),
            entry: self.fabric.addr(LINK_PORT),
            store: StoreSettings {
                url: self.store.url(),
            },
            keys: keys(),
            ports: Vec::new(),
            policy: self.policy,
            control_bytes_per_second: 4_000,
            seed: Some(self.seed + u64::from(self.next_octet)),
            record: self.trace_path(&format!("balancer-{}", self.next_octet)),
            log: LogSettings::default(),
        };
        let balancer = Balancer::spawn(settings).await?;
        if self.edit_count.load(Ordering::Relaxed) > 0 {
            wait_until_ready(&balancer).await;
        }
        self.fabric.add_balancer(balancer_ip);
        self.balancers.push((balancer_ip, balancer));
        Ok(())
    }

    /// Shuts down the oldest balancer after the fabric has stopped forwarding to it. If it is
    /// killed instead, the fabric stops forwarding to it only 300 ms afterwards.
    pub async fn remove_balancer(&mut self, is_killed: bool) {
        let (balancer_ip, balancer) = self.balancers.remove(0);
        if is_killed {
            drop(balancer);
            tokio::time::sleep(Duration::from_millis(300)).await;
            self.fabric.remove_balancer(balancer_ip);
        } else {
            self.fabric.remove_balancer(balancer_ip);
            balancer.shut_down().await;
        }
    }

    /// Writes a configuration to the store, as an operator would.
    ///
    /// # Errors
    ///
    /// Returns an error if the edit is not accepted.
    pub async fn apply(&self, text: &str) -> anyhow::Result<Version> {
        let edit = self.edit_id();
        let accepted = self
            .catalog()
            .apply(text, None, &edit, "fleet", EDIT_TIMEOUT)
            .await?;
        Ok(accepted.record.version)
    }

    /// Takes a zone out of service or brings it back, as an operator would.
    ///
    /// # Errors
    ///
    /// Returns an error if the edit is not accepted.
    pub async fn set_zone(&self, zone: &str, out: bool) -> anyhow::Result<()> {
        let edit = self.edit_id();
        self.catalog()
            .set_zone(zone, out, &edit, "fleet", EDIT_TIMEOUT)
            .await?;
        for host in self.hosts.iter().filter(|h| h.zone == zone) {
            if let Some(handle) = &host.handle {
                handle.set_out_of_service(out);
            }
        }
        Ok(())
    }

    /// Configuration of this fleet, in the format that operators write.
    #[must_use]
    pub fn config_text(&self) -> String {
        self.preset.config_at(ip(self.net, 1))
    }

    /// Waits until every balancer and agent has `version` or a later one in force; returns the time
    /// that this took.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes too long.
    pub async fn wait_until_in_force(&self, version: Version) -> anyhow::Result<Duration> {
        let start = Instant::now();
        while !self.is_in_force(version) {
            anyhow::ensure!(
                start.elapsed() < CONFIG_TIMEOUT,
                "timed out waiting for version {version} to be in force"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(start.elapsed())
    }

    /// Drains a host's agent, then stops its backend server. Returns false if the drain did not
    /// complete before its timeout.
    pub async fn drain_host(&mut self, index: usize) -> bool {
        let host = &mut self.hosts[index];
        if let Some(handle) = &host.handle {
            handle.set_out_of_service(true);
        }
        let Some(agent) = host.agent.take() else {
            return true;
        };
        let is_drained = agent.drain().await.finish().await;
        host.backend = None;
        is_drained
    }

    /// Stops a host's agent and backend server without a drain.
    pub fn kill_host(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.agent = None;
        host.backend = None;
        if let Some(handle) = &host.handle {
            handle.set_out_of_service(true);
        }
    }

    /// Starts a host's backend server, cold, and its agent.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start_host(&mut self, index: usize) -> anyhow::Result<()> {
        let agent_ip = ip(self.net, 200);
        let any_port = SocketAddrV4::new(agent_ip, 0);
        let boots = self.hosts[index].boots + 1;
        let record = self.trace_path(&format!("agent-{}-{boots}", self.hosts[index].name));
        let host = &mut self.hosts[index];
        host.boots = boots;
        let setup = BackendSetup {
            name: host.name.clone(),
            service: host.service,
            request_log: self.request_log.clone(),
            seed: self.seed * 1_000 + (index as u64) * 10 + host.boots,
        };
        let backend = BackendServer::spawn(any_port, setup).await?;
        let settings = AgentSettings {
            service: host.service.name.to_owned(),
            service_port: host.service.port,
            zone: host.zone.to_owned(),
            link: any_port,
            http: any_port,
            dependencies: any_port,
            entry: self.fabric.addr(LINK_PORT),
            backend: BackendSettings {
                addr: backend.addr(),
                health: "/health".to_owned(),
                load: "/load".to_owned(),
            },
            tls: self.certificate.settings().clone(),
            keys: keys(),
            dependency_flows: 8,
            drain_ms: Duration::from_secs(5),
            record,
            log: LogSettings::default(),
        };
        let agent = Agent::spawn(settings).await?;
        backend.handle().set_dependency_addr(agent.dependencies());
        host.handle = Some(backend.handle());
        host.backend = Some(backend);
        host.agent = Some(agent);
        Ok(())
    }

    /// Starts callers of the first service.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket cannot be bound.
    pub fn spawn_callers(&self, flows: usize, think_time: Duration) -> anyhow::Result<Callers> {
        let service = self.preset.services()[0];
        let setup = CallersSetup {
            ip: ip(self.net, 250),
            addr: self.fabric.addr(service.port),
            service: service.name,
            flows,
            think_time,
            deadline: Duration::from_secs(2),
            seed: self.seed,
            request_log: self.request_log.clone(),
        };
        Callers::spawn(&setup, &self.certificate)
    }

    /// Opens one flow to the first service, for a test that sends its own requests.
    ///
    /// # Errors
    ///
    /// Returns an error if the flow cannot be opened.
    pub async fn open_flow(&self) -> anyhow::Result<Flow> {
        let service = self.preset.services()[0];
        let endpoint = caller_endpoint(ip(self.net, 250), &self.certificate)?;
        Ok(Flow::open(&endpoint, self.fabric.addr(service.port), service.name).await?)
    }

    /// Hosts of the backend servers, running or not.
    #[must_use]
    pub fn hosts(&self) -> &[Host] {
        &self.hosts
    }

    /// The balancers with their addresses.
    #[must_use]
    pub fn balancers(&self) -> &[(Ipv4Addr, Balancer)] {
        &self.balancers
    }

    /// The store that balancers use.
    #[must_use]
    pub const fn store(&self) -> &FakeStore {
        &self.store
    }

    /// Log of the requests that backend servers received and ran.
    #[must_use]
    pub const fn request_log(&self) -> &RequestLog {
        &self.request_log
    }

    fn is_in_force(&self, version: Version) -> bool {
        let balancers = self.balancers.iter().all(|(_, b)| b.version() >= version);
        let mut agents = self.hosts.iter().filter_map(|h| h.agent.as_ref());
        balancers && agents.all(|a| a.version() >= version)
    }

    async fn start_hosts(&mut self) -> anyhow::Result<()> {
        let zones = self.preset.zones();
        for service in self.preset.services() {
            for index in 0..service.servers {
                let zone = zones[index % zones.len()];
                self.hosts.push(Host {
                    service,
                    zone,
                    name: format!("{}-{index}@{zone}", service.name),
                    boots: 0,
                    backend: None,
                    handle: None,
                    agent: None,
                });
                self.start_host(self.hosts.len() - 1).await?;
            }
        }
        Ok(())
    }

    fn catalog(&self) -> Catalog<EtcdStore> {
        Catalog::new(EtcdStore::new(self.store.url()))
    }

    /// Path of the trace that a process records, if traces are enabled.
    fn trace_path(&self, name: &str) -> Option<PathBuf> {
        self.trace_dir
            .as_ref()
            .map(|dir| dir.join(format!("{name}.trace.zst")))
    }

    fn edit_id(&self) -> String {
        format!("fleet-{}", self.edit_count.fetch_add(1, Ordering::Relaxed))
    }
}

/// Waits until the balancer has a configuration, as the health check of a fabric does, or until
/// [`READY_TIMEOUT`] has elapsed.
async fn wait_until_ready(balancer: &Balancer) {
    let start = Instant::now();
    while balancer.version() == Version::default() && start.elapsed() < READY_TIMEOUT {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn keys() -> Vec<KeySettings> {
    vec![KeySettings {
        id: 1,
        secret: vec![0x42; 32],
    }]
}

/// Middle octets of the fleet's loopback addresses, which differ between fleets of this process
/// and, by the process id, between processes.
fn allocate_network() -> [u8; 2] {
    let process = u8::try_from(std::process::id() % 100).unwrap_or(0);
    [100 + process, FLEET_COUNT.fetch_add(1, Ordering::Relaxed)]
}

const fn ip(net: [u8; 2], host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, net[0], net[1], host)
}
