//! Decisions of a balancer about single packets.

mod datagram;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use buckthornlink_core::datagram::{
    Effect, Event, Fact, Load, Message, Mode, OwnerRecord, Packet, Phase,
};
use buckthornlink_core::{BootId, Millis};

use datagram::{BalancerDriver, data, fact, is_reset, opening};

const AGENT_A: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);
const AGENT_B: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 2);

fn load(flows: u16, waiting: u16) -> Load {
    Load {
        waiting,
        flows,
        slots: 5,
    }
}

/// Opens `count` flows and returns how many packets each agent got.
fn placements(balancer: &mut BalancerDriver, count: u16) -> BTreeMap<Ipv4Addr, u16> {
    let mut placed = BTreeMap::new();
    for port in 1..=count {
        for effect in balancer.packet_from_caller(opening(port)) {
            if let Effect::Relay { to, .. } = effect {
                *placed.entry(to).or_default() += 1;
            }
        }
    }
    placed
}

#[test]
fn a_backend_server_that_sheds_load_does_not_attract_more() {
    let mut balancer = BalancerDriver::ready();
    balancer.receive_facts(&[
        fact(AGENT_A, Phase::Ready, load(30, 250)),
        fact(AGENT_B, Phase::Ready, load(90, 30)),
    ]);
    let placed = placements(&mut balancer, 10);
    assert_eq!(placed.get(&AGENT_A), None, "{placed:?}");
}

#[test]
fn flows_are_spread_over_equal_agents_before_any_report() {
    let mut balancer = BalancerDriver::ready();
    balancer.receive_facts(&[
        fact(AGENT_A, Phase::Ready, load(0, 0)),
        fact(AGENT_B, Phase::Ready, load(0, 0)),
    ]);
    let placed = placements(&mut balancer, 10);
    assert_eq!(placed, BTreeMap::from([(AGENT_A, 5), (AGENT_B, 5)]));
}

#[test]
fn a_refused_opening_packet_goes_to_the_next_agent_and_is_reset_after_the_last() {
    let mut balancer = BalancerDriver::ready();
    balancer.receive_facts(&[
        fact(AGENT_A, Phase::Ready, load(0, 0)),
        fact(AGENT_B, Phase::Ready, load(0, 0)),
    ]);
    let first = balancer.packet_from_caller(opening(1));
    let [Effect::Relay { to: first, .. }] = first[..] else {
        panic!("{first:?}");
    };
    let second = balancer.packet_refused(first, opening(1));
    let [Effect::Relay { to: second, .. }] = second[..] else {
        panic!("{second:?}");
    };
    assert_ne!(first, second);
    let last = balancer.packet_refused(second, opening(1));
    assert!(matches!(last[..], [Effect::Reset { .. }]), "{last:?}");
}

#[test]
fn a_retransmitted_opening_packet_goes_to_another_agent() {
    let mut balancer = BalancerDriver::ready();
    balancer.receive_facts(&[
        fact(AGENT_A, Phase::Ready, load(0, 0)),
        fact(AGENT_B, Phase::Ready, load(0, 0)),
    ]);
    let first = balancer.packet_from_caller(opening(1));
    balancer.now = balancer.now + Millis(200);
    let second = balancer.packet_from_caller(opening(1));
    assert_ne!(first, second);
}

#[test]
fn a_packet_of_an_unknown_flow_is_looked_up_at_its_home_agent() {
    let mut balancer = BalancerDriver::ready();
    balancer.receive_facts(&[fact(AGENT_B, Phase::Draining, load(0, 0))]);
    let next = balancer.packet_from_caller(data(1));
    assert!(
        matches!(next[..], [Effect::Relay { to: AGENT_B, tag }] if tag.mode == Mode::Lookup),
        "{next:?}"
    );
}

#[test]
fn an_agent_whose_backend_server_has_ended_is_no_home_while_there_are_others() {
    let mut balancer = BalancerDriver::ready();
    balancer.receive_facts(&[fact(AGENT_A, Phase::Over, load(0, 0))]);
    let home = |driver: &mut BalancerDriver, port| match driver.packet_from_caller(data(port))[..] {
        [Effect::Relay { to, .. }] => to,
        ref other => panic!("{other:?}"),
    };
    assert_eq!(home(&mut balancer, 1), AGENT_A);
    balancer.receive_facts(&[fact(AGENT_B, Phase::Ready, load(0, 0))]);
    let homes = (1..20).map(|port| home(&mut balancer, port));
    assert!(homes.into_iter().all(|ip| ip == AGENT_B));
}

