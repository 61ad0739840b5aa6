//! Counts of the outcomes that callers see.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// Stands for the server's name until a request on the flow has been answered.
pub(super) const UNKNOWN_SERVER: &str = "a server that had not answered";

/// Counts over all callers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests started.
    pub requests: u64,
    /// Requests with a complete and correct answer.
    pub answered: u64,
    /// Requests that were refused as not run or never sent.
    pub refused_not_run: u64,
    /// Requests refused as not run that did run according to the backend servers' log.
    pub false_not_run: u64,
    /// Requests whose outcome is unknown to the caller.
    pub may_have_run: u64,
    /// Requests with an error response, or with a response without a valid verdict.
    pub failed: u64,
    /// Requests with an answer that does not match the request.
    pub wrong_answer: u64,
    /// Requests answered after their deadline.
    pub late: u64,
    /// Flows opened.
    pub opened_flows: u64,
    /// Flows replaced because the agent asked the caller to move.
    pub moved_flows: u64,
    /// Flows lost for another reason than a close by the caller or a zone out of service.
    pub broken_flows: u64,
    /// Flows that ended because their zone was out of service.
    pub given_up_flows: u64,
    /// Number of broken flows by server, error and cause.
    pub causes: BTreeMap<String, u64>,
    /// Number of refused requests by reason.
    pub refusals: BTreeMap<String, u64>,
}

/// Counts that all callers share.
#[derive(Debug, Default)]
pub(super) struct CallerStats {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    counts: Counts,
    zones_out: BTreeSet<String>,
    causes: BTreeMap<String, String>,
}

impl State {
    /// Cause of a broken flow to `server`. If the server is not known, it may be any of those that
    /// have stopped.
    fn cause_of(&self, server: &str) -> String {
        if let Some(cause) = self.causes.get(server) {
            return cause.clone();
        }
        if server != UNKNOWN_SERVER || self.causes.is_empty() {
            return "no known cause".to_owned();
        }
        let stopped: Vec<&str> = self.causes.keys().map(String::as_str).collect();
        format!("servers stopped so far: {}", stopped.join(", "))
    }
}

impl CallerStats {
    pub(super) fn counts(&self) -> Counts {
        self.with_state(|state| state.counts.clone())
    }

    pub(super) fn update(&self, f: impl FnOnce(&mut Counts)) {
        self.with_state(|state| f(&mut state.counts));
    }

    pub(super) fn set_zone_out(&self, zone: &str, is_out: bool) {
        self.with_state(|state| {
            if is_out {
                state.zones_out.insert(zone.to_owned());
            } else {
                state.zones_out.remove(zone);
            }
        });
    }

    pub(super) fn set_cause(&self, server: &str, cause: &str) {
        self.with_state(|state| state.causes.insert(server.to_owned(), cause.to_owned()));
    }

    /// Counts a flow to `server` that was lost with `error`.
    pub(super) fn record_lost_flow(&self, server: &str, error: &str) {
        self.with_state(|state| {
            let zone = server.split('@').nth(1).unwrap_or("");
            if state.zones_out.contains(zone) {
                state.counts.given_up_flows += 1;
                return;
            }
            state.counts.broken_flows += 1;
            let cause = state.cause_of(server);
            let text = format!("{server}: {error}; {cause}");
            *state.counts.causes.entry(text).or_default() += 1;
        });
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
