//! Two balancers, three agents and one flow, whose packets and messages arrive in all orders.

use std::collections::{BTreeSet, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::sync::Arc;

use buckthornlink_core::datagram::{
    Agent, BackendHeartbeat, Balancer, Connection, Effect, Event, Fact, FlowDigest, Load, Message,
    Mode, Packet, Phase, Reducer, RelayTag, Role, Source,
};
use buckthornlink_core::{BootId, Millis};

use crate::datagram::{
    self, data, fact, heartbeat, opening, service, setup, status, syn_ack, table,
};

pub const BALANCERS: [Ipv4Addr; 2] = [Ipv4Addr::new(10, 1, 0, 8), Ipv4Addr::new(10, 1, 0, 9)];
pub const AGENTS: [Ipv4Addr; 3] = [
    Ipv4Addr::new(10, 1, 0, 1),
    Ipv4Addr::new(10, 1, 0, 2),
    Ipv4Addr::new(10, 1, 0, 3),
];
/// Time at which each exploration begins.
pub const START: Millis = Millis(40_000);
/// Number of states at which an exploration is aborted as endless.
const MAX_STATES: usize = 200_000;

/// State of the flow at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BackendFlow {
    Unknown,
    HalfOpen,
    Open,
    /// The backend server has ended and answers nothing.
    Ended,
}

/// A packet or message in transit.
#[derive(Clone, Debug)]
pub enum InFlight {
    Packet(Ipv4Addr, Source, Packet),
    Message(Ipv4Addr, Ipv4Addr, Message),
    ToCaller(Packet),
    /// The backend server beside an agent ends, and the agent notices.
    End(usize),
    /// The backend server beside an agent crashes and is back at once, with another boot.
    Return(usize, Channel),
    /// A heartbeat of a boot of the backend server beside an agent. The next one is due an interval after it.
    Heartbeat(usize, u64, u64),
    /// A heartbeat of the first boot that was held up.
    LateHeartbeat(usize),
    /// The backend server beside an agent accepts a connection.
    Accepted(usize),
    /// The fact of an agent, to all others.
    Fact(Fact),
}

/// What the connection between an agent and its backend server tells of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Channel {
    /// Nothing: it has fallen silent.
    Silent,
    /// Nothing: it is being renewed, and the next one is accepted.
    Renewed,
    /// That it is closed, which the agent observes at once; the next one is accepted.
    Closed,
}

#[derive(Clone, Debug)]
pub struct World {
    pub balancers: [Balancer; 2],
    pub agents: [Agent; 3],
    backend_flows: [BackendFlow; 3],
    pub wire: Vec<InFlight>,
    /// Packets that agents hold until their next ticks. Whatever is in transit arrives before.
    held: Vec<(Ipv4Addr, Packet)>,
    now: Millis,
    /// Index of the balancer that the caller's next packets reach.
    pub entry_balancer: usize,
    acknowledged: Option<usize>,
    acknowledged_seq: u32,
    delivered: BTreeSet<usize>,
    resets: usize,
    /// Boot of each backend server; the first one is 1.
    boots: [u64; 3],
    /// Whether the backend server that held the flow, or was about to, has ended since.
    has_ended: bool,
    /// Resets of the flow after its end.
    told: usize,
    /// Resets before it was open.
    refusals: usize,
    /// Number of the last heartbeat of a boot that returns.
    pub last_heartbeat: u64,
    /// Whether changes of an agent's fact are in transit as [`InFlight::Fact`], in place of all statuses.
    tells_facts: bool,
    /// Balancers through which the caller sends once more, one after the other, when nothing else is in transit.
    pub later_sends: Vec<usize>,
}

/// Number of the heartbeat of a boot that returns by which the agent believes it in any case.
const BELIEVED_HEARTBEAT: u64 = 4;
/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Millis = Millis(1_200);

/// All instances but one.
fn others(ip: Ipv4Addr) -> impl Iterator<Item = Ipv4Addr> {
    let all = BALANCERS.into_iter().chain(AGENTS);
    all.filter(move |other| *other != ip)
}

/// Sequence number with which a backend server answers an opening packet in its first boot.
pub fn syn_ack_seq(index: usize) -> u32 {
    boot_seq(index, 1)
}

/// The same in any boot.
fn boot_seq(index: usize, boot: u64) -> u32 {
    0x1000_0000 * (u32::try_from(index).unwrap() + 1) + 0x10_0000 * u32::try_from(boot - 1).unwrap()
}

