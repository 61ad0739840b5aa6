//! JSON messages of the gateway. 64-bit integers are encoded as strings, and bytes as base64.

use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::{DisplayFromStr, serde_as};

use crate::store::{Change, Entry, LeaseId, Revision};

#[serde_as]
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct Bytes(#[serde_as(as = "Base64")] pub(super) Vec<u8>);

impl From<&str> for Bytes {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }
}

#[serde_as]
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct ResponseHeader {
    #[serde_as(as = "DisplayFromStr")]
    pub(super) revision: i64,
}

#[serde_as]
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct KeyValue {
    key: Bytes,
    value: Bytes,
    #[serde_as(as = "DisplayFromStr")]
    mod_revision: i64,
}

impl From<KeyValue> for Entry {
    fn from(kv: KeyValue) -> Self {
        Self {
            key: String::from_utf8_lossy(&kv.key.0).into_owned(),
            value: kv.value.0,
            revision: Revision(kv.mod_revision),
        }
    }
}

#[serde_as]
#[derive(Debug, Default, Serialize)]
pub(super) struct RangeRequest {
    pub(super) key: Bytes,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) range_end: Option<Bytes>,
    #[serde_as(as = "DisplayFromStr")]
    pub(super) limit: i64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) sort_order: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) sort_target: Option<&'static str>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(super) keys_only: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct RangeResponse {
    pub(super) header: ResponseHeader,
    pub(super) kvs: Vec<KeyValue>,
}

#[serde_as]
#[derive(Debug, Serialize)]
pub(super) struct PutRequest {
    key: Bytes,
    value: Bytes,
    #[serde_as(as = "DisplayFromStr")]
    lease: i64,
}

impl PutRequest {
    pub(super) fn new(key: &str, value: &[u8], lease: Option<LeaseId>) -> Self {
        Self {
            key: Bytes::from(key),
            value: Bytes(value.to_vec()),
            lease: lease.map_or(0, |l| l.id),
        }
    }
}

#[serde_as]
#[derive(Debug, Serialize)]
pub(super) struct Compare {
    key: Bytes,
    target: &'static str,
    result: &'static str,
    #[serde_as(as = "DisplayFromStr")]
    mod_revision: i64,
}

impl Compare {
    /// Creates the condition that the revision of the last write to `key` is `expected`.
    pub(super) fn revision_equals(key: &str, expected: Revision) -> Self {
        Self {
            key: Bytes::from(key),
            target: "MOD",
            result: "EQUAL",
            mod_revision: expected.0,
        }
    }
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Operation {
    RequestPut(PutRequest),
    RequestRange(RangeRequest),
}

impl Operation {
    pub(super) const fn put(request: PutRequest) -> Self {
        Self::RequestPut(request)
    }

    pub(super) const fn range(request: RangeRequest) -> Self {
        Self::RequestRange(request)
    }
}

#[derive(Debug, Serialize)]
pub(super) struct TxnRequest {
    pub(super) compare: Vec<Compare>,
    pub(super) success: Vec<Operation>,
    pub(super) failure: Vec<Operation>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct TxnResponse {
    pub(super) succeeded: bool,
    responses: Vec<OperationResponse>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct OperationResponse {
    response_range: Option<RangeResponse>,
}

impl TxnResponse {
    /// Returns the first entry that a range request of the transaction returned.
    pub(super) fn first_entry(self) -> Option<Entry> {
        let ranges = self.responses.into_iter().filter_map(|r| r.response_range);
        ranges.flat_map(|r| r.kvs).next().map(Entry::from)
    }
}

#[serde_as]
#[derive(Debug, Serialize)]
pub(super) struct GrantRequest {
    #[serde(rename = "TTL")]
    #[serde_as(as = "DisplayFromStr")]
    pub(super) ttl: i64,
}

#[serde_as]
#[derive(Debug, Deserialize)]
pub(super) struct GrantResponse {
    #[serde(rename = "ID")]
    #[serde_as(as = "DisplayFromStr")]
    pub(super) id: i64,
}

#[serde_as]
#[derive(Debug, Serialize)]
pub(super) struct LeaseRequest {
    #[serde(rename = "ID")]
    #[serde_as(as = "DisplayFromStr")]
    pub(super) id: i64,
}

/// Response of a streaming call, which the gateway wraps in a `result` field.
#[derive(Debug, Deserialize)]
pub(super) struct Streamed<T> {
    pub(super) result: T,
}

#[serde_as]
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct RenewResponse {
    #[serde(rename = "TTL")]
    #[serde_as(as = "DisplayFromStr")]
    pub(super) ttl: i64,
}

#[derive(Debug, Serialize)]
pub(super) struct WatchRequest {
    pub(super) create_request: WatchCreate,
}

#[serde_as]
#[derive(Debug, Serialize)]
pub(super) struct WatchCreate {
    pub(super) key: Bytes,
    pub(super) range_end: Bytes,
    #[serde_as(as = "DisplayFromStr")]
    pub(super) start_revision: i64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchResponse {
    pub(super) events: Vec<WatchEvent>,
}

#[derive(Debug, Deserialize)]
pub(super) struct WatchEvent {
    #[serde(rename = "type", default)]
    kind: WatchKind,
    kv: KeyValue,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum WatchKind {
    #[default]
    Put,
    Delete,
}

impl From<WatchEvent> for Change {
    fn from(event: WatchEvent) -> Self {
        let entry = Entry::from(event.kv);
        match event.kind {
            WatchKind::Put => Self::Put(entry),
            WatchKind::Delete => Self::Delete {
                key: entry.key,
                revision: entry.revision,
            },
        }
    }
}
