//! The loop around a reducer of the datagram path.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Effect, Event, Flow, Message, Reducer, RelayTag, Source};
use buckthornlink_node::logs;

use crate::journal::Journal;
use crate::link::{self, Offer};
use crate::metrics::Metrics;
use crate::sockets::{MAX_DATAGRAM, Received, Sockets, readable, try_receive};
use crate::{Adapter, Inbox, Input, Settings, clock};

/// Interval of ticks.
const TICK: Duration = Duration::from_millis(200);
/// Datagrams of one socket that are handled before the others are looked at.
const BATCH: usize = 64;
/// Time without packets of the fabric after which a leaving balancer ends.
const QUIET_SPAN: Millis = Millis(700);
/// Time for which a leaving process goes on in any case.
const LINGER: Millis = Millis(1_600);

/// A reducer with its sockets.
pub(crate) struct Node<R, A> {
    reducer: R,
    adapter: A,
    sockets: Sockets,
    outlets: Outlets,
    http: reqwest::Client,
    ports: Ports,
    grace: Millis,
    journal: Journal,
    effects: Vec<Effect>,
    buffer: Box<[u8; MAX_DATAGRAM]>,
    heard: Millis,
}

/// What the loop tells other tasks of the process.
pub(crate) struct Outlets {
    /// Readiness, and the way back to the loop.
    pub inbox: Inbox,
    /// The configuration that is offered to others.
    pub offer: Offer,
    /// Metrics.
    pub metrics: Metrics,
    /// Whether to watch the store.
    pub watching: watch::Sender<bool>,
}

/// Where other parties receive.
#[derive(Clone, Copy, Debug)]
struct Ports {
    caller: u16,
    link: u16,
    relay: u16,
    backend: Option<SocketAddrV4>,
}

impl<R: Reducer, A: Adapter> Node<R, A> {
    /// A node that is not running yet.
    pub(crate) fn new(
        reducer: R,
        adapter: A,
        sockets: Sockets,
        outlets: Outlets,
        settings: &Settings,
    ) -> anyhow::Result<Self> {
        Ok(Self {
            reducer,
            adapter,
            sockets,
            outlets,
            http: reqwest::Client::builder().no_proxy().build()?,
            ports: Ports {
                caller: settings.data.port(),
                link: settings.link_port,
                relay: settings.relay_port,
                backend: settings.backend.as_ref().map(|b| b.address),
            },
            grace: Millis(settings.grace_ms),
            journal: Journal::default(),
            effects: Vec::with_capacity(64),
            buffer: Box::new([0; MAX_DATAGRAM]),
            heard: clock::now(),
        })
    }

