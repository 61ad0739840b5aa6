//! How old this balancer's knowledge of the store is, and whether it watches the store.
//!
//! Two balancers of each zone watch the store and pass on how long ago it answered. Any other joins them
//! by itself once what it knows is too old, whoever else there is: it relies on that age alone, not on
//! which balancers seem to live. The first answer makes it needless for the others.

use std::net::SocketAddrV4;

use super::{Balancer, Effect, TICK_INTERVAL};
use crate::id::stable_hash;
use crate::member::Fact;
use crate::message::{Message, StoreView};
use crate::sample::keep_random;
use crate::store::{JoinLimits, JoinTimer, StoreAnswer, StoreAnswers};
use crate::time::Millis;

/// Number of balancers in each zone that watch the store.
const WATCHERS_PER_ZONE: usize = 2;

/// Time in which a balancer must know an edit: 6 s, less the time in which its agents hear of it.
const MAX_KNOWN_TIME: Millis = Millis(3_600);
/// When a balancer joins the watchers. They are answered each 2 s.
const JOIN_LIMITS: JoinLimits = JoinLimits {
    max_age: Millis(2_500),
    window: Millis(500),
    max_rate: 500,
};
/// Time left for reading the records.
const READ_TIME: Millis = Millis(500);
/// Holds for each balancer, whatever the state of all others.
const _: () = assert!(
    JOIN_LIMITS.max_age.0 + JOIN_LIMITS.window.0 + TICK_INTERVAL.0 + READ_TIME.0
        <= MAX_KNOWN_TIME.0
);

/// A message that makes the knowledge younger by this much is passed on at once.
const FORWARD_GAIN: Millis = Millis(1_000);
/// Balancers of the own zone that it is passed on to.
const FORWARD_FANOUT: usize = 3;
/// Age from which on a balancer asks others for what they know. Longer than the watchers go without an
/// answer, and the answer takes to spread.
const ASK_AGE: Millis = Millis(2_150);
/// Age from which on it no longer asks, as others know nothing newer either.
const MAX_ASK_AGE: Millis = Millis(3_500);
/// Balancers that are asked at a time.
const ASK_FANOUT: usize = 2;
/// Balancers of any zone that an answer is passed on to if it was awaited.
const AWAITED_FANOUT: usize = 8;

/// This balancer's knowledge of the store, and its own access to it.
#[derive(Clone, Debug)]
pub(super) struct StoreAccess {
    is_watcher: bool,
    answers: StoreAnswers<SocketAddrV4>,
    /// Draws the times at which it joins the watchers, and the balancers that news are sent to.
    timer: JoinTimer,
}

impl StoreAccess {
    /// Access of a process that starts, whose clock counts from then.
    pub(super) fn new(seed: u64) -> Self {
        Self {
            is_watcher: false,
            answers: StoreAnswers::new(Millis(0)),
            timer: JoinTimer::new(JOIN_LIMITS, seed.wrapping_add(1)),
        }
    }

    /// Takes note of the time since the last tick.
    pub(super) fn record_tick_gap(&mut self, duration: Millis, now: Millis) {
        self.answers.record_tick_gap(duration, now);
    }
}

impl Balancer {
    /// Upper bound of the time since when a change in the store may have been missed.
    #[must_use]
    pub fn store_age(&self, now: Millis) -> Millis {
        self.store_access.answers.age(now)
    }

    /// Records that the store answered this process `age` ago.
    pub(super) fn record_store_answer(&mut self, age: Millis, now: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        let instance = self.own.addr;
        self.store_access.timer.record_answer();
        self.merge_answers(&[StoreAnswer { instance, age }], now, &mut effects);
        effects
    }

    /// Stops watching after a call to the store has failed, and joins again later, unless this balancer
    /// is one of the first of its zone.
    pub(super) fn record_store_failure(&mut self, now: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.store_access.is_watcher && !self.is_first_in_zone() {
            self.set_watching(false, &mut effects);
            let balancers = self.members.balancers().len();
            self.store_access.timer.record_failure(balancers, now);
        }
        effects
    }

    /// Merges what another balancer knows of the store.
    pub(super) fn receive_store_view(
        &mut self,
        from: SocketAddrV4,
        view: &StoreView,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        self.members.mark_heard(from, now);
        self.merge_zones(&view.zones, now, effects);
        if view.version > self.version {
            self.fetch_newer_config(from, view.version, effects);
        } else {
            let others = view.answers.iter().filter(|a| a.instance != self.own.addr);
            let answers: Vec<StoreAnswer<SocketAddrV4>> = others.copied().collect();
            self.merge_answers(&answers, now, effects);
        }
        if view.ask {
            let message = self.store_view(false, now);
            self.send(from, message, effects);
        }
    }

