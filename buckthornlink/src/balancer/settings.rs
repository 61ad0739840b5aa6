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
    /// Address to which the network fabric delivers datagrams; the port identifies the service.
    pub ip: Ipv4Addr,
    /// Port of the link to agents and other balancers, for UDP and TCP. 0 selects a free port.
    pub link_port: u16,
    /// Address of the metrics and status server.
    #[schemars(with = "String")]
    pub http: SocketAddrV4,
    /// Address that the network fabric routes to the link socket of any one balancer.
    #[schemars(with = "String")]
    pub entry: SocketAddrV4,
    /// The platform's store.
    pub store: StoreSettings,
    /// Keys shared by all processes; the first one authenticates outgoing data.
    pub keys: Vec<KeySettings>,
    /// Ports of services that are served from the start, so that datagrams of established flows are
    /// forwarded before a configuration is known.
    #[serde(default)]
    pub ports: Vec<u16>,
    /// Placement policy for openers.
    #[serde(default)]
    pub policy: Policy,
    /// Limit on the control traffic that this process sends, in bytes per second.
    #[serde(default = "default_control_bytes")]
    pub control_bytes_per_second: u32,
    /// Seed of the random number generator; derived from boot id and address if left out.
    #[serde(default)]
    pub seed: Option<u64>,
    /// Trace file to which the reducer's events are recorded.
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
