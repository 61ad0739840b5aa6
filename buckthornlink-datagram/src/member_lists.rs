//! Lists of the zones' members in the store, where instances that start find others.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio::time::sleep;

use buckthornlink_core::datagram::{Event, ZoneMembers};
use buckthornlink_node::backoff::Backoff;
use buckthornlink_platform::{
    Entry, MEMBERS_PREFIX, MemberList, Revision, Store, StoreError, SwapOutcome,
};

use crate::ReducerHandle;
use crate::metrics::{Metrics, StoreCall};
use crate::store_control::StoreRequest;
use crate::store_sync::{MAX_RETRY_DELAY, MIN_RETRY_DELAY};

/// Target of the log records of this module.
const LOG_TARGET: &str = "buckthornlink_datagram::member_lists";
/// Maximum number of lists, which is that of zones.
const MAX_LISTS: u32 = 256;
/// Age from which on a list of members is not written any more: the process was delayed, and another
/// one may publish by now.
const MAX_LIST_AGE: Duration = Duration::from_secs(1);

/// Reads and writes the lists for one process.
#[derive(Debug)]
pub(crate) struct MemberLists<S> {
    pub store: S,
    /// Name of the own zone.
    pub zone: String,
    pub handle: ReducerHandle,
    pub metrics: Metrics,
    /// Number of instances in all zones, once the lists have been read.
    pub total: watch::Sender<Option<u32>>,
}

impl<S: Store> MemberLists<S> {
    /// Reads the lists until a call succeeds, then performs the requests of the reducer. Never
    /// returns while their sender lives.
    pub(crate) async fn run(self, requests: flume::Receiver<StoreRequest>) {
        let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        while let Err(err) = self.discover().await {
            log::debug!(target: LOG_TARGET, err:% = err; "cannot read the lists of members; retrying");
            sleep(backoff.next_delay()).await;
        }
        while let Ok(request) = requests.recv_async().await {
            let result = match request {
                StoreRequest::Discover => self.discover().await,
                StoreRequest::Publish { members, listed_at } => {
                    self.publish(members, listed_at).await
                }
            };
            if let Err(err) = result {
                log::debug!(target: LOG_TARGET, err:% = err; "a call for the lists of members failed");
            }
        }
    }

    /// Reads the lists and reports their instances. They may be some seconds old, as the instances
    /// know of later ones.
    async fn discover(&self) -> Result<(), StoreError> {
        self.metrics.count_store_call(StoreCall::ReadMembers);
        let (entries, _) = self.store.range_stale(MEMBERS_PREFIX, MAX_LISTS).await?;
        self.report(&entries);
        Ok(())
    }

    /// Merges the members of the own zone into its list, unless the list has changed meanwhile.
    async fn publish(&self, members: ZoneMembers, listed_at: Instant) -> Result<(), StoreError> {
        if listed_at.elapsed() >= MAX_LIST_AGE {
            return Ok(());
        }
        self.metrics.count_store_call(StoreCall::ReadMembers);
        let (entries, _) = self.store.range(MEMBERS_PREFIX, MAX_LISTS).await?;
        self.report(&entries);
        let key = format!("{MEMBERS_PREFIX}{}", self.zone);
        let entry = entries.iter().find(|entry| entry.key == key);
        let stored = entry.and_then(parse_list).unwrap_or_default();
        let list = merge(&stored, &members);
        if list == stored || self.write(&key, &list, entry).await? {
            self.handle.send(Event::Published(members));
        }
        Ok(())
    }

    /// Writes a list in place of the entry that was read; returns whether that was still current.
    async fn write(
        &self,
        key: &str,
        list: &MemberList,
        entry: Option<&Entry>,
    ) -> Result<bool, StoreError> {
        let value = serde_json::to_vec(list).unwrap_or_default();
        let expected = entry.map_or(Revision(0), |entry| entry.revision);
        self.metrics.count_store_call(StoreCall::WriteMembers);
        let outcome = self.store.compare_and_swap(key, &value, expected).await?;
        Ok(outcome == SwapOutcome::Done)
    }

    /// Reports the instances of all lists, and the agents as all there are if the lists are complete.
    fn report(&self, entries: &[Entry]) {
        let lists: Vec<MemberList> = entries.iter().filter_map(parse_list).collect();
        let total = lists.iter().map(|list| list.total).sum();
        self.total.send_replace(Some(total));
        let collect = |ips: fn(&MemberList) -> &Vec<Ipv4Addr>| -> Vec<Ipv4Addr> {
            lists.iter().flat_map(ips).copied().collect()
        };
        self.handle
            .send(Event::Contacts(collect(|list| &list.balancers)));
        let agents = collect(|list| &list.agents);
        let event = if lists.iter().all(MemberList::is_complete) {
            Event::RegisteredAgents(agents)
        } else {
            Event::Contacts(agents)
        };
        self.handle.send(event);
    }
}

/// The list to write: the present members, and those that the stored list has besides unless they
/// are known to have departed.
fn merge(stored: &MemberList, members: &ZoneMembers) -> MemberList {
    let remains = |ip: &&Ipv4Addr| !members.is_exhaustive && !members.departed.contains(ip);
    let union = |present: &[Ipv4Addr], stored: &[Ipv4Addr]| {
        let stored = stored.iter().filter(remains);
        present.iter().chain(stored).copied().collect()
    };
    MemberList::new(
        union(&members.balancers, &stored.balancers),
        union(&members.agents, &stored.agents),
    )
}

/// Parses a list; a malformed one is logged and left out.
fn parse_list(entry: &Entry) -> Option<MemberList> {
    let parsed = serde_json::from_slice(&entry.value);
    if parsed.is_err() {
        log::warn!(target: LOG_TARGET, key = entry.key; "ignoring a malformed list of members");
    }
    parsed.ok()
}

#[cfg(test)]
#[path = "../tests/unit/member_lists.rs"]
mod tests;
