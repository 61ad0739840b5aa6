//! Transfer of configurations between processes.
//!
//! Datagrams in [envelopes](buckthornlink_wire::Header) arrive by UDP at the link address of a
//! process. A configuration does not fit a datagram and is fetched over HTTP from the same address
//! and port; the body is an authenticated envelope around compressed `MessagePack`. A process that
//! sends the version it has may receive only the changes since that version.

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

/// Target of the log records of this module. Operators name it in the filters of `log.level`, so
/// it is kept although the module has another name.
const LOG_TARGET: &str = "buckthornlink_node::link";
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
const ZSTD_LEVEL: i32 = 3;
/// Limit of a body after decompression, in bytes.
const MAX_BODY_BYTES: usize = 4_000_000;
/// Number of deltas that a [`ConfigHistory`] retains.
const MAX_DELTAS: usize = 64;

/// A configuration, or the part of it that concerns one service, with its version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedConfig {
    /// Version of the configuration.
    pub version: Version,
    /// The configuration, or the requested part of it.
    pub config: Config,
}

/// Response to a configuration fetch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum FetchResponse {
    /// The configuration, or the requested part of it.
    Whole(VersionedConfig),
    /// The changes since the version that the requester has, oldest first.
    Changes {
        version: Version,
        deltas: Vec<ConfigDelta>,
    },
}

/// The latest changes of a configuration. Processes that are a few versions behind fetch these
/// instead of the whole configuration.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    deltas: Mutex<VecDeque<VersionedDelta>>,
}

/// A change of the configuration, with the version to which it applies.
#[derive(Clone, Debug)]
struct VersionedDelta {
    base: Version,
    delta: ConfigDelta,
}

impl ConfigHistory {
    /// Records the change from `old` to the newer configuration `new`.
    pub fn record(&self, old: &VersionedConfig, new: &VersionedConfig) {
        let delta = VersionedDelta {
            base: old.version,
            delta: ConfigDelta::between(&old.config, &new.config),
        };
        let mut deltas = self.deltas.lock().unwrap_or_else(PoisonError::into_inner);
        deltas.push_back(delta);
        if deltas.len() > MAX_DELTAS {
            deltas.pop_front();
        }
    }

    /// Returns the changes since `base`, or `None` if they are not all retained.
    fn since(&self, base: Version) -> Option<Vec<ConfigDelta>> {
        let deltas = self.deltas.lock().unwrap_or_else(PoisonError::into_inner);
        let start = deltas.iter().position(|d| d.base == base)?;
        Some(deltas.iter().skip(start).map(|d| d.delta.clone()).collect())
    }
}

/// Error while fetching from another process.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The other process did not respond, or responded with an error.
    #[error(transparent)]
    Http(#[from] reqwest::Error),
    /// The envelope of the response is invalid or not authentic.
    #[error(transparent)]
    Envelope(#[from] DecodeError),
    /// The response does not decode.
    #[error(transparent)]
    Decode(#[from] rmp_serde::decode::Error),
    /// The response does not decompress.
    #[error(transparent)]
    Compression(#[from] std::io::Error),
}

/// Source of the configuration that a process serves.
pub trait ConfigSource: Send + Sync + 'static {
    /// Returns the current configuration.
    fn current(&self) -> Arc<VersionedConfig>;

    /// Returns the latest changes of the configuration.
    fn history(&self) -> &ConfigHistory;
}

/// Creates a router that serves the configuration at `/config`, whole or for one service.
pub fn config_router(source: Arc<dyn ConfigSource>, keys: Arc<KeyRing>) -> Router {
    let state = ServerState { source, keys };
    Router::new()
        .route("/config", get(serve_config))
        .with_state(state)
}

/// Fetches a configuration, or the part of it that concerns `service`. `base` is the configuration
/// that this process has already; changes are applied to it.
///
/// # Errors
///
/// Returns an error if the other process does not respond, or its response is not authentic.
pub async fn fetch_config(
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

/// Fetches content that another process serves at `url`, encoded by [`encode_authenticated`].
///
/// # Errors
///
/// Returns an error if the other process does not respond within `timeout`, or its response is not
/// authentic.
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

/// Encodes, compresses and authenticates content that this process serves over HTTP.
///
/// # Errors
///
/// Returns an error if `content` cannot be encoded.
pub fn encode_authenticated<T: Serialize>(content: &T, keys: &KeyRing) -> anyhow::Result<Vec<u8>> {
    let bytes = rmp_serde::to_vec(content)?;
    let compressed = zstd::bulk::compress(&bytes, ZSTD_LEVEL)?;
    let mut out = BytesMut::new();
    Header::Control.encode(keys.current(), &compressed, &mut out);
    Ok(out.to_vec())
}

/// Creates an HTTP client for [`fetch_config`]. It uses each connection once: fetches are rare, and an
/// idle connection may have fallen silent meanwhile.
#[must_use]
pub fn http_client() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .pool_max_idle_per_host(0)
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
    /// Version that the requester has; zero if it has none.
    #[serde(default)]
    have: u64,
}

async fn serve_config(
    State(state): State<ServerState>,
    Query(query): Query<ConfigQuery>,
) -> Result<Vec<u8>, StatusCode> {
    let response = build_response(state.source.as_ref(), &query).ok_or(StatusCode::NOT_FOUND)?;
    encode_authenticated(&response, &state.keys).map_err(|err| {
        log::error!(target: LOG_TARGET, err:% = err; "cannot encode configuration");
        StatusCode::INTERNAL_SERVER_ERROR
    })
}

/// Builds a response with the changes since the requester's version if they are retained, or else
/// with the whole configuration. For one service, sends its part whole if any change affects it.
/// Returns `None` if the requested service is unknown.
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
