//! The part of etcd's HTTP/JSON gateway that the system uses.

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
use serde_json::{Value as JsonValue, json};

use super::Shared;
use super::state::{Change, State, Value};

type SharedState = Extract<Arc<Shared>>;

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
    #[serde(default)]
    sort_order: String,
    #[serde(default)]
    sort_target: String,
    #[serde(default)]
    keys_only: bool,
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

async fn range(Extract(shared): SharedState, Json(request): Json<RangeRequest>) -> Json<JsonValue> {
    shared.begin_call(false).await;
    Json(shared.with_state(|state| {
        state.expire();
        range_response(state, &request)
    }))
}

async fn transact(Extract(shared): SharedState, Json(request): Json<TxnRequest>) -> Response {
    shared.begin_call(true).await;
    let response = shared.with_state(|state| apply_transaction(state, request));
    if shared.take_lost_response() {
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    Json(response).into_response()
}

async fn grant(Extract(shared): SharedState, Json(request): Json<GrantRequest>) -> Json<JsonValue> {
    shared.begin_call(true).await;
    let seconds = u64::try_from(parse_number(&request.ttl)).unwrap_or(1);
    let id = shared.with_state(|state| state.grant(Duration::from_secs(seconds)));
    Json(json!({ "ID": id.to_string(), "TTL": request.ttl }))
}

async fn keep_alive(
    Extract(shared): SharedState,
    Json(request): Json<LeaseRequest>,
) -> Json<JsonValue> {
    shared.begin_call(true).await;
    let ttl = shared.with_state(|state| state.renew(parse_number(&request.id)));
    Json(json!({ "result": { "ID": request.id, "TTL": ttl.as_secs().to_string() } }))
}

async fn revoke(
    Extract(shared): SharedState,
    Json(request): Json<LeaseRequest>,
) -> Json<JsonValue> {
    shared.begin_call(true).await;
    shared.with_state(|state| state.revoke(parse_number(&request.id)));
    Json(json!({}))
}

async fn watch(Extract(shared): SharedState, Json(request): Json<WatchRequest>) -> Body {
    shared.begin_call(false).await;
    let create = request.create_request;
    let start = decode_base64(&create.key);
    let end = decode_base64(&create.range_end);
    let from = parse_number(&create.start_revision);
    let opened_after = *shared.silences.borrow();
    let created = "{\"result\":{\"created\":true}}\n".to_owned();
    let first = stream::once(async move { Ok::<_, std::io::Error>(created) });
    let changes = stream::unfold((shared, from), move |(shared, from)| {
        let (start, end) = (start.clone(), end.clone());
        async move {
            let _ = shared.revision.subscribe().wait_for(|r| *r >= from).await;
            let _ = shared
                .is_available
                .subscribe()
                .wait_for(|available| *available)
                .await;
            if *shared.silences.borrow() > opened_after {
                std::future::pending::<()>().await;
            }
            let (found, next) =
                shared.with_state(|s| (s.changes_since(&start, &end, from), s.revision() + 1));
            let events: Vec<JsonValue> = found.iter().map(event_json).collect();
            let line = json!({ "result": { "events": events } });
            Some((Ok(format!("{line}\n")), (shared, next)))
        }
    });
    Body::from_stream(stream::StreamExt::chain(first, changes))
}

fn apply_transaction(state: &mut State, request: TxnRequest) -> JsonValue {
    state.expire();
    let is_met = |c: &Compare| {
        let revision = state.get(&decode_base64(&c.key)).map_or(0, |v| v.modified);
        revision == parse_number(&c.mod_revision)
    };
    let succeeded = request.compare.iter().all(is_met);
    let operations = if succeeded {
        request.success
    } else {
        request.failure
    };
    let responses: Vec<JsonValue> = operations
        .into_iter()
        .map(|op| apply_operation(state, op))
        .collect();
    json!({ "header": header_json(state), "succeeded": succeeded, "responses": responses })
}

fn apply_operation(state: &mut State, operation: Operation) -> JsonValue {
    match operation {
        Operation::RequestPut(put) => {
            state.put(
                decode_base64(&put.key),
                decode_base64(&put.value),
                parse_number(&put.lease),
            );
            json!({ "response_put": {} })
        }
        Operation::RequestRange(request) => {
            json!({ "response_range": range_response(state, &request) })
        }
    }
}

fn range_response(state: &State, request: &RangeRequest) -> JsonValue {
    let end = request.range_end.as_deref().map(decode_base64);
    let mut found = state.range(&decode_base64(&request.key), end.as_deref());
    if (request.sort_order.as_str(), request.sort_target.as_str()) == ("DESCEND", "MOD") {
        found.sort_by_key(|(_, value)| std::cmp::Reverse(value.modified));
    }
    if request.keys_only {
        for (_, value) in &mut found {
            value.bytes.clear();
        }
    }
    let limit = match parse_number(&request.limit) {
        0 => usize::MAX,
        limit => usize::try_from(limit).unwrap_or(usize::MAX),
    };
    let kvs: Vec<JsonValue> = found
        .iter()
        .take(limit)
        .map(|(k, v)| key_value_json(k, v))
        .collect();
    json!({ "header": header_json(state), "kvs": kvs, "count": found.len().to_string() })
}

fn header_json(state: &State) -> JsonValue {
    json!({ "revision": state.revision().to_string() })
}

fn key_value_json(key: &[u8], value: &Value) -> JsonValue {
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&value.bytes),
        "create_revision": value.created.to_string(),
        "mod_revision": value.modified.to_string(),
        "lease": value.lease.to_string(),
    })
}

fn event_json(change: &Change) -> JsonValue {
    match &change.value {
        Some(value) => json!({ "kv": key_value_json(&change.key, value) }),
        None => json!({
            "type": "DELETE",
            "kv": {
                "key": STANDARD.encode(&change.key),
                "mod_revision": change.revision.to_string(),
            },
        }),
    }
}

fn decode_base64(text: &str) -> Vec<u8> {
    STANDARD.decode(text).unwrap_or_default()
}

fn parse_number(text: &str) -> i64 {
    text.parse().unwrap_or(0)
}
