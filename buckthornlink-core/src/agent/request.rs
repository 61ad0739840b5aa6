//! Life cycle of a request: admission, queueing, execution and completion.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Agent, Effect, Outcome, Priority, QueuedRequest, RecordDecision, RunningRequest};
use crate::time::Millis;
use crate::verdict::{Refusal, Verdict};

/// Maximum length of a request id, in bytes.
const MAX_ID_BYTES: usize = 64;
/// Number of consecutive connection failures after which the backend server is unreachable.
const UNREACHABLE_THRESHOLD: u32 = 3;
/// Time after the start of a drain during which the agent still accepts requests.
const DRAIN_GRACE_PERIOD: Millis = Millis(1_500);

/// Identifies a request within one agent process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ticket(pub u64);

/// Request id that the caller assigned.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId(Arc<str>);

impl RequestId {
    /// Creates an id from a header value; `None` if it is empty or longer than 64 bytes.
    ///
    /// ```
    /// # use buckthornlink_core::agent::RequestId;
    /// assert!(RequestId::new("till-7-000123").is_some());
    /// assert!(RequestId::new("").is_none());
    /// ```
    #[must_use]
    pub fn new(id: &str) -> Option<Self> {
        let fits = !id.is_empty() && id.len() <= MAX_ID_BYTES;
        fits.then(|| Self(id.into()))
    }
}

/// The properties of a request that the reducer needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Identifies the request within this process.
    pub ticket: Ticket,
    /// Request id that the caller assigned, required unless the request is idempotent.
    pub id: Option<RequestId>,
    /// Number of attempts with unknown outcome, including this one; starts at 1.
    pub attempt: u32,
    /// Hash of method, path and body.
    pub fingerprint: u64,
    /// Class of the request; the queue is fair between classes.
    pub class: Arc<str>,
    /// Time at which the caller stops waiting.
    pub deadline: Millis,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Whether the request is part of work that the calling service has already admitted.
    pub priority: Priority,
}

impl Agent {
    /// Runs, queues, answers or refuses a request.
    pub(super) fn admit_request(&mut self, request: Request, now: Millis) -> Vec<Effect> {
        if let Some(refusal) = self.reason_to_refuse(&request, now) {
            return vec![refuse(request.ticket, refusal_verdict(&request), refusal)];
        }
        if let Some(effect) = self.check_record(&request) {
            return vec![effect];
        }
        let queued = QueuedRequest::new(request);
        if self.limiter.has_room() && self.queue.is_empty() {
            return vec![self.run(queued)];
        }
        let is_full = self.queue.len() >= usize::from(self.limits.queue);
        if is_full {
            let refusal = if self.limiter.is_cold() {
                Refusal::Cold
            } else {
                Refusal::Overload
            };
            return vec![self.refuse_unsent(&queued, refusal)];
        }
        let wait = self.limiter.expected_wait(self.queue.len());
        if now + wait > queued.deadline {
            return vec![self.refuse_unsent(&queued, Refusal::Deadline)];
        }
        self.queue.push(queued);
        Vec::new()
    }

    /// Completes a running request and starts queued ones.
    pub(super) fn finish(
        &mut self,
        ticket: Ticket,
        outcome: Outcome,
        took: Millis,
        now: Millis,
    ) -> Vec<Effect> {
        let Some(running) = self.running.remove(&ticket) else {
            return Vec::new();
        };
        self.limiter.finish(outcome, took);
        self.update_reachability(outcome);
        if let Some(id) = &running.id {
            self.records.record_outcome(id, outcome, now);
        }
        let mut effects = outcome_effects(ticket, outcome);
        if !self.is_reachable {
            effects.extend(self.refuse_all_queued(Refusal::Unreachable));
            effects.push(Effect::MoveFlows(self.flows.start_moving_all()));
        }
        self.start_queued(now, &mut effects);
        effects
    }

    /// Removes a queued request, or aborts a running one.
    pub(super) fn cancel(&mut self, ticket: Ticket, now: Millis) -> Vec<Effect> {
        if let Some(queued) = self.queue.remove(ticket) {
            self.drop_record(&queued);
            return Vec::new();
        }
        let Some(running) = self.running.remove(&ticket) else {
            return Vec::new();
        };
        self.limiter.finish(Outcome::Aborted, Millis(0));
        if let Some(id) = &running.id {
            self.records.record_outcome(id, Outcome::Aborted, now);
        }
        let mut effects = vec![Effect::Abort(ticket)];
        self.start_queued(now, &mut effects);
        effects
    }

