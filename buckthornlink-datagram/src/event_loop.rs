//! Event loop that runs a reducer of the datagram path.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Interval, MissedTickBehavior, interval};

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{
    Effect, Event, Flow, Message, Reducer, RelayTag, Source, Ticket,
};
use buckthornlink_node::logs;

use crate::config_transfer::{self, SharedTable};
use crate::decision_log::DecisionLog;
use crate::kept_packets::KeptPackets;
use crate::metrics::Metrics;
use crate::sockets::{
    MAX_DATAGRAM_BYTES, Received, Sockets, send_connected, take_refusal, try_receive, wait_readable,
};
use crate::store_control::StoreHandle;
use crate::{Adapter, Input, ReducerHandle, Settings, clock};

/// Target of the log records of this module. Operators name it in the filters of `log.level`, so
/// it is kept although the module has another name.
const LOG_TARGET: &str = "buckthornlink_datagram::node";
/// Interval of [`Event::Tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of packets that are held at a time.
const MAX_HELD_PACKETS: usize = 1_024;
/// Maximum number of datagrams handled from one socket before the others are polled.
const MAX_BATCH: usize = 64;
/// Time without packets after which a terminating process may end; a balancer that receives none is
/// no longer used by the network fabric.
const QUIET_PERIOD: Millis = Millis(700);
/// Minimum time for which a terminating process keeps running, unless its grace period is shorter:
/// the fabric has missed two readiness checks by then.
const MIN_SHUTDOWN_TIME: Millis = Millis(1_600);

/// Passes events to a reducer and performs its effects.
pub(crate) struct EventLoop<R, A> {
    reducer: R,
    adapter: A,
    sockets: Sockets,
    shared: SharedState,
    http: reqwest::Client,
    ports: Ports,
    grace_period: Millis,
    decision_log: DecisionLog,
    effects: Vec<Effect>,
    buffer: Box<[u8; MAX_DATAGRAM_BYTES]>,
    last_packet: Millis,
    held_packets: Vec<HeldPacket>,
    kept_packets: KeptPackets,
}

/// A packet that is reduced once more after the next tick or answer of the store.
struct HeldPacket {
    source: Source,
    bytes: Vec<u8>,
}

/// State that the event loop shares with other tasks of the process.
pub(crate) struct SharedState {
    /// Readiness, and the channel to the event loop.
    pub handle: ReducerHandle,
    /// The configuration that other instances fetch.
    pub table: SharedTable,
    /// Metrics.
    pub metrics: Metrics,
    /// Directs the tasks that call the store.
    pub store: StoreHandle,
}

/// Ports to which packets and messages are sent.
#[derive(Clone, Copy, Debug)]
struct Ports {
    caller: u16,
    link: u16,
    relay: u16,
}

/// What the event loop handles next.
#[derive(Debug)]
enum Ready {
    Tick,
    /// An input of another task, or none if all of them have ended.
    Input(Option<Input>),
    Messages,
    Packets(Source),
}

/// Waits until something is to be handled. Control messages go before packets: how old they are is not known, so
/// they must not wait while packets keep coming.
async fn wait_ready(
    ticks: &mut Interval,
    inputs: &flume::Receiver<Input>,
    sockets: &Sockets,
) -> Ready {
    tokio::select! {
        biased;
        _ = ticks.tick() => Ready::Tick,
        input = inputs.recv_async() => Ready::Input(input.ok()),
        () = wait_readable(Some(&sockets.link)) => Ready::Messages,
        () = wait_readable(sockets.fabric.as_ref()) => Ready::Packets(Source::Fabric),
        () = wait_readable(sockets.backend.as_ref()) => Ready::Packets(Source::Backend),
        () = wait_readable(Some(&sockets.relay)) => {
            Ready::Packets(Source::Peer(Ipv4Addr::UNSPECIFIED))
        }
    }
}

