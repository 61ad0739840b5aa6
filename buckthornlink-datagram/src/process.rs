//! Starting and ending a process.

use std::net::SocketAddrV4;
use std::time::Duration;

use anyhow::Context;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::timeout;

use buckthornlink_core::datagram::{Agent, Balancer, Event, Reducer, Role, ServiceTag, Setup};
use buckthornlink_core::{Millis, ZoneTag};
use buckthornlink_node::clock::boot_id;
use buckthornlink_node::logs;
use buckthornlink_node::metrics::{HttpServer, router};
use buckthornlink_node::source::Registration;
use buckthornlink_platform::{INSTANCES_PREFIX, InstanceEntry};

use crate::link::Offer;
use crate::metrics::Metrics;
use crate::node::{Node, Outlets};
use crate::sockets::Sockets;
use crate::{Adapter, Inbox, Settings, clock, follow, vigil};

/// Inputs that wait for the reducer before further ones are dropped.
const QUEUE: usize = 1_024;

/// Time in which a leaving process takes its entry out of the store.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(300);

/// Runs a balancer until SIGTERM.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub fn run_balancer(adapter: impl Adapter, settings: &Settings) -> anyhow::Result<()> {
    let setup = setup(settings, Role::Balancer);
    block_on(serve(
        Balancer::new(&setup, clock::now()),
        adapter,
        settings,
    ))
}

/// Runs an agent until SIGTERM.
///
/// # Errors
///
/// Returns an error if an address cannot be bound, or the settings name no backend server.
pub fn run_agent(adapter: impl Adapter, settings: &Settings) -> anyhow::Result<()> {
    let backend = settings.backend.as_ref();
    let backend = backend.context("backend: an agent's settings name its backend server")?;
    let setup = setup(settings, Role::Agent(ServiceTag::of(&backend.service)));
    block_on(serve(Agent::new(&setup, clock::now()), adapter, settings))
}

async fn serve<R: Reducer, A: Adapter>(
    reducer: R,
    adapter: A,
    settings: &Settings,
) -> anyhow::Result<()> {
    let sockets = Sockets::bind(settings).await.context("datagram sockets")?;
    let (sender, inputs) = flume::bounded(QUEUE);
    let inbox = Inbox::new(sender);
    inbox.send(Event::Contacts(
        settings.contacts.iter().map(|c| *c.ip()).collect(),
    ));
    let service = settings.backend.as_ref().map_or("", |b| &b.service);
    let metrics = Metrics::new(service)?;
    let _metrics = serve_metrics(settings, &metrics).await?;
    let offer = Offer::default();
    let link = SocketAddrV4::new(settings.ip, settings.link_port);
    let _link = HttpServer::bind(link, offer.router())
        .await
        .context("link")?;
    let router = adapter.readiness_router(inbox.clone());
    let _readiness = HttpServer::bind(settings.readiness, router)
        .await
        .context("readiness")?;
    let router = adapter.control_router(inbox.clone());
    let _control = HttpServer::bind(settings.control, router)
        .await
        .context("control")?;
    let store = adapter.open_store(&settings.store);
    let (watching, is_watching) = watch::channel(false);
    tokio::spawn(follow::follow(
        adapter.clone(),
        store.clone(),
        inbox.clone(),
        metrics.clone(),
        is_watching,
    ));
    tokio::spawn(follow::find_instances(store.clone(), inbox.clone()));
    let entry = InstanceEntry {
        ip: settings.ip,
        agent: settings.backend.is_some(),
    };
    let key = format!("{INSTANCES_PREFIX}{}", settings.ip);
    let registration = Registration::spawn(store.clone(), key, &entry);
    if let Some(backend) = &settings.backend {
        tokio::spawn(vigil::watch(backend.address, inbox.clone()));
    }
    spawn_signals(inbox.clone())?;
    log::info!(ip:% = settings.ip, zone = settings.zone, boot = reducer.mesh().own().boot.0; "process started");
    let outlets = Outlets {
        inbox,
        offer,
        metrics,
        watching,
    };
    let node = Node::new(reducer, adapter, sockets, outlets, settings)?;
    node.run(inputs).await;
    let _ = timeout(WITHDRAW_TIMEOUT, registration.withdraw(&store)).await;
    log::info!(ip:% = settings.ip; "process stopped");
    logs::flush();
    Ok(())
}

/// Serves the metrics if the settings name an address.
async fn serve_metrics(
    settings: &Settings,
    metrics: &Metrics,
) -> anyhow::Result<Option<HttpServer>> {
    let Some(addr) = settings.metrics else {
        return Ok(None);
    };
    let server = HttpServer::bind(addr, router(metrics.registry.clone())).await;
    server.map(Some).with_context(|| format!("metrics {addr}"))
}

fn spawn_signals(inbox: Inbox) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::spawn(async move {
        terminate.recv().await;
        log::info!("termination requested");
        inbox.stop();
    });
    Ok(())
}

fn setup(settings: &Settings, role: Role) -> Setup {
    let boot = boot_id();
    Setup {
        ip: settings.ip,
        role,
        zone: ZoneTag::of(&settings.zone),
        boot,
        heartbeat: Millis(settings.heartbeat_ms),
        seed: boot.0 ^ u64::from(u32::from(settings.ip)),
    }
}

fn block_on(future: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(future)
}
