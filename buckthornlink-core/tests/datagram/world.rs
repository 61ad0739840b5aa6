//! Balancers and agents in three zones with their backend servers, and one flow, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;

use buckthornlink_core::datagram::{
    Agent, BackendHeartbeat, Balancer, Effect, Event, FlowDigest, Message, Mode, Packet, Reducer,
    RelayTag, Role, Setup, Source,
};
use buckthornlink_core::{BootId, Millis, ZoneTag};

use super::kept::KeptPackets;
use super::store::{DigestStore, STORE_DELAY};
use super::{answer, data, heartbeat, opening, service, setup, syn_ack, table};

/// Interval of the reducers' ticks.
pub const TICK_INTERVAL: Millis = Millis(100);
/// Number of ticks between two heartbeats of a backend server.
pub const HEARTBEAT_TICKS: u64 = 12;
/// Time within which few packets of a flow may reach other backend servers than its own, whether or not
/// others reach that meanwhile.
pub const STRAY_WINDOW: Millis = Millis(2_000);
/// Maximum number of packets that may do so.
pub const MAX_STRAYS: usize = 2;
/// Time after a kill in which an instance is excused.
pub const CONTACT_TIME: Millis = Millis(4_000);
/// Number of agents, two in each zone.
pub const AGENTS: u8 = 6;
/// Number of flows that are tried, with different home agents.
pub const FLOWS: u16 = 12;
/// Time from a request to terminate to the end of the process.
pub const SHUTDOWN_TIME: Millis = Millis(1_600);
/// Time for which an agent is down while it is restarted.
pub const RESTART_TIME: Millis = Millis(500);
/// Times after a packet of the caller at which it sends copies while it gets no answer.
pub const RETRANSMIT_DELAYS: [Millis; 3] = [Millis(200), Millis(600), Millis(1_400)];
/// Time that a packet or message takes within a zone.
pub const LOCAL_DELAY: Millis = Millis(1);
/// Time that it takes between two zones: the copy for the owner may be the last one to arrive.
pub const ZONE_DELAY: Millis = Millis(7);
/// Zones, with a balancer in each of the first two.
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// Time in which all that was sent has arrived.
pub const SETTLING_TIME: Millis = Millis(100);

/// A packet or message in transit.
pub enum InFlight {
    Packet(Ipv4Addr, Source, Packet),
    Message(Ipv4Addr, Ipv4Addr, Message),
    /// An agent's read of what an earlier process saved.
    Read(Ipv4Addr),
    /// An agent's write of its record.
    Write(Ipv4Addr, FlowDigest),
}

/// An agent whose process is paused.
pub struct Paused {
    index: u8,
    agent: Option<Agent>,
}

/// A packet of the flow that reached a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    pub at: Millis,
    /// Whether that is the one which holds the flow.
    pub is_owner: bool,
}

/// Balancers, agents in three zones and their backend servers, and one flow, in virtual time.
pub struct World {
    pub now: Millis,
    pub next_tick: Millis,
    pub balancers: BTreeMap<Ipv4Addr, Balancer>,
    pub agents: BTreeMap<Ipv4Addr, Option<Agent>>,
    pub kept: KeptPackets,
    /// What is in transit, by its arrival and the order of sending.
    pub in_flight: BTreeMap<(Millis, usize), InFlight>,
    pub sent: usize,
    pub seq: u64,
    pub store: DigestStore,
    /// The caller's port, on which the flow's home agent depends.
    pub port: u16,
    /// The agent whose backend server holds the flow.
    pub owner: Ipv4Addr,
    /// Packets that reached backend servers, in order.
    pub arrivals: Vec<Arrival>,
    pub resets: usize,
    /// Instances whose packets and messages to others are lost.
    pub muted: BTreeSet<Ipv4Addr>,
    /// Backend servers that were replaced, with the number of heartbeats before.
    pub replaced: BTreeMap<Ipv4Addr, u64>,
    /// Backend servers that drain.
    pub draining: BTreeSet<Ipv4Addr>,
    /// Backend servers that have ended without a successor.
    pub gone: BTreeSet<Ipv4Addr>,
}

/// The balancer with this index; the first one gets the flow's packets.
pub fn balancer_ip(index: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, 0, 9 + index * 4)
}

/// The agent with this index.
pub fn agent_ip(index: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, 0, 20 + index)
}

pub fn zone_of(ip: Ipv4Addr) -> &'static str {
    ZONES[usize::from(ip.octets()[3] % 3)]
}

pub fn setup_of(ip: Ipv4Addr, role: Role, now: Millis) -> Setup {
    Setup {
        zone: ZoneTag::of(zone_of(ip)),
        boot: BootId(now.0),
        ..setup(ip, role)
    }
}

