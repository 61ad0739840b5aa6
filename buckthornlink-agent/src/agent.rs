//! A running agent and its life cycle.
//!
//! [`Agent::drain`] turns an [`Agent<Serving>`](Agent) into an `Agent<Draining>`, and
//! [`Agent::finish`] waits until the drain has ended. Dropping an agent in any state stops it at
//! once.

use std::marker::PhantomData;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Context;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

use buckthornlink_core::agent::{Event, Setup};
use buckthornlink_core::{ServicePort, Version, ZoneTag};
use buckthornlink_node::clock::{Clock, boot_id};
use buckthornlink_node::metrics::{HttpServer, metrics_router};
use buckthornlink_node::settings::key_ring;
use buckthornlink_node::trace::{Recorder, TraceRole};
use buckthornlink_wire::{FlowLocation, KeyRing};

use crate::backend::BackendClient;
use crate::cid::CidGenerator;
use crate::dependency::DependencyProxy;
use crate::executor::{Executor, Job, Shared};
use crate::link::{LinkReceiver, bind};
use crate::metrics::Metrics;
use crate::request::RequestHandler;
use crate::response::ResponseCache;
use crate::settings::AgentSettings;
use crate::socket::{EnvelopeSocket, IncomingDatagram, ReturnPaths};
use crate::{flow, health, quic};

/// Maximum number of jobs waiting for the reducer; further openers and control messages are
/// dropped, and other jobs wait.
const JOB_QUEUE_CAPACITY: usize = 16_384;
/// Maximum number of datagrams waiting for quinn; further ones are dropped.
const DATAGRAM_QUEUE_CAPACITY: usize = 8_192;

/// State of an agent that accepts flows and requests.
#[derive(Debug)]
pub struct Serving;

/// State of a draining agent, which finishes its flows and requests and accepts no new flows.
#[derive(Debug)]
pub struct Draining;

/// A running agent.
pub struct Agent<S = Serving> {
    link: SocketAddrV4,
    http: HttpServer,
    dependencies: HttpServer,
    jobs: flume::Sender<Job>,
    shared: Shared,
    drain_timeout: Duration,
    drained: watch::Receiver<bool>,
    tasks: JoinSet<()>,
    state: PhantomData<S>,
}

/// Counters of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stats {
    /// Number of datagrams received of flows and of openers that the agent accepted.
    pub datagrams: u64,
    /// Number of bytes of control messages sent.
    pub control_bytes: u64,
}

impl Agent<Serving> {
    /// Binds the sockets, starts the agent's tasks, and announces the backend server.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid, an address cannot be bound, or the trace file
    /// cannot be opened.
    pub async fn spawn(settings: AgentSettings) -> anyhow::Result<Self> {
        let keys = Arc::new(key_ring(&settings.keys)?);
        let socket = bind(settings.link)
            .with_context(|| format!("cannot bind the link socket to {}", settings.link))?;
        let link = to_ipv4(socket.local_addr()?)?;
        let setup = build_setup(&settings, link);
        let recorder = open_recorder(&settings, &setup)?;
        let (drained_sender, drained) = watch::channel(false);
        let shared = build_shared(Arc::new(socket), keys, drained_sender)?;
        let (jobs, job_queue) = flume::bounded(JOB_QUEUE_CAPACITY);
        let (to_quic, incoming) = flume::bounded(DATAGRAM_QUEUE_CAPACITY);
        let endpoint = build_endpoint(&settings, &setup, &shared, incoming)?;
        let backend = BackendClient::new(settings.backend.addr);
        let http = HttpServer::bind(
            settings.http,
            metrics_router(shared.metrics.registry.clone()),
        )
        .await
        .with_context(|| format!("cannot bind the metrics server to {}", settings.http))?;
        let dependencies = serve_dependencies(&settings, &shared).await?;
        let handler = Arc::new(RequestHandler {
            service: settings.service.clone(),
            jobs: jobs.clone(),
            backend: backend.clone(),
            metrics: Arc::clone(&shared.metrics),
            shared: shared.clone(),
            next_ticket: AtomicU64::new(1),
            classes: Mutex::default(),
        });
        let receiver = LinkReceiver {
            socket: Arc::clone(&shared.link_socket),
            keys: Arc::clone(&shared.keys),
            service: setup.service,
            return_paths: Arc::clone(&shared.return_paths),
            to_quic: to_quic.clone(),
            jobs: jobs.clone(),
            metrics: Arc::clone(&shared.metrics),
        };
        let metrics = Arc::clone(&shared.metrics);
        let executor = Executor::new(setup, shared.clone(), to_quic, jobs.clone(), recorder);
        let mut tasks = JoinSet::new();
        tasks.spawn(executor.run(job_queue));
        tasks.spawn(receiver.run());
        tasks.spawn(flow::accept(endpoint, handler));
        tasks.spawn(health::poll(
            backend,
            settings.backend.clone(),
            jobs.clone(),
            metrics,
        ));
        log::info!(link:% = link, service = settings.service, zone = settings.zone;
            "agent started");
        Ok(Self {
            link,
            http,
            dependencies,
            jobs,
            shared,
            drain_timeout: settings.drain_ms,
            drained,
            tasks,
            state: PhantomData,
        })
    }

