//! The endpoints of flows: callers, with a simulated fabric that chooses balancers, and the backend
//! servers of agents.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::Context;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, interval, sleep, sleep_until};

use buckthornlink_adapter::Platform;
use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Packet, ServiceTag, Source};
use buckthornlink_datagram::Adapter;
use buckthornlink_fakes::datagram::{Backend, Caller, CallerEvent, HEARTBEAT_INTERVAL, Reaction};
use buckthornlink_standin::{HEADER_BYTES, HeartbeatClient, encode, is_intact, is_ready};

use crate::invariants::{BackendBoot, InvariantChecker};
use crate::rebind::rebind;
use crate::topology::{DATA_PORT, Instance, Topology};

/// Interval at which callers send due requests and retransmissions.
const CALLER_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of the readiness checks of each balancer.
const READINESS_INTERVAL: Duration = Duration::from_millis(500);
/// Number of consecutive failed readiness checks after which a balancer gets no packets.
const MAX_FAILED_CHECKS: u8 = 2;
/// One in this many packets from callers to balancers is lost, on average.
const PACKETS_PER_LOSS: u32 = 500;
/// Header flag of a packet that a backend server returns because it does not hold the flow.
const BOUNCED_FLAG: u8 = 8;
/// Time for which a backend server keeps serving after it begins to drain.
const BACKEND_DRAIN_PERIOD: Duration = Duration::from_millis(3_500);
/// Time for which it goes on to accept TCP connections; it serves its flows for longer.
const BACKEND_LISTEN_PERIOD: Duration = Duration::from_millis(1_200);

/// The balancers that pass their readiness checks and get packets.
#[derive(Clone, Debug, Default)]
pub struct ReadyBalancers {
    ips: Arc<Mutex<Vec<Ipv4Addr>>>,
}

impl ReadyBalancers {
    /// Starts the readiness checks of all balancers.
    #[must_use]
    pub fn watch(topology: &Topology) -> Self {
        let ready_balancers = Self::default();
        for ip in topology.balancers() {
            let instance = topology.instances.iter().find(|i| i.ip == ip);
            if let Some(instance) = instance {
                tokio::spawn(watch_readiness(ready_balancers.clone(), instance.clone()));
            }
        }
        ready_balancers
    }

    /// Chooses the balancer for a packet by rendezvous hashing; among `all` if none is ready.
    fn choose_balancer(&self, packet: &Packet, all: &[Ipv4Addr]) -> Option<Ipv4Addr> {
        let ips = self.ips.lock().unwrap_or_else(PoisonError::into_inner);
        let ips = if ips.is_empty() { all } else { &ips };
        ips.iter().copied().max_by_key(|&ip| packet.flow.rank(ip))
    }

    fn set_ready(&self, ip: Ipv4Addr, is_ready: bool) {
        let mut ips = self.ips.lock().unwrap_or_else(PoisonError::into_inner);
        ips.retain(|&other| other != ip);
        if is_ready {
            ips.push(ip);
        }
    }
}

async fn watch_readiness(ready_balancers: ReadyBalancers, instance: Instance) {
    let mut failed_checks = 0;
    let mut ticks = interval(READINESS_INTERVAL);
    loop {
        ticks.tick().await;
        failed_checks = if is_ready(instance.readiness_addr()).await {
            0
        } else {
            MAX_FAILED_CHECKS.min(failed_checks + 1)
        };
        if failed_checks == 0 || failed_checks == MAX_FAILED_CHECKS {
            ready_balancers.set_ready(instance.ip, failed_checks == 0);
        }
    }
}

/// How a caller uses its flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowUse {
    /// It sends requests on one flow for as long as the flow lasts.
    ManyRequests,
    /// It opens a flow for each request, so that outdated knowledge about routes and zones shows.
    OneRequest,
}

