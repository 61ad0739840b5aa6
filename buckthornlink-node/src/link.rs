//! What a process offers to the other processes at its link address.
//!
//! Datagrams in [envelopes](buckthornlink_wire::Header) come by UDP. A configuration, which does
//! not fit a datagram, is fetched by HTTP from the same address and port; the body is an
//! authenticated envelope around compressed `MessagePack`.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::routing::get;
use bytes::BytesMut;
use serde::{Deserialize, Serialize};

use buckthornlink_core::Version;
use buckthornlink_core::config::Config;
use buckthornlink_wire::{DecodeError, Header, KeyRing};

const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
const COMPRESSION_LEVEL: i32 = 3;
/// Bytes that a configuration may have after decompression.
const MAX_CONFIG_BYTES: usize = 4_000_000;

/// A configuration on its way between two processes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReply {
    /// Its version.
    pub version: Version,
    /// The configuration, or the part of it that was asked for.
    pub config: Config,
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
    fn current(&self) -> Arc<ConfigReply>;
}

/// A router that serves the configuration at `/config`, whole or for one service.
pub fn router(source: Arc<dyn ConfigSource>, keys: Arc<KeyRing>) -> Router {
    let offer = Offer { source, keys };
    Router::new().route("/config", get(serve)).with_state(offer)
}

/// Fetches a configuration, or the part of it that concerns `service`.
///
/// # Errors
///
/// Returns an error if the other process does not answer, or not authentically.
pub async fn fetch(
    http: &reqwest::Client,
    from: SocketAddrV4,
    service: Option<&str>,
    keys: &KeyRing,
) -> Result<ConfigReply, FetchError> {
    let query = service
        .map(|name| format!("?service={name}"))
        .unwrap_or_default();
    let request = http
        .get(format!("http://{from}/config{query}"))
        .timeout(FETCH_TIMEOUT);
    let response = request.send().await?.error_for_status()?;
    let body = response.bytes().await?;
    let (_, start) = Header::decode(&body, keys)?;
    let bytes = zstd::bulk::decompress(&body[start..], MAX_CONFIG_BYTES)?;
    Ok(rmp_serde::from_slice(&bytes)?)
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
struct Offer {
    source: Arc<dyn ConfigSource>,
    keys: Arc<KeyRing>,
}

#[derive(Deserialize)]
struct ConfigQuery {
    service: Option<String>,
}

async fn serve(
    State(offer): State<Offer>,
    Query(query): Query<ConfigQuery>,
) -> Result<Vec<u8>, StatusCode> {
    let current = offer.source.current();
    let reply = match &query.service {
        None => current.as_ref().clone(),
        Some(name) => ConfigReply {
            version: current.version,
            config: current.config.slice(name).ok_or(StatusCode::NOT_FOUND)?,
        },
    };
    seal(&reply, &offer.keys).map_err(|err| {
        log::error!(err:% = err; "configuration cannot be encoded");
        StatusCode::INTERNAL_SERVER_ERROR
    })
}

fn seal(reply: &ConfigReply, keys: &KeyRing) -> anyhow::Result<Vec<u8>> {
    let bytes = rmp_serde::to_vec(reply)?;
    let packed = zstd::bulk::compress(&bytes, COMPRESSION_LEVEL)?;
    let mut out = BytesMut::new();
    Header::Control.encode(keys.current(), &packed, &mut out);
    Ok(out.to_vec())
}
