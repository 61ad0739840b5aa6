//! Tries that the home agent of a flow hands out.

mod datagram;

use std::net::Ipv4Addr;

use buckthornlink_core::datagram::{
    Effect, Event, Fact, Load, Message, Mode, Packet, Phase, Reducer, RelayTag, Source,
};
use buckthornlink_core::{BootId, Millis};

use datagram::{
    AgentDriver, BALANCER, OWN, PEER_BOOT, bounced, data, fact, flow, heartbeat, is_reset, service,
    status,
};

/// Agents beside [`OWN`], which deny nothing.
fn others() -> impl Iterator<Item = Ipv4Addr> {
    (2..7).map(|host| Ipv4Addr::new(10, 1, 0, host))
}

/// An agent that knows all agents and is the home agent of the returned port's flow.
fn home() -> (AgentDriver, u16) {
    let mut agent = AgentDriver::ready();
    agent.run(Millis(1_000));
    for ip in others() {
        agent.add_agent(ip, service());
    }
    let agents = others().chain([OWN]).collect();
    agent.reduce(Event::RegisteredAgents(agents));
    let membership = agent.agent.gossip().membership();
    let is_home = |port: &u16| membership.home_agent(&flow(*port), agent.now) == Some(OWN);
    let port = (1..500).find(is_home).expect("a flow of this home agent");
    (agent, port)
}

/// The agents that are asked to try a packet.
fn asked(effects: &[Effect]) -> Vec<Ipv4Addr> {
    let tries = effects.iter().filter_map(|effect| match effect {
        Effect::Relay { to, tag } if tag.mode == Mode::Try => Some(*to),
        _ => None,
    });
    tries.collect()
}

fn is_held(effect: &Effect) -> bool {
    matches!(effect, Effect::Hold(_))
}

/// A packet comes back from an agent.
fn returned(agent: &mut AgentDriver, from: Ipv4Addr, port: u16, mode: Mode) -> Vec<Effect> {
    let tag = RelayTag::new(mode, BALANCER);
    let packet = Packet { tag, ..data(port) };
    let source = Source::Peer(from);
    agent.reduce(Event::Packet { source, packet })
}

/// Hands out the first try; returns the agent.
fn first_try(agent: &mut AgentDriver, port: u16) -> Ipv4Addr {
    let searched = agent.packet_from_peer(data(port), Mode::Lookup);
    assert!(searched.iter().any(is_held), "{searched:?}");
    assert!(
        asked(&searched).is_empty(),
        "agents that know the flow answer first"
    );
    agent.now = agent.now + Millis(200);
    let tried = agent.packet_from_peer(data(port), Mode::Held);
    assert_eq!(asked(&tried).len(), 1, "{tried:?}");
    asked(&tried)[0]
}

/// Guards against a third packet at other backend servers, by copies or by a search that goes on.
#[test]
fn a_flow_without_an_owner_is_tried_twice() {
    let (mut agent, port) = home();
    let first = first_try(&mut agent, port);
    let next = returned(&mut agent, first, port, Mode::Failed);
    let second = asked(&next);
    assert!(second.len() == 1 && second[0] != first, "{next:?}");
    let mut later = returned(&mut agent, second[0], port, Mode::Failed);
    for _ in 0..20 {
        later.extend(agent.run(Millis(400)));
        later.extend(agent.packet_from_peer(data(port), Mode::Lookup));
        later.extend(agent.packet_from_peer(data(port), Mode::Held));
    }
    assert!(asked(&later).is_empty(), "{later:?}");
}

/// Guards against a try that is lost to an agent which knows that it does not own the flow.
#[test]
fn a_try_that_was_declined_goes_to_the_next_agent() {
    let (mut agent, port) = home();
    let first = first_try(&mut agent, port);
    let mut asked_agents = vec![first];
    for _ in 0..3 {
        let from = *asked_agents.last().unwrap();
        let next = returned(&mut agent, from, port, Mode::Declined);
        assert_eq!(asked(&next).len(), 1, "{next:?}");
        asked_agents.extend(asked(&next));
    }
    asked_agents.dedup();
    assert_eq!(asked_agents.len(), 4);
}

