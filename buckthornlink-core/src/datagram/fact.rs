//! What one instance of the datagram path says about itself.

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

use super::ServiceTag;
use crate::id::{BootId, ZoneTag};

/// The state of one instance, written by that instance alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// Address of the instance; names it.
    pub ip: Ipv4Addr,
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
    /// Start of the backend server beside an agent; zero if none is known.
    pub backend: BootId,
    /// Whether it watches the store, and the store answers it.
    pub store: bool,
    /// Load of the backend server.
    pub load: Load,
}

/// What an instance does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    /// Takes packets from the fabric.
    Balancer,
    /// Runs beside a backend server of this service.
    Agent(ServiceTag),
}

/// Life-cycle phase of an instance and of the backend server beside it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Nothing is known of the backend server yet.
    #[default]
    Starting,
    /// Takes new flows.
    Ready,
    /// Takes a bounded number of new flows: the backend server is in cold start.
    Cold,
    /// Keeps its flows and takes no new ones.
    Draining,
    /// The backend server no longer sends heartbeats.
    Silent,
    /// The backend server has ended; the flows that it held are over.
    Over,
    /// The process has ended by its own word.
    Left,
}

/// Load of one backend server as its agent sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Flows with a request that the backend server has not begun to answer: mean of the last
    /// second, in tenths.
    pub waiting: u16,
    /// Open flows.
    pub flows: u16,
    /// Requests that the backend server works on at once.
    pub slots: u16,
}

impl Fact {
    /// Whether this fact replaces `other` about the same instance.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.boot, self.seq) > (other.boot, other.seq)
    }

    /// What others are told at once when it changes.
    #[must_use]
    pub const fn urgent_fields(&self) -> (Phase, Role, BootId, BootId, bool) {
        (self.phase, self.role, self.boot, self.backend, self.store)
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
    /// Whether new flows may be placed here.
    #[must_use]
    pub const fn can_accept_flows(self) -> bool {
        matches!(self, Self::Ready | Self::Cold)
    }

    /// Whether the flows of the backend server are known to be over.
    #[must_use]
    pub const fn is_over(self) -> bool {
        matches!(self, Self::Over)
    }

    /// Whether packets may still be sent to the instance.
    #[must_use]
    pub const fn is_running(self) -> bool {
        !matches!(self, Self::Left)
    }
}
