//! Return of a process that was paused or suspended.
//!
//! While it was away, a zone may have been taken out of service and a new configuration put in
//! force. Until another instance has answered a question that was sent after the return, what the
//! process believes may be out of date. It has seen nothing meanwhile, neither a sign of life nor silence.

use super::{Gossip, URGENT_FANOUT};
use crate::datagram::{Effect, Status};
use crate::id::Version;
use crate::time::Millis;

/// Time without a tick after which a process has been away; ticks are due several times as often.
const AWAY_TIME: Millis = Millis(1_000);
/// Time after the return after which a process goes on without an answer, as others may be down.
const CATCH_UP_TIMEOUT: Millis = Millis(1_000);

/// What a returned process waits for.
#[derive(Clone, Copy, Debug)]
pub(super) struct CatchUp {
    returned_at: Millis,
    /// Own sequence number of the questions; an answer repeats it or a later one.
    asked_seq: u32,
    /// Version that an answer reported, if it is not in force yet.
    newer: Option<Version>,
}

impl Gossip {
    /// Asks others for their status if the last tick was long ago. To be called before any event is
    /// handled. Returns for how long the process was away, if it was.
    pub(crate) fn notice_absence(
        &mut self,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) -> Option<Millis> {
        let absence = now.since(self.last_tick);
        self.store_answers.record_tick_gap(absence, now);
        if absence < AWAY_TIME {
            return None;
        }
        self.last_tick = now;
        self.present_since = now;
        self.membership.exclude_absence(absence, now);
        self.max_known = 0;
        self.exchange(now, URGENT_FANOUT, true, effects);
        self.catch_up = self.has_peers().then_some(CatchUp {
            returned_at: now,
            asked_seq: self.own.seq,
            newer: None,
        });
        Some(absence)
    }

    /// When the process started, or last returned from an absence.
    #[must_use]
    pub const fn present_since(&self) -> Millis {
        self.present_since
    }

    /// Whether zone records and configuration may be out of date after an absence.
    #[must_use]
    pub fn is_catching_up(&self, now: Millis) -> bool {
        self.catch_up.is_some_and(|c| {
            let is_fetching = c.newer.is_none_or(|version| version > self.version);
            is_fetching && now.since(c.returned_at) < CATCH_UP_TIMEOUT
        })
    }

    /// Takes note of a status that answers a question after the return, rather than one that waited
    /// in a socket meanwhile.
    pub(super) fn record_catch_up(&mut self, status: &Status) {
        let own_ip = self.own.ip.to_bits();
        let Some(catch_up) = &mut self.catch_up else {
            return;
        };
        let is_answer = |seq: u32| seq >= catch_up.asked_seq;
        let mut beats = status.beats.iter();
        if beats.any(|beat| beat.ip == own_ip && is_answer(beat.seq)) {
            catch_up.newer = Some(status.store.version);
        }
    }
}
