//! Invariants of the agent's reducer over arbitrary event orders.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use buckthornlink_core::agent::{Effect, Event, FlowId, Outcome, Ticket};
use buckthornlink_core::member::ZoneRecord;
use buckthornlink_core::{Millis, Verdict, ZoneTag};
use common::{ANSWERED, Harness, request};
use proptest::prelude::*;

/// One step of a test; tickets are given out by the test itself.
#[derive(Clone, Debug)]
enum Step {
    Ask {
        id: u8,
        attempt: u32,
        idempotent: bool,
        patience: u64,
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
    Wait {
        millis: u64,
    },
    Pass {
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
            |(id, attempt, idempotent, patience)| Step::Ask { id, attempt, idempotent, patience }
        ),
        6 => (any::<usize>(), any_outcome()).prop_map(|(pick, outcome)| Step::Finish { pick, outcome }),
        1 => any::<usize>().prop_map(|pick| Step::Cancel { pick }),
        1 => any::<bool>().prop_map(|out| Step::Zone { out }),
        1 => any::<bool>().prop_map(|is_up| Step::Health { is_up }),
        1 => Just(Step::OpenFlow),
        1 => prop::bool::weighted(0.05).prop_map(|d| if d { Step::Drain } else { Step::OpenFlow }),
        3 => (0_u64..300).prop_map(|millis| Step::Wait { millis }),
        2 => (0_u64..100).prop_map(|millis| Step::Pass { millis }),
    ]
}

/// What the test knows of the requests, from the effects alone.
#[derive(Default)]
struct Ledger {
    ids: BTreeMap<Ticket, u8>,
    running: BTreeSet<Ticket>,
    ran: BTreeSet<Ticket>,
    excused: BTreeSet<Ticket>,
    runs: BTreeMap<u8, u32>,
    waiting: BTreeSet<Ticket>,
}

impl Ledger {
    fn note(&mut self, effects: &[Effect], limit: u32, is_out: bool) {
        for effect in effects {
            if let Effect::Run(ticket)
            | Effect::Refuse { ticket, .. }
            | Effect::Replay { ticket, .. } = effect
            {
                self.waiting.remove(ticket);
            }
            match effect {
                Effect::Run(ticket) => {
                    assert!(!is_out, "work was started in a zone that is out");
                    self.running.insert(*ticket);
                    self.ran.insert(*ticket);
                    if let Some(id) = self.ids.get(ticket) {
                        let runs = self.runs.entry(*id).or_default();
                        *runs += 1;
                        assert_eq!(*runs, 1, "request {id} was run twice");
                    }
                    assert!(self.running.len() <= limit as usize + self.excused.len());
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

    /// A run that provably did not happen does not count.
    fn finish(&mut self, ticket: Ticket, outcome: Outcome) {
        self.running.remove(&ticket);
        self.excused.remove(&ticket);
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

    fn pick(&self, pick: usize) -> Option<Ticket> {
        let count = self.running.len().max(1);
        self.running.iter().nth(pick % count).copied()
    }
}

fn play(steps: Vec<Step>) {
    let mut harness = Harness::cold();
    let mut ledger = Ledger::default();
    let mut seq = 0;
    for (index, step) in steps.into_iter().enumerate() {
        let ticket = Ticket(index as u64);
        let effects = match step {
            Step::Ask {
                id,
                attempt,
                idempotent,
                patience,
            } => {
                let mut asked = request(ticket.0, &format!("r{id}"), attempt);
                asked.idempotent = idempotent;
                asked.deadline = harness.now + Millis(patience);
                if !idempotent {
                    ledger.ids.insert(ticket, id);
                }
                ledger.waiting.insert(ticket);
                harness.ask(asked)
            }
            Step::Finish { pick, outcome } => {
                let Some(ticket) = ledger.pick(pick) else {
                    continue;
                };
                ledger.finish(ticket, outcome);
                harness.finish(ticket.0, outcome)
            }
            Step::Cancel { pick } => {
                let Some(ticket) = ledger.pick(pick) else {
                    continue;
                };
                ledger.running.remove(&ticket);
                harness.state.reduce(Event::Cancelled(ticket), harness.now)
            }
            Step::Zone { out } => {
                seq += 1;
                harness.ack(|ack| {
                    ack.zones = vec![ZoneRecord {
                        zone: ZoneTag(1),
                        seq,
                        out,
                    }];
                })
            }
            Step::Health { is_up } => harness.state.reduce(Event::Health { is_up }, harness.now),
            Step::OpenFlow => harness
                .state
                .reduce(Event::FlowAsked(FlowId(ticket.0)), harness.now),
            Step::Drain => harness.state.reduce(Event::Drain, harness.now),
            Step::Pass { millis } => {
                harness.now = harness.now + Millis(millis);
                Vec::new()
            }
            Step::Wait { millis } => {
                harness.now = harness.now + Millis(millis);
                harness.state.reduce(Event::Tick, harness.now)
            }
        };
        // A limit that falls does not stop what runs already.
        let over = ledger.running.iter().skip(harness.state.limit() as usize);
        ledger.excused = over.copied().collect();
        let is_out = harness.state.is_zone_out();
        ledger.note(&effects, harness.state.limit(), is_out);
        assert_eq!(harness.state.running(), ledger.running.len());
        assert_eq!(
            harness.state.queued(),
            ledger.waiting.len(),
            "a request was forgotten"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    #[test]
    fn no_request_runs_twice_and_refusals_are_true(
        steps in prop::collection::vec(any_step(), 1..150),
    ) {
        play(steps);
    }
}
