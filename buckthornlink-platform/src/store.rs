//! Interface to a key-value store.

use std::future::Future;
use std::time::{Duration, Instant};

use buckthornlink_core::Verdict;

/// Revision of a key or of the whole store. Zero is the revision of a key that does not exist.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub i64);

/// Epoch of the store's contents. It rises when the store is restored from an older copy, after which
/// revisions and lease ids may be given out again. Zero if the store does not tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Epoch(pub u32);

/// Position in the history of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Epoch of the contents.
    pub epoch: Epoch,
    /// Revision within the epoch.
    pub revision: Revision,
}

/// A lease granted by the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId {
    /// Id within the epoch.
    pub id: i64,
    /// Epoch in which it was granted.
    pub epoch: Epoch,
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last write to the key.
    pub revision: Revision,
}

/// Outcome of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The value was written.
    Done,
    /// The key had another revision; holds the current entry, or `None` if the key does not exist.
    Conflict(Option<Entry>),
}

/// A change reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was written.
    Put(Entry),
    /// A key was deleted, or its lease expired.
    Delete {
        /// The deleted key.
        key: String,
        /// Revision of the deletion.
        revision: Revision,
    },
}

impl Change {
    /// Revision of the write or of the deletion.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        match self {
            Self::Put(entry) => entry.revision,
            Self::Delete { revision, .. } => *revision,
        }
    }
}

/// Error of a call to the store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// No connection could be established; nothing was sent.
    #[error("store is unreachable: {0}")]
    Unreachable(String),
    /// The request was sent, but the response was lost or late.
    #[error("store did not respond: {0}")]
    NoResponse(String),
    /// The store responded with an error status.
    #[error("store responded with status {status}: {message}")]
    Status {
        /// HTTP status.
        status: u16,
        /// Body of the response.
        message: String,
    },
    /// The store has been restored from an older copy since the position that the call started from.
    #[error("store has been restored from an older copy")]
    Restored,
    /// The response violates the protocol, or a value could not be encoded or decoded.
    #[error("malformed response or value: {0}")]
    Malformed(String),
}

impl StoreError {
    /// Returns whether a write that failed with this error may have taken effect.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Unreachable(_) | Self::Restored => Verdict::NotRun,
            Self::NoResponse(_) | Self::Status { .. } | Self::Malformed(_) => Verdict::MayHaveRun,
        }
    }
}

/// A stream of changes to the keys of a store.
pub trait Watch: Send {
    /// Waits for the next changes, which are in order. An empty list is an answer of the store as
    /// well: nothing has changed.
    ///
    /// Returns or fails within a few seconds, also if the connection has fallen silent, so that no
    /// change is missed for longer.
    ///
    /// # Errors
    ///
    /// Returns an error once the watch has failed; open a new one then.
    fn next(&mut self) -> impl Future<Output = Result<Vec<Change>, StoreError>> + Send;

    /// Time for which the store delays an answer without changes, if it is known: an answer that takes longer has been
    /// on its way for the rest.
    fn max_wait(&self) -> Option<Duration> {
        None
    }

    /// Moment as of which the store is known to have had no changes but those returned so far, if the watch knows it.
    fn confirmed_at(&self) -> Option<Instant> {
        None
    }
}

/// The operations of a key-value store that the system needs.
pub trait Store: Clone + Send + Sync + 'static {
    /// Type of the watches of this store.
    type Watch: Watch;

    /// Reads at most `limit` entries whose keys start with `prefix`, and the position of the store.
    /// All entries are of one epoch.
    fn range(
        &self,
        prefix: &str,
        limit: u32,
    ) -> impl Future<Output = Result<(Vec<Entry>, Position), StoreError>> + Send;

    /// Like [`Store::range`], but the entries may be some seconds old, which costs the store less.
    fn range_stale(
        &self,
        prefix: &str,
        limit: u32,
    ) -> impl Future<Output = Result<(Vec<Entry>, Position), StoreError>> + Send {
        self.range(prefix, limit)
    }

    /// Reads the entry of one key, or `None` if the key does not exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, StoreError>> + Send;

    /// Writes a key if its current revision is `expected`.
    fn compare_and_swap(
        &self,
        key: &str,
        value: &[u8],
        expected: Revision,
    ) -> impl Future<Output = Result<SwapOutcome, StoreError>> + Send;

    /// Writes a key that is deleted when the lease expires.
    fn put_leased(
        &self,
        key: &str,
        value: &[u8],
        lease: LeaseId,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Grants a lease with this time to live.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, StoreError>> + Send;

    /// Renews a lease; returns its remaining time to live, or zero if it has expired or the store has
    /// been restored since it was granted.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<Duration, StoreError>> + Send;

    /// Revokes a lease, which deletes its keys. Does nothing if the store is known to have been
    /// restored since it was granted.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Waits until the store is known to have been restored since `epoch`; forever if it does not
    /// tell.
    fn wait_restored(&self, epoch: Epoch) -> impl Future<Output = ()> + Send {
        let _ = epoch;
        std::future::pending()
    }

    /// Watches all keys that start with `prefix` for changes after `after`. The watch fails once the
    /// store has been restored.
    fn watch(
        &self,
        prefix: &str,
        after: Position,
    ) -> impl Future<Output = Result<Self::Watch, StoreError>> + Send;
}
