//! Decisions of the agent's reducer on single requests, flows and control messages.

mod common;

use buckthornlink_core::agent::{Effect, Event, FlowId, Outcome, Priority, Ticket};
use buckthornlink_core::balancer::Candidate;
use buckthornlink_core::member::{Phase, ZoneRecord};
use buckthornlink_core::message::Message;
use buckthornlink_core::verdict::Refusal;
use buckthornlink_core::{Millis, Verdict, ZoneTag};
use common::{ANSWERED, Harness, addr, request};

#[test]
fn a_first_attempt_runs_once_and_its_repeat_is_replayed() {
    let mut harness = Harness::warm();
    assert_eq!(harness.submit(request(1, "r", 1)), [Effect::Run(Ticket(1))]);
    let running = harness.submit(request(2, "r", 2));
    harness.finish(1, ANSWERED);
    let replayed = harness.submit(request(3, "r", 2));
    let mut changed = request(4, "r", 2);
    changed.fingerprint += 1;
    let reused = harness.submit(changed);
    let unrecorded = harness.submit(request(5, "other", 2));
    insta::assert_debug_snapshot!((running, replayed, reused, unrecorded));
}

#[test]
fn a_request_with_unknown_outcome_is_never_run_again() {
    for outcome in [Outcome::Broken, Outcome::Late, Outcome::Aborted] {
        let mut harness = Harness::warm();
        harness.submit(request(1, "r", 1));
        harness.finish(1, outcome);
        let effects = harness.submit(request(2, "r", 1));
        let refused = Effect::Refuse {
            ticket: Ticket(2),
            verdict: Verdict::MayHaveRun,
            refusal: Refusal::OutcomeUnknown,
        };
        assert_eq!(effects, [refused]);
    }
}

#[test]
fn a_request_that_did_not_run_may_be_retried() {
    for outcome in [Outcome::Shed, Outcome::Declined, Outcome::Unreachable] {
        let mut harness = Harness::warm();
        harness.submit(request(1, "r", 1));
        harness.finish(1, outcome);
        assert_eq!(harness.submit(request(2, "r", 1)), [Effect::Run(Ticket(2))]);
    }
}

#[test]
fn the_limit_of_a_cold_backend_server_grows_on_success_only() {
    let mut harness = Harness::cold();
    let mut limits = Vec::new();
    for ticket in 1..=60 {
        harness.submit(request(ticket, &format!("r{ticket}"), 1));
        harness.finish(ticket, ANSWERED);
        limits.push(harness.state.limit());
    }
    insta::assert_compact_debug_snapshot!(limits);
}

#[test]
fn signs_of_a_restart_reset_the_limit_at_once() {
    let replaced = Outcome::Answered { boot: Some(2) };
    for (outcome, times) in [(replaced, 1), (Outcome::Broken, 1), (Outcome::Shed, 2)] {
        let mut harness = Harness::warm();
        assert_eq!(harness.state.limit(), 8);
        for ticket in 1..=times {
            harness.submit(request(ticket, &format!("r{ticket}"), 1));
            harness.finish(ticket, outcome);
        }
        assert_eq!(harness.state.limit(), 1, "after {outcome:?}");
    }
}

#[test]
fn consecutive_slow_answers_reset_the_limit() {
    let mut harness = Harness::warm();
    for ticket in 1..=3 {
        harness.submit(request(ticket, &format!("r{ticket}"), 1));
        harness.finish_after(ticket, ANSWERED, Millis(500));
    }
    assert_eq!(harness.state.limit(), 1);
}

#[test]
fn admitted_requests_run_first_and_classes_alternate() {
    let mut harness = Harness::cold();
    harness.submit(request(1, "running", 1));
    for (ticket, class) in [(2, "a"), (3, "a"), (4, "a"), (5, "b")] {
        let mut waiting = request(ticket, &format!("r{ticket}"), 1);
        waiting.class = class.into();
        harness.submit(waiting);
    }
    let mut admitted = request(6, "r6", 1);
    admitted.priority = Priority::Admitted;
    harness.submit(admitted);
    let mut order: Vec<Ticket> = Vec::new();
    let mut running = vec![Ticket(1)];
    while let Some(ticket) = running.pop() {
        let effects = harness.finish(ticket.0, Outcome::Declined);
        let started = effects.iter().filter_map(|e| match e {
            Effect::Run(ticket) => Some(*ticket),
            _ => None,
        });
        running.extend(started);
        order.extend(running.last().copied());
    }
    let order: Vec<u64> = order.iter().map(|t| t.0).collect();
    assert_eq!(order, [6, 2, 5, 3, 4]);
}

#[test]
fn a_queued_request_past_its_deadline_is_refused_as_not_run() {
    let mut harness = Harness::cold();
    harness.submit(request(1, "running", 1));
    let mut waiting = request(2, "r2", 1);
    waiting.deadline = harness.now + Millis(50);
    assert_eq!(harness.submit(waiting), []);
    harness.now = harness.now + Millis(60);
    let effects = harness.state.reduce(Event::Tick, harness.now);
    let refused = Effect::Refuse {
        ticket: Ticket(2),
        verdict: Verdict::NotRun,
        refusal: Refusal::Deadline,
    };
    assert!(effects.contains(&refused), "{effects:?}");
}

