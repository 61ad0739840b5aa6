//! Packets of an open flow that reach other backend servers than its own, while and after balancers and
//! agents are restarted.

mod datagram;

use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;
use std::sync::Arc;

use buckthornlink_core::datagram::{
    Agent, Balancer, Effect, Event, Message, Mode, Packet, Reducer, RelayTag, Role, Setup, Source,
};
use buckthornlink_core::{BootId, Millis, ZoneTag};

use datagram::{BALANCER, answer, data, heartbeat, opening, service, setup, syn_ack, table};

/// Interval of the reducers' ticks.
const TICK_INTERVAL: Millis = Millis(100);
/// Number of ticks between two heartbeats of a backend server.
const HEARTBEAT_TICKS: u64 = 12;
/// Time for which packets may reach other backend servers and none their own.
const STRAY_WINDOW: Millis = Millis(2_000);
/// Maximum number of packets that may do so.
const MAX_STRAYS: usize = 2;
/// Time after a kill in which an instance is excused.
const CONTACT_TIME: Millis = Millis(4_000);
/// Number of agents.
const AGENTS: u8 = 6;
/// Number of flows that are tried, with different home agents.
const FLOWS: u16 = 12;
/// Time for which an agent is down while it is restarted.
const RESTART_TIME: Millis = Millis(500);
/// Times after a packet of the caller at which it sends copies while it gets no answer.
const RETRANSMIT_DELAYS: [Millis; 3] = [Millis(200), Millis(600), Millis(1_400)];

/// A packet or message in transit.
enum InFlight {
    Packet(Ipv4Addr, Source, Packet),
    Message(Ipv4Addr, Ipv4Addr, Message),
}

/// A packet of the flow that reached a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Arrival {
    at: Millis,
    /// Whether that is the one which holds the flow.
    is_owner: bool,
}

/// A balancer, agents in three zones and their backend servers, and one flow, in virtual time.
struct World {
    now: Millis,
    balancer: Balancer,
    agents: BTreeMap<Ipv4Addr, Option<Agent>>,
    in_flight: VecDeque<InFlight>,
    seq: u64,
    /// The caller's port, on which the flow's home agent depends.
    port: u16,
    /// Packets that reached backend servers, in order.
    arrivals: Vec<Arrival>,
    resets: usize,
}

/// The agent with this index; the flow is open at that with index 0.
fn agent_ip(index: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, 0, 20 + index)
}

fn agent_setup(ip: Ipv4Addr, now: Millis) -> Setup {
    let zone = ["a", "b", "c"][usize::from(ip.octets()[3] % 3)];
    Setup {
        zone: ZoneTag::of(zone),
        boot: BootId(now.0),
        ..setup(ip, Role::Agent(service()))
    }
}

impl World {
    /// A world in which the flow has been open at the first agent for some time.
    fn open(agents: u8, port: u16) -> Self {
        let now = Millis(100_000);
        let mut world = Self {
            now,
            balancer: Balancer::new(&setup(BALANCER, Role::Balancer), now),
            agents: (0..agents).map(|i| (agent_ip(i), None)).collect(),
            in_flight: VecDeque::new(),
            seq: 0,
            port,
            arrivals: Vec::new(),
            resets: 0,
        };
        world.start_balancer();
        world.beat();
        for index in 0..agents {
            world.start(index);
        }
        world.run(Millis(20_000));
        world.open_flow();
        world.run(Millis(1_000));
        world
    }

    /// The flow opens at the first agent, which the balancer learns from it.
    fn open_flow(&mut self) {
        let tag = RelayTag::new(Mode::Placed, BALANCER);
        let source = Source::Peer(BALANCER);
        let ip = agent_ip(0);
        for packet in [opening(self.port), syn_ack(self.port, 500), data(self.port)] {
            let is_answer = packet.flags.syn && packet.flags.ack;
            let source = if is_answer { Source::Backend } else { source };
            let packet = Packet { tag, ..packet };
            self.in_flight
                .push_back(InFlight::Packet(ip, source, packet));
        }
        self.deliver_all();
        self.send();
    }

    fn start_balancer(&mut self) {
        let mut setup = setup(BALANCER, Role::Balancer);
        setup.boot = BootId(self.now.0);
        setup.zone = ZoneTag::of("a");
        self.balancer = Balancer::new(&setup, self.now);
        self.introduce(BALANCER);
    }

    /// Starts the process of an agent beside its backend server.
    fn start(&mut self, index: u8) {
        let ip = agent_ip(index);
        let agent = Agent::new(&agent_setup(ip, self.now), self.now);
        self.agents.insert(ip, Some(agent));
        self.introduce(ip);
        self.reduce(ip, Event::BackendHeartbeat(heartbeat(self.seq)), None);
        self.deliver_all();
    }

