//! Backend servers beside the agents: flows over UDP, heartbeats and a TCP port.

use std::io;
use std::time::Duration;

use anyhow::Context;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Interval, interval, sleep, timeout};

use buckthornlink_adapter::Platform;
use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Packet, ServiceTag, Source};
use buckthornlink_datagram::Adapter;
use buckthornlink_fakes::datagram::{Backend, HEARTBEAT_INTERVAL, Reaction};
use buckthornlink_standin::{HeartbeatClient, encode, is_intact};

use crate::departure::{Departure, PortClosing};
use crate::invariants::{BackendBoot, InvariantChecker};
use crate::lossy_socket::{LinkQuality, LossySocket};
use crate::rebind::rebind;
use crate::topology::Instance;

/// Header flag of a packet that a backend server returns because it does not hold the flow.
const BOUNCED_FLAG: u8 = 8;
/// Time for which a backend server keeps serving after it begins to drain.
const DRAIN_PERIOD: Duration = Duration::from_millis(3_500);
/// Distinguishes the random numbers of departures from those of flows, whose count is not fixed.
const DEPARTURE_SALT: u64 = 1 << 40;

/// A command to a running backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendCommand {
    /// Ends without draining; another one starts after this time.
    Crash(Duration),
    /// Drains and leaves; another one starts after this time.
    Replace(Duration),
    /// Drains and leaves for good.
    Remove,
    /// Ends without draining, as everything else does; another one starts after this time, unless it was leaving.
    LosePower(Duration),
    /// Closes its TCP port for this time and serves on.
    Relisten(Duration),
}

/// Runs successive backend servers at one address until the task is aborted. Those that exit slowly serve for several
/// seconds after they reported their end.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn run_backend(
    instance: Instance,
    service: &'static str,
    mut commands: mpsc::Receiver<BackendCommand>,
    checker: InvariantChecker,
    exits_slowly: bool,
    seed: u64,
) -> anyhow::Result<()> {
    let quality = LinkQuality::of_run(seed);
    let seed = seed ^ u64::from(u32::from(instance.ip));
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut departures = SmallRng::seed_from_u64(seed ^ DEPARTURE_SALT);
    let mut id = new_id(&checker);
    loop {
        let server =
            BackendServer::start(&instance, service, &id, quality, &checker, &mut rng).await?;
        let departure = Departure::draw(exits_slowly, &mut departures);
        let Some(downtime) = server.run(&mut commands, departure).await? else {
            return std::future::pending().await;
        };
        if !departure.keeps_id {
            id = new_id(&checker);
        }
        sleep(downtime).await;
    }
}

/// Start time that a backend server reports if it starts at `now` of the run.
pub const fn backend_born(now: Millis) -> u64 {
    1_000_000 + now.0
}

/// Name of a backend server that has none yet.
fn new_id(checker: &InvariantChecker) -> String {
    format!("i-{}", checker.now().0)
}

/// A backend server from one boot to its end.
struct BackendServer<'a> {
    backend: Backend,
    instance: &'a Instance,
    service: &'static str,
    socket: LossySocket,
    listener: JoinHandle<()>,
    heartbeats: Interval,
    has_reported_end: bool,
    heartbeat_client: HeartbeatClient,
    checker: &'a InvariantChecker,
    boot: BackendBoot,
    rng: &'a mut SmallRng,
}

impl<'a> BackendServer<'a> {
    async fn start(
        instance: &'a Instance,
        service: &'static str,
        id: &str,
        quality: LinkQuality,
        checker: &'a InvariantChecker,
        rng: &'a mut SmallRng,
    ) -> anyhow::Result<Self> {
        let socket = rebind(|| UdpSocket::bind(instance.backend_addr())).await?;
        let listener = listen(instance).await?;
        let born = backend_born(checker.now());
        let boot = BackendBoot {
            ip: instance.ip,
            born,
        };
        checker.set_live(boot, true);
        Ok(Self {
            backend: Backend::new(ServiceTag::of(service), born, checker.now()),
            instance,
            service,
            socket: LossySocket::spawn(socket, quality, rng.random()),
            listener,
            heartbeats: interval(Duration::from_millis(HEARTBEAT_INTERVAL.0)),
            has_reported_end: false,
            heartbeat_client: HeartbeatClient::new(instance.control_addr(), id, service),
            checker,
            boot,
            rng,
        })
    }

    /// Serves until a command ends it; returns the downtime until the next boot, if there is one.
    async fn run(
        mut self,
        commands: &mut mpsc::Receiver<BackendCommand>,
        departure: Departure,
    ) -> anyhow::Result<Option<Duration>> {
        let downtime = loop {
            let command = self.serve_while(commands.recv()).await?;
            match command.context("command channel is closed")? {
                BackendCommand::Crash(downtime) | BackendCommand::LosePower(downtime) => {
                    break Some(downtime);
                }
                BackendCommand::Replace(downtime) => {
                    let end = self.leave(commands, departure).await?;
                    break end.map_or(Some(downtime), End::downtime_if_leaving);
                }
                BackendCommand::Remove => {
                    self.leave(commands, departure).await?;
                    break None;
                }
                BackendCommand::Relisten(period) => {
                    self.listener.abort();
                    if let Some(end) = self.serve_for(period, commands).await? {
                        break Some(end.downtime);
                    }
                    self.listener = listen(self.instance).await?;
                }
            }
        };
        self.exit();
        Ok(downtime)
    }

