//! What a process that was away, paused or suspended, still believes on its return.

mod datagram;

use std::net::Ipv4Addr;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{
    Effect, Event, Load, MemberHeartbeat, Message, Mode, Phase, Reducer,
};

use datagram::{AgentDriver, OWN, PEER, data, fact, flow, heartbeat, is_reset, service, status};

/// Interval between ticks.
const TICK: Millis = Millis(200);
/// An agent of which nothing was heard before the absence.
const UNHEARD: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 3);

/// Guards against the reset of a living flow by an agent that takes its own absence for the silence of the
/// agent that it asked.
#[test]
fn an_agent_that_returns_does_not_take_its_absence_for_the_silence_of_others() {
    let mut agent = AgentDriver::ready();
    agent.add_agent(PEER, service());
    agent.reduce(Event::RegisteredAgents(vec![OWN, PEER]));
    agent.packet_from_peer(data(1), Mode::Lookup);
    for _ in 0..3 {
        let effects = agent.advance(TICK);
        assert!(!effects.iter().any(is_reset), "{effects:?}");
    }
    let returned = agent.advance(Millis(1_200));
    assert!(!returned.iter().any(is_reset), "{returned:?}");
}

/// The agent that does not answer before and after the absence is given up in the same time as without it. That
/// resets nothing.
#[test]
fn silence_before_and_after_an_absence_adds_up() {
    let mut agent = AgentDriver::ready();
    agent.add_agent(PEER, service());
    agent.reduce(Event::RegisteredAgents(vec![OWN, PEER]));
    agent.packet_from_peer(data(1), Mode::Lookup);
    let is_given_up = |agent: &AgentDriver| {
        let member = agent.agent.gossip().membership().get(PEER);
        member.is_some_and(|m| m.is_unresponsive(agent.now))
    };
    let mut effects = Vec::new();
    effects.extend(agent.advance(TICK));
    effects.extend(agent.advance(TICK));
    effects.extend(agent.advance(Millis(1_200)));
    effects.extend(agent.packet_from_peer(data(1), Mode::Lookup));
    assert!(!is_given_up(&agent));
    for _ in 0..5 {
        effects.extend(agent.advance(TICK));
    }
    assert!(is_given_up(&agent));
    assert!(!effects.iter().any(is_reset), "{effects:?}");
}

/// Guards against the denial of a living flow by an agent that counts its absence as time without packets of the flow,
/// and forgets it before it reads those that wait.
#[test]
fn an_agent_that_returns_knows_the_flows_that_were_open_before() {
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    agent.run(Millis(12_000));
    agent.advance(Millis(10_000));
    let searched = agent.packet_from_peer(data(1), Mode::Search);
    assert!(
        searched.iter().any(|e| matches!(e, Effect::Deliver(_))),
        "{searched:?}"
    );
}

/// Guards against the denial of a living flow by an agent that counts its absence soon after its start as
/// time in which it saw the packets of its backend server's flows.
#[test]
fn an_agent_that_was_away_does_not_claim_to_have_seen_every_flow() {
    let mut agent = AgentDriver::without_backend();
    agent.heartbeat(heartbeat(40));
    agent.advance(TICK);
    agent.now = agent.now + Millis(17_000);
    let searched = agent.packet_from_peer(data(1), Mode::Search);
    let is_denial = |e: &Effect| {
        matches!(
            e,
            Effect::Send {
                message: Message::Denied(_),
                ..
            }
        )
    };
    assert!(!searched.iter().any(is_denial), "{searched:?}");
    let tried = agent.packet_from_peer(data(2), Mode::Known);
    assert!(matches!(tried[..], [Effect::Deliver(_)]), "{tried:?}");
}

/// Guards against the reset of a living flow by an agent that was paused right after its start, and counts
/// that as time in which it heard of all other agents.
#[test]
fn an_agent_that_was_away_does_not_claim_to_know_every_agent() {
    let mut agent = AgentDriver::ready();
    agent.add_agent(PEER, service());
    agent.advance(TICK);
    agent.now = agent.now + Millis(4_000);
    agent.reduce(Event::Tick);
    agent.packet_from_peer(data(1), Mode::Lookup);
    let denied = agent.message(Message::Denied(flow(1)));
    assert!(!denied.iter().any(is_reset), "{denied:?}");
    let discovered = agent.discover(UNHEARD);
    let is_asked = |e: &Effect| matches!(e, Effect::Send { to: UNHEARD, message: Message::Query(flows) } if flows.contains(&flow(1)));
    assert!(discovered.iter().any(is_asked), "{discovered:?}");
}

/// Guards against the reset of a living flow by an agent that has run for long and ends a search with the agents
/// that it knew before its absence. Others know more by now.
#[test]
fn an_agent_that_returns_waits_for_the_agents_that_joined_meanwhile() {
    let mut agent = AgentDriver::ready();
    let other = Ipv4Addr::new(10, 1, 0, 4);
    agent.add_agent(PEER, service());
    agent.add_agent(other, service());
    agent.reduce(Event::RegisteredAgents(vec![OWN, PEER, other]));
    for _ in 0..20 {
        agent.advance(TICK);
    }
    agent.now = agent.now + Millis(20_000);
    agent.reduce(Event::Tick);
    agent.packet_from_peer(data(1), Mode::Lookup);
    let mut effects = agent.message(Message::Denied(flow(1)));
    effects.extend(agent.reduce(Event::Message {
        from: other,
        message: Message::Denied(flow(1)),
    }));
    assert!(!effects.iter().any(is_reset), "{effects:?}");
    let discovered = agent.discover(UNHEARD);
    assert!(!discovered.iter().any(is_reset), "{discovered:?}");
}

/// A status of [`PEER`] that answers the agent's last question and names the number of instances that it knows.
fn answer(agent: &AgentDriver, known: u32) -> Message {
    let mut from = fact(PEER, Phase::Ready, Load::default());
    from.seq = u32::try_from(agent.now.0).unwrap();
    let mut message = status(from);
    if let Message::Status(status) = &mut message {
        status.known = known;
        status.beats = vec![MemberHeartbeat::from_fact(agent.agent.gossip().own())];
    }
    message
}

/// Guards against searches that wait for seconds after a pause, since the fleet was larger long ago.
#[test]
fn an_agent_that_returns_believes_the_numbers_of_instances_that_it_hears_now() {
    let mut agent = AgentDriver::ready();
    agent.add_agent(PEER, service());
    agent.reduce(Event::RegisteredAgents(vec![OWN, PEER]));
    let before = answer(&agent, 9);
    agent.message(before);
    agent.run(Millis(4_000));
    agent.advance(Millis(2_000));
    let after = answer(&agent, 2);
    agent.message(after);
    agent.packet_from_peer(data(1), Mode::Lookup);
    let denied = agent.message(Message::Denied(flow(1)));
    assert!(denied.iter().any(is_reset), "{denied:?}");
}
