//! Fake key-value store with the HTTP gateway of etcd v3.

mod gateway;
mod state;

use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::watch;

use buckthornlink_node::metrics::HttpServer;
use state::State;

/// A running store. It stops when dropped.
#[derive(Debug)]
pub struct FakeStore {
    server: HttpServer,
    shared: Arc<Shared>,
}

/// A copy of a store's contents, from which it can be restored.
#[derive(Clone, Debug)]
pub struct StoreCopy(State);

/// State that the HTTP handlers share with [`FakeStore`].
#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<State>,
    revision: watch::Sender<i64>,
    is_available: watch::Sender<bool>,
    /// Number of times that the watches so far were silenced.
    silences: watch::Sender<u64>,
    call_state: Mutex<CallState>,
}

/// Faults to inject into calls, and the numbers of calls so far.
#[derive(Clone, Copy, Debug, Default)]
struct CallState {
    delay: Duration,
    lost_responses: u32,
    reads: u64,
    writes: u64,
}

impl FakeStore {
    /// Starts an empty store at `addr`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn spawn(addr: SocketAddrV4) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            revision: watch::Sender::new(0),
            is_available: watch::Sender::new(true),
            silences: watch::Sender::new(0),
            call_state: Mutex::default(),
        });
        let server = HttpServer::bind(addr, gateway::router(Arc::clone(&shared))).await?;
        Ok(Self { server, shared })
    }

    /// URL of the gateway.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.server.addr())
    }

    /// Makes the store unavailable, or available again. While it is unavailable, calls wait without
    /// a response and watches send no events.
    pub fn set_available(&self, is_available: bool) {
        self.shared.is_available.send_replace(is_available);
    }

    /// Silences all existing watches for good, without closing their connections; new calls work.
    pub fn silence_watches(&self) {
        self.shared.silences.send_modify(|count| *count += 1);
    }

    /// Takes a copy of the contents.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.shared.with_state(|state| state.clone()))
    }

    /// Restores the contents from a copy: what was written since is gone, and revisions are given out
    /// again.
    pub fn restore(&self, copy: StoreCopy) {
        self.shared.with_state(|state| *state = copy.0);
    }

    /// Delays every call by `delay`.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.with_call_state(|s| s.delay = delay);
    }

    /// Replaces the responses to the next `count` transactions by a gateway timeout, although the
    /// transactions take effect.
    pub fn lose_responses(&self, count: u32) {
        self.shared.with_call_state(|s| s.lost_responses = count);
    }

    /// Numbers of calls so far: reads, including watches, and writes, including lease calls.
    #[must_use]
    pub fn call_counts(&self) -> (u64, u64) {
        self.shared.with_call_state(|s| (s.reads, s.writes))
    }
}

impl Shared {
    fn with_call_state<T>(&self, f: impl FnOnce(&mut CallState) -> T) -> T {
        f(&mut self
            .call_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner))
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let result = f(&mut state);
        let revision = state.revision();
        drop(state);
        self.revision
            .send_if_modified(|r| std::mem::replace(r, revision) != revision);
        result
    }

    /// Waits while the store is unavailable, then counts the call and waits for the delay.
    async fn begin_call(&self, is_write: bool) {
        let _ = self
            .is_available
            .subscribe()
            .wait_for(|available| *available)
            .await;
        let delay = self.with_call_state(|s| {
            if is_write {
                s.writes += 1;
            } else {
                s.reads += 1;
            }
            s.delay
        });
        tokio::time::sleep(delay).await;
    }

    /// Whether to lose the response to this transaction; decrements the number still to lose.
    fn take_lost_response(&self) -> bool {
        self.with_call_state(|s| {
            let is_lost = s.lost_responses > 0;
            s.lost_responses = s.lost_responses.saturating_sub(1);
            is_lost
        })
    }
}
