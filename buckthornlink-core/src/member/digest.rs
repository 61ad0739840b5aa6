//! Order-independent summary of a set of facts.

use serde::{Deserialize, Serialize};

use super::Fact;
use crate::id::stable_hash;

/// Number of buckets into which a digest divides the instances.
pub const BUCKET_COUNT: usize = 16;

/// One hash for each bucket of instances. Equal digests mean equal facts, up to hash collisions.
///
/// Facts of instances that are silent or have left are excluded, so that each process can remove
/// them at a time of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest([u32; BUCKET_COUNT]);

impl Digest {
    /// Adds `fact`, or removes it if it was added before.
    pub fn toggle(&mut self, fact: &Fact) {
        if fact.phase.is_gone() {
            return;
        }
        let bytes = fact_bytes(fact);
        let hash = stable_hash(&bytes).to_be_bytes();
        let high = u32::from_be_bytes([hash[0], hash[1], hash[2], hash[3]]);
        self.0[bucket_of(fact)] ^= high;
    }

    /// Returns the indices of the buckets in which two digests differ.
    ///
    /// ```
    /// # use buckthornlink_core::member::Digest;
    /// assert_eq!(Digest::default().differing(&Digest::default()).count(), 0);
    /// ```
    pub fn differing<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = usize> + 'a {
        (0..BUCKET_COUNT).filter(|&i| self.0[i] != other.0[i])
    }
}

/// Returns the bucket to which the instance of `fact` belongs.
pub(super) fn bucket_of(fact: &Fact) -> usize {
    let mut bytes = [0; 6];
    bytes[..4].copy_from_slice(&fact.addr.ip().octets());
    bytes[4..].copy_from_slice(&fact.addr.port().to_be_bytes());
    usize::from(stable_hash(&bytes).to_be_bytes()[7]) % BUCKET_COUNT
}

fn fact_bytes(fact: &Fact) -> [u8; 19] {
    let mut bytes = [0; 19];
    bytes[..4].copy_from_slice(&fact.addr.ip().octets());
    bytes[4..6].copy_from_slice(&fact.addr.port().to_be_bytes());
    bytes[6..14].copy_from_slice(&fact.boot.0.to_be_bytes());
    bytes[14..18].copy_from_slice(&fact.seq.to_be_bytes());
    bytes[18] = fact.phase as u8;
    bytes
}
