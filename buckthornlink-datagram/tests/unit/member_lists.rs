//! Lists of members against a store in memory.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use buckthornlink_platform::{Change, LeaseId, Position, Watch};

use super::*;
use crate::Input;

/// A store in memory that counts its calls. It has no leases and no watches.
#[derive(Clone, Debug, Default)]
struct MemoryStore(Arc<Mutex<Contents>>);

#[derive(Debug, Default)]
struct Contents {
    entries: BTreeMap<String, Entry>,
    revision: i64,
    reads: usize,
    stale_reads: usize,
    writes: usize,
}

struct NoWatch;

impl Watch for NoWatch {
    async fn next(&mut self) -> Result<Vec<Change>, StoreError> {
        Err(unsupported())
    }
}

fn unsupported() -> StoreError {
    StoreError::Unreachable("not supported".to_owned())
}

impl MemoryStore {
    fn entries(&self, prefix: &str) -> (Vec<Entry>, Position) {
        let contents = self.0.lock().unwrap();
        let entries = contents.entries.values();
        let found = entries.filter(|e| e.key.starts_with(prefix)).cloned();
        (found.collect(), Position::default())
    }

    /// Stores the list of a zone.
    fn put_list(&self, zone: &str, list: &MemberList) {
        let value = serde_json::to_vec(list).unwrap();
        self.put(&format!("{MEMBERS_PREFIX}{zone}"), &value);
    }

    fn put(&self, key: &str, value: &[u8]) {
        let mut contents = self.0.lock().unwrap();
        contents.revision += 1;
        let entry = Entry {
            key: key.to_owned(),
            value: value.to_vec(),
            revision: Revision(contents.revision),
        };
        contents.entries.insert(key.to_owned(), entry);
    }

    fn list(&self, zone: &str) -> MemberList {
        let key = format!("{MEMBERS_PREFIX}{zone}");
        let contents = self.0.lock().unwrap();
        serde_json::from_slice(&contents.entries[&key].value).unwrap()
    }
}

impl Store for MemoryStore {
    type Watch = NoWatch;

    async fn range(&self, prefix: &str, _limit: u32) -> Result<(Vec<Entry>, Position), StoreError> {
        self.0.lock().unwrap().reads += 1;
        Ok(self.entries(prefix))
    }

    async fn range_stale(
        &self,
        prefix: &str,
        _limit: u32,
    ) -> Result<(Vec<Entry>, Position), StoreError> {
        self.0.lock().unwrap().stale_reads += 1;
        Ok(self.entries(prefix))
    }

    async fn get(&self, _key: &str) -> Result<Option<Entry>, StoreError> {
        Err(unsupported())
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        value: &[u8],
        expected: Revision,
    ) -> Result<SwapOutcome, StoreError> {
        let current = {
            let mut contents = self.0.lock().unwrap();
            contents.writes += 1;
            contents.entries.get(key).cloned()
        };
        if current.as_ref().map_or(Revision(0), |e| e.revision) != expected {
            return Ok(SwapOutcome::Conflict(current));
        }
        self.put(key, value);
        Ok(SwapOutcome::Done)
    }

    async fn put_leased(&self, _: &str, _: &[u8], _: LeaseId) -> Result<(), StoreError> {
        Err(unsupported())
    }

    async fn grant(&self, _: Duration) -> Result<LeaseId, StoreError> {
        Err(unsupported())
    }

    async fn renew(&self, _: LeaseId) -> Result<Duration, StoreError> {
        Err(unsupported())
    }

    async fn revoke(&self, _: LeaseId) -> Result<(), StoreError> {
        Err(unsupported())
    }

    async fn watch(&self, _: &str, _: Position) -> Result<NoWatch, StoreError> {
        Err(unsupported())
    }
}

/// The lists as one process of zone `a` handles them, and the events that it reports.
fn lists(store: &MemoryStore) -> (MemberLists<MemoryStore>, flume::Receiver<Input>) {
    let (sender, inputs) = flume::unbounded();
    let lists = MemberLists {
        store: store.clone(),
        zone: "a".to_owned(),
        handle: ReducerHandle::new(sender),
        metrics: Metrics::new("").unwrap(),
        total: watch::Sender::new(None),
    };
    (lists, inputs)
}

fn ip(host: u32) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0a01_0000 + host)
}

fn ips(hosts: impl IntoIterator<Item = u32>) -> Vec<Ipv4Addr> {
    hosts.into_iter().map(ip).collect()
}

fn events(inputs: &flume::Receiver<Input>) -> Vec<Event> {
    let events = inputs.drain().filter_map(|input| match input {
        Input::Event(event) => Some(event),
        Input::Stop => None,
    });
    events.collect()
}

fn registered(events: &[Event]) -> Option<&Vec<Ipv4Addr>> {
    events.iter().find_map(|event| match event {
        Event::RegisteredAgents(ips) => Some(ips),
        _ => None,
    })
}