    /// Passes what the store holds to a process that starts.
    fn introduce(&mut self, ip: Ipv4Addr) {
        let agents: Vec<Ipv4Addr> = self.agents.keys().copied().collect();
        let contacts = agents.iter().copied().chain([BALANCER]);
        let contacts = contacts.filter(|&other| other != ip).collect();
        self.reduce(ip, Event::Table(Arc::new(table(1))), None);
        self.reduce(ip, Event::Contacts(contacts), None);
        self.reduce(ip, Event::RegisteredAgents(agents), None);
        self.reduce(ip, Event::StoreReachable(true), None);
        self.deliver_all();
    }

    /// Asks the process of an agent to terminate, and starts another one after its downtime.
    fn restart(&mut self, index: u8) {
        self.stop(index);
        self.run(RESTART_TIME);
        self.start(index);
    }

    /// Asks the process of an agent to terminate, which it does.
    fn stop(&mut self, index: u8) {
        self.reduce(agent_ip(index), Event::Leave, None);
        self.deliver_all();
        self.kill(index);
    }

    /// Ends the process of an agent without notice.
    fn kill(&mut self, index: u8) {
        self.agents.insert(agent_ip(index), None);
    }

    /// The caller sends a packet with payload, and copies until one reaches the flow's backend server.
    /// It acknowledges the answer to it, and the copy that follows if that is lost.
    fn request(&mut self) {
        let sent_at = self.now;
        let count = self.delivery_count();
        self.send();
        for delay in RETRANSMIT_DELAYS {
            if self.delivery_count() > count {
                break;
            }
            self.run((sent_at + delay).since(self.now));
            self.send();
        }
        if self.delivery_count() > count {
            self.send();
            self.run(RETRANSMIT_DELAYS[0]);
            self.send();
        }
    }

    fn delivery_count(&self) -> usize {
        self.arrivals.iter().filter(|a| a.is_owner).count()
    }

    fn send(&mut self) {
        let packet = data(self.port);
        self.in_flight
            .push_back(InFlight::Packet(BALANCER, Source::Fabric, packet));
        self.deliver_all();
    }

    fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK_INTERVAL;
            self.beat();
            let mut ips: Vec<Ipv4Addr> = self.agents.keys().copied().collect();
            ips.push(BALANCER);
            for ip in ips {
                self.reduce(ip, Event::Tick, None);
            }
            self.deliver_all();
        }
    }

    /// All backend servers send their next heartbeats, if they are due.
    fn beat(&mut self) {
        if !(self.now.0 / TICK_INTERVAL.0).is_multiple_of(HEARTBEAT_TICKS) {
            return;
        }
        self.seq += 1;
        let ips: Vec<Ipv4Addr> = self.agents.keys().copied().collect();
        for ip in ips {
            self.reduce(ip, Event::BackendHeartbeat(heartbeat(self.seq)), None);
        }
    }

    fn deliver_all(&mut self) {
        while let Some(item) = self.in_flight.pop_front() {
            match item {
                InFlight::Packet(to, source, packet) => {
                    self.reduce(to, Event::Packet { source, packet }, Some(&packet));
                }
                InFlight::Message(to, from, message) => {
                    self.reduce(to, Event::Message { from, message }, None);
                }
            }
        }
    }

    fn reduce(&mut self, ip: Ipv4Addr, event: Event, packet: Option<&Packet>) {
        let mut effects = Vec::new();
        if ip == BALANCER {
            self.balancer.reduce(event, self.now, &mut effects);
        } else if let Some(Some(agent)) = self.agents.get_mut(&ip) {
            agent.reduce(event, self.now, &mut effects);
        }
        for effect in effects {
            self.perform(ip, effect, packet);
        }
    }

    fn perform(&mut self, ip: Ipv4Addr, effect: Effect, packet: Option<&Packet>) {
        let in_flight = &mut self.in_flight;
        match (effect, packet) {
            (Effect::Relay { to, tag }, Some(&packet)) => {
                let packet = Packet { tag, ..packet };
                in_flight.push_back(InFlight::Packet(to, Source::Peer(ip), packet));
            }
            (Effect::Send { to, message }, _) => {
                in_flight.push_back(InFlight::Message(to, ip, message));
            }
            (Effect::Deliver(tag), Some(&packet)) => self.deliver(ip, Packet { tag, ..packet }),
            (Effect::Reset { .. }, _) => self.resets += 1,
            _ => {}
        }
    }

    /// A backend server handles a packet: it answers it if it holds the flow, and bounces it otherwise.
    fn deliver(&mut self, ip: Ipv4Addr, mut packet: Packet) {
        if packet.is_opening() {
            return;
        }
        let is_owner = ip == agent_ip(0);
        let at = self.now;
        self.arrivals.push(Arrival { at, is_owner });
        if is_owner {
            packet = answer(self.port);
        } else {
            packet.flags.bounced = true;
            packet.tag = RelayTag::new(Mode::Direct, packet.tag.origin);
        }
        self.in_flight
            .push_back(InFlight::Packet(ip, Source::Backend, packet));
    }

    /// Maximum number of packets that reached other backend servers within any [`STRAY_WINDOW`] in which
    /// none reached the flow's own. Those of one instant may arrive in any order.
    fn max_strays(&self) -> usize {
        let end = Arrival {
            at: self.now,
            is_owner: true,
        };
        let mut arrivals = self.arrivals.clone();
        arrivals.push(end);
        arrivals.sort_by_key(|a| (a.at, a.is_owner));
        let mut max = 0;
        let mut last_delivery = arrivals[0].at;
        for gap in arrivals.split_inclusive(|a| a.is_owner) {
            let (next, strays) = gap.split_last().unwrap();
            if next.at.since(last_delivery) >= STRAY_WINDOW {
                max = max.max(max_within_window(strays));
            }
            last_delivery = next.at;
        }
        max
    }
}