/// Progress of a requested termination.
#[derive(Clone, Copy, Debug)]
struct Shutdown {
    /// Time since the request.
    elapsed: Millis,
    /// Time since the last packet.
    quiet: Millis,
    /// Flows with a request that the backend server has not begun to answer, and those whose end is
    /// announced but not known.
    pending: usize,
}

impl Shutdown {
    /// Whether the process may end: no more packets arrive and no flow is left whose caller waits for an
    /// answer or is to be told of its end, or the grace period is over.
    fn is_complete(self, grace_period: Millis) -> bool {
        let is_idle = self.quiet >= QUIET_PERIOD && self.pending == 0;
        self.elapsed >= grace_period || self.elapsed >= MIN_SHUTDOWN_TIME && is_idle
    }
}

impl<R: Reducer, A: Adapter> EventLoop<R, A> {
    /// Creates an event loop; [`Self::run`] starts it.
    pub(crate) fn new(
        reducer: R,
        adapter: A,
        sockets: Sockets,
        shared: SharedState,
        settings: &Settings,
    ) -> anyhow::Result<Self> {
        Ok(Self {
            reducer,
            adapter,
            sockets,
            shared,
            http: config_transfer::http_client()?,
            ports: Ports {
                caller: settings.data.port(),
                link: settings.link_port,
                relay: settings.relay_port,
            },
            grace_period: Millis(settings.grace_ms),
            decision_log: DecisionLog::default(),
            effects: Vec::with_capacity(64),
            buffer: Box::new([0; MAX_DATAGRAM_BYTES]),
            last_packet: clock::now(),
            held_packets: Vec::new(),
            kept_packets: KeptPackets::default(),
        })
    }

    /// Handles events until the process may end.
    pub(crate) async fn run(mut self, inputs: flume::Receiver<Input>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut stopping_since: Option<Millis> = None;
        loop {
            match wait_ready(&mut ticks, &inputs, &self.sockets).await {
                Ready::Tick => self.tick(),
                Ready::Input(Some(Input::Event(event))) => self.reduce_input(event),
                Ready::Input(Some(Input::Stop)) => {
                    stopping_since.get_or_insert_with(clock::now);
                    self.reduce(Event::Leave, 0);
                }
                Ready::Input(None) => return,
                Ready::Messages => self.receive_messages(),
                Ready::Packets(source) => self.receive_packets(source),
            }
            self.publish_state();
            if stopping_since.is_some_and(|since| self.can_stop(since)) {
                return;
            }
        }
    }

    fn tick(&mut self) {
        if self.sockets.delivery.as_ref().is_some_and(take_refusal) {
            self.reduce(Event::DeliveryRefused, 0);
        }
        self.reduce(Event::Tick, 0);
        self.reduce_held_packets();
        let now = clock::now();
        self.kept_packets.remove_expired(now);
        self.decision_log.advance_window(now);
        self.shared.metrics.update_gauges(&self.reducer, now);
        logs::flush();
    }

    /// Reduces an event of another task, and packets that may have waited for it.
    fn reduce_input(&mut self, event: Event) {
        let is_answer = matches!(event, Event::SavedFlows(_) | Event::FlowsSaved { .. });
        self.reduce(event, 0);
        if is_answer {
            self.reduce_held_packets();
        }
    }

    /// Reduces the packets that were held until now.
    fn reduce_held_packets(&mut self) {
        for HeldPacket { source, bytes } in std::mem::take(&mut self.held_packets) {
            let len = bytes.len();
            self.buffer[..len].copy_from_slice(&bytes);
            if let Some(packet) = self.adapter.parse_packet(&bytes, source) {
                self.reduce(Event::Packet { source, packet }, len);
            }
        }
    }

    /// Whether a process that was asked to terminate at `since` may end.
    fn can_stop(&self, since: Millis) -> bool {
        let now = clock::now();
        let flows = self.reducer.flow_counts();
        let shutdown = Shutdown {
            elapsed: now.since(since),
            quiet: now.since(self.last_packet),
            pending: flows.waiting + flows.undecided,
        };
        shutdown.is_complete(self.grace_period)
    }

