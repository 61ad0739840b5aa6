//! A running balancer.
//!
//! * `forward` forwards datagrams; it reads a snapshot and never waits for the reducer.
//! * `executor` runs the reducer and performs its effects.
//! * `sockets` binds one socket for each service.

mod batch;
mod contacts;
mod executor;
mod forward;
mod metrics;
mod settings;
mod sockets;
mod status;

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinSet;

use buckthornlink_core::balancer::{Event, Setup};
use buckthornlink_core::{Version, ZoneTag};
use buckthornlink_node::clock::boot_id;
use buckthornlink_node::config_transfer::{self, ConfigHistory, ConfigSource, VersionedConfig};
use buckthornlink_node::metrics::{HttpServer, metrics_router};
use buckthornlink_node::settings::key_ring;
use buckthornlink_node::store_sync::{Registration, StoreSync};
use buckthornlink_node::trace::{Recorder, TraceRole};
use buckthornlink_platform::{BALANCERS_PREFIX, BalancerEntry, EtcdStore};

use batch::BatchSocket;
use executor::{Executor, Job};
use forward::Shared;
pub use settings::{BalancerSettings, StoreSettings};
pub use status::{MemberStatus, Status};

/// Time for which a balancer that shuts down keeps forwarding, so that the network fabric can stop
/// delivering datagrams to it.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of system-selected ports tried to find one that is free for both UDP and TCP.
const MAX_BIND_ATTEMPTS: u32 = 16;
/// Maximum number of jobs waiting for the reducer; further openers, control messages and load reports
/// are dropped, and other jobs wait.
const JOB_QUEUE_CAPACITY: usize = 4_096;

/// A running balancer. Dropping it stops it at once.
#[derive(Debug)]
pub struct Balancer {
    shared: Arc<Shared>,
    jobs: flume::Sender<Job>,
    http: HttpServer,
    _link_http: HttpServer,
    _registration: Registration,
    _tasks: JoinSet<()>,
}

impl Balancer {
    /// Binds the sockets and starts the balancer.
    ///
    /// The balancer reads its configuration from the store or from a peer. Until then it has only
    /// the service sockets of [`BalancerSettings::ports`].
    ///
    /// # Errors
    ///
    /// Returns an error if a key is invalid, an address cannot be bound, or the trace file cannot
    /// be opened.
    pub async fn spawn(settings: BalancerSettings) -> anyhow::Result<Self> {
        let keys = Arc::new(key_ring(&settings.keys)?);
        let bind = SocketAddrV4::new(settings.ip, settings.link_port);
        let (socket, listener) = bind_link(bind)
            .await
            .with_context(|| format!("cannot bind the link socket to {bind}"))?;
        let link = to_ipv4(socket.local_addr()?)?;
        let shared = Arc::new(Shared::new(
            settings.ip,
            link,
            BatchSocket::new(socket)?,
            Arc::clone(&keys),
        )?);
        let setup = build_setup(&settings, link);
        let recorder = open_recorder(&settings, setup)?;
        let (jobs, job_queue) = flume::bounded(JOB_QUEUE_CAPACITY);
        let config_source = Arc::clone(&shared) as Arc<dyn ConfigSource>;
        let link_routes = config_transfer::config_router(config_source, Arc::clone(&keys))
            .merge(contacts::router(jobs.clone(), keys));
        let link_http = HttpServer::spawn(listener, link_routes)?;
        let http_routes = metrics_router(shared.metrics.registry.clone())
            .merge(status::router(jobs.clone(), Arc::clone(&shared)));
        let http = HttpServer::bind(settings.http, http_routes)
            .await
            .with_context(|| format!("cannot bind the HTTP server to {}", settings.http))?;
        let store = EtcdStore::new(&settings.store.url);
        let store_sync = StoreSync::spawn(store.clone(), jobs.clone());
        let registration = Registration::spawn(
            store,
            format!("{BALANCERS_PREFIX}{link}"),
            &build_store_entry(&settings, link, http.addr()),
        );
        let mut tasks = JoinSet::new();
        tasks.spawn(forward::receive_link(Arc::clone(&shared), jobs.clone()));
        let mut executor = Executor::new(
            setup,
            Arc::clone(&shared),
            jobs.clone(),
            store_sync,
            recorder,
        );
        executor.open_services(&settings.ports);
        tasks.spawn(executor.run(job_queue));
        log::info!(link:% = link, http:% = http.addr(), zone = settings.zone; "balancer started");
        Ok(Self {
            shared,
            jobs,
            http,
            _link_http: link_http,
            _registration: registration,
            _tasks: tasks,
        })
    }

