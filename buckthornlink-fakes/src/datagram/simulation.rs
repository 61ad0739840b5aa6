//! Simulation of the datagram path in virtual time.

mod check;
mod config;
mod delivery;
mod faults;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

use buckthornlink_core::datagram::{
    Effect, Event, Flow, FlowDigest, Packet, Role, Table, Ticket, ZoneMembers,
};
use buckthornlink_core::member::ZoneRecord;
use buckthornlink_core::{Millis, Version, ZoneTag};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::backend::{Backend, HEARTBEAT_INTERVAL, backend_address};
use super::caller::Caller;
use super::fabric::{Delivery, DeliveryQueue};
use super::process::{Instance, Process};
use super::{Outcome, Plan};
use check::TrackedFlow;
use config::{build_table, route_address, service_tag, zone_tag};

/// Step by which virtual time advances.
const TIME_STEP: Millis = Millis(10);
/// Interval of [`Event::Tick`].
const TICK_INTERVAL: Millis = Millis(200);
/// Time for which the store delays the answer to a watch if nothing changes.
const WATCH_WAIT: Millis = Millis(1_500);
/// Interval of readiness checks by the fabric.
const READINESS_INTERVAL: Millis = Millis(500);
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
    kept_packets: BTreeMap<(Ipv4Addr, Ticket), Packet>,
    callers: BTreeMap<Ipv4Addr, Caller>,
    tracked_flows: BTreeMap<Flow, TrackedFlow>,
    table: Arc<Table>,
    table_history: Vec<(Millis, Arc<Table>)>,
    zones: BTreeMap<ZoneTag, (ZoneRecord, Millis)>,
    /// What agents have saved in the store.
    saved_flows: BTreeMap<Ipv4Addr, FlowDigest>,
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
            kept_packets: BTreeMap::new(),
            callers: BTreeMap::new(),
            tracked_flows: BTreeMap::new(),
            table_history: vec![(now, Arc::clone(&table))],
            table,
            zones: BTreeMap::new(),
            saved_flows: BTreeMap::new(),
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
            self.check_strays();
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
        self.kept_packets.retain(|(at, _), _| *at != ip);
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
        let saved = self.saved_flows.get(&ip).cloned().unwrap_or_default();
        self.dispatch(ip, Event::SavedFlows(saved));
        self.send_zone_records(ip);
        self.dispatch(ip, Event::StoreAnswered(Millis(0)));
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
            (Effect::Hold(tag), Some(packet)) => {
                let packet = with_relay_tag(packet, tag);
                let held = Delivery::Relayed(tag.origin, packet);
                self.deliveries.schedule(self.now + TICK_INTERVAL, ip, held);
            }
            (Effect::Queue { ticket, tag }, Some(packet)) => {
                let packet = with_relay_tag(packet, tag);
                self.kept_packets.insert((ip, ticket), packet);
            }
            (Effect::Release(ticket), _) => {
                if let Some(packet) = self.kept_packets.remove(&(ip, ticket)) {
                    let delivery = Delivery::ToBackend(packet);
                    self.deliveries.schedule(self.now, ip, delivery);
                }
            }
            (Effect::Return(ticket, tag, to), _) => {
                if let Some(packet) = self.kept_packets.remove(&(ip, ticket)) {
                    let packet = with_relay_tag(&packet, tag);
                    self.transmit(to, Delivery::Relayed(ip, packet));
                }
            }
            (Effect::Discard(ticket), _) => {
                self.kept_packets.remove(&(ip, ticket));
            }
            (Effect::SendToCaller, Some(packet)) => {
                self.transmit(*packet.flow.caller.ip(), Delivery::ToCaller(*packet, None));
            }
            (Effect::Reset { flow, .. }, Some(packet)) => self.send_reset(ip, flow, packet),
            (Effect::Reset { flow, .. }, None) => self.send_reset(ip, flow, &empty_packet(flow)),
            (Effect::Send { to, message }, _) => self.transmit(to, Delivery::Control(ip, message)),
            (Effect::Fetch { from, .. }, _) => self.transmit(ip, Delivery::TableFrom(from)),
            (Effect::Watch(is_watching), _) => self.set_watching(ip, is_watching),
            (Effect::Publish(members), _) => self.publish(ip, members),
            (Effect::Discover, _) => self.discover(ip),
            (Effect::SaveFlows(digest), _) => self.save_flows(ip, digest),
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

    /// Confirms a publication. The simulated store always lists all instances.
    fn publish(&mut self, ip: Ipv4Addr, members: ZoneMembers) {
        let instance = self.instances.get(&ip);
        if instance.is_some_and(|instance| instance.has_store) {
            self.dispatch(ip, Event::Published(members));
        }
    }

    /// Saves the flows of an agent for its next process, if it reaches the store.
    fn save_flows(&mut self, ip: Ipv4Addr, digest: FlowDigest) {
        let instance = self.instances.get(&ip);
        if instance.is_some_and(|instance| instance.has_store) {
            let has_tried = digest.has_tried;
            self.saved_flows.insert(ip, digest);
            self.dispatch(ip, Event::FlowsSaved { has_tried });
        }
    }

    fn discover(&mut self, ip: Ipv4Addr) {
        let instance = self.instances.get(&ip);
        if instance.is_some_and(|instance| instance.has_store) {
            self.send_store_state(ip);
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
            let (ticks, heartbeats, checks, answers) = (
                is_due(TICK_INTERVAL),
                is_due(HEARTBEAT_INTERVAL),
                is_due(READINESS_INTERVAL),
                is_due(WATCH_WAIT),
            );
            if ticks {
                self.dispatch(ip, Event::Tick);
            }
            if answers {
                self.answer_watch(ip);
            }
            if heartbeats {
                self.send_heartbeat(ip);
            }
            if checks {
                self.check_readiness(ip);
            }
        }
    }

    /// The store answers the watch of a process without a change, or the watch fails.
    fn answer_watch(&mut self, ip: Ipv4Addr) {
        if let Some(instance) = self.instances.get(&ip).filter(|i| i.is_watching) {
            let outcome = if instance.has_store {
                Event::StoreAnswered(Millis(0))
            } else {
                Event::StoreFailed
            };
            self.dispatch(ip, outcome);
        }
    }

    fn send_heartbeat(&mut self, ip: Ipv4Addr) {
        let now = self.now;
        let instance = self.instances.get_mut(&ip);
        let backend = instance.and_then(|i| i.backend.as_mut());
        if let Some(heartbeat) = backend.map(|b| b.next_heartbeat(backend_address(ip), now)) {
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