fn members(balancers: Vec<Ipv4Addr>, agents: Vec<Ipv4Addr>) -> ZoneMembers {
    ZoneMembers {
        balancers,
        agents,
        ..ZoneMembers::default()
    }
}

#[tokio::test]
async fn the_agents_of_all_zones_are_read_in_one_call() {
    let store = MemoryStore::default();
    store.put_list("a", &MemberList::new(ips([1]), ips([2, 3])));
    store.put_list("b", &MemberList::new(ips([4]), ips([5])));
    let (lists, inputs) = lists(&store);
    lists.discover().await.unwrap();
    assert_eq!(registered(&events(&inputs)), Some(&ips([2, 3, 5])));
    assert_eq!(*lists.total.borrow(), Some(5));
    assert_eq!(store.0.lock().unwrap().stale_reads, 1);
}

/// Guards against one list, left malformed by another writer, that hides those of other zones.
#[tokio::test]
async fn a_malformed_list_hides_no_other() {
    let store = MemoryStore::default();
    store.put_list("a", &MemberList::new(ips([1]), ips([2])));
    let nested = "[".repeat(200);
    store.put(&format!("{MEMBERS_PREFIX}b"), nested.as_bytes());
    store.put(
        &format!("{MEMBERS_PREFIX}c"),
        b"{\"agents\":[\"10.1.0.999\"]}",
    );
    let (lists, inputs) = lists(&store);
    lists.discover().await.unwrap();
    assert_eq!(registered(&events(&inputs)), Some(&ips([2])));
}

/// Guards against calls, and bytes, for each start that grow with the fleet.
#[tokio::test]
async fn the_lists_of_22_900_instances_stay_small_and_take_one_call() {
    let store = MemoryStore::default();
    for zone in 0..8_u32 {
        let hosts = |from, count| ips(10_000 * zone + from..10_000 * zone + from + count);
        let list = MemberList::new(hosts(0, 238), hosts(1_000, 2_625));
        store.put_list(&zone.to_string(), &list);
    }
    let (lists, inputs) = lists(&store);
    lists.discover().await.unwrap();
    assert_eq!(
        registered(&events(&inputs)),
        None,
        "the lists are not complete"
    );
    assert_eq!(*lists.total.borrow(), Some(22_904));
    let contents = store.0.lock().unwrap();
    let bytes: usize = contents.entries.values().map(|e| e.value.len()).sum();
    assert!(bytes < 40_000, "{bytes}");
    assert_eq!(contents.stale_reads, 1);
}

#[tokio::test]
async fn a_publisher_that_knows_few_keeps_the_others_on_the_list() {
    let store = MemoryStore::default();
    store.put_list("a", &MemberList::new(ips([1]), ips([2, 3, 4])));
    let (lists, inputs) = lists(&store);
    let known = ZoneMembers {
        departed: ips([3]),
        ..members(ips([9]), ips([2]))
    };
    lists.publish(known.clone(), Instant::now()).await.unwrap();
    let expected = MemberList::new(ips([1, 9]), ips([2, 4]));
    assert_eq!(store.list("a"), expected);
    let is_confirmed = |event: &Event| matches!(event, Event::Published(m) if *m == known);
    assert!(events(&inputs).iter().any(is_confirmed));
}

#[tokio::test]
async fn an_exhaustive_list_replaces_the_stored_one() {
    let store = MemoryStore::default();
    store.put_list("a", &MemberList::new(ips([1]), ips([2, 3])));
    let (lists, _inputs) = lists(&store);
    let known = ZoneMembers {
        is_exhaustive: true,
        ..members(ips([9]), ips([2]))
    };
    lists.publish(known, Instant::now()).await.unwrap();
    assert_eq!(store.list("a"), MemberList::new(ips([9]), ips([2])));
}

#[tokio::test]
async fn a_list_that_the_store_has_is_not_written_again() {
    let store = MemoryStore::default();
    store.put_list("a", &MemberList::new(ips([1]), ips([2])));
    let (lists, inputs) = lists(&store);
    let known = members(ips([1]), ips([2]));
    lists.publish(known, Instant::now()).await.unwrap();
    assert_eq!(store.0.lock().unwrap().writes, 0);
    let is_confirmed = |event: &Event| matches!(event, Event::Published(_));
    assert!(events(&inputs).iter().any(is_confirmed));
}

/// Guards against a paused process that writes what it listed before the pause.
#[tokio::test]
async fn a_list_that_has_grown_old_is_not_written() {
    let store = MemoryStore::default();
    let (lists, inputs) = lists(&store);
    let listed_at = Instant::now().checked_sub(MAX_LIST_AGE).unwrap();
    let known = members(ips([1]), ips([2]));
    lists.publish(known, listed_at).await.unwrap();
    assert!(store.0.lock().unwrap().entries.is_empty());
    assert!(events(&inputs).is_empty());
}
