//! Violates the invariants that the checker tracks, one in each test.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use buckthornlink_core::datagram::{Flags, Flow, Mode, Packet, RelayTag};

use super::{BackendBoot, InvariantChecker};

/// A caller.
const CALLER: Ipv4Addr = Ipv4Addr::new(127, 40, 9, 0);
const BALANCER: Ipv4Addr = Ipv4Addr::new(127, 40, 1, 10);
const OWNER: BackendBoot = BackendBoot {
    ip: Ipv4Addr::new(127, 40, 2, 10),
    born: 1,
};
const OTHER: BackendBoot = BackendBoot {
    ip: Ipv4Addr::new(127, 40, 2, 11),
    born: 1,
};

fn route_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

fn request() -> Packet {
    let caller = SocketAddrV4::new(Ipv4Addr::new(127, 40, 9, 1), 1_025);
    Packet {
        flow: Flow {
            caller,
            route: route_address(),
        },
        flags: Flags::default(),
        seq: 7,
        ack: 0,
        len: 100,
        tag: RelayTag::direct(),
    }
}

/// A checker in which a flow is open at [`OWNER`].
fn open_flow_checker() -> InvariantChecker {
    let checker = InvariantChecker::new(vec![BALANCER]);
    checker.set_live(OWNER, true);
    checker.set_live(OTHER, true);
    checker.set_target(route_address(), "token");
    checker.check_delivery(OWNER, &request());
    checker
}

fn advance(checker: &mut InvariantChecker, seconds: u64) {
    checker.started_at -= Duration::from_secs(seconds);
}

/// All violations but the one about the requests served at the end.
fn violations(checker: &InvariantChecker) -> Vec<String> {
    let mut violations = checker.finish().violations;
    violations.retain(|v| !v.contains("served at the end"));
    violations
}

/// Those of them that the milder check finds, for instances that were undisrupted.
fn violations_in_touch(checker: &InvariantChecker) -> usize {
    let violations = violations(checker);
    let in_touch = violations.iter().filter(|v| v.ends_with(", in touch"));
    in_touch.count()
}

/// Guards against a check that excuses the reset of a flow whose backend server lives, as an instance was away.
#[test]
fn a_reset_of_a_live_flow_is_a_violation_whatever_was_disrupted() {
    let mut checker = open_flow_checker();
    for disrupted in [BALANCER, OWNER.ip] {
        checker.check_reset(&request().flow, BALANCER);
        assert!(violations(&checker)[0].ends_with("in touch"));
        checker.record_disruption(disrupted);
        checker.check_reset(&request().flow, BALANCER);
        assert!(violations(&checker)[0].ends_with("out of touch"));
        advance(&mut checker, 5);
    }
    checker.set_live(OWNER, false);
    checker.check_reset(&request().flow, BALANCER);
    assert_eq!(violations(&checker).len(), 0);
}

#[test]
fn stray_packets_for_two_seconds_are_a_violation() {
    let mut checker = open_flow_checker();
    for _ in 0..2 {
        checker.check_stray(OTHER.ip, &request());
    }
    advance(&mut checker, 2);
    checker.check_stray(OTHER.ip, &request());
    assert_eq!(violations(&checker).len(), 1);
    checker.check_delivery(OWNER, &request());
    checker.check_stray(OTHER.ip, &request());
    assert_eq!(violations(&checker).len(), 0);
}

#[test]
fn a_request_that_runs_at_two_backend_servers_is_a_violation() {
    let checker = open_flow_checker();
    checker.check_delivery(OWNER, &request());
    assert_eq!(violations(&checker).len(), 0);
    checker.check_delivery(OTHER, &request());
    assert_eq!(violations(&checker).len(), 1);
}

#[test]
fn a_flow_that_opens_after_a_departure_is_a_violation() {
    let mut checker = open_flow_checker();
    checker.record_departure(OWNER);
    checker.check_opening(OWNER, "brasov-a", "token", &request().flow);
    assert_eq!(violations(&checker).len(), 0);
    advance(&mut checker, 4);
    checker.check_opening(OWNER, "brasov-a", "token", &request().flow);
    assert_eq!(violations(&checker).len(), 1);
}

#[test]
fn a_flow_that_opens_in_a_zone_out_of_service_is_a_violation_unless_the_store_was_disrupted() {
    let mut checker = open_flow_checker();
    checker.set_zone_out("brasov-a", true);
    advance(&mut checker, 6);
    checker.check_opening(OWNER, "brasov-a", "token", &request().flow);
    assert_eq!(violations(&checker).len(), 1);
    checker.record_store_disruption();
    checker.check_opening(OWNER, "brasov-a", "token", &request().flow);
    assert_eq!(violations(&checker).len(), 0);
}

