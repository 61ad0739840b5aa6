//! What callers have seen.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// Name of the server of a flow that has had no answer yet.
pub(super) const UNKNOWN_SERVER: &str = "a server that had not answered";

/// Counts over all callers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests begun.
    pub requests: u64,
    /// Requests with a whole and right answer.
    pub answered: u64,
    /// Requests that were refused as not run.
    pub refused_not_run: u64,
    /// Of these, requests that did run by the backend servers' record.
    pub false_not_run: u64,
    /// Requests whose outcome the caller was told it cannot know.
    pub may_have_run: u64,
    /// Requests that a backend server answered with an error.
    pub failed: u64,
    /// Requests with an answer that belongs to another request.
    pub wrong_answer: u64,
    /// Requests answered after their deadline.
    pub late: u64,
    /// Flows opened.
    pub opened_flows: u64,
    /// Flows moved on request.
    pub moved_flows: u64,
    /// Flows cut though neither the caller nor a zone taken out ended them.
    pub broken_flows: u64,
    /// Flows that ended with a zone taken out.
    pub given_up_flows: u64,
    /// Causes of broken flows.
    pub causes: BTreeMap<String, u64>,
    /// Reasons given with refusals.
    pub refusals: BTreeMap<String, u64>,
}

/// Counts that callers share.
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
    /// Why a flow to `server` broke. A flow without an answer yet may have been to any server that
    /// has gone.
    fn cause_of(&self, server: &str) -> String {
        if let Some(cause) = self.causes.get(server) {
            return cause.clone();
        }
        if server != UNKNOWN_SERVER || self.causes.is_empty() {
            return "no known cause".to_owned();
        }
        let gone: Vec<&str> = self.causes.keys().map(String::as_str).collect();
        format!("gone by then: {}", gone.join(", "))
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

    /// Counts a flow that was cut while it lived with `server`.
    pub(super) fn record_lost_flow(&self, server: &str, what: &str) {
        self.with_state(|state| {
            let zone = server.split('@').nth(1).unwrap_or("");
            if state.zones_out.contains(zone) {
                state.counts.given_up_flows += 1;
                return;
            }
            state.counts.broken_flows += 1;
            let cause = state.cause_of(server);
            let text = format!("{server}: {what}; {cause}");
            *state.counts.causes.entry(text).or_default() += 1;
        });
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
