//! What a reducer of the datagram path is told.

use std::net::Ipv4Addr;
use std::sync::Arc;

use super::{Effect, Gossip, Heartbeat, Message, Packet, Table};
use crate::member::ZoneRecord;
use crate::time::Millis;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A packet came.
    Packet {
        /// From where.
        source: Source,
        /// The packet.
        packet: Packet,
    },
    /// Another instance sent a control message.
    Message {
        /// The instance.
        from: Ipv4Addr,
        /// The message.
        message: Message,
    },
    /// The store, or another instance, has this configuration.
    Table(Arc<Table>),
    /// The store has this record of a zone.
    Zone(ZoneRecord),
    /// Addresses of instances that may be asked for others.
    Contacts(Vec<Ipv4Addr>),
    /// Agents that have an entry in the store.
    RegisteredAgents(Vec<Ipv4Addr>),
    /// The store answers this process, or no longer does.
    StoreReachable(bool),
    /// The backend server reports itself.
    Heartbeat(Heartbeat),
    /// Nothing listens at the backend server's address.
    BackendAbsent,
    /// The backend server of this name has ended.
    BackendEnded(String),
    /// The process is to end.
    Leave,
    /// Time has passed.
    Tick,
}

/// Where a packet comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A caller, through the fabric.
    Fabric,
    /// Another instance.
    Peer(Ipv4Addr),
    /// The backend server on this instance.
    Backend,
}

/// Flows that a reducer knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlowCounts {
    /// Flows that the backend server holds.
    pub open: usize,
    /// Flows for which the backend server owes an answer.
    pub waiting: usize,
    /// All flows that are remembered.
    pub known: usize,
}

/// Decides what one process of the datagram path does.
pub trait Reducer {
    /// Handles an event; effects are added to `effects`, in order.
    fn reduce(&mut self, event: Event, now: Millis, effects: &mut Vec<Effect>);

    /// The instance's fact, the others that it knows, zones and version.
    fn gossip(&self) -> &Gossip;

    /// The configuration in force.
    fn table(&self) -> &Arc<Table>;

    /// Whether packets may be sent here.
    fn is_ready(&self, now: Millis) -> bool;

    /// Flows that are known.
    fn flow_counts(&self) -> FlowCounts;
}
