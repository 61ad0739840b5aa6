//! The ends of flows: callers behind a fabric, and backend servers beside agents.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::Context;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, interval, sleep_until};

use buckthornlink_adapter::Platform;
use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Packet, ServiceTag, Source};
use buckthornlink_datagram::Adapter;
use buckthornlink_fakes::datagram::{Backend, Caller, CallerEvent, HEARTBEAT_INTERVAL, Reaction};
use buckthornlink_standin::{HEADER_BYTES, HeartbeatClient, encode, is_intact, is_ready};

use crate::ledger::{Ledger, Start};
use crate::site::{DATA_PORT, Instance, Site};

/// Interval at which callers look what is due.
const CALLER_TICK: Duration = Duration::from_millis(20);
/// Interval of readiness checks.
const READY_INTERVAL: Duration = Duration::from_millis(500);
/// Failed readiness checks after which a balancer gets no packets.
const MAX_MISSES: u8 = 2;
/// One packet in this many is lost between callers and balancers.
const LOSS_RATE: u32 = 500;
/// Flag of a packet that a backend server gives back.
const BOUNCED_BIT: u8 = 8;
/// Time for which a backend server goes on after its departure was acknowledged.
const DRAIN_SPAN: Duration = Duration::from_millis(3_500);

/// The balancers that get packets.
#[derive(Clone, Debug, Default)]
pub struct Rotation {
    ips: Arc<Mutex<Vec<Ipv4Addr>>>,
}

impl Rotation {
    /// Follows the readiness of a site's balancers.
    #[must_use]
    pub fn spawn(site: &Site) -> Self {
        let rotation = Self::default();
        for ip in site.balancers() {
            let instance = site.instances.iter().find(|i| i.ip == ip);
            if let Some(instance) = instance {
                tokio::spawn(follow(rotation.clone(), instance.clone()));
            }
        }
        rotation
    }

    /// The balancer that gets a packet; any of them if none is ready.
    fn pick(&self, packet: &Packet, all: &[Ipv4Addr]) -> Option<Ipv4Addr> {
        let ips = self.ips.lock().unwrap_or_else(PoisonError::into_inner);
        let ips = if ips.is_empty() { all } else { &ips };
        ips.iter().copied().max_by_key(|&ip| packet.flow.rank(ip))
    }

    fn set(&self, ip: Ipv4Addr, is_in: bool) {
        let mut ips = self.ips.lock().unwrap_or_else(PoisonError::into_inner);
        ips.retain(|&other| other != ip);
        if is_in {
            ips.push(ip);
        }
    }
}

async fn follow(rotation: Rotation, instance: Instance) {
    let mut misses = 0;
    let mut ticks = interval(READY_INTERVAL);
    loop {
        ticks.tick().await;
        misses = if is_ready(instance.readiness()).await {
            0
        } else {
            MAX_MISSES.min(misses + 1)
        };
        if misses == 0 || misses == MAX_MISSES {
            rotation.set(instance.ip, misses == 0);
        }
    }
}

/// Runs a caller until the task is aborted.
///
/// # Errors
///
/// Returns an error if the caller's address cannot be bound.
pub async fn run_caller(
    site: Site,
    index: u8,
    route: SocketAddrV4,
    rotation: Rotation,
    ledger: Ledger,
    seed: u64,
) -> anyhow::Result<()> {
    let ip = site.caller(index);
    let socket = UdpSocket::bind((ip, DATA_PORT)).await.context("a caller")?;
    let all: Vec<Ipv4Addr> = site.balancers().collect();
    let mut caller = Caller::new(ip, route);
    let mut rng = SmallRng::seed_from_u64(seed ^ u64::from(index));
    let mut ticks = interval(CALLER_TICK);
    let mut buffer = [0; 2_048];
    let mut asked = Millis(0);
    loop {
        let now = ledger.now();
        let mut news = Vec::new();
        let packet = tokio::select! {
            _ = ticks.tick() => caller.tick(now, &mut news),
            Ok((len, from)) = socket.recv_from(&mut buffer) => {
                receive(&mut caller, &buffer[..len], from, &ledger, &mut news)
            }
        };
        for item in news {
            match item {
                CallerEvent::RequestSent => {
                    asked = now;
                    ledger.ask();
                }
                CallerEvent::RequestAnswered => ledger.serve(asked),
                CallerEvent::FlowOpened => {}
            }
        }
        let Some(packet) = packet.filter(|_| rng.random_range(0..LOSS_RATE) > 0) else {
            continue;
        };
        if let Some(to) = rotation.pick(&packet, &all) {
            let bytes = encode(&packet, packet.flow.caller, packet.flow.route);
            let _ = socket.send_to(&bytes, (to, DATA_PORT)).await;
        }
    }
}

/// Hands bytes to a caller, after a look at what they say about the system.
fn receive(
    caller: &mut Caller,
    bytes: &[u8],
    from: SocketAddr,
    ledger: &Ledger,
    news: &mut Vec<CallerEvent>,
) -> Option<Packet> {
    let packet = Platform.parse_packet(bytes, Source::Backend)?;
    if packet.flags.rst && bytes.len() == HEADER_BYTES {
        if caller.is_open()
            && packet.flow == caller.flow
            && let SocketAddr::V4(from) = from
        {
            ledger.reset(&packet.flow, *from.ip());
        }
    } else if !is_intact(bytes) {
        ledger.violate(format!("a caller gets a changed packet: {packet:?}"));
    }
    caller.receive(&packet, ledger.now(), news)
}

