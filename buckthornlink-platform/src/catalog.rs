//! The operators' records in the store: one configuration and one record for each zone.
//!
//! Every edit is a compare-and-swap with an edit id. If the response to a write is lost, the write
//! is retried until its outcome is known or the timeout is over. If a retry conflicts, the edit id
//! in the stored record shows whether an earlier attempt succeeded.

mod edit;
mod edit_time;
mod record;

pub use edit::{Accepted, EditError};
pub use edit_time::EditTime;
pub use record::{BalancerEntry, ConfigRecord, MemberList, ZoneEntry};

use crate::store::{Entry, Position, Revision, Store, StoreError};

/// Prefix of all keys of the system.
pub const ROOT_PREFIX: &str = "/buckthornlink/";
/// Key of the configuration.
pub const CONFIG_KEY: &str = "/buckthornlink/config";
/// Prefix of the zone records.
pub const ZONES_PREFIX: &str = "/buckthornlink/zones/";
/// Prefix of the leased entries of balancers, from which the command line finds them.
pub const BALANCERS_PREFIX: &str = "/buckthornlink/balancers/";
/// Prefix of the lists of the instances of the datagram path, one for each zone.
pub const MEMBERS_PREFIX: &str = "/buckthornlink/members/";
/// Prefix of the keys under which agents save the flows of their backend servers.
pub const FLOWS_PREFIX: &str = "/buckthornlink/flows/";

/// Maximum number of zone records read.
const MAX_ZONES: u32 = 256;

/// Reads and edits the operators' records.
#[derive(Clone, Debug)]
pub struct Catalog<S> {
    store: S,
    clock: fn() -> EditTime,
}

/// A record and the revision of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord<T> {
    /// The record.
    pub record: T,
    /// Revision of the last write to the key.
    pub revision: Revision,
}

impl<S: Store> Catalog<S> {
    /// Creates a catalog of the records in `store`.
    #[must_use]
    pub const fn new(store: S) -> Self {
        Self::with_clock(store, EditTime::now)
    }

    /// Creates a catalog of the records in `store` whose edits take their time from `clock`.
    #[must_use]
    pub const fn with_clock(store: S, clock: fn() -> EditTime) -> Self {
        Self { store, clock }
    }

    /// Returns the underlying store.
    #[must_use]
    pub const fn store(&self) -> &S {
        &self.store
    }

    /// Reads the configuration; returns `None` if none has been written.
    ///
    /// # Errors
    ///
    /// Returns an error if the call to the store fails or a value does not parse.
    pub async fn config(&self) -> Result<Option<StoredRecord<ConfigRecord>>, StoreError> {
        decode_entry(self.store.get(CONFIG_KEY).await?)
    }

    /// Reads the record of one zone; returns `None` if none has been written.
    ///
    /// # Errors
    ///
    /// Returns an error if the call to the store fails or a value does not parse.
    pub async fn zone(&self, name: &str) -> Result<Option<StoredRecord<ZoneEntry>>, StoreError> {
        decode_entry(self.store.get(&zone_key(name)).await?)
    }

    /// Reads all zone records, and the position of the store. Malformed records are left out.
    ///
    /// # Errors
    ///
    /// Returns an error if the call to the store fails.
    pub async fn zones(&self) -> Result<(Vec<ZoneEntry>, Position), StoreError> {
        let (entries, position) = self.store.range(ZONES_PREFIX, MAX_ZONES).await?;
        Ok((decode_valid(&entries), position))
    }

    /// Reads the entries of at most `limit` balancers with a valid lease. Malformed entries are left
    /// out.
    ///
    /// # Errors
    ///
    /// Returns an error if the call to the store fails.
    pub async fn balancers(&self, limit: u32) -> Result<Vec<BalancerEntry>, StoreError> {
        let (entries, _) = self.store.range(BALANCERS_PREFIX, limit).await?;
        Ok(decode_valid(&entries))
    }
}

fn zone_key(name: &str) -> String {
    format!("{ZONES_PREFIX}{name}")
}

fn decode_entry<T>(entry: Option<Entry>) -> Result<Option<StoredRecord<T>>, StoreError>
where
    T: serde::de::DeserializeOwned,
{
    let Some(entry) = entry else {
        return Ok(None);
    };
    Ok(Some(StoredRecord {
        record: decode(&entry.value)?,
        revision: entry.revision,
    }))
}

/// Decodes the values of entries; malformed ones are logged and left out.
fn decode_valid<T: serde::de::DeserializeOwned>(entries: &[Entry]) -> Vec<T> {
    let decode_entry = |entry: &Entry| match decode(&entry.value) {
        Ok(record) => Some(record),
        Err(err) => {
            log::warn!(key = entry.key, err:% = err; "ignoring a malformed record in the store");
            None
        }
    };
    entries.iter().filter_map(decode_entry).collect()
}

fn decode<T: serde::de::DeserializeOwned>(value: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(value).map_err(|err| StoreError::Malformed(err.to_string()))
}
