//! Searches that go on although the owner of the flow has been found.

mod datagram;

use std::net::Ipv4Addr;

use buckthornlink_core::datagram::{Effect, Event, Message, Mode, OwnerRecord};
use buckthornlink_core::{BootId, Millis};

use datagram::{AgentDriver, OWN, PEER, answer, data, flow, heartbeat, is_reset, service};

/// Another agent than [`PEER`].
const OTHER: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 3);

fn deny(agent: &mut AgentDriver, from: Ipv4Addr) -> Vec<Effect> {
    let message = Message::Denied(flow(1));
    agent.reduce(Event::Message { from, message })
}

/// Guards against the reset of a flow that the agent's own backend server serves: the search for it had begun
/// before that answered, and the denials of the others came later.
#[test]
fn denials_do_not_reset_a_flow_that_the_own_backend_server_has_answered() {
    let mut agent = AgentDriver::without_backend();
    agent.reduce(Event::RegisteredAgents(vec![OWN, PEER]));
    agent.add_agent(PEER, service());
    agent.packet_from_peer(data(1), Mode::Lookup);
    agent.heartbeat(heartbeat(1));
    agent.packet_from_backend(answer(1));
    let mut effects = deny(&mut agent, PEER);
    effects.extend(agent.discover(OTHER));
    effects.extend(deny(&mut agent, OTHER));
    effects.extend(agent.advance(Millis(200)));
    assert!(!effects.iter().any(is_reset), "{effects:?}");
}

/// Guards against the reset of a flow whose owner has answered, by a late denial while the owner's agent restarts
/// and is probed for other flows.
#[test]
fn a_late_denial_does_not_reset_a_flow_whose_owner_has_answered() {
    let mut agent = AgentDriver::ready();
    agent.reduce(Event::RegisteredAgents(vec![OWN, PEER, OTHER]));
    agent.add_agent(PEER, service());
    agent.add_agent(OTHER, service());
    agent.packet_from_peer(data(1), Mode::Lookup);
    let record = OwnerRecord {
        flow: flow(1),
        owner: PEER,
        backend: BootId(1),
    };
    agent.message(Message::OwnerRecords(vec![record]));
    for _ in 0..7 {
        agent.advance(Millis(200));
        agent.add_agent(OTHER, service());
        agent.packet_from_peer(data(2), Mode::Lookup);
    }
    let denied = deny(&mut agent, OTHER);
    assert!(!denied.iter().any(is_reset), "{denied:?}");
}
