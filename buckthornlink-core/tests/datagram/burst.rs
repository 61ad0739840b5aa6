//! A balancer, agents with backend servers of two slots, and callers of two priorities, in virtual time.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{
    Agent, BackendHeartbeat, Balancer, Effect, Event, Message, Packet, Reason, Reducer, Role,
    Route, Source, Table,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::kept::KeptPackets;
use super::{answer, data, heartbeat, opening, route, service, setup, syn_ack, table};

/// The only balancer.
pub const BALANCER: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 9);
/// Requests that a backend server processes at a time, and further ones that wait there; it answers others with 503.
pub const SLOTS: u16 = 2;
const BACKEND_QUEUE: usize = 8;
/// Time that a packet takes between two instances, and between a caller and the balancer.
const DELAY: Millis = Millis(1);
const CALLER_DELAY: Millis = Millis(4);
/// Interval of the reducers' ticks and of heartbeats.
const TICK_INTERVAL: Millis = Millis(200);
const HEARTBEAT_INTERVAL: Millis = Millis(1_200);
/// Times after an opening packet at which its copies are sent, and at which the caller gives up.
const COPY_TIMES: [Millis; 3] = [Millis(200), Millis(600), Millis(1_400)];
/// Work of an urgent request, each on a flow of its own, and of one on an open flow, in milliseconds.
pub const URGENT_WORK: u32 = 25;
pub const STEADY_WORK: u32 = 19;
/// Time in which both kinds are to be answered.
pub const TARGET: Millis = Millis(200);
/// First port of the open flows.
const FIRST_STEADY_PORT: u16 = 40_000;

/// What happens at some time.
enum Item {
    Packet(Ipv4Addr, Source, Packet),
    Message(Ipv4Addr, Ipv4Addr, Message),
    ToCaller(Packet),
    Copy(u16, u32),
    Done(Ipv4Addr, Packet),
}

/// A backend server that handles requests in order of arrival.
#[derive(Default)]
struct Backend {
    running: usize,
    queue: VecDeque<Packet>,
    heartbeats: u64,
}

/// A request, from its first packet to its answer.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub is_urgent: bool,
    pub sent_at: Millis,
    /// When it was answered, if it was, other than by 503.
    pub answered_at: Option<Millis>,
    /// Whether an answer, a reset or a 503 ended it.
    pub is_over: bool,
    /// Whether the caller has sent the packet with its data.
    has_sent: bool,
}

/// Agents and a balancer under load.
pub struct Burst {
    pub now: Millis,
    balancer: Balancer,
    pub agents: BTreeMap<Ipv4Addr, Option<Agent>>,
    backends: BTreeMap<Ipv4Addr, Backend>,
    items: BTreeMap<(Millis, u64), Item>,
    sent: u64,
    next_tick: Millis,
    pub kept: KeptPackets,
    /// Requests that were sent, and the one of each flow.
    pub requests: Vec<Request>,
    current: BTreeMap<u16, usize>,
    /// Sequence number of the next request on an open flow.
    seqs: BTreeMap<u16, u32>,
    pub decisions: BTreeMap<Reason, usize>,
    rng: SmallRng,
    last_port: u16,
}

pub fn agent_ip(index: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, 0, 20 + index)
}

/// The route of requests on open flows.
pub fn steady_route() -> SocketAddrV4 {
    SocketAddrV4::new(*route().ip(), 444)
}

/// A configuration with a route for urgent requests and one for others, of this priority.
pub fn two_routes(version: u64, priority: u8) -> Table {
    let mut table = table(version);
    let urgent = table.routes.get_mut(&route()).expect("a route");
    urgent.priority = 1;
    urgent.target = TARGET;
    urgent.timeout = Millis(2_000);
    let steady = Route {
        priority,
        timeout: Millis(1_500),
        ..urgent.clone()
    };
    table.routes.insert(steady_route(), steady);
    table
}

