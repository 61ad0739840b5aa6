//! Flows that are placed while the balancer's fact about the agent is older than the last restart of
//! the backend server there.

mod datagram;

use std::net::Ipv4Addr;

use buckthornlink_core::BootId;
use buckthornlink_core::datagram::{Effect, Fact, Load, Message, Mode, OwnerRecord, Phase};

use datagram::{AgentDriver, BalancerDriver, data, fact, is_reset, opening};

const AGENT: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 2);
/// Boots of the backend server before and after its restart.
const OLD: BootId = BootId(1);
const NEW: BootId = BootId(2);

/// The fact of [`AGENT`] in one boot of its backend server.
fn agent_fact(phase: Phase, backend: BootId) -> Fact {
    Fact {
        backend,
        ..fact(AGENT, phase, Load::default())
    }
}

/// A balancer that placed a flow on [`AGENT`] while it believed in the old boot.
fn placed() -> BalancerDriver {
    let mut balancer = BalancerDriver::ready();
    balancer.receive_facts(&[agent_fact(Phase::Ready, OLD)]);
    balancer.packet_from_caller(opening(1));
    balancer
}

/// The owner's record of the flow.
fn owner_record(backend: BootId) -> Message {
    Message::OwnerRecords(vec![OwnerRecord {
        flow: data(1).flow,
        owner: AGENT,
        backend,
    }])
}

fn assert_looked_up(effects: &[Effect]) {
    assert!(
        matches!(effects, [Effect::Relay { to: AGENT, tag }] if tag.mode == Mode::Lookup),
        "{effects:?}"
    );
}

/// Guards against the reset of a flow that opened at the new boot of a backend server, when the
/// balancer placed it with a fact from before the restart.
#[test]
fn a_flow_placed_with_a_fact_from_before_a_restart_is_not_reset_by_the_newer_fact() {
    let mut balancer = placed();
    balancer.receive_facts(&[agent_fact(Phase::Ready, NEW)]);
    assert_looked_up(&balancer.packet_from_caller(data(1)));
}

/// Guards against the same reset by the late report that the old boot has ended.
#[test]
fn a_flow_placed_with_a_fact_from_before_a_restart_is_not_reset_by_a_late_report_of_the_end() {
    let mut balancer = placed();
    balancer.receive_facts(&[agent_fact(Phase::Over, OLD)]);
    assert_looked_up(&balancer.packet_from_caller(data(1)));
}

#[test]
fn a_flow_whose_owner_reported_the_old_boot_is_reset_at_once() {
    for (phase, backend) in [(Phase::Ready, NEW), (Phase::Over, OLD)] {
        let mut balancer = placed();
        balancer.message(AGENT, owner_record(OLD));
        balancer.receive_facts(&[agent_fact(phase, backend)]);
        let next = balancer.packet_from_caller(data(1));
        assert!(next.iter().any(is_reset), "{phase:?}: {next:?}");
    }
}

/// Guards against the reset of a flow by a process that knows less of it than its owner: it opened while the owner took the old boot for
/// the running one, and the owner knows the new one since.
#[test]
fn a_flow_whose_owner_holds_flows_of_an_earlier_name_goes_to_its_owner() {
    let renamed = Fact {
        holds_earlier: true,
        ..agent_fact(Phase::Ready, NEW)
    };
    let mut balancer = placed();
    balancer.message(AGENT, owner_record(OLD));
    balancer.receive_facts(&[renamed]);
    let next = balancer.packet_from_caller(data(1));
    assert!(
        matches!(next[..], [Effect::Relay { to: AGENT, tag }] if tag.mode == Mode::Known),
        "{next:?}"
    );
    let ended = Fact {
        seq: 2,
        phase: Phase::Over,
        ..renamed
    };
    balancer.receive_facts(&[ended]);
    let next = balancer.packet_from_caller(data(1));
    assert!(next.iter().any(is_reset), "{next:?}");
}

#[test]
fn a_flow_whose_owner_reported_the_new_boot_goes_to_its_owner() {
    let mut balancer = placed();
    balancer.receive_facts(&[agent_fact(Phase::Ready, NEW)]);
    balancer.message(AGENT, owner_record(NEW));
    let next = balancer.packet_from_caller(data(1));
    assert!(
        matches!(next[..], [Effect::Relay { to: AGENT, tag }] if tag.mode == Mode::Known),
        "{next:?}"
    );
}

/// The agent is asked where the balancer only assumes, so it must decide with the same packet.
#[test]
fn a_flow_that_is_looked_up_after_the_end_of_its_backend_server_is_reset_at_once() {
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    agent.end_backend();
    let next = agent.packet_from_peer(data(1), Mode::Lookup);
    assert!(next.iter().any(is_reset), "{next:?}");
}
