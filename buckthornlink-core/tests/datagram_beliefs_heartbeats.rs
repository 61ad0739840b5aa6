//! Heartbeats of the backend server that arrive late, or whose clock was set back, beside an agent that has
//! just started.

mod datagram;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{
    BackendHeartbeat, Connection, Effect, Event, Mode, Phase, Reducer,
};

use datagram::{AgentDriver, answer, data, heartbeat, is_reset};

/// Interval between ticks.
const TICK: Millis = Millis(200);

/// A heartbeat of a backend server that started at `born`.
fn heartbeat_of(id: &str, born: u64, seq: u64) -> BackendHeartbeat {
    BackendHeartbeat {
        id: id.to_owned(),
        born: Some(born),
        ..heartbeat(seq)
    }
}

/// An agent that has just started beside a backend server with an open flow, and found that it holds it.
fn restarted_with_flow() -> AgentDriver {
    let mut agent = AgentDriver::without_backend();
    agent.packet_from_peer(data(1), Mode::Lookup);
    agent.packet_from_backend(answer(1));
    agent
}

/// Guards against the reset of the flows of a living backend server, when a heartbeat of the boot before
/// was held up and is the first one that a restarted agent hears.
#[test]
fn a_late_heartbeat_of_an_earlier_boot_ends_no_flows() {
    let mut agent = restarted_with_flow();
    agent.heartbeat(heartbeat_of("i-1", 1_000, 9));
    agent.heartbeat(heartbeat_of("i-2", 5_000, 40));
    let mut effects = agent.advance(TICK);
    effects.extend(agent.advance(TICK));
    effects.extend(agent.packet_from_peer(data(1), Mode::Lookup));
    assert!(!effects.iter().any(is_reset), "{effects:?}");
}

/// Guards against the denial of the flows of a living backend server, when its first heartbeat was held up
/// and is the first one that a restarted agent hears.
#[test]
fn a_late_first_heartbeat_does_not_show_that_every_flow_was_seen() {
    let mut agent = restarted_with_flow();
    agent.heartbeat(heartbeat_of("i-1", 5_000, 1));
    agent.heartbeat(heartbeat_of("i-1", 5_000, 40));
    let tried = agent.packet_from_peer(data(2), Mode::Try);
    assert!(matches!(tried[..], [Effect::Deliver(_)]), "{tried:?}");
}

/// Guards against a living backend server that is hidden for good, since its start time is before that of
/// the crashed one whose place it takes: the clock was set back meanwhile.
#[test]
fn a_backend_server_that_started_after_its_clock_was_set_back_gets_flows() {
    let mut agent = AgentDriver::ready();
    agent.run(Millis(4_000));
    for seq in 1..10 {
        agent.heartbeat(heartbeat_of("i-2", 4_000, seq));
        agent.run(Millis(1_200));
    }
    agent.heartbeat(heartbeat_of("i-2", 4_000, 10));
    assert_eq!(agent.agent.gossip().own().phase, Phase::Ready);
}

/// Guards against heartbeats of an earlier boot that were held up, and replace the one that lives.
#[test]
fn held_up_heartbeats_of_an_earlier_boot_replace_no_living_one() {
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    for seq in 2..10 {
        agent.run(Millis(1_200));
        agent.heartbeat(heartbeat(seq));
        agent.heartbeat(heartbeat_of("i-0", 4_000, seq + 20));
    }
    let next = agent.packet_from_peer(data(1), Mode::Known);
    assert!(matches!(next[..], [Effect::Deliver(_)]), "{next:?}");
}

/// An agent whose backend server has a flow of port 1, and crashed: the connection to it was closed, and the next one accepted.
fn crashed() -> AgentDriver {
    let mut agent = AgentDriver::ready();
    agent.reduce(Event::BackendConnection(Connection::Accepted));
    agent.open_flow(1);
    agent.run(Millis(1_200));
    agent.heartbeat(heartbeat(2));
    agent.run(Millis(1_200));
    agent.heartbeat(heartbeat(3));
    agent.run(TICK);
    agent.reduce(Event::BackendConnection(Connection::Closed));
    agent.run(TICK);
    agent.reduce(Event::BackendConnection(Connection::Accepted));
    agent
}

