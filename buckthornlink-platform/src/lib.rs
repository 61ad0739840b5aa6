//! Access to a key-value store and the operators' records in it.
//!
//! [`Store`] is the interface that the system needs. [`EtcdStore`] implements it over the HTTP/JSON
//! gateway of the etcd v3 API. [`Catalog`] reads and edits the configuration and the zone records
//! by compare-and-swap.
//!
//! # Example
//!
//! ```no_run
//! use buckthornlink_platform::{Catalog, EtcdStore};
//!
//! # async fn run() -> Result<(), buckthornlink_platform::StoreError> {
//! let catalog = Catalog::new(EtcdStore::new("http://127.0.0.1:2379"));
//! if let Some(current) = catalog.config().await? {
//!     println!("version {}", current.record.version);
//! }
//! # Ok(())
//! # }
//! ```

mod catalog;
mod etcd;
mod store;

pub use catalog::{
    Accepted, BALANCERS_PREFIX, BalancerEntry, CONFIG_KEY, Catalog, ConfigRecord, EditError,
    EditTime, FLOWS_PREFIX, MEMBERS_PREFIX, MemberList, ROOT_PREFIX, StoredRecord, ZONES_PREFIX,
    ZoneEntry,
};
pub use etcd::{EtcdStore, check_status};
pub use store::{
    Change, Entry, Epoch, LeaseId, Position, Revision, Store, StoreError, SwapOutcome, Watch,
};