/// Guards against home agents that follow each other and each try a flow twice at others.
#[test]
fn a_try_that_another_home_agent_handed_out_counts() {
    let (mut agent, port) = home();
    agent.packet_from_peer(data(port), Mode::Lookup);
    let failed: Vec<Ipv4Addr> = others().take(2).collect();
    let mut effects = Vec::new();
    agent.now = agent.now + Millis(200);
    for &from in &failed {
        effects.extend(returned(&mut agent, from, port, Mode::Failed));
    }
    assert!(asked(&effects).len() <= 1, "{effects:?}");
}

/// Guards against tries while the others pass on what they know.
#[test]
fn a_home_agent_that_has_just_started_hands_out_no_try() {
    let (template, port) = home();
    let mut agent = AgentDriver::started_at(template.now);
    let late = Fact {
        boot: BootId(1),
        ..fact(others().next().unwrap(), Phase::Ready, Load::default())
    };
    agent.heartbeat(heartbeat(40));
    for ip in others() {
        agent.message(status(Fact { ip, ..late }));
        agent.add_agent(ip, service());
    }
    let mut effects = agent.packet_from_peer(data(port), Mode::Lookup);
    agent.now = agent.now + Millis(200);
    effects.extend(agent.packet_from_peer(data(port), Mode::Held));
    assert!(asked(&effects).is_empty(), "{effects:?}");
}

/// Guards against an agent that is not the home agent and counts for itself.
#[test]
fn only_the_home_agent_hands_out_tries() {
    let (mut agent, _) = home();
    let membership = agent.agent.gossip().membership();
    let is_home = |port: &u16| membership.home_agent(&flow(*port), agent.now) == Some(OWN);
    let port = (1..500).find(|port| !is_home(port)).unwrap();
    let mut effects = agent.packet_from_peer(data(port), Mode::Lookup);
    agent.now = agent.now + Millis(200);
    effects.extend(agent.packet_from_peer(data(port), Mode::Lookup));
    assert!(asked(&effects).is_empty(), "{effects:?}");
    let is_lookup = |e: &Effect| matches!(e, Effect::Relay { tag, .. } if tag.mode == Mode::Lookup);
    assert!(effects.iter().any(is_lookup), "{effects:?}");
}

/// Guards against a packet that all agents try after a loss of power, though the flow may live at a backend server that
/// started just before it. Callers are told once all have denied it.
#[test]
fn a_flow_is_tried_by_few_though_all_backend_servers_started_with_their_agents() {
    let mut agent = AgentDriver::ready();
    agent.run(Millis(1_000));
    for ip in others() {
        let joint = Fact {
            ip,
            backend: PEER_BOOT,
            ..fact(ip, Phase::Cold, Load::default())
        };
        agent.reduce(Event::Message {
            from: ip,
            message: status(joint),
        });
    }
    agent.reduce(Event::RegisteredAgents(others().chain([OWN]).collect()));
    let membership = agent.agent.gossip().membership();
    let is_home = |port: &u16| membership.home_agent(&flow(*port), agent.now) == Some(OWN);
    let port = (1..500).find(is_home).unwrap();
    let first = first_try(&mut agent, port);
    let mut tried = vec![first];
    for _ in 0..4 {
        let from = *tried.last().unwrap();
        let next = returned(&mut agent, from, port, Mode::Failed);
        tried.extend(asked(&next));
    }
    assert_eq!(tried.len(), 2, "{tried:?}");
    let mut effects = Vec::new();
    for from in others() {
        let message = Message::Denied(flow(port));
        effects.extend(agent.reduce(Event::Message { from, message }));
    }
    assert!(effects.iter().any(is_reset), "{effects:?}");
}

