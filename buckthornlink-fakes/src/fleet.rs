//! A fleet on loopback: real balancers and agents with a fake fabric, store, backend servers and
//! callers.

mod edits;
mod host;
mod imbalance;
mod setup;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use anyhow::Context;

use buckthornlink::balancer::{Balancer, BalancerSettings, StoreSettings};
use buckthornlink_agent::client::Flow;
use buckthornlink_core::Version;
use buckthornlink_core::balancer::Policy;
use buckthornlink_node::settings::{KeySettings, LogSettings};

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
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const READY_TIMEOUT: Duration = Duration::from_secs(2);

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

    /// Kills all balancers that are as described, at once. The fabric stops forwarding to them as well.
    pub fn kill_balancers(&mut self, is_chosen: impl Fn(&Balancer) -> bool) {
        let all = std::mem::take(&mut self.balancers);
        let (killed, left) = all.into_iter().partition(|(_, b)| is_chosen(b));
        self.balancers = left;
        for (balancer_ip, _) in &killed {
            self.fabric.remove_balancer(*balancer_ip);
        }
        drop::<Vec<_>>(killed);
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

    /// Path of the trace that a process records, if traces are enabled.
    fn trace_path(&self, name: &str) -> Option<PathBuf> {
        self.trace_dir
            .as_ref()
            .map(|dir| dir.join(format!("{name}.trace.zst")))
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
