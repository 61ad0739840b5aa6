//! Packets and test drivers for the reducers of the datagram path.

#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod balancer_driver;
pub mod burst;
pub mod kept;
pub mod store;
pub mod store_fleet;
pub mod world;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use buckthornlink_core::datagram::{
    Agent, BackendHeartbeat, Connection, Effect, Event, Fact, Flags, Flow, FlowDigest, Load,
    Message, Mode, Packet, Phase, Reducer, RelayTag, Role, Route, ServiceLimits, ServiceTag, Setup,
    Source, Status, StoreView, Table, Target,
};
use buckthornlink_core::{BootId, Millis, Version, ZoneTag};

pub use balancer_driver::BalancerDriver;

/// The instance under test.
pub const OWN: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);
/// Address of the backend server beside each agent.
pub const BACKEND: SocketAddrV4 = SocketAddrV4::new(OWN, 8_080);
/// Another agent.
pub const PEER: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 2);
/// A balancer.
pub const BALANCER: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 9);

/// Boot of all agents but the one under test, which started some time after their backend servers.
pub const PEER_BOOT: BootId = BootId(9_001);

/// Interval of ticks.
pub const TICK_INTERVAL: Millis = Millis(200);

/// The service of all agents.
pub fn service() -> ServiceTag {
    ServiceTag::of("token")
}

/// The only route.
pub fn route() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

/// A configuration with one route to [`service`].
pub fn table(version: u64) -> Table {
    let target = Target {
        service: service(),
        weight: 1,
    };
    let limits = ServiceLimits {
        connections: 2_000,
        cold_rate: 10_000,
        cold_span: Millis(2_000),
    };
    Table {
        version: Version(version),
        idle: Millis(15_000),
        routes: BTreeMap::from([(
            route(),
            Route {
                targets: vec![target],
                ..Route::default()
            },
        )]),
        services: BTreeMap::from([(service(), limits)]),
    }
}

/// Startup parameters of the instance at `ip`.
pub fn setup(ip: Ipv4Addr, role: Role) -> Setup {
    Setup {
        ip,
        role,
        zone: ZoneTag::of("a"),
        boot: BootId(1),
        heartbeat_interval: Millis(1_200),
        backend_address: Some(BACKEND),
        seed: u64::from(u32::from(ip)),
    }
}

/// The flow of the caller with this port.
pub fn flow(port: u16) -> Flow {
    Flow {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), port),
        route: route(),
    }
}

/// A packet without flags and payload.
pub fn packet(port: u16) -> Packet {
    Packet {
        flow: flow(port),
        flags: Flags::default(),
        seq: 1,
        ack: 0,
        len: 0,
        tag: RelayTag::direct(),
    }
}

/// An opening packet.
pub fn opening(port: u16) -> Packet {
    let mut packet = packet(port);
    packet.flags.syn = true;
    packet
}

/// A packet from a caller with payload, which acknowledges 501.
pub fn data(port: u16) -> Packet {
    let mut packet = packet(port);
    packet.flags.ack = true;
    packet.ack = 501;
    packet.len = 100;
    packet
}

/// A packet from the backend server with payload.
pub fn answer(port: u16) -> Packet {
    let mut packet = data(port);
    packet.seq = 501;
    packet
}

/// A backend server's answer to an opening packet.
pub fn syn_ack(port: u16, seq: u32) -> Packet {
    let mut packet = opening(port);
    packet.flags.ack = true;
    packet.seq = seq;
    packet
}

/// A packet that the backend server returns.
pub fn bounced(mut packet: Packet) -> Packet {
    packet.flags.bounced = true;
    packet.tag = RelayTag::new(Mode::Direct, BALANCER);
    packet
}

/// A heartbeat of a ready backend server.
pub fn heartbeat(seq: u64) -> BackendHeartbeat {
    BackendHeartbeat {
        id: "i-1".to_owned(),
        born: Some(5_000),
        seq,
        service: service(),
        address: BACKEND,
        draining: false,
        cold: Millis(0),
        slots: 8,
    }
}

/// A heartbeat of a draining backend server.
pub fn draining(seq: u64) -> BackendHeartbeat {
    BackendHeartbeat {
        draining: true,
        ..heartbeat(seq)
    }
}