    /// Refuses every queued request.
    pub(super) fn refuse_all_queued(&mut self, refusal: Refusal) -> Vec<Effect> {
        let queued = self.queue.drain();
        queued
            .iter()
            .map(|q| self.refuse_unsent(q, refusal))
            .collect()
    }

    /// Refuses queued requests whose deadline has passed.
    pub(super) fn expire_queued(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        for queued in self.queue.take_expired(now) {
            effects.push(self.refuse_unsent(&queued, Refusal::Deadline));
        }
    }

    fn reason_to_refuse(&self, request: &Request, now: Millis) -> Option<Refusal> {
        let is_past_grace = self
            .draining_since
            .is_some_and(|at| now.since(at) >= DRAIN_GRACE_PERIOD);
        if self.is_zone_out() {
            Some(Refusal::ZoneOut)
        } else if is_past_grace {
            Some(Refusal::Draining)
        } else if !request.idempotent && request.id.is_none() {
            Some(Refusal::Malformed)
        } else if !self.is_reachable {
            Some(Refusal::Unreachable)
        } else if request.deadline <= now + self.limiter.required_time() {
            Some(Refusal::Deadline)
        } else {
            None
        }
    }

    /// Checks a non-idempotent request against the records; `None` means that it may run.
    fn check_record(&mut self, request: &Request) -> Option<Effect> {
        let id = request.id.as_ref().filter(|_| !request.idempotent)?;
        let ticket = request.ticket;
        match self.records.admit(id, request) {
            RecordDecision::Run => None,
            RecordDecision::Replay(original) => Some(Effect::Replay { ticket, original }),
            RecordDecision::Refuse(verdict, refusal) => Some(refuse(ticket, verdict, refusal)),
        }
    }

    fn start_queued(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let mut expired = Vec::new();
        while self.limiter.has_room() {
            let cutoff = now + self.limiter.required_time();
            let Some(queued) = self.queue.pop(cutoff, &mut expired) else {
                break;
            };
            effects.push(self.run(queued));
        }
        for queued in expired {
            effects.push(self.refuse_unsent(&queued, Refusal::Deadline));
        }
    }

    fn run(&mut self, queued: QueuedRequest) -> Effect {
        self.limiter.start();
        let ticket = queued.ticket;
        let id = queued.id.filter(|_| !queued.idempotent);
        self.running.insert(ticket, RunningRequest { id });
        Effect::Run(ticket)
    }

    /// Refuses a request that was never sent to the backend server, and drops its record.
    fn refuse_unsent(&mut self, queued: &QueuedRequest, refusal: Refusal) -> Effect {
        self.drop_record(queued);
        refuse(queued.ticket, Verdict::NotRun, refusal)
    }

    fn drop_record(&mut self, queued: &QueuedRequest) {
        if let Some(id) = queued.id.as_ref().filter(|_| !queued.idempotent) {
            self.records.remove(id);
        }
    }

    fn update_reachability(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Unreachable => {
                self.connect_errors += 1;
                if self.connect_errors >= UNREACHABLE_THRESHOLD {
                    self.is_reachable = false;
                }
            }
            Outcome::Answered { .. } | Outcome::Shed | Outcome::Declined => self.connect_errors = 0,
            Outcome::Broken | Outcome::Late | Outcome::Aborted => {}
        }
    }
}

/// Verdict on a request that is refused before it runs: of a non-idempotent retry, an earlier
/// attempt may have run.
fn refusal_verdict(request: &Request) -> Verdict {
    if request.idempotent || request.attempt <= 1 {
        Verdict::NotRun
    } else {
        Verdict::MayHaveRun
    }
}

const fn refuse(ticket: Ticket, verdict: Verdict, refusal: Refusal) -> Effect {
    Effect::Refuse {
        ticket,
        verdict,
        refusal,
    }
}

/// Refusal of a request that ended without a response. Answered requests need no effect.
fn outcome_effects(ticket: Ticket, outcome: Outcome) -> Vec<Effect> {
    let (verdict, refusal) = match outcome {
        Outcome::Answered { .. } => return Vec::new(),
        Outcome::Shed => (Verdict::NotRun, Refusal::Shed),
        Outcome::Declined => (Verdict::NotRun, Refusal::DependencyDown),
        Outcome::Unreachable => (Verdict::NotRun, Refusal::Unreachable),
        Outcome::Broken | Outcome::Aborted => (Verdict::MayHaveRun, Refusal::BackendFailed),
        Outcome::Late => (Verdict::MayHaveRun, Refusal::Deadline),
    };
    vec![refuse(ticket, verdict, refusal)]
}
