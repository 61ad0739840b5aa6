//! Passive outlier detection: whether a backend server breaks off the requests that it is sent, or leaves
//! them unanswered.
//!
//! A backend server can fail requests while its heartbeats report it as ready. The agent cannot
//! read answers, but it sees flows that the backend server resets before it has answered, and requests
//! that wait far longer than others.

mod hang;
mod response_time;

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use super::{Flow, Flows};
use crate::time::Millis;
use hang::Hangs;

/// Age up to which outcomes count.
const WINDOW: Millis = Millis(3_000);
/// Most recent outcomes that count.
const MAX_OUTCOMES: usize = 64;
/// Minimum failures for a backend server to count as failing.
const MIN_FAILURES: usize = 5;
/// Minimum number of callers among the failures, so that one caller's requests are not taken for a
/// fault of the backend server.
const MIN_CALLERS: usize = 3;
/// Minimum percentage of failures.
const FAILURE_PERCENT: usize = 50;
/// Interval at which a failing backend server gets a new flow, which shows whether it has recovered.
const TRIAL_INTERVAL: Millis = Millis(250);

/// The latest outcomes of requests to one backend server.
///
/// ```
/// # use buckthornlink_core::{Millis, datagram::Outcomes};
/// # use std::net::Ipv4Addr;
/// let mut outcomes = Outcomes::default();
/// for caller in 1..=5 {
///     outcomes.record_failure(Ipv4Addr::new(100, 64, 0, caller), Millis(10));
/// }
/// assert!(outcomes.is_failing(Millis(10)));
/// ```
#[derive(Clone, Debug)]
pub struct Outcomes {
    latest: VecDeque<Outcome>,
    last_trial: Millis,
    hangs: Hangs,
}

#[derive(Clone, Copy, Debug)]
struct Outcome {
    at: Millis,
    /// The caller, if the request failed.
    failed: Option<Ipv4Addr>,
}

impl Default for Outcomes {
    fn default() -> Self {
        Self {
            latest: VecDeque::with_capacity(MAX_OUTCOMES),
            last_trial: Millis(0),
            hangs: Hangs::default(),
        }
    }
}

impl Outcomes {
    /// Records a request that arrived now. The backend server has to fill all its slots `rounds` times until it has
    /// processed this one: once if a slot is free.
    pub fn record_request(&mut self, flow: Flow, rounds: u16, flows: &Flows, now: Millis) {
        self.hangs.record_request(flow, rounds, flows, now);
    }

    /// Records that the backend server began to answer a request that arrived at `since` and found a queue of
    /// `rounds`; returns whether it has recovered from leaving requests unanswered.
    pub fn record_success(&mut self, since: Millis, rounds: u16, now: Millis) -> bool {
        self.record(Outcome {
            at: now,
            failed: None,
        });
        self.hangs.record_answer(since, rounds, now)
    }

    /// Returns the next request that has waited far longer than the backend server's others, with its wait.
    /// Each is returned once, and makes the backend server count as failing.
    pub fn next_overdue(&mut self, flows: &Flows, now: Millis) -> Option<(Flow, Millis)> {
        self.hangs.next_overdue(flows, now)
    }

    /// Records that the backend server reset a flow of `caller` before it answered a request.
    pub fn record_failure(&mut self, caller: Ipv4Addr, now: Millis) {
        self.record(Outcome {
            at: now,
            failed: Some(caller),
        });
    }

    /// Forgets all outcomes, as those of an earlier boot of the backend server.
    pub fn clear(&mut self) {
        self.latest.clear();
        self.hangs = Hangs::default();
    }

    /// Whether the backend server leaves requests unanswered, or fails most requests of several callers.
    #[must_use]
    pub fn is_failing(&self, now: Millis) -> bool {
        self.hangs.is_hanging() || self.is_resetting(now)
    }

    fn is_resetting(&self, now: Millis) -> bool {
        let recent = || self.latest.iter().filter(|o| now.since(o.at) <= WINDOW);
        let failures = recent().filter(|o| o.failed.is_some()).count();
        if failures < MIN_FAILURES || failures * 100 < recent().count() * FAILURE_PERCENT {
            return false;
        }
        let mut callers: Vec<Ipv4Addr> = recent().filter_map(|o| o.failed).collect();
        callers.sort_unstable();
        callers.dedup();
        callers.len() >= MIN_CALLERS
    }

    /// Whether a failing backend server is due a new flow; the answer `true` counts as its trial.
    pub fn take_trial(&mut self, now: Millis) -> bool {
        if !self.hangs.take_trial(now) {
            return false;
        }
        if !self.is_resetting(now) {
            return true;
        }
        let is_due = now.since(self.last_trial) >= TRIAL_INTERVAL;
        if is_due {
            self.last_trial = now;
        }
        is_due
    }

    fn record(&mut self, outcome: Outcome) {
        if self.latest.len() == MAX_OUTCOMES {
            self.latest.pop_front();
        }
        self.latest.push_back(outcome);
    }
}
