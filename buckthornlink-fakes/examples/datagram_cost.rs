//! Measures the costs of a balancer's reducer on the datagram path, by the number of instances.
//!
//! `cargo run --release --example datagram_cost`

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Instant;

use tabled::builder::Builder;

use buckthornlink_core::datagram::{
    Balancer, Effect, Event, Fact, Flags, Flow, Load, Message, Packet, Phase, Reducer, RelayTag,
    Role, Route, ServiceTag, Setup, Source, Status, StoreView, Table, Target,
};
use buckthornlink_core::{BootId, Millis, Version, ZoneTag};

const INSTANCE_COUNTS: [u32; 5] = [25, 100, 1_000, 4_000, 16_000];
const AGENTS_PER_SERVICE: u32 = 11;
const ROUNDS: u32 = 20_000;
const TICKS: u32 = 50;

fn main() {
    let mut table = Builder::default();
    table.push_record([
        "instances",
        "established packet (µs)",
        "opening packet (µs)",
        "lookup (µs)",
        "tick (µs)",
        "exchange (bytes)",
    ]);
    for size in INSTANCE_COUNTS {
        table.push_record(measure(size));
    }
    println!("{}", table.build());
}

fn measure(size: u32) -> [String; 6] {
    let mut balancer = populated_balancer(size);
    let opening = mean_micros(ROUNDS, |i| reduce(&mut balancer, packet(i, true)));
    let established = mean_micros(ROUNDS, |i| reduce(&mut balancer, packet(i, false)));
    let lookup = mean_micros(ROUNDS, |i| reduce(&mut balancer, packet(ROUNDS + i, false)));
    let mut bytes = 0;
    let tick = mean_micros(TICKS, |i| {
        let now = Millis(20_000 + u64::from(i) * 400);
        let mut effects = Vec::new();
        balancer.reduce(Event::Tick, now, &mut effects);
        bytes = effects
            .iter()
            .map(message_size)
            .max()
            .unwrap_or(0)
            .max(bytes);
    });
    [
        size.to_string(),
        format!("{established:.2}"),
        format!("{opening:.2}"),
        format!("{lookup:.2}"),
        format!("{tick:.1}"),
        bytes.to_string(),
    ]
}

/// Mean duration of one call of `f`, in microseconds.
fn mean_micros(rounds: u32, mut f: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    for i in 0..rounds {
        f(i);
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

fn reduce(balancer: &mut Balancer, packet: Packet) {
    let mut effects = Vec::with_capacity(4);
    let source = Source::Fabric;
    balancer.reduce(
        Event::Packet { source, packet },
        Millis(10_000),
        &mut effects,
    );
    assert!(!effects.is_empty());
}

fn message_size(effect: &Effect) -> usize {
    let Effect::Send { message, .. } = effect else {
        return 0;
    };
    rmp_serde::to_vec(message).map_or(0, |bytes| bytes.len())
}

/// A balancer that knows `size` agents, [`AGENTS_PER_SERVICE`] of each service.
fn populated_balancer(size: u32) -> Balancer {
    let setup = Setup {
        ip: Ipv4Addr::new(10, 255, 0, 1),
        role: Role::Balancer,
        zone: ZoneTag(1),
        boot: BootId(1),
        heartbeat_interval: Millis(1_200),
        backend_address: None,
        seed: 1,
    };
    let mut balancer = Balancer::new(&setup, Millis(0));
    let mut effects = Vec::new();
    let table = Event::Table(Arc::new(table(size)));
    balancer.reduce(table, Millis(9_000), &mut effects);
    for i in 0..size {
        let message = Message::Status(status(i));
        let from = agent(i);
        balancer.reduce(
            Event::Message { from, message },
            Millis(9_900),
            &mut effects,
        );
        effects.clear();
    }
    balancer
}

fn status(i: u32) -> Status {
    let fact = Fact {
        ip: agent(i),
        role: Role::Agent(service(i / AGENTS_PER_SERVICE)),
        zone: ZoneTag(u16::try_from(i % 8).unwrap_or(0)),
        boot: BootId(1_700_000_000_000),
        seq: 400,
        phase: Phase::Ready,
        backend: BootId(1_700_000_000_000),
        store: false,
        load: Load {
            waiting: 30,
            flows: 570,
            slots: 8,
        },
        holds_earlier: false,
    };
    Status {
        from: fact,
        store: StoreView {
            version: Version(1),
            zones: Vec::new(),
            ..StoreView::default()
        },
        facts: Vec::new(),
        beats: Vec::new(),
        known: u32::MAX,
        asks: false,
    }
}

fn table(size: u32) -> Table {
    let services = 0..size.div_ceil(AGENTS_PER_SERVICE);
    let routes = services.map(|i| {
        let service = service(i);
        let targets = vec![Target { service, weight: 1 }];
        let target = Route {
            targets,
            ..Route::default()
        };
        (route(i), target)
    });
    Table {
        version: Version(1),
        idle: Millis(15_000),
        routes: routes.collect(),
        ..Table::default()
    }
}

fn packet(i: u32, is_opening: bool) -> Packet {
    let caller = SocketAddrV4::new(Ipv4Addr::from_bits(0x6440_0000 + i), 1_024);
    let route = route(i % 2);
    Packet {
        flow: Flow { caller, route },
        flags: Flags {
            syn: is_opening,
            ack: !is_opening,
            ..Flags::default()
        },
        seq: 1,
        ack: 1,
        len: 100,
        tag: RelayTag::direct(),
    }
}

fn agent(i: u32) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0a00_0000 + i)
}

fn service(i: u32) -> ServiceTag {
    ServiceTag(u64::from(i) + 1)
}

fn route(i: u32) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from_bits(0xc612_0000 + i), 443)
}
