//! Control messages between instances of the datagram path.
//!
//! Each fits one datagram. All of them may be lost; what matters is sent again.

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

use super::{Fact, Flow};
use crate::id::{BootId, Version};
use crate::member::ZoneRecord;

/// A control message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// What the sender and others say about themselves.
    Status(Status),
    /// Where flows live, from their owners.
    #[serde(rename = "Notes")]
    OwnerRecords(Vec<OwnerRecord>),
    /// The sender's backend server does not hold the flow.
    Denied(Flow),
}

impl Message {
    /// Whether the message may answer one of the receiver's.
    ///
    /// An instance that asks speaks on its own account: it may hear nothing of what it is sent.
    #[must_use]
    pub const fn is_answer(&self) -> bool {
        !matches!(self, Self::Status(Status { asks: true, .. }))
    }
}

/// What an instance knows about itself and about others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The sender.
    pub from: Fact,
    /// Version of the configuration that the sender has in force.
    pub version: Version,
    /// Zone records.
    pub zones: Vec<ZoneRecord>,
    /// Facts about other instances that have changed or that the receiver may lack.
    pub facts: Vec<Fact>,
    /// Signs of life of other instances.
    pub beats: Vec<MemberHeartbeat>,
    /// Instances that the sender knows.
    pub known: u32,
    /// Whether the receiver is asked for its own status.
    pub asks: bool,
}

/// A sign of life of an instance, without the rest of its fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberHeartbeat {
    /// Address of the instance.
    pub ip: u32,
    /// Low bits of its boot id.
    pub boot: u32,
    /// Its sequence number.
    pub seq: u32,
}

impl MemberHeartbeat {
    /// The sign of life that a fact gives.
    #[must_use]
    pub const fn from_fact(fact: &Fact) -> Self {
        Self {
            ip: fact.ip.to_bits(),
            boot: boot_bits(fact.boot),
            seq: fact.seq,
        }
    }

    /// Whether the sign of life comes from the start of the process that `fact` tells about.
    #[must_use]
    pub const fn is_same_boot(&self, fact: &Fact) -> bool {
        self.boot == boot_bits(fact.boot)
    }
}

#[expect(clippy::cast_possible_truncation, reason = "the low bits are wanted")]
const fn boot_bits(boot: BootId) -> u32 {
    (boot.0 & u32::MAX as u64) as u32
}

/// Where one flow lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The flow.
    pub flow: Flow,
    /// The agent that owns it.
    pub owner: Ipv4Addr,
    /// Start of the backend server that holds it.
    pub backend: BootId,
}
