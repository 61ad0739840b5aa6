//! Each promise that the ledger judges, broken once.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use buckthornlink_core::datagram::{Flags, Flow, Packet, RelayTag};

use super::{Ledger, Start};

const BALANCER: Ipv4Addr = Ipv4Addr::new(127, 40, 1, 10);
const OWNER: Start = Start {
    ip: Ipv4Addr::new(127, 40, 2, 10),
    born: 1,
};
const OTHER: Start = Start {
    ip: Ipv4Addr::new(127, 40, 2, 11),
    born: 1,
};

fn route() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

fn request() -> Packet {
    let caller = SocketAddrV4::new(Ipv4Addr::new(127, 40, 9, 1), 1_025);
    Packet {
        flow: Flow {
            caller,
            route: route(),
        },
        flags: Flags::default(),
        seq: 7,
        ack: 0,
        len: 100,
        tag: RelayTag::direct(),
    }
}

/// A ledger in which a flow is open at [`OWNER`].
fn ledger() -> Ledger {
    let ledger = Ledger::new(vec![BALANCER]);
    ledger.set_live(OWNER, true);
    ledger.set_live(OTHER, true);
    ledger.set_target(route(), "token");
    ledger.take(OWNER, &request());
    ledger
}

fn wait(ledger: &mut Ledger, seconds: u64) {
    ledger.started -= Duration::from_secs(seconds);
}

/// What was broken, without the share served at the end.
fn broken(ledger: &Ledger) -> Vec<String> {
    let mut violations = ledger.close().violations;
    violations.retain(|v| !v.contains("served at the end"));
    violations
}

#[test]
fn a_reset_of_a_live_flow_is_a_violation_unless_its_sender_was_disturbed() {
    let mut calm = ledger();
    calm.reset(&request().flow, BALANCER);
    assert_eq!(broken(&calm).len(), 1);
    calm.disturb(BALANCER);
    calm.reset(&request().flow, BALANCER);
    assert_eq!(broken(&calm).len(), 0);
    wait(&mut calm, 5);
    calm.reset(&request().flow, BALANCER);
    assert_eq!(broken(&calm).len(), 1);
    calm.set_live(OWNER, false);
    calm.reset(&request().flow, BALANCER);
    assert_eq!(broken(&calm).len(), 0);
}

#[test]
fn packets_that_miss_their_owner_for_two_seconds_are_a_violation() {
    let mut ledger = ledger();
    for _ in 0..2 {
        ledger.stray(OTHER.ip, &request());
    }
    wait(&mut ledger, 2);
    ledger.stray(OTHER.ip, &request());
    assert_eq!(broken(&ledger).len(), 1);
    ledger.take(OWNER, &request());
    ledger.stray(OTHER.ip, &request());
    assert_eq!(broken(&ledger).len(), 0);
}

#[test]
fn a_request_that_runs_at_two_backend_servers_is_a_violation() {
    let ledger = ledger();
    ledger.take(OWNER, &request());
    assert_eq!(broken(&ledger).len(), 0);
    ledger.take(OTHER, &request());
    assert_eq!(broken(&ledger).len(), 1);
}

#[test]
fn a_flow_that_opens_after_a_departure_is_a_violation() {
    let mut ledger = ledger();
    ledger.leave(OWNER);
    ledger.open(OWNER, "brasov-a", "token", &request().flow);
    assert_eq!(broken(&ledger).len(), 0);
    wait(&mut ledger, 4);
    ledger.open(OWNER, "brasov-a", "token", &request().flow);
    assert_eq!(broken(&ledger).len(), 1);
}

#[test]
fn a_flow_that_opens_in_a_zone_out_is_a_violation_while_the_store_is_at_hand() {
    let mut ledger = ledger();
    ledger.set_zone_out("brasov-a", true);
    wait(&mut ledger, 6);
    ledger.open(OWNER, "brasov-a", "token", &request().flow);
    assert_eq!(broken(&ledger).len(), 1);
    ledger.disturb_store();
    ledger.open(OWNER, "brasov-a", "token", &request().flow);
    assert_eq!(broken(&ledger).len(), 0);
}

#[test]
fn a_flow_that_opens_by_an_old_version_is_a_violation() {
    let mut ledger = ledger();
    ledger.set_target(route(), "ledger");
    ledger.open(OWNER, "brasov-a", "token", &request().flow);
    assert_eq!(broken(&ledger).len(), 0);
    wait(&mut ledger, 4);
    ledger.open(OWNER, "brasov-a", "token", &request().flow);
    assert_eq!(broken(&ledger).len(), 1);
}

#[test]
fn callers_that_are_not_served_at_the_end_are_a_violation() {
    let mut ledger = ledger();
    wait(&mut ledger, 10);
    for _ in 0..20 {
        ledger.ask();
    }
    let since = ledger.now();
    for _ in 0..18 {
        ledger.serve(since);
    }
    wait(&mut ledger, 4);
    assert_eq!(ledger.close().violations.len(), 1);
    for _ in 0..2 {
        ledger.serve(since);
    }
    assert_eq!(ledger.close().violations.len(), 0);
}
