//! Placement, configuration and failure detection of the balancer's reducer.

mod common;

use std::net::SocketAddrV4;

use buckthornlink_core::balancer::{Balancer, Effect, Event, Policy, Setup};
use buckthornlink_core::config::Config;
use buckthornlink_core::member::{Fact, Load, Phase, Role, ZoneRecord};
use buckthornlink_core::message::{Heartbeat, Message};
use buckthornlink_core::{BootId, FlowKey, Millis, ServicePort, Version, ZoneTag};
use common::{ack_of, addr};

const SERVICE: ServicePort = ServicePort(4433);

fn balancer(policy: Policy) -> Balancer {
    Balancer::new(Setup {
        addr: addr(1),
        zone: ZoneTag(1),
        boot: BootId(1),
        policy,
        entry: addr(250),
        control_bytes: 4_000,
        seed: 1,
    })
}

fn agent(host: u8, zone: u16, phase: Phase) -> Fact {
    Fact {
        addr: addr(host),
        role: Role::Agent(SERVICE),
        zone: ZoneTag(zone),
        boot: BootId(1),
        seq: 1,
        phase,
    }
}

fn send_heartbeat(state: &mut Balancer, fact: Fact, load: Load, now: Millis) -> Vec<Effect> {
    let heartbeat = Heartbeat {
        fact,
        load,
        version: Version(0),
    };
    let message = Message::Heartbeat(heartbeat);
    state.reduce(
        Event::Control {
            from: fact.addr,
            message,
        },
        now,
    )
}

fn load(flows: u32) -> Load {
    Load {
        flows,
        weight: 255,
        pressure: 0,
    }
}

fn first_candidate(state: &mut Balancer, flow: u64, now: Millis) -> Option<SocketAddrV4> {
    let event = Event::Opener {
        service: SERVICE,
        flow: FlowKey(flow),
    };
    match state.reduce(event, now).as_slice() {
        [Effect::Forward(candidates)] => candidates.first().map(|c| c.addr),
        _ => None,
    }
}

#[test]
fn openers_avoid_instances_that_accept_no_flows() {
    let mut state = balancer(Policy::Adaptive);
    let now = Millis(1_000);
    send_heartbeat(&mut state, agent(11, 1, Phase::Warm), load(500), now);
    send_heartbeat(&mut state, agent(12, 1, Phase::Draining), load(0), now);
    send_heartbeat(&mut state, agent(13, 2, Phase::Warm), load(0), now);
    let record = ZoneRecord {
        zone: ZoneTag(2),
        seq: 1.into(),
        out: true,
    };
    state.reduce(Event::Zone(record), now);
    for flow in 0..50 {
        assert_eq!(first_candidate(&mut state, flow, now), Some(addr(11)));
    }
    let restored = ZoneRecord {
        seq: 2.into(),
        out: false,
        ..record
    };
    state.reduce(Event::Zone(restored), now);
    assert_eq!(first_candidate(&mut state, 99, now), Some(addr(13)));
}

#[test]
fn a_lower_load_does_not_attract_all_openers() {
    let mut state = balancer(Policy::Adaptive);
    let now = Millis(1_000);
    for host in 11..21 {
        send_heartbeat(&mut state, agent(host, 1, Phase::Warm), load(100), now);
    }
    send_heartbeat(&mut state, agent(21, 1, Phase::Warm), load(90), now);
    let to_less_loaded = (0..200)
        .filter(|&f| first_candidate(&mut state, f, now) == Some(addr(21)))
        .count();
    let even = 200 / 11;
    assert!(
        to_less_loaded <= even + 10 + 1,
        "{to_less_loaded} openers went to the less loaded agent"
    );
}

#[test]
fn cold_backend_servers_get_openers_by_weight() {
    let mut state = balancer(Policy::Adaptive);
    let now = Millis(1_000);
    send_heartbeat(&mut state, agent(11, 1, Phase::Warm), load(80), now);
    let cold = Load {
        flows: 10,
        weight: 32,
        pressure: 0,
    };
    send_heartbeat(&mut state, agent(12, 1, Phase::Cold), cold, now);
    let to_cold = (0..90)
        .filter(|&f| first_candidate(&mut state, f, now) == Some(addr(12)))
        .count();
    assert!(
        (8..=12).contains(&to_cold),
        "{to_cold} of 90 openers went to the cold agent"
    );
}

#[test]
fn an_agent_with_unanswered_openers_is_skipped() {
    let mut state = balancer(Policy::Adaptive);
    send_heartbeat(&mut state, agent(11, 1, Phase::Warm), load(0), Millis(0));
    send_heartbeat(&mut state, agent(12, 1, Phase::Warm), load(90), Millis(0));
    for flow in 0..3 {
        assert_eq!(
            first_candidate(&mut state, flow, Millis(100)),
            Some(addr(11))
        );
    }
    assert_eq!(first_candidate(&mut state, 4, Millis(500)), Some(addr(12)));
    state.reduce(
        Event::Report {
            agent: addr(11),
            phase: Phase::Warm,
            load: load(0),
        },
        Millis(600),
    );
    assert_eq!(first_candidate(&mut state, 5, Millis(600)), Some(addr(11)));
}

#[test]
fn older_configurations_are_ignored() {
    let mut state = balancer(Policy::Adaptive);
    let config = Config::default();
    let event = |version| Event::Config {
        version: Version(version),
        config: config.clone(),
    };
    assert!(!state.reduce(event(5), Millis(0)).is_empty());
    assert!(state.reduce(event(4), Millis(0)).is_empty());
    assert!(state.reduce(event(5), Millis(0)).is_empty());
    assert_eq!(state.version(), Version(5));
}

