//! The state that an instance of the datagram path publishes about itself.

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

use super::ServiceTag;
use crate::id::{BootId, ZoneTag};

/// The state of one instance, which only that instance writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// Address of the instance, which identifies it.
    pub ip: Ipv4Addr,
    /// What the instance does.
    pub role: Role,
    /// Availability zone.
    pub zone: ZoneTag,
    /// Boot id of the process.
    pub boot: BootId,
    /// Sequence number within one boot.
    pub seq: u32,
    /// Life-cycle phase.
    pub phase: Phase,
    /// Boot id of an agent's backend server; zero if unknown.
    pub backend: BootId,
    /// Whether the instance watches the store and the store answers it.
    pub store: bool,
    /// Load of the backend server.
    pub load: Load,
    /// Whether flows that were recorded at earlier boots of the backend server may be open: the agent knows it by
    /// another name since, and has not observed the end of what it held.
    #[serde(default)]
    pub holds_earlier: bool,
}

/// What an instance does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    /// Receives packets from the network fabric.
    Balancer,
    /// Runs next to a backend server of this service.
    Agent(ServiceTag),
}

/// Life-cycle phase of an instance and of its backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Nothing is known about the backend server yet.
    #[default]
    Starting,
    /// Accepts new flows.
    Ready,
    /// Accepts a limited number of new flows, as the backend server is in cold start.
    Cold,
    /// Keeps its flows but accepts no new ones.
    Draining,
    /// The backend server no longer sends heartbeats, or refuses connections.
    Silent,
    /// The backend server has ended, and its flows with it.
    Over,
    /// The process has announced its shutdown, and holds no flows: it is a balancer, or its backend
    /// server has ended.
    Left,
    /// The process has announced its shutdown beside a backend server that may hold flows. It accepts
    /// no new ones, and relays packets of the others until it ends.
    Leaving,
}

/// Load of one backend server, as measured by its agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Flows with a request that the backend server has not begun to answer: moving average over
    /// about a second, in tenths.
    pub waiting: u16,
    /// Open flows, including those that the backend server was only offered, plus the flows admitted
    /// within the last second. A backend server that fails its requests fast has few open flows; the
    /// rate of its admissions keeps it from attracting more than others.
    pub flows: u16,
    /// Requests that the backend server processes concurrently.
    pub slots: u16,
}

impl Fact {
    /// Whether this fact replaces `other` about the same instance.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.boot, self.seq) > (other.boot, other.seq)
    }

    /// Fields whose change is sent to other instances at once.
    #[must_use]
    pub const fn urgent_fields(&self) -> (Phase, Role, BootId, BootId, [bool; 2]) {
        let flags = [self.store, self.holds_earlier];
        (self.phase, self.role, self.boot, self.backend, flags)
    }

    /// The service of an agent, or `None` for a balancer.
    #[must_use]
    pub const fn service(&self) -> Option<ServiceTag> {
        match self.role {
            Role::Balancer => None,
            Role::Agent(service) => Some(service),
        }
    }
}

impl Phase {
    /// Whether new flows may be placed on the instance.
    #[must_use]
    pub const fn can_accept_flows(self) -> bool {
        matches!(self, Self::Ready | Self::Cold)
    }

    /// Whether the backend server has ended or is absent, and so holds no flows.
    #[must_use]
    pub const fn is_over(self) -> bool {
        matches!(self, Self::Over | Self::Left)
    }

    /// Whether the process has announced its shutdown.
    #[must_use]
    pub const fn is_leaving(self) -> bool {
        matches!(self, Self::Left | Self::Leaving)
    }

    /// Whether packets may still be sent to the instance.
    #[must_use]
    pub const fn is_running(self) -> bool {
        !matches!(self, Self::Left)
    }
}