/// A heartbeat of a boot of a backend server.
fn boot_heartbeat(boot: u64, seq: u64) -> BackendHeartbeat {
    BackendHeartbeat {
        id: format!("i-{boot}"),
        born: Some(4_000 + 1_000 * boot),
        ..heartbeat(seq)
    }
}

/// The caller's first payload after the handshake answer of a backend server.
pub fn data_to(index: usize) -> Packet {
    let mut packet = data(1);
    packet.ack = syn_ack_seq(index) + 1;
    packet
}

impl World {
    /// A world in which all instances know each other and all backend servers have just started.
    pub fn new() -> Self {
        let agents = AGENTS.map(|ip| {
            let mut agent = new_agent(ip, BootId(1));
            reduce(&mut agent, Event::BackendHeartbeat(heartbeat(1)), START);
            agent
        });
        let balancers = BALANCERS.map(|ip| new_balancer(ip, BootId(1)));
        let mut world = Self {
            balancers,
            agents,
            backend_flows: [BackendFlow::Unknown; 3],
            wire: Vec::new(),
            held: Vec::new(),
            now: START,
            entry_balancer: 0,
            acknowledged: None,
            acknowledged_seq: 0,
            delivered: BTreeSet::new(),
            resets: 0,
            boots: [1; 3],
            has_ended: false,
            told: 0,
            refusals: 0,
            last_heartbeat: BELIEVED_HEARTBEAT,
            tells_facts: false,
            later_sends: Vec::new(),
        };
        world.exchange_facts();
        world
    }

    /// A world in which the flow is open at an agent.
    pub fn open_at(index: usize) -> Self {
        let mut world = Self::new();
        world.open(index);
        world
    }

    /// Opens the flow at an agent.
    fn open(&mut self, index: usize) {
        let ip = AGENTS[index];
        let mut first = opening(1);
        first.tag = RelayTag::new(Mode::Placed, BALANCERS[0]);
        let from = Source::Peer(BALANCERS[0]);
        self.deliver(InFlight::Packet(ip, from, first));
        self.acknowledge(index, boot_seq(index, self.boots[index]));
        self.wire.clear();
        let answer = syn_ack(1, self.acknowledged_seq);
        self.deliver(InFlight::Packet(ip, Source::Backend, answer));
        let mut next = self.payload(index);
        next.tag = first.tag;
        self.deliver(InFlight::Packet(ip, from, next));
        self.wire.clear();
        assert_eq!(self.backend_flows[index], BackendFlow::Open);
        self.delivered.clear();
    }

    fn acknowledge(&mut self, index: usize, seq: u32) {
        self.acknowledged = Some(index);
        self.acknowledged_seq = seq;
    }

    /// Sends the facts of each instance to all others.
    pub fn exchange_facts(&mut self) {
        let facts = self.facts();
        for fact in facts {
            let message = status(fact);
            for ip in BALANCERS.into_iter().chain(AGENTS) {
                if ip != fact.ip {
                    self.reduce(
                        ip,
                        Event::Message {
                            from: fact.ip,
                            message: message.clone(),
                        },
                    );
                }
            }
        }
        self.wire.clear();
    }

    fn facts(&self) -> Vec<Fact> {
        let balancers = BALANCERS.iter().map(|&ip| {
            let mut own = fact(ip, Phase::Ready, Load::default());
            own.role = Role::Balancer;
            own
        });
        let agents = self.agents.iter().map(|agent| Fact {
            seq: agent.gossip().own().seq + 1,
            ..*agent.gossip().own()
        });
        balancers.chain(agents).collect()
    }

    /// Reports to a balancer that all agents but one are loaded.
    pub fn report_loads(&mut self, balancer: usize, agent: usize) {
        let loaded = Load {
            waiting: 300,
            flows: 50,
            slots: 8,
        };
        for (index, fact) in self.facts().into_iter().skip(2).enumerate() {
            let load = if index == agent {
                Load::default()
            } else {
                loaded
            };
            let seq = fact.seq + 1;
            let message = status(Fact { load, seq, ..fact });
            let from = fact.ip;
            self.reduce(BALANCERS[balancer], Event::Message { from, message });
        }
    }