    /// Publishes readiness and configuration to other tasks.
    fn publish_state(&mut self) {
        let is_ready = self.reducer.is_ready(clock::now());
        if is_ready != self.shared.handle.is_ready() {
            log::info!(target: LOG_TARGET, ready = is_ready; "readiness changed");
            self.shared.handle.set_ready(is_ready);
        }
        if self.reducer.table().version != self.shared.table.version() {
            self.shared.table.set(Arc::clone(self.reducer.table()));
        }
    }

    /// Handles the packets available at the socket for `socket_source`, up to [`MAX_BATCH`]. At the
    /// relay socket, the source of each packet is the peer that sent it.
    fn receive_packets(&mut self, socket_source: Source) {
        for _ in 0..MAX_BATCH {
            let Some(socket) = self.sockets.for_source(socket_source) else {
                return;
            };
            let (len, from) = match try_receive(socket, &mut self.buffer[..]) {
                Received::Datagram(len, from) => (len, from),
                Received::Failed => continue,
                Received::Nothing => return,
            };
            let source = match socket_source {
                Source::Peer(_) => Source::Peer(from),
                other => other,
            };
            if let Some(packet) = self.adapter.parse_packet(&self.buffer[..len], source) {
                self.last_packet = clock::now();
                self.shared.metrics.count_packet(source);
                self.reduce(Event::Packet { source, packet }, len);
            }
        }
    }

    /// Handles the available control messages, up to [`MAX_BATCH`].
    fn receive_messages(&mut self) {
        for _ in 0..MAX_BATCH {
            let (len, from) = match try_receive(&self.sockets.link, &mut self.buffer[..]) {
                Received::Datagram(len, from) => (len, from),
                Received::Failed => continue,
                Received::Nothing => return,
            };
            if let Ok(message) = rmp_serde::from_slice::<Message>(&self.buffer[..len]) {
                self.reduce(Event::Message { from, message }, 0);
            }
        }
    }

    /// Reduces an event and performs its effects; a packet occupies the first `len` bytes of the
    /// buffer.
    fn reduce(&mut self, event: Event, len: usize) {
        let mut effects = std::mem::take(&mut self.effects);
        self.reducer.reduce(event, clock::now(), &mut effects);
        for effect in effects.drain(..) {
            self.perform(effect, len);
        }
        self.effects = effects;
    }

    fn perform(&mut self, effect: Effect, len: usize) {
        match effect {
            Effect::Relay { to, tag } => self.relay(to, tag, len),
            Effect::Deliver(tag) => self.deliver(tag, len),
            Effect::Hold(tag) => self.hold(tag, len),
            Effect::Queue { ticket, tag } => self.keep(ticket, tag, len),
            Effect::Release(ticket) => self.release(ticket),
            Effect::Return(ticket, tag, to) => self.return_kept(ticket, tag, to),
            Effect::Discard(ticket) => drop(self.kept_packets.take(ticket)),
            Effect::SendToCaller => self.forward_answer(len),
            Effect::Reset { flow, seq } => self.send_reset(&flow, seq),
            Effect::Send { to, message } => self.send_message(to, &message),
            Effect::Fetch { from, version } => {
                log::debug!(
                    target: LOG_TARGET,
                    from:% = from,
                    version:% = version;
                    "fetching a newer configuration"
                );
                self.fetch_config(from);
            }
            Effect::Log(decision) => {
                self.shared.metrics.count_decision(&decision);
                self.decision_log.write(&decision, clock::now());
            }
            Effect::Watch(watching) => self.shared.store.set_watching(watching),
            Effect::Publish(members) => self.shared.store.publish(members),
            Effect::Discover => self.shared.store.discover(),
            Effect::SaveFlows(digest) => self.shared.store.save_flows(digest),
            Effect::Measure(measure, duration) => self.shared.metrics.observe(measure, duration),
        }
    }