fn is_steady(port: u16) -> bool {
    port >= FIRST_STEADY_PORT
}

/// The packet of the route that a port uses.
fn on_route(mut packet: Packet) -> Packet {
    if is_steady(packet.flow.caller.port()) {
        packet.flow.route = steady_route();
    }
    packet
}

impl Burst {
    /// Agents that know each other, with open flows, and the priority of requests on those.
    pub fn new(agents: u8, flows: u16, priority: u8, seed: u64) -> Self {
        let now = Millis(100_000);
        let balancer = Balancer::new(&setup(BALANCER, Role::Balancer), now);
        let ips = (0..agents).map(agent_ip);
        let mut burst = Self {
            now,
            balancer,
            agents: ips.clone().map(|ip| (ip, None)).collect(),
            backends: ips.map(|ip| (ip, Backend::default())).collect(),
            items: BTreeMap::new(),
            sent: 0,
            next_tick: now,
            kept: KeptPackets::default(),
            requests: Vec::new(),
            current: BTreeMap::new(),
            seqs: BTreeMap::new(),
            decisions: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            last_port: 1_024,
        };
        burst.introduce(BALANCER, priority);
        for index in 0..agents {
            burst.start(index, priority);
        }
        burst.run(Millis(6_000));
        for flow in 0..flows {
            burst.open(FIRST_STEADY_PORT + flow);
            burst.run(Millis(40));
        }
        burst.run(Millis(1_500));
        burst.requests.clear();
        burst.current.clear();
        burst.decisions.clear();
        burst
    }

    /// Starts the process of an agent.
    pub fn start(&mut self, index: u8, priority: u8) {
        let ip = agent_ip(index);
        let agent = Agent::new(&setup(ip, Role::Agent(service())), self.now);
        self.agents.insert(ip, Some(agent));
        self.introduce(ip, priority);
        self.beat(ip);
    }

    /// Ends the process of an agent without notice.
    pub fn kill(&mut self, index: u8) {
        self.agents.insert(agent_ip(index), None);
        self.kept.clear(agent_ip(index));
    }

    fn introduce(&mut self, ip: Ipv4Addr, priority: u8) {
        let agents: Vec<Ipv4Addr> = self.agents.keys().copied().collect();
        let contacts = agents.iter().copied().chain([BALANCER]);
        let contacts = contacts.filter(|&other| other != ip).collect();
        let table = two_routes(1, priority);
        self.reduce(ip, Event::Table(Arc::new(table)), None);
        self.reduce(ip, Event::Contacts(contacts), None);
        self.reduce(ip, Event::RegisteredAgents(agents), None);
        self.reduce(ip, Event::StoreAnswered(Millis(0)), None);
    }

    /// Callers send urgent requests and requests on open flows, at these rates per second.
    pub fn load(&mut self, span: Millis, urgent: f64, steady: f64) {
        let end = self.now + span;
        while self.now < end {
            self.run(Millis(1));
            if self.rng.random_bool(urgent / 1_000.0) {
                self.last_port += 1;
                self.open(self.last_port);
            }
            if self.rng.random_bool(steady / 1_000.0) {
                self.request_on_open_flow();
            }
        }
    }

    /// A caller opens a flow for a request.
    pub fn open(&mut self, port: u16) {
        self.begin(port, !is_steady(port));
        self.send_opening(port, 0);
    }

    fn send_opening(&mut self, port: u16, copies: u32) {
        let mut packet = on_route(opening(port));
        packet.ack = copies;
        self.send_to_balancer(packet);
        let sent_at = self.requests[self.current[&port]].sent_at;
        let next = COPY_TIMES[copies as usize];
        self.put(sent_at + next, Item::Copy(port, copies + 1));
    }

