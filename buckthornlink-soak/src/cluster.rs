//! The processes, the store and the endpoints of a run, in which faults are injected.

mod loss;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::time::Duration;

use rustix::process::Signal;
use tokio::sync::{Mutex, mpsc};
use tokio::task::JoinSet;
use tokio::time::sleep;

use buckthornlink_core::Millis;
use buckthornlink_standin::{ForeignHeartbeat, KvServer, Operator, ResponseMode, RouteSpec};

use crate::backend_server::{BackendCommand, backend_born, run_backend};
use crate::callers::{
    CallerProfile, FlowUse, IDLE_THINK_TIMES, LONG_THINK_TIMES, POOLED_THINK_TIMES, ReadyBalancers,
    run_caller,
};
use crate::invariants::InvariantChecker;
use crate::links::Links;
use crate::plan::{Entry, Fault, Scenario};
use crate::process::{ManagedProcess, StopOutcome};
use crate::rebind::rebind;
use crate::run::Setup;
use crate::tcp_proxy::{ProxyMode, TcpProxy};
use crate::topology::{Instance, Role, SERVICES, Topology};

/// Time that processes and backend servers have to start before the callers do.
const STARTUP_TIME: Duration = Duration::from_secs(2);
/// Duration of a stall of the output reader, relative to that of other faults.
const STALL_DURATION_FACTOR: u32 = 3;
/// Time for which a zone is out of service, relative to the duration of other faults.
const ZONE_OUT_DURATION_FACTOR: u32 = 3;
/// Time from a store drill to the change that follows it: the duration of other faults, divided by
/// this.
const CHANGE_DELAY_DIVISOR: u32 = 4;
/// Time in which all watches are answered.
const ALIGNMENT_TIME: Duration = Duration::from_millis(200);
/// Age of the copy from which the store is restored.
const COPY_AGE: Duration = Duration::from_secs(4);
/// Changes of the configuration between the copy and the restore, which raise the store's revision.
const EDITS_BEFORE_RESTORE: u32 = 40;
/// Minimum time for which a change lasts after a store drill, so that it is overdue meanwhile.
const MIN_CHANGE_TIME: Duration = Duration::from_secs(7);
/// Idle timeout of flows in the configuration, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 15_000;

/// The processes, the store and the endpoints of a run, in which faults are injected.
pub(crate) struct Cluster {
    scenario: Scenario,
    topology: Topology,
    pub(crate) checker: InvariantChecker,
    store: KvServer,
    operator: Operator,
    version: Mutex<u64>,
    processes: Vec<Mutex<ManagedProcess>>,
    store_proxies: Vec<TcpProxy>,
    /// The links between the processes, if they can be cut.
    links: Option<Links>,
    backend_commands: Mutex<Vec<mpsc::Sender<BackendCommand>>>,
}

impl Cluster {
    pub(crate) async fn start(
        topology: Topology,
        setup: &Setup,
        work_dir: &Path,
        seed: u64,
    ) -> anyhow::Result<Self> {
        let store = rebind(|| KvServer::bind(topology.store_addr())).await?;
        let checker = InvariantChecker::new(topology.balancers().collect());
        let links = match setup.scenario {
            Scenario::Cuts => Some(Links::open(&topology.instances).await?),
            _ => None,
        };
        let mut store_proxies = Vec::new();
        let mut running = Vec::new();
        for instance in &topology.instances {
            store_proxies.push(TcpProxy::bind(instance.store_proxy, topology.store_addr()).await?);
            let process = ManagedProcess::spawn(&topology, instance, &setup.program_dir, work_dir)?;
            running.push(Mutex::new(process));
        }
        let cluster = Self {
            scenario: setup.scenario,
            operator: Operator::new(store.clone()),
            version: Mutex::new(seed % 7 + 1),
            processes: running,
            backend_commands: Mutex::new(Vec::new()),
            topology,
            checker,
            store,
            store_proxies,
            links,
        };
        cluster.publish_config(SERVICES[0]).await;
        Ok(cluster)
    }

