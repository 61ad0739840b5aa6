//! Responses of the backend server, and the cache from which retries are answered.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

use buckthornlink_core::Verdict;
use buckthornlink_core::agent::Ticket;
use buckthornlink_core::verdict::VERDICT_HEADER;

/// Maximum body length of a cached response, in bytes.
const MAX_CACHED_RESPONSE_BYTES: usize = 64 << 10;
/// Maximum body length of all cached responses together, in bytes.
const MAX_CACHE_BYTES: usize = 16 << 20;

/// A complete response of the backend server.
#[derive(Clone, Debug)]
pub(crate) struct BackendResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl BackendResponse {
    /// Returns [`Verdict::Ran`], unless the backend server declares [`Verdict::MayHaveRun`], for
    /// example because a call to a dependency may have run.
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

/// Responses to non-idempotent requests, cached to answer retries.
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
    /// Caches a response, unless it is too large or the cache is full.
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
