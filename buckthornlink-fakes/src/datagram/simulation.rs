//! Simulation of the datagram path in virtual time.

mod check;
mod config;
mod faults;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

use buckthornlink_core::datagram::{Effect, Event, Flow, Packet, Role, Source, Table};
use buckthornlink_core::member::ZoneRecord;
use buckthornlink_core::{Millis, Version, ZoneTag};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::backend::{Backend, HEARTBEAT_INTERVAL, Reaction};
use super::caller::{Caller, CallerEvent};
use super::fabric::{Delivery, DeliveryQueue, choose_balancer};
use super::process::{Instance, Process};
use super::{Outcome, Plan};
use check::TrackedFlow;
use config::{build_table, route_address, service_tag, zone_tag};

/// Step by which virtual time advances.
const TIME_STEP: Millis = Millis(10);
/// Interval of [`Event::Tick`].
const TICK_INTERVAL: Millis = Millis(200);
/// Interval of readiness checks by the fabric.
const READINESS_INTERVAL: Millis = Millis(500);
/// Consecutive failed readiness checks after which the fabric stops sending to a balancer.
const MAX_FAILED_CHECKS: u32 = 2;
/// Upper bound of the time in which a backend server answers a request, in milliseconds.
const MAX_SERVICE_TIME_MS: u64 = 60;
/// Number of balancers that a process gets as contacts when it starts.
const STARTUP_CONTACTS: usize = 3;

/// Size of a simulation, and the faults in it.
#[derive(Clone, Debug)]
pub struct SimulationSetup {
    /// Number of zones.
    pub zones: u8,
    /// Number of balancers in each zone.
    pub balancers: u8,
    /// Number of agents of each of the two services in each zone.
    pub agents: [u8; 2],
    /// Number of callers of each route.
    pub callers: u8,
    /// Datagrams lost per thousand.
    pub loss_permille: u32,
    /// Faults to inject.
    pub plan: Plan,
}

impl Default for SimulationSetup {
    fn default() -> Self {
        Self {
            zones: 3,
            balancers: 2,
            agents: [2, 1],
            callers: 60,
            loss_permille: 1,
            plan: Plan::default(),
        }
    }
}

/// Balancers, agents, backend servers and callers in virtual time.
pub struct Simulation {
    now: Millis,
    rng: SmallRng,
    deliveries: DeliveryQueue,
    instances: BTreeMap<Ipv4Addr, Instance>,
    callers: BTreeMap<Ipv4Addr, Caller>,
    tracked_flows: BTreeMap<Flow, TrackedFlow>,
    table: Arc<Table>,
    table_history: Vec<(Millis, Arc<Table>)>,
    zones: BTreeMap<ZoneTag, (ZoneRecord, Millis)>,
    pending_faults: Vec<(Millis, super::Fault)>,
    zone_returns: Vec<(Millis, ZoneTag)>,
    outage_ends: Vec<Millis>,
    loss_permille: u32,
    base_permille: u32,
    outcome: Outcome,
}

impl Simulation {
    /// A simulation in which all processes start at once.
    #[must_use]
    pub fn new(setup: &SimulationSetup, seed: u64) -> Self {
        let table = Arc::new(build_table(1, [service_tag(0), service_tag(1)]));
        let now = Millis(1_000_000);
        let mut faults = setup.plan.steps().to_vec();
        faults.reverse();
        let mut simulation = Self {
            now,
            rng: SmallRng::seed_from_u64(seed),
            deliveries: DeliveryQueue::default(),
            instances: BTreeMap::new(),
            callers: BTreeMap::new(),
            tracked_flows: BTreeMap::new(),
            table_history: vec![(now, Arc::clone(&table))],
            table,
            zones: BTreeMap::new(),
            pending_faults: faults.iter().map(|&(at, f)| (now + at, f)).collect(),
            zone_returns: Vec::new(),
            outage_ends: Vec::new(),
            loss_permille: setup.loss_permille,
            base_permille: setup.loss_permille,
            outcome: Outcome::default(),
        };
        simulation.populate(setup);
        simulation
    }

