//! Backend servers that refuse connections although they still serve their flows.

mod datagram;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Connection, Effect, Event, Message, Mode, Phase};

use datagram::{AgentDriver, answer, bounced, data, draining, is_reset};

const HEARTBEAT_INTERVAL: Millis = Millis(1_200);
const REPORT_INTERVAL: Millis = Millis(300);
/// Time after the last sign of life within which the end of a backend server has to be known.
const DETECTION_TIME: Millis = Millis(4_000);

/// Reports refused connections for some time, with the ticks between them.
fn refuse(agent: &mut AgentDriver, span: Millis) -> Vec<Effect> {
    let end = agent.now + span;
    let mut effects = Vec::new();
    while agent.now < end {
        effects.extend(agent.advance(REPORT_INTERVAL));
        effects.extend(agent.reduce(Event::BackendConnection(Connection::Refused)));
    }
    effects
}

/// Guards against the reset of all flows of a backend server that leaves in good order, and stops to
/// listen over TCP before it has served its flows.
#[test]
fn flows_of_a_draining_backend_server_that_refuses_connections_are_kept() {
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    for seq in 2..9 {
        agent.heartbeat(draining(seq));
        let effects = refuse(&mut agent, HEARTBEAT_INTERVAL);
        assert!(!effects.iter().any(is_reset), "{effects:?}");
        let next = agent.packet_from_peer(data(1), Mode::Known);
        assert!(matches!(next[..], [Effect::Deliver(_)]), "{next:?}");
    }
    assert_eq!(agent.phase(), Phase::Draining);
}

/// Guards against the same reset while the heartbeats are late and only answers show that it runs.
#[test]
fn an_answer_shows_that_a_draining_backend_server_runs() {
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    agent.heartbeat(draining(2));
    for _ in 0..5 {
        let effects = refuse(&mut agent, HEARTBEAT_INTERVAL);
        assert!(!effects.iter().any(is_reset), "{effects:?}");
        agent.packet_from_backend(answer(1));
    }
}

#[test]
fn a_draining_backend_server_that_ends_without_a_word_is_noticed() {
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    agent.heartbeat(draining(2));
    let effects = refuse(&mut agent, DETECTION_TIME);
    assert!(effects.iter().any(is_reset), "{effects:?}");
    assert_eq!(agent.phase(), Phase::Over);
}

/// Guards against the denial of flows by an agent that starts beside such a backend server: it has
/// heard no heartbeat yet, and takes it for one that has ended.
#[test]
fn a_restarted_agent_beside_a_backend_server_that_refuses_connections_denies_nothing() {
    let mut agent = AgentDriver::without_backend();
    let started = refuse(&mut agent, HEARTBEAT_INTERVAL);
    assert!(!started.iter().any(is_reset), "{started:?}");
    let tried = agent.packet_from_peer(data(1), Mode::Search);
    assert!(matches!(tried[..], [Effect::Deliver(_)]), "{tried:?}");
    agent.packet_from_backend(answer(1));
    agent.heartbeat(draining(40));
    refuse(&mut agent, HEARTBEAT_INTERVAL);
    let next = agent.packet_from_peer(data(1), Mode::Known);
    assert!(matches!(next[..], [Effect::Deliver(_)]), "{next:?}");
}

/// Guards against searches that wait forever for an agent whose backend server never comes.
#[test]
fn an_agent_whose_backend_server_never_comes_denies_searched_flows_in_time() {
    let mut agent = AgentDriver::without_backend();
    refuse(&mut agent, DETECTION_TIME);
    let next = agent.packet_from_peer(data(1), Mode::Search);
    let is_denial = |e: &Effect| {
        matches!(
            e,
            Effect::Send {
                message: Message::Denied(_),
                ..
            }
        )
    };
    assert!(next.iter().any(is_denial), "{next:?}");
}

/// A backend server that gives back what it does not hold runs, whatever its port says.
#[test]
fn a_bounced_packet_shows_that_a_backend_server_runs() {
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    agent.heartbeat(draining(2));
    for _ in 0..4 {
        refuse(&mut agent, HEARTBEAT_INTERVAL);
        agent.packet_from_backend(bounced(data(2)));
    }
    assert_ne!(agent.phase(), Phase::Over);
}
