//! What the processes of buckthornlink put on the network.
//!
//! * [`ConnectionId`] is a QUIC connection id that says, encrypted and authenticated, which agent
//!   holds the flow. Any balancer with the key can route it without a table.
//! * [`Header`] is the envelope around each datagram between a balancer and an agent.
//! * [`control`] encodes control messages.
//! * [`dependant`] marks calls that a backend server makes through its agent.
//! * [`KeyRing`] holds the keys; two key ids can be valid at a time.
//!
//! # Example
//!
//! ```
//! use buckthornlink_core::{ServicePort, ZoneTag};
//! use buckthornlink_wire::{ConnectionId, KeyRing, FlowLocation};
//!
//! let keys = KeyRing::single(1, &[7; 32]);
//! let location = FlowLocation {
//!     agent: "127.0.0.1:7000".parse()?,
//!     service: ServicePort(4433),
//!     zone: ZoneTag(3),
//!     boot: 9,
//! };
//! let cid = ConnectionId::seal(&location, 1, keys.current());
//! assert_eq!(ConnectionId::open(&cid, &keys), Some(location));
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

mod cid;
pub mod control;
pub mod dependant;
mod envelope;
mod key;
mod quic;

pub use cid::{CID_BYTES, ConnectionId, FlowLocation};
pub use envelope::{DecodeError, Header, MAX_HEADER_BYTES, ReturnHeader};
pub use key::{Key, KeyRing, SECRET_BYTES};
pub use quic::QuicHeaderParser;

/// IP and UDP headers of a datagram, in bytes.
pub const DATAGRAM_HEADER_BYTES: usize = 28;
/// Largest QUIC datagram that passes between caller and agent, in bytes. With the envelope it
/// still fits an Ethernet frame.
pub const MAX_DATAGRAM_BYTES: u16 = 1_400;