    /// Merges answers of the store, once all that was known there is known here, and passes them on if
    /// that makes the knowledge much younger: to the own zone, as all zones have watchers; to any if it
    /// took too long.
    fn merge_answers(
        &mut self,
        answers: &[StoreAnswer<SocketAddrV4>],
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        let old_age = self.store_age(now);
        for &answer in answers {
            self.store_access.answers.insert(answer, now);
        }
        if old_age.since(self.store_age(now)) < FORWARD_GAIN {
            return;
        }
        let is_awaited = old_age >= ASK_AGE;
        let fanout = if is_awaited {
            AWAITED_FANOUT
        } else {
            FORWARD_FANOUT
        };
        let message = self.store_view(false, now);
        self.send_to_random(&message, fanout, !is_awaited, effects);
    }

    /// Asks others for what they know of the store if it is old here, and watches the store if this
    /// balancer is one of the first of its zone, or if nobody answers.
    pub(super) fn check_store_age(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let age = self.store_age(now);
        if age >= ASK_AGE && age < MAX_ASK_AGE {
            let message = self.store_view(true, now);
            self.send_to_random(&message, ASK_FANOUT, false, effects);
        }
        let is_watcher = if self.is_first_in_zone() {
            true
        } else if self.store_access.is_watcher {
            !self.has_watcher_ahead(now)
        } else {
            self.is_join_due(now)
        };
        self.set_watching(is_watcher, effects);
    }

    pub(super) fn store_view(&self, ask: bool, now: Millis) -> Message {
        Message::Store(StoreView {
            version: self.version,
            zones: self.zones.iter().copied().collect(),
            answers: self.store_access.answers.youngest(now),
            ask,
        })
    }

    /// Sends a message to up to `count` random balancers, of the own zone only if `is_local`.
    fn send_to_random(
        &mut self,
        message: &Message,
        count: usize,
        is_local: bool,
        effects: &mut Vec<Effect>,
    ) {
        let zone = self.own.zone;
        let peers = self
            .live_balancers()
            .filter(|f| !is_local || f.zone == zone);
        let mut addrs: Vec<SocketAddrV4> = peers.map(|f| f.addr).collect();
        keep_random(&mut addrs, count, self.store_access.timer.rng());
        for addr in addrs {
            self.send(addr, message.clone(), effects);
        }
    }

    fn set_watching(&mut self, is_watcher: bool, effects: &mut Vec<Effect>) {
        if is_watcher != self.store_access.is_watcher {
            self.store_access.is_watcher = is_watcher;
            self.store_access.timer.cancel();
            effects.push(Effect::Watch(is_watcher));
        }
    }

    /// Whether the knowledge of the store is too old and the time has come that is drawn for joining. A
    /// balancer that leaves does not join.
    fn is_join_due(&mut self, now: Millis) -> bool {
        if self.own.phase.is_gone() {
            self.store_access.timer.cancel();
            return false;
        }
        let age = self.store_age(now);
        let balancers = self.members.balancers().len();
        self.store_access.timer.is_due(age, balancers, now)
    }

    /// Whether this balancer is among the first [`WATCHERS_PER_ZONE`] of its zone.
    fn is_first_in_zone(&self) -> bool {
        let own = watcher_rank(&self.own);
        let zone = self.own.zone;
        let peers = self.live_balancers().filter(|f| f.zone == zone);
        let ahead = peers.filter(|f| watcher_rank(f) < own).count();
        ahead < WATCHERS_PER_ZONE
    }

    /// Whether the store lately answered a balancer that goes before this one. Those that joined count for
    /// the ones behind them only, so that they do not all leave for each other.
    fn has_watcher_ahead(&self, now: Millis) -> bool {
        let own = watcher_rank(&self.own);
        let is_ahead = |addr: SocketAddrV4| {
            let member = self.members.at(addr);
            member.is_some_and(|m| watcher_rank(&m.fact) < own)
        };
        let answers = &self.store_access.answers;
        let mut answered = answers.answered_within(JOIN_LIMITS.max_age, now);
        answered.any(is_ahead)
    }
}

fn watcher_rank(fact: &Fact) -> u64 {
    let mut bytes = [0; 14];
    bytes[..4].copy_from_slice(&fact.addr.ip().octets());
    bytes[4..6].copy_from_slice(&fact.addr.port().to_be_bytes());
    bytes[6..].copy_from_slice(&fact.boot.0.to_be_bytes());
    stable_hash(&bytes)
}
