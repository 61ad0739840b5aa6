//! What one instance says about itself.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::id::{BootId, ServicePort, ZoneTag};

/// The state of one instance, written by that instance alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// Address of the instance's link socket; names the instance.
    pub addr: SocketAddrV4,
    /// What the instance does.
    pub role: Role,
    /// Availability zone.
    pub zone: ZoneTag,
    /// Start of the process.
    pub boot: BootId,
    /// Sequence number within one boot.
    pub seq: u32,
    /// Life-cycle phase.
    pub phase: Phase,
}

/// What an instance does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    /// Forwards datagrams.
    Balancer,
    /// Runs beside a backend server of this service.
    Agent(ServicePort),
}

/// Life-cycle phase of an instance. The order breaks ties between facts with equal numbers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum Phase {
    /// The backend server is in cold start and bears only a part of its limits.
    #[default]
    Cold,
    /// Serving at full limits.
    Warm,
    /// Leaving: finishes what it holds and opens nothing new.
    Draining,
    /// Marked by an observer that no longer hears the instance.
    Silent,
    /// Gone for good, by its own word.
    Left,
}

/// Load of one backend server, as its agent reports it on each datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Open flows.
    pub flows: u32,
    /// Share of the full limits that the backend server bears now, in 1/255.
    pub weight: u8,
    /// Smoothed share of the current concurrency limit in use, in 1/255.
    pub pressure: u8,
}

impl Fact {
    /// Whether this fact replaces `other` about the same instance.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.boot, self.seq, self.phase) > (other.boot, other.seq, other.phase)
    }

    /// The same fact as an observer marks it when the instance is not heard.
    #[must_use]
    pub const fn silenced(mut self) -> Self {
        self.phase = Phase::Silent;
        self
    }

    /// The service of an agent, or `None` for a balancer.
    #[must_use]
    pub const fn service(&self) -> Option<ServicePort> {
        match self.role {
            Role::Balancer => None,
            Role::Agent(service) => Some(service),
        }
    }
}

impl Phase {
    /// Whether an instance in this phase takes new work.
    #[must_use]
    pub const fn is_open(self) -> bool {
        matches!(self, Self::Cold | Self::Warm)
    }

    /// Whether an instance in this phase is not expected to be heard again.
    #[must_use]
    pub const fn is_gone(self) -> bool {
        matches!(self, Self::Silent | Self::Left)
    }
}
