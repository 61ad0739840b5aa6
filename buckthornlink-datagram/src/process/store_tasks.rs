//! Tasks that call the store.

use std::net::Ipv4Addr;

use tokio::sync::watch;
use tokio::task::JoinSet;

use buckthornlink_core::datagram::Role;

use crate::member_lists::MemberLists;
use crate::metrics::Metrics;
use crate::saved_flows::SavedFlows;
use crate::store_control::StoreControl;
use crate::{Adapter, ReducerHandle, store_sync};

/// Runs the tasks that call the store, one set at a time. They stop when it is dropped.
#[derive(Debug)]
pub struct StoreTasks<A> {
    adapter: A,
    handle: ReducerHandle,
    metrics: Metrics,
    role: Role,
    ip: Ipv4Addr,
    zone: String,
    control: StoreControl,
    tasks: JoinSet<()>,
}

impl<A: Adapter> StoreTasks<A> {
    /// Creates the set without any task. The tasks of the instance at `ip`, which has this role in `zone`,
    /// report to `handle`, and do what `control` says.
    #[must_use]
    pub fn new(
        adapter: &A,
        handle: &ReducerHandle,
        metrics: &Metrics,
        role: Role,
        (ip, zone): (Ipv4Addr, &str),
        control: StoreControl,
    ) -> Self {
        Self {
            adapter: adapter.clone(),
            handle: handle.clone(),
            metrics: metrics.clone(),
            role,
            ip,
            zone: zone.to_owned(),
            control,
            tasks: JoinSet::new(),
        }
    }

    /// Starts the tasks for the store at `url` and aborts those for the previous one.
    pub fn restart(&mut self, url: &str) {
        self.tasks.abort_all();
        let store = self.adapter.new_store_client(url);
        let (total_sender, total) = watch::channel(None);
        // There are few balancers, and callers wait for them.
        let paced_by = (self.role != Role::Balancer).then(|| total.clone());
        let lists = MemberLists {
            store: store.clone(),
            zone: self.zone.clone(),
            handle: self.handle.clone(),
            metrics: self.metrics.clone(),
            total: total_sender,
        };
        self.tasks.spawn(lists.run(self.control.requests.clone()));
        if self.role != Role::Balancer {
            let saved_flows = SavedFlows {
                store: store.clone(),
                ip: self.ip,
                handle: self.handle.clone(),
                metrics: self.metrics.clone(),
                digests: self.control.digests.clone(),
                total,
            };
            self.tasks.spawn(saved_flows.run());
        }
        self.tasks.spawn(store_sync::sync_records(
            self.adapter.clone(),
            store,
            self.handle.clone(),
            self.metrics.clone(),
            self.control.watching.clone(),
            paced_by,
        ));
    }
}
