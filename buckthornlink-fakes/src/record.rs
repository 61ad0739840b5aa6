//! What backend servers ran, by their own word.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Work {
    /// Name of the backend server.
    pub server: String,
    /// Service of the backend server.
    pub service: &'static str,
    /// When the request arrived.
    pub at: Instant,
}

/// The record of all backend servers of a run.
#[derive(Clone, Debug, Default)]
pub struct Record {
    runs: Arc<Mutex<Runs>>,
}

#[derive(Debug, Default)]
struct Runs {
    by_id: HashMap<String, Vec<Work>>,
    wrong_service: u64,
    overloads: u64,
    last: HashMap<String, Instant>,
}

impl Record {
    /// Notes that a non-idempotent request runs.
    pub fn note_run(&self, id: &str, work: Work) {
        self.with(|runs| runs.by_id.entry(id.to_owned()).or_default().push(work));
    }

    /// Notes that any request arrived at `server`.
    pub fn note_arrival(&self, server: &str) {
        self.with(|runs| runs.last.insert(server.to_owned(), Instant::now()));
    }

    /// Notes a request that was meant for another service.
    pub fn note_wrong_service(&self) {
        self.with(|runs| runs.wrong_service += 1);
    }

    /// Notes a request beyond what a backend server bears.
    pub fn note_overload(&self) {
        self.with(|runs| runs.overloads += 1);
    }

    /// Whether the request with this id ran at all.
    #[must_use]
    pub fn has_run(&self, id: &str) -> bool {
        self.with(|runs| runs.by_id.contains_key(id))
    }

    /// Requests that ran more than once.
    #[must_use]
    pub fn run_twice(&self) -> usize {
        self.with(|runs| runs.by_id.values().filter(|works| works.len() > 1).count())
    }

    /// Requests that reached a server of another service.
    #[must_use]
    pub fn wrong_service(&self) -> u64 {
        self.with(|runs| runs.wrong_service)
    }

    /// Requests beyond what a backend server bears.
    #[must_use]
    pub fn overloads(&self) -> u64 {
        self.with(|runs| runs.overloads)
    }

    /// When the latest request arrived at any of `servers`.
    #[must_use]
    pub fn last_arrival(&self, servers: &[String]) -> Option<Instant> {
        self.with(|runs| {
            servers
                .iter()
                .filter_map(|s| runs.last.get(s).copied())
                .max()
        })
    }

    fn with<T>(&self, f: impl FnOnce(&mut Runs) -> T) -> T {
        f(&mut self.runs.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