/// Guards against a third packet at others after an agent whose backend server returned the second one only: the first
/// one, or its return, was lost (soak 90003).
#[test]
fn an_agent_that_was_given_two_packets_uses_up_the_tries() {
    let (mut agent, port) = home();
    let first = first_try(&mut agent, port);
    let next = returned(&mut agent, first, port, Mode::Exhausted);
    assert!(asked(&next).is_empty(), "{next:?}");
    agent.run(Millis(1_000));
    let later = agent.packet_from_peer(data(port), Mode::Lookup);
    assert!(asked(&later).is_empty(), "{later:?}");
}

/// Guards against two tries beside one that another agent made on somebody's word, and whose return is lost.
#[test]
fn a_try_on_the_word_of_another_counts_before_it_has_failed() {
    let (mut agent, port) = home();
    agent.packet_from_peer(data(port), Mode::Lookup);
    let trying: Vec<Ipv4Addr> = others().take(2).collect();
    for &from in &trying {
        let message = Message::Tried(flow(port));
        agent.reduce(Event::Message { from, message });
    }
    agent.now = agent.now + Millis(100);
    let mut effects = agent.packet_from_peer(data(port), Mode::Held);
    for _ in 0..10 {
        effects.extend(agent.advance(Millis(200)));
        effects.extend(agent.packet_from_peer(data(port), Mode::Lookup));
    }
    assert!(asked(&effects).is_empty(), "{effects:?}");
}

/// An agent that was given a packet of a flow on a balancer's word, which its backend server has not answered.
fn trying() -> AgentDriver {
    let mut agent = AgentDriver::without_backend();
    agent.heartbeat(heartbeat(40));
    let tried = agent.packet_from_peer(data(1), Mode::Known);
    assert!(is_delivered(&tried), "{tried:?}");
    agent
}

fn is_delivered(effects: &[Effect]) -> bool {
    effects.iter().any(|e| matches!(e, Effect::Deliver(_)))
}

/// Guards against the packets of searches at a backend server that left a try unanswered (soak 68017).
#[test]
fn an_agent_whose_try_is_unanswered_delivers_no_search() {
    let mut agent = trying();
    for _ in 0..20 {
        agent.advance(Millis(400));
        let searched = agent.packet_from_peer(data(1), Mode::Search);
        assert!(!is_delivered(&searched), "{searched:?}");
        let is_told = |e: &Effect| {
            matches!(
                e,
                Effect::Send {
                    message: Message::Tried(_),
                    ..
                }
            )
        };
        assert!(searched.iter().any(is_told), "{searched:?}");
    }
}

/// Guards against a third packet at a backend server that returned neither of the first two.
#[test]
fn an_unanswered_try_is_repeated_once() {
    let mut agent = trying();
    let mut deliveries = 1;
    for mode in [Mode::Known, Mode::Try, Mode::Recorded]
        .into_iter()
        .cycle()
        .take(30)
    {
        agent.advance(Millis(400));
        deliveries += usize::from(is_delivered(&agent.packet_from_peer(data(1), mode)));
    }
    assert_eq!(deliveries, 2);
    let failed = agent.packet_from_backend(bounced(data(1)));
    let is_reported =
        |e: &Effect| matches!(e, Effect::Relay { tag, .. } if tag.mode == Mode::Exhausted);
    assert!(
        failed
            .iter()
            .all(|e| !matches!(e, Effect::Relay { .. }) || is_reported(e))
    );
}

/// Guards against an agent that failed a try, becomes the home agent, and forgets its own when it counts.
#[test]
fn a_try_that_the_home_agent_itself_failed_before_counts() {
    let (template, port) = home();
    let mut agent = AgentDriver::started_at(template.now);
    agent.heartbeat(heartbeat(40));
    agent.packet_from_peer(data(port), Mode::Try);
    agent.packet_from_backend(bounced(data(port)));
    agent.run(Millis(1_000));
    for ip in others() {
        agent.add_agent(ip, service());
    }
    agent.reduce(Event::RegisteredAgents(others().chain([OWN]).collect()));
    let first = first_try(&mut agent, port);
    let next = returned(&mut agent, first, port, Mode::Failed);
    assert!(asked(&next).is_empty(), "{next:?}");
}

