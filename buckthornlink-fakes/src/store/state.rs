//! Keys, leases and change history of the store.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// A key's value and revisions.
#[derive(Clone, Debug)]
pub(super) struct Value {
    pub(super) bytes: Vec<u8>,
    pub(super) created: i64,
    pub(super) modified: i64,
    pub(super) lease: i64,
}

/// One change in the history. A deletion has no value.
#[derive(Clone, Debug)]
pub(super) struct Change {
    pub(super) revision: i64,
    pub(super) key: Vec<u8>,
    pub(super) value: Option<Value>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    renewed_at: Instant,
}

/// Contents of the store.
#[derive(Clone, Debug, Default)]
pub(super) struct State {
    revision: i64,
    keys: BTreeMap<Vec<u8>, Value>,
    leases: HashMap<i64, Lease>,
    last_lease: i64,
    history: Vec<Change>,
}

impl State {
    pub(super) const fn revision(&self) -> i64 {
        self.revision
    }

    pub(super) fn get(&self, key: &[u8]) -> Option<&Value> {
        self.keys.get(key)
    }

    /// Keys from `start` up to but not including `end`; without `end`, only `start`.
    pub(super) fn range(&self, start: &[u8], end: Option<&[u8]>) -> Vec<(Vec<u8>, Value)> {
        let Some(end) = end else {
            let value = self.keys.get(start).cloned();
            return value.map(|v| (start.to_vec(), v)).into_iter().collect();
        };
        let found = self.keys.range(start.to_vec()..end.to_vec());
        found.map(|(k, v)| (k.clone(), v.clone())).collect()
    }

    pub(super) fn put(&mut self, key: Vec<u8>, bytes: Vec<u8>, lease: i64) {
        self.revision += 1;
        let created = self.keys.get(&key).map_or(self.revision, |v| v.created);
        let value = Value {
            bytes,
            created,
            modified: self.revision,
            lease,
        };
        self.keys.insert(key.clone(), value.clone());
        self.push_history(key, Some(value));
    }

    pub(super) fn grant(&mut self, ttl: Duration) -> i64 {
        self.last_lease += 1;
        let renewed_at = Instant::now();
        self.leases
            .insert(self.last_lease, Lease { ttl, renewed_at });
        self.last_lease
    }

    /// Renews a lease; returns its TTL, or zero if it has expired.
    pub(super) fn renew(&mut self, id: i64) -> Duration {
        self.expire();
        let Some(lease) = self.leases.get_mut(&id) else {
            return Duration::ZERO;
        };
        lease.renewed_at = Instant::now();
        lease.ttl
    }

    pub(super) fn revoke(&mut self, id: i64) {
        self.leases.remove(&id);
        let attached = self.keys.iter().filter(|(_, v)| v.lease == id);
        let keys: Vec<_> = attached.map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.keys.remove(&key);
            self.push_history(key, None);
        }
    }

    /// Deletes expired leases and their keys.
    pub(super) fn expire(&mut self) {
        let is_expired = |l: &Lease| l.renewed_at.elapsed() > l.ttl;
        let expired = self.leases.iter().filter(|(_, l)| is_expired(l));
        let ids: Vec<i64> = expired.map(|(id, _)| *id).collect();
        for id in ids {
            self.revoke(id);
        }
    }

    /// Changes at `revision` or later to keys from `start` up to but not including `end`.
    pub(super) fn changes_since(&self, start: &[u8], end: &[u8], revision: i64) -> Vec<Change> {
        let is_included = |c: &&Change| {
            c.revision >= revision && c.key.as_slice() >= start && c.key.as_slice() < end
        };
        self.history.iter().filter(is_included).cloned().collect()
    }

    fn push_history(&mut self, key: Vec<u8>, value: Option<Value>) {
        let revision = self.revision;
        self.history.push(Change {
            revision,
            key,
            value,
        });
    }
}
