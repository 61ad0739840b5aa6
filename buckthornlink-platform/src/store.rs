//! The interface to a key-value store.

use std::future::Future;
use std::time::Duration;

use buckthornlink_core::Verdict;

/// Revision of a key or of the whole store. Zero stands for a key that does not exist.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub i64);

/// A lease granted by the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId(pub i64);

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
    /// The key had another revision; this is what stands there.
    Conflict(Option<Entry>),
}

/// A change that a watch reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was written.
    Put(Entry),
    /// A key was deleted, or its lease ran out.
    Delete {
        /// The key.
        key: String,
        /// Revision of the deletion.
        revision: Revision,
    },
}

/// Why a call to the store has no answer.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// No connection could be made; nothing was sent.
    #[error("store is unreachable: {0}")]
    Unreachable(String),
    /// The request was sent, but its answer was lost or late.
    #[error("store did not answer: {0}")]
    Lost(String),
    /// The store answered with an error.
    #[error("store refused the call with status {status}: {message}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        message: String,
    },
    /// The answer is not what the protocol says.
    #[error("store sent a malformed answer: {0}")]
    Malformed(String),
}

impl StoreError {
    /// Whether a write that ended so may have taken effect.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Unreachable(_) => Verdict::NotRun,
            Self::Lost(_) | Self::Refused { .. } | Self::Malformed(_) => Verdict::MayHaveRun,
        }
    }
}

/// A running watch.
pub trait Watch: Send {
    /// The next changes, in order.
    ///
    /// # Errors
    ///
    /// Returns an error once the watch has broken; it is then to be opened anew.
    fn next(&mut self) -> impl Future<Output = Result<Vec<Change>, StoreError>> + Send;
}

/// What the system needs of a key-value store.
pub trait Store: Clone + Send + Sync + 'static {
    /// A watch of this store.
    type Watch: Watch;

    /// All keys that start with `prefix`, at most `limit`, and the store's revision.
    fn range(
        &self,
        prefix: &str,
        limit: u32,
    ) -> impl Future<Output = Result<(Vec<Entry>, Revision), StoreError>> + Send;

    /// The value of one key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, StoreError>> + Send;

    /// Writes a key if its revision is `expected`.
    fn compare_and_swap(
        &self,
        key: &str,
        value: &[u8],
        expected: Revision,
    ) -> impl Future<Output = Result<SwapOutcome, StoreError>> + Send;

    /// Writes a key that is deleted when the lease runs out.
    fn put_leased(
        &self,
        key: &str,
        value: &[u8],
        lease: LeaseId,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Grants a lease.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, StoreError>> + Send;

    /// Renews a lease; returns the time that it has left, zero if it has run out.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<Duration, StoreError>> + Send;

    /// Gives a lease back, which deletes its keys.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Watches all keys that start with `prefix`, from the revision after `after`.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
    ) -> impl Future<Output = Result<Self::Watch, StoreError>> + Send;
}
