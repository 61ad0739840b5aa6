//! The HTTP servers of a process.

use std::net::SocketAddrV4;

use anyhow::Context;
use axum::Router;

use buckthornlink_node::metrics::{HttpServer, metrics_router};

use crate::config_transfer::SharedTable;
use crate::metrics::Metrics;
use crate::{Adapter, ReducerHandle, Settings};

/// Running HTTP servers, which stop when dropped.
pub(super) struct Servers {
    _servers: Vec<HttpServer>,
}

impl Servers {
    /// Binds the addresses in the settings.
    pub(super) async fn bind(
        adapter: &impl Adapter,
        settings: &Settings,
        handle: &ReducerHandle,
        table: &SharedTable,
        metrics: &Metrics,
    ) -> anyhow::Result<Self> {
        let link = SocketAddrV4::new(settings.ip, settings.link_port);
        let readiness = adapter.readiness_router(handle.clone());
        let control = adapter.control_router(handle.clone());
        let mut servers = vec![
            bind("link", link, table.router()).await?,
            bind("readiness", settings.readiness, readiness).await?,
            bind("control", settings.control, control).await?,
        ];
        if let Some(addr) = settings.metrics {
            let metrics = metrics_router(metrics.registry.clone());
            servers.push(bind("metrics", addr, metrics).await?);
        }
        Ok(Self { _servers: servers })
    }
}

async fn bind(name: &str, addr: SocketAddrV4, router: Router) -> anyhow::Result<HttpServer> {
    let server = HttpServer::bind(addr, router).await;
    server.with_context(|| format!("cannot bind the {name} server to {addr}"))
}