#[test]
fn a_silent_agent_is_marked_and_can_refute_it() {
    let mut state = balancer(Policy::Adaptive);
    for host in 11..15 {
        send_heartbeat(&mut state, agent(host, 1, Phase::Warm), load(0), Millis(0));
    }
    for host in 12..15 {
        send_heartbeat(
            &mut state,
            agent(host, 1, Phase::Warm),
            load(0),
            Millis(4_000),
        );
    }
    state.reduce(Event::Tick, Millis(4_000));
    assert_eq!(
        state.members().at(addr(11)).unwrap().fact.phase,
        Phase::Silent
    );
    let effects = send_heartbeat(
        &mut state,
        agent(11, 1, Phase::Warm),
        load(0),
        Millis(4_100),
    );
    let silenced = effects.iter().find_map(|e| match e {
        Effect::Send {
            message: Message::Ack(ack),
            ..
        } => ack.silenced,
        _ => None,
    });
    let seq = silenced.expect("the ack carries the silenced fact").seq;
    let fact = Fact {
        seq: seq + 1,
        ..agent(11, 1, Phase::Warm)
    };
    send_heartbeat(&mut state, fact, load(0), Millis(4_200));
    assert_eq!(
        state.members().at(addr(11)).unwrap().fact.phase,
        Phase::Warm
    );
}

/// Guards against an agent that is taken for silent since it asked the fabric for a balancer once, and reports
/// to others.
#[test]
fn an_agent_that_reports_to_others_is_not_marked() {
    let mut state = balancer(Policy::Adaptive);
    for host in 11..15 {
        send_heartbeat(&mut state, agent(host, 1, Phase::Warm), load(0), Millis(0));
    }
    let asking = agent(15, 1, Phase::Warm);
    let hello = Event::Control {
        from: asking.addr,
        message: Message::Hello(asking),
    };
    state.reduce(hello, Millis(0));
    for host in 11..15 {
        let fact = agent(host, 1, Phase::Warm);
        send_heartbeat(&mut state, fact, load(0), Millis(4_000));
    }
    state.reduce(Event::Tick, Millis(4_000));
    assert_eq!(state.members().at(asking.addr).unwrap().fact, asking);
}

#[test]
fn no_agent_is_marked_when_many_fall_silent_at_once() {
    let mut state = balancer(Policy::Adaptive);
    for host in 11..21 {
        send_heartbeat(&mut state, agent(host, 1, Phase::Warm), load(0), Millis(0));
    }
    for host in 16..21 {
        send_heartbeat(
            &mut state,
            agent(host, 1, Phase::Warm),
            load(0),
            Millis(5_000),
        );
    }
    state.reduce(Event::Tick, Millis(5_000));
    let silent = state
        .members()
        .iter()
        .filter(|(_, m)| m.fact.phase == Phase::Silent)
        .count();
    assert_eq!(silent, 0);
}

#[test]
fn equal_events_give_equal_effects() {
    let run = || {
        let mut state = balancer(Policy::Adaptive);
        let mut effects = Vec::new();
        for step in 0..200 {
            let host = 11 + u8::try_from(step % 9).unwrap();
            let now = Millis(step * 100);
            effects.extend(send_heartbeat(
                &mut state,
                agent(host, 1, Phase::Warm),
                load(3),
                now,
            ));
            effects.extend(state.reduce(Event::Tick, now));
            let flow = FlowKey(step);
            effects.extend(state.reduce(
                Event::Opener {
                    service: SERVICE,
                    flow,
                },
                now,
            ));
        }
        effects
    };
    assert_eq!(run(), run());
}

#[test]
fn an_opener_without_known_agents_makes_the_balancer_ask_peers() {
    let mut state = balancer(Policy::Adaptive);
    let opener = Event::Opener {
        service: SERVICE,
        flow: FlowKey(1),
    };
    assert_eq!(state.reduce(opener.clone(), Millis(0)), [Effect::Drop]);
    let peer = Fact {
        role: Role::Balancer,
        ..agent(2, 1, Phase::Warm)
    };
    let hello = Event::Control {
        from: peer.addr,
        message: Message::Hello(peer),
    };
    state.reduce(hello, Millis(10));
    let asked = [Effect::FetchContacts {
        service: SERVICE,
        from: vec![addr(2)],
    }];
    assert_eq!(state.reduce(opener.clone(), Millis(10)), asked);
    assert_eq!(state.reduce(opener.clone(), Millis(20)), [Effect::Drop]);
    assert_eq!(state.reduce(opener, Millis(510)), asked);
    let facts = vec![agent(11, 1, Phase::Warm)];
    let contacts = Event::Contacts {
        service: SERVICE,
        facts,
    };
    state.reduce(contacts, Millis(520));
    assert_eq!(first_candidate(&mut state, 1, Millis(520)), Some(addr(11)));
}

#[test]
fn the_first_ack_starts_an_exchange() {
    let mut state = balancer(Policy::Adaptive);
    let peer = Fact {
        role: Role::Balancer,
        ..agent(2, 1, Phase::Warm)
    };
    let ack = ack_of(peer);
    let receive_ack = |state: &mut Balancer, now| {
        let event = Event::Control {
            from: peer.addr,
            message: Message::Ack(ack.clone()),
        };
        state.reduce(event, now)
    };
    let first = receive_ack(&mut state, Millis(100));
    let is_asking = |e: &Effect| matches!(e, Effect::Send { to, message: Message::Exchange(x) } if *to == peer.addr && x.ask);
    assert!(first.iter().any(is_asking), "{first:?}");
    assert!(receive_ack(&mut state, Millis(200)).is_empty());
}
