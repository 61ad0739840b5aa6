//! Serves flows: a flow is a QUIC connection of a caller, with the HTTP/3 requests on it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use quinn::{Connection, ConnectionError, Endpoint, VarInt};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;

use buckthornlink_core::agent::{Event, FlowId};

use crate::client::NO_ERROR_CODE;
use crate::executor::{FlowCommand, Job};
use crate::request::{RequestHandler, serve};

/// Application error code for closing the flows of a zone that was taken out of service.
pub const ZONE_OUT_CODE: u32 = 0x5a4f;

/// Number of further requests that GOAWAY allows on a flow. The caller opens none after it receives
/// GOAWAY, so this only covers requests already under way.
const MAX_REQUESTS_AFTER_GOAWAY: usize = 1 << 16;
/// Time that a caller has to close a flow after GOAWAY and its last request.
const CALLER_CLOSE_TIMEOUT: Duration = Duration::from_mins(1);

/// Accepts flows until the endpoint closes.
pub(crate) async fn accept(endpoint: Endpoint, handler: Arc<RequestHandler>) {
    let next_id = AtomicU64::new(1);
    let mut flows = JoinSet::new();
    while let Some(incoming) = endpoint.accept().await {
        if !incoming.remote_address_validated() && incoming.may_retry() {
            // The caller repeats its opener with the token and the connection id of the Retry
            // packet. The id names this agent, so balancers route the repeat here.
            if incoming.retry().is_err() {
                log::debug!("sending a Retry packet failed");
            }
            continue;
        }
        let flow = FlowId(next_id.fetch_add(1, Ordering::Relaxed));
        flows.spawn(handle_incoming(incoming, flow, Arc::clone(&handler)));
        while flows.try_join_next().is_some() {}
    }
}

/// Asks the reducer whether to admit the flow, then serves it until it ends.
async fn handle_incoming(incoming: quinn::Incoming, flow: FlowId, handler: Arc<RequestHandler>) {
    let (reply, commands) = oneshot::channel();
    if handler
        .jobs
        .send_async(Job::AdmitFlow(flow, reply))
        .await
        .is_err()
    {
        return;
    }
    let Ok(commands) = commands.await else {
        incoming.refuse();
        return;
    };
    if let Ok(accepted) = incoming.accept()
        && let Ok(connection) = accepted.await
    {
        serve_connection(&connection, commands, &handler).await;
        record_if_broken(&connection, &handler);
    }
    let _ = handler
        .jobs
        .send_async(Job::Event(Event::FlowClosed(flow)))
        .await;
}

async fn serve_connection(
    connection: &Connection,
    mut commands: watch::Receiver<FlowCommand>,
    handler: &Arc<RequestHandler>,
) {
    let transport = h3_quinn::Connection::new(connection.clone());
    let built = h3::server::builder().build::<_, Bytes>(transport).await;
    let Ok(mut http) = built else {
        return;
    };
    let mut requests = JoinSet::new();
    let mut is_moving = false;
    loop {
        tokio::select! {
            accepted = http.accept() => match accepted {
                Ok(Some(resolver)) => {
                    requests.spawn(serve(resolver, Arc::clone(handler)));
                }
                Ok(None) | Err(_) => break,
            },
            changed = commands.changed() => {
                let command = if changed.is_ok() {
                    *commands.borrow_and_update()
                } else {
                    FlowCommand::Close
                };
                match command {
                    FlowCommand::Serve => {}
                    FlowCommand::Move if is_moving => {}
                    FlowCommand::Move => {
                        is_moving = true;
                        if http.shutdown(MAX_REQUESTS_AFTER_GOAWAY).await.is_err() {
                            break;
                        }
                    }
                    FlowCommand::Close => {
                        connection.close(VarInt::from_u32(ZONE_OUT_CODE), b"zone out of service");
                        return;
                    }
                }
            },
            _ = requests.join_next(), if !requests.is_empty() => {}
        }
    }
    if connection.close_reason().is_none() {
        while requests.join_next().await.is_some() {}
        let _ = timeout(CALLER_CLOSE_TIMEOUT, connection.closed()).await;
    }
}

fn record_if_broken(connection: &Connection, handler: &RequestHandler) {
    let is_clean = match connection.close_reason() {
        Some(ConnectionError::ApplicationClosed(close)) => {
            close.error_code == VarInt::from_u32(NO_ERROR_CODE)
        }
        Some(ConnectionError::LocallyClosed) | None => true,
        Some(_) => false,
    };
    if !is_clean {
        handler.metrics.broken_flows.inc();
    }
}
