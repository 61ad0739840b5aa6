//! The rate of new flows that a cold backend server gets, whatever ends and starts again beside it.

mod datagram;

use std::sync::Arc;

use buckthornlink_core::datagram::{
    BackendHeartbeat, Connection, Effect, Event, FlowDigest, Mode, SavedFlow,
};
use buckthornlink_core::member::{ZoneRecord, ZoneSeq};
use buckthornlink_core::{BootId, Millis, ZoneTag};

use datagram::{AgentDriver, flow, heartbeat, opening, syn_ack, table};

/// New flows in a second that the configuration of the test drivers allows a cold backend server: its
/// rate and a burst of two.
const LIMIT: usize = 12;
const WINDOW: Millis = Millis(1_000);
const HEARTBEAT_INTERVAL: Millis = Millis(1_200);
const STEP: Millis = Millis(20);

fn cold(seq: u64) -> BackendHeartbeat {
    BackendHeartbeat {
        cold: Millis(8_000),
        ..heartbeat(seq)
    }
}

/// Offers a flow every [`STEP`] until `end`; returns when the backend server got one.
fn offer_until(agent: &mut AgentDriver, end: Millis) -> Vec<Millis> {
    let mut delivered = Vec::new();
    while agent.now < end {
        agent.now = agent.now + STEP;
        if agent.now.0.is_multiple_of(HEARTBEAT_INTERVAL.0) {
            agent.heartbeat(cold(agent.now.0));
        }
        let port = u16::try_from(agent.now.0 / STEP.0).unwrap();
        let effects = agent.packet_from_peer(opening(port), Mode::Placed);
        let is_delivered = effects.iter().any(|e| matches!(e, Effect::Deliver(_)));
        delivered.extend(is_delivered.then_some(agent.now));
    }
    delivered
}

/// Maximum of deliveries in any second.
fn most_in_a_second(delivered: &[Millis]) -> usize {
    let in_window = |from: &Millis| {
        let is_inside = |at: &&Millis| **at >= *from && **at < *from + WINDOW;
        delivered.iter().filter(is_inside).count()
    };
    delivered.iter().map(in_window).max().unwrap_or(0)
}

/// Guards against a cold backend server that gets its rate twice in a second, as its agent ends and the
/// next process does not know what was admitted.
#[test]
fn a_restarted_agent_does_not_admit_the_rate_of_the_same_second_again() {
    for (seq, restart) in [(2, 10), (2, 150), (40, 400), (1, 150)] {
        let mut agent = AgentDriver::ready();
        agent.heartbeat(cold(2));
        let killed_at = agent.now + Millis(3_300);
        let mut delivered = offer_until(&mut agent, killed_at);
        let mut next = AgentDriver::started_at(killed_at + Millis(restart));
        next.heartbeat(cold(seq));
        delivered.extend(offer_until(&mut next, killed_at + Millis(3_000)));
        assert!(delivered.len() >= 4 * LIMIT, "{seq}, {restart}");
        assert_eq!(most_in_a_second(&delivered), LIMIT, "{seq}, {restart}");
    }
}

/// Guards against the same after a quick restart of the backend server itself.
#[test]
fn a_restarted_backend_server_does_not_get_the_rate_of_the_same_second_again() {
    let mut agent = AgentDriver::ready();
    agent.heartbeat(cold(2));
    let restarted_at = agent.now + Millis(1_300);
    let mut delivered = offer_until(&mut agent, restarted_at);
    agent.heartbeat(BackendHeartbeat {
        born: Some(9_000),
        ..cold(1)
    });
    delivered.extend(offer_until(&mut agent, restarted_at + Millis(3_000)));
    assert_eq!(most_in_a_second(&delivered), LIMIT);
}

/// Guards against callers that wait for a second after a loss of power: the machine has booted, so no earlier process has
/// admitted flows in that second.
#[test]
fn a_cold_backend_server_gets_its_rate_at_once_after_a_boot_of_the_machine() {
    let mut agent = AgentDriver::without_backend();
    let mut digest = FlowDigest::new(BootId(4_000), [SavedFlow::held(flow(1), 501)]);
    digest.saved_at = agent.now + Millis(1);
    agent.reduce(Event::SavedFlows(digest));
    agent.heartbeat(cold(2));
    let end = agent.now + Millis(3_000);
    let delivered = offer_until(&mut agent, end);
    assert!(delivered.len() >= 3 * LIMIT, "{}", delivered.len());
    assert_eq!(most_in_a_second(&delivered), LIMIT);
}

/// Guards against the same conclusion where an earlier process ran since the boot of the machine: the backend server is older than
/// this one.
#[test]
fn a_second_process_after_a_boot_of_the_machine_waits_for_a_second() {
    let mut agent = AgentDriver::started_at_time(BootId(9_000));
    let mut digest = FlowDigest::new(BootId(4_000), [SavedFlow::held(flow(1), 501)]);
    digest.saved_at = agent.now + Millis(1);
    agent.reduce(Event::SavedFlows(digest));
    agent.heartbeat(cold(2));
    let end = agent.now + Millis(900);
    assert_eq!(offer_until(&mut agent, end), []);
}

#[test]
fn a_restarted_agent_does_not_hold_a_warm_backend_server_back() {
    let mut agent = AgentDriver::without_backend();
    agent.heartbeat(heartbeat(40));
    let end = agent.now + STEP;
    assert_eq!(offer_until(&mut agent, end).len(), 1);
}

