//! Interface to the platform that the processes run on.

use axum::Router;

use buckthornlink_core::ZoneTag;
use buckthornlink_core::datagram::{Flow, Packet, RelayTag, Source, Table};
use buckthornlink_platform::Store;

use crate::ReducerHandle;

/// Translates between the platform's formats and the types of this crate.
pub trait Adapter: Clone + Send + Sync + 'static {
    /// The store that holds the operators' records.
    type Store: Store;

    /// Parses the fields of a packet; returns `None` if it is malformed.
    fn parse_packet(&self, bytes: &[u8], source: Source) -> Option<Packet>;

    /// Writes a relay tag into a packet for another instance or for the backend server.
    fn write_tag(&self, bytes: &mut [u8], tag: RelayTag);

    /// Writes a packet that resets a flow into `bytes` and returns its length.
    fn write_reset(&self, bytes: &mut [u8], flow: &Flow, seq: u32) -> usize;

    /// Creates a client of the store at `url`.
    fn new_store_client(&self, url: &str) -> Self::Store;

    /// Key prefix of the operators' records.
    fn records_prefix(&self) -> &'static str;

    /// Parses an operators' record; returns `None` if the key is unknown or the value malformed.
    fn parse_record(&self, key: &str, value: &[u8]) -> Option<Record>;

    /// The zone that returns to service when `key` is deleted, if any.
    fn zone_of(&self, key: &str) -> Option<ZoneTag>;

    /// HTTP routes for the readiness checks of the fabric.
    fn readiness_router(&self, handle: ReducerHandle) -> Router;

    /// HTTP routes for the heartbeats of the backend server.
    fn control_router(&self, handle: ReducerHandle) -> Router;
}

/// A record that operators write to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// The configuration.
    Config(Table),
    /// The zone is out of service while the record exists.
    ZoneOut(ZoneTag),
}