/// Guards against a third packet at others: the home agent repeated its own unanswered try beside one that another agent had
/// failed (soak 62004).
#[test]
fn the_home_agent_repeats_its_own_try_only_within_the_bound() {
    let (template, port) = home();
    let mut agent = AgentDriver::started_at(template.now);
    agent.heartbeat(heartbeat(40));
    agent.run(Millis(1_000));
    for ip in others() {
        agent.add_agent(ip, service());
    }
    agent.reduce(Event::RegisteredAgents(others().chain([OWN]).collect()));
    agent.packet_from_peer(data(port), Mode::Lookup);
    let failed = others().next().unwrap();
    for from in others().skip(1) {
        let message = Message::Denied(flow(port));
        agent.reduce(Event::Message { from, message });
    }
    agent.now = agent.now + Millis(200);
    returned(&mut agent, failed, port, Mode::Failed);
    let own = agent.packet_from_peer(data(port), Mode::Held);
    assert!(is_delivered(&own), "{own:?}");
    for mode in [Mode::Lookup, Mode::Known, Mode::Held] {
        agent.advance(Millis(400));
        let copy = agent.packet_from_peer(data(port), mode);
        assert!(!is_delivered(&copy), "{copy:?}");
    }
}

/// Guards against a repetition that the home agent does not count, since it was told of one packet.
#[test]
fn a_try_that_a_search_was_told_of_is_repeated_only_for_the_home_agent() {
    let mut agent = trying();
    agent.packet_from_peer(data(1), Mode::Search);
    agent.advance(Millis(400));
    for mode in [Mode::Known, Mode::Recorded] {
        assert!(!is_delivered(&agent.packet_from_peer(data(1), mode)));
    }
    assert!(is_delivered(&agent.packet_from_peer(data(1), Mode::Try)));
}

/// Guards against a third packet at others: an agent repeated, on a balancer's word, a try that the home agent had asked
/// for and counts (soak 591301).
#[test]
fn a_try_that_the_home_agent_asked_for_is_repeated_only_for_it() {
    let mut agent = AgentDriver::without_backend();
    agent.heartbeat(heartbeat(40));
    assert!(is_delivered(&agent.packet_from_peer(data(1), Mode::Try)));
    for mode in [Mode::Lookup, Mode::Known, Mode::Recorded] {
        agent.advance(Millis(600));
        let copy = agent.packet_from_peer(data(1), mode);
        assert!(!is_delivered(&copy), "{mode:?}: {copy:?}");
    }
    assert!(is_delivered(&agent.packet_from_peer(data(1), Mode::Try)));
}

/// Guards against a search that waits for an agent which is leaving beside a living backend server: it can deny nothing, and
/// nobody asked it to find out.
#[test]
fn an_agent_that_is_leaving_gets_a_try() {
    let (mut agent, port) = home();
    agent.packet_from_peer(data(port), Mode::Lookup);
    let leaving = others().next().unwrap();
    agent.discover_in(leaving, Phase::Leaving);
    for from in others().skip(1) {
        let message = Message::Denied(flow(port));
        agent.reduce(Event::Message { from, message });
    }
    agent.now = agent.now + Millis(200);
    let tried = agent.packet_from_peer(data(port), Mode::Held);
    assert_eq!(asked(&tried), [leaving], "{tried:?}");
}

/// Guards against a process of an earlier version that takes an exhausted try for one that it shall make: 12 had that meaning.
#[test]
fn an_exhausted_try_has_a_number_that_earlier_versions_do_not_know() {
    let tag = RelayTag::new(Mode::Exhausted, BALANCER);
    assert_eq!(RelayTag::unpack(tag.pack(), BALANCER), tag);
    assert_eq!(Mode::Exhausted as u8, 13);
}
