//! Exchange of what is known of the store, and of how old that is.

use std::net::Ipv4Addr;

use super::Gossip;
use crate::datagram::{Effect, Message, StoreView};
use crate::sample::keep_random;
use crate::store::StoreAnswer;
use crate::time::Millis;

/// A message that makes the known state younger by this much is passed on at once.
const FORWARD_GAIN: Millis = Millis(1_000);
/// Instances of the own zone that it is passed on to.
const FORWARD_FANOUT: usize = 3;
/// Age from which on an instance asks others for what they know. Longer than a watch of the store goes
/// without an answer, and the answer takes to spread.
const ASK_AGE: Millis = Millis(1_600);
/// Age from which on it leaves that to the periodic exchanges, as others know nothing newer either.
const MAX_ASK_AGE: Millis = Millis(3_000);
/// Instances that are asked at a time.
const ASK_FANOUT: usize = 2;
/// Instances of any zone that an answer is passed on to if it was awaited.
const AWAITED_FANOUT: usize = 8;

impl Gossip {
    /// Upper bound of the time since when a change in the store may have been missed: the time since the
    /// store answered this instance, or another one that has passed on all that it knew by then.
    #[must_use]
    pub fn store_age(&self, now: Millis) -> Millis {
        self.store_answers.age(now)
    }

    /// What this instance knows of the store.
    pub(super) fn store_view(&self, now: Millis) -> StoreView {
        StoreView {
            version: self.version,
            zones: self.zones.iter().copied().collect(),
            answers: self.store_answers.youngest(now),
        }
    }

    /// Merges what another instance knows of the store.
    pub fn receive_store_view(
        &mut self,
        from: Ipv4Addr,
        view: &StoreView,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        for &record in &view.zones {
            self.set_zone(record, now, effects);
        }
        if view.version > self.version {
            self.fetch(from, view.version, now, effects);
        } else {
            self.merge_answers(&view.answers, now, effects);
        }
    }

    /// Merges the answers that another instance knows of, once all that it knew is known here.
    fn merge_answers(
        &mut self,
        answers: &[StoreAnswer<Ipv4Addr>],
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        let old_age = self.store_age(now);
        for &answer in answers.iter().filter(|a| a.instance != self.own.ip) {
            self.store_answers.insert(answer, now);
        }
        self.forward_store_view(old_age, now, effects);
    }

    /// Records an answer of the store to this process, which is at most `age` old.
    pub(super) fn insert_own_answer(
        &mut self,
        age: Millis,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        let old_age = self.store_age(now);
        let instance = self.own.ip;
        self.store_answers
            .insert(StoreAnswer { instance, age }, now);
        self.forward_store_view(old_age, now, effects);
    }

    /// Passes on what is known of the store if it has become much younger than it was: to the own
    /// zone, as all zones have watchers; to any if that took too long.
    fn forward_store_view(&mut self, old_age: Millis, now: Millis, effects: &mut Vec<Effect>) {
        if old_age.since(self.store_age(now)) < FORWARD_GAIN {
            return;
        }
        let is_awaited = old_age >= ASK_AGE;
        let fanout = if is_awaited {
            AWAITED_FANOUT
        } else {
            FORWARD_FANOUT
        };
        for to in self.pick_live(fanout, !is_awaited) {
            let message = Message::Store(self.store_view(now));
            effects.push(Effect::Send { to, message });
        }
    }

    /// Asks others for what they know of the store if it is old here.
    pub(super) fn ask_for_store_view(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let age = self.store_age(now);
        if age < ASK_AGE || age >= MAX_ASK_AGE {
            return;
        }
        for to in self.pick_live(ASK_FANOUT, false) {
            let message = self.status(Vec::new(), Vec::new(), true, now);
            effects.push(Effect::Send { to, message });
        }
    }

    /// Random live instances, of the own zone only if `is_local`.
    fn pick_live(&mut self, count: usize, is_local: bool) -> Vec<Ipv4Addr> {
        let zone = self.own.zone;
        let live = self.live_others().map(|m| &m.fact);
        let candidates = live.filter(|f| !is_local || f.zone == zone);
        let mut ips: Vec<Ipv4Addr> = candidates.map(|f| f.ip).collect();
        keep_random(&mut ips, count, self.store_access.timer.rng());
        ips
    }
}