    /// Advances virtual time by `duration`.
    pub fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + TIME_STEP;
            self.apply_due_faults();
            self.process_deliveries();
            self.tick_callers();
            self.run_timers();
        }
    }

    /// Counts since the start of the simulation.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        self.outcome
    }

    fn populate(&mut self, setup: &SimulationSetup) {
        for zone in 0..setup.zones {
            for _ in 0..setup.balancers {
                self.add_instance(Role::Balancer, zone_tag(zone));
            }
            for (index, &count) in setup.agents.iter().enumerate() {
                for _ in 0..count {
                    self.add_instance(Role::Agent(service_tag(index)), zone_tag(zone));
                }
            }
        }
        for index in 0..2 {
            for host in 0..setup.callers {
                let ip = Ipv4Addr::new(100, 64, u8::from(index == 1), host);
                self.callers
                    .insert(ip, Caller::new(ip, route_address(index)));
            }
        }
        let ips: Vec<Ipv4Addr> = self.instances.keys().copied().collect();
        for ip in ips {
            self.start_process(ip);
        }
    }

    /// Adds an instance without starting its process.
    fn add_instance(&mut self, role: Role, zone: ZoneTag) -> Ipv4Addr {
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

    /// Starts the process of an instance and passes it its contacts and the records in the store.
    fn start_process(&mut self, ip: Ipv4Addr) {
        let seed = self.rng.random();
        let now = self.now;
        let Some(instance) = self.instances.get_mut(&ip) else {
            return;
        };
        instance.process = Some(Process::start(ip, instance.role, instance.zone, now, seed));
        instance.down_until = None;
        instance.version = Version(0);
        instance.is_watching = false;
        let has_store = instance.has_store;
        let contacts = self.balancers().take(STARTUP_CONTACTS).collect();
        self.dispatch(ip, Event::Contacts(contacts));
        if has_store {
            self.send_store_state(ip);
        }
    }

    /// Passes all records in the store to a process.
    fn send_store_state(&mut self, ip: Ipv4Addr) {
        let is_agent = |i: &Instance| i.backend.is_some();
        let agents = self.instances.iter().filter(|(_, i)| is_agent(i));
        let agents = agents.map(|(&ip, _)| ip).collect();
        let balancers = self.balancers().collect();
        self.dispatch(ip, Event::Table(Arc::clone(&self.table)));
        self.dispatch(ip, Event::Contacts(balancers));
        self.dispatch(ip, Event::RegisteredAgents(agents));
        self.send_zone_records(ip);
        self.dispatch(ip, Event::StoreReachable(true));
    }

    fn send_zone_records(&mut self, ip: Ipv4Addr) {
        let records: Vec<ZoneRecord> = self.zones.values().map(|(record, _)| *record).collect();
        for record in records {
            self.dispatch(ip, Event::Zone(record));
        }
    }

    /// Passes the configuration and zone records to all processes that watch the store.
    fn notify_watchers(&mut self) {
        let is_watching = |i: &Instance| i.is_watching && i.has_store;
        let ips = self.instances.iter().filter(|(_, i)| is_watching(i));
        let ips: Vec<Ipv4Addr> = ips.map(|(&ip, _)| ip).collect();
        for ip in ips {
            self.dispatch(ip, Event::Table(Arc::clone(&self.table)));
            self.send_zone_records(ip);
        }
    }

    fn balancers(&self) -> impl Iterator<Item = Ipv4Addr> {
        let is_balancer = |i: &Instance| i.role == Role::Balancer;
        let members = self.instances.iter().filter(move |(_, i)| is_balancer(i));
        members.map(|(&ip, _)| ip)
    }

    /// Passes an event without a packet to the reducer of a process.
    fn dispatch(&mut self, ip: Ipv4Addr, event: Event) {
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
            self.outcome.version_regressions += 1;
        }
        instance.version = version;
        for effect in effects {
            self.perform_effect(ip, effect, packet);
        }
    }

    fn perform_effect(&mut self, ip: Ipv4Addr, effect: Effect, packet: Option<&Packet>) {
        match (effect, packet) {
            (Effect::Relay { to, tag }, Some(packet)) => {
                let packet = with_relay_tag(packet, tag);
                self.transmit(to, Delivery::Relayed(ip, packet));
            }
            (Effect::Deliver(tag), Some(packet)) => {
                let packet = with_relay_tag(packet, tag);
                self.deliveries
                    .schedule(self.now, ip, Delivery::ToBackend(packet));
            }
            (Effect::SendToCaller, Some(packet)) => {
                self.transmit(*packet.flow.caller.ip(), Delivery::ToCaller(*packet, None));
            }
            (Effect::Reset { flow, .. }, Some(packet)) => self.send_reset(ip, flow, packet),
            (Effect::Reset { flow, .. }, None) => self.send_reset(ip, flow, &empty_packet(flow)),
            (Effect::Send { to, message }, _) => self.transmit(to, Delivery::Control(ip, message)),
            (Effect::Fetch { from, .. }, _) => self.transmit(ip, Delivery::TableFrom(from)),
            (Effect::Watch(is_watching), _) => self.set_watching(ip, is_watching),
            _ => {}
        }
    }

    fn send_reset(&mut self, ip: Ipv4Addr, flow: Flow, packet: &Packet) {
        let mut reset = *packet;
        reset.flow = flow;
        reset.flags.rst = true;
        self.transmit(*flow.caller.ip(), Delivery::ToCaller(reset, Some(ip)));
    }

    fn set_watching(&mut self, ip: Ipv4Addr, is_watching: bool) {
        let Some(instance) = self.instances.get_mut(&ip) else {
            return;
        };
        instance.is_watching = is_watching;
        if is_watching && instance.has_store {
            self.send_store_state(ip);
        }
    }

    /// Sends a delivery that may be lost and has a random delay.
    fn transmit(&mut self, to: Ipv4Addr, delivery: Delivery) {
        if self.rng.random_ratio(self.loss_permille, 1_000) {
            return;
        }
        let delay = Millis(self.rng.random_range(0..4));
        self.deliveries.schedule(self.now + delay, to, delivery);
    }

    /// Handles all deliveries that are due.
    fn process_deliveries(&mut self) {
        while let Some((_, to, delivery)) = self.deliveries.pop_due(self.now) {
            self.handle_delivery(to, delivery);
        }
    }

    fn handle_delivery(&mut self, to: Ipv4Addr, delivery: Delivery) {
        match delivery {
            Delivery::FromCaller(packet) => self.handle_packet(to, Source::Fabric, &packet),
            Delivery::Relayed(from, packet) => self.handle_packet(to, Source::Peer(from), &packet),
            Delivery::FromBackend(packet) => self.handle_packet(to, Source::Backend, &packet),
            Delivery::ToBackend(packet) => self.deliver_to_backend(to, &packet),
            Delivery::ToCaller(packet, sender) => self.deliver_to_caller(to, &packet, sender),
            Delivery::Control(from, message) => self.dispatch(to, Event::Message { from, message }),
            Delivery::TableFrom(from) => {
                let source = self.instances.get(&from).and_then(|i| i.process.as_ref());
                if let Some(table) = source.map(|p| Arc::clone(p.reducer().table())) {
                    self.dispatch(to, Event::Table(table));
                }
            }
        }
    }

    fn handle_packet(&mut self, to: Ipv4Addr, source: Source, packet: &Packet) {
        let event = Event::Packet {
            source,
            packet: *packet,
        };
        self.reduce(to, event, Some(packet));
    }

    /// Delivers a packet to the backend server of an instance.
    fn deliver_to_backend(&mut self, ip: Ipv4Addr, packet: &Packet) {
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
            Reaction::HalfOpened { answer, .. } => Some((answer, 0)),
            Reaction::Accepted { answer } => {
                answer.map(|answer| (answer, self.rng.random_range(5..MAX_SERVICE_TIME_MS)))
            }
            Reaction::Bounced(packet) => Some((packet, 0)),
        };
        if let Some((packet, service_time)) = answer {
            let at = now + Millis(service_time);
            self.deliveries
                .schedule(at, ip, Delivery::FromBackend(packet));
        }
    }

    fn deliver_to_caller(&mut self, to: Ipv4Addr, packet: &Packet, sender: Option<Ipv4Addr>) {
        let now = self.now;
        let Some(caller) = self.callers.get_mut(&to) else {
            return;
        };
        let was_open = caller.is_open() && caller.flow == packet.flow;
        let mut events = Vec::new();
        let reply = caller.receive(packet, now, &mut events);
        if let Some(reply) = reply {
            self.send_to_balancer(reply);
        }
        self.count_events(&events);
        if let (true, true, Some(sender)) = (packet.flags.rst, was_open, sender) {
            self.check_reset(sender, &packet.flow);
        }
    }

    fn count_events(&mut self, events: &[CallerEvent]) {
        for item in events {
            match item {
                CallerEvent::RequestSent => self.outcome.sent += 1,
                CallerEvent::RequestAnswered => self.outcome.served += 1,
                CallerEvent::FlowOpened => self.outcome.opened += 1,
            }
        }
    }

    /// Sends a packet from a caller through the fabric to a balancer in rotation, or to any one if
    /// none is in rotation.
    fn send_to_balancer(&mut self, packet: Packet) {
        let all: Vec<Ipv4Addr> = self.balancers().collect();
        let in_rotation = |ip: &&Ipv4Addr| self.instances[*ip].failed_checks < MAX_FAILED_CHECKS;
        let rotation: Vec<Ipv4Addr> = all.iter().filter(in_rotation).copied().collect();
        let rotation = if rotation.is_empty() { all } else { rotation };
        if let Some(to) = choose_balancer(&packet.flow, &rotation) {
            self.transmit(to, Delivery::FromCaller(packet));
        }
    }

    fn tick_callers(&mut self) {
        let now = self.now;
        let mut events = Vec::new();
        let mut packets = Vec::new();
        for caller in self.callers.values_mut() {
            let old = caller.flow;
            packets.extend(caller.tick(now, &mut events));
            if caller.flow != old {
                self.tracked_flows.remove(&old);
            }
        }
        self.count_events(&events);
        for packet in packets {
            self.send_to_balancer(packet);
        }
    }

    fn run_timers(&mut self) {
        let ips: Vec<Ipv4Addr> = self.instances.keys().copied().collect();
        for ip in ips {
            let offset = u64::from(ip.octets()[3]) * TIME_STEP.0;
            let is_due = |interval: Millis| (self.now.0 + offset).is_multiple_of(interval.0);
            let (ticks, heartbeats, checks) = (
                is_due(TICK_INTERVAL),
                is_due(HEARTBEAT_INTERVAL),
                is_due(READINESS_INTERVAL),
            );
            if ticks {
                self.dispatch(ip, Event::Tick);
            }
            if heartbeats {
                self.send_heartbeat(ip);
            }
            if checks {
                self.check_readiness(ip);
            }
        }
    }

    fn send_heartbeat(&mut self, ip: Ipv4Addr) {
        let now = self.now;
        let instance = self.instances.get_mut(&ip);
        let backend = instance.and_then(|i| i.backend.as_mut());
        if let Some(heartbeat) = backend.map(|b| b.next_heartbeat(now)) {
            self.dispatch(ip, Event::BackendHeartbeat(heartbeat));
        }
    }

    fn check_readiness(&mut self, ip: Ipv4Addr) {
        let now = self.now;
        if let Some(instance) = self.instances.get_mut(&ip) {
            let process = instance.process.as_ref();
            let is_ready = process.is_some_and(|p| p.reducer().is_ready(now));
            instance.failed_checks = if is_ready {
                0
            } else {
                instance.failed_checks + 1
            };
        }
    }
}

/// Returns the packet with a new relay tag and without the bounced flag.
const fn with_relay_tag(packet: &Packet, tag: buckthornlink_core::datagram::RelayTag) -> Packet {
    let mut packet = *packet;
    packet.flags.bounced = false;
    packet.tag = tag;
    packet
}

const fn empty_packet(flow: Flow) -> Packet {
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
