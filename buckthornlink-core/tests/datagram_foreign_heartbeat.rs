//! Heartbeats of other writers, which name no backend server to use.

mod datagram;

use std::net::SocketAddrV4;

use buckthornlink_core::datagram::{BackendHeartbeat, Effect, Mode, Phase, ServiceTag};

use datagram::{AgentDriver, BACKEND, PEER, data, heartbeat, is_reset, opening};

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

/// Guards against the same at an agent whose own backend server has yet to say anything.
#[test]
fn a_heartbeat_for_a_service_that_is_not_configured_starts_nothing() {
    let mut agent = AgentDriver::without_backend();
    agent.heartbeat(foreign(Some(9_000)));
    agent.heartbeat(heartbeat(1));
    let admitted = agent.packet_from_peer(opening(1), Mode::Placed);
    assert!(matches!(admitted[..], [Effect::Deliver(_)]), "{admitted:?}");
}
