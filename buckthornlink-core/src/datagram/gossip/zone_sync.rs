//! Zone records from the store and from other instances.
//!
//! A zone is out of service while the store has a record of it. A zone that is believed to be out, and
//! has no record in a later read of all records, has returned to service.
//!
//! After the store was restored from an older copy, records may be missing until they are written again.
//! A missing record of a zone that was out before is then trusted only after some time.

use std::collections::BTreeSet;

use super::Gossip;
use crate::datagram::{Effect, Reason};
use crate::id::ZoneTag;
use crate::member::{ZoneRecord, ZoneSeq, ZoneSnapshot};
use crate::time::Millis;

/// Time after the first read of an epoch in which operators write again what the restored copy lacks.
const REWRITE_TIME: Millis = Millis(10_000);

/// The latest read of all zone records.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneSync {
    seq: ZoneSeq,
    zones_out: BTreeSet<ZoneTag>,
    /// When the epoch of `seq` was read for the first time.
    epoch_since: Millis,
}

impl ZoneSync {
    /// The record that replaces one which the latest read lacks: a record of an earlier epoch once
    /// [`REWRITE_TIME`] is over, one of the same epoch at once.
    fn replacement(&self, record: &ZoneRecord, now: Millis) -> Option<ZoneRecord> {
        let is_absent = record.seq < self.seq && !self.zones_out.contains(&record.zone);
        let is_trusted =
            record.seq.epoch == self.seq.epoch || now.since(self.epoch_since) >= REWRITE_TIME;
        let is_replaced = record.out && is_absent && is_trusted;
        is_replaced.then_some(ZoneRecord {
            out: false,
            seq: self.seq,
            ..*record
        })
    }
}

impl Gossip {
    /// Merges a zone record; a zone that went out of or into service is sent to others at once.
    pub fn set_zone(&mut self, record: ZoneRecord, now: Millis, effects: &mut Vec<Effect>) {
        let was_out = self.zones.is_out(record.zone);
        if !self.zones.merge(record) || record.out == was_out {
            return;
        }
        let reason = if record.out {
            Reason::ZoneOut
        } else {
            Reason::ZoneIn
        };
        effects.push(self.decision(reason, now));
        self.push_update(now, effects);
    }

    /// Merges a change that a watch of the store reported, and logs it if it is ignored although it
    /// contradicts the known record.
    pub fn record_zone_change(
        &mut self,
        record: ZoneRecord,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        self.set_zone(record, now, effects);
        if self.zones.is_out(record.zone) != record.out {
            effects.push(self.decision(Reason::ZoneIgnored, now));
        }
    }

    /// Merges all zone records that the store has.
    pub fn set_zone_snapshot(
        &mut self,
        snapshot: ZoneSnapshot,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        let ZoneSnapshot { zones_out, seq } = snapshot;
        if seq.epoch != self.zone_sync.seq.epoch {
            self.zone_sync.epoch_since = now;
            self.distrust_publication();
        }
        self.zone_sync.seq = seq;
        self.zone_sync.zones_out = zones_out.iter().map(|record| record.zone).collect();
        for record in zones_out {
            self.record_zone_change(record, now, effects);
        }
        self.return_absent_zones(now, effects);
    }

    /// Returns zones to service that have no record in the latest read.
    pub(super) fn return_absent_zones(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let records = self.zones.iter();
        let replacements = records.filter_map(|record| self.zone_sync.replacement(record, now));
        for record in replacements.collect::<Vec<_>>() {
            self.set_zone(record, now, effects);
        }
    }
}