#[test]
fn zone_out_aborts_requests_and_closes_flows_and_the_restored_zone_starts_cold() {
    let mut harness = Harness::warm();
    harness.open_flows(3);
    harness.submit(request(1, "running", 1));
    let record = ZoneRecord {
        zone: ZoneTag(1),
        seq: 1.into(),
        out: true,
    };
    let effects = harness.ack(|ack| ack.zones = vec![record]);
    insta::assert_debug_snapshot!(effects);
    harness.finish(1, Outcome::Aborted);
    let refused = Effect::Refuse {
        ticket: Ticket(2),
        verdict: Verdict::NotRun,
        refusal: Refusal::ZoneOut,
    };
    assert_eq!(harness.submit(request(2, "r2", 1)), [refused]);
    assert_eq!(
        harness
            .state
            .reduce(Event::FlowAsked(FlowId(9)), harness.now),
        [Effect::RefuseFlow(FlowId(9))]
    );
    harness.ack(|ack| {
        ack.zones = vec![ZoneRecord {
            seq: 2.into(),
            out: false,
            ..record
        }];
    });
    assert_eq!(harness.state.limit(), 1);
    assert_eq!(
        harness.submit(request(3, "r3", 1)),
        [Effect::Run(Ticket(3))]
    );
}

#[test]
fn a_drain_moves_flows_and_completes_when_idle() {
    let mut harness = Harness::warm();
    harness.open_flows(2);
    harness.submit(request(1, "running", 1));
    let effects = harness.state.reduce(Event::Drain, harness.now);
    assert!(effects.contains(&Effect::MoveFlows(vec![FlowId(0), FlowId(1)])));
    assert_eq!(
        harness
            .state
            .reduce(Event::FlowAsked(FlowId(9)), harness.now),
        [Effect::RefuseFlow(FlowId(9))]
    );
    harness.now = harness.now + Millis(2_000);
    let late = harness.submit(request(2, "r2", 1));
    assert!(matches!(
        late[0],
        Effect::Refuse {
            verdict: Verdict::NotRun,
            ..
        }
    ));
    harness.finish(1, ANSWERED);
    for flow in 0..2 {
        harness
            .state
            .reduce(Event::FlowClosed(FlowId(flow)), harness.now);
    }
    let effects = harness.state.reduce(Event::Tick, harness.now);
    assert!(effects.contains(&Effect::Drained));
    assert_eq!(harness.state.fact().phase, Phase::Left);
}

#[test]
fn openers_are_handed_off_at_most_twice() {
    let mut harness = Harness::warm();
    harness.open_flows(10);
    let rest = vec![Candidate {
        addr: addr(9),
        flows: 0,
    }];
    let opener = |hops| Event::Opener {
        hops,
        rest: rest.clone(),
    };
    let handed = [Effect::HandOn {
        to: addr(9),
        rest: vec![],
    }];
    assert_eq!(harness.state.reduce(opener(0), harness.now), handed);
    assert_eq!(harness.state.reduce(opener(1), harness.now), handed);
    assert_eq!(
        harness.state.reduce(opener(2), harness.now),
        [Effect::Accept]
    );
}

#[test]
fn an_agent_with_too_many_flows_asks_some_to_move() {
    let mut harness = Harness::warm();
    harness.open_flows(40);
    harness.ack(|ack| ack.flows = 30);
    harness.now = harness.now + Millis(1_000);
    let effects = harness.state.reduce(Event::Tick, harness.now);
    let moved = effects.iter().find_map(|e| match e {
        Effect::MoveFlows(flows) => Some(flows.len()),
        _ => None,
    });
    assert_eq!(moved, Some(5));
}

#[test]
fn a_failed_health_probe_alone_refuses_no_request() {
    let mut harness = Harness::warm();
    harness
        .state
        .reduce(Event::Health { is_up: false }, harness.now);
    assert_eq!(
        harness.submit(request(1, "r1", 1)),
        [Effect::Run(Ticket(1))]
    );
}

#[test]
fn an_agent_without_known_balancers_sends_hello() {
    let mut harness = Harness::cold();
    let effects = harness.state.reduce(Event::Tick, harness.now);
    let is_hello = |e: &Effect| matches!(e, Effect::Send { to, message: Message::Hello(_) } if *to == addr(250));
    assert!(effects.iter().any(is_hello), "{effects:?}");
}

#[test]
fn an_agent_whose_balancers_stop_answering_sends_hello() {
    let mut harness = Harness::warm();
    harness.ack(|_| {});
    let mut hellos = Vec::new();
    for step in 0..30 {
        harness.now = harness.now + Millis(100);
        let effects = harness.state.reduce(Event::Tick, harness.now);
        let is_hello = |e: &Effect| {
            matches!(
                e,
                Effect::Send {
                    message: Message::Hello(_),
                    ..
                }
            )
        };
        if effects.iter().any(is_hello) {
            hellos.push(step);
        }
    }
    assert!(hellos.first().is_some_and(|step| *step <= 15), "{hellos:?}");
    assert!(hellos.len() >= 4, "{hellos:?}");
}
