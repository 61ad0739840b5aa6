//! The fields of a datagram that the reducers need.

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

use super::Flow;

/// The fields of a packet that decisions depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// The flow.
    pub flow: Flow,
    /// Control flags.
    pub flags: Flags,
    /// The sender's sequence number.
    pub seq: u32,
    /// The sequence number that the sender acknowledges; in an opening packet, how often the packet
    /// was sent before.
    pub ack: u32,
    /// Payload length in bytes.
    pub len: u16,
    /// Metadata from the previous instance.
    pub tag: RelayTag,
}

/// Control flags of a packet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[expect(clippy::struct_excessive_bools, reason = "each is one bit of a packet")]
pub struct Flags {
    /// Opens a flow.
    pub syn: bool,
    /// Acknowledges a sequence number.
    pub ack: bool,
    /// The sender has no more data.
    pub fin: bool,
    /// Resets the flow.
    pub rst: bool,
    /// A backend server returned the packet.
    pub bounced: bool,
}

/// Metadata that one instance passes to the next with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayTag {
    /// Why the packet is sent.
    pub mode: Mode,
    /// Instances that it has passed since the balancer. A placed packet counts busy agents instead.
    pub hops: u8,
    /// Whether the balancer asks for the agent's status.
    pub asks: bool,
    /// The balancer that received the packet from the network fabric.
    pub origin: Ipv4Addr,
}

/// Why a packet is sent to an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mode {
    /// Directly from a caller or a backend server.
    #[default]
    Direct,
    /// The balancer placed the flow on the receiver, and perhaps on others as well.
    Placed,
    /// The balancer knows the receiver as the owner of the flow, or placed it on no other agent.
    Known,
    /// The balancer does not know the flow; the receiver may have its owner record.
    Lookup,
    /// An agent had an owner record that names the receiver.
    #[serde(rename = "Noted")]
    Recorded,
    /// An agent asks all agents that may own the flow.
    Search,
    /// An agent did not admit the flow and returns the packet to the balancer.
    Refused,
    /// Like [`Mode::Refused`], but temporary: the backend server is busy or its cold start is
    /// rate-limited.
    Busy,
    /// The flow's home agent lets the receiver find out whether its backend server holds the flow.
    Try,
    /// The backend server beside the sender was given the packet and does not hold its flow.
    Failed,
    /// The sender knows that its backend server does not hold the flow, and has not tried the packet.
    Declined,
    /// The packet was held by the receiver itself.
    Held,
    /// Like [`Mode::Failed`], after as many packets as may reach others than the owner of the flow. Earlier versions
    /// use 12 for something else.
    Exhausted = 13,
}

impl Mode {
    /// Name in logs.
    ///
    /// ```
    /// # use buckthornlink_core::datagram::Mode;
    /// assert_eq!(Mode::Recorded.name(), "recorded");
    /// ```
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::Placed => "placed",
            Self::Known => "known",
            Self::Lookup => "lookup",
            Self::Recorded => "recorded",
            Self::Search => "search",
            Self::Refused => "refused",
            Self::Busy => "busy",
            Self::Try => "try",
            Self::Failed => "failed",
            Self::Declined => "declined",
            Self::Held => "held",
            Self::Exhausted => "exhausted",
        }
    }
}

impl Packet {
    /// Whether the packet opens a flow.
    #[must_use]
    pub const fn is_opening(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }

    /// The sequence number after the packet's payload.
    #[must_use]
    pub const fn end(&self) -> u32 {
        self.seq.wrapping_add(self.len as u32)
    }

    /// Whether the packet acknowledges a backend server's handshake answer with sequence number `seq`,
    /// and nothing after it: the backend server sends nothing more until it has received this packet.
    ///
    /// ```
    /// # use buckthornlink_core::datagram::{Flags, Flow, Packet, RelayTag};
    /// # let caller = "100.64.0.7:40001".parse().unwrap();
    /// # let route = "198.18.0.1:443".parse().unwrap();
    /// let flags = Flags { ack: true, ..Flags::default() };
    /// let flow = Flow { caller, route };
    /// let packet = Packet { flow, flags, seq: 1, ack: 501, len: 0, tag: RelayTag::direct() };
    /// assert!(packet.acknowledges(500));
    /// assert!(!packet.acknowledges(400));
    /// ```
    #[must_use]
    pub const fn acknowledges(&self, seq: u32) -> bool {
        self.flags.ack && self.ack == seq.wrapping_add(1)
    }

    /// The tag with which the packet is relayed to another instance.
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
    /// Number of hops of a placed opening packet from which on an agent holds it rather than refusing it as busy, if
    /// routes of different priority lead to its service.
    pub const HOLD_HOPS: u8 = 2;
    /// Maximum number of instances that a packet passes after the balancer.
    pub const MAX_HOPS: u8 = 6;
    /// Greatest number of hops that a packed tag holds.
    const MAX_PACKED_HOPS: u8 = 7;
    /// Bits of a packed tag: the request for a status, and the fourth bit of the mode.
    const ASKS_BIT: u8 = 0x80;
    const MODE_BIT: u8 = 0x40;

    /// The tag of a packet that comes directly from its sender.
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

    /// Packs mode, hops and the request for a status into one byte.
    ///
    /// ```
    /// # use buckthornlink_core::datagram::{Mode, RelayTag};
    /// # use std::net::Ipv4Addr;
    /// let tag = RelayTag { asks: true, ..RelayTag::new(Mode::Lookup, Ipv4Addr::LOCALHOST) };
    /// assert_eq!(RelayTag::unpack(tag.pack(), Ipv4Addr::LOCALHOST), tag);
    /// ```
    #[must_use]
    pub const fn pack(self) -> u8 {
        let asks = if self.asks { Self::ASKS_BIT } else { 0 };
        let hops = if self.hops > Self::MAX_PACKED_HOPS {
            Self::MAX_PACKED_HOPS
        } else {
            self.hops
        };
        let mode = self.mode as u8;
        asks | (mode << 3 & Self::MODE_BIT) | hops << 3 | (mode & 7)
    }

    /// Unpacks what [`RelayTag::pack`] packed.
    #[must_use]
    pub const fn unpack(byte: u8, origin: Ipv4Addr) -> Self {
        let mode = match (byte & 7) | (byte & Self::MODE_BIT) >> 3 {
            1 => Mode::Placed,
            2 => Mode::Known,
            3 => Mode::Lookup,
            4 => Mode::Recorded,
            5 => Mode::Search,
            6 => Mode::Refused,
            7 => Mode::Busy,
            8 => Mode::Try,
            9 => Mode::Failed,
            10 => Mode::Declined,
            11 => Mode::Held,
            13 => Mode::Exhausted,
            _ => Mode::Direct,
        };
        Self {
            mode,
            hops: byte >> 3 & Self::MAX_PACKED_HOPS,
            asks: byte & Self::ASKS_BIT != 0,
            origin,
        }
    }
}
