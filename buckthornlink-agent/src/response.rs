//! Answers, and those kept for repeats.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

use buckthornlink_core::Verdict;
use buckthornlink_core::agent::Ticket;
use buckthornlink_core::verdict::VERDICT_HEADER;

/// Largest answer that is kept for repeats, in bytes.
const MAX_CACHED_RESPONSE_BYTES: usize = 64 << 10;
/// Bytes of all answers kept.
const MAX_CACHE_BYTES: usize = 16 << 20;

/// A whole answer of a backend server.
#[derive(Clone, Debug)]
pub(crate) struct BackendResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl BackendResponse {
    /// [`Verdict::Ran`], unless the backend server itself says that a part of the work, such as a
    /// call to a dependency, may have run.
    pub(crate) fn verdict(&self) -> Verdict {
        let declared = self
            .headers
            .get(VERDICT_HEADER)
            .and_then(|v| v.to_str().ok());
        let declared = declared.and_then(|v| v.parse().ok());
        declared
            .filter(|v| *v == Verdict::MayHaveRun)
            .unwrap_or(Verdict::Ran)
    }
}

/// Answers to non-idempotent requests.
#[derive(Debug, Default)]
pub(crate) struct ResponseCache {
    state: Mutex<CacheState>,
}

#[derive(Debug, Default)]
struct CacheState {
    by_ticket: HashMap<Ticket, Arc<BackendResponse>>,
    bytes: usize,
}

impl ResponseCache {
    /// Keeps an answer, unless it is too large or too much is kept.
    pub(crate) fn insert(&self, ticket: Ticket, response: Arc<BackendResponse>) {
        let len = response.body.len();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if len > MAX_CACHED_RESPONSE_BYTES || state.bytes + len > MAX_CACHE_BYTES {
            return;
        }
        state.bytes += len;
        state.by_ticket.insert(ticket, response);
    }

    pub(crate) fn get(&self, ticket: Ticket) -> Option<Arc<BackendResponse>> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.by_ticket.get(&ticket).cloned()
    }

    pub(crate) fn remove(&self, ticket: Ticket) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(response) = state.by_ticket.remove(&ticket) {
            state.bytes -= response.body.len();
        }
    }
}
