//! Settings of a process of the datagram path.

use std::net::{Ipv4Addr, SocketAddrV4};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use buckthornlink_node::settings::LogSettings;

/// Settings of a balancer or an agent. Unknown fields are ignored.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Settings {
    /// IP address of the instance.
    pub ip: Ipv4Addr,
    /// Name of the instance's availability zone.
    pub zone: String,
    /// URL of the store.
    pub store: String,
    /// Address at which the fabric delivers packets; callers receive packets at the same port.
    pub data: SocketAddrV4,
    /// Port for control messages between instances; the same on all instances.
    pub link_port: u16,
    /// Port for packets between instances; the same on all instances.
    pub relay_port: u16,
    /// Address that serves the readiness check.
    pub readiness: SocketAddrV4,
    /// Address that receives the heartbeats of the backend server.
    pub control: SocketAddrV4,
    /// Address that serves the metrics.
    #[serde(default)]
    pub metrics: Option<SocketAddrV4>,
    /// Addresses of instances to contact, with or without the store; their ports are ignored.
    #[serde(default)]
    pub contacts: Vec<SocketAddrV4>,
    /// Interval of the backend server's heartbeats, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Maximum time between SIGTERM and the end of the process, in milliseconds.
    #[serde(default = "default_grace_ms")]
    pub grace_ms: u64,
    /// Backend server of an agent; not set on a balancer.
    #[serde(default)]
    pub backend: Option<BackendSettings>,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

impl Settings {
    /// IP addresses of the contacts.
    #[must_use]
    pub fn contact_ips(&self) -> Vec<Ipv4Addr> {
        self.contacts.iter().map(|c| *c.ip()).collect()
    }
}

/// The backend server beside an agent.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct BackendSettings {
    /// Name of its service, which applies until its first heartbeat.
    pub service: String,
    /// Address at which it receives packets.
    pub address: SocketAddrV4,
    /// Address to which it sends its packets.
    pub outbound: SocketAddrV4,
}

const fn default_heartbeat_ms() -> u64 {
    1_000
}

const fn default_grace_ms() -> u64 {
    5_000
}