/// Time that a packet or message takes between two instances.
pub fn delay(from: Ipv4Addr, to: Ipv4Addr) -> Millis {
    if from == to {
        Millis(0)
    } else if zone_of(from) == zone_of(to) {
        LOCAL_DELAY
    } else {
        ZONE_DELAY
    }
}

impl World {
    /// A world without a flow.
    pub fn new(port: u16) -> Self {
        let now = Millis(100_000);
        let mut world = Self {
            now,
            next_tick: now,
            balancers: BTreeMap::new(),
            agents: (0..AGENTS).map(|i| (agent_ip(i), None)).collect(),
            kept: KeptPackets::default(),
            in_flight: BTreeMap::new(),
            sent: 0,
            seq: 0,
            store: DigestStore::new(),
            port,
            owner: agent_ip(0),
            arrivals: Vec::new(),
            resets: 0,
            muted: BTreeSet::new(),
            replaced: BTreeMap::new(),
            draining: BTreeSet::new(),
            gone: BTreeSet::new(),
        };
        world.beat();
        for index in 0..2 {
            world.start_balancer(index);
        }
        for index in 0..AGENTS {
            world.start(index);
        }
        world.run(Millis(20_000));
        world
    }

    /// A world in which the flow has been open for some time where the balancer placed it.
    pub fn open(port: u16) -> Self {
        let mut world = Self::new(port);
        world.push(
            balancer_ip(0),
            balancer_ip(0),
            Source::Fabric,
            opening(port),
        );
        world.run(SETTLING_TIME);
        world.send();
        world.run(Millis(1_000));
        world
    }

    /// A world in which it has been open for some time at this agent, whatever the balancer prefers.
    pub fn open_at(index: u8, port: u16) -> Self {
        let mut world = Self::new(port);
        world.owner = agent_ip(index);
        let tag = RelayTag::new(Mode::Placed, balancer_ip(0));
        let placed = Packet {
            tag,
            ..opening(port)
        };
        let source = Source::Peer(balancer_ip(0));
        world.push(world.owner, world.owner, source, placed);
        world.run(SETTLING_TIME);
        let first = Packet { tag, ..data(port) };
        world.push(world.owner, world.owner, source, first);
        world.run(SETTLING_TIME);
        world.send();
        world.run(Millis(1_000));
        world
    }

    pub fn start_balancer(&mut self, index: u8) {
        let ip = balancer_ip(index);
        let balancer = Balancer::new(&setup_of(ip, Role::Balancer, self.now), self.now);
        self.balancers.insert(ip, balancer);
        self.introduce(ip);
    }

    /// Starts the process of an agent beside its backend server.
    pub fn start(&mut self, index: u8) {
        let ip = agent_ip(index);
        let role = Role::Agent(service());
        let agent = Agent::new(&setup_of(ip, role, self.now), self.now);
        self.agents.insert(ip, Some(agent));
        self.introduce(ip);
        self.put(STORE_DELAY, InFlight::Read(ip));
        self.reduce(ip, Event::BackendHeartbeat(self.next_heartbeat(ip)), None);
    }

    /// Ends the backend server that holds the flow, which another one replaces.
    pub fn replace_owner(&mut self) {
        self.replaced.insert(self.owner, self.seq);
        self.owner = Ipv4Addr::UNSPECIFIED;
    }

    /// The heartbeat that the backend server beside an agent sends next.
    fn next_heartbeat(&self, ip: Ipv4Addr) -> BackendHeartbeat {
        let Some(before) = self.replaced.get(&ip) else {
            return BackendHeartbeat {
                draining: self.draining.contains(&ip),
                ..heartbeat(self.seq)
            };
        };
        BackendHeartbeat {
            id: "i-2".to_owned(),
            born: Some(9_000),
            ..heartbeat(self.seq + 1 - before)
        }
    }

    /// Passes what the store holds to a process that starts.
    pub fn introduce(&mut self, ip: Ipv4Addr) {
        let agents: Vec<Ipv4Addr> = self.agents.keys().copied().collect();
        let balancers = (0..2).map(balancer_ip);
        let contacts = agents.iter().copied().chain(balancers);
        let contacts = contacts.filter(|&other| other != ip).collect();
        self.reduce(ip, Event::Table(Arc::new(table(1))), None);
        self.reduce(ip, Event::Contacts(contacts), None);
        self.reduce(ip, Event::RegisteredAgents(agents), None);
        self.reduce(ip, Event::StoreAnswered(Millis(0)), None);
    }

    /// Asks the process of an agent to terminate, and starts another one after its downtime.
    pub fn restart(&mut self, index: u8) {
        self.stop(index);
        self.run(RESTART_TIME);
        self.start(index);
    }

    /// Asks the process of an agent to terminate, which it does.
    pub fn stop(&mut self, index: u8) {
        self.reduce(agent_ip(index), Event::Leave, None);
        self.run(SETTLING_TIME);
        self.kill(index);
    }

