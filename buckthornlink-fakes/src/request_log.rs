//! Log of the requests that backend servers received and ran.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// One run of a request.
#[derive(Clone, Debug)]
pub struct RequestRun {
    /// Name of the backend server.
    pub server: String,
    /// Service of the backend server.
    pub service: &'static str,
    /// When the run was recorded, after any call to a dependency.
    pub at: Instant,
}

/// Log that all backend servers of a fleet share. Clones share their entries.
#[derive(Clone, Debug, Default)]
pub struct RequestLog {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    runs: HashMap<String, Vec<RequestRun>>,
    wrong_service: u64,
    overloads: u64,
    last_arrivals: HashMap<String, Instant>,
}

impl RequestLog {
    /// Records that a non-idempotent request ran.
    pub fn record_run(&self, id: &str, run: RequestRun) {
        self.with_state(|state| state.runs.entry(id.to_owned()).or_default().push(run));
    }

    /// Records that a request of any kind arrived at `server`.
    pub fn record_arrival(&self, server: &str) {
        self.with_state(|state| {
            state
                .last_arrivals
                .insert(server.to_owned(), Instant::now())
        });
    }

    /// Records a request that arrived at a server of another service.
    pub fn record_wrong_service(&self) {
        self.with_state(|state| state.wrong_service += 1);
    }

    /// Records a request that exceeded the capacity of a backend server.
    pub fn record_overload(&self) {
        self.with_state(|state| state.overloads += 1);
    }

    /// Whether the request with this id ran at least once. Runs of reads are not recorded.
    #[must_use]
    pub fn has_run(&self, id: &str) -> bool {
        self.with_state(|state| state.runs.contains_key(id))
    }

    /// Number of requests that ran more than once, reads excluded.
    #[must_use]
    pub fn run_twice(&self) -> usize {
        self.with_state(|state| state.runs.values().filter(|runs| runs.len() > 1).count())
    }

    /// Number of requests that arrived at a server of another service.
    #[must_use]
    pub fn wrong_service(&self) -> u64 {
        self.with_state(|state| state.wrong_service)
    }

    /// Number of requests that exceeded the capacity of a backend server.
    #[must_use]
    pub fn overloads(&self) -> u64 {
        self.with_state(|state| state.overloads)
    }

    /// Time at which the latest request arrived at any of `servers`.
    #[must_use]
    pub fn last_arrival(&self, servers: &[String]) -> Option<Instant> {
        self.with_state(|state| {
            servers
                .iter()
                .filter_map(|s| state.last_arrivals.get(s).copied())
                .max()
        })
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
