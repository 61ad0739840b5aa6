//! Failing backend servers: ready by their heartbeats, while they break off the requests that they
//! are sent.

mod datagram;

use std::net::Ipv4Addr;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{
    Effect, Event, Load, Mode, Packet, Phase, Reducer, RelayTag, Source,
};

use datagram::{
    AgentDriver, BALANCER, BalancerDriver, answer, data, fact, heartbeat, opening, syn_ack,
};

/// The packet of the caller with this number; each has its own address.
fn from_caller(number: u8, mut packet: Packet) -> Packet {
    packet.flow.caller.set_ip(Ipv4Addr::new(100, 64, 0, number));
    packet
}

/// Offers an opening that `hops` agents have refused; returns whether the agent admits it.
fn is_admitted(agent: &mut AgentDriver, mut packet: Packet, hops: u8) -> bool {
    packet.tag = RelayTag {
        hops,
        ..RelayTag::new(Mode::Placed, BALANCER)
    };
    let source = Source::Peer(BALANCER);
    let effects = agent.reduce(Event::Packet { source, packet });
    matches!(effects[..], [Effect::Deliver(_)])
}

/// A caller opens a flow and sends a request, which the backend server resets or answers.
fn play_request(agent: &mut AgentDriver, caller: u8, port: u16, is_reset: bool) {
    is_admitted(agent, from_caller(caller, opening(port)), 2);
    agent.packet_from_backend(from_caller(caller, syn_ack(port, 500)));
    agent.packet_from_peer(from_caller(caller, data(port)), Mode::Placed);
    let mut reply = from_caller(caller, answer(port));
    reply.flags.rst = is_reset;
    agent.packet_from_backend(reply);
}

/// Numbers of openings, out of 20, that an agent admits first, and after two others refused them.
fn admissions(agent: &mut AgentDriver) -> [usize; 2] {
    [0, 2].map(|hops: u8| {
        let ports = 1_000 * (u16::from(hops) + 1)..;
        let admitted = ports
            .take(20)
            .filter(|port| is_admitted(agent, opening(*port), hops));
        admitted.count()
    })
}

/// An agent of a backend server with more slots than a test uses.
fn agent() -> AgentDriver {
    let mut agent = AgentDriver::without_backend();
    let mut first = heartbeat(1);
    first.slots = 200;
    agent.heartbeat(first);
    agent
}

#[test]
fn a_backend_server_that_resets_requests_gets_trials_and_what_others_refuse() {
    let mut agent = agent();
    for caller in 1..=6 {
        play_request(&mut agent, caller, 1, true);
    }
    assert_eq!(admissions(&mut agent), [1, 20]);
}

#[test]
fn a_backend_server_that_resets_a_third_of_its_requests_is_kept() {
    let mut agent = agent();
    for caller in 1..=30 {
        play_request(&mut agent, caller, 1, caller % 3 == 0);
    }
    assert_eq!(admissions(&mut agent), [20, 20]);
}

#[test]
fn requests_of_one_caller_do_not_make_an_outlier() {
    let mut agent = agent();
    for port in 1..=20 {
        play_request(&mut agent, 1, port, true);
    }
    assert_eq!(admissions(&mut agent), [20, 20]);
}

#[test]
fn a_backend_server_that_answers_again_is_used_again() {
    let mut agent = agent();
    for caller in 1..=6 {
        play_request(&mut agent, caller, 1, true);
    }
    for caller in 10..=15 {
        play_request(&mut agent, caller, 1, false);
    }
    agent.now = agent.now + Millis(1);
    assert_eq!(admissions(&mut agent)[1], 20);
    play_request(&mut agent, 16, 1, false);
    assert_eq!(admissions(&mut agent), [20, 20]);
}

#[test]
fn a_new_boot_of_the_backend_server_is_not_an_outlier() {
    let mut agent = agent();
    for caller in 1..=6 {
        play_request(&mut agent, caller, 1, true);
    }
    let mut next = heartbeat(1);
    next.born = Some(9_000);
    next.slots = 200;
    agent.heartbeat(next);
    assert_eq!(admissions(&mut agent), [20, 20]);
}

// A backend server that fails at once has no request outstanding and closes its flows.
#[test]
fn a_backend_server_that_fails_fast_does_not_attract_the_flows_of_others() {
    let mut agent = agent();
    for caller in 1..=100 {
        play_request(&mut agent, caller, 1, false);
        let mut end = from_caller(caller, answer(1));
        end.flags.rst = true;
        agent.packet_from_backend(end);
    }
    agent.reduce(Event::Tick);
    let load = agent.agent.gossip().own().load;
    let fast = Ipv4Addr::new(10, 1, 0, 7);
    let slow_load = Load {
        waiting: 10,
        flows: 30,
        slots: 200,
    };
    let slow = (1..=4).map(|i| fact(Ipv4Addr::new(10, 1, 1, i), Phase::Ready, slow_load));
    let facts: Vec<_> = slow.chain([fact(fast, Phase::Ready, load)]).collect();
    let mut balancer = BalancerDriver::ready();
    balancer.receive_facts(&facts);
    let placed = balancer.packet_from_caller(opening(1));
    assert!(
        matches!(placed[..], [Effect::Relay { to, .. }] if to != fast),
        "{placed:?}"
    );
}
