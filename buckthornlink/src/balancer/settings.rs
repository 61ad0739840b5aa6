//! Settings of a balancer.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use buckthornlink_core::balancer::Policy;
use buckthornlink_node::settings::{KeySettings, LogSettings};

/// Settings of a balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct BalancerSettings {
    /// Name of the availability zone.
    pub zone: String,
    /// Address at which the fabric delivers datagrams; each service keeps its port.
    pub ip: Ipv4Addr,
    /// Port of the link to agents and other balancers, UDP and TCP. 0 takes a free one.
    pub link_port: u16,
    /// Address of the metrics and status server.
    #[schemars(with = "String")]
    pub http: SocketAddrV4,
    /// Address at which the fabric reaches the link of any balancer.
    #[schemars(with = "String")]
    pub entry: SocketAddrV4,
    /// The platform's store.
    pub store: StoreSettings,
    /// Keys shared by all processes, the signing one first.
    pub keys: Vec<KeySettings>,
    /// Ports of services that are served from the start, so that established flows are forwarded
    /// before any configuration is known.
    #[serde(default)]
    pub ports: Vec<u16>,
    /// How openers are placed.
    #[serde(default)]
    pub policy: Policy,
    /// Control bytes that the process may send, per second.
    #[serde(default = "default_control_bytes")]
    pub control_bytes_per_second: u32,
    /// Seed of all random choices; random if left out.
    #[serde(default)]
    pub seed: Option<u64>,
    /// File that the reducer's events are recorded to.
    #[serde(default)]
    pub record: Option<PathBuf>,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

/// The platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// URL of the etcd v3 gateway.
    pub url: String,
}

const fn default_control_bytes() -> u32 {
    4_000
}