#[test]
fn the_flow_of_a_backend_server_that_has_ended_is_reset_at_once() {
    let mut balancer = BalancerDriver::ready();
    balancer.receive_facts(&[fact(AGENT_B, Phase::Ready, load(0, 0))]);
    balancer.packet_from_caller(opening(1));
    let reported = OwnerRecord {
        flow: data(1).flow,
        owner: AGENT_B,
        backend: BootId(1),
    };
    balancer.message(AGENT_B, Message::OwnerRecords(vec![reported]));
    balancer.receive_facts(&[fact(AGENT_B, Phase::Over, load(0, 0))]);
    let next = balancer.packet_from_caller(data(1));
    assert!(next.iter().any(is_reset), "{next:?}");
}

#[test]
fn an_owner_record_from_before_the_first_heartbeat_stays_valid_after_it() {
    let mut balancer = BalancerDriver::ready();
    balancer.receive_facts(&[fact(AGENT_B, Phase::Ready, load(0, 0))]);
    let record = OwnerRecord {
        flow: data(1).flow,
        owner: AGENT_B,
        backend: BootId::default(),
    };
    let message = Message::OwnerRecords(vec![record]);
    let from = AGENT_B;
    balancer.reduce(Event::Message { from, message });
    let next = balancer.packet_from_caller(data(1));
    assert!(
        matches!(next[..], [Effect::Relay { to: AGENT_B, tag }] if tag.mode == Mode::Known),
        "{next:?}"
    );
}

#[test]
fn a_flow_that_busy_agents_refuse_is_reset_at_the_last_retransmission_only() {
    let mut balancer = BalancerDriver::ready();
    balancer.receive_facts(&[
        fact(AGENT_A, Phase::Ready, load(9, 90)),
        fact(AGENT_B, Phase::Ready, load(9, 90)),
    ]);
    let mut outcomes = Vec::new();
    for attempt in 0..3 {
        let mut packet = opening(1);
        packet.ack = attempt;
        balancer.now = balancer.now + Millis(200);
        let mut effects = balancer.packet_from_caller(packet);
        while let [Effect::Relay { to, .. }] = effects[..] {
            effects = balancer.packet_returned(to, packet, Mode::Busy);
        }
        outcomes.push(effects.iter().any(is_reset));
    }
    assert_eq!(outcomes, [false, false, true]);
}

#[test]
fn an_agent_that_is_heard_but_does_not_answer_gets_no_new_flow_while_others_answer() {
    let mut balancer = BalancerDriver::ready();
    balancer.receive_facts(&[
        fact(AGENT_A, Phase::Ready, load(9, 90)),
        fact(AGENT_B, Phase::Ready, load(0, 0)),
    ]);
    let mut last = None;
    for round in 0..10 {
        balancer.now = balancer.now + Millis(200);
        balancer.reduce(Event::Tick);
        let mut status_message = datagram::status(fact(AGENT_A, Phase::Ready, load(9, 90)));
        balancer.message(AGENT_A, status_message.clone());
        status_message = datagram::status(fact(AGENT_B, Phase::Ready, load(0, 0)));
        if let Message::Status(status) = &mut status_message {
            status.asks = true;
            status.from.seq = 100 + round;
        }
        balancer.message(AGENT_B, status_message);
        let port = 50 + u16::try_from(round).unwrap();
        last = balancer
            .packet_from_caller(opening(port))
            .into_iter()
            .next();
    }
    let is_responsive = matches!(last, Some(Effect::Relay { to: AGENT_A, .. }));
    assert!(is_responsive, "{last:?}");
}

#[test]
fn a_new_idle_agent_does_not_get_all_new_flows() {
    let mut balancer = BalancerDriver::ready();
    let mut facts: Vec<_> = (20..40)
        .map(|host| fact(Ipv4Addr::new(10, 1, 0, host), Phase::Ready, load(30, 30)))
        .collect();
    facts.push(fact(AGENT_B, Phase::Ready, load(0, 0)));
    balancer.receive_facts(&facts);
    let placed = placements(&mut balancer, 100);
    let share = placed.get(&AGENT_B).copied().unwrap_or_default();
    assert!((1..=30).contains(&share), "{placed:?}");
}

