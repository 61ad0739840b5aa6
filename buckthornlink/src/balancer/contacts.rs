//! Queries between balancers for agents of a service, sent when an opener arrives for a service
//! without known agents.
//!
//! A new balancer can thus place openers long before it has learned all members by gossip.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::routing::get;
use serde::Deserialize;
use tokio::sync::oneshot;

use buckthornlink_core::ServicePort;
use buckthornlink_core::member::Fact;
use buckthornlink_node::config_transfer::{encode_authenticated, fetch_authenticated};
use buckthornlink_wire::KeyRing;

use super::executor::Job;

const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Clone)]
struct ServerState {
    jobs: flume::Sender<Job>,
    keys: Arc<KeyRing>,
}

#[derive(Deserialize)]
struct ContactsQuery {
    service: u16,
}

/// Creates a router that lists, at `/contacts`, agents of a service that accept flows.
pub(super) fn router(jobs: flume::Sender<Job>, keys: Arc<KeyRing>) -> Router {
    let state = ServerState { jobs, keys };
    Router::new()
        .route("/contacts", get(serve_contacts))
        .with_state(state)
}

/// Asks peers one after another until one of them knows agents of the service; returns nothing if
/// none does.
pub(super) async fn fetch(
    http: &reqwest::Client,
    from: &[SocketAddrV4],
    service: ServicePort,
    keys: &KeyRing,
) -> Vec<Fact> {
    for peer in from {
        let url = format!("http://{peer}/contacts?service={service}");
        match fetch_authenticated::<Vec<Fact>>(http, &url, FETCH_TIMEOUT, keys).await {
            Ok(facts) if !facts.is_empty() => return facts,
            Ok(_) => {}
            Err(err) => log::debug!(peer:% = peer, err:% = err; "contacts not fetched"),
        }
    }
    Vec::new()
}

async fn serve_contacts(
    State(state): State<ServerState>,
    Query(query): Query<ContactsQuery>,
) -> Result<Vec<u8>, StatusCode> {
    let (reply, facts) = oneshot::channel();
    let job = Job::Contacts(ServicePort(query.service), reply);
    let sent = state.jobs.send_async(job).await;
    sent.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    let facts = facts.await.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    encode_authenticated(&facts, &state.keys).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}
