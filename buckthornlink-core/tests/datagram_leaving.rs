//! Agents whose process shuts down while their backend server lives on.

mod datagram;

use std::net::Ipv4Addr;

use buckthornlink_core::datagram::{Effect, Event, Fact, Load, Message, Mode, Phase, Reducer};
use buckthornlink_core::{BootId, Millis};

use datagram::{AgentDriver, OWN, PEER, data, fact, flow, is_reset, service, status};

/// An agent whose process shuts down.
const STOPPING: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 3);
const TICK_INTERVAL: Millis = Millis(100);

/// An agent that searched for a flow which [`PEER`] has denied, and [`STOPPING`] may hold.
fn searching(phase: Phase) -> (AgentDriver, Vec<Effect>) {
    let mut agent = AgentDriver::ready();
    agent.reduce(Event::RegisteredAgents(vec![OWN, PEER, STOPPING]));
    agent.add_agent(PEER, service());
    agent.discover_in(STOPPING, phase);
    let mut effects = agent.packet_from_peer(data(1), Mode::Lookup);
    effects.extend(agent.message(Message::Denied(flow(1))));
    (agent, effects)
}

fn is_search_of(effect: &Effect, ip: Ipv4Addr) -> bool {
    matches!(effect, Effect::Relay { to, tag } if *to == ip && tag.mode == Mode::Search)
}

/// Ticks for `span`, during which the flow's packets and [`PEER`]'s heartbeats go on; returns whether
/// the flow was reset.
fn is_reset_within(agent: &mut AgentDriver, span: Millis) -> bool {
    let end = agent.now + span;
    let mut effects = Vec::new();
    while agent.now < end {
        agent.add_agent(PEER, service());
        effects.extend(agent.advance(TICK_INTERVAL));
        effects.extend(agent.packet_from_peer(data(1), Mode::Lookup));
        effects.extend(agent.message(Message::Denied(flow(1))));
    }
    effects.iter().any(is_reset)
}

/// Guards against the reset of a flow whose agent is shutting down beside its living backend server.
#[test]
fn an_agent_that_is_leaving_beside_its_backend_server_is_asked_in_searches() {
    let (_, effects) = searching(Phase::Leaving);
    let is_asked = effects.iter().any(|e| is_search_of(e, STOPPING));
    assert!(is_asked, "{effects:?}");
    assert!(!effects.iter().any(is_reset), "{effects:?}");
}

/// Guards against the same reset while the process is gone and its successor has yet to start.
#[test]
fn a_flow_outlives_the_restart_of_the_agent_that_may_hold_it() {
    let (mut agent, _) = searching(Phase::Leaving);
    assert!(!is_reset_within(&mut agent, Millis(3_000)));
    let restarted = Fact {
        boot: BootId(datagram::PEER_BOOT.0 + 1),
        ..fact(STOPPING, Phase::Ready, Load::default())
    };
    agent.reduce(Event::Message {
        from: STOPPING,
        message: status(restarted),
    });
    agent.packet_from_peer(data(1), Mode::Lookup);
    agent.message(Message::Denied(flow(1)));
    let denied = agent.reduce(Event::Message {
        from: STOPPING,
        message: Message::Denied(flow(1)),
    });
    assert!(denied.iter().any(is_reset), "{denied:?}");
}

/// Guards against the reset of a living flow whose agent takes longer to come back than others wait.
#[test]
fn a_leaving_agent_that_does_not_return_denies_nothing() {
    let (mut agent, _) = searching(Phase::Leaving);
    assert!(!is_reset_within(&mut agent, Millis(30_000)));
}

#[test]
fn an_agent_that_left_after_its_backend_server_ended_is_not_asked() {
    let (_, effects) = searching(Phase::Left);
    assert!(!effects.iter().any(|e| is_search_of(e, STOPPING)));
    assert!(effects.iter().any(is_reset), "{effects:?}");
}

#[test]
fn the_announced_phase_says_whether_the_backend_server_may_hold_flows() {
    let mut agent = AgentDriver::ready();
    agent.reduce(Event::Leave);
    assert_eq!(agent.agent.gossip().own().phase, Phase::Leaving);
    agent.reduce(datagram::ending());
    assert_eq!(agent.agent.gossip().own().phase, Phase::Leaving);
    agent.end_backend();
    assert_eq!(agent.agent.gossip().own().phase, Phase::Left);
}
