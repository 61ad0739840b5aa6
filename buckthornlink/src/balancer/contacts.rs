//! Agents of one service, asked of a peer when an opener comes for a service without known agents.
//!
//! A new balancer therefore opens flows long before the exchange has brought it all members.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use axum::Router;
use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::routing::get;
use bytes::BytesMut;
use serde::Deserialize;
use tokio::sync::oneshot;

use buckthornlink_core::ServicePort;
use buckthornlink_core::member::Fact;
use buckthornlink_wire::{Header, KeyRing};

use super::executor::Job;

const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Clone)]
struct Offer {
    jobs: flume::Sender<Job>,
    keys: Arc<KeyRing>,
}

#[derive(Deserialize)]
struct ContactsQuery {
    service: u16,
}

/// A router that serves the open agents of a service at `/contacts`.
pub(super) fn router(jobs: flume::Sender<Job>, keys: Arc<KeyRing>) -> Router {
    let offer = Offer { jobs, keys };
    Router::new()
        .route("/contacts", get(serve))
        .with_state(offer)
}

/// Asks peers in turn until one of them knows agents of the service.
pub(super) async fn fetch(
    http: &reqwest::Client,
    from: &[SocketAddrV4],
    service: ServicePort,
    keys: &KeyRing,
) -> Vec<Fact> {
    for peer in from {
        match ask(http, *peer, service, keys).await {
            Ok(facts) if !facts.is_empty() => return facts,
            Ok(_) => {}
            Err(err) => log::debug!(peer:% = peer, err:% = err; "contacts not fetched"),
        }
    }
    Vec::new()
}

async fn ask(
    http: &reqwest::Client,
    peer: SocketAddrV4,
    service: ServicePort,
    keys: &KeyRing,
) -> anyhow::Result<Vec<Fact>> {
    let url = format!("http://{peer}/contacts?service={service}");
    let response = http
        .get(url)
        .timeout(FETCH_TIMEOUT)
        .send()
        .await?
        .error_for_status()?;
    let body = response.bytes().await?;
    let (_, start) = Header::decode(&body, keys)?;
    rmp_serde::from_slice(&body[start..]).context("contacts")
}

async fn serve(
    State(offer): State<Offer>,
    Query(query): Query<ContactsQuery>,
) -> Result<Vec<u8>, StatusCode> {
    let (reply, facts) = oneshot::channel();
    let job = Job::Contacts(ServicePort(query.service), reply);
    let sent = offer.jobs.send_async(job).await;
    sent.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    let facts = facts.await.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    let bytes = rmp_serde::to_vec(&facts).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?;
    let mut out = BytesMut::new();
    Header::Control.encode(offer.keys.current(), &bytes, &mut out);
    Ok(out.to_vec())
}
