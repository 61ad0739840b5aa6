//! Client of the HTTP/JSON gateway of the etcd v3 API.

mod json;
mod watch;

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::store::{Entry, Epoch, LeaseId, Position, Revision, Store, StoreError, SwapOutcome};
use json::{
    Bytes, Compare, GrantRequest, GrantResponse, LeaseRequest, Operation, PutRequest, RangeRequest,
    RangeResponse, RenewResponse, Streamed, TxnRequest, TxnResponse, WatchCreate, WatchRequest,
};
use watch::EtcdWatch;

/// Timeout of one call, except for a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle connection is not used again, since it may have fallen silent. Shorter
/// than [`CALL_TIMEOUT`], so that no second call fails after one that timed out.
const IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// A client of one etcd gateway.
#[derive(Clone, Debug)]
pub struct EtcdStore {
    base_url: String,
    http: reqwest::Client,
}

impl EtcdStore {
    /// Creates a client of the gateway at `base_url`, such as `http://127.0.0.1:2379`.
    ///
    /// No connection is made until the first call.
    ///
    /// ```
    /// let store = buckthornlink_platform::EtcdStore::new("http://127.0.0.1:2379");
    /// ```
    #[must_use]
    pub fn new(base_url: impl Into<String>) -> Self {
        let builder = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .no_proxy();
        Self {
            base_url: base_url.into().trim_end_matches('/').to_owned(),
            http: builder.build().unwrap_or_default(),
        }
    }

    async fn call<Q, A>(&self, path: &str, request: &Q) -> Result<A, StoreError>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let sent = self.post(path, request).timeout(CALL_TIMEOUT).send();
        let response = check_status(sent.await?).await?;
        let body = response.bytes().await?;
        serde_json::from_slice(&body).map_err(|err| StoreError::Malformed(err.to_string()))
    }

    fn post<Q: Serialize>(&self, path: &str, request: &Q) -> reqwest::RequestBuilder {
        self.http
            .post(format!("{}{path}", self.base_url))
            .json(request)
    }

    /// Reads a range. The gateway does not tell epochs, so all positions are of epoch 0.
    async fn read(&self, request: RangeRequest) -> Result<(Vec<Entry>, Position), StoreError> {
        let response: RangeResponse = self.call("/v3/kv/range", &request).await?;
        let position = Position {
            epoch: Epoch(0),
            revision: Revision(response.header.revision),
        };
        Ok((
            response.kvs.into_iter().map(Entry::from).collect(),
            position,
        ))
    }

    /// Revisions of the latest write to a key that starts with `prefix` and exists, and of the store.
    async fn latest_write(&self, prefix: &str) -> Result<(Revision, Revision), StoreError> {
        let request = RangeRequest {
            key: Bytes::from(prefix),
            range_end: Some(prefix_end(prefix)),
            limit: 1,
            sort_order: Some("DESCEND"),
            sort_target: Some("MOD"),
            keys_only: true,
        };
        let (entries, position) = self.read(request).await?;
        let latest = entries
            .first()
            .map_or_else(Revision::default, |e| e.revision);
        Ok((latest, position.revision))
    }

    async fn transact(&self, request: TxnRequest) -> Result<TxnResponse, StoreError> {
        self.call("/v3/kv/txn", &request).await
    }
}

impl Store for EtcdStore {
    type Watch = EtcdWatch;

    async fn range(&self, prefix: &str, limit: u32) -> Result<(Vec<Entry>, Position), StoreError> {
        self.read(RangeRequest {
            key: Bytes::from(prefix),
            range_end: Some(prefix_end(prefix)),
            limit: i64::from(limit),
            ..RangeRequest::default()
        })
        .await
    }

    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let request = RangeRequest {
            key: Bytes::from(key),
            limit: 1,
            ..RangeRequest::default()
        };
        let (mut entries, _) = self.read(request).await?;
        Ok(entries.pop())
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        value: &[u8],
        expected: Revision,
    ) -> Result<SwapOutcome, StoreError> {
        let request = TxnRequest {
            compare: vec![Compare::revision_equals(key, expected)],
            success: vec![Operation::put(PutRequest::new(key, value, None))],
            failure: vec![Operation::range(RangeRequest {
                key: Bytes::from(key),
                limit: 1,
                ..RangeRequest::default()
            })],
        };
        let response = self.transact(request).await?;
        if response.succeeded {
            return Ok(SwapOutcome::Done);
        }
        Ok(SwapOutcome::Conflict(response.first_entry()))
    }

    async fn put_leased(&self, key: &str, value: &[u8], lease: LeaseId) -> Result<(), StoreError> {
        let put = PutRequest::new(key, value, Some(lease));
        let request = TxnRequest {
            compare: Vec::new(),
            success: vec![Operation::put(put)],
            failure: Vec::new(),
        };
        self.transact(request).await.map(drop)
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let ttl = i64::try_from(ttl.as_secs().max(1)).unwrap_or(i64::MAX);
        let response: GrantResponse = self.call("/v3/lease/grant", &GrantRequest { ttl }).await?;
        Ok(LeaseId {
            id: response.id,
            epoch: Epoch(0),
        })
    }

    async fn renew(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        let request = LeaseRequest { id: lease.id };
        let response: Streamed<RenewResponse> = self.call("/v3/lease/keepalive", &request).await?;
        let seconds = u64::try_from(response.result.ttl).unwrap_or(0);
        Ok(Duration::from_secs(seconds))
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        let request = LeaseRequest { id: lease.id };
        let _: serde_json::Value = self.call("/v3/lease/revoke", &request).await?;
        Ok(())
    }

    async fn watch(&self, prefix: &str, after: Position) -> Result<EtcdWatch, StoreError> {
        let request = WatchRequest {
            create_request: WatchCreate {
                key: Bytes::from(prefix),
                range_end: prefix_end(prefix),
                start_revision: after.revision.0 + 1,
            },
        };
        let sent = timeout(CALL_TIMEOUT, self.post("/v3/watch", &request).send()).await;
        let sent = sent.map_err(|_| StoreError::NoResponse("no response to a watch".to_owned()))?;
        let response = check_status(sent?).await?;
        Ok(EtcdWatch::new(
            self.clone(),
            prefix.to_owned(),
            after.revision,
            response,
        ))
    }
}

impl From<reqwest::Error> for StoreError {
    fn from(err: reqwest::Error) -> Self {
        let text = err.to_string();
        if err.is_connect() || err.is_builder() {
            Self::Unreachable(text)
        } else if err.is_decode() {
            Self::Malformed(text)
        } else {
            Self::NoResponse(text)
        }
    }
}

/// Returns the response unchanged if it has a success status.
///
/// # Errors
///
/// Returns an error with the status and the body of any other response.
pub async fn check_status(response: reqwest::Response) -> Result<reqwest::Response, StoreError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let message = response.text().await.unwrap_or_default();
    Err(StoreError::Status {
        status: status.as_u16(),
        message,
    })
}

/// Returns the first key after all keys that start with `prefix`, the end of the range in etcd's
/// API.
fn prefix_end(prefix: &str) -> Bytes {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            break;
        }
    }
    Bytes(end)
}
