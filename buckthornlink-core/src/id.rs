//! Small `Copy` identifiers shared by all crates.

use std::fmt;
use std::hash::Hasher;
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// A service, identified by the UDP port of its address.
///
/// The network fabric preserves the destination port, so a balancer knows the service of every
/// datagram. Validation of the configuration therefore rejects a port that two services share.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ServicePort(pub u16);

impl fmt::Display for ServicePort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// An availability zone, identified by a hash of its name that is short enough for a connection id.
///
/// Validation of the configuration rejects two zones with the same tag.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ZoneTag(pub u16);

impl ZoneTag {
    /// Returns the tag of the zone called `name`.
    ///
    /// ```
    /// # use buckthornlink_core::ZoneTag;
    /// assert_ne!(ZoneTag::of("brasov-1"), ZoneTag::of("brasov-2"));
    /// ```
    #[must_use]
    pub fn of(name: &str) -> Self {
        let bytes = stable_hash(name.as_bytes()).to_be_bytes();
        Self(u16::from_be_bytes([bytes[0], bytes[1]]))
    }
}

/// Incarnation of an instance: its start time in milliseconds of wall-clock time, greater at each
/// start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct BootId(pub u64);

impl BootId {
    /// Returns a two-byte hash of the boot id, as a connection id carries it.
    #[must_use]
    pub fn short_hash(self) -> u16 {
        let bytes = stable_hash(&self.0.to_be_bytes()).to_be_bytes();
        u16::from_be_bytes([bytes[0], bytes[1]])
    }
}

/// Version of the configuration; zero if none has been received yet.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

impl Version {
    /// Returns the version that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Hash that identifies a flow before it has a routable connection id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FlowKey(pub u64);

impl FlowKey {
    /// Returns the key of the flow that `caller` opens to `service` with the connection id `cid`.
    ///
    /// ```
    /// # use buckthornlink_core::{FlowKey, ServicePort};
    /// let caller = "127.0.0.1:9000".parse().unwrap();
    /// let a = FlowKey::new(ServicePort(4433), caller, &[1, 2, 3]);
    /// assert_eq!(a, FlowKey::new(ServicePort(4433), caller, &[1, 2, 3]));
    /// assert_ne!(a, FlowKey::new(ServicePort(4434), caller, &[1, 2, 3]));
    /// ```
    #[must_use]
    pub fn new(service: ServicePort, caller: SocketAddrV4, cid: &[u8]) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(&service.0.to_be_bytes());
        hasher.write(&caller.ip().octets());
        hasher.write(&caller.port().to_be_bytes());
        hasher.write(cid);
        Self(hasher.finish())
    }
}

/// Returns a 64-bit hash that is the same in every process and release.
///
/// ```
/// # use buckthornlink_core::id::stable_hash;
/// assert_eq!(stable_hash(b"token"), stable_hash(b"token"));
/// ```
#[must_use]
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(bytes);
    hasher.finish()
}
