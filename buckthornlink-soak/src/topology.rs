//! Addresses and settings of one run's processes, all on loopback.

use std::net::{Ipv4Addr, SocketAddrV4};

use serde_json::{Value, json};

/// Services; the callers' route points to the first one, or for a while to the second.
pub const SERVICES: [&str; 2] = ["token", "ledger"];
/// Availability zones.
pub const ZONES: [&str; 2] = ["brasov-a", "brasov-b"];
/// Port at which balancers and callers receive packets.
pub const DATA_PORT: u16 = 18_172;
const LINK_PORT: u16 = 17_720;
const RELAY_PORT: u16 = 17_735;
const READINESS_PORT: u16 = 18_167;
const CONTROL_PORT: u16 = 18_166;
const METRICS_PORT: u16 = 19_600;
const BACKEND_PORT: u16 = 18_269;
const OUTBOUND_PORT: u16 = 18_270;
const STORE_PORT: u16 = 18_169;
/// Balancers that new processes may ask.
const STARTUP_CONTACTS: usize = 3;

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes packets of callers.
    Balancer,
    /// Runs beside a backend server of this service.
    Agent(&'static str),
}

/// One instance.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Its name in logs.
    pub name: String,
    /// What it does.
    pub role: Role,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its availability zone.
    pub zone: &'static str,
    /// Where it reaches the store.
    pub store: SocketAddrV4,
}

/// The instances of one run; each run has a block of loopback addresses of its own.
#[derive(Clone, Debug)]
pub struct Topology {
    block: u8,
    /// All instances, balancers first.
    pub instances: Vec<Instance>,
}

impl Topology {
    /// A site with some balancers and agents; every third agent is of the second service.
    #[must_use]
    pub fn new(block: u8, balancers: u8, agents: u8) -> Self {
        let instance = |index: u8, role, prefix: &str, net: u8| Instance {
            name: format!("{prefix}-{index}"),
            role,
            ip: Ipv4Addr::new(127, block, net, 10 + index),
            zone: ZONES[usize::from(index % 2)],
            store: SocketAddrV4::new(Ipv4Addr::new(127, block, 20 + net, 10 + index), STORE_PORT),
        };
        let balancers = (0..balancers).map(|i| instance(i, Role::Balancer, "balancer", 1));
        let service = |i: u8| SERVICES[usize::from(i % 3 == 2)];
        let agents = (0..agents).map(|i| instance(i, Role::Agent(service(i)), "agent", 2));
        Self {
            block,
            instances: balancers.chain(agents).collect(),
        }
    }

    /// Address of the store itself.
    #[must_use]
    pub const fn store(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.block, 0, 1), STORE_PORT)
    }

    /// Address of a caller.
    #[must_use]
    pub const fn caller(&self, index: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block, 9, 1 + index)
    }

    /// Addresses of the balancers.
    pub fn balancers(&self) -> impl Iterator<Item = Ipv4Addr> {
        let balancers = self.instances.iter().filter(|i| i.role == Role::Balancer);
        balancers.map(|i| i.ip)
    }

    /// The settings file of an instance.
    #[must_use]
    pub fn settings(&self, instance: &Instance) -> Value {
        let contacts = self.balancers().take(STARTUP_CONTACTS);
        let contacts = contacts.map(|ip| SocketAddrV4::new(ip, CONTROL_PORT));
        let backend = match instance.role {
            Role::Balancer => Value::Null,
            Role::Agent(service) => json!({
                "service": service,
                "address": instance.backend(),
                "outbound": instance.outbound(),
            }),
        };
        json!({
            "ip": instance.ip,
            "zone": instance.zone,
            "store": format!("http://{}", instance.store),
            "link_port": LINK_PORT,
            "relay_port": RELAY_PORT,
            "readiness": instance.readiness(),
            "control": instance.control(),
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
    /// Where its backend server receives.
    #[must_use]
    pub const fn backend(&self) -> SocketAddrV4 {
        self.socket_addr(BACKEND_PORT)
    }

    /// Where its backend server sends packets to.
    #[must_use]
    pub const fn outbound(&self) -> SocketAddrV4 {
        self.socket_addr(OUTBOUND_PORT)
    }

    /// Where it answers readiness checks.
    #[must_use]
    pub const fn readiness(&self) -> SocketAddrV4 {
        self.socket_addr(READINESS_PORT)
    }

    /// Where it takes heartbeats.
    #[must_use]
    pub const fn control(&self) -> SocketAddrV4 {
        self.socket_addr(CONTROL_PORT)
    }

    const fn socket_addr(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, port)
    }
}
