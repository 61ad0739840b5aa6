//! Tasks that read and watch the store.

use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::metrics::Metrics;
use crate::{Adapter, ReducerHandle, store_sync};

/// Runs the tasks that read and watch the store, one set at a time. They stop when it is dropped.
#[derive(Debug)]
pub struct StoreTasks<A> {
    adapter: A,
    handle: ReducerHandle,
    metrics: Metrics,
    watching: watch::Receiver<bool>,
    tasks: JoinSet<()>,
}

impl<A: Adapter> StoreTasks<A> {
    /// Creates the set without any task. The tasks report to `handle`, and watch the store while
    /// `watching` is true.
    #[must_use]
    pub fn new(
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

    /// Starts the tasks for the store at `url` and aborts those for the previous one.
    pub fn restart(&mut self, url: &str) {
        self.tasks.abort_all();
        let store = self.adapter.new_store_client(url);
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
