//! Pool of open flows to one dependency.
//!
//! Flows are opened in the background; a call waits only if none is open.

use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use quinn::Endpoint;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use buckthornlink_core::retry::RetryBudget;

use crate::client::Flow;

const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a flow could not be opened, before it is retried.
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Flows to one dependency, and the retry budget for calls to it.
pub(super) struct FlowPool {
    endpoint: Endpoint,
    addr: SocketAddrV4,
    name: String,
    size: usize,
    state: Mutex<PoolState>,
    changed: Notify,
    budget: Mutex<RetryBudget>,
}

#[derive(Default)]
struct PoolState {
    open: Vec<Arc<Flow>>,
    opening: usize,
    rotation: usize,
}

impl FlowPool {
    pub(super) fn new(endpoint: Endpoint, addr: SocketAddrV4, name: String, size: usize) -> Self {
        Self {
            endpoint,
            addr,
            name,
            size,
            state: Mutex::default(),
            changed: Notify::new(),
            budget: Mutex::default(),
        }
    }

    /// Returns the next open flow in round-robin order, waiting if none is open. Missing flows are
    /// opened in the background.
    pub(super) async fn next_flow(self: &Arc<Self>) -> Arc<Flow> {
        loop {
            let changed = self.changed.notified();
            if let Some(flow) = self.pick_open_flow() {
                return flow;
            }
            changed.await;
        }
    }

    /// Adds the deposit for a first attempt to the retry budget.
    pub(super) fn record_first_attempt(&self) {
        self.budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .deposit();
    }

    /// Withdraws a retry from the budget; returns whether the budget allows it.
    pub(super) fn try_withdraw_retry(&self) -> bool {
        self.budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .try_withdraw()
    }

    fn pick_open_flow(self: &Arc<Self>) -> Option<Arc<Flow>> {
        let mut state = self.state();
        state.open.retain(|flow| !flow.is_closing());
        let missing = self.size.saturating_sub(state.open.len() + state.opening);
        state.opening += missing;
        for _ in 0..missing {
            tokio::spawn(Arc::clone(self).open_flow());
        }
        state.rotation = state.rotation.wrapping_add(1);
        let count = state.open.len().max(1);
        state.open.get(state.rotation % count).cloned()
    }

    async fn open_flow(self: Arc<Self>) {
        let opening = Flow::open(&self.endpoint, self.addr, &self.name);
        let opened = match timeout(OPEN_TIMEOUT, opening).await {
            Ok(Ok(flow)) => Some(Arc::new(flow)),
            Ok(Err(err)) => {
                log::debug!(service = self.name, err:% = err; "connection to dependency failed");
                None
            }
            Err(_) => {
                log::debug!(service = self.name; "connection to dependency timed out");
                None
            }
        };
        if opened.is_none() {
            sleep(OPEN_RETRY_DELAY).await;
        }
        let mut state = self.state();
        state.opening -= 1;
        state.open.extend(opened);
        drop(state);
        self.changed.notify_waiters();
    }

    fn state(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