/// Runs a caller until the task is aborted.
///
/// # Errors
///
/// Returns an error if the caller's address cannot be bound.
pub async fn run_caller(
    topology: Topology,
    index: u8,
    route: SocketAddrV4,
    flow_use: FlowUse,
    ready_balancers: ReadyBalancers,
    checker: InvariantChecker,
    seed: u64,
) -> anyhow::Result<()> {
    let ip = topology.caller_ip(index);
    let socket = rebind(|| UdpSocket::bind((ip, DATA_PORT)))
        .await
        .context("failed to bind the socket of a caller")?;
    let all: Vec<Ipv4Addr> = topology.balancers().collect();
    let mut caller = Caller::new(ip, route);
    let mut rng = SmallRng::seed_from_u64(seed ^ u64::from(index));
    let mut ticks = interval(CALLER_TICK_INTERVAL);
    let mut buffer = [0; 2_048];
    let mut sent_at = Millis(0);
    loop {
        let now = checker.now();
        let mut events = Vec::new();
        let packet = tokio::select! {
            _ = ticks.tick() => caller.tick(now, &mut events),
            Ok((len, from)) = socket.recv_from(&mut buffer) => {
                deliver_to_caller(&mut caller, &buffer[..len], from, &checker, &mut events)
            }
        };
        for event in events {
            match event {
                CallerEvent::RequestSent => {
                    sent_at = now;
                    checker.record_sent();
                }
                CallerEvent::RequestAnswered => {
                    checker.record_served(sent_at);
                    if flow_use == FlowUse::OneRequest {
                        caller.abandon_flow();
                    }
                }
                CallerEvent::FlowOpened => {}
            }
        }
        let Some(packet) = packet.filter(|_| rng.random_range(0..PACKETS_PER_LOSS) > 0) else {
            continue;
        };
        if let Some(to) = ready_balancers.choose_balancer(&packet, &all) {
            let bytes = encode(&packet, packet.flow.caller, packet.flow.route);
            let _ = socket.send_to(&bytes, (to, DATA_PORT)).await;
        }
    }
}

/// Checks received bytes for resets and corruption, and delivers them to the caller.
fn deliver_to_caller(
    caller: &mut Caller,
    bytes: &[u8],
    from: SocketAddr,
    checker: &InvariantChecker,
    events: &mut Vec<CallerEvent>,
) -> Option<Packet> {
    let packet = Platform.parse_packet(bytes, Source::Backend)?;
    if packet.flags.rst && bytes.len() == HEADER_BYTES {
        if caller.is_open()
            && packet.flow == caller.flow
            && let SocketAddr::V4(from) = from
        {
            checker.check_reset(&packet.flow, *from.ip());
        }
    } else if !is_intact(bytes) {
        checker.record_violation(format!("a caller received a corrupted packet: {packet:?}"));
    }
    caller.receive(&packet, checker.now(), events)
}

/// A command to a running backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendCommand {
    /// Ends without draining; another one starts after this time.
    Crash(Duration),
    /// Drains and leaves; another one starts after this time.
    Replace(Duration),
}

/// Runs successive backend servers at one address until the task is aborted.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn run_backend(
    instance: Instance,
    service: &'static str,
    mut commands: mpsc::Receiver<BackendCommand>,
    checker: InvariantChecker,
    seed: u64,
) -> anyhow::Result<()> {
    let socket = rebind(|| UdpSocket::bind(instance.backend_addr())).await?;
    let socket = Arc::new(socket);
    let mut rng = SmallRng::seed_from_u64(seed ^ u64::from(u32::from(instance.ip)));
    loop {
        let server =
            BackendServer::start(&instance, service, Arc::clone(&socket), &checker).await?;
        let downtime = server.run(&mut commands, &mut rng).await?;
        let until = Instant::now() + downtime;
        let mut buffer = [0; 2_048];
        while Instant::now() < until {
            tokio::select! {
                () = sleep_until(until) => {}
                _ = socket.recv_from(&mut buffer) => {}
            }
        }
    }
}

/// A backend server from one boot to its end.
struct BackendServer<'a> {
    backend: Backend,
    instance: &'a Instance,
    service: &'static str,
    socket: Arc<UdpSocket>,
    listener: JoinHandle<()>,
    heartbeat_client: HeartbeatClient,
    checker: &'a InvariantChecker,
    boot: BackendBoot,
}

impl<'a> BackendServer<'a> {
    async fn start(
        instance: &'a Instance,
        service: &'static str,
        socket: Arc<UdpSocket>,
        checker: &'a InvariantChecker,
    ) -> anyhow::Result<Self> {
        let listener = rebind(|| TcpListener::bind(instance.backend_addr())).await?;
        let born = 1_000_000 + checker.now().0;
        let boot = BackendBoot {
            ip: instance.ip,
            born,
        };
        checker.set_live(boot, true);
        let id = format!("i-{born}");
        Ok(Self {
            backend: Backend::new(ServiceTag::of(service), born, checker.now()),
            instance,
            service,
            socket,
            listener: tokio::spawn(hold_connections(listener)),
            heartbeat_client: HeartbeatClient::new(
                instance.control_addr(),
                &id,
                service,
                instance.backend_addr(),
            ),
            checker,
            boot,
        })
    }

