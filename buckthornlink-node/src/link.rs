//! What a process offers to the other processes at its link address.
//!
//! Datagrams in [envelopes](buckthornlink_wire::Header) come by UDP. A configuration, which does
//! not fit a datagram, is fetched by HTTP from the same address and port; the body is an
//! authenticated envelope around compressed `MessagePack`. A process that names the version that
//! it has gets only what has changed since.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::Router;
use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::routing::get;
use bytes::BytesMut;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use buckthornlink_core::Version;
use buckthornlink_core::config::{Config, ConfigDelta};
use buckthornlink_wire::{DecodeError, Header, KeyRing};

const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
const COMPRESSION_LEVEL: i32 = 3;
/// Bytes that a body may have after decompression.
const MAX_BODY_BYTES: usize = 4_000_000;
/// Changes that are remembered.
const MAX_CHANGES: usize = 64;

/// A configuration on its way between two processes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedConfig {
    /// Its version.
    pub version: Version,
    /// The configuration, or the part of it that was asked for.
    pub config: Config,
}

/// What a process answers to a fetch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum FetchResponse {
    /// The configuration, or the part of it that was asked for.
    Whole(VersionedConfig),
    /// The changes since the version that the receiver has, in order.
    Changes {
        version: Version,
        deltas: Vec<ConfigDelta>,
    },
}

/// The latest changes of a configuration, so that processes which are a little behind need not
/// fetch all of it.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    changes: Mutex<VecDeque<Change>>,
}

#[derive(Clone, Debug)]
struct Change {
    base: Version,
    delta: ConfigDelta,
}

impl ConfigHistory {
    /// Notes a change from `old` to a newer configuration.
    pub fn record(&self, old: &VersionedConfig, new: &VersionedConfig) {
        let change = Change {
            base: old.version,
            delta: ConfigDelta::between(&old.config, &new.config),
        };
        let mut changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        changes.push_back(change);
        if changes.len() > MAX_CHANGES {
            changes.pop_front();
        }
    }

    /// The changes since `base`, if they are all remembered.
    fn since(&self, base: Version) -> Option<Vec<ConfigDelta>> {
        let changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        let start = changes.iter().position(|c| c.base == base)?;
        Some(
            changes
                .iter()
                .skip(start)
                .map(|c| c.delta.clone())
                .collect(),
        )
    }
}

/// Why a configuration could not be fetched.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The other process did not answer, or with an error.
    #[error(transparent)]
    Http(#[from] reqwest::Error),
    /// The answer is not authentic.
    #[error(transparent)]
    Envelope(#[from] DecodeError),
    /// The answer does not decode.
    #[error(transparent)]
    Decode(#[from] rmp_serde::decode::Error),
    /// The answer does not decompress.
    #[error(transparent)]
    Compression(#[from] std::io::Error),
}

/// Source of the configuration that a process offers.
pub trait ConfigSource: Send + Sync + 'static {
    /// The configuration in force.
    fn current(&self) -> Arc<VersionedConfig>;

    /// Its latest changes.
    fn history(&self) -> &ConfigHistory;
}

/// A router that serves the configuration at `/config`, whole or for one service.
pub fn router(source: Arc<dyn ConfigSource>, keys: Arc<KeyRing>) -> Router {
    let state = ServerState { source, keys };
    Router::new()
        .route("/config", get(serve_config))
        .with_state(state)
}

/// Fetches a configuration, or the part of it that concerns `service`. `base` is what the caller
/// has already.
///
/// # Errors
///
/// Returns an error if the other process does not answer, or not authentically.
pub async fn fetch(
    http: &reqwest::Client,
    from: SocketAddrV4,
    service: Option<&str>,
    base: &VersionedConfig,
    keys: &KeyRing,
) -> Result<VersionedConfig, FetchError> {
    let query = service
        .map(|name| format!("&service={name}"))
        .unwrap_or_default();
    let url = format!("http://{from}/config?have={}{query}", base.version);
    Ok(
        match fetch_authenticated(http, &url, FETCH_TIMEOUT, keys).await? {
            FetchResponse::Whole(reply) => reply,
            FetchResponse::Changes { version, deltas } => {
                let apply = |config: Config, delta: &ConfigDelta| delta.apply(&config);
                let config = deltas.iter().fold(base.config.clone(), apply);
                VersionedConfig { version, config }
            }
        },
    )
}

/// Gets what another process offers at `url`, as [`encode_authenticated`] made it.
///
/// # Errors
///
/// Returns an error if the other process does not answer within `timeout`, or not authentically.
pub async fn fetch_authenticated<T: DeserializeOwned>(
    http: &reqwest::Client,
    url: &str,
    timeout: Duration,
    keys: &KeyRing,
) -> Result<T, FetchError> {
    let response = http
        .get(url)
        .timeout(timeout)
        .send()
        .await?
        .error_for_status()?;
    let body = response.bytes().await?;
    let (_, start) = Header::decode(&body, keys)?;
    let bytes = zstd::bulk::decompress(&body[start..], MAX_BODY_BYTES)?;
    Ok(rmp_serde::from_slice(&bytes)?)
}

/// Encodes, compresses and authenticates what this process offers over HTTP.
///
/// # Errors
///
/// Returns an error if `content` cannot be encoded.
pub fn encode_authenticated<T: Serialize>(content: &T, keys: &KeyRing) -> anyhow::Result<Vec<u8>> {
    let bytes = rmp_serde::to_vec(content)?;
    let compressed = zstd::bulk::compress(&bytes, COMPRESSION_LEVEL)?;
    let mut out = BytesMut::new();
    Header::Control.encode(keys.current(), &compressed, &mut out);
    Ok(out.to_vec())
}

/// An HTTP client for [`fetch`].
#[must_use]
pub fn client() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .build()
        .unwrap_or_default()
}

#[derive(Clone)]
struct ServerState {
    source: Arc<dyn ConfigSource>,
    keys: Arc<KeyRing>,
}

#[derive(Debug, Default, Deserialize)]
struct ConfigQuery {
    service: Option<String>,
    #[serde(default)]
    have: u64,
}

async fn serve_config(
    State(state): State<ServerState>,
    Query(query): Query<ConfigQuery>,
) -> Result<Vec<u8>, StatusCode> {
    let response = build_response(state.source.as_ref(), &query).ok_or(StatusCode::NOT_FOUND)?;
    encode_authenticated(&response, &state.keys).map_err(|err| {
        log::error!(err:% = err; "configuration cannot be encoded");
        StatusCode::INTERNAL_SERVER_ERROR
    })
}

/// The least that brings the asking process up to date, or `None` if its service is unknown.
fn build_response(source: &dyn ConfigSource, query: &ConfigQuery) -> Option<FetchResponse> {
    let current = source.current();
    let version = current.version;
    let changes = source.history().since(Version(query.have));
    let Some(name) = &query.service else {
        return Some(match changes {
            Some(deltas) => FetchResponse::Changes { version, deltas },
            None => FetchResponse::Whole(current.as_ref().clone()),
        });
    };
    let config = current.config.slice(name)?;
    let is_unchanged =
        changes.is_some_and(|deltas| deltas.iter().all(|d| d.leaves_unchanged(&config)));
    if is_unchanged {
        let deltas = Vec::new();
        return Some(FetchResponse::Changes { version, deltas });
    }
    Some(FetchResponse::Whole(VersionedConfig { version, config }))
}
