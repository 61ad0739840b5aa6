//! Measures a balancer's reducer at the event rates of the target fleet.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Instant;

use buckthornlink_core::balancer::{Balancer, Event, Policy, Setup};
use buckthornlink_core::member::{Digest, Fact, Load, Phase, Role, ZoneRecord};
use buckthornlink_core::message::{Exchange, Heartbeat, MAX_FACTS, Message};
use buckthornlink_core::{BootId, FlowKey, Millis, ServicePort, Version, ZoneTag};

use crate::series::Series;

/// Number of backend servers of each service.
const SERVERS_PER_SERVICE: u32 = 11;
/// One in this many members is a balancer: 1,900 of 22,900.
const MEMBERS_PER_BALANCER: u32 = 12;
/// Number of agents that send heartbeats to one balancer: each of 21,000 agents sends to three of
/// 1,900 balancers.
const REPORTING_AGENTS: u32 = 33;
const ITERATIONS: u32 = 2_000;
const FIRST_PORT: u16 = 10_000;

pub fn measure(sizes: &[u32]) -> anyhow::Result<Vec<Series>> {
    let unit = "µs";
    let size_label = "members";
    let mut memory = Series::new("reducer-memory", size_label, "MB");
    let mut opener = Series::new("reducer-opener", size_label, unit);
    let mut heartbeat = Series::new("reducer-heartbeat", size_label, unit);
    let mut exchange = Series::new("reducer-exchange", size_label, unit);
    let mut tick = Series::new("reducer-tick", size_label, unit);
    for &members in sizes {
        let before = resident_bytes()?;
        let mut state = populated_balancer(members);
        let bytes = resident_bytes()?.saturating_sub(before);
        #[expect(
            clippy::cast_precision_loss,
            reason = "memory stays far below 2^52 bytes"
        )]
        memory.push(members, bytes as f64 / 1e6);
        opener.push(
            members,
            mean_micros(|i| reduce_opener(&mut state, members, i)),
        );
        heartbeat.push(members, mean_micros(|i| reduce_heartbeat(&mut state, i)));
        exchange.push(members, mean_micros(|i| reduce_exchange(&mut state, i)));
        tick.push(
            members,
            mean_micros(|i| drop(black_box(state.reduce(Event::Tick, time_at(i))))),
        );
    }
    Ok(vec![memory, opener, heartbeat, exchange, tick])
}

/// Fact of the member with this index: a balancer at multiples of `MEMBERS_PER_BALANCER`, else an
/// agent.
pub fn member_fact(index: u32) -> Fact {
    let host = u32::from(Ipv4Addr::new(10, 0, 0, 0)) + index + 1;
    let is_balancer = index.is_multiple_of(MEMBERS_PER_BALANCER);
    Fact {
        addr: SocketAddrV4::new(Ipv4Addr::from_bits(host), 4_400),
        role: if is_balancer {
            Role::Balancer
        } else {
            Role::Agent(service_of(index))
        },
        zone: ZoneTag(u16::try_from(index % 8).unwrap_or(0)),
        boot: BootId(1_700_000_000_000 + u64::from(index)),
        seq: 3,
        phase: Phase::Warm,
    }
}

fn service_of(index: u32) -> ServicePort {
    let offset = u16::try_from(index / MEMBERS_PER_BALANCER % 1_900).unwrap_or(0);
    ServicePort(FIRST_PORT + offset)
}

/// Exchanges in which member 0 sends the facts of all other members.
pub fn exchanges(members: u32) -> impl Iterator<Item = Message> {
    let facts: Vec<Fact> = (1..members).map(member_fact).collect();
    let batches: Vec<Vec<Fact>> = facts.chunks(MAX_FACTS).map(<[Fact]>::to_vec).collect();
    batches
        .into_iter()
        .map(|facts| Message::Exchange(build_exchange(facts, false)))
}

fn build_exchange(facts: Vec<Fact>, ask: bool) -> Exchange {
    Exchange {
        from: member_fact(0),
        version: Version(0),
        digest: ask.then(Digest::default),
        zones: vec![
            ZoneRecord {
                zone: ZoneTag(1),
                seq: 1.into(),
                out: false
            };
            8
        ],
        facts,
        ask,
    }
}

fn populated_balancer(members: u32) -> Balancer {
    let mut state = Balancer::new(Setup {
        addr: SocketAddrV4::new(Ipv4Addr::new(10, 255, 0, 1), 4_400),
        zone: ZoneTag(1),
        boot: BootId(1),
        policy: Policy::Adaptive,
        entry: SocketAddrV4::new(Ipv4Addr::new(10, 255, 0, 2), 4_400),
        control_bytes: 4_000,
        seed: 1,
    });
    let from = member_fact(0).addr;
    for message in exchanges(members) {
        state.reduce(Event::Control { from, message }, Millis(0));
    }
    for index in 0..REPORTING_AGENTS {
        reduce_heartbeat(&mut state, index);
    }
    state
}

fn time_at(iteration: u32) -> Millis {
    Millis(1_000 + u64::from(iteration))
}

fn reduce_opener(state: &mut Balancer, members: u32, iteration: u32) {
    let event = Event::Opener {
        service: service_of(iteration * SERVERS_PER_SERVICE % members.max(1)),
        flow: FlowKey(u64::from(iteration)),
    };
    black_box(state.reduce(event, time_at(iteration)));
}

fn reduce_heartbeat(state: &mut Balancer, iteration: u32) {
    let fact = member_fact(1 + iteration % REPORTING_AGENTS);
    let heartbeat = Heartbeat {
        fact,
        load: Load {
            flows: iteration,
            weight: 255,
            pressure: 9,
        },
        version: Version(0),
    };
    let message = Message::Heartbeat(heartbeat);
    black_box(state.reduce(
        Event::Control {
            from: fact.addr,
            message,
        },
        time_at(iteration),
    ));
}

/// Handles a request from a peer that knows no facts, which needs the most expensive response.
fn reduce_exchange(state: &mut Balancer, iteration: u32) {
    let message = Message::Exchange(build_exchange(Vec::new(), true));
    black_box(state.reduce(
        Event::Control {
            from: member_fact(0).addr,
            message,
        },
        time_at(iteration * 1_000),
    ));
}

fn mean_micros(mut step: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    for iteration in 0..ITERATIONS {
        step(iteration);
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(ITERATIONS)
}

fn resident_bytes() -> anyhow::Result<u64> {
    crate::process::resident_bytes("self")
}
