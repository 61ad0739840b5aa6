//! Heartbeats of other writers, which name no backend server to use.

mod datagram;

use std::net::{Ipv4Addr, SocketAddrV4};

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{
    Agent, BackendHeartbeat, Connection, Effect, Event, Mode, Phase, Role, ServiceTag, Setup,
};

use datagram::{
    AgentDriver, BACKEND, OWN, PEER, data, draining, ending, heartbeat, is_reset, opening, service,
    setup,
};

const HEARTBEAT_INTERVAL: Millis = Millis(1_200);

/// A heartbeat for a service that neither the settings nor the configuration name.
fn foreign(born: Option<u64>) -> BackendHeartbeat {
    BackendHeartbeat {
        id: "i-other".to_owned(),
        born,
        service: ServiceTag::of("kiosk-cache"),
        ..heartbeat(1)
    }
}

/// Guards against the reset of all flows, and the refusal of all new ones, because of a heartbeat for a
/// service that is not configured.
#[test]
fn a_heartbeat_for_a_service_that_is_not_configured_replaces_nothing() {
    for born in [Some(9_000), None] {
        let mut agent = AgentDriver::ready();
        agent.open_flow(1);
        let effects = agent.heartbeat(foreign(born));
        assert!(!effects.iter().any(is_reset), "{effects:?}");
        agent.heartbeat(heartbeat(2));
        let next = agent.packet_from_peer(data(1), Mode::Known);
        assert!(matches!(next[..], [Effect::Deliver(_)]), "{next:?}");
        let admitted = agent.packet_from_peer(opening(2), Mode::Placed);
        assert!(matches!(admitted[..], [Effect::Deliver(_)]), "{admitted:?}");
    }
}

/// Guards against the reset of all flows of a backend server by the heartbeat of another one, which names its own address.
#[test]
fn a_heartbeat_with_another_address_replaces_nothing() {
    let elsewhere = BackendHeartbeat {
        id: "i-other".to_owned(),
        born: Some(9_000),
        address: SocketAddrV4::new(PEER, BACKEND.port()),
        ..heartbeat(1)
    };
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    let effects = agent.heartbeat(elsewhere.clone());
    assert!(!effects.iter().any(is_reset), "{effects:?}");
    agent.heartbeat(heartbeat(2));
    let next = agent.packet_from_peer(data(1), Mode::Known);
    assert!(matches!(next[..], [Effect::Deliver(_)]), "{next:?}");
    let mut agent = AgentDriver::without_backend();
    agent.heartbeat(elsewhere);
    assert_eq!(agent.phase(), Phase::Starting);
}

/// Guards against heartbeats that are ignored as the agent reaches its backend server at the loopback address.
#[test]
fn a_heartbeat_with_the_address_of_the_instance_counts() {
    let own = setup(OWN, Role::Agent(service()));
    let loopback = SocketAddrV4::new(Ipv4Addr::LOCALHOST, BACKEND.port());
    let mut agent = AgentDriver::without_backend();
    let setup = Setup {
        backend_address: Some(loopback),
        ..own
    };
    agent.agent = Agent::new(&setup, agent.now);
    agent.heartbeat(heartbeat(1));
    assert_eq!(agent.phase(), Phase::Ready);
}

/// Guards against the same at an agent whose own backend server has yet to say anything.
#[test]
fn a_heartbeat_for_a_service_that_is_not_configured_starts_nothing() {
    let mut agent = AgentDriver::without_backend();
    agent.heartbeat(foreign(Some(9_000)));
    agent.heartbeat(heartbeat(1));
    let admitted = agent.packet_from_peer(opening(1), Mode::Placed);
    assert!(matches!(admitted[..], [Effect::Deliver(_)]), "{admitted:?}");
}

/// A whole heartbeat of another writer that names the agent's own backend server.
fn impostor(seq: u64) -> BackendHeartbeat {
    BackendHeartbeat {
        id: "i-other".to_owned(),
        born: Some(9_000),
        ..heartbeat(seq)
    }
}

