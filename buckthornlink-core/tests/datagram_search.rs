//! Searches for the owner of a flow, and what ends them.

mod datagram;

use std::net::Ipv4Addr;

use buckthornlink_core::datagram::{
    Connection, Effect, Event, Load, Message, Mode, OwnerRecord, Phase, Reason, Reducer, Role,
};
use buckthornlink_core::{BootId, Millis};

use datagram::{AgentDriver, PEER, data, heartbeat};

#[test]
fn a_search_includes_agents_of_services_that_the_route_no_longer_has() {
    let mut agent = AgentDriver::ready();
    agent.add_agent(PEER, buckthornlink_core::datagram::ServiceTag::of("ledger"));
    agent.advance(Millis(3_500));
    agent.heartbeat(heartbeat(2));
    agent.add_agent(PEER, buckthornlink_core::datagram::ServiceTag::of("ledger"));
    let next = agent.packet_from_peer(data(1), Mode::Lookup);
    assert!(
        next.iter().any(|e| matches!(e, Effect::Relay { to: PEER, tag } if matches!(tag.mode, Mode::Search | Mode::Lookup))),
        "{next:?}"
    );
}

#[test]
fn a_flow_that_all_other_agents_deny_is_reset_once_all_are_known() {
    let mut agent = AgentDriver::ready();
    let service = datagram::service();
    agent.reduce(Event::RegisteredAgents(vec![datagram::OWN, PEER]));
    let unknown = agent.packet_from_peer(data(1), Mode::Lookup);
    assert!(!unknown.iter().any(datagram::is_reset), "{unknown:?}");
    agent.add_agent(PEER, service);
    agent.advance(Millis(200));
    agent.packet_from_peer(data(1), Mode::Lookup);
    let next = agent.message(Message::Denied(data(1).flow));
    assert!(next.iter().any(datagram::is_reset), "{next:?}");
}

/// Guards against the reset of a living flow whose agent is away for some seconds.
#[test]
fn a_flow_that_only_a_silent_agent_may_hold_is_reset_once_that_denies_it() {
    let mut agent = AgentDriver::ready();
    let others = [3, 4, 5].map(|host| Ipv4Addr::new(10, 1, 0, host));
    for ip in others.into_iter().chain([PEER]) {
        agent.add_agent(ip, datagram::service());
    }
    let known = others.into_iter().chain([datagram::OWN, PEER]);
    agent.reduce(Event::RegisteredAgents(known.collect()));
    agent.run(Millis(2_000));
    let mut effects = Vec::new();
    for _ in 0..100 {
        effects.extend(agent.advance(Millis(200)));
        effects.extend(agent.packet_from_peer(data(1), Mode::Lookup));
        for from in others {
            agent.add_agent(from, datagram::service());
            let message = Message::Denied(data(1).flow);
            effects.extend(agent.reduce(Event::Message { from, message }));
        }
    }
    assert!(!effects.iter().any(datagram::is_reset), "{effects:?}");
    let denied = agent.message(Message::Denied(data(1).flow));
    assert!(denied.iter().any(datagram::is_reset), "{denied:?}");
}

#[test]
fn an_agent_without_a_backend_server_denies_searched_flows() {
    let mut agent = AgentDriver::without_backend();
    agent.reduce(Event::BackendConnection(Connection::Refused));
    agent.run(Millis(15_400));
    let next = agent.packet_from_peer(data(1), Mode::Search);
    assert!(
        matches!(
            next[..],
            [Effect::Send {
                to: PEER,
                message: Message::Denied(_)
            }]
        ),
        "{next:?}"
    );
}

/// Messages to a silent agent within a second, some seconds after a search for a flow began, or without one.
fn messages_to_silent_agent(has_search: bool) -> usize {
    let mut agent = AgentDriver::ready();
    agent.add_agent(PEER, datagram::service());
    agent.reduce(Event::RegisteredAgents(vec![datagram::OWN, PEER]));
    for _ in 0..15 {
        if has_search {
            agent.packet_from_peer(data(1), Mode::Lookup);
        }
        agent.advance(Millis(200));
    }
    let later = agent.run(Millis(1_000));
    let is_message = |e: &&Effect| matches!(e, Effect::Send { to: PEER, .. });
    later.iter().filter(is_message).count()
}

/// Guards against a silent agent that is asked again and again by all others, as long as it is away.
#[test]
fn an_agent_that_is_given_up_is_not_probed_between_packets() {
    let (with_search, without) = (
        messages_to_silent_agent(true),
        messages_to_silent_agent(false),
    );
    assert!(with_search <= without, "{with_search}, {without}");
}