    /// A caller whose open flow is idle sends the next request on it; the request is over at once if there is none.
    fn request_on_open_flow(&mut self) {
        let requests = &self.requests;
        let is_idle = |port: &u16| self.current.get(port).is_none_or(|&i| requests[i].is_over);
        let idle: Vec<u16> = self.seqs.keys().copied().filter(is_idle).collect();
        let Some(&port) = idle.get(self.rng.random_range(0..idle.len().max(1))) else {
            return;
        };
        self.begin(port, false);
        self.send_data(port);
    }

    fn begin(&mut self, port: u16, is_urgent: bool) {
        self.current.insert(port, self.requests.len());
        self.requests.push(Request {
            is_urgent,
            sent_at: self.now,
            answered_at: None,
            is_over: false,
            has_sent: false,
        });
    }

    fn send_data(&mut self, port: u16) {
        self.requests[self.current[&port]].has_sent = true;
        let mut packet = on_route(data(port));
        if is_steady(port) {
            let seq = self.seqs.entry(port).or_insert(1);
            packet.seq = *seq;
            *seq += u32::from(packet.len);
        }
        self.send_to_balancer(packet);
    }

    fn send_to_balancer(&mut self, packet: Packet) {
        let item = Item::Packet(BALANCER, Source::Fabric, packet);
        self.put(self.now + CALLER_DELAY, item);
    }

    fn put(&mut self, at: Millis, item: Item) {
        self.sent += 1;
        self.items.insert((at, self.sent), item);
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        loop {
            let at = self.items.first_key_value().map(|(key, _)| key.0);
            let next = at.map_or(self.next_tick, |at| at.min(self.next_tick));
            if next > end {
                break;
            }
            self.now = next;
            if at != Some(next) {
                self.next_tick = next + TICK_INTERVAL;
                self.tick();
            } else if let Some((_, item)) = self.items.pop_first() {
                self.handle(item);
            }
        }
        self.now = end;
    }

    fn tick(&mut self) {
        let ips: Vec<Ipv4Addr> = self.agents.keys().copied().collect();
        for ip in ips {
            if self.now.0.is_multiple_of(HEARTBEAT_INTERVAL.0) {
                self.beat(ip);
            }
            self.reduce(ip, Event::Tick, None);
        }
        self.reduce(BALANCER, Event::Tick, None);
    }

    fn beat(&mut self, ip: Ipv4Addr) {
        let backend = self.backends.get_mut(&ip).expect("a backend server");
        backend.heartbeats += 1;
        let heartbeat = BackendHeartbeat {
            slots: SLOTS,
            address: SocketAddrV4::new(ip, super::BACKEND.port()),
            ..heartbeat(backend.heartbeats)
        };
        self.reduce(ip, Event::BackendHeartbeat(heartbeat), None);
    }

    fn handle(&mut self, item: Item) {
        match item {
            Item::Packet(to, source, packet) => {
                self.reduce(to, Event::Packet { source, packet }, Some(&packet));
            }
            Item::Message(to, from, message) => {
                self.reduce(to, Event::Message { from, message }, None);
            }
            Item::ToCaller(packet) => self.handle_at_caller(&packet),
            Item::Copy(port, copies) => self.retransmit(port, copies),
            Item::Done(ip, packet) => self.finish(ip, &packet),
        }
    }

    /// A caller without an answer to its opening packet sends it once more, or gives up.
    fn retransmit(&mut self, port: u16, copies: u32) {
        let request = &mut self.requests[self.current[&port]];
        if request.has_sent || request.is_over {
            return;
        }
        if copies as usize == COPY_TIMES.len() {
            request.is_over = true;
        } else {
            self.send_opening(port, copies);
        }
    }

    fn handle_at_caller(&mut self, packet: &Packet) {
        let port = packet.flow.caller.port();
        let Some(&index) = self.current.get(&port) else {
            return;
        };
        let request = &mut self.requests[index];
        if request.is_over || packet.flags.syn && request.has_sent {
            return;
        }
        if packet.flags.syn && !packet.flags.rst {
            self.send_data(port);
            return;
        }
        request.is_over = true;
        let is_served = !packet.flags.rst && packet.len > 1;
        request.answered_at = is_served.then_some(self.now);
    }