    /// Starts the backend servers, and after [`STARTUP_TIME`] the callers.
    pub(crate) async fn spawn_endpoints(
        &self,
        endpoints: &mut JoinSet<anyhow::Result<()>>,
        callers: u16,
        seed: u64,
    ) {
        let mut senders = self.backend_commands.lock().await;
        for instance in &self.topology.instances {
            if let Role::Agent(service) = instance.role {
                let (sender, commands) = mpsc::channel(4);
                senders.push(sender);
                let (instance, checker) = (instance.clone(), self.checker.clone());
                let is_slow = self.scenario == Scenario::ForeignHeartbeats;
                let backend = run_backend(instance, service, commands, checker, is_slow, seed);
                endpoints.spawn(backend);
            }
        }
        sleep(STARTUP_TIME).await;
        let ready_balancers = ReadyBalancers::watch(&self.topology);
        for index in 0..callers {
            let (topology, ready_balancers) = (self.topology.clone(), ready_balancers.clone());
            let checker = self.checker.clone();
            let shows_changes = matches!(
                self.scenario,
                Scenario::StoreDrills | Scenario::OutagesInChanges
            );
            let flow_use = if shows_changes && index % 2 == 1 {
                FlowUse::OneRequest
            } else {
                FlowUse::ManyRequests
            };
            endpoints.spawn(run_caller(
                topology,
                index,
                route_address(),
                CallerProfile::new(index, flow_use, self.think_times()),
                ready_balancers,
                checker,
                seed,
            ));
        }
    }