/// Returns the number of 200 ms rounds until the reset of a flow that only [`PEER`] may hold, which
/// answers nothing while a balancer still relays its facts with `phase`.
fn rounds_until_reset(phase: Phase) -> Option<u32> {
    let mut agent = AgentDriver::ready();
    for round in 1..20 {
        let mut fact = datagram::fact(PEER, phase, Load::default());
        fact.seq = round;
        let mut relayed = datagram::fact(datagram::BALANCER, Phase::Ready, Load::default());
        relayed.role = Role::Balancer;
        let mut status = datagram::status(relayed);
        if let Message::Status(status) = &mut status {
            status.facts.push(fact);
        }
        let from = datagram::BALANCER;
        agent.reduce(Event::Message {
            from,
            message: status,
        });
        agent.reduce(Event::RegisteredAgents(vec![datagram::OWN, PEER]));
        let effects = agent.packet_from_peer(data(1), Mode::Lookup);
        if effects.iter().any(datagram::is_reset) {
            return Some(round);
        }
        agent.advance(Millis(200));
    }
    None
}

#[test]
fn an_unresponsive_agent_whose_backend_server_has_ended_counts_as_denying() {
    assert_eq!(rounds_until_reset(Phase::Over), Some(4));
}

/// Guards against the reset of a living flow whose agent others hear, but which does not answer the searching one.
#[test]
fn an_unresponsive_agent_whose_facts_are_still_relayed_is_not_given_up() {
    assert_eq!(rounds_until_reset(Phase::Ready), None);
}

#[test]
fn a_search_continues_between_retransmissions() {
    let mut agent = AgentDriver::ready();
    agent.discover_in(PEER, Phase::Starting);
    agent.reduce(Event::RegisteredAgents(vec![datagram::OWN, PEER]));
    agent.packet_from_peer(data(1), Mode::Lookup);
    let mut effects = agent.run(Millis(400));
    let is_probe = |e: &Effect| matches!(e, Effect::Send { to: PEER, .. });
    assert!(effects.iter().any(is_probe), "{effects:?}");
    effects = agent.discover(PEER);
    let is_query = |e: &Effect| {
        matches!(
            e,
            Effect::Send {
                to: PEER,
                message: Message::Query(_)
            }
        )
    };
    assert!(effects.iter().any(is_query), "{effects:?}");
    let denied = agent.message(Message::Denied(data(1).flow));
    assert!(denied.iter().any(datagram::is_reset), "{denied:?}");
}

#[test]
fn denials_of_several_searches_add_up() {
    let mut agent = AgentDriver::ready();
    let others = [3, 4].map(|host| Ipv4Addr::new(10, 1, 0, host));
    for ip in others {
        agent.add_agent(ip, datagram::service());
    }
    agent.reduce(Event::RegisteredAgents(vec![
        datagram::OWN,
        others[0],
        others[1],
    ]));
    let mut effects = Vec::new();
    for from in others {
        agent.advance(Millis(200));
        agent.packet_from_peer(data(1), Mode::Lookup);
        let message = Message::Denied(data(1).flow);
        effects = agent.reduce(Event::Message { from, message });
    }
    assert!(effects.iter().any(datagram::is_reset), "{effects:?}");
}

#[test]
fn an_agent_that_denied_a_flow_is_not_queried_again() {
    let mut agent = AgentDriver::ready();
    agent.add_agent(PEER, datagram::service());
    agent.packet_from_peer(data(1), Mode::Lookup);
    agent.message(Message::Denied(data(1).flow));
    agent.advance(Millis(200));
    let next = agent.packet_from_peer(data(1), Mode::Lookup);
    assert!(
        !next.iter().any(|e| matches!(e, Effect::Relay { .. })),
        "{next:?}"
    );
}

/// Whether a flow that all agents of a fleet of this size deny is reset.
fn is_reset_among(agents: u32) -> bool {
    let mut agent = AgentDriver::ready();
    let first = u32::from(Ipv4Addr::new(10, 2, 0, 0));
    let others: Vec<Ipv4Addr> = (first..first + agents).map(Ipv4Addr::from_bits).collect();
    for &ip in &others {
        agent.add_agent(ip, datagram::service());
    }
    let known = others.iter().copied().chain([datagram::OWN]);
    agent.reduce(Event::RegisteredAgents(known.collect()));
    agent.packet_from_peer(data(1), Mode::Lookup);
    let mut effects = Vec::new();
    for from in others {
        let message = Message::Denied(data(1).flow);
        effects = agent.reduce(Event::Message { from, message });
    }
    effects.iter().any(datagram::is_reset)
}

#[test]
fn a_flow_is_reset_in_a_system_of_a_hundred_agents() {
    assert!(is_reset_among(100));
}

/// Guards against callers that wait until their deadline, after a loss of power of all, since no
/// denial counts in a fleet of more agents than a search may ask.
#[test]
fn a_flow_is_reset_in_a_system_of_some_hundred_agents() {
    for agents in [161, 300, 500] {
        assert!(is_reset_among(agents), "{agents}");
    }
}

