//! Exchange of configurations between processes, over HTTP with `MessagePack` bodies.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::Router;
use axum::http::StatusCode;
use axum::routing::get;

use buckthornlink_core::Version;
use buckthornlink_core::datagram::Table;

/// Timeout of one fetch.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// The configuration that a process serves to other instances.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedTable {
    table: Arc<Mutex<Arc<Table>>>,
}

impl SharedTable {
    /// Replaces the configuration.
    pub(crate) fn set(&self, table: Arc<Table>) {
        *self.table.lock().unwrap_or_else(PoisonError::into_inner) = table;
    }

    /// Version of the configuration.
    pub(crate) fn version(&self) -> Version {
        self.get().version
    }

    /// A router that serves the configuration.
    pub(crate) fn router(&self) -> Router {
        let shared = self.clone();
        Router::new().route("/table", get(move || async move { shared.encode() }))
    }

    fn get(&self) -> Arc<Table> {
        let table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&table)
    }

    /// Encodes the configuration; fails while there is none yet, which is version 0. Fields are named, so that
    /// earlier versions leave out those that they do not know.
    fn encode(&self) -> Result<Vec<u8>, StatusCode> {
        let table = self.get();
        if table.version == Version(0) {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        rmp_serde::to_vec_named(&*table).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
    }
}

/// Creates the client for [`fetch_config`]. It uses each connection once: fetches are rare, and an idle
/// connection may have fallen silent meanwhile.
///
/// # Errors
///
/// Returns an error if the client cannot be initialized.
pub(crate) fn http_client() -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .no_proxy()
        .pool_max_idle_per_host(0)
        .build()
}

/// Fetches the configuration from another instance.
pub(crate) async fn fetch_config(
    http: &reqwest::Client,
    from: Ipv4Addr,
    port: u16,
) -> anyhow::Result<Table> {
    let addr = SocketAddrV4::new(from, port);
    let request = http.get(format!("http://{addr}/table"));
    let response = request.timeout(FETCH_TIMEOUT).send().await?;
    let body = response.error_for_status()?.bytes().await?;
    Ok(rmp_serde::from_slice(&body)?)
}

#[cfg(test)]
#[path = "../tests/unit/config_transfer.rs"]
mod tests;