    /// Restarts several agents at once in good order: each is asked to terminate `step` after the one
    /// before, goes on for a while, and is back after its downtime, which differs.
    pub fn roll(&mut self, indices: &[u8], step: Millis) {
        let start = self.now;
        let mut steps: Vec<(Millis, u8, bool)> = Vec::new();
        for (&index, position) in indices.iter().zip(0..) {
            let stop_at = start + Millis(step.0 * position);
            let downtime = Millis(200 + 700 * (position % 5));
            steps.push((stop_at, index, false));
            steps.push((stop_at + SHUTDOWN_TIME + downtime, index, true));
        }
        steps.sort_unstable();
        let mut ends: Vec<(Millis, u8)> = Vec::new();
        for (at, index, is_start) in steps {
            self.run_until(at, &mut ends);
            if is_start {
                self.start(index);
            } else {
                self.reduce(agent_ip(index), Event::Leave, None);
                ends.push((at + SHUTDOWN_TIME, index));
            }
        }
    }

    /// Lets time pass until `at`, in which processes end.
    pub fn run_until(&mut self, at: Millis, ends: &mut Vec<(Millis, u8)>) {
        while let Some(&(end, index)) = ends.first().filter(|(end, _)| *end <= at) {
            self.run(end.since(self.now));
            self.kill(index);
            ends.remove(0);
        }
        self.run(at.since(self.now));
    }

    /// Ends the process of an agent without notice.
    pub fn kill(&mut self, index: u8) {
        self.agents.insert(agent_ip(index), None);
        self.kept.clear(agent_ip(index));
    }

    /// Pauses the process of an agent, whose packets and messages are lost meanwhile.
    pub fn pause(&mut self, index: u8) -> Paused {
        Paused {
            index,
            agent: self.agents.insert(agent_ip(index), None).flatten(),
        }
    }

    /// Resumes a process that was paused.
    pub fn resume(&mut self, paused: Paused) {
        self.agents.insert(agent_ip(paused.index), paused.agent);
    }

    /// Ends the processes of all agents and starts new ones later, as well as new balancers.
    pub fn kill_all(&mut self) {
        for index in 0..AGENTS {
            self.kill(index);
        }
        self.run(RESTART_TIME);
        for index in 0..AGENTS {
            self.start(index);
        }
        for index in 0..2 {
            self.start_balancer(index);
        }
    }

    /// The caller sends a packet with payload, and copies until one reaches the flow's backend server.
    /// It acknowledges the answer to it, and the copy that follows if that is lost.
    pub fn request(&mut self) {
        let sent_at = self.now;
        let count = self.delivery_count();
        self.send();
        for delay in RETRANSMIT_DELAYS {
            self.run((sent_at + delay).since(self.now));
            if self.delivery_count() > count {
                break;
            }
            self.send();
        }
        self.run(SETTLING_TIME);
        if self.delivery_count() > count {
            self.send();
            self.run(RETRANSMIT_DELAYS[0]);
            self.send();
            self.run(SETTLING_TIME);
        }
    }

    pub fn delivery_count(&self) -> usize {
        self.arrivals.iter().filter(|a| a.is_owner).count()
    }

    pub fn send(&mut self) {
        self.send_through(0);
    }

    pub fn send_through(&mut self, balancer: u8) {
        let ip = balancer_ip(balancer);
        self.push(ip, ip, Source::Fabric, data(self.port));
    }

    /// Puts a packet on its way.
    pub fn push(&mut self, from: Ipv4Addr, to: Ipv4Addr, source: Source, packet: Packet) {
        let item = InFlight::Packet(to, source, packet);
        self.put(delay(from, to), item);
    }

