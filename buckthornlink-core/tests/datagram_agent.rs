//! Decisions of an agent about single packets.

mod datagram;

use std::net::Ipv4Addr;

use buckthornlink_core::datagram::{
    Effect, Event, Load, Message, Mode, OwnerRecord, Phase, Reason, Reducer, RelayTag, Role, Source,
};
use buckthornlink_core::{BootId, Millis};

use datagram::{AgentDriver, PEER, answer, bounced, data, heartbeat, opening, syn_ack};

#[test]
fn a_flow_that_was_tried_before_the_first_heartbeat_is_not_reset() {
    let mut agent = AgentDriver::without_backend();
    let tried = agent.packet_from_peer(data(1), Mode::Search);
    assert!(matches!(tried[..], [Effect::Deliver(_)]));
    agent.heartbeat(heartbeat(1));
    let next = agent.packet_from_peer(data(1), Mode::Search);
    assert!(!next.iter().any(datagram::is_reset), "{next:?}");
}

#[test]
fn an_agent_that_restarts_beside_its_backend_server_keeps_learnt_flows() {
    let mut agent = AgentDriver::without_backend();
    agent.packet_from_peer(data(1), Mode::Known);
    agent.packet_from_backend(datagram::answer(1));
    agent.heartbeat(heartbeat(40));
    let next = agent.packet_from_peer(data(1), Mode::Known);
    assert!(matches!(next[..], [Effect::Deliver(_)]), "{next:?}");
}

#[test]
fn flows_of_an_ended_start_are_reset_at_once() {
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    let mut reborn = heartbeat(1);
    reborn.born = Some(9_000);
    agent.heartbeat(reborn);
    let next = agent.packet_from_peer(data(1), Mode::Known);
    assert!(next.iter().any(datagram::is_reset), "{next:?}");
}

#[test]
fn an_opening_packet_that_bounces_goes_back_to_the_balancer() {
    let mut agent = AgentDriver::ready();
    let taken = agent.packet_from_peer(opening(1), Mode::Placed);
    assert!(matches!(taken[..], [Effect::Deliver(_)]));
    let refused = agent.packet_from_backend(bounced(opening(1)));
    assert!(
        refused
            .iter()
            .any(|e| matches!(e, Effect::Relay { tag, .. } if tag.mode == Mode::Refused)),
        "{refused:?}"
    );
}

#[test]
fn two_answers_to_copies_are_settled_by_what_the_caller_acknowledges() {
    let mut agent = AgentDriver::ready();
    agent.packet_from_peer(opening(1), Mode::Placed);
    agent.packet_from_backend(syn_ack(1, 5_000_000));
    let mut other = data(1);
    other.ack = 1;
    let next = agent.packet_from_peer(other, Mode::Placed);
    assert!(
        !next.iter().any(|e| matches!(e, Effect::Deliver(_))),
        "{next:?}"
    );
}

#[test]
fn a_packet_of_a_noted_flow_is_passed_on_to_its_owner() {
    let mut agent = AgentDriver::ready();
    let note = OwnerRecord {
        flow: data(1).flow,
        owner: PEER,
        backend: BootId(1),
    };
    agent.message(Message::OwnerRecords(vec![note]));
    let next = agent.packet_from_peer(data(1), Mode::Lookup);
    assert!(
        matches!(next[..], [Effect::Relay { to: PEER, tag }] if tag.mode == Mode::Recorded),
        "{next:?}"
    );
}

#[test]
fn a_silent_backend_server_gets_no_new_flow() {
    let mut agent = AgentDriver::ready();
    agent.advance(Millis(2_500));
    let refused = agent.packet_from_peer(opening(1), Mode::Placed);
    assert!(
        !refused.iter().any(|e| matches!(e, Effect::Deliver(_))),
        "{refused:?}"
    );
}

#[test]
fn a_flow_of_a_service_that_the_route_no_longer_has_is_searched_for_there() {
    let mut agent = AgentDriver::ready();
    agent.add_agent(PEER, buckthornlink_core::datagram::ServiceTag::of("ledger"));
    agent.advance(Millis(3_500));
    agent.heartbeat(heartbeat(2));
    agent.add_agent(PEER, buckthornlink_core::datagram::ServiceTag::of("ledger"));
    let next = agent.packet_from_peer(data(1), Mode::Lookup);
    assert!(
        matches!(next[..], [Effect::Relay { to: PEER, tag }] if tag.mode == Mode::Search),
        "{next:?}"
    );
}

