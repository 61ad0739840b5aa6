//! Identity of a flow.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::net::{Ipv4Addr, SocketAddrV4};

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::id::stable_hash;

/// A map keyed by flow, with a hash that is the same in every process.
pub type FlowMap<V> = HashMap<Flow, V, BuildHasherDefault<SipHasher13>>;

/// A flow, identified by its two endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Flow {
    /// The caller's endpoint.
    pub caller: SocketAddrV4,
    /// The address that the caller connects to.
    pub route: SocketAddrV4,
}

impl Flow {
    /// A hash that is the same in every process.
    #[must_use]
    pub fn hash(&self) -> u64 {
        self.hash_with(0)
    }

    /// Rank of an instance for this flow by rendezvous hashing.
    #[must_use]
    pub fn rank(&self, ip: Ipv4Addr) -> u64 {
        self.hash_with(u32::from(ip))
    }

    fn hash_with(&self, salt: u32) -> u64 {
        let mut hasher = SipHasher13::new();
        hasher.write_u32(u32::from(*self.caller.ip()));
        hasher.write_u16(self.caller.port());
        hasher.write_u32(u32::from(*self.route.ip()));
        hasher.write_u16(self.route.port());
        hasher.write_u32(salt);
        hasher.finish()
    }
}

/// A service, identified by a hash of its name.
///
/// With 64 bits, a collision between two services of one configuration is very unlikely.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ServiceTag(pub u64);

impl ServiceTag {
    /// The tag of the service called `name`.
    ///
    /// ```
    /// # use buckthornlink_core::datagram::ServiceTag;
    /// assert_ne!(ServiceTag::of("token"), ServiceTag::of("ledger"));
    /// ```
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(stable_hash(name.as_bytes()))
    }
}
