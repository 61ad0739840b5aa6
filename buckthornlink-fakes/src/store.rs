//! A key-value store that speaks the etcd v3 gateway.

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

/// State and faults.
#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<State>,
    revision: watch::Sender<i64>,
    is_up: watch::Sender<bool>,
    faults: Mutex<Faults>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    delay: Duration,
    lost_answers: u32,
    reads: u64,
    writes: u64,
}

impl FakeStore {
    /// Starts an empty store at `addr`; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn spawn(addr: SocketAddrV4) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            revision: watch::Sender::new(0),
            is_up: watch::Sender::new(true),
            faults: Mutex::default(),
        });
        let server = HttpServer::bind(addr, gateway::router(Arc::clone(&shared))).await?;
        Ok(Self { server, shared })
    }

    /// URL of the gateway.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.server.addr())
    }

    /// Switches the store off or on. Calls to a store that is off are not answered, and its
    /// watches fall silent.
    pub fn set_up(&self, is_up: bool) {
        self.shared.is_up.send_replace(is_up);
    }

    /// Delays every call.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.faults(|f| f.delay = delay);
    }

    /// Loses the answers to the next `count` writes, which take effect all the same.
    pub fn lose_answers(&self, count: u32) {
        self.shared.faults(|f| f.lost_answers = count);
    }

    /// Calls so far: reads (with watches) and writes.
    #[must_use]
    pub fn calls(&self) -> (u64, u64) {
        self.shared.faults(|f| (f.reads, f.writes))
    }
}

impl Shared {
    fn faults<T>(&self, f: impl FnOnce(&mut Faults) -> T) -> T {
        f(&mut self.faults.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let result = f(&mut state);
        let revision = state.revision();
        drop(state);
        self.revision
            .send_if_modified(|r| std::mem::replace(r, revision) != revision);
        result
    }

    /// Waits while the store is off, then for the delay.
    async fn admit(&self, is_write: bool) {
        let _ = self.is_up.subscribe().wait_for(|up| *up).await;
        let delay = self.faults(|f| {
            if is_write {
                f.writes += 1;
            } else {
                f.reads += 1;
            }
            f.delay
        });
        tokio::time::sleep(delay).await;
    }

    /// Whether the answer to this write is to be lost.
    fn loses_answer(&self) -> bool {
        self.faults(|f| {
            let is_lost = f.lost_answers > 0;
            f.lost_answers = f.lost_answers.saturating_sub(1);
            is_lost
        })
    }
}
