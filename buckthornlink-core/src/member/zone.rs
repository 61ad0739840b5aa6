//! Service state of the availability zones, as operators set it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::ZoneTag;

/// Number of bits of [`ZoneSeq::number`] in the encoded form.
const NUMBER_BITS: u32 = 40;
/// Greatest encoded [`ZoneSeq::number`].
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

/// Position of an edit among all edits of its zone, ordered by epoch and then by number.
///
/// It is encoded as one integer, with the epoch in the upper bits; in epoch 0 that is the number.
///
/// ```
/// # use buckthornlink_core::member::ZoneSeq;
/// let before = ZoneSeq { epoch: 1, number: 200 };
/// let after = ZoneSeq { epoch: 2, number: 19 };
/// assert!(after > before);
/// assert_eq!(ZoneSeq::from(u64::from(after)), after);
/// assert_eq!(ZoneSeq::from(7), ZoneSeq { epoch: 0, number: 7 });
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "u64", into = "u64")]
pub struct ZoneSeq {
    /// Epoch of the store's contents, which rises when an older copy of them is restored.
    pub epoch: u32,
    /// Number of the edit within the epoch.
    pub number: u64,
}

/// State of one availability zone. The record with the greater sequence number wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRecord {
    /// Tag of the zone.
    pub zone: ZoneTag,
    /// Position of the operators' edit.
    pub seq: ZoneSeq,
    /// Whether the zone is out of service.
    pub out: bool,
}

/// All zones that are out of service at one position of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneSnapshot {
    /// Records of the zones out of service.
    pub zones_out: Vec<ZoneRecord>,
    /// Position up to which all edits are included.
    pub seq: ZoneSeq,
}

/// The latest known record of each zone. A zone without a record is in service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneTable {
    records: BTreeMap<ZoneTag, ZoneRecord>,
}

impl From<u64> for ZoneSeq {
    fn from(encoded: u64) -> Self {
        Self {
            epoch: u32::try_from(encoded >> NUMBER_BITS).unwrap_or(u32::MAX),
            number: encoded & MAX_NUMBER,
        }
    }
}

impl From<ZoneSeq> for u64 {
    fn from(seq: ZoneSeq) -> Self {
        Self::from(seq.epoch) << NUMBER_BITS | seq.number.min(MAX_NUMBER)
    }
}

impl ZoneTable {
    /// Stores a record if it is newer than the known one; returns whether it was.
    ///
    /// ```
    /// # use buckthornlink_core::member::{ZoneRecord, ZoneTable};
    /// # use buckthornlink_core::ZoneTag;
    /// let mut table = ZoneTable::default();
    /// let out = ZoneRecord { zone: ZoneTag(1), seq: 2.into(), out: true };
    /// assert!(table.merge(out));
    /// assert!(!table.merge(ZoneRecord { seq: 1.into(), out: false, ..out }));
    /// assert!(table.is_out(ZoneTag(1)));
    /// ```
    pub fn merge(&mut self, record: ZoneRecord) -> bool {
        if record.seq <= self.seq(record.zone) {
            return false;
        }
        self.records.insert(record.zone, record);
        true
    }

    /// Whether operators have taken `zone` out of service.
    #[must_use]
    pub fn is_out(&self, zone: ZoneTag) -> bool {
        self.records.get(&zone).is_some_and(|r| r.out)
    }

    /// Returns the position of the record of `zone`, or the lowest one.
    #[must_use]
    pub fn seq(&self, zone: ZoneTag) -> ZoneSeq {
        let record = self.records.get(&zone);
        record.map_or_else(ZoneSeq::default, |r| r.seq)
    }

    /// Iterates over all records, ordered by zone.
    pub fn iter(&self) -> impl Iterator<Item = &ZoneRecord> {
        self.records.values()
    }
}