    /// Serves until a command ends it; returns the downtime until the next boot.
    async fn run(
        mut self,
        commands: &mut mpsc::Receiver<BackendCommand>,
        rng: &mut SmallRng,
    ) -> anyhow::Result<Duration> {
        let mut ticks = interval(Duration::from_millis(HEARTBEAT_INTERVAL.0));
        let mut buffer = [0; 2_048];
        let mut end: Option<(Instant, Duration)> = None;
        loop {
            let until = end.map_or_else(Instant::now, |(until, _)| until);
            tokio::select! {
                _ = ticks.tick() => self.send_heartbeat(),
                () = sleep_until(until), if end.is_some() => {
                    self.shut_down();
                    self.heartbeat_client.report_end().await;
                    return Ok(end.map_or(Duration::ZERO, |(_, downtime)| downtime));
                }
                command = commands.recv() => match command.context("command channel is closed")? {
                    BackendCommand::Crash(downtime) => {
                        self.shut_down();
                        return Ok(downtime);
                    }
                    BackendCommand::Replace(downtime) => {
                        self.backend.draining_since = Some(self.checker.now());
                        self.send_heartbeat();
                        self.stop_listening();
                        end.get_or_insert((Instant::now() + BACKEND_DRAIN_PERIOD, downtime));
                    }
                },
                received = self.socket.recv_from(&mut buffer) => {
                    let (len, _) = received?;
                    self.receive(&mut buffer[..len], rng).await;
                }
            }
        }
    }

    /// Closes the TCP port after [`BACKEND_LISTEN_PERIOD`].
    fn stop_listening(&self) {
        let listener = self.listener.abort_handle();
        tokio::spawn(async move {
            sleep(BACKEND_LISTEN_PERIOD).await;
            listener.abort();
        });
    }

    fn shut_down(&self) {
        self.listener.abort();
        self.checker.set_live(self.boot, false);
    }

    fn send_heartbeat(&mut self) {
        let heartbeat = self.backend.next_heartbeat(self.checker.now());
        let (client, checker, boot) = (
            self.heartbeat_client.clone(),
            self.checker.clone(),
            self.boot,
        );
        tokio::spawn(async move {
            if client.send(&heartbeat).await && heartbeat.draining {
                checker.record_departure(boot);
            }
        });
    }

    async fn receive(&mut self, bytes: &mut [u8], rng: &mut SmallRng) {
        if !is_intact(bytes) {
            self.checker
                .record_violation("a backend server received a corrupted packet");
            return;
        }
        let Some(packet) = Platform.parse_packet(bytes, Source::Fabric) else {
            return;
        };
        let is_known = self.backend.has_flow(&packet.flow);
        match self.backend.receive(&packet, self.checker.now(), rng) {
            Reaction::HalfOpened { answer, .. } => {
                if !is_known {
                    let zone = self.instance.zone;
                    self.checker
                        .check_opening(self.boot, zone, self.service, &packet.flow);
                }
                self.answer(&answer).await;
            }
            Reaction::Accepted { answer } => {
                self.checker.check_delivery(self.boot, &packet);
                if let Some(answer) = answer {
                    self.answer(&answer).await;
                }
            }
            Reaction::Bounced(_) => {
                self.checker.check_stray(self.boot.ip, &packet);
                bytes[0] |= BOUNCED_FLAG;
                // Clears the padding byte, in which instances write the relay tag.
                bytes[1] = 0;
                self.send(bytes).await;
            }
        }
    }

    async fn answer(&self, answer: &Packet) {
        let bytes = encode(answer, answer.flow.route, answer.flow.caller);
        self.send(&bytes).await;
    }

    async fn send(&self, bytes: &[u8]) {
        let _ = self
            .socket
            .send_to(bytes, self.instance.outbound_addr())
            .await;
    }
}

/// Accepts TCP connections and keeps them open; the agent detects a crash when they close.
async fn hold_connections(listener: TcpListener) {
    let mut streams = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        streams.push(stream);
    }
}