/// What the agent observes once the process of its backend server is gone: both ports refuse.
pub const fn gone() -> [Event; 2] {
    [
        Event::DeliveryRefused,
        Event::BackendConnection(Connection::Refused),
    ]
}

/// The announcement of the backend server that it is about to end.
pub fn ending() -> Event {
    Event::BackendEnding("i-1".to_owned())
}

/// Whether an effect writes a mark of tries.
pub const fn is_mark(effect: &Effect) -> bool {
    matches!(effect, Effect::SaveFlows(digest) if digest.has_tried)
}

/// The metadata of a packet that is held.
pub const fn held_tag(effect: &Effect) -> Option<RelayTag> {
    match effect {
        Effect::Hold(tag) => Some(*tag),
        _ => None,
    }
}

/// Whether an effect resets a flow.
pub const fn is_reset(effect: &Effect) -> bool {
    matches!(effect, Effect::Reset { .. })
}

/// Drives an agent with a simulated clock, and a store that answers at once what a packet waits for.
pub struct AgentDriver {
    pub agent: Agent,
    pub now: Millis,
    /// Whether the agent was told what an earlier process saved.
    is_loaded: bool,
    /// Whether the agent waits for the write of its mark of tries.
    is_mark_due: bool,
}

impl AgentDriver {
    /// An agent with a configuration but without a heartbeat of its backend server.
    pub fn without_backend() -> Self {
        Self::started_at(Millis(10_000))
    }

    /// The same, in a process that starts at `now`.
    pub fn started_at(now: Millis) -> Self {
        Self::booted(setup(OWN, Role::Agent(service())), now)
    }

    /// The same, in a process that starts at this time of day.
    pub fn started_at_time(boot: BootId) -> Self {
        let setup = Setup {
            boot,
            ..setup(OWN, Role::Agent(service()))
        };
        Self::booted(setup, Millis(10_000))
    }

    fn booted(setup: Setup, now: Millis) -> Self {
        let agent = Agent::new(&setup, now);
        let mut driver = Self {
            agent,
            now,
            is_loaded: false,
            is_mark_due: false,
        };
        driver.reduce(Event::Table(Arc::new(table(1))));
        driver
    }

    /// An agent whose backend server has just started.
    pub fn ready() -> Self {
        let mut driver = Self::without_backend();
        driver.heartbeat(heartbeat(1));
        driver
    }

    /// Advances the clock and sends a tick; returns its effects without log lines.
    pub fn advance(&mut self, span: Millis) -> Vec<Effect> {
        self.now = self.now + span;
        self.reduce(Event::Tick)
    }

    /// Lets time pass in which the process runs, with a tick every 200 ms; returns the effects of the ticks
    /// without log lines.
    pub fn run(&mut self, span: Millis) -> Vec<Effect> {
        let end = self.now + span;
        let mut effects = Vec::new();
        while self.now < end {
            let step = TICK_INTERVAL.min(end.since(self.now));
            effects.extend(self.advance(step));
        }
        effects
    }

    /// Handles an event; returns its effects without log lines. A packet that waits for the store is handled once more
    /// after the answer of that.
    pub fn reduce(&mut self, event: Event) -> Vec<Effect> {
        let Event::Packet { packet, .. } = event else {
            return self.reduce_once(event);
        };
        let mut effects = self.reduce_once(event);
        while let Some(tag) = effects.iter().find_map(held_tag) {
            let Some(answer) = self.next_store_answer(&mut effects) else {
                break;
            };
            effects.retain(|e| !matches!(e, Effect::Hold(_)));
            effects.extend(self.reduce_once(answer));
            let source = Source::Peer(tag.origin);
            let packet = Packet { tag, ..packet };
            effects.extend(self.reduce_once(Event::Packet { source, packet }));
        }
        effects
    }

    /// Handles an event without an answer of the store.
    pub fn reduce_once(&mut self, event: Event) -> Vec<Effect> {
        self.is_loaded |= matches!(event, Event::SavedFlows(_));
        let mut effects = Vec::new();
        self.agent.reduce(event, self.now, &mut effects);
        effects.retain(|e| !matches!(e, Effect::Log(_)));
        self.is_mark_due |= effects.iter().any(is_mark);
        effects
    }

