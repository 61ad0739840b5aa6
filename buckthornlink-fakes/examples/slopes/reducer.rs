//! A balancer's reducer at the event rates of the target size.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Instant;

use buckthornlink_core::balancer::{Balancer, Event, Policy, Setup};
use buckthornlink_core::member::{Digest, Fact, Load, Phase, Role, ZoneRecord};
use buckthornlink_core::message::{Exchange, Heartbeat, MAX_FACTS, Message};
use buckthornlink_core::{BootId, FlowKey, Millis, ServicePort, Version, ZoneTag};

use crate::series::Series;

/// Backend servers of one service.
const SERVERS: u32 = 11;
/// Share of balancers among the members: 1,900 of 22,900.
const MEMBERS_PER_BALANCER: u32 = 12;
/// Agents that report to one balancer: 21,000 agents with three reports, over 1,900 balancers.
const OBSERVED: u32 = 33;
const ROUNDS: u32 = 2_000;
const FIRST_PORT: u16 = 10_000;

pub fn measure(sizes: &[u32]) -> anyhow::Result<Vec<Series>> {
    let unit = "µs";
    let size = "members";
    let mut memory = Series::new("reducer-memory", size, "MB");
    let mut opener = Series::new("reducer-opener", size, unit);
    let mut heartbeat = Series::new("reducer-heartbeat", size, unit);
    let mut exchange = Series::new("reducer-exchange", size, unit);
    let mut tick = Series::new("reducer-tick", size, unit);
    for &members in sizes {
        let before = resident_bytes()?;
        let mut state = filled(members);
        let bytes = resident_bytes()?.saturating_sub(before);
        #[expect(
            clippy::cast_precision_loss,
            reason = "memory stays far below 2^52 bytes"
        )]
        memory.push(members, bytes as f64 / 1e6);
        opener.push(members, micros(|i| open(&mut state, members, i)));
        heartbeat.push(members, micros(|i| beat(&mut state, i)));
        exchange.push(members, micros(|i| answer(&mut state, i)));
        tick.push(
            members,
            micros(|i| drop(black_box(state.reduce(Event::Tick, at(i))))),
        );
    }
    Ok(vec![memory, opener, heartbeat, exchange, tick])
}

/// A fact of the member with this index: a balancer now and then, else an agent.
pub fn fact(index: u32) -> Fact {
    let host = u32::from(Ipv4Addr::new(10, 0, 0, 0)) + index + 1;
    let is_balancer = index.is_multiple_of(MEMBERS_PER_BALANCER);
    Fact {
        addr: SocketAddrV4::new(Ipv4Addr::from_bits(host), 4_400),
        role: if is_balancer {
            Role::Balancer
        } else {
            Role::Agent(service(index))
        },
        zone: ZoneTag(u16::try_from(index % 8).unwrap_or(0)),
        boot: BootId(1_700_000_000_000 + u64::from(index)),
        seq: 3,
        phase: Phase::Warm,
    }
}

fn service(index: u32) -> ServicePort {
    let offset = u16::try_from(index / MEMBERS_PER_BALANCER % 1_900).unwrap_or(0);
    ServicePort(FIRST_PORT + offset)
}

/// Exchanges that carry the facts of `count` members.
pub fn exchanges(count: u32) -> impl Iterator<Item = Message> {
    let facts: Vec<Fact> = (1..count).map(fact).collect();
    let batches: Vec<Vec<Fact>> = facts.chunks(MAX_FACTS).map(<[Fact]>::to_vec).collect();
    batches
        .into_iter()
        .map(|facts| Message::Exchange(message(facts, false)))
}

fn message(facts: Vec<Fact>, ask: bool) -> Exchange {
    Exchange {
        from: fact(0),
        version: Version(0),
        digest: ask.then(Digest::default),
        zones: vec![
            ZoneRecord {
                zone: ZoneTag(1),
                seq: 1,
                out: false
            };
            8
        ],
        facts,
        ask,
    }
}

fn filled(members: u32) -> Balancer {
    let mut state = Balancer::new(Setup {
        addr: SocketAddrV4::new(Ipv4Addr::new(10, 255, 0, 1), 4_400),
        zone: ZoneTag(1),
        boot: BootId(1),
        policy: Policy::Adaptive,
        entry: SocketAddrV4::new(Ipv4Addr::new(10, 255, 0, 2), 4_400),
        control_bytes: 4_000,
        seed: 1,
    });
    let from = fact(0).addr;
    for message in exchanges(members) {
        state.reduce(Event::Control { from, message }, Millis(0));
    }
    for index in 0..OBSERVED {
        beat(&mut state, index);
    }
    state
}

fn at(round: u32) -> Millis {
    Millis(1_000 + u64::from(round))
}

fn open(state: &mut Balancer, members: u32, round: u32) {
    let event = Event::Opener {
        service: service(round * SERVERS % members.max(1)),
        flow: FlowKey(u64::from(round)),
    };
    black_box(state.reduce(event, at(round)));
}

fn beat(state: &mut Balancer, round: u32) {
    let fact = fact(1 + round % OBSERVED);
    let beat = Heartbeat {
        fact,
        load: Load {
            flows: round,
            weight: 255,
            pressure: 9,
        },
        version: Version(0),
    };
    let message = Message::Heartbeat(beat);
    black_box(state.reduce(
        Event::Control {
            from: fact.addr,
            message,
        },
        at(round),
    ));
}

/// A peer that knows nothing asks, which is the most that an answer can cost.
fn answer(state: &mut Balancer, round: u32) {
    let message = Message::Exchange(message(Vec::new(), true));
    black_box(state.reduce(
        Event::Control {
            from: fact(0).addr,
            message,
        },
        at(round * 1_000),
    ));
}

fn micros(mut step: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    for round in 0..ROUNDS {
        step(round);
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn resident_bytes() -> anyhow::Result<u64> {
    crate::process::resident_bytes("self")
}