#[test]
fn the_owner_of_a_searched_flow_sends_its_record_to_the_searching_agent() {
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    agent.advance(Millis(400));
    let next = agent.packet_from_peer(data(1), Mode::Search);
    let is_notified = |ip| {
        next.iter().any(
            |e| matches!(e, Effect::Send { to, message: Message::OwnerRecords(_) } if *to == ip),
        )
    };
    assert!(
        is_notified(PEER) && is_notified(datagram::BALANCER),
        "{next:?}"
    );
}

#[test]
fn an_agent_that_runs_longer_than_the_idle_timeout_makes_no_trial_deliveries() {
    let mut agent = AgentDriver::without_backend();
    agent.heartbeat(heartbeat(40));
    agent.add_agent(PEER, datagram::service());
    let before_timeout = agent.packet_from_peer(data(1), Mode::Known);
    assert!(
        matches!(before_timeout[..], [Effect::Deliver(_)]),
        "{before_timeout:?}"
    );
    agent.run(Millis(17_000));
    let after_timeout = agent.packet_from_peer(data(2), Mode::Known);
    assert!(
        matches!(after_timeout[0], Effect::Relay { to: PEER, .. }),
        "{after_timeout:?}"
    );
    assert!(
        !after_timeout
            .iter()
            .any(|e| matches!(e, Effect::Deliver(_))),
        "{after_timeout:?}"
    );
}

#[test]
fn the_owner_of_a_searched_flow_is_logged_exactly_once() {
    let mut agent = AgentDriver::ready();
    agent.add_agent(PEER, datagram::service());
    agent.packet_from_peer(data(1), Mode::Lookup);
    agent.now = agent.now + Millis(30);
    let record = OwnerRecord {
        flow: data(1).flow,
        owner: PEER,
        backend: BootId(1),
    };
    let mut effects = Vec::new();
    for _ in 0..2 {
        let message = Message::OwnerRecords(vec![record]);
        let event = Event::Message {
            from: PEER,
            message,
        };
        agent.agent.reduce(event, agent.now, &mut effects);
    }
    let mut entries = effects.iter().filter_map(|e| match e {
        Effect::Log(decision) => Some((decision.reason, decision.peer, decision.age)),
        _ => None,
    });
    let expected = (Reason::OwnerLearnt, Some(PEER), Millis(30));
    assert_eq!(entries.next(), Some(expected));
    assert_eq!(entries.next(), None);
}

#[test]
fn an_agent_that_ignores_searches_for_flows_of_others_is_still_waited_for() {
    let mut agent = AgentDriver::ready();
    let other = Ipv4Addr::new(10, 1, 0, 3);
    agent.add_agent(PEER, datagram::service());
    agent.add_agent(other, datagram::service());
    agent.reduce(Event::RegisteredAgents(vec![datagram::OWN, PEER, other]));
    let answer = |agent: &mut AgentDriver, message| {
        let from = other;
        agent.reduce(Event::Message { from, message })
    };
    for port in 1..10 {
        agent.advance(Millis(300));
        let mut heard = datagram::fact(PEER, Phase::Ready, Load::default());
        heard.seq = u32::try_from(agent.now.0).unwrap();
        let mut own = datagram::fact(other, Phase::Ready, Load::default());
        own.seq = heard.seq;
        let mut message = datagram::status(own);
        if let Message::Status(status) = &mut message {
            status.facts.push(heard);
        }
        answer(&mut agent, message);
        agent.packet_from_peer(data(port), Mode::Lookup);
        let record = OwnerRecord {
            flow: data(port).flow,
            owner: other,
            backend: BootId(1),
        };
        answer(&mut agent, Message::OwnerRecords(vec![record]));
    }
    agent.packet_from_peer(data(20), Mode::Lookup);
    let effects = answer(&mut agent, Message::Denied(data(20).flow));
    assert!(!effects.iter().any(datagram::is_reset), "{effects:?}");
}

/// Guards against the reset of a flow whose owner left searches for other flows unanswered. It may do so,
/// and each of those searches ended before the owner was probed.
#[test]
fn an_owner_that_was_never_probed_is_waited_for() {
    let mut agent = AgentDriver::ready();
    let other = Ipv4Addr::new(10, 1, 0, 3);
    agent.add_agent(PEER, datagram::service());
    for port in 1..=4 {
        agent.now = agent.now + Millis(400);
        agent.add_agent(other, datagram::service());
        agent.packet_from_peer(data(port), Mode::Lookup);
        let record = OwnerRecord {
            flow: data(port).flow,
            owner: other,
            backend: BootId(1),
        };
        let message = Message::OwnerRecords(vec![record]);
        agent.reduce(Event::Message {
            from: other,
            message,
        });
    }
    agent.packet_from_peer(data(9), Mode::Lookup);
    let message = Message::Denied(data(9).flow);
    let denied = agent.reduce(Event::Message {
        from: other,
        message,
    });
    assert!(!denied.iter().any(datagram::is_reset), "{denied:?}");
}
