//! At-most-once record of non-idempotent requests.
//!
//! A first attempt runs on this record alone. A repeat must find the record of the first attempt,
//! or it is refused: another agent may have run it.

use std::collections::{HashMap, VecDeque};

use super::{Effect, Outcome, Request, RequestId, Ticket};
use crate::time::Millis;
use crate::verdict::{Refusal, Verdict};

/// Records kept at the most.
const MAX_RECORDS: usize = 20_000;
/// How long the record of an ended request is kept.
const RECORD_RETENTION: Millis = Millis(600_000);

/// What the record says about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It has not been seen; run it.
    Run,
    /// It ran; repeat the answer of this ticket.
    Replay(Ticket),
    /// It must not run now.
    Refuse(Verdict, Refusal),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Pending,
    Answered,
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    ticket: Ticket,
    fingerprint: u64,
    state: State,
}

/// The records, oldest ended first.
#[derive(Clone, Debug, Default)]
pub struct Records {
    by_id: HashMap<RequestId, Record>,
    ended: VecDeque<(Millis, RequestId, Ticket)>,
}

impl Records {
    /// Decides about a request and records it if it is to run.
    pub fn admit(&mut self, id: &RequestId, request: &Request) -> Decision {
        if let Some(record) = self.by_id.get(id) {
            return record.decide(request);
        }
        if request.attempt > 1 {
            return Decision::Refuse(Verdict::MayHaveRun, Refusal::NoRecord);
        }
        let record = Record {
            ticket: request.ticket,
            fingerprint: request.fingerprint,
            state: State::Pending,
        };
        self.by_id.insert(id.clone(), record);
        Decision::Run
    }

    /// Notes how a request ended. One that provably did not run may be sent again.
    pub fn record_outcome(&mut self, id: &RequestId, outcome: Outcome, now: Millis) {
        let state = match outcome {
            Outcome::Shed | Outcome::Declined | Outcome::Unreachable => return self.remove(id),
            Outcome::Answered { .. } => State::Answered,
            Outcome::Broken | Outcome::Late | Outcome::Aborted => State::Unknown,
        };
        if let Some(record) = self.by_id.get_mut(id) {
            record.state = state;
            self.ended.push_back((now, id.clone(), record.ticket));
        }
    }

    /// Drops the record of a request that did not run.
    pub fn remove(&mut self, id: &RequestId) {
        self.by_id.remove(id);
    }

    /// Drops records that are too old or too many.
    pub fn expire(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        while let Some((at, _, _)) = self.ended.front() {
            let is_old = now.since(*at) > RECORD_RETENTION;
            if !is_old && self.ended.len() <= MAX_RECORDS {
                return;
            }
            if let Some((_, id, ticket)) = self.ended.pop_front() {
                self.by_id.remove(&id);
                effects.push(Effect::Forget(ticket));
            }
        }
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether nothing is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}

impl Record {
    fn decide(&self, request: &Request) -> Decision {
        if self.fingerprint != request.fingerprint {
            let verdict = if request.attempt > 1 {
                Verdict::MayHaveRun
            } else {
                Verdict::NotRun
            };
            return Decision::Refuse(verdict, Refusal::IdReused);
        }
        match self.state {
            State::Pending => Decision::Refuse(Verdict::MayHaveRun, Refusal::StillRunning),
            State::Answered => Decision::Replay(self.ticket),
            State::Unknown => Decision::Refuse(Verdict::MayHaveRun, Refusal::OutcomeUnknown),
        }
    }
}
