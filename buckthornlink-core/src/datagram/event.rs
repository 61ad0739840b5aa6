//! Input events of the reducers of the datagram path.

use std::net::Ipv4Addr;
use std::sync::Arc;

use super::{
    BackendHeartbeat, Connection, Effect, FlowDigest, Gossip, Message, Packet, Table, ZoneMembers,
};
use crate::member::{ZoneRecord, ZoneSnapshot};
use crate::time::Millis;

/// An input of a reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// A packet arrived.
    Packet {
        /// Where it came from.
        source: Source,
        /// The packet.
        packet: Packet,
    },
    /// A control message arrived from another instance.
    Message {
        /// The instance.
        from: Ipv4Addr,
        /// The message.
        message: Message,
    },
    /// A configuration was read from the store or from another instance.
    Table(Arc<Table>),
    /// A watch of the store reported a change of a zone.
    Zone(ZoneRecord),
    /// All zone records were read from the store.
    Zones(ZoneSnapshot),
    /// Addresses of instances that can be asked for their status.
    Contacts(Vec<Ipv4Addr>),
    /// All agents that the store lists.
    RegisteredAgents(Vec<Ipv4Addr>),
    /// The store has this list of the own zone's members.
    Published(ZoneMembers),
    /// The flows that an earlier process of this agent saved in the store, or none.
    SavedFlows(FlowDigest),
    /// The store has confirmed a digest that this process saved; the flag is that of the digest.
    FlowsSaved {
        /// See [`FlowDigest::has_tried`].
        has_tried: bool,
    },
    /// The store answered this process. All that it told has been reported; the answer is at most this old.
    StoreAnswered(Millis),
    /// A call to the store failed.
    StoreFailed,
    /// The backend server sent a heartbeat.
    BackendHeartbeat(BackendHeartbeat),
    /// The idle connection to the backend server was accepted, closed or refused; a refusal is reported
    /// again while it lasts.
    BackendConnection(Connection),
    /// A packet to the backend server was refused: nothing receives packets at its address.
    DeliveryRefused,
    /// The backend server with this id announced that it is about to end.
    BackendEnding(String),
    /// The process was asked to terminate.
    Leave,
    /// The periodic timer fired.
    Tick,
}

/// Where a packet came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A caller, through the network fabric.
    Fabric,
    /// Another instance.
    Peer(Ipv4Addr),
    /// The backend server on this instance.
    Backend,
}

/// Numbers of flows that a reducer knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlowCounts {
    /// Flows that the backend server holds or was offered.
    pub open: usize,
    /// Flows with a request that the backend server has not begun to answer.
    pub waiting: usize,
    /// Flows whose end is announced but not known, or whose callers are yet to be told of it.
    pub undecided: usize,
    /// Flows with remembered state, those of other owners included.
    pub known: usize,
}

/// State machine of one process of the datagram path.
pub trait Reducer {
    /// Handles an event and appends its effects to `effects`, in order.
    fn reduce(&mut self, event: Event, now: Millis, effects: &mut Vec<Effect>);

    /// The instance's own fact, the known instances, zone records and configuration version.
    fn gossip(&self) -> &Gossip;

    /// The configuration in force.
    fn table(&self) -> &Arc<Table>;

    /// Whether the process is ready to receive packets.
    fn is_ready(&self, now: Millis) -> bool;

    /// Numbers of known flows.
    fn flow_counts(&self) -> FlowCounts;
}