// A restarted process may hear of an instance from a peer that has missed its departure.
#[test]
fn an_agent_that_has_left_is_not_used_again_because_of_an_older_fact() {
    let mut balancer = BalancerDriver::ready();
    balancer.receive_facts(&[fact(AGENT_B, Phase::Ready, load(0, 0))]);
    let with_seq = |seq, phase| Fact {
        seq,
        ..fact(AGENT_A, phase, load(0, 0))
    };
    balancer.message(AGENT_A, datagram::status(with_seq(9, Phase::Left)));
    balancer.message(AGENT_A, datagram::status(with_seq(8, Phase::Ready)));
    for port in 1..=50 {
        let placed = balancer.packet_from_caller(opening(port));
        assert!(
            matches!(placed[..], [Effect::Relay { to: AGENT_B, .. }]),
            "{placed:?}"
        );
    }
}

/// The agent that an opening packet was placed on.
fn relayed_to(effects: &[Effect]) -> Ipv4Addr {
    let relayed = effects.iter().find_map(|effect| match effect {
        Effect::Relay { to, .. } => Some(*to),
        _ => None,
    });
    relayed.expect("the packet is placed")
}

/// Guards against the reset of a flow that one agent has accepted, by the late refusal of another one, which was paused
/// with a copy of the opening packet (soak 92116).
#[test]
fn a_flow_is_not_refused_while_an_agent_may_have_accepted_it() {
    for mode in [Mode::Refused, Mode::Busy] {
        let mut balancer = BalancerDriver::ready();
        balancer.receive_facts(&[
            fact(AGENT_A, Phase::Ready, load(0, 0)),
            fact(AGENT_B, Phase::Ready, load(0, 0)),
        ]);
        let agents = [0, 1, 2].map(|copy| {
            balancer.now = balancer.now + Millis(400);
            relayed_to(&balancer.packet_from_caller(opening_copy(copy)))
        });
        assert_ne!(agents[0], agents[1]);
        let mut offered = agents.to_vec();
        while let Some(agent) = offered.pop() {
            let effects = balancer.packet_returned(agent, opening_copy(2), mode);
            let next = effects.iter().find_map(|effect| match effect {
                Effect::Relay { to, .. } => Some(*to),
                _ => None,
            });
            offered.extend(next);
            let is_refused = effects.iter().any(is_reset);
            assert_eq!(is_refused, offered.is_empty(), "{mode:?}: {effects:?}");
        }
    }
}

/// A copy of an opening packet, with its number.
fn opening_copy(number: u32) -> Packet {
    Packet {
        ack: number,
        ..opening(1)
    }
}

/// Whether the only agent's refusal of a copy that came here resets the flow, after this time.
fn is_refused_after(copies: &[u32], delay: Millis) -> bool {
    let mut balancer = BalancerDriver::ready();
    balancer.receive_facts(&[fact(AGENT_A, Phase::Ready, load(0, 0))]);
    for &copy in copies {
        balancer.now = balancer.now + Millis(400);
        balancer.packet_from_caller(opening_copy(copy));
    }
    balancer.now = balancer.now + delay;
    let last = copies.len() - 1;
    let effects = copies
        .iter()
        .map(|&copy| balancer.packet_returned(AGENT_A, opening_copy(copy), Mode::Refused));
    effects.skip(last).flatten().any(|e| is_reset(&e))
}

/// Guards against the reset of a flow that opened through another balancer, which got a copy of the opening packet that this
/// one did not, by a refusal that is late or of a later copy.
#[test]
fn a_flow_is_not_refused_while_another_balancer_may_have_placed_it() {
    assert!(is_refused_after(&[0], Millis(10)));
    assert!(
        !is_refused_after(&[0], Millis(300)),
        "the next copy is elsewhere"
    );
    assert!(
        !is_refused_after(&[1], Millis(10)),
        "the first copy was elsewhere"
    );
    assert!(
        !is_refused_after(&[0, 2], Millis(10)),
        "the second copy was elsewhere"
    );
    assert!(is_refused_after(&[0, 1], Millis(10)));
    assert!(is_refused_after(&[0, 1, 2], Millis(3_000)));
}
