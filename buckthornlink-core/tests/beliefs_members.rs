//! What balancers of the QUIC path believe of an agent that started anew with its clock set back.

mod common;

use std::net::SocketAddrV4;

use buckthornlink_core::agent::{Agent, Event as AgentEvent, Setup as AgentSetup};
use buckthornlink_core::balancer::{Balancer, Effect, Event, Policy, Setup};
use buckthornlink_core::member::{Fact, Load, Phase, Role};
use buckthornlink_core::message::{Heartbeat, Message};
use buckthornlink_core::{BootId, FlowKey, Millis, ServicePort, Version, ZoneTag};
use common::addr;

const SERVICE: ServicePort = ServicePort(4433);
/// The agent's process before its restart, whose clock was ahead.
const BEFORE: BootId = BootId(100);
/// The agent's process since.
const AFTER: BootId = BootId(90);

fn balancer() -> Balancer {
    Balancer::new(Setup {
        addr: addr(1),
        zone: ZoneTag(1),
        boot: BootId(1),
        policy: Policy::Adaptive,
        entry: addr(250),
        control_bytes: 4_000,
        seed: 1,
    })
}

fn restarted_agent() -> Agent {
    Agent::new(AgentSetup {
        addr: addr(2),
        service: SERVICE,
        name: "token".to_owned(),
        zone: ZoneTag(1),
        boot: AFTER,
        entry: addr(1),
    })
}

/// The last heartbeat of the process before the restart, which shut down.
fn left() -> Message {
    let fact = Fact {
        addr: addr(2),
        role: Role::Agent(SERVICE),
        zone: ZoneTag(1),
        boot: BEFORE,
        seq: 9,
        phase: Phase::Left,
    };
    Message::Heartbeat(Heartbeat {
        fact,
        load: Load::default(),
        version: Version(0),
    })
}

fn first_candidate(balancer: &mut Balancer, now: Millis) -> Option<SocketAddrV4> {
    let opener = Event::Opener {
        service: SERVICE,
        flow: FlowKey(7),
    };
    match balancer.reduce(opener, now).as_slice() {
        [Effect::Forward(candidates)] => candidates.first().map(|c| c.addr),
        _ => None,
    }
}

/// Passes the agent's messages to the balancer, and the acknowledgements back.
fn exchange(agent: &mut Agent, balancer: &mut Balancer, now: Millis) {
    for effect in agent.reduce(AgentEvent::Tick, now) {
        let buckthornlink_core::agent::Effect::Send { message, .. } = effect else {
            continue;
        };
        let from = addr(2);
        for effect in balancer.reduce(Event::Control { from, message }, now) {
            if let Effect::Send { to, message } = effect
                && to == addr(2)
            {
                let from = addr(1);
                agent.reduce(AgentEvent::Control { from, message }, now);
            }
        }
    }
}

/// Guards against a living agent that gets no flows for good, since its facts are older than the last one of
/// the process before.
#[test]
fn an_agent_that_started_after_its_clock_was_set_back_gets_openers() {
    let mut balancer = balancer();
    let mut now = Millis(1_000);
    let event = Event::Control {
        from: addr(2),
        message: left(),
    };
    balancer.reduce(event, now);
    let mut agent = restarted_agent();
    for _ in 0..100 {
        now = now + Millis(100);
        exchange(&mut agent, &mut balancer, now);
    }
    assert_eq!(first_candidate(&mut balancer, now), Some(addr(2)));
}

/// Guards against the same for a balancer, which peers would neither send exchanges nor name to agents.
#[test]
fn a_balancer_that_started_after_its_clock_was_set_back_is_known_to_others() {
    let mut peer = balancer();
    let now = Millis(1_000);
    let fact = |boot, phase| Fact {
        addr: addr(3),
        role: Role::Balancer,
        zone: ZoneTag(1),
        boot,
        seq: 9,
        phase,
    };
    let hello = |fact| Event::Control {
        from: addr(3),
        message: Message::Hello(fact),
    };
    peer.reduce(hello(fact(BEFORE, Phase::Left)), now);
    let mut restarted = Balancer::new(Setup {
        addr: addr(3),
        zone: ZoneTag(1),
        boot: AFTER,
        policy: Policy::Adaptive,
        entry: addr(1),
        control_bytes: 4_000,
        seed: 1,
    });
    let acks = peer.reduce(hello(fact(AFTER, Phase::Warm)), now);
    for effect in acks {
        if let Effect::Send { message, .. } = effect {
            let from = addr(1);
            restarted.reduce(Event::Control { from, message }, now);
        }
    }
    let members = restarted.members();
    let own = members.at(addr(3)).map(|m| m.fact);
    assert!(own.is_some_and(|f| f.boot > BEFORE), "{own:?}");
}

/// Guards against agents that a balancer hides from all others since it was paused itself, and heard nothing.
#[test]
fn a_balancer_that_returns_does_not_take_its_absence_for_the_silence_of_agents() {
    let mut balancer = balancer();
    let mut now = Millis(1_000);
    let mut agent = restarted_agent();
    for _ in 0..20 {
        now = now + Millis(100);
        exchange(&mut agent, &mut balancer, now);
        balancer.reduce(Event::Tick, now);
    }
    assert_eq!(first_candidate(&mut balancer, now), Some(addr(2)));
    now = now + Millis(8_000);
    balancer.reduce(Event::Tick, now);
    assert_eq!(first_candidate(&mut balancer, now), Some(addr(2)));
}

/// The silence of an agent before and after an absence adds up, so that it is noticed no later.
#[test]
fn an_agent_that_is_silent_before_and_after_an_absence_gets_no_openers() {
    let mut balancer = balancer();
    let mut now = Millis(1_000);
    let mut agent = restarted_agent();
    for _ in 0..20 {
        now = now + Millis(100);
        exchange(&mut agent, &mut balancer, now);
        balancer.reduce(Event::Tick, now);
    }
    let mut run = |span: u64| {
        for _ in 0..span / 100 {
            now = now + Millis(100);
            balancer.reduce(Event::Tick, now);
        }
        now = now + Millis(8_000);
        balancer.reduce(Event::Tick, now);
        first_candidate(&mut balancer, now)
    };
    assert_eq!(run(2_000), Some(addr(2)));
    assert_eq!(run(2_000), None);
}