    fn reduce(&mut self, ip: Ipv4Addr, event: Event) -> Vec<Effect> {
        let agent = AGENTS.iter().position(|&a| a == ip);
        let balancer = BALANCERS.iter().position(|&b| b == ip);
        match (agent, balancer) {
            (Some(index), _) => reduce(&mut self.agents[index], event, self.now),
            (_, Some(index)) => reduce(&mut self.balancers[index], event, self.now),
            _ => Vec::new(),
        }
    }

    pub fn deliver(&mut self, item: InFlight) {
        match item {
            InFlight::Packet(to, source, packet) => {
                let effects = self.reduce(to, Event::Packet { source, packet });
                self.perform(to, &packet, effects);
            }
            InFlight::Message(to, from, message) => {
                let effects = self.reduce(to, Event::Message { from, message });
                self.perform(to, &data(1), effects);
            }
            InFlight::ToCaller(packet) => self.handle_at_caller(&packet),
            InFlight::End(index) => {
                self.backend_flows[index] = BackendFlow::Ended;
                for event in datagram::gone() {
                    self.observe(index, event);
                }
            }
            InFlight::Return(index, channel) => self.return_backend(index, channel),
            InFlight::Heartbeat(index, boot, seq) => {
                self.hear(index, boot_heartbeat(boot, seq));
                self.send_next_heartbeat(index, boot, seq);
            }
            InFlight::LateHeartbeat(index) => self.hear(index, boot_heartbeat(1, 2)),
            InFlight::Accepted(index) => {
                self.observe(index, Event::BackendConnection(Connection::Accepted));
            }
            InFlight::Fact(fact) => {
                for to in others(fact.ip) {
                    let (from, message) = (fact.ip, status(fact));
                    let effects = self.reduce(to, Event::Message { from, message });
                    self.perform(to, &data(1), effects);
                }
            }
        }
    }

    /// Loses an item in transit. A backend server whose heartbeat is lost sends the next one.
    fn lose(&mut self, item: &InFlight) {
        if let InFlight::Heartbeat(index, boot, seq) = item {
            self.send_next_heartbeat(*index, *boot, *seq);
        }
    }

    /// An agent handles an event without a packet. If its fact changes, it is in transit to all others.
    fn observe(&mut self, index: usize, event: Event) {
        let before = *self.agents[index].gossip().own();
        let effects = self.reduce(AGENTS[index], event);
        self.perform(AGENTS[index], &data(1), effects);
        let fact = *self.agents[index].gossip().own();
        if fact.urgent_fields() != before.urgent_fields() {
            self.wire.push(InFlight::Fact(fact));
        }
    }

    /// An agent hears a heartbeat of its backend server; the later ones of a boot come at intervals.
    fn hear(&mut self, index: usize, heartbeat: BackendHeartbeat) {
        self.observe(index, Event::BackendHeartbeat(heartbeat));
    }

    /// Lets the time up to the next heartbeat pass, and has that in transit.
    fn send_next_heartbeat(&mut self, index: usize, boot: u64, seq: u64) {
        if boot != self.boots[index] || seq >= self.last_heartbeat {
            return;
        }
        let end = self.now + HEARTBEAT_INTERVAL;
        while self.now < end {
            self.tick();
        }
        for other in (0..AGENTS.len()).filter(|i| *i != index) {
            self.hear(other, boot_heartbeat(1, seq + 1));
        }
        self.wire.push(InFlight::Heartbeat(index, boot, seq + 1));
    }

    /// The backend server beside an agent crashes and is back at once. It holds no flows.
    fn return_backend(&mut self, index: usize, channel: Channel) {
        self.has_ended |= self.backend_flows[index] != BackendFlow::Unknown;
        self.backend_flows[index] = BackendFlow::Unknown;
        self.boots[index] += 1;
        self.delivered.remove(&index);
        self.wire
            .push(InFlight::Heartbeat(index, self.boots[index], 1));
        match channel {
            Channel::Silent => return,
            Channel::Renewed => {}
            Channel::Closed => self.observe(index, Event::BackendConnection(Connection::Closed)),
        }
        self.now = self.now + Millis(1);
        self.wire.push(InFlight::Accepted(index));
    }

    /// Lets time pass until the next ticks.
    fn tick(&mut self) {
        self.now = self.now + datagram::TICK_INTERVAL;
        for agent in 0..AGENTS.len() {
            self.observe(agent, Event::Tick);
        }
        for ip in BALANCERS {
            self.reduce(ip, Event::Tick);
        }
    }

