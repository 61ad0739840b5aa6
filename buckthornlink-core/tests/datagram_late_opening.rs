//! Late copies of the opening packet of a flow that is open, as from a balancer that was frozen.

mod datagram;

use buckthornlink_core::datagram::{Effect, Event, Mode, Packet};

use datagram::{
    AgentDriver, OWN, PEER, answer, bounced, data, heartbeat, is_reset, opening, syn_ack,
};

/// Bytes that the caller has received since the handshake.
const RECEIVED: u32 = 3 << 20;
/// Sequence number of the answer with which [`AgentDriver::open_flow`] opens a flow.
const HANDSHAKE: u32 = 500;

/// A request after [`RECEIVED`] bytes of answers.
fn later_request() -> Packet {
    let mut packet = data(1);
    packet.ack += RECEIVED;
    packet
}

fn is_delivered(effects: &[Effect]) -> bool {
    matches!(effects, [Effect::Deliver(_)])
}

/// Guards against the search for, and reset of, a living flow whose backend server answers a late copy of
/// its opening packet, with the number of its first answer or another one.
#[test]
fn a_late_opening_packet_leaves_an_open_flow_open() {
    for seq in [HANDSHAKE, 7_000_000] {
        let mut agent = AgentDriver::ready();
        agent.open_flow(1);
        let late = agent.packet_from_peer(opening(1), Mode::Placed);
        assert!(is_delivered(&late), "{seq}: {late:?}");
        let repeated = agent.packet_from_backend(syn_ack(1, seq));
        assert!(repeated.contains(&Effect::SendToCaller), "{seq}");
        let next = agent.packet_from_peer(later_request(), Mode::Known);
        assert!(is_delivered(&next), "{seq}: {next:?}");
    }
}

/// Guards against the same at an agent that started after the flow had opened, and takes the late copy
/// for a new flow.
#[test]
fn a_late_opening_packet_at_a_restarted_agent_does_not_hide_an_open_flow() {
    for answers in [&[][..], &[syn_ack(1, HANDSHAKE)]] {
        let mut agent = AgentDriver::without_backend();
        agent.heartbeat(heartbeat(40));
        agent.reduce(Event::RegisteredAgents(vec![OWN, PEER]));
        agent.add_agent(PEER, datagram::service());
        agent.packet_from_peer(opening(1), Mode::Placed);
        for &packet in answers {
            agent.packet_from_backend(packet);
        }
        let tried = agent.packet_from_peer(later_request(), Mode::Known);
        assert!(is_delivered(&tried), "{tried:?}");
        agent.packet_from_backend(answer(1));
        let next = agent.packet_from_peer(later_request(), Mode::Known);
        assert!(is_delivered(&next), "{next:?}");
    }
}

/// Guards against the loss of an open flow's state when its backend server gives the late copy back.
#[test]
fn a_late_opening_packet_that_bounces_leaves_an_open_flow_open() {
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    agent.packet_from_peer(opening(1), Mode::Placed);
    agent.packet_from_backend(bounced(opening(1)));
    assert_eq!(agent.agent.flows().open_count(), 1);
    let next = agent.packet_from_peer(later_request(), Mode::Known);
    assert!(is_delivered(&next), "{next:?}");
}

/// The caller may have used the port for another flow, which opened elsewhere.
#[test]
fn a_flow_that_was_offered_again_and_bounces_is_searched_for() {
    let mut agent = AgentDriver::ready();
    agent.reduce(Event::RegisteredAgents(vec![OWN, PEER]));
    agent.add_agent(PEER, datagram::service());
    agent.open_flow(1);
    agent.packet_from_peer(opening(1), Mode::Placed);
    agent.packet_from_backend(syn_ack(1, 7_000_000));
    let given_back = agent.packet_from_backend(bounced(data(1)));
    assert!(!given_back.iter().any(is_reset), "{given_back:?}");
    let is_search =
        |e: &Effect| matches!(e, Effect::Relay { to: PEER, tag } if tag.mode == Mode::Search);
    assert!(given_back.iter().any(is_search), "{given_back:?}");
}
