//! How old this instance's knowledge of the store is.
//!
//! An instance that has heard of every change up to the moment at which the store answered some
//! instance knows the store as of that moment. So messages between instances carry, beside what the
//! sender knows, the age of those answers. The age grows while a message waits in a paused process.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use super::Gossip;
use super::exchange::keep_random;
use crate::datagram::{Effect, Message, StoreAnswer, StoreView};
use crate::time::Millis;

/// Maximum number of answers that one message reports, the latest ones.
const MAX_ANSWERS: usize = 2;
/// Answers that are older than this are forgotten.
const RETENTION: Millis = Millis(10_000);
/// Assumed time from sending a message, or an answer of the store, to its arrival.
const TRANSIT_TIME: Millis = Millis(10);
/// Time without a tick after which messages that arrive next count as sent right after the last one. Longer
/// than the interval of ticks. A shorter wait is not noticed.
const LATE_TICK: Millis = Millis(300);
/// Time within which a process handles the messages that waited for it.
const DRAIN_TIME: Millis = Millis(1_000);
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

/// When the store answered which instance, as far as this one knows all that was known there.
#[derive(Clone, Debug)]
pub(super) struct StoreAnswers {
    latest: Millis,
    by_instance: BTreeMap<Ipv4Addr, Millis>,
    pause: Option<Pause>,
}

/// A time in which the process did not run.
#[derive(Clone, Copy, Debug)]
struct Pause {
    duration: Millis,
    ended_at: Millis,
}

impl StoreAnswers {
    /// State of a process that starts now. Nothing counts as missed before its start.
    pub(super) const fn new(now: Millis) -> Self {
        Self {
            latest: now,
            by_instance: BTreeMap::new(),
            pause: None,
        }
    }

    /// Time since the latest answer.
    pub(super) const fn age(&self, now: Millis) -> Millis {
        now.since(self.latest)
    }

    fn insert(&mut self, instance: Ipv4Addr, at: Millis, now: Millis) {
        let known = self.by_instance.entry(instance).or_default();
        *known = at.max(*known);
        self.latest = at.max(self.latest);
        self.by_instance.retain(|_, at| now.since(*at) < RETENTION);
    }

    /// The latest answers, the youngest one first.
    fn youngest(&self, now: Millis) -> Vec<StoreAnswer> {
        let answer = |(&instance, &at): (&Ipv4Addr, &Millis)| StoreAnswer {
            instance,
            age: now.since(at),
        };
        let mut answers: Vec<(&Ipv4Addr, &Millis)> = self.by_instance.iter().collect();
        answers.sort_by_key(|(_, at)| Reverse(**at));
        answers.into_iter().map(answer).take(MAX_ANSWERS).collect()
    }

    /// Instances that the store answered within `max_age`.
    pub(super) fn answered_within(
        &self,
        max_age: Millis,
        now: Millis,
    ) -> impl Iterator<Item = Ipv4Addr> {
        let is_recent = move |at: Millis| now.since(at) < max_age;
        let recent = self
            .by_instance
            .iter()
            .filter(move |(_, at)| is_recent(**at));
        recent.map(|(&instance, _)| instance)
    }

    /// Takes note of the time since the last tick.
    pub(super) fn record_tick_gap(&mut self, duration: Millis, now: Millis) {
        if duration >= LATE_TICK {
            let ended_at = now;
            self.pause = Some(Pause { duration, ended_at });
        }
    }

    /// Time since when a message or an answer that is handled now may have been sent.
    fn max_delay(&self, now: Millis) -> Millis {
        let recent = self.pause.filter(|p| now.since(p.ended_at) < DRAIN_TIME);
        let wait = recent.map_or(Millis(0), |p| p.duration + now.since(p.ended_at));
        wait + TRANSIT_TIME
    }
}

impl Gossip {
    /// Upper bound of the time since when a change in the store may have been missed: the time since the
    /// store answered this instance, or another one that has passed on all that it knew by then.
    #[must_use]
    pub const fn store_age(&self, now: Millis) -> Millis {
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
    fn merge_answers(&mut self, answers: &[StoreAnswer], now: Millis, effects: &mut Vec<Effect>) {
        let old_age = self.store_age(now);
        let delay = self.store_answers.max_delay(now);
        for answer in answers.iter().filter(|a| a.instance != self.own.ip) {
            let at = now - (answer.age + delay);
            self.store_answers.insert(answer.instance, at, now);
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
        let at = now - (age + self.store_answers.max_delay(now));
        self.store_answers.insert(self.own.ip, at, now);
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
        keep_random(&mut ips, count, &mut self.store_access.rng);
        ips
    }
}
