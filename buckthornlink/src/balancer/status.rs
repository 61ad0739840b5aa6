//! Status and readiness of a balancer, served over HTTP.

use std::net::SocketAddrV4;
use std::sync::Arc;

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::{Json, Router};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use buckthornlink_core::balancer::Balancer;
use buckthornlink_core::member::{Member, Phase, Role};
use buckthornlink_core::{Millis, ServicePort, Version};

use super::executor::Job;
use super::forward::Shared;

/// State of a balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Version of the configuration in force.
    pub version: Version,
    /// Names of the zones that operators have taken out of service.
    pub zones_out: Vec<String>,
    /// Known instances, ordered by address.
    pub members: Vec<MemberStatus>,
}

/// State of one instance, as known to a balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Address of the link socket.
    pub addr: SocketAddrV4,
    /// Service of an agent; left out for balancers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServicePort>,
    /// Name of the availability zone.
    pub zone: String,
    /// Life-cycle phase.
    pub phase: Phase,
    /// Number of open flows, as last reported.
    pub flows: u32,
    /// Milliseconds since the balancer last received a datagram from the instance.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub heard_ms: Option<Millis>,
}

impl Status {
    /// Creates a status from the reducer's state.
    #[must_use]
    pub fn new(state: &Balancer, now: Millis) -> Self {
        let out = state.zones().iter().filter(|z| z.out);
        let names = out.filter_map(|z| state.config().zone_name(z.zone));
        let mut members: Vec<_> = state.members().iter().map(|(_, m)| m).collect();
        members.sort_by_key(|m| m.fact.addr);
        Self {
            version: state.version(),
            zones_out: names.map(str::to_owned).collect(),
            members: members
                .iter()
                .map(|m| member_status(state, m, now))
                .collect(),
        }
    }
}

/// Creates a router that serves the status at `/status`, and at `/ready` whether the network fabric
/// may deliver datagrams to this balancer.
pub(super) fn router(jobs: flume::Sender<Job>, shared: Arc<Shared>) -> Router {
    let status = Router::new()
        .route("/status", get(serve_status))
        .with_state(jobs);
    let ready = Router::new()
        .route("/ready", get(serve_readiness))
        .with_state(shared);
    status.merge(ready)
}

/// Reports the balancer as ready once it has a configuration in force.
async fn serve_readiness(State(shared): State<Arc<Shared>>) -> StatusCode {
    if shared.snapshot.load().version > Version::default() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

fn member_status(state: &Balancer, member: &Member, now: Millis) -> MemberStatus {
    let zone = state.config().zone_name(member.fact.zone);
    MemberStatus {
        addr: member.fact.addr,
        service: match member.fact.role {
            Role::Agent(service) => Some(service),
            Role::Balancer => None,
        },
        zone: zone.unwrap_or("unknown").to_owned(),
        phase: member.fact.phase,
        flows: member.load.map_or(0, |(load, _)| load.flows),
        heard_ms: member.last_heard.map(|at| now.since(at)),
    }
}

async fn serve_status(State(jobs): State<flume::Sender<Job>>) -> Result<Json<Status>, StatusCode> {
    let (reply, status) = oneshot::channel();
    let sent = jobs.send_async(Job::Status(reply)).await;
    sent.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    status
        .await
        .map(Json)
        .map_err(|_| StatusCode::SERVICE_UNAVAILABLE)
}
