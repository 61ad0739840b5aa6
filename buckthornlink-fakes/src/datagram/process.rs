//! A simulated instance and its process: a real reducer that can be killed and started again.

use std::net::Ipv4Addr;

use buckthornlink_core::datagram::{Agent, Balancer, Effect, Event, Reducer, Role, Setup};
use buckthornlink_core::{BootId, Millis, Version, ZoneTag};

use super::backend::{Backend, HEARTBEAT_INTERVAL, backend_address};

/// An instance with its process and, if the process is an agent, its backend server.
pub(super) struct Instance {
    pub zone: ZoneTag,
    pub role: Role,
    pub process: Option<Process>,
    pub backend: Option<Backend>,
    /// When a killed process starts again.
    pub down_until: Option<Millis>,
    /// End of the latest unplanned disruption of the instance.
    pub disrupted_until: Option<Millis>,
    /// Whether the instance can reach the store.
    pub has_store: bool,
    /// Whether the process watches the store.
    pub is_watching: bool,
    /// Configuration version of the process after its latest event.
    pub version: Version,
    /// Consecutive failed readiness checks.
    pub failed_checks: u32,
    /// When a terminating balancer starts again, or the instance of a draining agent is removed.
    pub leaves_at: Option<Millis>,
}

/// A running process.
pub(super) enum Process {
    Balancer(Box<Balancer>),
    Agent(Box<Agent>),
}

impl Process {
    pub(super) fn start(ip: Ipv4Addr, role: Role, zone: ZoneTag, now: Millis, seed: u64) -> Self {
        let setup = Setup {
            ip,
            role,
            zone,
            boot: BootId(now.0),
            heartbeat_interval: HEARTBEAT_INTERVAL,
            backend_address: Some(backend_address(ip)),
            seed,
        };
        match role {
            Role::Balancer => Self::Balancer(Box::new(Balancer::new(&setup, now))),
            Role::Agent(_) => Self::Agent(Box::new(Agent::new(&setup, now))),
        }
    }

    pub(super) fn reduce(&mut self, event: Event, now: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        match self {
            Self::Balancer(balancer) => balancer.reduce(event, now, &mut effects),
            Self::Agent(agent) => agent.reduce(event, now, &mut effects),
        }
        effects
    }

    pub(super) fn reducer(&self) -> &dyn Reducer {
        match self {
            Self::Balancer(balancer) => &**balancer,
            Self::Agent(agent) => &**agent,
        }
    }
}

impl Instance {
    pub(super) const fn new(role: Role, zone: ZoneTag) -> Self {
        Self {
            zone,
            role,
            process: None,
            backend: None,
            down_until: None,
            disrupted_until: None,
            has_store: true,
            is_watching: false,
            version: Version(0),
            failed_checks: 0,
            leaves_at: None,
        }
    }

    /// Whether the process runs and more than `period` has passed since the latest disruption.
    pub(super) fn is_stable(&self, period: Millis, now: Millis) -> bool {
        self.process.is_some() && self.disrupted_until.is_none_or(|at| now.since(at) > period)
    }
}