/// An agent with an open flow and a connection to its backend server.
fn connected() -> AgentDriver {
    let mut agent = AgentDriver::ready();
    agent.reduce(Event::BackendConnection(Connection::Accepted));
    agent.heartbeat(heartbeat(2));
    agent.open_flow(1);
    agent
}

fn serves(agent: &mut AgentDriver) -> bool {
    let next = agent.packet_from_peer(data(1), Mode::Known);
    matches!(next[..], [Effect::Deliver(_)])
}

/// Guards against the reset of all flows of a backend server whose process still holds its connection, by a whole heartbeat with a later
/// start time.
#[test]
fn a_later_start_time_replaces_no_backend_server_that_is_connected() {
    let mut agent = connected();
    for seq in 3..9 {
        let effects = agent.heartbeat(impostor(seq));
        assert!(!effects.iter().any(is_reset), "{effects:?}");
        agent.heartbeat(heartbeat(seq));
        agent.run(HEARTBEAT_INTERVAL);
        assert!(serves(&mut agent), "{seq}");
    }
    let admitted = agent.packet_from_peer(opening(2), Mode::Placed);
    assert!(matches!(admitted[..], [Effect::Deliver(_)]), "{admitted:?}");
}

/// Guards against the same while the backend server drains and has closed its port.
#[test]
fn a_later_start_time_replaces_no_backend_server_that_drains() {
    let mut agent = connected();
    agent.heartbeat(draining(3));
    agent.reduce(Event::BackendConnection(Connection::Closed));
    agent.reduce(Event::BackendConnection(Connection::Refused));
    let effects = agent.heartbeat(impostor(1));
    assert!(!effects.iter().any(is_reset), "{effects:?}");
    assert!(serves(&mut agent));
    agent.reduce(ending());
    let mut effects = agent.heartbeat(impostor(1));
    effects.extend(agent.run(Millis(400)));
    assert!(
        effects.iter().any(is_reset),
        "it has announced its end: {effects:?}"
    );
}

/// Guards against callers of a crashed backend server that wait although its successor is heard.
#[test]
fn a_successor_is_believed_once_the_connection_is_lost() {
    for is_accepted_again in [false, true] {
        let mut agent = connected();
        agent.reduce(Event::BackendConnection(Connection::Closed));
        if is_accepted_again {
            agent.reduce(Event::BackendConnection(Connection::Accepted));
        }
        let mut effects = agent.heartbeat(impostor(1));
        effects.extend(agent.run(Millis(400)));
        assert!(effects.iter().any(is_reset), "{effects:?}");
    }
}

/// Guards against a backend server that stays unknown because the connection to its predecessor hangs.
#[test]
fn a_successor_is_believed_after_several_heartbeats_although_the_connection_hangs() {
    let mut agent = connected();
    for seq in 1..5 {
        agent.run(HEARTBEAT_INTERVAL);
        let effects = agent.heartbeat(impostor(seq));
        assert!(!effects.iter().any(is_reset), "{effects:?}");
    }
    let admitted = agent.packet_from_peer(opening(2), Mode::Placed);
    assert!(matches!(admitted[..], [Effect::Deliver(_)]), "{admitted:?}");
}

/// Guards against more new flows at a backend server than it bears, or than its service may get, while its agent still takes the boot
/// before for the running one: the flows reach whichever of both runs.
#[test]
fn a_possible_successor_limits_new_flows() {
    let cold = BackendHeartbeat {
        cold: Millis(2_000),
        ..impostor(1)
    };
    let leaving = BackendHeartbeat {
        draining: true,
        ..impostor(1)
    };
    for (heartbeat, phase) in [(cold, Phase::Cold), (leaving, Phase::Draining)] {
        let mut agent = connected();
        agent.heartbeat(heartbeat);
        assert_eq!(agent.phase_after_tick(), phase);
        agent.run(Millis(1_000));
        agent.heartbeat(datagram::heartbeat(3));
        assert_eq!(agent.phase_after_tick(), Phase::Ready, "{phase:?}");
    }
}