    /// Asks callers to move their flows, and refuses new flows at once and new requests after a
    /// grace period.
    pub async fn drain(self) -> Agent<Draining> {
        let _ = self.jobs.send_async(Job::Event(Event::Drain)).await;
        log::info!(link:% = self.link; "agent is draining");
        Agent {
            link: self.link,
            http: self.http,
            dependencies: self.dependencies,
            jobs: self.jobs,
            shared: self.shared,
            drain_timeout: self.drain_timeout,
            drained: self.drained,
            tasks: self.tasks,
            state: PhantomData,
        }
    }
}

impl Agent<Draining> {
    /// Waits until all flows and requests have ended or the drain time has elapsed, then stops the
    /// agent; returns whether they have ended.
    pub async fn finish(mut self) -> bool {
        let completion = self.drained.wait_for(|is_drained| *is_drained);
        let is_drained = matches!(timeout(self.drain_timeout, completion).await, Ok(Ok(_)));
        self.tasks.shutdown().await;
        log::info!(link:% = self.link, drained = is_drained; "agent stopped");
        is_drained
    }
}

impl<S> Agent<S> {
    /// Returns the address of the link socket.
    #[must_use]
    pub const fn link(&self) -> SocketAddrV4 {
        self.link
    }

    /// Returns the address of the metrics server.
    #[must_use]
    pub const fn http(&self) -> SocketAddrV4 {
        self.http.addr()
    }

    /// Returns the address through which the backend server calls its dependencies.
    #[must_use]
    pub const fn dependencies(&self) -> SocketAddrV4 {
        self.dependencies.addr()
    }

    /// Returns the version of the configuration in force.
    #[must_use]
    pub fn version(&self) -> Version {
        self.shared.config.borrow().version
    }

    /// Returns the agent's counters.
    #[must_use]
    pub fn stats(&self) -> Stats {
        Stats {
            datagrams: self.shared.return_paths.received(),
            control_bytes: self.shared.metrics.control_bytes.get(),
        }
    }
}

fn build_setup(settings: &AgentSettings, link: SocketAddrV4) -> Setup {
    Setup {
        addr: link,
        service: ServicePort(settings.service_port),
        name: settings.service.clone(),
        zone: ZoneTag::of(&settings.zone),
        boot: boot_id(),
        entry: settings.entry,
    }
}

fn build_shared(
    link_socket: Arc<UdpSocket>,
    keys: Arc<KeyRing>,
    drained: watch::Sender<bool>,
) -> anyhow::Result<Shared> {
    Ok(Shared {
        link_socket,
        keys,
        return_paths: Arc::default(),
        response_cache: Arc::<ResponseCache>::default(),
        dependency_waits: Arc::default(),
        metrics: Arc::new(Metrics::new()?),
        config: watch::Sender::default(),
        drained,
        clock: Clock::start(),
    })
}

fn build_endpoint(
    settings: &AgentSettings,
    setup: &Setup,
    shared: &Shared,
    incoming: flume::Receiver<IncomingDatagram>,
) -> anyhow::Result<quinn::Endpoint> {
    let location = FlowLocation {
        agent: setup.addr,
        service: setup.service,
        zone: setup.zone,
        boot: setup.boot.short_hash(),
    };
    let socket = EnvelopeSocket::new(
        Arc::clone(&shared.link_socket),
        Arc::clone(&shared.keys),
        setup.service,
        Arc::<ReturnPaths>::clone(&shared.return_paths),
        incoming,
    );
    let generator = CidGenerator::new(location, Arc::clone(&shared.keys));
    quic::server_endpoint(
        Arc::new(socket),
        generator,
        shared.keys.current(),
        &settings.tls,
    )
}

async fn serve_dependencies(
    settings: &AgentSettings,
    shared: &Shared,
) -> anyhow::Result<HttpServer> {
    let endpoint = quic::client_endpoint(*settings.link.ip(), &settings.tls)?;
    let proxy = DependencyProxy::new(
        settings.service.clone(),
        shared.clone(),
        endpoint,
        settings.dependency_flows,
    );
    HttpServer::bind(settings.dependencies, proxy.router())
        .await
        .with_context(|| {
            format!(
                "cannot bind the dependency proxy to {}",
                settings.dependencies
            )
        })
}

fn open_recorder(settings: &AgentSettings, setup: &Setup) -> anyhow::Result<Option<Recorder>> {
    let Some(path) = &settings.record else {
        return Ok(None);
    };
    let recorder = Recorder::create(path, TraceRole::Agent(setup.clone()));
    recorder
        .map(Some)
        .with_context(|| format!("cannot open trace file {}", path.display()))
}

fn to_ipv4(addr: SocketAddr) -> anyhow::Result<SocketAddrV4> {
    match addr {
        SocketAddr::V4(addr) => Ok(addr),
        SocketAddr::V6(addr) => anyhow::bail!("{addr} is not an IPv4 address"),
    }
}
