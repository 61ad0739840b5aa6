//! Control messages between instances of the datagram path.
//!
//! Each fits into one datagram. Any of them may be lost; important contents are sent again.

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

use super::{Fact, Flow, SavedFlow};
use crate::id::{BootId, Version};
use crate::member::ZoneRecord;
use crate::store::StoreAnswer;

/// A control message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// State of the sender and of other instances.
    Status(Status),
    /// Records of flows, sent by their owner.
    #[serde(rename = "Notes")]
    OwnerRecords(Vec<OwnerRecord>),
    /// The sender's backend server does not hold the flow.
    Denied(Flow),
    /// The sender searches for the owners of these flows and has no packet of them in hand.
    Query(Vec<Flow>),
    /// The sender's backend server was given a packet of the flow, which it has neither answered nor returned.
    Tried(Flow),
    /// A backend server beside the sender held the flow, by what the sender's earlier process saved, and has ended.
    Ended(SavedFlow),
    /// What the sender knows of the store, which has become younger.
    Store(StoreView),
}

impl Message {
    /// Whether the message may be an answer to one of the receiver's.
    ///
    /// A status that asks for another, a query and news of the store are unsolicited, so they do not show
    /// that their sender receives anything.
    #[must_use]
    pub const fn is_answer(&self) -> bool {
        !matches!(
            self,
            Self::Status(Status { asks: true, .. }) | Self::Query(_) | Self::Store(_)
        )
    }
}

/// State of the sender, and what it knows about other instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Fact of the sender.
    pub from: Fact,
    /// What the sender knows of the store.
    pub store: StoreView,
    /// Facts about other instances that have changed or that the receiver may lack.
    pub facts: Vec<Fact>,
    /// Heartbeats of other instances.
    pub beats: Vec<MemberHeartbeat>,
    /// Number of instances that the sender knows.
    pub known: u32,
    /// Whether the sender asks for the status of the receiver.
    pub asks: bool,
}

/// What an instance knows of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreView {
    /// Version of the configuration that the instance has in force.
    pub version: Version,
    /// Zone records.
    pub zones: Vec<ZoneRecord>,
    /// The latest answers of the store that this rests on: no change before any of them is missing.
    pub answers: Vec<StoreAnswer<Ipv4Addr>>,
}

/// Heartbeat of an instance, without the rest of its fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberHeartbeat {
    /// Address of the instance.
    pub ip: u32,
    /// Low 32 bits of its boot id.
    pub boot: u32,
    /// Sequence number of its fact.
    pub seq: u32,
}

impl MemberHeartbeat {
    /// The heartbeat that a fact implies.
    #[must_use]
    pub const fn from_fact(fact: &Fact) -> Self {
        Self {
            ip: fact.ip.to_bits(),
            boot: boot_bits(fact.boot),
            seq: fact.seq,
        }
    }

    /// Whether the heartbeat and `fact` come from the same boot of the instance.
    #[must_use]
    pub const fn is_same_boot(&self, fact: &Fact) -> bool {
        self.boot == boot_bits(fact.boot)
    }
}

#[expect(clippy::cast_possible_truncation, reason = "the low bits are wanted")]
const fn boot_bits(boot: BootId) -> u32 {
    (boot.0 & u32::MAX as u64) as u32
}

/// The owner of one flow, as stored by the flow's home agent and cached by balancers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The flow.
    pub flow: Flow,
    /// The agent that owns it.
    pub owner: Ipv4Addr,
    /// Boot id of the backend server that holds it.
    pub backend: BootId,
}

impl OwnerRecord {
    /// Whether the record was sent before the one that named this owner and boot: it is of the same agent and an
    /// earlier boot of its backend server. An agent that does not know the boot yet uses zero, which is none.
    #[must_use]
    pub fn is_outdated_by(&self, owner: Ipv4Addr, backend: BootId) -> bool {
        self.owner == owner && self.backend != BootId::default() && self.backend < backend
    }
}