/// What is to happen to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// It ends without a word and starts again after this time.
    Crash(Duration),
    /// It leaves in good order, and another one starts after this time.
    Replace(Duration),
}

/// Runs backend servers at one address, one after the other, until the task is aborted.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn run_backend(
    instance: Instance,
    service: &'static str,
    mut orders: mpsc::Receiver<Order>,
    ledger: Ledger,
    seed: u64,
) -> anyhow::Result<()> {
    let socket = UdpSocket::bind(instance.backend()).await?;
    let socket = Arc::new(socket);
    let mut rng = SmallRng::seed_from_u64(seed ^ u64::from(u32::from(instance.ip)));
    loop {
        let host = Host::open(&instance, service, Arc::clone(&socket), &ledger).await?;
        let pause = host.run(&mut orders, &mut rng).await?;
        let until = Instant::now() + pause;
        let mut buffer = [0; 2_048];
        while Instant::now() < until {
            tokio::select! {
                () = sleep_until(until) => {}
                _ = socket.recv_from(&mut buffer) => {}
            }
        }
    }
}

/// One start of a backend server.
struct Host<'a> {
    backend: Backend,
    instance: &'a Instance,
    service: &'static str,
    socket: Arc<UdpSocket>,
    listener: JoinHandle<()>,
    beats: HeartbeatClient,
    ledger: &'a Ledger,
    start: Start,
}

impl<'a> Host<'a> {
    async fn open(
        instance: &'a Instance,
        service: &'static str,
        socket: Arc<UdpSocket>,
        ledger: &'a Ledger,
    ) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(instance.backend()).await?;
        let born = 1_000_000 + ledger.now().0;
        let start = Start {
            ip: instance.ip,
            born,
        };
        ledger.set_live(start, true);
        let id = format!("i-{born}");
        Ok(Self {
            backend: Backend::new(ServiceTag::of(service), born, ledger.now()),
            instance,
            service,
            socket,
            listener: tokio::spawn(hold(listener)),
            beats: HeartbeatClient::new(instance.control(), &id, service, instance.backend()),
            ledger,
            start,
        })
    }

    /// Serves until its end; returns the time until the next start.
    async fn run(
        mut self,
        orders: &mut mpsc::Receiver<Order>,
        rng: &mut SmallRng,
    ) -> anyhow::Result<Duration> {
        let mut ticks = interval(Duration::from_millis(HEARTBEAT_INTERVAL.0));
        let mut buffer = [0; 2_048];
        let mut end: Option<(Instant, Duration)> = None;
        loop {
            let until = end.map_or_else(Instant::now, |(until, _)| until);
            tokio::select! {
                _ = ticks.tick() => self.beat(),
                () = sleep_until(until), if end.is_some() => {
                    self.close();
                    self.beats.report_end().await;
                    return Ok(end.map_or(Duration::ZERO, |(_, pause)| pause));
                }
                order = orders.recv() => match order.context("no more orders")? {
                    Order::Crash(pause) => {
                        self.close();
                        return Ok(pause);
                    }
                    Order::Replace(pause) => {
                        self.backend.draining_since = Some(self.ledger.now());
                        self.beat();
                        end.get_or_insert((Instant::now() + DRAIN_SPAN, pause));
                    }
                },
                received = self.socket.recv_from(&mut buffer) => {
                    let (len, _) = received?;
                    self.receive(&mut buffer[..len], rng).await;
                }
            }
        }
    }

    fn close(&self) {
        self.listener.abort();
        self.ledger.set_live(self.start, false);
    }

    fn beat(&mut self) {
        let beat = self.backend.next_heartbeat(self.ledger.now());
        let (beats, ledger, start) = (self.beats.clone(), self.ledger.clone(), self.start);
        tokio::spawn(async move {
            if beats.send(&beat).await && beat.draining {
                ledger.leave(start);
            }
        });
    }

    async fn receive(&mut self, bytes: &mut [u8], rng: &mut SmallRng) {
        if !is_intact(bytes) {
            self.ledger
                .violate("a backend server gets a changed packet");
            return;
        }
        let Some(packet) = Platform.parse_packet(bytes, Source::Fabric) else {
            return;
        };
        let is_known = self.backend.knows(&packet.flow);
        match self.backend.receive(&packet, self.ledger.now(), rng) {
            Reaction::HalfOpened { answer, .. } => {
                if !is_known {
                    let zone = self.instance.zone;
                    self.ledger
                        .open(self.start, zone, self.service, &packet.flow);
                }
                self.answer(&answer).await;
            }
            Reaction::Accepted { answer } => {
                self.ledger.take(self.start, &packet);
                if let Some(answer) = answer {
                    self.answer(&answer).await;
                }
            }
            Reaction::Bounced(_) => {
                self.ledger.stray(self.start.ip, &packet);
                bytes[0] |= BOUNCED_BIT;
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
        let _ = self.socket.send_to(bytes, self.instance.outbound()).await;
    }
}

/// Accepts connections and keeps them open.
async fn hold(listener: TcpListener) {
    let mut streams = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        streams.push(stream);
    }
}