    /// Drains, reports its end and lingers; returns early if it ends otherwise.
    async fn leave(
        &mut self,
        commands: &mut mpsc::Receiver<BackendCommand>,
        departure: Departure,
    ) -> anyhow::Result<Option<End>> {
        self.checker.record_leaving(self.boot);
        if let PortClosing::BeforeDrain(lead) = departure.port_closing {
            self.listener.abort();
            if let Some(end) = self.serve_for(lead, commands).await? {
                return Ok(Some(end));
            }
        }
        self.backend.draining_since = Some(self.checker.now());
        self.send_heartbeat();
        if let PortClosing::AfterDrain(delay) = departure.port_closing {
            self.stop_listening(delay);
        }
        if let Some(end) = self.serve_for(DRAIN_PERIOD, commands).await? {
            return Ok(Some(end));
        }
        self.has_reported_end = true;
        let client = self.heartbeat_client.clone();
        self.serve_while(client.report_end()).await?;
        if let Some(delay) = departure.repeat_delay {
            tokio::spawn(async move {
                sleep(delay).await;
                client.report_end().await;
            });
        }
        self.serve_for(departure.linger, commands).await
    }

    /// Serves for a period; returns early if it ends without draining.
    async fn serve_for(
        &mut self,
        period: Duration,
        commands: &mut mpsc::Receiver<BackendCommand>,
    ) -> anyhow::Result<Option<End>> {
        let end = timeout(period, next_end(commands));
        Ok(self.serve_while(end).await?.ok())
    }

    /// Serves its flows and sends heartbeats until the future is ready.
    async fn serve_while<T>(&mut self, until: impl Future<Output = T>) -> anyhow::Result<T> {
        let mut until = std::pin::pin!(until);
        loop {
            tokio::select! {
                output = &mut until => return Ok(output),
                _ = self.heartbeats.tick(), if !self.has_reported_end => self.send_heartbeat(),
                received = self.socket.recv() => {
                    let (bytes, _) = received?;
                    self.receive(bytes).await;
                }
            }
        }
    }

    fn stop_listening(&self, delay: Duration) {
        let listener = self.listener.abort_handle();
        tokio::spawn(async move {
            sleep(delay).await;
            listener.abort();
        });
    }

    fn exit(&self) {
        self.listener.abort();
        self.checker.set_live(self.boot, false);
    }

    fn send_heartbeat(&mut self) {
        let heartbeat = self
            .backend
            .next_heartbeat(self.instance.backend_addr(), self.checker.now());
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

    async fn receive(&mut self, mut bytes: Vec<u8>) {
        if !is_intact(&bytes) {
            self.checker
                .record_violation("a backend server received a corrupted packet");
            return;
        }
        let Some(packet) = Platform.parse_packet(&bytes, Source::Fabric) else {
            return;
        };
        let is_known = self.backend.has_flow(&packet.flow);
        match self.backend.receive(&packet, self.checker.now(), self.rng) {
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

    async fn answer(&mut self, answer: &Packet) {
        let bytes = encode(answer, answer.flow.route, answer.flow.caller);
        self.send(bytes).await;
    }

    async fn send(&mut self, bytes: Vec<u8>) {
        self.socket.send(bytes, self.instance.outbound_addr()).await;
    }
}

/// An end without draining.
#[derive(Clone, Copy, Debug)]
struct End {
    downtime: Duration,
    /// Whether everything else ended as well.
    is_power_loss: bool,
}

impl End {
    /// Time until another one takes the place of one that was leaving, if that happens.
    fn downtime_if_leaving(self) -> Option<Duration> {
        (!self.is_power_loss).then_some(self.downtime)
    }
}

/// Waits for an end without draining; meanwhile, other commands are ignored.
async fn next_end(commands: &mut mpsc::Receiver<BackendCommand>) -> End {
    loop {
        let (downtime, is_power_loss) = match commands.recv().await {
            Some(BackendCommand::Crash(downtime)) => (downtime, false),
            Some(BackendCommand::LosePower(downtime)) => (downtime, true),
            Some(_) => continue,
            None => std::future::pending().await,
        };
        return End {
            downtime,
            is_power_loss,
        };
    }
}

/// Opens the TCP port of a backend server.
async fn listen(instance: &Instance) -> io::Result<JoinHandle<()>> {
    let listener = rebind(|| TcpListener::bind(instance.backend_addr())).await?;
    Ok(tokio::spawn(hold_connections(listener)))
}

/// Accepts TCP connections and keeps them open; the agent detects a crash when they close.
async fn hold_connections(listener: TcpListener) {
    let mut streams = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        streams.push(stream);
    }
}
