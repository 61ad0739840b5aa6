//! Retry storm: more openings than the backend servers can take, most of them retransmitted by
//! callers that have waited since an outage.

mod datagram;

use std::collections::VecDeque;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Effect, Event, Mode, RelayTag, Source};

use datagram::{AgentDriver, BALANCER, answer, data, heartbeat, opening, syn_ack};

/// Slots of the backend server.
const SLOTS: u16 = 4;
/// Time in which a slot processes a request.
const SERVICE_TIME: Millis = Millis(40);
/// Requests per second that the backend server can process.
const CAPACITY_PER_SECOND: u64 = 100;
/// Time in which the callers' requests are to be answered.
const TARGET_LATENCY: Millis = Millis(120);

/// A backend server that processes requests in order of arrival, with its agent.
struct Server {
    agent: AgentDriver,
    queue: VecDeque<(u16, Millis)>,
    running: Vec<(u16, Millis, Millis)>,
}

impl Server {
    fn new() -> Self {
        let mut agent = AgentDriver::without_backend();
        let mut first = heartbeat(1);
        first.slots = SLOTS;
        agent.heartbeat(first);
        Self {
            agent,
            queue: VecDeque::new(),
            running: Vec::new(),
        }
    }

    /// Offers an opening that another agent has refused; returns whether the agent accepts it. The
    /// caller of an accepted flow sends its request at once.
    fn offer(&mut self, port: u16, retransmissions: u32) -> bool {
        let mut packet = opening(port);
        packet.ack = retransmissions;
        packet.tag = RelayTag {
            hops: 1,
            ..RelayTag::new(Mode::Placed, BALANCER)
        };
        let source = Source::Peer(BALANCER);
        let effects = self.agent.reduce(Event::Packet { source, packet });
        let is_accepted = matches!(effects[..], [Effect::Deliver(_)]);
        if is_accepted {
            self.agent.packet_from_backend(syn_ack(port, 500));
            self.agent.packet_from_peer(data(port), Mode::Placed);
            self.queue.push_back((port, self.agent.now));
        }
        is_accepted
    }

    /// Advances to `now`; returns the ports of the requests that end, with their latencies.
    fn run_until(&mut self, now: Millis) -> Vec<(u16, Millis)> {
        self.agent.now = now;
        let (ended, running) = self.running.drain(..).partition(|r| r.2 <= now);
        self.running = running;
        while self.running.len() < usize::from(SLOTS) {
            let Some((port, arrival)) = self.queue.pop_front() else {
                break;
            };
            self.running.push((port, arrival, now + SERVICE_TIME));
        }
        let ended: Vec<(u16, Millis, Millis)> = ended;
        for (port, ..) in &ended {
            self.agent.packet_from_backend(answer(*port));
        }
        ended
            .into_iter()
            .map(|(port, arrival, end)| (port, end.since(arrival)))
            .collect()
    }
}

/// A second of overload: fresh openings at three quarters of the capacity, and as many
/// retransmitted ones again. Returns how many fresh ones came, and how many were answered in time.
fn play_storm() -> (usize, usize) {
    let mut server = Server::new();
    let start = server.agent.now;
    let (mut offered, mut in_time) = (0, 0);
    let is_fresh = |port: u16| port.is_multiple_of(2);
    let interval = 1_000 * 4 / (CAPACITY_PER_SECOND * 3);
    for at in 0..1_000 {
        let ended = server.run_until(start + Millis(at));
        in_time += ended
            .iter()
            .filter(|(port, latency)| is_fresh(*port) && *latency <= TARGET_LATENCY)
            .count();
        if at % interval == 0 {
            let port = 2 * u16::try_from(at / interval).unwrap();
            server.offer(port + 1, 1);
            server.offer(port, 0);
            offered += 1;
        }
    }
    (offered, in_time)
}

#[test]
fn fresh_openings_are_answered_in_time_during_a_retry_storm() {
    let (offered, in_time) = play_storm();
    assert!(in_time * 100 >= offered * 90, "{in_time} of {offered}");
}

#[test]
fn a_retransmitted_opening_gets_a_free_slot() {
    let mut server = Server::new();
    assert!(server.offer(1, 2));
}

#[test]
fn a_retransmitted_opening_is_not_queued() {
    let mut server = Server::new();
    (0..SLOTS).for_each(|port| assert!(server.offer(port, 0)));
    assert!(!server.offer(100, 1));
    assert!(server.offer(101, 0));
}

#[test]
fn a_busy_agent_refuses_new_flows_and_accepts_them_when_others_are_busy_too() {
    let mut agent = AgentDriver::ready();
    (1..=8).for_each(|port| agent.open_flow(port));
    let outcome = |agent: &mut AgentDriver, port: u16, hops: u8| {
        let mut packet = opening(port);
        packet.tag = RelayTag {
            hops,
            ..RelayTag::new(Mode::Placed, BALANCER)
        };
        let source = Source::Peer(BALANCER);
        match agent.reduce(Event::Packet { source, packet })[..] {
            [Effect::Deliver(_)] => "accepted",
            [Effect::Relay { tag, .. }] if tag.mode == Mode::Busy => "busy",
            _ => "other",
        }
    };
    assert_eq!(outcome(&mut agent, 100, 0), "busy");
    assert_eq!(outcome(&mut agent, 101, 1), "accepted");
    (11..=18).for_each(|port| agent.open_flow(port));
    let outcomes = [0, 1, 2, 3].map(|hops| outcome(&mut agent, 200, hops));
    assert_eq!(outcomes, ["busy"; 4]);
    agent.packet_from_backend(answer(1));
    assert_eq!(outcome(&mut agent, 102, 2), "accepted");
}