    /// The answer of the store to a read or a write that is due.
    fn next_store_answer(&mut self, effects: &mut Vec<Effect>) -> Option<Event> {
        if std::mem::take(&mut self.is_mark_due) {
            effects.retain(|e| !is_mark(e));
            return Some(Event::FlowsSaved { has_tried: true });
        }
        (!self.is_loaded).then(|| Event::SavedFlows(FlowDigest::default()))
    }

    /// The backend server's process is gone; returns the effects without log lines.
    pub fn end_backend(&mut self) -> Vec<Effect> {
        let effects = gone().map(|event| self.reduce(event));
        effects.into_iter().flatten().collect()
    }

    /// The phase that the agent announces with its next tick.
    pub fn phase_after_tick(&mut self) -> Phase {
        self.advance(Millis(1));
        self.phase()
    }

    /// The phase that the agent announces.
    pub fn phase(&self) -> Phase {
        self.agent.gossip().own().phase
    }

    /// A packet arrives from [`BALANCER`], or from [`PEER`] if it is a search or a try.
    pub fn packet_from_peer(&mut self, mut packet: Packet, mode: Mode) -> Vec<Effect> {
        packet.tag = RelayTag::new(mode, BALANCER);
        let source = Source::Peer(if matches!(mode, Mode::Search | Mode::Try) {
            PEER
        } else {
            BALANCER
        });
        self.reduce(Event::Packet { source, packet })
    }

    /// A packet arrives from the backend server.
    pub fn packet_from_backend(&mut self, packet: Packet) -> Vec<Effect> {
        let source = Source::Backend;
        self.reduce(Event::Packet { source, packet })
    }

    /// A heartbeat arrives from the backend server.
    pub fn heartbeat(&mut self, heartbeat: BackendHeartbeat) -> Vec<Effect> {
        self.reduce(Event::BackendHeartbeat(heartbeat))
    }

    /// A control message arrives from [`PEER`].
    pub fn message(&mut self, message: Message) -> Vec<Effect> {
        self.reduce(Event::Message {
            from: PEER,
            message,
        })
    }

    /// Another agent sends its own fact.
    pub fn add_agent(&mut self, ip: Ipv4Addr, service: ServiceTag) {
        self.receive_fact(ip, service, Phase::Ready);
    }

    /// An agent of [`service`] in phase ready sends its own fact; returns the effects without log
    /// lines.
    pub fn discover(&mut self, ip: Ipv4Addr) -> Vec<Effect> {
        self.discover_in(ip, Phase::Ready)
    }

    /// An agent of [`service`] sends its own fact; returns the effects without log lines.
    pub fn discover_in(&mut self, ip: Ipv4Addr, phase: Phase) -> Vec<Effect> {
        self.now = self.now + Millis(10);
        self.receive_fact(ip, service(), phase)
    }

    fn receive_fact(&mut self, ip: Ipv4Addr, service: ServiceTag, phase: Phase) -> Vec<Effect> {
        let mut fact = fact(ip, phase, Load::default());
        fact.role = Role::Agent(service);
        fact.seq = u32::try_from(self.now.0).unwrap();
        let message = status(fact);
        self.reduce(Event::Message { from: ip, message })
    }

    /// Opens a flow with a complete handshake.
    pub fn open_flow(&mut self, port: u16) {
        self.packet_from_peer(opening(port), Mode::Placed);
        self.packet_from_backend(syn_ack(port, 500));
        self.packet_from_peer(data(port), Mode::Placed);
    }
}

/// A fact of an agent of [`service`].
pub fn fact(ip: Ipv4Addr, phase: Phase, load: Load) -> Fact {
    Fact {
        ip,
        role: Role::Agent(service()),
        zone: ZoneTag::of("a"),
        boot: PEER_BOOT,
        seq: 1,
        phase,
        backend: BootId(1),
        store: false,
        load,
        holds_earlier: false,
    }
}

/// A status message with only the sender's own fact.
pub fn status(from: Fact) -> Message {
    Message::Status(Status {
        from,
        store: StoreView {
            version: Version(1),
            zones: Vec::new(),
            ..StoreView::default()
        },
        facts: Vec::new(),
        beats: Vec::new(),
        known: 1,
        asks: false,
    })
}
