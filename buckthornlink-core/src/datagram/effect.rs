//! What an executor does for a reducer.

use std::net::Ipv4Addr;

use super::{Decision, Flow, Message, RelayTag};
use crate::id::Version;
use crate::time::Millis;

/// One thing to do. Effects on a packet mean the packet of the event that is being reduced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send the packet to another instance.
    Relay {
        /// The instance.
        to: Ipv4Addr,
        /// What it is told about the packet.
        tag: RelayTag,
    },
    /// Send the packet to the backend server on this instance.
    Deliver(RelayTag),
    /// Send the packet to the caller.
    Answer,
    /// Tell a caller that its flow is over.
    Reset {
        /// The flow.
        flow: Flow,
        /// Sequence number of the reset, near what the caller last acknowledged.
        seq: u32,
    },
    /// Send a control message.
    Send {
        /// The instance.
        to: Ipv4Addr,
        /// The message.
        message: Message,
    },
    /// Fetch the configuration from another instance.
    Fetch {
        /// The instance.
        from: Ipv4Addr,
        /// The version that it has, at least.
        version: Version,
    },
    /// Start or stop to watch the store.
    Watch(bool),
    /// Write a line to the log.
    Log(Decision),
    /// Count a span in a histogram.
    Measure(Measure, Millis),
}

/// What a measured span is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Measure {
    /// From an opening packet to the backend server's answer to it.
    Handshake,
    /// From a request's first packet to the first packet of the answer.
    Response,
    /// From the search for a flow to its owner's answer, or to its reset.
    Search,
}