    /// Times between the requests of callers that keep flows open and idle in between.
    const fn think_times(&self) -> &'static [Millis] {
        match self.scenario {
            Scenario::Rolls => &LONG_THINK_TIMES,
            Scenario::ForeignHeartbeats => &IDLE_THINK_TIMES,
            _ => &POOLED_THINK_TIMES,
        }
    }

    /// Publishes a configuration with a higher version whose route points to `service`.
    async fn publish_config(&self, service: &str) {
        let mut version = self.version.lock().await;
        *version += 3;
        let route = RouteSpec {
            address: route_address(),
            service: service.to_owned(),
        };
        self.operator
            .configure(*version, &[route], &SERVICES, IDLE_TIMEOUT_MS);
        self.checker.set_target(route_address(), service);
    }

    /// Reports processes that exited unexpectedly as violations, and restarts them.
    pub(crate) async fn check_processes(&self) {
        for (process, instance) in self.processes.iter().zip(&self.topology.instances) {
            let Ok(mut process) = process.try_lock() else {
                continue;
            };
            if process.has_exited() {
                let name = &instance.name;
                self.checker
                    .record_violation(format!("{name} exited unexpectedly"));
                process.kill().await;
                let _ = process.start();
            }
        }
    }

    pub(crate) async fn inject(&self, entry: Entry) {
        let index = entry.target % self.processes.len();
        match entry.fault {
            Fault::Kill => self.kill(index, entry.span).await,
            Fault::KillAll => self.kill_all(entry.span).await,
            Fault::LoseAll => self.lose_all(entry.span).await,
            Fault::Restart => self.restart(index, Duration::ZERO).await,
            Fault::RestartLater => self.restart(index, entry.span).await,
            Fault::Pause => self.pause(index, entry.span).await,
            Fault::Mute => self.cut(index, Links::set_muted, entry.span).await,
            Fault::Deafen => self.cut(index, Links::set_deaf, entry.span).await,
            Fault::PauseSeries => {
                for [pause, gap] in entry.pauses() {
                    self.pause(index, pause).await;
                    sleep(gap).await;
                }
            }
            Fault::Reload => self.processes[index].lock().await.reload().await,
            Fault::Stall => self.stall_output(index, entry.span).await,
            Fault::StoreBusy => self.disrupt_store(ResponseMode::Busy, entry.span).await,
            Fault::StoreSilent => self.disrupt_store(ResponseMode::Silent, entry.span).await,
            Fault::StoreLossy => self.disrupt_store(ResponseMode::Lossy, entry.span).await,
            Fault::StoreLapse => self.expire_leases(),
            Fault::LinkSlow => self.alter_proxy(index, ProxyMode::Slow, entry.span).await,
            Fault::LinkSilent => self.alter_proxy(index, ProxyMode::Silent, entry.span).await,
            Fault::LinkOneWay => self.alter_proxy(index, ProxyMode::OneWay, entry.span).await,
            Fault::LinkReset => self.alter_proxy(index, ProxyMode::Reset, entry.span).await,
            Fault::Crash => {
                self.command_backend(entry.target, BackendCommand::Crash(entry.span))
                    .await;
            }
            Fault::Replace => {
                self.command_backend(entry.target, BackendCommand::Replace(entry.span))
                    .await;
            }
            Fault::Remove => {
                self.command_backend(entry.target, BackendCommand::Remove)
                    .await;
            }
            Fault::Relisten => {
                self.command_backend(entry.target, BackendCommand::Relisten(entry.span))
                    .await;
            }
            Fault::ForeignHeartbeat => self.send_foreign_heartbeat(entry.target).await,
            Fault::Move => self.move_route(entry.span).await,
            Fault::ZoneOut => {
                let zone = self.zone(entry.target);
                let duration = entry.span * ZONE_OUT_DURATION_FACTOR;
                self.take_zone_out(zone, duration).await;
            }
            Fault::Change => self.change_after(entry).await,
            Fault::Silence => {
                self.align_watches().await;
                self.checker.record_store_disruption();
                self.store.silence_connections();
                self.change_after(entry).await;
            }
            Fault::Restore => {
                self.restore_store(entry).await;
                self.change_after(entry).await;
            }
        }
    }

    fn ip(&self, index: usize) -> Ipv4Addr {
        self.topology.instances[index].ip
    }

    /// Zone with an index, modulo the number of zones.
    const fn zone(&self, index: usize) -> &'static str {
        self.topology.zones[index % self.topology.zones.len()]
    }

    async fn kill(&self, index: usize, downtime: Duration) {
        let mut process = self.processes[index].lock().await;
        self.checker.record_disruption(self.ip(index));
        process.kill().await;
        sleep(downtime).await;
        self.start_process(index, &mut process);
    }

    fn start_process(&self, index: usize, process: &mut ManagedProcess) {
        self.start_undisturbed(process);
        self.checker.record_disruption(self.ip(index));
    }

    /// Starts a process without an exemption from the invariants.
    fn start_undisturbed(&self, process: &mut ManagedProcess) {
        if let Err(err) = process.start() {
            self.checker.record_violation(format!("{err:#}"));
        }
    }

    async fn kill_all(&self, downtime: Duration) {
        let mut processes = self.lock_processes().await;
        for (index, process) in processes.iter_mut().enumerate() {
            self.checker.record_disruption(self.ip(index));
            process.kill().await;
        }
        sleep(downtime).await;
        for (index, process) in processes.iter_mut().enumerate() {
            self.start_process(index, process);
        }
    }

    /// Restarts a process gracefully, after it was down for a while. All invariants must hold meanwhile, but at agents beside other
    /// faults.
    async fn restart(&self, index: usize, downtime: Duration) {
        let mut process = self.processes[index].lock().await;
        let instance = &self.topology.instances[index];
        let is_exempt = instance.role != Role::Balancer && !self.scenario.is_planned();
        if is_exempt {
            self.checker.record_disruption(instance.ip);
        }
        if process.stop().await == StopOutcome::Killed {
            let name = &instance.name;
            self.checker
                .record_violation(format!("{name} did not exit within its grace period"));
        }
        sleep(downtime).await;
        if self.scenario.is_planned() {
            self.start_undisturbed(&mut process);
        } else {
            self.start_process(index, &mut process);
        }
    }

    async fn pause(&self, index: usize, duration: Duration) {
        let process = self.processes[index].lock().await;
        self.checker.record_disruption(self.ip(index));
        process.signal(Signal::STOP);
        sleep(duration).await;
        self.checker.record_disruption(self.ip(index));
        process.signal(Signal::CONT);
    }

    /// Cuts the links of an instance in one direction for a while.
    async fn cut(&self, index: usize, set: fn(&Links, usize, bool), duration: Duration) {
        let Some(links) = &self.links else {
            return;
        };
        self.checker.record_disruption(self.ip(index));
        set(links, index, true);
        sleep(duration).await;
        self.checker.record_disruption(self.ip(index));
        set(links, index, false);
    }

    async fn stall_output(&self, index: usize, duration: Duration) {
        self.processes[index].lock().await.set_output_stalled(true);
        sleep(duration * STALL_DURATION_FACTOR).await;
        self.processes[index].lock().await.set_output_stalled(false);
    }

    async fn disrupt_store(&self, mode: ResponseMode, duration: Duration) {
        self.store.set_response_mode(mode);
        self.checker.record_store_disruption();
        sleep(duration).await;
        self.checker.record_store_disruption();
        self.store.set_response_mode(ResponseMode::Normal);
    }

    fn expire_leases(&self) {
        self.checker.record_store_disruption();
        self.store.expire_leases();
        self.store.compact();
    }

    async fn alter_proxy(&self, index: usize, mode: ProxyMode, duration: Duration) {
        self.store_proxies[index].set_mode(mode);
        self.checker.record_store_disruption();
        sleep(duration).await;
        self.checker.record_store_disruption();
        self.store_proxies[index].set_mode(ProxyMode::Normal);
    }

    async fn command_backend(&self, target: usize, command: BackendCommand) {
        let senders = self.backend_commands.lock().await;
        let _ = senders[target % senders.len()].try_send(command);
    }

    /// Sends a heartbeat that names no backend server, or not that of the agent.
    async fn send_foreign_heartbeat(&self, target: usize) {
        let is_agent = |i: &&Instance| i.role != Role::Balancer;
        let agents: Vec<_> = self.topology.instances.iter().filter(is_agent).collect();
        let agent = agents[target % agents.len()];
        let other = agents[(target + 1) % agents.len()];
        let kinds = ForeignHeartbeat::ALL;
        let kind = kinds[target / agents.len() % kinds.len()];
        let born = backend_born(self.checker.now());
        kind.send(
            agent.control_addr(),
            [agent, other].map(Instance::backend_addr),
            SERVICES[0],
            born,
        )
        .await;
    }

    async fn move_route(&self, duration: Duration) {
        self.publish_config(SERVICES[1]).await;
        sleep(duration).await;
        self.publish_config(SERVICES[0]).await;
    }

    async fn take_zone_out(&self, zone: &str, duration: Duration) {
        self.operator.set_zone_out(zone, true);
        self.checker.set_zone_out(zone, true);
        sleep(duration).await;
        self.operator.set_zone_out(zone, false);
        self.checker.set_zone_out(zone, false);
    }

    /// Restores the store from a copy that is [`COPY_AGE`] old, after a zone was out of service for a
    /// part of that time and a moment without the store.
    async fn restore_store(&self, entry: Entry) {
        let copy = self.store.copy();
        let zone = self.zone(entry.target / 2);
        self.take_zone_out(zone, COPY_AGE / 2).await;
        for _ in 0..EDITS_BEFORE_RESTORE {
            self.publish_config(SERVICES[0]).await;
        }
        sleep(COPY_AGE / 2).await;
        self.disrupt_store(ResponseMode::Busy, entry.span / CHANGE_DELAY_DIVISOR)
            .await;
        self.store.restore(copy);
        self.checker.record_store_disruption();
        self.publish_config(SERVICES[0]).await;
    }

    /// Publishes the configuration once more, so that all watches are answered at the same time and
    /// none of them is due soon after.
    async fn align_watches(&self) {
        self.publish_config(SERVICES[0]).await;
        sleep(ALIGNMENT_TIME).await;
    }

    /// Moves the route or takes a zone out of service, within a second.
    async fn change_after(&self, entry: Entry) {
        sleep(entry.span / CHANGE_DELAY_DIVISOR).await;
        if entry.target.is_multiple_of(2) {
            self.move_route(MIN_CHANGE_TIME + entry.span).await;
        } else {
            let zone = self.zone(entry.target / 2);
            self.take_zone_out(zone, MIN_CHANGE_TIME + entry.span).await;
        }
    }

    /// Kills all processes of the run.
    pub(crate) async fn shut_down(&self) {
        for process in &self.processes {
            process.lock().await.kill().await;
        }
    }
}

/// Address that all callers connect to.
const fn route_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}
