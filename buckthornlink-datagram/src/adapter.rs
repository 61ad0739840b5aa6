//! What the surroundings supply.

use axum::Router;

use buckthornlink_core::ZoneTag;
use buckthornlink_core::datagram::{Flow, Packet, RelayTag, Source, Table};
use buckthornlink_platform::Store;

use crate::ReducerHandle;

/// Translates between the surroundings and the product.
pub trait Adapter: Clone + Send + Sync + 'static {
    /// The store that holds the operators' records.
    type Store: Store;

    /// Reads the fields of a packet; `None` if it is malformed.
    fn read_packet(&self, bytes: &[u8], source: Source) -> Option<Packet>;

    /// Writes a tag into a packet for another instance or for the backend server.
    fn write_tag(&self, bytes: &mut [u8], tag: RelayTag);

    /// Writes a packet that ends a flow into `bytes` and returns its length.
    fn write_reset(&self, bytes: &mut [u8], flow: &Flow, seq: u32) -> usize;

    /// Opens the store at `url`.
    fn open_store(&self, url: &str) -> Self::Store;

    /// Prefix of the operators' records.
    fn records_prefix(&self) -> &'static str;

    /// Reads a record of the operators; `None` if it is none, or malformed.
    fn read_record(&self, key: &str, value: &[u8]) -> Option<Record>;

    /// The zone that is back in service when `key` is deleted.
    fn zone_of(&self, key: &str) -> Option<ZoneTag>;

    /// The HTTP interface for the fabric's readiness checks.
    fn readiness_router(&self, handle: ReducerHandle) -> Router;

    /// The HTTP interface for the heartbeats of the backend server.
    fn control_router(&self, handle: ReducerHandle) -> Router;
}

/// A record of the operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// The configuration.
    Config(Table),
    /// The zone is out of service while the record stands.
    ZoneOut(ZoneTag),
}
