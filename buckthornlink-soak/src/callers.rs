//! Callers, with a simulated fabric that chooses the balancer of each packet.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::Context;
use tokio::net::UdpSocket;
use tokio::time::interval;

use buckthornlink_adapter::Platform;
use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Packet, Source};
use buckthornlink_datagram::Adapter;
use buckthornlink_fakes::datagram::{Caller, CallerEvent};
use buckthornlink_standin::{HEADER_BYTES, encode, is_intact, is_ready};

use crate::invariants::InvariantChecker;
use crate::lossy_socket::{LinkQuality, LossySocket};
use crate::rebind::rebind;
use crate::topology::{DATA_PORT, Instance, Topology};

/// Interval at which callers send due requests and retransmissions.
const CALLER_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of the readiness checks of each balancer.
const READINESS_INTERVAL: Duration = Duration::from_millis(500);
/// Number of consecutive failed readiness checks after which a balancer gets no packets.
const MAX_FAILED_CHECKS: u8 = 2;
/// Minimum number of profiles that callers have in turn.
const MIN_PROFILES: usize = 4;
/// Times between the requests of callers that keep flows open and idle in between.
pub const POOLED_THINK_TIMES: [Millis; 2] = [Millis(3_000), Millis(9_000)];
/// The same in runs with long pauses, which are shorter than the idle timeout.
pub const LONG_THINK_TIMES: [Millis; 3] = [Millis(12_000), Millis(9_000), Millis(12_000)];

/// The same in runs in which a backend server that leaves gets no packets for seconds; they differ, so that some caller sends in
/// each second.
pub const IDLE_THINK_TIMES: [Millis; 7] = [
    Millis(12_000),
    Millis(9_100),
    Millis(11_300),
    Millis(10_200),
    Millis(8_300),
    Millis(10_900),
    Millis(7_700),
];

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

/// What a caller does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerProfile {
    /// How it uses its flows.
    pub flow_use: FlowUse,
    /// Time between an answer and its next request, if it is not the default.
    pub think_time: Option<Millis>,
}

impl CallerProfile {
    /// Profile of the caller with this index. Of four callers, as many as there are think times pause for seconds
    /// between their requests; all of them if there are more.
    #[must_use]
    pub fn new(index: u16, flow_use: FlowUse, think_times: &[Millis]) -> Self {
        let cycle = think_times.len().max(MIN_PROFILES);
        let think_time = think_times.get(usize::from(index) % cycle).copied();
        Self {
            flow_use,
            think_time,
        }
    }
}

/// Runs a caller until the task is aborted.
///
/// # Errors
///
/// Returns an error if the caller's address cannot be bound.
pub async fn run_caller(
    topology: Topology,
    index: u16,
    route: SocketAddrV4,
    profile: CallerProfile,
    ready_balancers: ReadyBalancers,
    checker: InvariantChecker,
    seed: u64,
) -> anyhow::Result<()> {
    let ip = topology.caller_ip(index);
    let socket = rebind(|| UdpSocket::bind((ip, DATA_PORT)))
        .await
        .context("failed to bind the socket of a caller")?;
    let quality = LinkQuality::of_run(seed);
    let mut socket = LossySocket::spawn(socket, quality, seed ^ u64::from(index));
    let all: Vec<Ipv4Addr> = topology.balancers().collect();
    let mut caller = Caller::new(ip, route);
    if let Some(think_time) = profile.think_time {
        caller = caller.with_think_time(think_time);
    }
    let mut ticks = interval(CALLER_TICK_INTERVAL);
    let mut sent_at = Millis(0);
    loop {
        let now = checker.now();
        let mut events = Vec::new();
        let packet = tokio::select! {
            _ = ticks.tick() => caller.tick(now, &mut events),
            received = socket.recv() => {
                let (bytes, from) = received?;
                deliver_to_caller(&mut caller, &bytes, from, &checker, &mut events)
            }
        };
        for event in events {
            match event {
                CallerEvent::RequestSent => {
                    sent_at = now;
                    checker.record_sent(sent_at, ip);
                }
                CallerEvent::RequestAnswered => {
                    checker.record_served(sent_at, ip);
                    if profile.flow_use == FlowUse::OneRequest {
                        caller.abandon_flow();
                    }
                }
                CallerEvent::FlowOpened => {}
            }
        }
        let Some(packet) = packet else {
            continue;
        };
        checker.record_caller_packet(&packet);
        if let Some(to) = ready_balancers.choose_balancer(&packet, &all) {
            let bytes = encode(&packet, packet.flow.caller, packet.flow.route);
            socket.send(bytes, SocketAddrV4::new(to, DATA_PORT)).await;
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