    /// Returns the address of the link socket.
    #[must_use]
    pub fn link(&self) -> SocketAddrV4 {
        self.shared.link
    }

    /// Returns the address of the metrics and status server.
    #[must_use]
    pub const fn http(&self) -> SocketAddrV4 {
        self.http.addr()
    }

    /// Returns the version of the configuration in force.
    #[must_use]
    pub fn version(&self) -> Version {
        self.shared.snapshot.load().version
    }

    /// Returns the number of bytes of control messages sent so far.
    #[must_use]
    pub fn control_bytes(&self) -> u64 {
        self.shared.metrics.control_bytes.get()
    }

    /// Whether this balancer watches the store.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.shared.metrics.store_watched.get() == 1
    }

    /// Announces the shutdown to the peers, keeps forwarding for a fixed time so that the network
    /// fabric can stop delivering datagrams, and stops.
    pub async fn shut_down(self) {
        let _ = self.jobs.send_async(Job::event(Event::Drain)).await;
        tokio::time::sleep(SHUTDOWN_DELAY).await;
        log::info!(link:% = self.shared.link; "balancer stopped");
    }
}

impl ConfigSource for Shared {
    fn current(&self) -> Arc<VersionedConfig> {
        self.config.load_full()
    }

    fn history(&self) -> &ConfigHistory {
        &self.history
    }
}

fn build_setup(settings: &BalancerSettings, link: SocketAddrV4) -> Setup {
    let boot = boot_id();
    Setup {
        addr: link,
        zone: ZoneTag::of(&settings.zone),
        boot,
        policy: settings.policy,
        entry: settings.entry,
        control_bytes: settings.control_bytes_per_second,
        seed: settings
            .seed
            .unwrap_or(boot.0 ^ u64::from(u32::from(*link.ip()))),
    }
}

fn build_store_entry(
    settings: &BalancerSettings,
    link: SocketAddrV4,
    http: SocketAddrV4,
) -> BalancerEntry {
    BalancerEntry {
        link,
        http,
        zone: settings.zone.clone(),
    }
}

fn open_recorder(settings: &BalancerSettings, setup: Setup) -> anyhow::Result<Option<Recorder>> {
    let Some(path) = &settings.record else {
        return Ok(None);
    };
    let recorder = Recorder::create(path, TraceRole::Balancer(setup));
    recorder
        .map(Some)
        .with_context(|| format!("cannot open trace file {}", path.display()))
}

/// Binds the link's UDP and TCP sockets to the same port. If `addr` has port 0, the system selects
/// a port that is free for UDP; if it is taken for TCP, other ports are tried.
async fn bind_link(addr: SocketAddrV4) -> std::io::Result<(UdpSocket, TcpListener)> {
    let attempts = if addr.port() == 0 {
        MAX_BIND_ATTEMPTS
    } else {
        1
    };
    let mut result = Err(std::io::ErrorKind::AddrInUse.into());
    for _ in 0..attempts {
        let socket = UdpSocket::bind(addr).await?;
        match TcpListener::bind(socket.local_addr()?).await {
            Ok(listener) => return Ok((socket, listener)),
            Err(err) => result = Err(err),
        }
    }
    result
}

fn to_ipv4(addr: SocketAddr) -> anyhow::Result<SocketAddrV4> {
    match addr {
        SocketAddr::V4(addr) => Ok(addr),
        SocketAddr::V6(addr) => anyhow::bail!("{addr} is not an IPv4 address"),
    }
}

const fn service_addr(ip: Ipv4Addr, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(ip, port)
}
