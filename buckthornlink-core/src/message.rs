//! Control messages between balancers and agents.
//!
//! Each message fits into one datagram. Larger data, such as a configuration, is fetched over HTTP
//! from the instance that announced it.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::id::Version;
use crate::member::{Digest, Fact, Load, ZoneRecord};
use crate::store::StoreAnswer;
use crate::time::Millis;

/// Maximum number of facts in one message.
pub const MAX_FACTS: usize = 20;

/// Bytes of a datagram besides its message: IP and UDP headers and the envelope.
const DATAGRAM_OVERHEAD_BYTES: usize = 44;
/// Encoded size of a message without its facts, zone records and digest, rounded up.
const MESSAGE_BASE_BYTES: usize = 48;
/// Upper bounds of the encoded sizes of the parts of a message.
const FACT_BYTES: usize = 50;
const ZONE_BYTES: usize = 11;
const DIGEST_BYTES: usize = 80;
const ANSWER_BYTES: usize = 20;

/// A control message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Introduces the sender to a balancer that the network fabric selects.
    Hello(Fact),
    /// Periodic report of an agent to a balancer that observes it.
    Heartbeat(Heartbeat),
    /// Acknowledgement of a hello or a heartbeat.
    Ack(Ack),
    /// Anti-entropy exchange between two balancers.
    Exchange(Exchange),
    /// What a balancer knows of the store.
    Store(StoreView),
}

/// Periodic report of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Fact of the agent.
    pub fact: Fact,
    /// Load of the backend server.
    pub load: Load,
    /// Version of the configuration that the agent uses.
    pub version: Version,
}

/// A balancer's acknowledgement of a hello or a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// Fact of the balancer.
    pub from: Fact,
    /// Version of the configuration that the balancer uses.
    pub version: Version,
    /// All zone records that the balancer knows.
    pub zones: Vec<ZoneRecord>,
    /// Other balancers to which the receiver can send heartbeats.
    pub peers: Vec<Fact>,
    /// Time until the next heartbeat is due.
    pub interval: Millis,
    /// Fair share of flows of an agent of the receiver's service at full limits; 0 if unknown.
    pub flows: u32,
    /// The balancer's fact of the receiver, if it is marked silent or of a later boot than the receiver's own.
    pub silenced: Option<Fact>,
}

/// Request or response of an anti-entropy exchange, or a push of changes outside an exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// Fact of the sender.
    pub from: Fact,
    /// Version of the configuration that the sender uses.
    pub version: Version,
    /// Digest of the sender's members; present only if `ask` is set.
    pub digest: Option<Digest>,
    /// All zone records that the sender knows.
    pub zones: Vec<ZoneRecord>,
    /// Changed facts, or facts in buckets where the receiver's digest differs.
    pub facts: Vec<Fact>,
    /// Whether the sender expects a response.
    pub ask: bool,
}

/// What the sender knows of the operators' records, and how old that is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreView {
    /// Version of the configuration that the sender uses.
    pub version: Version,
    /// All zone records that the sender knows.
    pub zones: Vec<ZoneRecord>,
    /// The latest answers of the store that this rests on: no change before any of them is missing.
    pub answers: Vec<StoreAnswer<SocketAddrV4>>,
    /// Whether the sender expects to be told what the receiver knows.
    pub ask: bool,
}

impl Message {
    /// Returns an upper bound for the bytes that the message takes on the network.
    ///
    /// The encoding test of the wire package checks that the bound is not exceeded.
    #[must_use]
    pub fn size(&self) -> usize {
        let lists = match self {
            Self::Hello(_) | Self::Heartbeat(_) => FACT_BYTES,
            Self::Ack(ack) => {
                let facts = 1 + ack.peers.len() + usize::from(ack.silenced.is_some());
                facts * FACT_BYTES + ack.zones.len() * ZONE_BYTES
            }
            Self::Exchange(exchange) => {
                let facts = 1 + exchange.facts.len();
                let digest = exchange.digest.map_or(0, |_| DIGEST_BYTES);
                facts * FACT_BYTES + exchange.zones.len() * ZONE_BYTES + digest
            }
            Self::Store(view) => view.answers.len() * ANSWER_BYTES + view.zones.len() * ZONE_BYTES,
        };
        DATAGRAM_OVERHEAD_BYTES + MESSAGE_BASE_BYTES + lists
    }
}
