//! Idle flows of a backend server that has ended: callers with connection pools hear of it before their
//! next request, which could not be repeated after it was sent.

mod datagram;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{BackendHeartbeat, Effect, Event, Mode};

use datagram::{AgentDriver, TICK_INTERVAL, answer, data, ending, flow, gone, heartbeat, is_reset};

/// Time within which the callers of idle flows hear of the end.
const NOTICE_TIME: Millis = Millis(400);

/// An agent with idle flows of two callers, each with an answered request.
fn with_idle_flows() -> AgentDriver {
    let mut agent = AgentDriver::ready();
    for port in [1, 2] {
        agent.open_flow(port);
        agent.packet_from_backend(answer(port));
    }
    agent
}

/// Ports of the flows that are reset within [`NOTICE_TIME`].
fn reset_ports(agent: &mut AgentDriver) -> Vec<u16> {
    let mut ports = Vec::new();
    for _ in 0..NOTICE_TIME.0 / TICK_INTERVAL.0 {
        for effect in agent.advance(TICK_INTERVAL) {
            if let Effect::Reset { flow, seq } = effect {
                assert_eq!(seq, data(1).ack, "near what the caller last acknowledged");
                ports.push(flow.caller.port());
            }
        }
    }
    ports.sort_unstable();
    ports
}

fn successor() -> BackendHeartbeat {
    BackendHeartbeat {
        id: "i-2".to_owned(),
        born: Some(6_000),
        ..heartbeat(1)
    }
}

/// Guards against a request that is lost because it finds its pooled connection dead.
#[test]
fn idle_flows_are_reset_when_their_backend_server_ends() {
    let ends = [
        [ending()].into_iter().chain(gone()).collect(),
        gone().to_vec(),
        vec![Event::BackendHeartbeat(successor())],
    ];
    for end in ends {
        let name = format!("{end:?}");
        let mut agent = with_idle_flows();
        for event in end {
            agent.reduce(event);
        }
        assert_eq!(reset_ports(&mut agent), [1, 2], "{name}");
        assert!(reset_ports(&mut agent).is_empty(), "{name}: once");
    }
}

/// Guards against a reset that overtakes an answer which the backend server sent before its end.
#[test]
fn an_answer_that_is_still_on_its_way_goes_before_the_reset() {
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    agent.reduce(ending());
    let ended = agent.end_backend();
    assert!(!ended.iter().any(is_reset), "{ended:?}");
    let late = agent.packet_from_backend(answer(1));
    assert!(late.contains(&Effect::SendToCaller), "{late:?}");
}

#[test]
fn flows_that_are_closed_or_were_never_acknowledged_are_not_reset() {
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    let mut close = data(1);
    close.flags.rst = true;
    agent.packet_from_peer(close, Mode::Known);
    agent.packet_from_peer(datagram::opening(2), Mode::Placed);
    agent.end_backend();
    assert!(reset_ports(&mut agent).is_empty());
}

/// A new boot of the backend server may already hold a flow of the same caller.
#[test]
fn a_flow_that_opened_again_at_the_next_boot_is_not_reset() {
    let mut agent = with_idle_flows();
    agent.reduce(Event::BackendHeartbeat(successor()));
    agent.open_flow(1);
    assert_eq!(reset_ports(&mut agent), [2]);
    assert!(agent.agent.flows().get(&flow(1)).is_some());
}
