//! Wire formats of buckthornlink: connection ids, envelopes, control messages and their keys.
//!
//! * [`CidCodec`] encodes QUIC connection ids that contain, encrypted and authenticated, the agent
//!   that holds the flow. Any balancer with the key can route them without a flow table.
//! * [`Header`] is the envelope around each datagram between a balancer and an agent.
//! * [`control`] encodes control messages.
//! * [`dependant`] authenticates calls that a backend server makes through its agent.
//! * [`KeyRing`] holds the valid keys. Several keys can be valid at a time, while they are rotated.
//!
//! # Example
//!
//! ```
//! use buckthornlink_core::{ServicePort, ZoneTag};
//! use buckthornlink_wire::{CidCodec, KeyRing, FlowLocation};
//!
//! let keys = KeyRing::single(1, &[7; 32]);
//! let location = FlowLocation {
//!     agent: "127.0.0.1:7000".parse()?,
//!     service: ServicePort(4433),
//!     zone: ZoneTag(3),
//!     boot: 9,
//! };
//! let cid = CidCodec::seal(&location, 1, keys.current());
//! assert_eq!(CidCodec::open(&cid, &keys), Some(location));
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

mod cid;
pub mod control;
pub mod dependant;
mod envelope;
mod key;
mod quic;

pub use cid::{CID_BYTES, CidCodec, FlowLocation};
pub use envelope::{DecodeError, Header, MAX_HEADER_BYTES, ReturnHeader};
pub use key::{Key, KeyRing, SECRET_BYTES};
pub use quic::QuicHeaderParser;

/// Length of the IP and UDP headers of a datagram, in bytes.
pub const IP_UDP_HEADER_BYTES: usize = 28;
/// Limit of a QUIC datagram between caller and agent, in bytes. With the envelope it still fits an
/// Ethernet frame.
pub const MAX_DATAGRAM_BYTES: u16 = 1_400;