#[test]
fn a_reset_of_a_backend_server_that_was_only_tried_does_not_reach_the_caller() {
    let mut agent = AgentDriver::without_backend();
    agent.packet_from_peer(data(1), Mode::Search);
    let mut reset = answer(1);
    reset.flags.rst = true;
    let next = agent.packet_from_backend(reset);
    assert!(!next.contains(&Effect::Answer), "{next:?}");
    assert!(
        next.iter().any(|e| matches!(
            e,
            Effect::Send {
                to: PEER,
                message: Message::Denied(_)
            }
        )),
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

#[test]
fn a_flow_that_only_a_silent_agent_may_hold_is_given_up() {
    let mut agent = AgentDriver::ready();
    let others = [3, 4, 5].map(|host| Ipv4Addr::new(10, 1, 0, host));
    for ip in others.into_iter().chain([PEER]) {
        agent.add_agent(ip, datagram::service());
    }
    agent.advance(Millis(2_000));
    for ip in others {
        agent.add_agent(ip, datagram::service());
    }
    agent.advance(Millis(1_800));
    agent.packet_from_peer(data(1), Mode::Lookup);
    let mut effects = Vec::new();
    for from in others {
        let message = Message::Denied(data(1).flow);
        effects.extend(agent.reduce(Event::Message { from, message }));
    }
    assert!(effects.iter().any(datagram::is_reset), "{effects:?}");
}

#[test]
fn flows_of_a_backend_server_at_whose_address_nothing_listens_are_reset() {
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    agent.reduce(Event::BackendAbsent);
    let next = agent.packet_from_peer(data(1), Mode::Known);
    assert!(next.iter().any(datagram::is_reset), "{next:?}");
}

#[test]
fn an_agent_without_a_backend_server_denies_searched_flows() {
    let mut agent = AgentDriver::without_backend();
    agent.reduce(Event::BackendAbsent);
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

#[test]
fn a_heartbeat_takes_absence_back() {
    let mut agent = AgentDriver::ready();
    agent.reduce(Event::BackendAbsent);
    agent.heartbeat(heartbeat(2));
    let next = agent.packet_from_peer(opening(1), Mode::Placed);
    assert!(matches!(next[..], [Effect::Deliver(_)]), "{next:?}");
}

#[test]
fn an_agent_that_answers_no_search_does_not_hold_a_dead_flow_up() {
    let mut agent = AgentDriver::ready();
    let others = [3, 4].map(|host| Ipv4Addr::new(10, 1, 0, host));
    for ip in others.into_iter().chain([PEER]) {
        agent.add_agent(ip, datagram::service());
    }
    agent.reduce(Event::RegisteredAgents(vec![datagram::OWN, PEER]));
    let mut resets = Vec::new();
    for round in 0..8 {
        agent.advance(Millis(200));
        agent.packet_from_peer(data(1), Mode::Lookup);
        for from in others {
            agent.add_agent(from, datagram::service());
            let message = Message::Denied(data(1).flow);
            let effects = agent.reduce(Event::Message { from, message });
            resets.extend(effects.iter().any(datagram::is_reset).then_some(round));
        }
    }
    assert_eq!(resets.first(), Some(&5), "{resets:?}");
}

/// Rounds of 200 ms until a flow is reset that only [`PEER`] may hold, which answers nothing while
/// others pass on signs of its life and this last phase.
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
fn an_agent_that_lost_its_backend_server_and_answers_nothing_denies() {
    assert_eq!(rounds_until_reset(Phase::Over), Some(4));
}

#[test]
fn an_agent_whose_signs_of_life_outlive_it_is_given_up_later() {
    assert_eq!(rounds_until_reset(Phase::Ready), Some(12));
}

#[test]
fn a_search_goes_on_between_the_copies_of_a_packet() {
    let mut agent = AgentDriver::ready();
    agent.add_agent(PEER, datagram::service());
    agent.reduce(Event::RegisteredAgents(vec![datagram::OWN, PEER]));
    agent.packet_from_peer(data(1), Mode::Lookup);
    let mut effects = Vec::new();
    for _ in 0..6 {
        agent.now = agent.now + Millis(200);
        effects.extend(agent.reduce(Event::Tick));
    }
    let resets = effects.iter().filter(|e| datagram::is_reset(e));
    assert_eq!(resets.count(), 1, "{effects:?}");
}

#[test]
fn denials_of_several_rounds_count_together() {
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
fn an_agent_that_denied_a_flow_is_not_asked_again() {
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

#[test]
fn a_flow_is_reset_where_there_are_a_hundred_agents() {
    let mut agent = AgentDriver::ready();
    let others: Vec<Ipv4Addr> = (20..120)
        .map(|host| Ipv4Addr::new(10, 1, 0, host))
        .collect();
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
    assert!(effects.iter().any(datagram::is_reset), "{effects:?}");
}

#[test]
fn the_owner_of_a_searched_flow_tells_the_searcher() {
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    agent.advance(Millis(400));
    let next = agent.packet_from_peer(data(1), Mode::Search);
    let told = |ip| {
        next.iter().any(
            |e| matches!(e, Effect::Send { to, message: Message::OwnerRecords(_) } if *to == ip),
        )
    };
    assert!(told(PEER) && told(datagram::BALANCER), "{next:?}");
}

#[test]
fn an_agent_that_has_run_longer_than_flows_may_be_idle_tries_no_more() {
    let mut agent = AgentDriver::without_backend();
    agent.heartbeat(heartbeat(40));
    agent.add_agent(PEER, datagram::service());
    let young = agent.packet_from_peer(data(1), Mode::Lookup);
    assert!(matches!(young[..], [Effect::Deliver(_)]), "{young:?}");
    agent.advance(Millis(17_000));
    let old = agent.packet_from_peer(data(2), Mode::Lookup);
    assert!(matches!(old[0], Effect::Relay { to: PEER, .. }), "{old:?}");
    assert!(
        !old.iter().any(|e| matches!(e, Effect::Deliver(_))),
        "{old:?}"
    );
}

#[test]
fn a_busy_backend_server_hands_new_flows_on_and_takes_them_when_others_are_busier() {
    let mut agent = AgentDriver::ready();
    (1..=8).for_each(|port| agent.open_flow(port));
    let outcome = |agent: &mut AgentDriver, port: u16, hops: u8| {
        let mut packet = opening(port);
        packet.tag = RelayTag {
            hops,
            ..RelayTag::new(Mode::Placed, datagram::BALANCER)
        };
        let source = Source::Peer(datagram::BALANCER);
        match agent.reduce(Event::Packet { source, packet })[..] {
            [Effect::Deliver(_)] => "taken",
            [Effect::Relay { tag, .. }] if tag.mode == Mode::Busy => "busy",
            _ => "other",
        }
    };
    assert_eq!(outcome(&mut agent, 100, 0), "busy");
    assert_eq!(outcome(&mut agent, 101, 1), "taken");
    (11..=26).for_each(|port| agent.open_flow(port));
    let outcomes = [0, 1, 2, 3].map(|hops| outcome(&mut agent, 200, hops));
    assert_eq!(outcomes, ["busy"; 4]);
    agent.packet_from_backend(answer(1));
    assert_eq!(outcome(&mut agent, 102, 2), "taken");
}

#[test]
fn a_repeated_request_that_was_answered_is_not_in_hand() {
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    agent.packet_from_backend(answer(1));
    agent.packet_from_peer(data(1), Mode::Known);
    assert_eq!(agent.agent.flows().waiting_count(), 0);
    let mut next = data(1);
    next.seq += 100;
    agent.packet_from_peer(next, Mode::Known);
    assert_eq!(agent.agent.flows().waiting_count(), 1);
}

#[test]
fn the_owner_of_a_searched_flow_is_logged_once_it_is_learnt() {
    let mut agent = AgentDriver::ready();
    agent.add_agent(PEER, datagram::service());
    agent.packet_from_peer(data(1), Mode::Lookup);
    agent.now = agent.now + Millis(30);
    let note = OwnerRecord {
        flow: data(1).flow,
        owner: PEER,
        backend: BootId(1),
    };
    let mut effects = Vec::new();
    for _ in 0..2 {
        let message = Message::OwnerRecords(vec![note]);
        let event = Event::Message {
            from: PEER,
            message,
        };
        agent.agent.reduce(event, agent.now, &mut effects);
    }
    let mut logged = effects.iter().filter_map(|e| match e {
        Effect::Log(decision) => Some((decision.reason, decision.peer, decision.age)),
        _ => None,
    });
    let learnt = (Reason::OwnerLearnt, Some(PEER), Millis(30));
    assert_eq!(logged.next(), Some(learnt));
    assert_eq!(logged.next(), None);
}

#[test]
fn an_agent_that_keeps_silent_about_flows_of_others_is_still_waited_for() {
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
        let note = OwnerRecord {
            flow: data(port).flow,
            owner: other,
            backend: BootId(1),
        };
        answer(&mut agent, Message::OwnerRecords(vec![note]));
    }
    agent.packet_from_peer(data(20), Mode::Lookup);
    let effects = answer(&mut agent, Message::Denied(data(20).flow));
    assert!(!effects.iter().any(datagram::is_reset), "{effects:?}");
}