/// Whether the flow of this port is reset within two ticks.
fn is_told(agent: &mut AgentDriver, port: u16) -> bool {
    let effects = agent.run(Millis(2 * TICK.0));
    let is_of = |e: &Effect| matches!(e, Effect::Reset { flow, .. } if flow.caller.port() == port);
    effects.iter().any(is_of)
}

/// Guards against the reset of a flow that opened at the next boot, whose first heartbeat is late or was lost: the crash was seen, and
/// the agent let flows open since. Those that opened before are reset as soon as ever.
#[test]
fn flows_that_opened_since_a_crash_are_kept_when_its_successor_is_heard() {
    for first_heartbeat in [1, 2] {
        let mut agent = crashed();
        agent.open_flow(2);
        agent.run(Millis(400));
        agent.heartbeat(heartbeat_of("i-2", 9_000, first_heartbeat));
        assert!(agent.agent.gossip().own().holds_earlier);
        assert!(is_told(&mut agent, 1));
        let next = agent.packet_from_peer(data(2), Mode::Known);
        assert!(matches!(next[..], [Effect::Deliver(_)]), "{next:?}");
    }
}

/// Guards against callers of dead flows that wait: nothing opened since the crash, and all others may act on it.
#[test]
fn others_hear_of_the_end_of_a_boot_that_left_nothing() {
    let mut agent = crashed();
    agent.heartbeat(heartbeat_of("i-2", 9_000, 1));
    assert!(!agent.agent.gossip().own().holds_earlier);
    assert!(is_told(&mut agent, 1));
}

/// Guards against the reset of flows that an earlier process recorded under another name: an agent that starts beside a running backend
/// server has not seen the end of the boot before.
#[test]
fn an_agent_that_starts_beside_a_running_backend_server_has_seen_no_end() {
    let mut agent = AgentDriver::started_at_time(buckthornlink_core::BootId(9_000));
    agent.heartbeat(heartbeat_of("i-1", 5_000, 40));
    assert!(agent.agent.gossip().own().holds_earlier);
    let mut joint = AgentDriver::started_at_time(buckthornlink_core::BootId(9_000));
    joint.heartbeat(heartbeat_of("i-1", 9_010, 2));
    assert!(!joint.agent.gossip().own().holds_earlier);
}

/// Guards against the reset of flows of the next boot after a pause of the agent, in which its backend server crashed and returned: it learns
/// of the closed connection late, and a heartbeat of the boot before waited in a socket.
#[test]
fn flows_of_a_boot_that_began_during_a_pause_are_kept() {
    for is_late_heartbeat_first in [false, true] {
        let mut agent = AgentDriver::ready();
        agent.reduce(Event::BackendConnection(Connection::Accepted));
        agent.run(Millis(1_200));
        agent.heartbeat(heartbeat(2));
        agent.run(TICK);
        agent.now = agent.now + Millis(4_000);
        let late = |agent: &mut AgentDriver| agent.heartbeat(heartbeat(3));
        if is_late_heartbeat_first {
            late(&mut agent);
        }
        agent.open_flow(1);
        agent.reduce(Event::BackendConnection(Connection::Closed));
        agent.reduce(Event::BackendConnection(Connection::Accepted));
        if !is_late_heartbeat_first {
            late(&mut agent);
        }
        for seq in 1..6 {
            agent.heartbeat(heartbeat_of("i-2", 9_000, seq));
            assert!(!is_told(&mut agent, 1), "{is_late_heartbeat_first}, {seq}");
            agent.run(Millis(800));
        }
        let own = agent.agent.gossip().own();
        assert!(own.holds_earlier && own.phase == Phase::Ready, "{own:?}");
        let next = agent.packet_from_peer(data(1), Mode::Known);
        assert!(matches!(next[..], [Effect::Deliver(_)]), "{next:?}");
    }
}
