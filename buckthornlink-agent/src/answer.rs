//! Answers, and those kept for repeats.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

use buckthornlink_core::Verdict;
use buckthornlink_core::agent::Ticket;
use buckthornlink_core::verdict::VERDICT_HEADER;

/// Largest answer that is kept for repeats, in bytes.
const MAX_KEPT_BYTES: usize = 64 << 10;
/// Bytes of all answers kept.
const MAX_TOTAL_BYTES: usize = 16 << 20;

/// A whole answer of a backend server.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Answer {
    /// [`Verdict::Ran`], unless the backend server itself says that a part of the work, such as a
    /// call to a dependency, may have run.
    pub(crate) fn verdict(&self) -> Verdict {
        let own = self
            .headers
            .get(VERDICT_HEADER)
            .and_then(|v| v.to_str().ok());
        let own = own.and_then(|v| v.parse().ok());
        own.filter(|v| *v == Verdict::MayHaveRun)
            .unwrap_or(Verdict::Ran)
    }
}

/// Answers to non-idempotent requests.
#[derive(Debug, Default)]
pub(crate) struct Answers {
    kept: Mutex<Kept>,
}

#[derive(Debug, Default)]
struct Kept {
    by_ticket: HashMap<Ticket, Arc<Answer>>,
    bytes: usize,
}

impl Answers {
    /// Keeps an answer, unless it is too large or too much is kept.
    pub(crate) fn keep(&self, ticket: Ticket, answer: Arc<Answer>) {
        let len = answer.body.len();
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        if len > MAX_KEPT_BYTES || kept.bytes + len > MAX_TOTAL_BYTES {
            return;
        }
        kept.bytes += len;
        kept.by_ticket.insert(ticket, answer);
    }

    pub(crate) fn get(&self, ticket: Ticket) -> Option<Arc<Answer>> {
        let kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.by_ticket.get(&ticket).cloned()
    }

    pub(crate) fn forget(&self, ticket: Ticket) {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(answer) = kept.by_ticket.remove(&ticket) {
            kept.bytes -= answer.body.len();
        }
    }
}