    /// Handles events until the process is to end.
    pub(crate) async fn run(mut self, inputs: flume::Receiver<Input>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut leaving: Option<Millis> = None;
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick() => self.tick(),
                input = inputs.recv_async() => match input {
                    Ok(Input::Event(event)) => self.reduce(event, 0),
                    Ok(Input::Stop) => {
                        leaving.get_or_insert_with(clock::now);
                        self.reduce(Event::Leave, 0);
                    }
                    Err(_) => return,
                },
                () = readable(self.sockets.fabric.as_ref()) => self.drain(Source::Fabric),
                () = readable(self.sockets.backend.as_ref()) => self.drain(Source::Backend),
                () = readable(Some(&self.sockets.relay)) => {
                    self.drain(Source::Peer(Ipv4Addr::UNSPECIFIED));
                }
                () = readable(Some(&self.sockets.link)) => self.drain_link(),
            }
            self.publish();
            if leaving.is_some_and(|since| self.may_end(since)) {
                return;
            }
        }
    }

    fn tick(&mut self) {
        self.reduce(Event::Tick, 0);
        self.journal.turn(clock::now());
        self.outlets.metrics.update(&self.reducer);
        logs::flush();
    }

    /// Whether a process that leaves since `since` is no longer needed.
    fn may_end(&self, since: Millis) -> bool {
        let now = clock::now();
        let age = now.since(since);
        let is_quiet = now.since(self.heard) >= QUIET_SPAN;
        age >= self.grace || age >= LINGER && is_quiet
    }

    /// Lets others see the present state.
    fn publish(&mut self) {
        let is_ready = self.reducer.is_ready(clock::now());
        if is_ready != self.outlets.inbox.is_ready() {
            log::info!(ready = is_ready; "readiness changed");
            self.outlets.inbox.set_ready(is_ready);
        }
        if self.reducer.table().version != self.outlets.offer.version() {
            self.outlets.offer.set(Arc::clone(self.reducer.table()));
        }
    }

    /// Handles the packets that wait at a socket.
    fn drain(&mut self, kind: Source) {
        for _ in 0..BATCH {
            let Some(socket) = self.sockets.of(kind) else {
                return;
            };
            let (len, from) = match try_receive(socket, &mut self.buffer[..]) {
                Received::Datagram(len, from) => (len, from),
                Received::Failed => continue,
                Received::Nothing => return,
            };
            let source = match kind {
                Source::Peer(_) => Source::Peer(from),
                other => other,
            };
            if let Some(packet) = self.adapter.read_packet(&self.buffer[..len], source) {
                self.heard = clock::now();
                self.outlets.metrics.count_packet(source);
                self.reduce(Event::Packet { source, packet }, len);
            }
        }
    }

    /// Handles the control messages that wait.
    fn drain_link(&mut self) {
        for _ in 0..BATCH {
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

    /// Reduces an event; a packet's bytes are the first `len` of the buffer.
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
            Effect::Answer => self.answer(len),
            Effect::Reset { flow, seq } => self.reset(&flow, seq),
            Effect::Send { to, message } => self.send(to, &message),
            Effect::Fetch { from, version } => {
                log::debug!(from:% = from, version:% = version; "configuration is fetched");
                self.fetch(from);
            }
            Effect::Log(decision) => {
                self.outlets.metrics.count_decision(&decision);
                self.journal.write(&decision, clock::now());
            }
            Effect::Watch(watching) => {
                self.outlets.watching.send_replace(watching);
            }
            Effect::Measure(measure, span) => self.outlets.metrics.observe(measure, span),
        }
    }

    fn relay(&mut self, to: Ipv4Addr, tag: RelayTag, len: usize) {
        self.adapter.write_tag(&mut self.buffer[..len], tag);
        let to = SocketAddrV4::new(to, self.ports.relay);
        let _ = self
            .sockets
            .relay
            .try_send_to(&self.buffer[..len], to.into());
    }

    fn deliver(&mut self, tag: RelayTag, len: usize) {
        self.adapter.write_tag(&mut self.buffer[..len], tag);
        if let (Some(socket), Some(to)) = (&self.sockets.backend, self.ports.backend) {
            let _ = socket.try_send_to(&self.buffer[..len], to.into());
        }
    }

    fn answer(&self, len: usize) {
        let Some(packet) = self
            .adapter
            .read_packet(&self.buffer[..len], Source::Backend)
        else {
            return;
        };
        self.send_to_caller(&packet.flow, &self.buffer[..len]);
    }

    fn reset(&self, flow: &Flow, seq: u32) {
        let mut bytes = [0; 64];
        let len = self.adapter.write_reset(&mut bytes, flow, seq);
        self.send_to_caller(flow, &bytes[..len]);
    }

    fn send_to_caller(&self, flow: &Flow, bytes: &[u8]) {
        let to = SocketAddrV4::new(*flow.caller.ip(), self.ports.caller);
        let socket = self.sockets.fabric.as_ref().unwrap_or(&self.sockets.relay);
        let _ = socket.try_send_to(bytes, to.into());
    }

    fn send(&self, to: Ipv4Addr, message: &Message) {
        let Ok(bytes) = rmp_serde::to_vec(message) else {
            return;
        };
        let to = SocketAddrV4::new(to, self.ports.link);
        let _ = self.sockets.link.try_send_to(&bytes, to.into());
    }

    /// Fetches the configuration of another process in the background.
    fn fetch(&self, from: Ipv4Addr) {
        let http = self.http.clone();
        let inbox = self.outlets.inbox.clone();
        let port = self.ports.link;
        tokio::spawn(async move {
            match link::fetch(&http, from, port).await {
                Ok(table) => {
                    inbox.send(Event::Table(Arc::new(table)));
                }
                Err(err) => log::debug!(from:% = from, err:% = err; "configuration not fetched"),
            }
        });
    }
}
