//! Time that running requests have spent waiting for dependencies.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use buckthornlink_core::agent::Ticket;

/// Waiting time by request. Only running requests have an entry.
#[derive(Debug, Default)]
pub(crate) struct DependencyWaits {
    by_ticket: Mutex<HashMap<Ticket, Duration>>,
}

impl DependencyWaits {
    /// Starts counting for a request.
    pub(crate) fn start(&self, ticket: Ticket) {
        self.with(|waits| waits.insert(ticket, Duration::ZERO));
    }

    /// Adds the time of one call to a dependency, if the request is still running.
    pub(crate) fn add(&self, ticket: Ticket, time: Duration) {
        self.with(|waits| {
            if let Some(wait) = waits.get_mut(&ticket) {
                *wait += time;
            }
        });
    }

    /// Stops counting for a request; returns its total waiting time.
    pub(crate) fn finish(&self, ticket: Ticket) -> Duration {
        self.with(|waits| waits.remove(&ticket)).unwrap_or_default()
    }

    fn with<T>(&self, f: impl FnOnce(&mut HashMap<Ticket, Duration>) -> T) -> T {
        f(&mut self
            .by_ticket
            .lock()
            .unwrap_or_else(PoisonError::into_inner))
    }
}
