//! The world of the datagram path.

mod check;
mod faults;
mod site;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

use buckthornlink_core::datagram::{Effect, Event, Flow, Packet, Role, Source, Table};
use buckthornlink_core::member::ZoneRecord;
use buckthornlink_core::{Millis, Version, ZoneTag};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::backend::{Backend, HEARTBEAT, Reaction};
use super::caller::{Caller, News};
use super::fabric::{Cargo, Transit, route};
use super::process::{Instance, Process};
use super::{Outcome, Plan};
use check::Watched;
use site::{address, service, table, zone_tag};

/// Steps in which time passes.
const STEP: Millis = Millis(10);
/// Interval of a process's ticks.
const TICK: Millis = Millis(200);
/// Interval of readiness checks.
const CHECK: Millis = Millis(500);
/// Failed readiness checks after which the fabric turns away.
const MAX_MISSES: u32 = 2;
/// Work that a request takes, at most.
const MAX_WORK_MS: u64 = 60;
/// Instances that every process may ask at its start.
const SEEDS: usize = 3;

/// Sizes of a world.
#[derive(Clone, Debug)]
pub struct WorldSetup {
    /// Zones.
    pub zones: u8,
    /// Balancers in each zone.
    pub balancers: u8,
    /// Agents of the two services in each zone.
    pub agents: [u8; 2],
    /// Callers of each route.
    pub callers: u8,
    /// Datagrams that are lost, in a thousand.
    pub loss: u32,
    /// What happens.
    pub plan: Plan,
}

impl Default for WorldSetup {
    fn default() -> Self {
        Self {
            zones: 3,
            balancers: 2,
            agents: [2, 1],
            callers: 60,
            loss: 1,
            plan: Plan::default(),
        }
    }
}

/// Balancers, agents, backend servers and callers in virtual time.
pub struct World {
    now: Millis,
    rng: SmallRng,
    transit: Transit,
    instances: BTreeMap<Ipv4Addr, Instance>,
    callers: BTreeMap<Ipv4Addr, Caller>,
    watched: BTreeMap<Flow, Watched>,
    table: Arc<Table>,
    tables: Vec<(Millis, Arc<Table>)>,
    zones: BTreeMap<ZoneTag, (ZoneRecord, Millis)>,
    plan: Vec<(Millis, super::Fault)>,
    returns: Vec<(Millis, ZoneTag)>,
    heals: Vec<Millis>,
    loss: u32,
    usual_loss: u32,
    outcome: Outcome,
}

