//! HTTP server, and a route that exposes a Prometheus registry.

use std::net::{SocketAddr, SocketAddrV4};

use axum::Router;
use axum::http::header::CONTENT_TYPE;
use axum::response::IntoResponse;
use axum::routing::get;
use prometheus::{Encoder, Registry, TextEncoder};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Upper bounds of latency histograms, in seconds.
pub const LATENCY_BUCKETS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0,
];
/// Upper bounds of size histograms, in bytes.
pub const SIZE_BUCKETS: [f64; 7] = [64.0, 256.0, 1e3, 4e3, 16e3, 64e3, 256e3];

/// Handle of a running HTTP server. Dropping it stops the server.
#[derive(Debug)]
pub struct HttpServer {
    addr: SocketAddrV4,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Binds `addr` and serves `router` there. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn bind(addr: SocketAddrV4, router: Router) -> std::io::Result<Self> {
        Self::spawn(TcpListener::bind(addr).await?, router)
    }

    /// Serves `router` on an already bound listener.
    ///
    /// # Errors
    ///
    /// Returns an error if the address of the listener is not IPv4.
    pub fn spawn(listener: TcpListener, router: Router) -> std::io::Result<Self> {
        let SocketAddr::V4(addr) = listener.local_addr()? else {
            return Err(std::io::Error::other("listener address is not IPv4"));
        };
        let task = tokio::spawn(async move {
            if let Err(err) = axum::serve(listener, router).await {
                log::error!(addr:% = addr, err:% = err; "HTTP server failed");
            }
        });
        Ok(Self { addr, task })
    }

    /// Returns the address at which the server listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddrV4 {
        self.addr
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Creates a router that serves `registry` in the Prometheus text format at `/metrics`.
pub fn metrics_router(registry: Registry) -> Router {
    Router::new().route("/metrics", get(move || async move { render(&registry) }))
}

fn render(registry: &Registry) -> impl IntoResponse + use<> {
    let encoder = TextEncoder::new();
    let mut body = Vec::new();
    if let Err(err) = encoder.encode(&registry.gather(), &mut body) {
        log::error!(err:% = err; "cannot encode metrics");
    }
    ([(CONTENT_TYPE, encoder.format_type().to_owned())], body)
}
