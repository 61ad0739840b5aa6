//! Backend servers that announce their end and serve their flows until their process exits.

mod datagram;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Connection, Effect, Event, Mode, Phase, Reducer};

use datagram::{
    AgentDriver, TICK_INTERVAL, answer, data, draining, ending, heartbeat, is_reset, opening,
};

/// Time that a process takes to exit after it announced its end.
const EXIT_TIME: Millis = Millis(2_000);
/// The same for one that takes long.
const LONG_EXIT_TIME: Millis = Millis(12_000);
/// Time for which a flow may be idle.
const IDLE_TIMEOUT: Millis = Millis(15_000);
/// Time within which the callers of idle flows hear of an end that no packet shows.
const DETECTION_TIME: Millis = Millis(4_000);

/// An agent whose backend server has drained and announced its end with an open flow left.
fn announced() -> AgentDriver {
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    agent.packet_from_backend(answer(1));
    agent.heartbeat(draining(2));
    agent.reduce(ending());
    agent
}

/// Reports refused connections with each tick for some time.
fn refuse(agent: &mut AgentDriver, span: Millis) -> Vec<Effect> {
    let end = agent.now + span;
    let mut effects = Vec::new();
    while agent.now < end {
        effects.extend(agent.reduce(Event::BackendConnection(Connection::Refused)));
        effects.extend(agent.advance(TICK_INTERVAL));
    }
    effects
}

/// Guards against the reset of living flows between the announcement and the exit of the process.
#[test]
fn flows_are_kept_until_the_process_that_announced_its_end_exits() {
    let mut agent = announced();
    let effects = refuse(&mut agent, EXIT_TIME);
    assert!(!effects.iter().any(is_reset), "{effects:?}");
    let next = agent.packet_from_peer(data(1), Mode::Known);
    assert!(matches!(next[..], [Effect::Deliver(_)]), "{next:?}");
    let answered = agent.packet_from_backend(answer(1));
    assert!(answered.contains(&Effect::SendToCaller), "{answered:?}");
    assert_ne!(
        agent.phase(),
        Phase::Over,
        "balancers reset the flows of one that is over"
    );
}

#[test]
fn a_process_that_announced_its_end_gets_no_new_flows() {
    let mut agent = announced();
    let next = agent.packet_from_peer(opening(2), Mode::Placed);
    assert!(
        !next.iter().any(|e| matches!(e, Effect::Deliver(_))),
        "{next:?}"
    );
}

/// Guards against dead pooled flows after a release: callers hear of the exit before their next request.
#[test]
fn idle_flows_are_reset_once_the_process_is_gone() {
    let mut agent = announced();
    refuse(&mut agent, TICK_INTERVAL);
    agent.end_backend();
    let effects = agent.run(Millis(400));
    assert!(effects.iter().any(is_reset), "{effects:?}");
}

/// Guards against the reset of living flows that are all idle, while the process that announced its end takes seconds to exit.
#[test]
fn idle_flows_are_kept_while_the_process_takes_long_to_exit() {
    let mut agent = announced();
    let effects = refuse(&mut agent, LONG_EXIT_TIME);
    assert!(!effects.iter().any(is_reset), "{effects:?}");
    let next = agent.packet_from_peer(data(1), Mode::Known);
    assert!(matches!(next[..], [Effect::Deliver(_)]), "{next:?}");
    assert_ne!(agent.phase(), Phase::Over);
}

#[test]
fn idle_flows_are_reset_although_no_packet_shows_the_exit() {
    let mut agent = announced();
    let effects = refuse(&mut agent, IDLE_TIMEOUT + EXIT_TIME);
    assert!(effects.iter().any(is_reset), "{effects:?}");
    assert_eq!(agent.phase(), Phase::Over);
}

/// Guards against the end of a boot by the late announcement of an earlier one with the same name.
#[test]
fn a_heartbeat_takes_back_an_announcement() {
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    agent.reduce(ending());
    assert_eq!(agent.phase(), Phase::Draining);
    agent.heartbeat(heartbeat(2));
    let effects = agent.run(DETECTION_TIME);
    assert!(!effects.iter().any(is_reset), "{effects:?}");
    agent.heartbeat(heartbeat(3));
    let next = agent.packet_from_peer(opening(2), Mode::Placed);
    assert!(matches!(next[..], [Effect::Deliver(_)]), "{next:?}");
}

/// Guards against an agent that is stopped with its backend server and ends before the callers of idle
/// flows were told.
#[test]
fn a_stopping_agent_waits_for_the_end_that_was_announced() {
    let mut agent = announced();
    agent.reduce(Event::Leave);
    assert_eq!(agent.agent.flow_counts().undecided, 1);
    agent.end_backend();
    assert_eq!(agent.agent.flow_counts().undecided, 1);
    let effects = agent.run(Millis(400));
    assert!(effects.iter().any(is_reset), "{effects:?}");
    assert_eq!(agent.agent.flow_counts().undecided, 0);
}