impl World {
    /// A world in which all processes start at once.
    #[must_use]
    pub fn new(setup: &WorldSetup, seed: u64) -> Self {
        let table = Arc::new(table(1, [service(0), service(1)]));
        let now = Millis(1_000_000);
        let mut plan = setup.plan.steps().to_vec();
        plan.reverse();
        let mut world = Self {
            now,
            rng: SmallRng::seed_from_u64(seed),
            transit: Transit::default(),
            instances: BTreeMap::new(),
            callers: BTreeMap::new(),
            watched: BTreeMap::new(),
            tables: vec![(now, Arc::clone(&table))],
            table,
            zones: BTreeMap::new(),
            plan: plan.iter().map(|&(at, f)| (now + at, f)).collect(),
            returns: Vec::new(),
            heals: Vec::new(),
            loss: setup.loss,
            usual_loss: setup.loss,
            outcome: Outcome::default(),
        };
        world.populate(setup);
        world
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.happen();
            self.arrive();
            self.move_callers();
            self.move_instances();
        }
    }

    /// What was seen so far.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        self.outcome
    }

    fn populate(&mut self, setup: &WorldSetup) {
        for zone in 0..setup.zones {
            for _ in 0..setup.balancers {
                self.join(Role::Balancer, zone_tag(zone));
            }
            for (index, &count) in setup.agents.iter().enumerate() {
                for _ in 0..count {
                    self.join(Role::Agent(service(index)), zone_tag(zone));
                }
            }
        }
        for index in 0..2 {
            for host in 0..setup.callers {
                let ip = Ipv4Addr::new(100, 64, u8::from(index == 1), host);
                self.callers.insert(ip, Caller::new(ip, address(index)));
            }
        }
        let ips: Vec<Ipv4Addr> = self.instances.keys().copied().collect();
        for ip in ips {
            self.start(ip);
        }
    }

    /// Adds an instance that is not running yet.
    fn join(&mut self, role: Role, zone: ZoneTag) -> Ipv4Addr {
        let host = u8::try_from(self.instances.len() + 1).unwrap_or(u8::MAX);
        let ip = Ipv4Addr::new(10, 1, 0, host);
        let mut instance = Instance::new(role, zone);
        if let Role::Agent(service) = role {
            let born = self.now.0 + u64::from(host);
            instance.backend = Some(Backend::new(service, born, self.now));
        }
        self.instances.insert(ip, instance);
        ip
    }

    /// Starts the process of an instance and tells it what its settings and the store say.
    fn start(&mut self, ip: Ipv4Addr) {
        let seed = self.rng.random();
        let now = self.now;
        let Some(instance) = self.instances.get_mut(&ip) else {
            return;
        };
        instance.process = Some(Process::start(ip, instance.role, instance.zone, now, seed));
        instance.down_until = None;
        instance.version = Version(0);
        instance.is_watching = false;
        let has_store = instance.store;
        let seeds = self.balancers().take(SEEDS).collect();
        self.tell(ip, Event::Contacts(seeds));
        if has_store {
            self.read_store(ip);
        }
    }

    /// Tells a process what stands in the store.
    fn read_store(&mut self, ip: Ipv4Addr) {
        let is_agent = |i: &Instance| i.backend.is_some();
        let agents = self.instances.iter().filter(|(_, i)| is_agent(i));
        let agents = agents.map(|(&ip, _)| ip).collect();
        let balancers = self.balancers().collect();
        self.tell(ip, Event::Table(Arc::clone(&self.table)));
        self.tell(ip, Event::Contacts(balancers));
        self.tell(ip, Event::RegisteredAgents(agents));
        self.read_zones(ip);
        self.tell(ip, Event::StoreReachable(true));
    }

    fn read_zones(&mut self, ip: Ipv4Addr) {
        let records: Vec<ZoneRecord> = self.zones.values().map(|(record, _)| *record).collect();
        for record in records {
            self.tell(ip, Event::Zone(record));
        }
    }

    /// Tells the processes that watch the store about a change.
    fn announce(&mut self) {
        let is_watching = |i: &Instance| i.is_watching && i.store;
        let ips = self.instances.iter().filter(|(_, i)| is_watching(i));
        let ips: Vec<Ipv4Addr> = ips.map(|(&ip, _)| ip).collect();
        for ip in ips {
            self.tell(ip, Event::Table(Arc::clone(&self.table)));
            self.read_zones(ip);
        }
    }

    fn balancers(&self) -> impl Iterator<Item = Ipv4Addr> {
        let is_balancer = |i: &Instance| i.role == Role::Balancer;
        let members = self.instances.iter().filter(move |(_, i)| is_balancer(i));
        members.map(|(&ip, _)| ip)
    }

    /// Reduces an event that concerns no packet.
    fn tell(&mut self, ip: Ipv4Addr, event: Event) {
        self.reduce(ip, event, None);
    }

    fn reduce(&mut self, ip: Ipv4Addr, event: Event, packet: Option<&Packet>) {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(&ip) else {
            return;
        };
        let Some(process) = &mut instance.process else {
            return;
        };
        let effects = process.reduce(event, now);
        let version = process.reducer().table().version;
        if version < instance.version {
            self.outcome.regressions += 1;
        }
        instance.version = version;
        for effect in effects {
            self.perform(ip, effect, packet);
        }
    }

    fn perform(&mut self, ip: Ipv4Addr, effect: Effect, packet: Option<&Packet>) {
        match (effect, packet) {
            (Effect::Relay { to, tag }, Some(packet)) => {
                let packet = unmarked(packet, tag);
                self.send(to, Cargo::Relayed(ip, packet));
            }
            (Effect::Deliver(tag), Some(packet)) => {
                let packet = unmarked(packet, tag);
                self.transit.send(self.now, ip, Cargo::Delivered(packet));
            }
            (Effect::Answer, Some(packet)) => {
                self.send(*packet.flow.caller.ip(), Cargo::Answer(*packet, None));
            }
            (Effect::Reset { flow, .. }, Some(packet)) => self.reset(ip, flow, packet),
            (Effect::Reset { flow, .. }, None) => self.reset(ip, flow, &plain(flow)),
            (Effect::Send { to, message }, _) => self.send(to, Cargo::Control(ip, message)),
            (Effect::Fetch { from, .. }, _) => self.send(ip, Cargo::Fetched(from)),
            (Effect::Watch(is_watching), _) => self.watch(ip, is_watching),
            _ => {}
        }
    }

    fn reset(&mut self, ip: Ipv4Addr, flow: Flow, packet: &Packet) {
        let mut reset = *packet;
        reset.flow = flow;
        reset.flags.rst = true;
        self.send(*flow.caller.ip(), Cargo::Answer(reset, Some(ip)));
    }

    fn watch(&mut self, ip: Ipv4Addr, is_watching: bool) {
        let Some(instance) = self.instances.get_mut(&ip) else {
            return;
        };
        instance.is_watching = is_watching;
        if is_watching && instance.store {
            self.read_store(ip);
        }
    }

    /// Sends something that may be lost.
    fn send(&mut self, to: Ipv4Addr, cargo: Cargo) {
        if self.rng.random_ratio(self.loss, 1_000) {
            return;
        }
        let delay = Millis(self.rng.random_range(0..4));
        self.transit.send(self.now + delay, to, cargo);
    }

    /// Handles all that has arrived.
    fn arrive(&mut self) {
        while let Some((_, to, cargo)) = self.transit.next(self.now) {
            self.receive(to, cargo);
        }
    }

    fn receive(&mut self, to: Ipv4Addr, cargo: Cargo) {
        match cargo {
            Cargo::Caller(packet) => self.packet(to, Source::Fabric, &packet),
            Cargo::Relayed(from, packet) => self.packet(to, Source::Peer(from), &packet),
            Cargo::Outbound(packet) => self.packet(to, Source::Backend, &packet),
            Cargo::Delivered(packet) => self.deliver(to, &packet),
            Cargo::Answer(packet, sender) => self.answer(to, &packet, sender),
            Cargo::Control(from, message) => self.tell(to, Event::Message { from, message }),
            Cargo::Fetched(from) => {
                let source = self.instances.get(&from).and_then(|i| i.process.as_ref());
                if let Some(table) = source.map(|p| Arc::clone(p.reducer().table())) {
                    self.tell(to, Event::Table(table));
                }
            }
        }
    }

    fn packet(&mut self, to: Ipv4Addr, source: Source, packet: &Packet) {
        let event = Event::Packet {
            source,
            packet: *packet,
        };
        self.reduce(to, event, Some(packet));
    }

    /// A packet reaches the backend server of an instance.
    fn deliver(&mut self, ip: Ipv4Addr, packet: &Packet) {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(&ip) else {
            return;
        };
        let Some(backend) = &mut instance.backend else {
            return;
        };
        let reaction = backend.receive(packet, now, &mut self.rng);
        self.check_delivery(ip, packet, reaction);
        let answer = match reaction {
            Reaction::Opened { answer, .. } => Some((answer, 0)),
            Reaction::Took { answer } => {
                answer.map(|answer| (answer, self.rng.random_range(5..MAX_WORK_MS)))
            }
            Reaction::Bounced(packet) => Some((packet, 0)),
        };
        if let Some((packet, work)) = answer {
            let at = now + Millis(work);
            self.transit.send(at, ip, Cargo::Outbound(packet));
        }
    }

    fn answer(&mut self, to: Ipv4Addr, packet: &Packet, sender: Option<Ipv4Addr>) {
        let now = self.now;
        let Some(caller) = self.callers.get_mut(&to) else {
            return;
        };
        let was_open = caller.is_open() && caller.flow == packet.flow;
        let mut news = Vec::new();
        let reply = caller.receive(packet, now, &mut news);
        if let Some(reply) = reply {
            self.enter(reply);
        }
        self.count(&news);
        if let (true, true, Some(sender)) = (packet.flags.rst, was_open, sender) {
            self.check_reset(sender, &packet.flow);
        }
    }

    fn count(&mut self, news: &[News]) {
        for item in news {
            match item {
                News::Asked => self.outcome.asked += 1,
                News::Served => self.outcome.served += 1,
                News::Opened => self.outcome.opened += 1,
            }
        }
    }

    /// A packet of a caller enters the fabric.
    fn enter(&mut self, packet: Packet) {
        let all: Vec<Ipv4Addr> = self.balancers().collect();
        let in_rotation = |ip: &&Ipv4Addr| self.instances[*ip].misses < MAX_MISSES;
        let rotation: Vec<Ipv4Addr> = all.iter().filter(in_rotation).copied().collect();
        let rotation = if rotation.is_empty() { all } else { rotation };
        if let Some(to) = route(&packet.flow, &rotation) {
            self.send(to, Cargo::Caller(packet));
        }
    }

    fn move_callers(&mut self) {
        let now = self.now;
        let mut news = Vec::new();
        let mut packets = Vec::new();
        for caller in self.callers.values_mut() {
            let old = caller.flow;
            packets.extend(caller.tick(now, &mut news));
            if caller.flow != old {
                self.watched.remove(&old);
            }
        }
        self.count(&news);
        for packet in packets {
            self.enter(packet);
        }
    }

    fn move_instances(&mut self) {
        let ips: Vec<Ipv4Addr> = self.instances.keys().copied().collect();
        for ip in ips {
            let offset = u64::from(ip.octets()[3]) * STEP.0;
            let is_due = |interval: Millis| (self.now.0 + offset).is_multiple_of(interval.0);
            let (ticks, beats, checks) = (is_due(TICK), is_due(HEARTBEAT), is_due(CHECK));
            if ticks {
                self.tell(ip, Event::Tick);
            }
            if beats {
                self.beat(ip);
            }
            if checks {
                self.check_ready(ip);
            }
        }
    }

    fn beat(&mut self, ip: Ipv4Addr) {
        let now = self.now;
        let instance = self.instances.get_mut(&ip);
        let backend = instance.and_then(|i| i.backend.as_mut());
        if let Some(beat) = backend.map(|b| b.heartbeat(now)) {
            self.tell(ip, Event::Heartbeat(beat));
        }
    }

    fn check_ready(&mut self, ip: Ipv4Addr) {
        let now = self.now;
        if let Some(instance) = self.instances.get_mut(&ip) {
            let process = instance.process.as_ref();
            let is_ready = process.is_some_and(|p| p.reducer().is_ready(now));
            instance.misses = if is_ready { 0 } else { instance.misses + 1 };
        }
    }
}

/// The packet as an instance sends it on: without the mark of one that was given back.
const fn unmarked(packet: &Packet, tag: buckthornlink_core::datagram::RelayTag) -> Packet {
    let mut packet = *packet;
    packet.flags.bounced = false;
    packet.tag = tag;
    packet
}

const fn plain(flow: Flow) -> Packet {
    Packet {
        flow,
        flags: buckthornlink_core::datagram::Flags {
            syn: false,
            ack: false,
            fin: false,
            rst: false,
            bounced: false,
        },
        seq: 0,
        ack: 0,
        len: 0,
        tag: buckthornlink_core::datagram::RelayTag::direct(),
    }
}
