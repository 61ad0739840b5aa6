//! Detection of backend servers that leave requests unanswered.

use std::collections::VecDeque;

use super::response_time::ResponseTimes;
use crate::datagram::{Flow, Flows};
use crate::time::Millis;

/// Requests that are watched, including answered ones that are not yet removed.
const MAX_REQUESTS: usize = 1_024;
/// Answers in a row after which a backend server counts as recovered. Fewer are likely even if it leaves some requests
/// unanswered.
const RECOVERY_ANSWERS: u8 = 12;
/// First interval of new flows at a backend server that hangs. Each answer to a trial halves it.
const FIRST_TRIAL_INTERVAL: Millis = Millis(4_000);
/// Minimum of that interval.
const MIN_TRIAL_INTERVAL: Millis = Millis(250);
/// The interval after a trial that is unanswered.
const MAX_TRIAL_INTERVAL: Millis = Millis(8_000);

/// The outstanding requests of a backend server, and whether it leaves some unanswered.
#[derive(Clone, Debug)]
pub(super) struct Hangs {
    times: ResponseTimes,
    /// Requests in order of arrival.
    requests: VecDeque<Request>,
    suspicion: Option<Suspicion>,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    flow: Flow,
    at: Millis,
    rounds: u16,
}

/// State of a backend server that left a request unanswered.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    /// When that was last noticed. Requests that arrived before are no trials.
    noticed_at: Millis,
    /// Answers to later requests.
    answers: u8,
    interval: Millis,
    last_trial: Millis,
}

impl Default for Hangs {
    fn default() -> Self {
        Self {
            times: ResponseTimes::default(),
            requests: VecDeque::with_capacity(MAX_REQUESTS),
            suspicion: None,
        }
    }
}

impl Hangs {
    /// Records a request that arrived now and found a queue of `rounds`.
    pub fn record_request(&mut self, flow: Flow, rounds: u16, flows: &Flows, now: Millis) {
        if self.requests.len() == MAX_REQUESTS {
            self.requests.retain(|r| r.is_outstanding(flows));
            self.requests.truncate(MAX_REQUESTS / 2);
        }
        let at = now;
        self.requests.push_back(Request { flow, at, rounds });
    }

    /// Records the answer to a request that arrived at `since`; returns whether the backend server has
    /// recovered.
    pub fn record_answer(&mut self, since: Millis, rounds: u16, now: Millis) -> bool {
        let wait = now.since(since);
        let is_late = self.times.limit(rounds).is_some_and(|limit| wait >= limit);
        // Behind a queue it is not known how long the backend server took, as some of the requests ahead may hang.
        if rounds <= 1 {
            self.times.record(wait);
        }
        let Some(suspicion) = &mut self.suspicion else {
            return false;
        };
        if since >= suspicion.noticed_at {
            suspicion.answers += 1;
            let half = Millis(suspicion.interval.0 / 2);
            suspicion.interval = half.max(MIN_TRIAL_INTERVAL);
        }
        // An answer that comes late shows that the request was slow.
        let has_recovered = is_late || suspicion.answers >= RECOVERY_ANSWERS;
        if has_recovered {
            self.suspicion = None;
        }
        has_recovered
    }

    /// Returns the next request that has waited far longer than others, with its wait. Each is returned once.
    pub fn next_overdue(&mut self, flows: &Flows, now: Millis) -> Option<(Flow, Millis)> {
        while let Some(request) = self.requests.front().copied() {
            let wait = now.since(request.at);
            if !request.is_outstanding(flows) {
                self.requests.pop_front();
                continue;
            }
            if wait < self.times.limit(request.rounds)? {
                return None;
            }
            self.requests.pop_front();
            self.suspect(request.at, now);
            return Some((request.flow, wait));
        }
        None
    }

    /// Whether the backend server leaves requests unanswered.
    pub const fn is_hanging(&self) -> bool {
        self.suspicion.is_some()
    }

    /// Whether a backend server that hangs is due a new flow; the answer `true` counts as its trial.
    pub fn take_trial(&mut self, now: Millis) -> bool {
        let Some(suspicion) = &mut self.suspicion else {
            return true;
        };
        let is_due = now.since(suspicion.last_trial) >= suspicion.interval;
        if is_due {
            suspicion.last_trial = now;
        }
        is_due
    }

    fn suspect(&mut self, request_at: Millis, now: Millis) {
        let interval = match self.suspicion {
            None => FIRST_TRIAL_INTERVAL,
            Some(s) if request_at < s.noticed_at => return,
            Some(_) => MAX_TRIAL_INTERVAL,
        };
        self.suspicion = Some(Suspicion {
            noticed_at: now,
            answers: 0,
            interval,
            last_trial: now,
        });
    }
}

impl Request {
    fn is_outstanding(&self, flows: &Flows) -> bool {
        let state = flows.get(&self.flow);
        state.is_some_and(|s| s.is_offered() && s.waiting_since == Some(self.at))
    }
}