#[test]
fn a_flow_that_opens_under_an_outdated_configuration_is_a_violation() {
    let mut checker = open_flow_checker();
    checker.set_target(route_address(), "ledger");
    checker.check_opening(OWNER, "brasov-a", "token", &request().flow);
    assert_eq!(violations(&checker).len(), 0);
    advance(&mut checker, 4);
    checker.check_opening(OWNER, "brasov-a", "token", &request().flow);
    assert_eq!(violations(&checker).len(), 1);
}

/// Guards against a checker that lets a change be missed for good if the store or the connections to
/// it failed just before.
#[test]
fn a_change_is_checked_again_once_the_store_has_been_stable() {
    let mut checker = open_flow_checker();
    checker.record_store_disruption();
    checker.set_target(route_address(), "ledger");
    checker.set_zone_out("brasov-a", true);
    advance(&mut checker, 4);
    checker.check_opening(OWNER, "brasov-a", "token", &request().flow);
    assert_eq!(violations(&checker).len(), 0);
    advance(&mut checker, 2);
    checker.check_opening(OWNER, "brasov-a", "token", &request().flow);
    assert_eq!(violations(&checker).len(), 2);
}

#[test]
fn unserved_requests_at_the_end_are_a_violation() {
    let mut checker = open_flow_checker();
    advance(&mut checker, 10);
    let sent_at = checker.now();
    for _ in 0..20 {
        checker.record_sent(sent_at, CALLER);
    }
    for _ in 0..18 {
        checker.record_served(sent_at, CALLER);
    }
    advance(&mut checker, 4);
    assert_eq!(checker.finish().violations.len(), 1);
    for _ in 0..2 {
        checker.record_served(sent_at, CALLER);
    }
    assert_eq!(checker.finish().violations.len(), 0);
}

/// Guards against a request that counts as sent in the window and as served before it, since its caller recorded both at
/// other moments: with few requests, a single one fails the run.
#[test]
fn a_request_counts_in_the_second_in_which_it_was_sent() {
    let mut checker = open_flow_checker();
    advance(&mut checker, 10);
    let sent_at = checker.now();
    advance(&mut checker, 1);
    for at in std::iter::repeat_n(checker.now(), 17).chain([sent_at]) {
        checker.record_sent(at, CALLER);
        checker.record_served(at, CALLER);
    }
    advance(&mut checker, 6);
    assert_eq!(checker.finish().violations.len(), 0);
}

/// A packet of the flow that a balancer took from its caller.
fn taken_by(balancer: Ipv4Addr) -> Packet {
    Packet {
        tag: RelayTag::new(Mode::Lookup, balancer),
        ..request()
    }
}

/// Guards against a check that waits for a further packet or for the end of the two seconds: the caller may be
/// content with the answer to its next request, or send none.
#[test]
fn three_stray_packets_within_two_seconds_are_a_violation_at_once() {
    let checker = open_flow_checker();
    for expected in [0, 0, 1] {
        checker.check_stray(OTHER.ip, &request());
        assert_eq!(violations(&checker).len(), expected);
    }
}

/// Guards against a check that lets a copy at the owner in the same moment clear the packets at others. On
/// slower links it arrives later than they do.
#[test]
fn a_packet_at_the_owner_clears_no_stray_packet_of_the_same_two_seconds() {
    let checker = open_flow_checker();
    for expected in [0, 0, 1] {
        checker.check_stray(OTHER.ip, &request());
        checker.check_delivery(OWNER, &request());
        assert_eq!(violations(&checker).len(), expected);
    }
}

/// Guards against a check that counts stray packets of more than two seconds between which packets reached
/// the owner.
#[test]
fn stray_packets_that_a_delivery_and_two_seconds_part_are_no_violation() {
    let mut checker = open_flow_checker();
    for _ in 0..3 {
        checker.check_stray(OTHER.ip, &request());
        advance(&mut checker, 3);
        checker.check_delivery(OWNER, &request());
    }
    assert_eq!(violations(&checker).len(), 0);
}

/// Guards against a check whose two seconds begin with the first stray packet: any two seconds count,
/// and the flow may have been idle before.
#[test]
fn stray_packets_of_a_flow_that_was_idle_are_a_violation_at_once() {
    let mut checker = open_flow_checker();
    advance(&mut checker, 2);
    for _ in 0..3 {
        checker.check_stray(OTHER.ip, &request());
    }
    assert_eq!(violations(&checker).len(), 1);
}

