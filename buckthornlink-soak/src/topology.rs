//! Loopback addresses and settings of the processes of a run.

use std::net::{Ipv4Addr, SocketAddrV4};

use serde_json::{Value, json};

/// Services; the callers' route points to the first one, and during a route move to the second.
pub const SERVICES: [&str; 2] = ["token", "ledger"];
/// Availability zones.
pub const ZONES: [&str; 2] = ["brasov-a", "brasov-b"];
/// Port on which balancers and callers receive packets.
pub const DATA_PORT: u16 = 18_172;
const LINK_PORT: u16 = 17_720;
const RELAY_PORT: u16 = 17_735;
const READINESS_PORT: u16 = 18_167;
const CONTROL_PORT: u16 = 18_166;
const METRICS_PORT: u16 = 19_600;
const BACKEND_PORT: u16 = 18_269;
const OUTBOUND_PORT: u16 = 18_270;
const STORE_PORT: u16 = 18_169;
/// Maximum number of balancers that a process gets as contacts in its settings.
const STARTUP_CONTACTS: usize = 3;

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Receives the callers' packets.
    Balancer,
    /// Runs beside a backend server of this service.
    Agent(&'static str),
}

/// An instance that runs a balancer or an agent.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Its name, also that of its settings and log files.
    pub name: String,
    /// Role of its process.
    pub role: Role,
    /// Its IP address.
    pub ip: Ipv4Addr,
    /// Its availability zone.
    pub zone: &'static str,
    /// Address of its TCP proxy to the store.
    pub store_proxy: SocketAddrV4,
}

/// The instances of a run; each concurrent run has its own block of loopback addresses.
#[derive(Clone, Debug)]
pub struct Topology {
    block: u8,
    /// All instances, balancers first.
    pub instances: Vec<Instance>,
}

impl Topology {
    /// Creates balancers and agents; every third agent belongs to the second service.
    #[must_use]
    pub fn new(block: u8, balancers: u8, agents: u8) -> Self {
        let instance = |index: u8, role, prefix: &str, net: u8| Instance {
            name: format!("{prefix}-{index}"),
            role,
            ip: Ipv4Addr::new(127, block, net, 10 + index),
            zone: ZONES[usize::from(index % 2)],
            store_proxy: SocketAddrV4::new(
                Ipv4Addr::new(127, block, 20 + net, 10 + index),
                STORE_PORT,
            ),
        };
        let balancers = (0..balancers).map(|i| instance(i, Role::Balancer, "balancer", 1));
        let service = |i: u8| SERVICES[usize::from(i % 3 == 2)];
        let agents = (0..agents).map(|i| instance(i, Role::Agent(service(i)), "agent", 2));
        Self {
            block,
            instances: balancers.chain(agents).collect(),
        }
    }

    /// Address of the store itself, behind the proxies.
    #[must_use]
    pub const fn store_addr(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.block, 0, 1), STORE_PORT)
    }

    /// IP address of a caller.
    #[must_use]
    pub const fn caller_ip(&self, index: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block, 9, 1 + index)
    }

    /// Addresses of the balancers.
    pub fn balancers(&self) -> impl Iterator<Item = Ipv4Addr> {
        let balancers = self.instances.iter().filter(|i| i.role == Role::Balancer);
        balancers.map(|i| i.ip)
    }

    /// Content of the settings file of an instance.
    #[must_use]
    pub fn settings(&self, instance: &Instance) -> Value {
        let contacts = self.balancers().take(STARTUP_CONTACTS);
        let contacts = contacts.map(|ip| SocketAddrV4::new(ip, CONTROL_PORT));
        let backend = match instance.role {
            Role::Balancer => Value::Null,
            Role::Agent(service) => json!({
                "service": service,
                "address": instance.backend_addr(),
                "outbound": instance.outbound_addr(),
            }),
        };
        json!({
            "ip": instance.ip,
            "zone": instance.zone,
            "store": format!("http://{}", instance.store_proxy),
            "link_port": LINK_PORT,
            "relay_port": RELAY_PORT,
            "readiness": instance.readiness_addr(),
            "control": instance.control_addr(),
            "metrics": instance.socket_addr(METRICS_PORT),
            "contacts": contacts.collect::<Vec<_>>(),
            "heartbeat_ms": buckthornlink_fakes::datagram::HEARTBEAT_INTERVAL.0,
            "data": instance.socket_addr(DATA_PORT),
            "backend": backend,
            "log": { "format": "json" },
        })
    }
}

impl Instance {
    /// Address on which its backend server receives packets.
    #[must_use]
    pub const fn backend_addr(&self) -> SocketAddrV4 {
        self.socket_addr(BACKEND_PORT)
    }

    /// Address to which its backend server sends packets.
    #[must_use]
    pub const fn outbound_addr(&self) -> SocketAddrV4 {
        self.socket_addr(OUTBOUND_PORT)
    }

    /// Address on which it answers readiness checks.
    #[must_use]
    pub const fn readiness_addr(&self) -> SocketAddrV4 {
        self.socket_addr(READINESS_PORT)
    }

    /// Address on which it receives heartbeats.
    #[must_use]
    pub const fn control_addr(&self) -> SocketAddrV4 {
        self.socket_addr(CONTROL_PORT)
    }

    const fn socket_addr(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, port)
    }
}