    fn reduce(&mut self, ip: Ipv4Addr, event: Event, packet: Option<&Packet>) {
        let mut effects = Vec::new();
        if ip == BALANCER {
            self.balancer.reduce(event, self.now, &mut effects);
        } else if let Some(Some(agent)) = self.agents.get_mut(&ip) {
            agent.reduce(event, self.now, &mut effects);
        }
        for effect in effects {
            let (effect, packet) = self.kept.resolve(ip, effect, packet);
            self.perform(ip, effect, packet);
        }
    }

    fn perform(&mut self, ip: Ipv4Addr, effect: Effect, packet: Option<Packet>) {
        match (effect, packet) {
            (Effect::Relay { to, tag }, Some(packet)) => {
                let item = Item::Packet(to, Source::Peer(ip), Packet { tag, ..packet });
                self.put(self.now + DELAY, item);
            }
            (Effect::Deliver(_), Some(packet)) => self.deliver(ip, packet),
            (Effect::SendToCaller, Some(packet)) => {
                self.put(self.now + CALLER_DELAY, Item::ToCaller(packet));
            }
            (Effect::Reset { flow, .. }, _) => {
                let mut packet = opening(flow.caller.port());
                packet.flags.rst = true;
                self.put(self.now + CALLER_DELAY, Item::ToCaller(packet));
            }
            (Effect::Send { to, message }, _) => {
                self.put(self.now + DELAY, Item::Message(to, ip, message));
            }
            (Effect::Log(decision), _) => *self.decisions.entry(decision.reason).or_default() += 1,
            _ => {}
        }
    }

    fn deliver(&mut self, ip: Ipv4Addr, packet: Packet) {
        let port = packet.flow.caller.port();
        if packet.is_opening() {
            self.answer(ip, on_route(syn_ack(port, 500)));
            return;
        }
        let backend = self.backends.get_mut(&ip).expect("a backend server");
        if backend.running < usize::from(SLOTS) {
            backend.running += 1;
            self.process(ip, packet);
        } else if backend.queue.len() < BACKEND_QUEUE {
            backend.queue.push_back(packet);
        } else {
            let mut shed = on_route(answer(port));
            shed.len = 1;
            self.answer(ip, shed);
        }
    }

    fn process(&mut self, ip: Ipv4Addr, packet: Packet) {
        let work = if is_steady(packet.flow.caller.port()) {
            STEADY_WORK
        } else {
            URGENT_WORK
        };
        self.put(self.now + Millis(work.into()), Item::Done(ip, packet));
    }

    fn finish(&mut self, ip: Ipv4Addr, packet: &Packet) {
        self.answer(ip, on_route(answer(packet.flow.caller.port())));
        let backend = self.backends.get_mut(&ip).expect("a backend server");
        if let Some(next) = backend.queue.pop_front() {
            self.process(ip, next);
        } else {
            backend.running -= 1;
        }
    }

    fn answer(&mut self, ip: Ipv4Addr, packet: Packet) {
        self.put(self.now, Item::Packet(ip, Source::Backend, packet));
    }

    /// Requests of a kind that were sent up to `until`, and how many were answered within [`TARGET`], and at all.
    pub fn served(&self, is_urgent: bool, until: Millis) -> (usize, usize, usize) {
        let is_counted = |r: &&Request| r.is_urgent == is_urgent && r.sent_at <= until;
        let requests = || self.requests.iter().filter(is_counted);
        let latency = |r: &Request| r.answered_at.map(|at| at.since(r.sent_at));
        let in_time = requests().filter(|r| latency(r).is_some_and(|l| l <= TARGET));
        let answered = requests().filter(|r| r.answered_at.is_some());
        (requests().count(), in_time.count(), answered.count())
    }

    /// How often a decision was taken.
    pub fn count(&self, reason: Reason) -> usize {
        self.decisions.get(&reason).copied().unwrap_or_default()
    }
}
