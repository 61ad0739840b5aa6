//! Backend servers that refuse connections although they still serve their flows.

mod datagram;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Agent, Connection, Effect, Event, Message, Mode, Phase, Role};

use datagram::{
    AgentDriver, OWN, TICK_INTERVAL, answer, bounced, data, draining, heartbeat, is_reset, opening,
    service, setup, syn_ack,
};

const HEARTBEAT_INTERVAL: Millis = Millis(1_200);
/// Time that a process may take to exit after it announced its end.
const LONG_EXIT_TIME: Millis = Millis(12_000);
/// Time for which a flow may be idle.
const IDLE_TIMEOUT: Millis = Millis(15_000);
const REPORT_INTERVAL: Millis = Millis(300);
/// Time within which the end of a backend server that gets packets has to be known.
const BUSY_DETECTION_TIME: Millis = Millis(1_600);
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
    let tried = agent.packet_from_peer(data(1), Mode::Try);
    assert!(matches!(tried[..], [Effect::Deliver(_)]), "{tried:?}");
    agent.packet_from_backend(answer(1));
    agent.heartbeat(draining(40));
    refuse(&mut agent, HEARTBEAT_INTERVAL);
    let next = agent.packet_from_peer(data(1), Mode::Known);
    assert!(matches!(next[..], [Effect::Deliver(_)]), "{next:?}");
}

/// Guards against the denial of living flows by an agent that starts beside a process that has announced its end, and has closed its
/// port, but takes seconds to exit.
#[test]
fn a_restarted_agent_beside_a_backend_server_that_exits_slowly_denies_nothing() {
    let mut agent = AgentDriver::without_backend();
    refuse(&mut agent, LONG_EXIT_TIME);
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
    assert!(!next.iter().any(is_denial), "{next:?}");
    assert_ne!(agent.phase(), Phase::Over);
}

/// Guards against the same by an agent that does not know yet how long flows may be idle.
#[test]
fn an_agent_without_a_configuration_takes_no_silence_for_an_end() {
    let mut agent = AgentDriver::without_backend();
    agent.agent = Agent::new(&setup(OWN, Role::Agent(service())), agent.now);
    refuse(&mut agent, LONG_EXIT_TIME);
    assert_eq!(agent.phase(), Phase::Starting);
}

/// Guards against the reset of the flows of a backend server that drains, has closed its port and is slow.
#[test]
fn a_slow_backend_server_that_drains_keeps_its_flows() {
    let mut agent = AgentDriver::ready();
    for port in 1..5 {
        agent.open_flow(port);
    }
    agent.heartbeat(draining(2));
    agent.reduce(Event::BackendConnection(Connection::Refused));
    for port in 1..5 {
        let mut request = data(port);
        request.seq += u32::from(request.len);
        agent.packet_from_peer(request, Mode::Known);
    }
    let effects = refuse(&mut agent, HEARTBEAT_INTERVAL + HEARTBEAT_INTERVAL);
    assert!(!effects.iter().any(is_reset), "{effects:?}");
}

