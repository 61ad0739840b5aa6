//! Loopback addresses and settings of the processes of a run.

use std::net::{Ipv4Addr, SocketAddrV4};

use buckthornlink_fakes::datagram::HEARTBEAT_INTERVAL;
use buckthornlink_standin::{Listeners, PlatformFields, StoreFields, TemplateError};

use crate::shape::Shape;

/// Services; the callers' route points to the first one, and during a route move to the second.
pub const SERVICES: [&str; 2] = ["token", "ledger"];
/// Port on which balancers and callers receive packets.
pub const DATA_PORT: u16 = 18_172;
const LINK_PORT: u16 = 17_720;
const RELAY_PORT: u16 = 17_735;
/// First of the ports between processes that have ports of their own.
const FIRST_OWN_PORT: u16 = 21_000;
const READINESS_PORT: u16 = 18_167;
const CONTROL_PORT: u16 = 18_166;
const BACKEND_PORT: u16 = 18_269;
const OUTBOUND_PORT: u16 = 18_270;
const STORE_PORT: u16 = 18_169;
/// Template of the settings of a balancer, as it is deployed.
const BALANCER_TEMPLATE: &str = include_str!("../../deploy/balancer.json");
/// Template of the settings of an agent, as it is deployed.
const AGENT_TEMPLATE: &str = include_str!("../../deploy/agent.json");
/// Third octet of the addresses of the first callers.
const CALLER_NET: u32 = 9;
/// Number of callers in one net of their addresses.
const CALLERS_PER_NET: u16 = 200;
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
    /// Ports between processes: for messages and fetches, and for packets.
    pub internal_ports: [u16; 2],
}

/// The instances of a run; each concurrent run has its own block of loopback addresses.
#[derive(Clone, Debug)]
pub struct Topology {
    block: u8,
    /// Its availability zones.
    pub zones: &'static [&'static str],
    /// All instances, balancers first.
    pub instances: Vec<Instance>,
}

impl Topology {
    /// Creates the balancers and agents of a shape.
    #[must_use]
    pub fn new(block: u8, shape: &Shape) -> Self {
        let instance = |index: u8, role, zone, prefix: &str, net: u8| Instance {
            name: format!("{prefix}-{index}"),
            role,
            ip: Ipv4Addr::new(127, block, net, 10 + index),
            zone,
            store_proxy: SocketAddrV4::new(
                Ipv4Addr::new(127, block, 20 + net, 10 + index),
                STORE_PORT,
            ),
            internal_ports: [LINK_PORT, RELAY_PORT],
        };
        let zones = shape.zones();
        let balancers = (0..).zip(shape.balancer_zones());
        let balancers = balancers.map(|(i, zone)| instance(i, Role::Balancer, zone, "balancer", 1));
        let service = |i| SERVICES[usize::from(shape.is_second_service(i))];
        let agents = (0..shape.agents).zip(zones.iter().cycle());
        let agents = agents.map(|(i, zone)| instance(i, Role::Agent(service(i)), zone, "agent", 2));
        Self {
            block,
            zones,
            instances: balancers.chain(agents).collect(),
        }
    }

    /// Gives each instance ports of its own, so that [`crate::links::Links`] can stand between them.
    #[must_use]
    pub fn with_own_ports(mut self) -> Self {
        for (instance, port) in self.instances.iter_mut().zip((FIRST_OWN_PORT..).step_by(2)) {
            instance.internal_ports = [port, port + 1];
        }
        self
    }

    /// Address of the store itself, behind the proxies.
    #[must_use]
    pub const fn store_addr(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.block, 0, 1), STORE_PORT)
    }

    /// IP address of a caller.
    #[must_use]
    pub fn caller_ip(&self, index: u16) -> Ipv4Addr {
        let net = CALLER_NET + u32::from(index / CALLERS_PER_NET);
        let host = 1 + u32::from(index % CALLERS_PER_NET);
        let block = u32::from(Ipv4Addr::new(127, self.block, 0, 0));
        Ipv4Addr::from(block + (net << 8) + host)
    }

    /// Addresses of the balancers.
    pub fn balancers(&self) -> impl Iterator<Item = Ipv4Addr> {
        let balancers = self.instances.iter().filter(|i| i.role == Role::Balancer);
        balancers.map(|i| i.ip)
    }

    /// Content of the settings file of an instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the deployed template has a placeholder that is not supported.
    pub fn settings(&self, instance: &Instance) -> Result<String, TemplateError> {
        let template = match instance.role {
            Role::Balancer => BALANCER_TEMPLATE,
            Role::Agent(_) => AGENT_TEMPLATE,
        };
        self.platform_fields(instance).render_settings(template)
    }

    /// What the platform tells the process of an instance.
    fn platform_fields(&self, instance: &Instance) -> PlatformFields {
        let contacts = self.balancers().take(STARTUP_CONTACTS);
        let contacts = contacts.map(|ip| SocketAddrV4::new(ip, CONTROL_PORT));
        let service = instance.service();
        PlatformFields {
            ip: instance.ip,
            zone: instance.zone.to_owned(),
            listeners: Listeners {
                data: instance.socket_addr(DATA_PORT),
                readiness: instance.readiness_addr(),
                control: instance.control_addr(),
                outbound: service.map(|_| instance.outbound_addr()),
            },
            internal_ports: instance.internal_ports,
            contacts: contacts.collect(),
            heartbeat_ms: HEARTBEAT_INTERVAL.0,
            service: service.map(str::to_owned),
            backend: service.map(|_| instance.backend_addr()),
            store: StoreFields {
                address: instance.store_proxy,
            },
        }
    }
}

impl Instance {
    /// Service of the backend server beside an agent.
    #[must_use]
    pub const fn service(&self) -> Option<&'static str> {
        match self.role {
            Role::Balancer => None,
            Role::Agent(service) => Some(service),
        }
    }

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

#[cfg(test)]
#[path = "../tests/unit/topology.rs"]
mod tests;
