//! Startup and shutdown of a process.
//!
//! * `store_tasks` reads and watches the store.
//! * `reload` applies changed settings.
//! * `servers` runs the HTTP servers.

mod reload;
mod servers;
mod store_tasks;

use std::path::Path;

use anyhow::Context;
use tokio::signal::unix::{Signal, SignalKind, signal};

use buckthornlink_core::datagram::{Agent, Balancer, Event, Reducer, Role, ServiceTag, Setup};
use buckthornlink_core::{Millis, ZoneTag};
use buckthornlink_node::clock::boot_id;
use buckthornlink_node::{logs, settings};

use crate::config_transfer::SharedTable;
use crate::event_loop::{EventLoop, SharedState};
use crate::metrics::Metrics;
use crate::sockets::Sockets;
use crate::store_control::StoreHandle;
use crate::{Adapter, ReducerHandle, Settings, backend_monitor, clock};
use servers::Servers;
pub use store_tasks::StoreTasks;

/// Capacity of the event loop's input channel; further inputs are dropped.
const QUEUE_CAPACITY: usize = 1_024;

/// Runs a balancer with the settings in the file at `path` until SIGTERM.
///
/// # Errors
///
/// Returns an error if the settings are invalid or an address cannot be bound.
pub fn run_balancer(adapter: impl Adapter, path: &Path) -> anyhow::Result<()> {
    block_on(async {
        let signals = Signals::install()?;
        let settings: Settings = settings::load(path)?;
        let setup = build_setup(&settings, Role::Balancer);
        let balancer = Balancer::new(&setup, clock::now());
        run_process(balancer, adapter, &settings, path, signals).await
    })
}

/// Runs an agent with the settings in the file at `path` until SIGTERM.
///
/// # Errors
///
/// Returns an error if the settings are invalid or have no backend server, or if an address cannot
/// be bound.
pub fn run_agent(adapter: impl Adapter, path: &Path) -> anyhow::Result<()> {
    block_on(async {
        let signals = Signals::install()?;
        let settings: Settings = settings::load(path)?;
        let backend = settings.backend.as_ref();
        let backend = backend.context("backend: required in the settings of an agent")?;
        let setup = build_setup(&settings, Role::Agent(ServiceTag::of(&backend.service)));
        let agent = Agent::new(&setup, clock::now());
        run_process(agent, adapter, &settings, path, signals).await
    })
}

/// The signals that a process handles.
///
/// The handlers are installed before anything else, since an earlier signal would end the process.
struct Signals {
    hangup: Signal,
    terminate: Signal,
}

impl Signals {
    fn install() -> std::io::Result<Self> {
        Ok(Self {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }
}

async fn run_process<R: Reducer, A: Adapter>(
    reducer: R,
    adapter: A,
    settings: &Settings,
    path: &Path,
    signals: Signals,
) -> anyhow::Result<()> {
    logs::init(&settings.log);
    let sockets = Sockets::bind(settings).await?;
    let (sender, inputs) = flume::bounded(QUEUE_CAPACITY);
    let handle = ReducerHandle::new(sender);
    handle.send(Event::Contacts(settings.contact_ips()));
    let service = settings.backend.as_ref().map_or("", |b| &b.service);
    let metrics = Metrics::new(service)?;
    let table = SharedTable::default();
    let _servers = Servers::bind(&adapter, settings, &handle, &table, &metrics).await?;
    let (store_handle, control) = StoreHandle::open();
    let role = reducer.gossip().own().role;
    let store_tasks = StoreTasks::new(
        &adapter,
        &handle,
        &metrics,
        role,
        (settings.ip, &settings.zone),
        control,
    );
    let current_settings = settings.clone();
    reload::spawn(
        store_tasks,
        current_settings,
        path.to_owned(),
        handle.clone(),
        signals.hangup,
    );
    if let Some(backend) = &settings.backend {
        tokio::spawn(backend_monitor::run(backend.address, handle.clone()));
    }
    stop_on_signal(handle.clone(), signals.terminate);
    let boot = reducer.gossip().own().boot.0;
    log::info!(ip:% = settings.ip, zone = settings.zone, boot = boot; "process started");
    logs::flush();
    let shared = SharedState {
        handle,
        table,
        metrics,
        store: store_handle,
    };
    let event_loop = EventLoop::new(reducer, adapter, sockets, shared, settings)?;
    event_loop.run(inputs).await;
    log::info!(ip:% = settings.ip; "process stopped");
    logs::flush();
    Ok(())
}

fn stop_on_signal(handle: ReducerHandle, mut terminate: Signal) {
    tokio::spawn(async move {
        terminate.recv().await;
        log::info!("termination requested");
        handle.stop();
    });
}

fn build_setup(settings: &Settings, role: Role) -> Setup {
    let boot = boot_id();
    Setup {
        ip: settings.ip,
        role,
        zone: ZoneTag::of(&settings.zone),
        boot,
        heartbeat_interval: Millis(settings.heartbeat_ms),
        backend_address: settings.backend.as_ref().map(|b| b.address),
        seed: boot.0 ^ u64::from(u32::from(settings.ip)),
    }
}

fn block_on(future: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(future)
}