/// Guards against a cold backend server whose rate is not enforced, since it is higher than the number of admissions that are remembered.
#[test]
fn a_high_rate_of_a_cold_start_is_enforced() {
    const RATE: u32 = 260;
    let mut agent = AgentDriver::ready();
    let mut table = table(2);
    for limits in table.services.values_mut() {
        limits.cold_rate = RATE * 1_000;
        limits.connections = 0;
    }
    agent.reduce(Event::Table(Arc::new(table)));
    agent.run(Millis(1_200));
    agent.heartbeat(cold(2));
    let start = agent.now;
    let mut delivered = Vec::new();
    for port in 1..=1_600 {
        agent.now = start + Millis(u64::from(port) * 5 / 8);
        let effects = agent.packet_from_peer(opening(port), Mode::Placed);
        let is_delivered = effects.iter().any(|e| matches!(e, Effect::Deliver(_)));
        delivered.extend(is_delivered.then_some(agent.now));
        agent.packet_from_backend(syn_ack(port, 500));
    }
    let limit = usize::try_from(RATE).unwrap() + 2;
    assert_eq!(most_in_a_second(&delivered), limit);
}

fn zone_record(number: u64, out: bool) -> Event {
    let seq = ZoneSeq { epoch: 1, number };
    let zone = ZoneTag::of("a");
    Event::Zone(ZoneRecord { zone, seq, out })
}

/// Offers many flows at once; returns how many the backend server got.
fn offer_at_once(agent: &mut AgentDriver) -> usize {
    let mut delivered = 0;
    for port in 1..100 {
        let effects = agent.packet_from_peer(opening(port), Mode::Placed);
        delivered += effects
            .iter()
            .filter(|e| matches!(e, Effect::Deliver(_)))
            .count();
        agent.packet_from_backend(syn_ack(port, 500));
    }
    delivered
}

/// Guards against a backend server that gets more than its rate, as it became cold shortly before its zone returned to service and has
/// yet to say so.
#[test]
fn a_zone_that_returns_is_cold_until_its_backend_servers_are_heard() {
    let mut agent = AgentDriver::ready();
    agent.run(Millis(1_200));
    agent.reduce(zone_record(1, true));
    agent.heartbeat(heartbeat(2));
    agent.run(Millis(600));
    agent.reduce(zone_record(2, false));
    assert_eq!(offer_at_once(&mut agent), LIMIT);
    agent.heartbeat(heartbeat(3));
    let effects = agent.packet_from_peer(opening(100), Mode::Placed);
    assert!(matches!(effects[..], [Effect::Deliver(_)]), "{effects:?}");
}

/// Guards against the same beside an agent that was paused meanwhile: the first heartbeat that it hears of then was sent
/// before the return.
#[test]
fn a_heartbeat_that_waited_for_a_paused_agent_ends_no_cold_start() {
    for pause in [500, 3_000] {
        let mut agent = AgentDriver::ready();
        agent.run(Millis(1_200));
        agent.reduce(zone_record(1, true));
        agent.heartbeat(heartbeat(2));
        agent.run(Millis(600));
        agent.advance(Millis(pause));
        agent.reduce(zone_record(2, false));
        agent.heartbeat(heartbeat(3));
        assert_eq!(offer_at_once(&mut agent), LIMIT, "{pause} ms");
        agent.run(HEARTBEAT_INTERVAL);
        agent.heartbeat(heartbeat(4));
        let effects = agent.packet_from_peer(opening(100), Mode::Placed);
        assert!(matches!(effects[..], [Effect::Deliver(_)]), "{effects:?}");
    }
}

/// Guards against a backend server that crashes, listens again at once, is cold, and is taken for the one before until its first
/// heartbeat.
#[test]
fn a_backend_server_that_was_away_for_a_moment_is_cold_until_it_is_heard() {
    let mut agent = AgentDriver::ready();
    agent.reduce(Event::BackendConnection(Connection::Accepted));
    agent.run(Millis(1_200));
    agent.heartbeat(heartbeat(2));
    agent.reduce(Event::BackendConnection(Connection::Closed));
    agent.run(Millis(200));
    agent.reduce(Event::BackendConnection(Connection::AcceptedAgain));
    assert_eq!(offer_at_once(&mut agent), LIMIT);
    agent.run(Millis(600));
    agent.heartbeat(heartbeat(3));
    let effects = agent.packet_from_peer(opening(100), Mode::Placed);
    assert!(matches!(effects[..], [Effect::Deliver(_)]), "{effects:?}");
}

/// Guards against callers that are held back wherever connections are reset.
#[test]
fn a_backend_server_that_closes_a_connection_and_listens_on_is_not_cold() {
    let mut agent = AgentDriver::ready();
    for connection in [
        Connection::Accepted,
        Connection::Closed,
        Connection::Accepted,
    ] {
        agent.reduce(Event::BackendConnection(connection));
    }
    assert_eq!(offer_at_once(&mut agent), 99);
}

/// Guards against a backend server that restarts while its agent is paused: the agent sees a connection closed and the next one
/// accepted.
#[test]
fn a_connection_that_closed_during_a_pause_leaves_a_backend_server_cold_until_it_is_heard() {
    let mut agent = AgentDriver::ready();
    agent.reduce(Event::BackendConnection(Connection::Accepted));
    agent.run(Millis(1_200));
    agent.heartbeat(heartbeat(2));
    agent.advance(Millis(600));
    agent.reduce(Event::BackendConnection(Connection::Closed));
    agent.reduce(Event::BackendConnection(Connection::Accepted));
    assert_eq!(offer_at_once(&mut agent), LIMIT);
}
