//! What the reducers see of one datagram.

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

use super::Flow;

/// Distance of a first acknowledgement from the sequence number that it acknowledges.
const HANDSHAKE_WINDOW: u32 = 1 << 20;

/// The fields of a packet that decisions depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// The flow.
    pub flow: Flow,
    /// Control flags.
    pub flags: Flags,
    /// The sender's sequence number.
    pub seq: u32,
    /// The sequence number that the sender acknowledges; of an opening packet, the copies of it that
    /// were sent before.
    pub ack: u32,
    /// Bytes of data.
    pub len: u16,
    /// What the previous instance says about the packet.
    pub tag: RelayTag,
}

/// Control flags of a packet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[expect(clippy::struct_excessive_bools, reason = "each is one bit of a packet")]
pub struct Flags {
    /// Opens a flow.
    pub syn: bool,
    /// Acknowledges.
    pub ack: bool,
    /// The sender has no more data.
    pub fin: bool,
    /// The flow is over.
    pub rst: bool,
    /// A backend server gave the packet back.
    pub bounced: bool,
}

/// What one instance tells the next about a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayTag {
    /// Why the packet comes.
    pub mode: Mode,
    /// Instances that it has passed since the balancer.
    pub hops: u8,
    /// Whether the balancer asks for the agent's status.
    pub asks: bool,
    /// The balancer that took the packet from the fabric.
    pub origin: Ipv4Addr,
}

/// Why a packet comes to an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mode {
    /// Straight from a caller or a backend server.
    #[default]
    Direct,
    /// The balancer placed the flow here.
    Placed,
    /// The balancer has it from the owner that the flow lives here.
    Known,
    /// The balancer does not know the flow; the receiver may have a note about it.
    Lookup,
    /// An agent had a note that the flow lives here.
    #[serde(rename = "Noted")]
    Recorded,
    /// An agent asks all agents of its service.
    Search,
    /// An agent did not admit the flow and gives the packet back to the balancer.
    Refused,
    /// As [`Mode::Refused`], for a moment only: the backend server has its hands full.
    Busy,
}

impl Packet {
    /// Whether the packet opens a flow.
    #[must_use]
    pub const fn is_opening(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }

    /// The sequence number after the packet's data.
    #[must_use]
    pub const fn end(&self) -> u32 {
        self.seq.wrapping_add(self.len as u32)
    }

    /// Whether the packet acknowledges the handshake of a backend server that answered with `seq`.
    #[must_use]
    pub const fn acknowledges(&self, seq: u32) -> bool {
        self.flags.ack && self.ack.wrapping_sub(seq) < HANDSHAKE_WINDOW
    }

    /// The same packet as another instance is to see it.
    #[must_use]
    pub const fn relay_tag(&self, mode: Mode) -> RelayTag {
        RelayTag {
            mode,
            hops: self.tag.hops.saturating_add(1),
            asks: false,
            origin: self.tag.origin,
        }
    }
}

impl RelayTag {
    /// Most instances that a packet passes after the balancer.
    pub const MAX_HOPS: u8 = 6;

    /// The tag of a packet that comes straight from its sender.
    #[must_use]
    pub const fn direct() -> Self {
        Self {
            mode: Mode::Direct,
            hops: 0,
            asks: false,
            origin: Ipv4Addr::UNSPECIFIED,
        }
    }

    /// The tag of a packet that the balancer `origin` sends.
    #[must_use]
    pub const fn new(mode: Mode, origin: Ipv4Addr) -> Self {
        Self {
            mode,
            hops: 0,
            asks: false,
            origin,
        }
    }

    /// Mode, hops and request for status in one byte.
    ///
    /// ```
    /// # use buckthornlink_core::datagram::{Mode, RelayTag};
    /// # use std::net::Ipv4Addr;
    /// let tag = RelayTag { asks: true, ..RelayTag::new(Mode::Lookup, Ipv4Addr::LOCALHOST) };
    /// assert_eq!(RelayTag::unpack(tag.pack(), Ipv4Addr::LOCALHOST), tag);
    /// ```
    #[must_use]
    pub const fn pack(self) -> u8 {
        let asks = if self.asks { 0x80 } else { 0 };
        let hops = if self.hops > 15 { 15 } else { self.hops };
        asks | hops << 3 | self.mode as u8
    }

    /// Reverses [`RelayTag::pack`].
    #[must_use]
    pub const fn unpack(byte: u8, origin: Ipv4Addr) -> Self {
        let mode = match byte & 7 {
            1 => Mode::Placed,
            2 => Mode::Known,
            3 => Mode::Lookup,
            4 => Mode::Recorded,
            5 => Mode::Search,
            6 => Mode::Refused,
            7 => Mode::Busy,
            _ => Mode::Direct,
        };
        Self {
            mode,
            hops: byte >> 3 & 15,
            asks: byte & 0x80 != 0,
            origin,
        }
    }
}