    /// Has a backend server return unheard, and the flow open at the boot that returned. Its heartbeats are in transit.
    pub fn open_at_returned(index: usize, channel: Channel) -> Self {
        let mut world = Self::connected();
        world.deliver(InFlight::Return(index, channel));
        let pending = std::mem::take(&mut world.wire);
        world.open(index);
        world.wire = pending;
        world
    }

    /// A world in which all agents have a connection to their backend servers and have heard of them since.
    pub fn connected() -> Self {
        let mut world = Self::new();
        world.tells_facts = true;
        for ip in AGENTS {
            world.reduce(ip, Event::BackendConnection(Connection::Accepted));
            world.reduce(ip, Event::BackendHeartbeat(boot_heartbeat(1, 1)));
        }
        world.wire.clear();
        world
    }

    /// The caller sends once more through the next of the later balancers; returns whether there was one.
    fn send_later(&mut self) -> bool {
        let (Some(index), false) = (self.acknowledged, self.later_sends.is_empty()) else {
            return false;
        };
        self.entry_balancer = self.later_sends.remove(0);
        self.tick();
        self.send(self.payload(index));
        true
    }

    /// The caller's payload on the flow that it has open.
    fn payload(&self, index: usize) -> Packet {
        let mut packet = data(1);
        packet.ack = self.acknowledged_seq + 1;
        debug_assert_eq!(self.acknowledged, Some(index));
        packet
    }

    fn perform(&mut self, ip: Ipv4Addr, packet: &Packet, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Relay { to, tag } => {
                    let packet = Packet { tag, ..*packet };
                    self.wire
                        .push(InFlight::Packet(to, Source::Peer(ip), packet));
                }
                Effect::Hold(tag) => self.held.push((ip, Packet { tag, ..*packet })),
                Effect::Deliver(tag) => self.handle_at_backend(ip, Packet { tag, ..*packet }),
                Effect::SendToCaller if self.acknowledged.is_some() => {}
                Effect::SendToCaller => self.wire.push(InFlight::ToCaller(*packet)),
                Effect::Reset { .. } if self.has_ended => self.told += 1,
                Effect::Reset { .. } if self.is_open() => self.resets += 1,
                Effect::Reset { .. } => self.refusals += 1,
                Effect::SaveFlows(digest) => {
                    let has_tried = digest.has_tried;
                    let effects = self.reduce(ip, Event::FlowsSaved { has_tried });
                    self.perform(ip, packet, effects);
                }
                Effect::Send {
                    message: Message::Status(_),
                    ..
                } if self.tells_facts => {}
                Effect::Send { to, message } => self.wire.push(InFlight::Message(to, ip, message)),
                _ => {}
            }
        }
    }

    /// Lets time pass until the next ticks, after which the held packets are handled once more.
    fn release(&mut self) {
        self.now = self.now + datagram::TICK_INTERVAL;
        for (ip, packet) in std::mem::take(&mut self.held) {
            let source = Source::Peer(packet.tag.origin);
            self.deliver(InFlight::Packet(ip, source, packet));
        }
    }

    /// A backend server handles a packet and sends its response to its agent.
    fn handle_at_backend(&mut self, ip: Ipv4Addr, mut packet: Packet) {
        let index = AGENTS.iter().position(|&a| a == ip).unwrap();
        if self.backend_flows[index] == BackendFlow::Ended {
            return;
        }
        let own_seq = boot_seq(index, self.boots[index]);
        let is_acknowledged = packet.ack == own_seq + 1;
        let response = if packet.is_opening() {
            if self.backend_flows[index] == BackendFlow::Unknown {
                self.backend_flows[index] = BackendFlow::HalfOpen;
            }
            syn_ack(1, own_seq)
        } else if self.backend_flows[index] != BackendFlow::Unknown && is_acknowledged {
            self.backend_flows[index] = BackendFlow::Open;
            self.delivered.insert(index);
            return;
        } else {
            packet.flags.bounced = true;
            packet
        };
        self.wire
            .push(InFlight::Packet(ip, Source::Backend, response));
    }

    /// The caller accepts the first answer to its opening packet, and then sends payload.
    fn handle_at_caller(&mut self, packet: &Packet) {
        if packet.flags.syn && self.acknowledged.is_none() {
            let is_of = |index: &usize| packet.seq >> 28 == syn_ack_seq(*index) >> 28;
            let index = (0..3).find(is_of).unwrap();
            self.acknowledge(index, packet.seq);
            self.send(self.payload(index));
        }
    }

    /// The caller sends a packet.
    pub fn send(&mut self, packet: Packet) {
        let to = BALANCERS[self.entry_balancer];
        self.wire.push(InFlight::Packet(to, Source::Fabric, packet));
    }

    /// Whether the flow is open at a backend server that runs.
    fn is_open(&self) -> bool {
        self.backend_flows.contains(&BackendFlow::Open)
    }

    /// Whether the caller of a flow that has ended was told, or has no open flow.
    fn is_told(&self) -> bool {
        !self.has_ended || self.told > 0 || self.acknowledged.is_none()
    }

    /// Checks the invariants of every state.
    fn check(&self) -> Result<(), String> {
        if !self.delivered.iter().all(|i| Some(*i) == self.acknowledged) {
            return Err(format!(
                "payload was delivered to agents {:?}, but the caller acknowledged {:?}",
                self.delivered, self.acknowledged
            ));
        }
        if self.resets > 0 || self.refusals > 0 {
            return Err("a flow was reset although its backend server is running".to_owned());
        }
        Ok(())
    }
}

