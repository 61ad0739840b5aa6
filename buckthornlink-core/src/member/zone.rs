//! Service state of the availability zones, as operators set it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::ZoneTag;

/// State of one availability zone. The record with the greater sequence number wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRecord {
    /// Tag of the zone.
    pub zone: ZoneTag,
    /// Number of operator edits of this zone so far.
    pub seq: u64,
    /// Whether the zone is out of service.
    pub out: bool,
}

/// The latest known record of each zone. A zone without a record is in service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneTable {
    records: BTreeMap<ZoneTag, ZoneRecord>,
}

impl ZoneTable {
    /// Stores a record if it is newer than the known one; returns whether it was.
    ///
    /// ```
    /// # use buckthornlink_core::member::{ZoneRecord, ZoneTable};
    /// # use buckthornlink_core::ZoneTag;
    /// let mut table = ZoneTable::default();
    /// let out = ZoneRecord { zone: ZoneTag(1), seq: 2, out: true };
    /// assert!(table.merge(out));
    /// assert!(!table.merge(ZoneRecord { seq: 1, out: false, ..out }));
    /// assert!(table.is_out(ZoneTag(1)));
    /// ```
    pub fn merge(&mut self, record: ZoneRecord) -> bool {
        let known = self.records.get(&record.zone).map_or(0, |r| r.seq);
        if record.seq <= known {
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

    /// Returns the sequence number of the record of `zone`, or zero.
    #[must_use]
    pub fn seq(&self, zone: ZoneTag) -> u64 {
        self.records.get(&zone).map_or(0, |r| r.seq)
    }

    /// Iterates over all records, ordered by zone.
    pub fn iter(&self) -> impl Iterator<Item = &ZoneRecord> {
        self.records.values()
    }
}
