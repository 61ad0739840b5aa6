//! Actions that the executor performs for a reducer.

use std::net::Ipv4Addr;

use super::{Decision, Flow, FlowDigest, Message, RelayTag, ZoneMembers};
use crate::id::Version;
use crate::time::Millis;

/// Identifies a packet that the event loop keeps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// An action to perform. Packet effects apply to the packet of the event that is being reduced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send the packet to another instance.
    Relay {
        /// The instance.
        to: Ipv4Addr,
        /// Metadata for that instance.
        tag: RelayTag,
    },
    /// Send the packet, with this metadata, to the backend server on this instance.
    Deliver(RelayTag),
    /// Keep the packet, and reduce it once more with this metadata after the next tick, or once the store has answered a
    /// read or write of saved flows. It may be dropped.
    Hold(RelayTag),
    /// Keep the packet, with this metadata, until another effect names its ticket. A packet that cannot be kept
    /// counts as lost in the network.
    Queue {
        /// Identifies the kept packet.
        ticket: Ticket,
        /// The metadata.
        tag: RelayTag,
    },
    /// Send a kept packet to the backend server on this instance.
    Release(Ticket),
    /// Send a kept packet, with this metadata, to another instance.
    Return(Ticket, RelayTag, Ipv4Addr),
    /// Drop a kept packet.
    Discard(Ticket),
    /// Send the packet to the caller.
    SendToCaller,
    /// Send a reset to the caller of a flow.
    Reset {
        /// The flow.
        flow: Flow,
        /// Sequence number of the reset, close to what the caller last acknowledged.
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
        /// Minimum version that the instance has.
        version: Version,
    },
    /// Start (`true`) or stop (`false`) watching the store.
    Watch(bool),
    /// Write the members of the own zone to the store, unless it has them already, and confirm that
    /// with [`Event::Published`].
    ///
    /// [`Event::Published`]: super::Event::Published
    Publish(ZoneMembers),
    /// Save the flows of the backend server in the store, for the next process of this agent.
    SaveFlows(FlowDigest),
    /// Read the lists of all zones' members in the store again.
    Discover,
    /// Log a decision.
    Log(Decision),
    /// Record a duration in a histogram.
    Measure(Measure, Millis),
}

/// The kind of a measured duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Measure {
    /// From an opening packet to the backend server's answer to it.
    Handshake,
    /// From the first packet of a request to the first packet of the answer.
    Response,
    /// From the latest search for a flow to its owner's answer, or to the flow's reset.
    Search,
    /// From the arrival of an opening packet or a request at an agent to its release to the backend server.
    Queue,
}