pub fn new_agent(ip: Ipv4Addr, boot: BootId) -> Agent {
    let mut setup = setup(ip, Role::Agent(service()));
    setup.boot = boot;
    let mut agent = Agent::new(&setup, Millis(30_000));
    reduce(&mut agent, Event::Table(Arc::new(table(1))), START);
    let agents = AGENTS.to_vec();
    reduce(&mut agent, Event::RegisteredAgents(agents), START);
    let saved = Event::SavedFlows(FlowDigest::default());
    reduce(&mut agent, saved, START);
    agent
}

fn new_balancer(ip: Ipv4Addr, boot: BootId) -> Balancer {
    let mut setup = setup(ip, Role::Balancer);
    setup.boot = boot;
    let mut balancer = Balancer::new(&setup, Millis(30_000));
    reduce(&mut balancer, Event::Table(Arc::new(table(1))), START);
    balancer
}

pub fn reduce(reducer: &mut impl Reducer, event: Event, now: Millis) -> Vec<Effect> {
    let mut effects = Vec::new();
    reducer.reduce(event, now, &mut effects);
    effects
}

/// What happened on the way to a state, the last step first.
#[derive(Clone, Default)]
struct Path(Option<Rc<(String, Path)>>);

impl Path {
    fn then(&self, step: String) -> Self {
        Self(Some(Rc::new((step, self.clone()))))
    }

    fn print(&self) {
        if let Some(step) = &self.0 {
            step.1.print();
            eprintln!("{}", step.0);
        }
    }
}

/// Delivers the items in flight in all orders; each is also lost once while `losses` remain.
/// Returns the number of states, and of end states with and without delivered payload.
pub fn explore(start: World, losses: usize) -> [usize; 3] {
    let mut seen = HashSet::new();
    let max_losses = losses;
    let mut unexplored = vec![(start, losses, Path::default())];
    let mut ends = [0; 2];
    while let Some((world, losses, path)) = unexplored.pop() {
        let mut hasher = DefaultHasher::new();
        format!("{world:?}{losses}").hash(&mut hasher);
        if !seen.insert(hasher.finish()) {
            continue;
        }
        assert!(
            seen.len() < MAX_STATES,
            "the exploration exceeds MAX_STATES"
        );
        if let Err(fault) = world.check() {
            path.print();
            panic!("{fault}");
        }
        if world.wire.is_empty() && !world.held.is_empty() {
            let mut next = world.clone();
            next.release();
            unexplored.push((next, losses, path.then("time passes".to_owned())));
            continue;
        }
        let mut later = world.clone();
        if world.wire.is_empty() && later.send_later() {
            unexplored.push((later, losses, path.then("the caller sends".to_owned())));
            continue;
        }
        if world.wire.is_empty() {
            ends[usize::from(world.delivered.is_empty())] += 1;
            if losses == max_losses && !world.is_told() {
                path.print();
                panic!("the caller of a flow that has ended was not told");
            }
        }
        for index in 0..world.wire.len() {
            let mut next = world.clone();
            let item = next.wire.remove(index);
            let step = format!("{item:?}");
            if losses > 0 {
                let mut lost = next.clone();
                lost.lose(&item);
                unexplored.push((lost, losses - 1, path.then(format!("lost: {step}"))));
            }
            next.deliver(item);
            unexplored.push((next, losses, path.then(step)));
        }
    }
    [seen.len(), ends[0], ends[1]]
}
