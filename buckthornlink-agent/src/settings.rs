//! Settings of an agent.

use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use buckthornlink_node::settings::{KeySettings, LogSettings};

/// Settings of an agent.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Name of the service.
    pub service: String,
    /// Port of the service's address.
    pub service_port: u16,
    /// Name of the availability zone.
    pub zone: String,
    /// Address of the link socket, which receives datagrams from balancers and other agents. Port 0
    /// selects a free port.
    #[schemars(with = "String")]
    pub link: SocketAddrV4,
    /// Address of the metrics server.
    #[schemars(with = "String")]
    pub http: SocketAddrV4,
    /// Loopback address through which the backend server calls its dependencies, as
    /// `http://ADDRESS/SERVICE/PATH`.
    #[schemars(with = "String")]
    pub dependencies: SocketAddrV4,
    /// Address that the network fabric routes to the link socket of any one balancer.
    #[schemars(with = "String")]
    pub entry: SocketAddrV4,
    /// The backend server.
    pub backend: BackendSettings,
    /// Certificates and private key.
    pub tls: TlsSettings,
    /// Keys shared by all processes; the first one authenticates outgoing data.
    pub keys: Vec<KeySettings>,
    /// Number of flows kept open to each dependency; 0 counts as 1.
    #[serde(default = "default_dependency_flows")]
    pub dependency_flows: usize,
    /// Maximum time that a drain waits for flows and requests to end, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "default_drain")]
    #[schemars(with = "u64")]
    pub drain_ms: Duration,
    /// Trace file to which the reducer's events are recorded.
    #[serde(default)]
    pub record: Option<PathBuf>,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

/// The backend server beside an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    /// Address of the backend server's HTTP/1.1 server.
    #[schemars(with = "String")]
    pub addr: SocketAddrV4,
    /// Path of the health endpoint; a 2xx status reports the backend server as up.
    #[serde(default = "default_health")]
    pub health: String,
    /// Path of the load endpoint, whose response body is an integer.
    #[serde(default = "default_load")]
    pub load: String,
}

/// Certificates and private key, as PEM text rather than file paths.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// Certificate chain presented to callers.
    pub certificate: String,
    /// Private key of the certificate.
    pub key: String,
    /// Root certificates that the certificates of dependencies are verified against.
    pub roots: String,
}

impl std::fmt::Debug for TlsSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TlsSettings").finish_non_exhaustive()
    }
}

const fn default_dependency_flows() -> usize {
    8
}

const fn default_drain() -> Duration {
    Duration::from_secs(10)
}

fn default_health() -> String {
    "/health".to_owned()
}

fn default_load() -> String {
    "/load".to_owned()
}
