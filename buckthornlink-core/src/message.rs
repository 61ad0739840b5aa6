//! Control messages between the processes of the system.
//!
//! Each message fits one datagram. Larger things, such as a configuration, are fetched over HTTP
//! from the instance that announced them.

use serde::{Deserialize, Serialize};

use crate::id::Version;
use crate::member::{Digest, Fact, Load, ZoneRecord};
use crate::time::Millis;

/// Most facts that one message carries.
pub const MAX_FACTS: usize = 20;

/// Bytes that a datagram costs besides its message: IP and UDP headers and the envelope.
const DATAGRAM_OVERHEAD_BYTES: usize = 44;
/// Encoded size of a message without its lists, rounded up.
const MESSAGE_BYTES: usize = 48;
const FACT_BYTES: usize = 50;
const ZONE_BYTES: usize = 11;
const DIGEST_BYTES: usize = 80;

/// A control message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// First contact, sent through the fabric to whichever balancer gets it.
    Hello(Fact),
    /// An agent reports itself to a balancer that observes it.
    Heartbeat(Heartbeat),
    /// Answer to a hello or a heartbeat.
    Ack(Ack),
    /// Anti-entropy between two balancers.
    Exchange(Exchange),
}

/// An agent's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The agent.
    pub fact: Fact,
    /// Its load.
    pub load: Load,
    /// Version of the configuration that it has in force.
    pub version: Version,
}

/// A balancer's answer to a hello or a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The balancer that answers.
    pub from: Fact,
    /// Version of the configuration that it has in force.
    pub version: Version,
    /// Zone records.
    pub zones: Vec<ZoneRecord>,
    /// Some balancers, for the receiver to report to.
    pub peers: Vec<Fact>,
    /// Time until the next report is due.
    pub interval: Millis,
    /// Flows that an agent of the receiver's service holds at full limits if load is even.
    pub flows: u32,
    /// The receiver as the balancer knows it, if it is marked silent.
    pub silenced: Option<Fact>,
}

/// One half of an anti-entropy round.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// The sender.
    pub from: Fact,
    /// Version of the configuration that it has in force.
    pub version: Version,
    /// Summary of its members; only a sender that asks for an answer gives one.
    pub digest: Option<Digest>,
    /// Zone records.
    pub zones: Vec<ZoneRecord>,
    /// Facts that changed, or that the receiver's digest lacked.
    pub facts: Vec<Fact>,
    /// Whether the receiver is asked to answer.
    pub ask: bool,
}

impl Message {
    /// Upper estimate of the bytes that the message takes on the network.
    ///
    /// The encoding test of the wire package checks that the estimate is not exceeded.
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
        };
        DATAGRAM_OVERHEAD_BYTES + MESSAGE_BYTES + lists
    }
}