/// Guards against searches that wait forever for an agent whose backend server never comes.
#[test]
fn an_agent_whose_backend_server_never_comes_denies_searched_flows_in_time() {
    let mut agent = AgentDriver::without_backend();
    refuse(&mut agent, IDLE_TIMEOUT + DETECTION_TIME);
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

/// Guards against the reset of all flows of a backend server that stops to listen before its heartbeats say
/// that it drains, or whose listener is replaced.
#[test]
fn flows_of_a_ready_backend_server_that_refuses_connections_are_kept() {
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    let mut effects = refuse(&mut agent, HEARTBEAT_INTERVAL);
    agent.heartbeat(draining(2));
    effects.extend(refuse(&mut agent, HEARTBEAT_INTERVAL));
    assert!(!effects.iter().any(is_reset), "{effects:?}");
    let next = agent.packet_from_peer(data(1), Mode::Known);
    assert!(matches!(next[..], [Effect::Deliver(_)]), "{next:?}");
    assert_eq!(agent.phase(), Phase::Draining);
}

/// Guards against new flows at a backend server that may be gone.
#[test]
fn a_backend_server_gets_no_new_flows_while_it_refuses_connections() {
    let mut agent = AgentDriver::ready();
    refuse(&mut agent, REPORT_INTERVAL);
    let next = agent.packet_from_peer(opening(1), Mode::Placed);
    assert!(
        !next.iter().any(|e| matches!(e, Effect::Deliver(_))),
        "{next:?}"
    );
    agent.reduce(Event::BackendConnection(Connection::Accepted));
    let next = agent.packet_from_peer(opening(1), Mode::Placed);
    let is_delivery = |e: &Effect| matches!(e, Effect::Deliver(_));
    assert!(
        !next.iter().any(is_delivery),
        "which boot accepts? {next:?}"
    );
    agent.heartbeat(heartbeat(2));
    let next = agent.packet_from_peer(opening(1), Mode::Placed);
    assert!(matches!(next[..], [Effect::Deliver(_)]), "{next:?}");
}

/// Guards against crashes that are noticed late because a refused connection no longer shows them.
#[test]
fn a_backend_server_that_crashes_under_load_is_noticed_by_unanswered_packets() {
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    agent.open_flow(2);
    agent.reduce(Event::BackendConnection(Connection::Closed));
    let end = agent.now + BUSY_DETECTION_TIME;
    let mut effects = Vec::new();
    let mut request = data(1);
    while agent.now < end {
        request.seq += u32::from(request.len);
        effects.extend(agent.packet_from_peer(request, Mode::Known));
        effects.extend(agent.advance(TICK_INTERVAL));
        effects.extend(agent.reduce(Event::BackendConnection(Connection::Refused)));
    }
    for port in [1, 2] {
        let is_of_flow =
            |e: &Effect| matches!(e, Effect::Reset { flow, .. } if flow.caller.port() == port);
        assert!(effects.iter().any(is_of_flow), "{port}: {effects:?}");
    }
}

#[test]
fn a_ready_backend_server_that_ends_without_a_word_is_noticed_without_load() {
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    agent.packet_from_backend(answer(1));
    let effects = refuse(&mut agent, DETECTION_TIME);
    assert!(effects.iter().any(is_reset), "{effects:?}");
    assert_eq!(agent.phase(), Phase::Over);
}

/// Guards against a paused agent that takes the answers which it has yet to read for missing ones.
#[test]
fn a_paused_agent_does_not_take_its_own_silence_for_that_of_the_backend_server() {
    let mut agent = AgentDriver::ready();
    for port in [1, 2, 3] {
        agent.open_flow(port);
    }
    refuse(&mut agent, REPORT_INTERVAL);
    for port in [1, 2, 3] {
        let mut request = data(port);
        request.seq += u32::from(request.len);
        agent.packet_from_peer(request, Mode::Known);
    }
    let effects = agent.advance(Millis(4_000));
    assert!(!effects.iter().any(is_reset), "{effects:?}");
    assert_ne!(agent.phase(), Phase::Over);
}

/// Guards against an end that is believed although the backend server shows that it runs.
#[test]
fn an_end_is_taken_back_by_a_packet_of_the_backend_server() {
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    agent.packet_from_backend(answer(1));
    while agent.phase() != Phase::Over {
        refuse(&mut agent, REPORT_INTERVAL);
    }
    agent.packet_from_backend(answer(1));
    assert_eq!(
        agent.phase(),
        Phase::Silent,
        "no new flows before a heartbeat"
    );
    let effects = agent.run(Millis(400));
    assert!(!effects.iter().any(is_reset), "{effects:?}");
    let next = agent.packet_from_peer(data(1), Mode::Known);
    assert!(matches!(next[..], [Effect::Deliver(_)]), "{next:?}");
}

/// Guards against an end that the last packets of a process take back, which arrive after its ports refuse.
#[test]
fn a_late_packet_does_not_take_back_the_end_of_a_backend_server_whose_ports_refuse() {
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    agent.end_backend();
    let late = agent.packet_from_backend(answer(1));
    assert!(late.contains(&Effect::SendToCaller), "{late:?}");
    assert_eq!(agent.phase(), Phase::Over);
    agent.run(Millis(400));
    agent.packet_from_backend(answer(1));
    assert_ne!(agent.phase(), Phase::Over);
}

/// Guards against the end of all flows of a living backend server that takes long for one request.
#[test]
fn copies_of_one_unanswered_request_do_not_show_the_end_of_a_backend_server() {
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    agent.heartbeat(draining(2));
    let mut request = data(1);
    request.seq += u32::from(request.len);
    let mut effects = refuse(&mut agent, REPORT_INTERVAL);
    for pause in [200, 400, 600] {
        effects.extend(agent.packet_from_peer(request, Mode::Known));
        effects.extend(refuse(&mut agent, Millis(pause)));
    }
    assert!(!effects.iter().any(is_reset), "{effects:?}");
    assert_ne!(agent.phase(), Phase::Over);
}

/// Guards against an end that others act on before the answers that wait in the socket are read.
#[test]
fn an_inferred_end_is_not_announced_before_it_is_confirmed() {
    let mut agent = AgentDriver::ready();
    for port in [1, 2, 3] {
        agent.open_flow(port);
    }
    refuse(&mut agent, REPORT_INTERVAL);
    for port in [1, 2, 3] {
        let mut request = data(port);
        request.seq += u32::from(request.len);
        agent.packet_from_peer(request, Mode::Known);
    }
    for _ in 0..4 {
        let effects = agent.advance(TICK_INTERVAL);
        assert!(!effects.iter().any(is_reset), "{effects:?}");
    }
    assert_ne!(agent.phase(), Phase::Over, "800 ms without an answer");
    agent.packet_from_backend(answer(1));
    agent.run(Millis(600));
    assert_ne!(agent.phase(), Phase::Over);
}

/// Guards against a refused packet of long ago, as while a socket was replaced, that counts beside a listener
/// which closes now.
#[test]
fn refusals_of_different_moments_do_not_show_the_end_of_a_backend_server() {
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    agent.reduce(Event::DeliveryRefused);
    agent.run(Millis(1_200));
    let effects = refuse(&mut agent, REPORT_INTERVAL);
    assert!(!effects.iter().any(is_reset), "{effects:?}");
    assert_ne!(agent.phase(), Phase::Over);
}

/// Guards against the end of a boot that has begun and does not listen yet, by a packet that was refused before: what it sends since shows
/// that it runs.
#[test]
fn a_refused_packet_shows_no_end_of_a_boot_that_has_answered_since() {
    let mut agent = AgentDriver::ready();
    agent.packet_from_peer(opening(1), Mode::Placed);
    agent.reduce(Event::DeliveryRefused);
    agent.packet_from_backend(syn_ack(1, 500));
    agent.packet_from_peer(data(1), Mode::Placed);
    let mut effects = agent.reduce(Event::BackendConnection(Connection::Refused));
    effects.extend(agent.run(Millis(600)));
    assert_ne!(agent.phase(), Phase::Over);
    assert!(!effects.iter().any(is_reset), "{effects:?}");
}
