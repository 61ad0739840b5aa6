//! The tasks that follow the store.

use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::metrics::Metrics;
use crate::{Adapter, Inbox, follow};

/// Starts the tasks that follow the store at an address, and ends those of an earlier address.
pub(super) struct Records<A> {
    adapter: A,
    inbox: Inbox,
    metrics: Metrics,
    watching: watch::Receiver<bool>,
    tasks: JoinSet<()>,
}

impl<A: Adapter> Records<A> {
    /// No task runs yet.
    pub(super) fn new(
        adapter: &A,
        inbox: &Inbox,
        metrics: &Metrics,
        watching: &watch::Receiver<bool>,
    ) -> Self {
        Self {
            adapter: adapter.clone(),
            inbox: inbox.clone(),
            metrics: metrics.clone(),
            watching: watching.clone(),
            tasks: JoinSet::new(),
        }
    }

    /// Follows the store at `url` from now on.
    pub(super) fn follow(&mut self, url: &str) {
        self.tasks.abort_all();
        let store = self.adapter.open_store(url);
        let instances = follow::find_instances(store.clone(), self.inbox.clone());
        self.tasks.spawn(instances);
        self.tasks.spawn(follow::follow(
            self.adapter.clone(),
            store,
            self.inbox.clone(),
            self.metrics.clone(),
            self.watching.clone(),
        ));
    }
}
