//! Invariants of the agent's reducer over arbitrary event orders.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use buckthornlink_core::agent::{Effect, Event, FlowId, Outcome, Ticket};
use buckthornlink_core::member::ZoneRecord;
use buckthornlink_core::{Millis, Verdict, ZoneTag};
use common::{ANSWERED, Harness, request};
use proptest::prelude::*;

/// One generated step; its index in the sequence becomes the ticket of a request. `pick` selects a
/// running request by index, modulo their number.
#[derive(Clone, Debug)]
enum Step {
    Request {
        id: u8,
        attempt: u32,
        idempotent: bool,
        timeout_ms: u64,
    },
    Finish {
        pick: usize,
        outcome: Outcome,
    },
    Cancel {
        pick: usize,
    },
    Zone {
        out: bool,
    },
    Health {
        is_up: bool,
    },
    OpenFlow,
    Drain,
    AdvanceAndTick {
        millis: u64,
    },
    Advance {
        millis: u64,
    },
}

fn any_outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        6 => Just(ANSWERED),
        1 => Just(Outcome::Answered { boot: Some(2) }),
        1 => Just(Outcome::Shed),
        1 => Just(Outcome::Declined),
        1 => Just(Outcome::Unreachable),
        1 => Just(Outcome::Broken),
        1 => Just(Outcome::Late),
    ]
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0_u8..12, 1_u32..3, prop::bool::weighted(0.2), 0_u64..500).prop_map(
            |(id, attempt, idempotent, timeout_ms)| Step::Request { id, attempt, idempotent, timeout_ms }
        ),
        6 => (any::<usize>(), any_outcome()).prop_map(|(pick, outcome)| Step::Finish { pick, outcome }),
        1 => any::<usize>().prop_map(|pick| Step::Cancel { pick }),
        1 => any::<bool>().prop_map(|out| Step::Zone { out }),
        1 => any::<bool>().prop_map(|is_up| Step::Health { is_up }),
        1 => Just(Step::OpenFlow),
        1 => prop::bool::weighted(0.05).prop_map(|d| if d { Step::Drain } else { Step::OpenFlow }),
        3 => (0_u64..300).prop_map(|millis| Step::AdvanceAndTick { millis }),
        2 => (0_u64..100).prop_map(|millis| Step::Advance { millis }),
    ]
}

/// Model of the requests, built from the steps and effects alone.
#[derive(Default)]
struct Model {
    ids: BTreeMap<Ticket, u8>,
    running: BTreeSet<Ticket>,
    ran: BTreeSet<Ticket>,
    over_limit: BTreeSet<Ticket>,
    runs: BTreeMap<u8, u32>,
    queued: BTreeSet<Ticket>,
}

impl Model {
    fn record(&mut self, effects: &[Effect], limit: u32, is_out: bool) {
        for effect in effects {
            if let Effect::Run(ticket)
            | Effect::Refuse { ticket, .. }
            | Effect::Replay { ticket, .. } = effect
            {
                self.queued.remove(ticket);
            }
            match effect {
                Effect::Run(ticket) => {
                    assert!(
                        !is_out,
                        "a request was started in a zone that is out of service"
                    );
                    self.running.insert(*ticket);
                    self.ran.insert(*ticket);
                    if let Some(id) = self.ids.get(ticket) {
                        let runs = self.runs.entry(*id).or_default();
                        *runs += 1;
                        assert_eq!(*runs, 1, "request {id} was run twice");
                    }
                    assert!(self.running.len() <= limit as usize + self.over_limit.len());
                }
                Effect::Refuse {
                    ticket,
                    verdict: Verdict::NotRun,
                    ..
                } => {
                    assert!(
                        !self.ran.contains(ticket),
                        "{ticket:?} ran, but was refused as not run"
                    );
                }
                _ => {}
            }
        }
    }

    /// Ends a run; does not count it if the outcome says that the request did not run.
    fn finish(&mut self, ticket: Ticket, outcome: Outcome) {
        self.running.remove(&ticket);
        self.over_limit.remove(&ticket);
        if matches!(
            outcome,
            Outcome::Shed | Outcome::Declined | Outcome::Unreachable
        ) {
            self.ran.remove(&ticket);
            if let Some(id) = self.ids.get(&ticket) {
                self.runs.remove(id);
            }
        }
    }

    fn running_at(&self, pick: usize) -> Option<Ticket> {
        let count = self.running.len().max(1);
        self.running.iter().nth(pick % count).copied()
    }
}

fn run_steps(steps: Vec<Step>) {
    let mut harness = Harness::cold();
    let mut model = Model::default();
    let mut seq = 0;
    for (index, step) in steps.into_iter().enumerate() {
        let ticket = Ticket(index as u64);
        let effects = match step {
            Step::Request {
                id,
                attempt,
                idempotent,
                timeout_ms,
            } => {
                let mut request = request(ticket.0, &format!("r{id}"), attempt);
                request.idempotent = idempotent;
                request.deadline = harness.now + Millis(timeout_ms);
                if !idempotent {
                    model.ids.insert(ticket, id);
                }
                model.queued.insert(ticket);
                harness.submit(request)
            }
            Step::Finish { pick, outcome } => {
                let Some(ticket) = model.running_at(pick) else {
                    continue;
                };
                model.finish(ticket, outcome);
                harness.finish(ticket.0, outcome)
            }
            Step::Cancel { pick } => {
                let Some(ticket) = model.running_at(pick) else {
                    continue;
                };
                model.running.remove(&ticket);
                harness.state.reduce(Event::Cancelled(ticket), harness.now)
            }
            Step::Zone { out } => {
                seq += 1;
                harness.ack(|ack| {
                    ack.zones = vec![ZoneRecord {
                        zone: ZoneTag(1),
                        seq: seq.into(),
                        out,
                    }];
                })
            }
            Step::Health { is_up } => harness.state.reduce(Event::Health { is_up }, harness.now),
            Step::OpenFlow => harness
                .state
                .reduce(Event::FlowAsked(FlowId(ticket.0)), harness.now),
            Step::Drain => harness.state.reduce(Event::Drain, harness.now),
            Step::Advance { millis } => {
                harness.now = harness.now + Millis(millis);
                Vec::new()
            }
            Step::AdvanceAndTick { millis } => {
                harness.now = harness.now + Millis(millis);
                harness.state.reduce(Event::Tick, harness.now)
            }
        };
        // A falling limit does not abort requests that already run.
        let excess = model.running.iter().skip(harness.state.limit() as usize);
        model.over_limit = excess.copied().collect();
        let is_out = harness.state.is_zone_out();
        model.record(&effects, harness.state.limit(), is_out);
        assert_eq!(harness.state.running(), model.running.len());
        assert_eq!(
            harness.state.queued(),
            model.queued.len(),
            "a queued request was lost, or kept after it was answered"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    #[test]
    fn no_request_runs_twice_and_refusals_are_true(
        steps in prop::collection::vec(any_step(), 1..150),
    ) {
        run_steps(steps);
    }
}