    pub fn put(&mut self, delay: Millis, item: InFlight) {
        self.sent += 1;
        self.in_flight.insert((self.now + delay, self.sent), item);
    }

    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        loop {
            let arrival = self.in_flight.first_key_value().map(|(key, _)| key.0);
            let next = arrival.map_or(self.next_tick, |at| at.min(self.next_tick));
            if next > end {
                break;
            }
            self.now = next;
            if arrival == Some(next) {
                self.deliver_next();
            } else {
                self.next_tick = next + TICK_INTERVAL;
                self.tick();
            }
        }
        self.now = end;
    }

    pub fn tick(&mut self) {
        self.beat();
        let mut ips: Vec<Ipv4Addr> = self.agents.keys().copied().collect();
        ips.extend(self.balancers.keys());
        for ip in ips {
            self.reduce(ip, Event::Tick, None);
        }
    }

    /// All backend servers send their next heartbeats, if they are due.
    pub fn beat(&mut self) {
        if !(self.now.0 / TICK_INTERVAL.0).is_multiple_of(HEARTBEAT_TICKS) {
            return;
        }
        self.seq += 1;
        let ips: Vec<Ipv4Addr> = self.agents.keys().copied().collect();
        for ip in ips {
            self.reduce(ip, Event::BackendHeartbeat(self.next_heartbeat(ip)), None);
        }
    }

    pub fn deliver_next(&mut self) {
        match self.in_flight.pop_first() {
            Some((_, InFlight::Packet(to, source, packet))) => {
                self.reduce(to, Event::Packet { source, packet }, Some(&packet));
            }
            Some((_, InFlight::Message(to, from, message))) => {
                self.reduce(to, Event::Message { from, message }, None);
            }
            Some((_, InFlight::Read(ip))) => {
                let read = self.store.read(ip);
                self.answer(ip, read);
            }
            Some((_, InFlight::Write(ip, digest))) => {
                let written = self.store.write(ip, digest);
                self.answer(ip, written);
            }
            None => {}
        }
    }

    /// The store answers a call of an agent, if it does.
    fn answer(&mut self, ip: Ipv4Addr, answer: Option<Event>) {
        if let Some(event) = answer {
            self.reduce(ip, event, None);
        }
    }

    pub fn reduce(&mut self, ip: Ipv4Addr, event: Event, packet: Option<&Packet>) {
        if self.gone.contains(&ip) && matches!(event, Event::BackendHeartbeat(_)) {
            return;
        }
        let mut effects = Vec::new();
        if let Some(balancer) = self.balancers.get_mut(&ip) {
            balancer.reduce(event, self.now, &mut effects);
        } else if let Some(Some(agent)) = self.agents.get_mut(&ip) {
            agent.reduce(event, self.now, &mut effects);
        }
        for effect in effects {
            self.perform(ip, effect, packet);
        }
    }

    pub fn perform(&mut self, ip: Ipv4Addr, effect: Effect, packet: Option<&Packet>) {
        let (effect, packet) = self.kept.resolve(ip, effect, packet);
        let packet = packet.as_ref();
        let to = match &effect {
            Effect::Relay { to, .. } | Effect::Send { to, .. } => *to,
            _ => ip,
        };
        if to != ip && self.muted.contains(&ip) {
            return;
        }
        match (effect, packet) {
            (Effect::Relay { to, tag }, Some(&packet)) => {
                self.push(ip, to, Source::Peer(ip), Packet { tag, ..packet });
            }
            (Effect::Send { to, message }, _) => {
                self.put(delay(ip, to), InFlight::Message(to, ip, message));
            }
            (Effect::Hold(tag), Some(&packet)) => {
                let packet = Packet { tag, ..packet };
                let held = InFlight::Packet(ip, Source::Peer(tag.origin), packet);
                self.put(TICK_INTERVAL, held);
            }
            (Effect::Deliver(tag), Some(&packet)) => self.deliver(ip, Packet { tag, ..packet }),
            (Effect::Reset { .. }, _) => self.resets += 1,
            (Effect::SaveFlows(digest), _) => self.put(STORE_DELAY, InFlight::Write(ip, digest)),
            _ => {}
        }
    }

    /// A backend server handles a packet: it answers it if it holds the flow, and bounces it otherwise.
    pub fn deliver(&mut self, ip: Ipv4Addr, mut packet: Packet) {
        if self.gone.contains(&ip) {
            return;
        }
        if packet.is_opening() {
            self.owner = ip;
            self.push(ip, ip, Source::Backend, syn_ack(self.port, 500));
            return;
        }
        let is_owner = ip == self.owner;
        let at = self.now;
        self.arrivals.push(Arrival { at, is_owner });
        if is_owner {
            packet = answer(self.port);
        } else {
            packet.flags.bounced = true;
            packet.tag = RelayTag::new(Mode::Direct, packet.tag.origin);
        }
        self.push(ip, ip, Source::Backend, packet);
    }

    /// Maximum number of packets that reached other backend servers within any [`STRAY_WINDOW`].
    pub fn max_strays(&self) -> usize {
        let strays = self.arrivals.iter().filter(|a| !a.is_owner).copied();
        max_within_window(&strays.collect::<Vec<_>>())
    }

    /// Checks that the flow was not reset, and that its last packet reached its backend server.
    pub fn check_found(&self) {
        assert_eq!(self.resets, 0, "port {}", self.port);
        let is_found = self.arrivals.last().is_some_and(|a| a.is_owner);
        assert!(is_found, "port {}: {:?}", self.port, self.arrivals);
    }
}

/// Maximum number of arrivals within any [`STRAY_WINDOW`].
pub fn max_within_window(arrivals: &[Arrival]) -> usize {
    let count = |first: &Arrival| {
        let is_inside = |a: &&Arrival| a.at >= first.at && a.at.since(first.at) <= STRAY_WINDOW;
        arrivals.iter().filter(is_inside).count()
    };
    arrivals.iter().map(count).max().unwrap_or(0)
}
