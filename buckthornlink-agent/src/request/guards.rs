//! Guards that clean up after a request, also if it is dropped before its end.

use std::time::Duration;

use buckthornlink_core::agent::{Event, Ticket};

use crate::dependency_waits::DependencyWaits;
use crate::executor::Job;

/// Reports a request to the reducer as cancelled if it is dropped before the request has ended.
pub(super) struct CancelGuard {
    pub(super) ticket: Ticket,
    pub(super) jobs: flume::Sender<Job>,
    pub(super) is_armed: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if self.is_armed {
            let _ = self.jobs.send(Job::Event(Event::Cancelled(self.ticket)));
        }
    }
}

/// Measures the time that a request waits for dependencies; stops when dropped.
pub(super) struct WaitGuard<'a> {
    dependency_waits: &'a DependencyWaits,
    ticket: Ticket,
}

impl<'a> WaitGuard<'a> {
    pub(super) fn start(dependency_waits: &'a DependencyWaits, ticket: Ticket) -> Self {
        dependency_waits.start(ticket);
        Self {
            dependency_waits,
            ticket,
        }
    }

    pub(super) fn finish(&mut self) -> Duration {
        self.dependency_waits.finish(self.ticket)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.finish();
    }
}
