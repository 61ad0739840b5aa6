//! State that one instance publishes about itself.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::id::{BootId, ServicePort, ZoneTag};

/// Published state of one instance. Only the instance itself writes it, except that an observer may
/// mark it [`Phase::Silent`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// Address of the link socket, which receives datagrams from other instances; identifies the
    /// instance.
    pub addr: SocketAddrV4,
    /// Role of the instance.
    pub role: Role,
    /// Availability zone.
    pub zone: ZoneTag,
    /// Incarnation of the process.
    pub boot: BootId,
    /// Sequence number within one boot.
    pub seq: u32,
    /// Life-cycle phase.
    pub phase: Phase,
}

/// Role of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    /// Forwards datagrams.
    Balancer,
    /// Runs beside a backend server of this service.
    Agent(ServicePort),
}

/// Life-cycle phase of an instance. Of two facts with equal boot and sequence number, the one with
/// the greater phase supersedes the other.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum Phase {
    /// The backend server is in cold start and takes only a part of its limits.
    #[default]
    Cold,
    /// Serving at full limits.
    Warm,
    /// Shutting down: finishes open flows and requests and accepts no new flows.
    Draining,
    /// Marked by an observer that no longer receives datagrams from the instance.
    Silent,
    /// The instance announced that it has shut down.
    Left,
}

/// Load of one backend server, as its agent reports it on each datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Open flows.
    pub flows: u32,
    /// Share of the full limits that the backend server can take now, in 1/255.
    pub weight: u8,
    /// Smoothed share of the current concurrency limit that is in use, in 1/255.
    pub pressure: u8,
}

impl Fact {
    /// Whether this fact replaces `other` of the same instance.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.boot, self.seq, self.phase) > (other.boot, other.seq, other.phase)
    }

    /// Raises the boot or the sequence number, so that this fact supersedes `known`, which others hold of the same
    /// instance.
    pub fn overtake(&mut self, known: &Self) {
        if known.boot > self.boot {
            self.boot = BootId(known.boot.0.saturating_add(1));
        } else {
            self.seq = self.seq.max(known.seq.saturating_add(1));
        }
    }

    /// Returns this fact with the phase set to [`Phase::Silent`], as an observer publishes it.
    #[must_use]
    pub const fn silenced(mut self) -> Self {
        self.phase = Phase::Silent;
        self
    }

    /// Returns the service of an agent, or `None` for a balancer.
    #[must_use]
    pub const fn service(&self) -> Option<ServicePort> {
        match self.role {
            Role::Balancer => None,
            Role::Agent(service) => Some(service),
        }
    }
}

impl Phase {
    /// Whether an instance in this phase accepts new flows.
    #[must_use]
    pub const fn can_accept_flows(self) -> bool {
        matches!(self, Self::Cold | Self::Warm)
    }

    /// Whether an instance in this phase is silent or has left.
    #[must_use]
    pub const fn is_gone(self) -> bool {
        matches!(self, Self::Silent | Self::Left)
    }
}
