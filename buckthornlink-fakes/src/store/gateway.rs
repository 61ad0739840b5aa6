//! The HTTP/JSON gateway, as far as the system uses it.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::State as Extract;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use futures_util::stream;
use serde::Deserialize;
use serde_json::{Value as Any, json};

use super::Shared;
use super::state::{Change, State, Value};

type Store = Extract<Arc<Shared>>;

pub(super) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/v3/kv/range", post(range))
        .route("/v3/kv/txn", post(transact))
        .route("/v3/lease/grant", post(grant))
        .route("/v3/lease/keepalive", post(keep_alive))
        .route("/v3/lease/revoke", post(revoke))
        .route("/v3/watch", post(watch))
        .with_state(shared)
}

#[derive(Deserialize)]
struct RangeRequest {
    key: String,
    range_end: Option<String>,
    #[serde(default)]
    limit: String,
}

#[derive(Deserialize)]
struct PutRequest {
    key: String,
    value: String,
    #[serde(default)]
    lease: String,
}

#[derive(Deserialize)]
struct Compare {
    key: String,
    mod_revision: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Operation {
    RequestPut(PutRequest),
    RequestRange(RangeRequest),
}

#[derive(Deserialize)]
struct TxnRequest {
    #[serde(default)]
    compare: Vec<Compare>,
    #[serde(default)]
    success: Vec<Operation>,
    #[serde(default)]
    failure: Vec<Operation>,
}

#[derive(Deserialize)]
struct LeaseRequest {
    #[serde(rename = "ID")]
    id: String,
}

#[derive(Deserialize)]
struct GrantRequest {
    #[serde(rename = "TTL")]
    ttl: String,
}

#[derive(Deserialize)]
struct WatchRequest {
    create_request: WatchCreate,
}

#[derive(Deserialize)]
struct WatchCreate {
    key: String,
    range_end: String,
    start_revision: String,
}

async fn range(Extract(shared): Store, Json(request): Json<RangeRequest>) -> Json<Any> {
    shared.admit(false).await;
    Json(shared.state(|state| {
        state.expire();
        range_response(state, &request)
    }))
}

async fn transact(Extract(shared): Store, Json(request): Json<TxnRequest>) -> Response {
    shared.admit(true).await;
    let answer = shared.state(|state| transaction(state, request));
    if shared.loses_answer() {
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    Json(answer).into_response()
}

async fn grant(Extract(shared): Store, Json(request): Json<GrantRequest>) -> Json<Any> {
    shared.admit(true).await;
    let seconds = u64::try_from(number(&request.ttl)).unwrap_or(1);
    let id = shared.state(|state| state.grant(Duration::from_secs(seconds)));
    Json(json!({ "ID": id.to_string(), "TTL": request.ttl }))
}

async fn keep_alive(Extract(shared): Store, Json(request): Json<LeaseRequest>) -> Json<Any> {
    shared.admit(true).await;
    let ttl = shared.state(|state| state.renew(number(&request.id)));
    Json(json!({ "result": { "ID": request.id, "TTL": ttl.as_secs().to_string() } }))
}

async fn revoke(Extract(shared): Store, Json(request): Json<LeaseRequest>) -> Json<Any> {
    shared.admit(true).await;
    shared.state(|state| state.revoke(number(&request.id)));
    Json(json!({}))
}

async fn watch(Extract(shared): Store, Json(request): Json<WatchRequest>) -> Body {
    shared.admit(false).await;
    let create = request.create_request;
    let start = bytes(&create.key);
    let end = bytes(&create.range_end);
    let from = number(&create.start_revision);
    let created = "{\"result\":{\"created\":true}}\n".to_owned();
    let first = stream::once(async move { Ok::<_, std::io::Error>(created) });
    let changes = stream::unfold((shared, from), move |(shared, from)| {
        let (start, end) = (start.clone(), end.clone());
        async move {
            let _ = shared.revision.subscribe().wait_for(|r| *r >= from).await;
            let _ = shared.is_up.subscribe().wait_for(|up| *up).await;
            let (found, next) = shared.state(|s| (s.since(&start, &end, from), s.revision() + 1));
            let events: Vec<Any> = found.iter().map(event).collect();
            let line = json!({ "result": { "events": events } });
            Some((Ok(format!("{line}\n")), (shared, next)))
        }
    });
    Body::from_stream(stream::StreamExt::chain(first, changes))
}

fn transaction(state: &mut State, request: TxnRequest) -> Any {
    state.expire();
    let holds = |c: &Compare| {
        let revision = state.get(&bytes(&c.key)).map_or(0, |v| v.modified);
        revision == number(&c.mod_revision)
    };
    let succeeded = request.compare.iter().all(holds);
    let operations = if succeeded {
        request.success
    } else {
        request.failure
    };
    let responses: Vec<Any> = operations
        .into_iter()
        .map(|op| operate(state, op))
        .collect();
    json!({ "header": header(state), "succeeded": succeeded, "responses": responses })
}

fn operate(state: &mut State, operation: Operation) -> Any {
    match operation {
        Operation::RequestPut(put) => {
            state.put(bytes(&put.key), bytes(&put.value), number(&put.lease));
            json!({ "response_put": {} })
        }
        Operation::RequestRange(request) => {
            json!({ "response_range": range_response(state, &request) })
        }
    }
}

fn range_response(state: &State, request: &RangeRequest) -> Any {
    let end = request.range_end.as_deref().map(bytes);
    let found = state.range(&bytes(&request.key), end.as_deref());
    let limit = match number(&request.limit) {
        0 => usize::MAX,
        limit => usize::try_from(limit).unwrap_or(usize::MAX),
    };
    let kvs: Vec<Any> = found
        .iter()
        .take(limit)
        .map(|(k, v)| key_value(k, v))
        .collect();
    json!({ "header": header(state), "kvs": kvs, "count": found.len().to_string() })
}

fn header(state: &State) -> Any {
    json!({ "revision": state.revision().to_string() })
}

fn key_value(key: &[u8], value: &Value) -> Any {
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&value.bytes),
        "create_revision": value.created.to_string(),
        "mod_revision": value.modified.to_string(),
        "lease": value.lease.to_string(),
    })
}

fn event(change: &Change) -> Any {
    match &change.value {
        Some(value) => json!({ "kv": key_value(&change.key, value) }),
        None => json!({
            "type": "DELETE",
            "kv": {
                "key": STANDARD.encode(&change.key),
                "mod_revision": change.revision.to_string(),
            },
        }),
    }
}

fn bytes(text: &str) -> Vec<u8> {
    STANDARD.decode(text).unwrap_or_default()
}

fn number(text: &str) -> i64 {
    text.parse().unwrap_or(0)
}
