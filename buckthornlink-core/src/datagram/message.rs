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
    Notes(Vec<Note>),
    /// The sender's backend server does not hold the flow.
    Denied(Flow),
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
    /// Facts about other instances.
    pub facts: Vec<Fact>,
    /// Whether the receiver is asked for its own status.
    pub asks: bool,
}

/// Where one flow lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// The flow.
    pub flow: Flow,
    /// The agent that owns it.
    pub owner: Ipv4Addr,
    /// Start of the backend server that holds it.
    pub backend: BootId,
}
