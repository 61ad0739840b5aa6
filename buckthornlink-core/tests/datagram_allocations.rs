//! Packets of established flows cause no heap allocation in a balancer or an agent.

mod datagram;

use std::net::Ipv4Addr;

use buckthornlink_core::datagram::{Event, Load, Mode, Phase, Reducer, RelayTag, Source};

use datagram::{AgentDriver, BALANCER, BalancerDriver, answer, data, fact, opening};

const PACKETS: usize = 1_000;
const AGENT: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 2);

/// Heap allocations of this thread during `PACKETS` calls of `f`.
fn count_allocations(mut f: impl FnMut()) -> u64 {
    let run_all = || (0..PACKETS).for_each(|_| f());
    allocation_counter::measure(run_all).count_total
}

#[test]
fn established_packets_allocate_nothing() {
    let mut balancer = BalancerDriver::ready();
    balancer.receive_facts(&[fact(AGENT, Phase::Ready, Load::default())]);
    balancer.packet_from_caller(opening(1));
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    let mut request = data(1);
    request.tag = RelayTag::new(Mode::Known, BALANCER);
    let now = agent.now;
    let mut effects = Vec::with_capacity(64);
    let forwarded = count_allocations(|| {
        let event = Event::Packet {
            source: Source::Fabric,
            packet: data(1),
        };
        balancer.balancer.reduce(event, balancer.now, &mut effects);
        effects.clear();
    });
    let delivered = count_allocations(|| {
        let event = Event::Packet {
            source: Source::Peer(BALANCER),
            packet: request,
        };
        agent.agent.reduce(event, now, &mut effects);
        effects.clear();
    });
    let answered = count_allocations(|| {
        let event = Event::Packet {
            source: Source::Backend,
            packet: answer(1),
        };
        agent.agent.reduce(event, now, &mut effects);
        effects.clear();
    });
    assert_eq!([forwarded, delivered, answered], [0, 0, 0]);
}

#[test]
fn allocations_of_the_measured_thread_are_counted() {
    let count = count_allocations(|| drop(std::hint::black_box(Box::new(1))));
    assert_eq!(count, PACKETS as u64);
}
