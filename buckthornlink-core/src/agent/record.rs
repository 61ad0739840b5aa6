//! Records of non-idempotent requests, for at-most-once execution.
//!
//! A first attempt needs no earlier record. A retry is refused unless this agent has the record of
//! an earlier attempt, since another agent may have run the request.

use std::collections::{HashMap, VecDeque};

use super::{Effect, Outcome, Request, RequestId, Ticket};
use crate::time::Millis;
use crate::verdict::{Refusal, Verdict};

/// Maximum number of records of ended requests.
const MAX_ENDED_RECORDS: usize = 20_000;
/// Retention of the record of an ended request.
const RECORD_RETENTION: Millis = Millis(600_000);

/// Decision on a request, from its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordDecision {
    /// The request has no record; run it.
    Run,
    /// The request was answered; repeat the recorded response to this ticket.
    Replay(Ticket),
    /// The request must not run.
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

/// Records by request id, and the order in which their requests ended.
#[derive(Clone, Debug, Default)]
pub struct Records {
    by_id: HashMap<RequestId, Record>,
    ended: VecDeque<(Millis, RequestId, Ticket)>,
}

impl Records {
    /// Decides whether a request runs, and records it if so.
    pub fn admit(&mut self, id: &RequestId, request: &Request) -> RecordDecision {
        if let Some(record) = self.by_id.get(id) {
            return record.decide(request);
        }
        if request.attempt > 1 {
            return RecordDecision::Refuse(Verdict::MayHaveRun, Refusal::NoRecord);
        }
        let record = Record {
            ticket: request.ticket,
            fingerprint: request.fingerprint,
            state: State::Pending,
        };
        self.by_id.insert(id.clone(), record);
        RecordDecision::Run
    }

    /// Records the outcome of a request. The record of one that certainly did not run is removed,
    /// so that the caller may retry it.
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

    /// Removes the record of a request that did not run.
    pub fn remove(&mut self, id: &RequestId) {
        self.by_id.remove(id);
    }

    /// Drops records of ended requests that are past their retention or too many, oldest first.
    pub fn expire(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        while let Some((at, _, _)) = self.ended.front() {
            let is_old = now.since(*at) > RECORD_RETENTION;
            if !is_old && self.ended.len() <= MAX_ENDED_RECORDS {
                return;
            }
            if let Some((_, id, ticket)) = self.ended.pop_front() {
                self.by_id.remove(&id);
                effects.push(Effect::Forget(ticket));
            }
        }
    }

    /// Number of records, running requests included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}

impl Record {
    fn decide(&self, request: &Request) -> RecordDecision {
        if self.fingerprint != request.fingerprint {
            let verdict = if request.attempt > 1 {
                Verdict::MayHaveRun
            } else {
                Verdict::NotRun
            };
            return RecordDecision::Refuse(verdict, Refusal::IdReused);
        }
        match self.state {
            State::Pending => RecordDecision::Refuse(Verdict::MayHaveRun, Refusal::StillRunning),
            State::Answered => RecordDecision::Replay(self.ticket),
            State::Unknown => RecordDecision::Refuse(Verdict::MayHaveRun, Refusal::OutcomeUnknown),
        }
    }
}