    fn relay(&mut self, to: Ipv4Addr, tag: RelayTag, len: usize) {
        self.adapter.write_tag(&mut self.buffer[..len], tag);
        self.send_to_instance(to, &self.buffer[..len]);
    }

    fn send_to_instance(&self, to: Ipv4Addr, bytes: &[u8]) {
        let to = SocketAddrV4::new(to, self.ports.relay);
        let _ = self.sockets.relay.try_send_to(bytes, to.into());
    }

    fn deliver(&mut self, tag: RelayTag, len: usize) {
        self.adapter.write_tag(&mut self.buffer[..len], tag);
        self.send_to_backend(&self.buffer[..len]);
    }

    fn send_to_backend(&self, bytes: &[u8]) {
        let Some(socket) = &self.sockets.delivery else {
            return;
        };
        if send_connected(socket, bytes) {
            self.shared.handle.send(Event::DeliveryRefused);
        }
    }

    /// Keeps the packet in the buffer until its ticket is named again.
    fn keep(&mut self, ticket: Ticket, tag: RelayTag, len: usize) {
        self.adapter.write_tag(&mut self.buffer[..len], tag);
        let bytes = &self.buffer[..len];
        self.kept_packets.insert(ticket, bytes, clock::now());
    }

    fn release(&mut self, ticket: Ticket) {
        if let Some(bytes) = self.kept_packets.take(ticket) {
            self.send_to_backend(&bytes);
        }
    }

    fn return_kept(&mut self, ticket: Ticket, tag: RelayTag, to: Ipv4Addr) {
        if let Some(mut bytes) = self.kept_packets.take(ticket) {
            self.adapter.write_tag(&mut bytes, tag);
            self.send_to_instance(to, &bytes);
        }
    }

    /// Keeps the packet in the buffer until the next tick or answer of the store, if there is room.
    fn hold(&mut self, tag: RelayTag, len: usize) {
        if self.held_packets.len() >= MAX_HELD_PACKETS {
            return;
        }
        self.adapter.write_tag(&mut self.buffer[..len], tag);
        let source = Source::Peer(tag.origin);
        let bytes = self.buffer[..len].to_vec();
        self.held_packets.push(HeldPacket { source, bytes });
    }

    fn forward_answer(&self, len: usize) {
        let Some(packet) = self
            .adapter
            .parse_packet(&self.buffer[..len], Source::Backend)
        else {
            return;
        };
        self.send_to_caller(&packet.flow, &self.buffer[..len]);
    }

    fn send_reset(&self, flow: &Flow, seq: u32) {
        let mut bytes = [0; 64];
        let len = self.adapter.write_reset(&mut bytes, flow, seq);
        self.send_to_caller(flow, &bytes[..len]);
    }

    fn send_to_caller(&self, flow: &Flow, bytes: &[u8]) {
        let to = SocketAddrV4::new(*flow.caller.ip(), self.ports.caller);
        let socket = self.sockets.fabric.as_ref().unwrap_or(&self.sockets.relay);
        let _ = socket.try_send_to(bytes, to.into());
    }

    fn send_message(&self, to: Ipv4Addr, message: &Message) {
        let Ok(bytes) = rmp_serde::to_vec(message) else {
            return;
        };
        let to = SocketAddrV4::new(to, self.ports.link);
        let _ = self.sockets.link.try_send_to(&bytes, to.into());
    }

    /// Fetches the configuration from another instance in the background.
    fn fetch_config(&self, from: Ipv4Addr) {
        let http = self.http.clone();
        let handle = self.shared.handle.clone();
        let port = self.ports.link;
        tokio::spawn(async move {
            match config_transfer::fetch_config(&http, from, port).await {
                Ok(table) => {
                    handle.send(Event::Table(Arc::new(table)));
                }
                Err(err) => log::info!(
                    target: LOG_TARGET,
                    from:% = from,
                    err:% = err;
                    "configuration not fetched"
                ),
            }
        });
    }
}

#[cfg(test)]
#[path = "../tests/unit/event_loop.rs"]
mod tests;
