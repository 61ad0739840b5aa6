//! The tasks that follow the store.

use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::metrics::Metrics;
use crate::{Adapter, ReducerHandle, store_sync};

/// Starts the tasks that follow the store at an address, and ends those of an earlier address.
pub(super) struct StoreTasks<A> {
    adapter: A,
    handle: ReducerHandle,
    metrics: Metrics,
    watching: watch::Receiver<bool>,
    tasks: JoinSet<()>,
}

impl<A: Adapter> StoreTasks<A> {
    /// No task runs yet.
    pub(super) fn new(
        adapter: &A,
        handle: &ReducerHandle,
        metrics: &Metrics,
        watching: &watch::Receiver<bool>,
    ) -> Self {
        Self {
            adapter: adapter.clone(),
            handle: handle.clone(),
            metrics: metrics.clone(),
            watching: watching.clone(),
            tasks: JoinSet::new(),
        }
    }

    /// Follows the store at `url` from now on.
    pub(super) fn restart(&mut self, url: &str) {
        self.tasks.abort_all();
        let store = self.adapter.open_store(url);
        let instances = store_sync::discover_instances(store.clone(), self.handle.clone());
        self.tasks.spawn(instances);
        self.tasks.spawn(store_sync::sync_records(
            self.adapter.clone(),
            store,
            self.handle.clone(),
            self.metrics.clone(),
            self.watching.clone(),
        ));
    }
}