/// Maximum number of arrivals within any [`STRAY_WINDOW`].
fn max_within_window(arrivals: &[Arrival]) -> usize {
    let count = |first: &Arrival| {
        let is_inside = |a: &&Arrival| a.at >= first.at && a.at.since(first.at) <= STRAY_WINDOW;
        arrivals.iter().filter(is_inside).count()
    };
    arrivals.iter().map(count).max().unwrap_or(0)
}

/// Plays `history` and a request for flows with different home agents; returns the greatest number of
/// their packets that reached other backend servers while none reached their own.
fn max_strays(history: impl Fn(&mut World)) -> usize {
    let mut max = 0;
    for port in 1..=FLOWS {
        let mut world = World::open(AGENTS, port);
        history(&mut world);
        world.request();
        world.run(Millis(1_000));
        if world.agents[&agent_ip(0)].is_none() {
            world.start(0);
        }
        world.run(Millis(1_000));
        world.request();
        assert_eq!(world.resets, 0, "port {port}");
        let is_found = world.arrivals.last().is_some_and(|a| a.is_owner);
        assert!(is_found, "port {port}: {:?}", world.arrivals);
        max = max.max(world.max_strays());
    }
    max
}

#[test]
fn packets_of_an_idle_flow_reach_its_backend_server_only() {
    let strays = max_strays(|world| world.run(Millis(3_000)));
    assert_eq!(strays, 0);
}

/// Guards against packets at all backend servers after the agents were restarted one by one, and the
/// balancer as well: nobody remembers the owner.
#[test]
fn an_idle_flow_after_a_rolling_restart_reaches_few_other_backend_servers() {
    let strays = max_strays(|world| {
        for index in 0..AGENTS {
            world.restart(index);
        }
        world.start_balancer();
        world.run(Millis(2_000));
    });
    assert!(strays <= MAX_STRAYS, "{strays}");
}

/// Guards against packets at all other backend servers while the agent of the flow's own is being
/// restarted, after the others were, by a balancer that does not know the owner.
#[test]
fn a_flow_whose_agent_is_restarted_last_reaches_few_other_backend_servers() {
    let strays = max_strays(|world| {
        for index in 1..AGENTS {
            world.restart(index);
        }
        world.start_balancer();
        world.run(Millis(2_000));
        world.stop(0);
    });
    assert!(strays <= MAX_STRAYS, "{strays}");
}

/// Guards against the same by a balancer that knows the owner, and sends packets around a partition when
/// that does not answer.
#[test]
fn a_detour_around_an_agent_that_is_restarted_reaches_few_other_backend_servers() {
    let strays = max_strays(|world| {
        for index in 1..AGENTS {
            world.restart(index);
        }
        world.run(Millis(2_000));
        world.stop(0);
    });
    assert!(strays <= MAX_STRAYS, "{strays}");
}

/// Guards against packets at all backend servers once the agents and the balancer have been up again for
/// longer than they are excused after a kill.
#[test]
fn an_idle_flow_some_seconds_after_all_were_killed_reaches_few_other_backend_servers() {
    let strays = max_strays(|world| {
        for index in 0..AGENTS {
            world.kill(index);
        }
        world.run(RESTART_TIME);
        for index in 0..AGENTS {
            world.start(index);
        }
        world.start_balancer();
        world.run(CONTACT_TIME + Millis(1_000));
    });
    assert!(strays <= MAX_STRAYS, "{strays}");
}