/// Guards against an exemption of all flows while any balancer is disrupted.
#[test]
fn stray_packets_count_unless_the_balancer_that_took_them_was_disrupted() {
    let other_balancer = Ipv4Addr::new(127, 40, 1, 11);
    for (taker, in_touch) in [(BALANCER, 1), (other_balancer, 0)] {
        let mut checker = open_flow_checker();
        checker.lock().balancers.push(other_balancer);
        advance(&mut checker, 2);
        checker.record_disruption(other_balancer);
        for _ in 0..3 {
            checker.check_stray(OTHER.ip, &taken_by(taker));
        }
        assert_eq!(violations_in_touch(&checker), in_touch, "{taker}");
    }
}

/// Guards against a check that forgets what came before the end or a disruption of the owner.
#[test]
fn stray_packets_before_the_end_or_a_disruption_of_the_owner_are_a_violation() {
    let disrupt = |checker: &InvariantChecker| checker.record_disruption(OWNER.ip);
    let end = |checker: &InvariantChecker| checker.set_live(OWNER, false);
    for change in [disrupt, end] {
        let mut checker = open_flow_checker();
        for _ in 0..3 {
            checker.check_stray(OTHER.ip, &request());
        }
        advance(&mut checker, 2);
        change(&checker);
        checker.check_stray(OTHER.ip, &request());
        assert_eq!(violations(&checker).len(), 1);
    }
}

/// Guards against a check that applies what holds later to packets of a disrupted owner.
#[test]
fn stray_packets_of_a_disrupted_owner_do_not_count_later() {
    let mut checker = open_flow_checker();
    checker.record_disruption(OWNER.ip);
    for _ in 0..3 {
        checker.check_stray(OTHER.ip, &request());
    }
    advance(&mut checker, 10);
    checker.check_delivery(OWNER, &request());
    assert_eq!(violations_in_touch(&checker), 0);
}

/// Guards against a check that counts what a balancer took too soon after a disruption, because the two
/// seconds end later.
#[test]
fn stray_packets_that_a_disrupted_balancer_took_do_not_count_later() {
    let mut checker = open_flow_checker();
    checker.record_disruption(BALANCER);
    advance(&mut checker, 3);
    checker.check_delivery(OWNER, &request());
    for _ in 0..3 {
        checker.check_stray(OTHER.ip, &taken_by(BALANCER));
    }
    advance(&mut checker, 3);
    checker.check_delivery(OWNER, &request());
    assert_eq!(violations_in_touch(&checker), 0);
}

/// Guards against a check that excuses stray packets because an instance was away: its backend server lives.
#[test]
fn stray_packets_are_a_violation_whatever_was_disrupted() {
    for disrupted in [BALANCER, OWNER.ip] {
        let checker = open_flow_checker();
        checker.record_disruption(disrupted);
        for expected in [0, 0, 1] {
            checker.check_stray(OTHER.ip, &taken_by(BALANCER));
            assert_eq!(violations(&checker).len(), expected, "{disrupted}");
        }
    }
}

/// A checker of a run in which everything was lost and is back, with a flow that is older than ten seconds.
fn lost_checker() -> InvariantChecker {
    let mut checker = open_flow_checker();
    advance(&mut checker, 11);
    checker.record_loss();
    checker.set_live(OWNER, false);
    checker.record_caller_packet(&request());
    checker.record_return();
    checker
}

/// Guards against a loss after which callers wait for their deadlines, or nobody counts those that were told.
#[test]
fn callers_of_dead_flows_are_to_be_told_in_time() {
    for delay in [0, 3] {
        let mut checker = lost_checker();
        checker.record_caller_packet(&request());
        advance(&mut checker, delay);
        checker.check_reset(&request().flow, BALANCER);
        let summary = checker.finish();
        assert_eq!(summary.told_after.len(), 1);
        let is_late = summary
            .violations
            .iter()
            .any(|v| v.contains("was told after"));
        assert_eq!(is_late, delay == 3);
    }
}

/// Guards against a check that passes as no caller was told at all, and one that counts a single packet, which may be lost.
#[test]
fn a_caller_of_a_dead_flow_that_asks_twice_is_to_be_told() {
    for packets in [1, 2] {
        let mut checker = lost_checker();
        for _ in 0..packets {
            checker.record_caller_packet(&request());
        }
        advance(&mut checker, 3);
        assert_eq!(violations(&checker).len(), usize::from(packets == 2));
    }
}

/// Guards against a check that fails for flows which agents cannot know of: young ones, and those of a backend server that
/// was leaving and does not return.
#[test]
fn young_flows_and_those_of_leaving_backend_servers_are_exempt() {
    for age in [0, 11] {
        let mut checker = open_flow_checker();
        advance(&mut checker, age);
        if age > 0 {
            checker.record_leaving(OWNER);
        }
        checker.record_loss();
        checker.set_live(OWNER, false);
        checker.record_return();
        checker.record_caller_packet(&request());
        checker.record_caller_packet(&request());
        advance(&mut checker, 3);
        assert!(violations(&checker).is_empty());
    }
}
