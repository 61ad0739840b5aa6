//! A process that was paused acts on nothing that may have changed meanwhile.

mod datagram;

use std::sync::Arc;

use buckthornlink_core::datagram::{
    Effect, Event, Fact, Load, MemberHeartbeat, Message, Mode, Phase, Reducer, Status, StoreView,
};
use buckthornlink_core::member::ZoneRecord;
use buckthornlink_core::{Millis, Version, ZoneTag};

use datagram::{
    AgentDriver, BalancerDriver, PEER, fact, heartbeat, is_reset, opening, service, table,
};

/// A pause, longer than any interval between ticks.
const PAUSE: Millis = Millis(8_000);

/// An agent that was paused and whose backend server sends a heartbeat on its return.
fn returned() -> AgentDriver {
    let mut agent = AgentDriver::ready();
    agent.add_agent(PEER, service());
    agent.advance(Millis(200));
    agent.now = agent.now + PAUSE;
    agent.heartbeat(heartbeat(9));
    agent
}

/// A status of [`PEER`] in which it repeats the sequence number `seq` of the agent.
fn status(agent: &AgentDriver, seq: u32, version: u64, zones: Vec<ZoneRecord>) -> Message {
    let from = fact(PEER, Phase::Ready, Load::default());
    let own = Fact {
        seq,
        ..*agent.agent.gossip().own()
    };
    Message::Status(Status {
        from: Fact {
            seq: 1_000_000,
            ..from
        },
        store: StoreView {
            version: Version(version),
            zones,
            ..StoreView::default()
        },
        facts: Vec::new(),
        beats: vec![MemberHeartbeat::from_fact(&own)],
        known: 2,
        asks: false,
    })
}

fn is_admitted(agent: &mut AgentDriver, port: u16) -> bool {
    let effects = agent.packet_from_peer(opening(port), Mode::Placed);
    matches!(effects[..], [Effect::Deliver(_)])
}

#[test]
fn a_returned_agent_asks_others_before_it_admits_flows() {
    let mut agent = AgentDriver::ready();
    agent.add_agent(PEER, service());
    agent.advance(Millis(200));
    agent.now = agent.now + PAUSE;
    let effects = agent.heartbeat(heartbeat(9));
    let asks = |e: &Effect| matches!(e, Effect::Send { to: PEER, message: Message::Status(status) } if status.asks);
    assert!(effects.iter().any(asks), "{effects:?}");
    assert!(!is_admitted(&mut agent, 1));
}

#[test]
fn a_returned_agent_admits_flows_once_another_instance_has_answered() {
    let mut agent = returned();
    let seq = agent.agent.gossip().own().seq;
    let message = status(&agent, seq, 1, Vec::new());
    agent.message(message);
    assert!(is_admitted(&mut agent, 1));
}

#[test]
fn a_status_that_waited_in_the_socket_is_no_answer() {
    let mut agent = returned();
    let message = status(&agent, 1, 1, Vec::new());
    agent.message(message);
    assert!(!is_admitted(&mut agent, 1));
}

#[test]
fn a_returned_agent_admits_no_flow_in_a_zone_that_was_taken_out_meanwhile() {
    let mut agent = returned();
    let zone = ZoneRecord {
        zone: ZoneTag::of("a"),
        seq: 5.into(),
        out: true,
    };
    let seq = agent.agent.gossip().own().seq;
    let message = status(&agent, seq, 1, vec![zone]);
    agent.message(message);
    assert!(!is_admitted(&mut agent, 1));
}

#[test]
fn a_returned_agent_waits_for_a_newer_configuration() {
    let mut agent = returned();
    let seq = agent.agent.gossip().own().seq;
    let message = status(&agent, seq, 2, Vec::new());
    agent.message(message);
    assert!(!is_admitted(&mut agent, 1));
    agent.reduce(Event::Table(Arc::new(table(2))));
    assert!(is_admitted(&mut agent, 1));
}

#[test]
fn a_returned_agent_goes_on_if_nobody_answers() {
    let mut agent = returned();
    agent.advance(Millis(600));
    agent.heartbeat(heartbeat(10));
    agent.advance(Millis(600));
    assert!(is_admitted(&mut agent, 1));
}

#[test]
fn a_returned_balancer_does_not_reset_flows_of_routes_that_it_may_have_missed() {
    let mut balancer = BalancerDriver::ready();
    balancer.receive_facts(&[fact(PEER, Phase::Ready, Load::default())]);
    balancer.reduce(Event::Tick);
    balancer.now = balancer.now + PAUSE;
    let mut packet = opening(1);
    packet.flow.route.set_port(999);
    let effects = balancer.packet_from_caller(packet);
    assert!(!effects.iter().any(is_reset), "{effects:?}");
    balancer.reduce(Event::Tick);
    balancer.now = balancer.now + Millis(800);
    balancer.reduce(Event::Tick);
    balancer.now = balancer.now + Millis(300);
    let effects = balancer.packet_from_caller(packet);
    assert!(effects.iter().any(is_reset), "{effects:?}");
}
