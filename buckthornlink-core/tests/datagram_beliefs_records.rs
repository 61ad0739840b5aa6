//! Records of a flow's owner that arrive late, or in another order than they were sent.

mod datagram;

use buckthornlink_core::BootId;
use buckthornlink_core::datagram::{Effect, Event, Fact, Load, Message, Mode, OwnerRecord, Phase};

use datagram::{AgentDriver, BalancerDriver, PEER, data, fact, is_reset, status};

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
