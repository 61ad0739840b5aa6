//! Records of a flow's owner that arrive late, or in another order than they were sent.

mod datagram;

use std::net::Ipv4Addr;

use buckthornlink_core::datagram::{
    Effect, Event, Fact, Load, Message, Mode, OwnerRecord, Phase, Reducer, RelayTag, Source,
};
use buckthornlink_core::{BootId, Millis};

use datagram::{
    AgentDriver, BALANCER, BalancerDriver, OWN, PEER, data, fact, flow, heartbeat, is_reset,
    service, status,
};

/// Boots of the backend server beside [`PEER`], in their order.
const OLD: BootId = BootId(1);
const NEW: BootId = BootId(2);

/// The record in which [`PEER`] says that the flow is open at a boot of its backend server.
fn record(backend: BootId) -> Message {
    Message::OwnerRecords(vec![OwnerRecord {
        flow: data(1).flow,
        owner: PEER,
        backend,
    }])
}

fn new_boot() -> Fact {
    Fact {
        backend: NEW,
        ..fact(PEER, Phase::Ready, Load::default())
    }
}

fn is_relayed(effects: &[Effect]) -> bool {
    matches!(effects, [Effect::Relay { to: PEER, .. }])
}

/// Guards against the reset of a flow by its home agent, when the record of a flow that used the same port
/// at an earlier boot of the same backend server arrives after the record of the flow itself.
#[test]
fn a_home_agent_keeps_the_later_boot_of_two_records_of_one_owner() {
    let mut home = AgentDriver::ready();
    home.message(status(new_boot()));
    home.message(record(NEW));
    home.message(record(OLD));
    let next = home.packet_from_peer(data(1), Mode::Lookup);
    assert!(!next.iter().any(is_reset) && is_relayed(&next), "{next:?}");
}

/// Guards against the same reset by a balancer.
#[test]
fn a_balancer_keeps_the_later_boot_of_two_records_of_one_owner() {
    let mut balancer = BalancerDriver::ready();
    balancer.receive_facts(&[new_boot()]);
    balancer.message(PEER, record(NEW));
    balancer.message(PEER, record(OLD));
    let next = balancer.packet_from_caller(data(1));
    assert!(!next.iter().any(is_reset) && is_relayed(&next), "{next:?}");
}

/// A record whose boot has ended when it arrives says nothing about the flow that the owner reports next.
#[test]
fn a_record_of_a_later_boot_replaces_that_of_an_earlier_one() {
    let mut home = AgentDriver::ready();
    home.message(status(new_boot()));
    home.message(record(OLD));
    home.message(record(NEW));
    let next = home.packet_from_peer(data(1), Mode::Lookup);
    assert!(is_relayed(&next), "{next:?}");
}

/// An agent that restarted beside its backend server does not know the boot yet: its record takes nothing
/// back, since its backend server may be any boot.
#[test]
fn a_record_without_a_boot_names_the_owner() {
    let mut home = AgentDriver::ready();
    home.message(status(new_boot()));
    home.message(record(BootId::default()));
    let next = home.packet_from_peer(data(1), Mode::Lookup);
    assert!(is_relayed(&next), "{next:?}");
    home.reduce(Event::Tick);
}

/// A third agent.
const THIRD: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 3);

/// The record in which `owner` is said to hold the flow of the caller with this port.
fn record_of(port: u16, owner: Ipv4Addr) -> Message {
    Message::OwnerRecords(vec![OwnerRecord {
        flow: flow(port),
        owner,
        backend: NEW,
    }])
}

/// Guards against the loss of a flow's owner when its home agent stops, after the owner was restarted and
/// forgot the flow as it was idle: its packets would be tried at all backend servers.
#[test]
fn a_home_agent_that_stops_passes_the_owners_on() {
    let mut home = AgentDriver::ready();
    home.add_agent(PEER, service());
    home.add_agent(THIRD, service());
    let membership = home.agent.gossip().membership();
    let is_home = |port: &u16| membership.home_agent(&flow(*port), home.now) == Some(OWN);
    let ports: Vec<u16> = (1..200).filter(is_home).collect();
    for port in &ports {
        home.message(record_of(*port, PEER));
    }
    home.run(Millis(400));
    let effects = home.reduce(Event::Leave);
    let passed_on = effects.iter().filter_map(|e| match e {
        Effect::Send {
            to: THIRD,
            message: Message::OwnerRecords(records),
        } => Some(records.iter().filter(|r| r.owner == PEER).count()),
        _ => None,
    });
    let count: usize = passed_on.sum();
    assert!(count > 0 && count <= ports.len(), "{count}: {effects:?}");
}

