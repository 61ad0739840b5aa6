//! Drives a balancer's reducer directly and prints where it places openers.
//!
//! Two agents send heartbeats: one is warm and has ten flows, the other is cold and has none.

use std::net::{Ipv4Addr, SocketAddrV4};

use buckthornlink_core::balancer::{Balancer, Event, Policy, Setup};
use buckthornlink_core::member::{Fact, Load, Phase, Role};
use buckthornlink_core::message::{Heartbeat, Message};
use buckthornlink_core::{BootId, FlowKey, Millis, ServicePort, Version, ZoneTag};

const SERVICE: ServicePort = ServicePort(4433);

fn main() {
    let zone = ZoneTag::of("brasov-1");
    let mut balancer = Balancer::new(Setup {
        addr: addr(1),
        zone,
        boot: BootId(1),
        policy: Policy::Adaptive,
        entry: addr(250),
        control_bytes: 4_000,
        seed: 1,
    });
    balancer.reduce(heartbeat(2, zone, Phase::Warm, 10, u8::MAX), Millis(0));
    balancer.reduce(heartbeat(3, zone, Phase::Cold, 0, 32), Millis(0));
    for flow in 0..12 {
        let opener = Event::Opener {
            service: SERVICE,
            flow: FlowKey(flow),
        };
        println!("{:?}", balancer.reduce(opener, Millis(10)));
    }
}

fn addr(host: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host), 4400)
}

/// Builds the heartbeat of an agent with this number of flows and this weight.
fn heartbeat(host: u8, zone: ZoneTag, phase: Phase, flows: u32, weight: u8) -> Event {
    let fact = Fact {
        addr: addr(host),
        role: Role::Agent(SERVICE),
        zone,
        boot: BootId(1),
        seq: 1,
        phase,
    };
    let load = Load {
        flows,
        weight,
        pressure: 0,
    };
    let version = Version::default();
    let message = Message::Heartbeat(Heartbeat {
        fact,
        load,
        version,
    });
    Event::Control {
        from: addr(host),
        message,
    }
}