/// Guards against a record that is passed on late and replaces what the owner itself said.
#[test]
fn a_record_that_another_agent_repeats_replaces_no_known_owner() {
    let mut home = AgentDriver::ready();
    home.message(record(NEW));
    let from = THIRD;
    let message = record_of(1, Ipv4Addr::new(10, 1, 0, 4));
    home.reduce(Event::Message { from, message });
    let next = home.packet_from_peer(data(1), Mode::Lookup);
    assert!(is_relayed(&next), "{next:?}");
}

/// Guards against a home agent that forgets the owner of a flow in use: its packets go straight to the owner, which
/// sends the record once. After the restart of a balancer, the flow would be searched for.
#[test]
fn a_home_agent_keeps_the_record_of_a_flow_whose_packets_it_does_not_see() {
    let mut home = AgentDriver::ready();
    home.add_agent(PEER, service());
    home.message(record(NEW));
    for _ in 0..50 {
        home.run(Millis(1_000));
        home.add_agent(PEER, service());
    }
    let next = home.packet_from_peer(data(1), Mode::Lookup);
    assert!(is_relayed(&next), "{next:?}");
}

/// Guards against callers of dead flows that wait for a search of all agents: the owner, which knows its backend server by a later boot
/// and has not seen the end of the one before, returned the packet.
#[test]
fn a_packet_that_the_owner_returns_ends_a_flow_of_an_earlier_boot() {
    for (recorded, is_ended) in [(OLD, true), (NEW, false)] {
        let mut home = AgentDriver::ready();
        home.message(status(Fact {
            holds_earlier: true,
            ..new_boot()
        }));
        home.message(record(recorded));
        let next = home.packet_from_peer(data(1), Mode::Lookup);
        assert!(is_relayed(&next), "{next:?}");
        let mut returned = data(1);
        returned.tag = RelayTag::new(Mode::Failed, BALANCER);
        let effects = home.reduce(Event::Packet {
            source: Source::Peer(PEER),
            packet: returned,
        });
        assert_eq!(effects.iter().any(is_reset), is_ended, "{effects:?}");
    }
}

/// Guards against a flow that nobody finds, since an agent that has just started does not believe the record of its earlier process: that
/// one knew the backend server by an earlier boot.
#[test]
fn an_agent_believes_that_it_owns_a_flow_by_an_earlier_name() {
    let mut agent = AgentDriver::started_at_time(BootId(9_000));
    agent.heartbeat(heartbeat(40));
    agent.add_agent(PEER, service());
    agent.message(record_of(1, OWN));
    let named = |e: &Effect| match e {
        Effect::Send {
            message: Message::OwnerRecords(records),
            ..
        } => records.first().map(|r| r.backend),
        _ => None,
    };
    let effects = agent.run(Millis(400));
    let boots: Vec<BootId> = effects.iter().filter_map(named).collect();
    assert_eq!(boots, [NEW], "the record keeps its boot");
    let next = agent.packet_from_peer(data(1), Mode::Search);
    let is_delivered = |e: &Effect| matches!(e, Effect::Deliver(_));
    assert!(next.iter().any(is_delivered), "{next:?}");
}

/// Guards against the reset of a flow by denials of an agent that took its backend server for ended, and takes that back: it says so before
/// others can have acted on it.
#[test]
fn an_end_that_is_taken_back_is_followed_by_records_of_the_flows() {
    let mut agent = AgentDriver::ready();
    agent.add_agent(PEER, service());
    agent.open_flow(1);
    agent.run(Millis(400));
    agent.end_backend();
    let denied = agent.packet_from_peer(data(1), Mode::Search);
    let is_denied = |e: &Effect| is_reset(e) || matches!(e, Effect::Send { .. });
    assert!(denied.iter().any(is_denied), "{denied:?}");
    let mut agent = AgentDriver::ready();
    agent.add_agent(PEER, service());
    agent.open_flow(1);
    agent.run(Millis(400));
    agent.end_backend();
    let kept = agent.heartbeat(heartbeat(2));
    let is_record = |e: &Effect| {
        matches!(
            e,
            Effect::Send {
                to: PEER,
                message: Message::OwnerRecords(_)
            }
        )
    };
    assert!(kept.iter().any(is_record), "{kept:?}");
}
