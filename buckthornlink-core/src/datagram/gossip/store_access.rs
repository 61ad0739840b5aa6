//! Which instances watch the store.
//!
//! Two balancers of each zone do. Any other instance joins them by itself once its knowledge of the
//! store is too old, whoever else there is: it relies on the age alone, not on which instances seem to
//! live. Those that join do so at random times, and the first answer makes it needless for the others.

use std::net::Ipv4Addr;

use super::Gossip;
use crate::datagram::{Effect, Fact, Member, Reason, Role};
use crate::id::stable_hash;
use crate::store::{JoinLimits, JoinTimer};
use crate::time::Millis;

/// Balancers of each zone that watch the store.
const WATCHERS_PER_ZONE: usize = 2;
/// An instance that joined the watchers leaves once the store answers this many that go before it.
const MIN_WATCHERS: usize = 2;
/// A watcher that the store has not answered for this long no longer counts as one. Longer than a
/// watch goes without an answer, and shorter than a change may take to be in force.
const MAX_ANSWER_AGE: Millis = Millis(2_200);

/// Shortest time within which an operator may require a change of the configuration, or a zone taken
/// out, to be in force.
const MIN_APPLY_TIME: Millis = Millis(3_000);
/// Age of what is known of the store from which on an instance joins the watchers.
const MAX_STORE_AGE: Millis = Millis(2_000);
/// Time over which instances spread their joining; longer in a large fleet.
const JOIN_WINDOW: Millis = Millis(300);
/// Instances that join in a second at most.
const MAX_JOIN_RATE: u64 = 1_600;
/// Interval of ticks, at which an instance notices that it is to join.
const TICK_INTERVAL: Millis = Millis(200);
/// Time left of [`MIN_APPLY_TIME`] for reading the change.
const READ_TIME: Millis = Millis(500);
/// Holds for each instance, whatever the state of all others.
const _: () =
    assert!(MAX_STORE_AGE.0 + JOIN_WINDOW.0 + TICK_INTERVAL.0 + READ_TIME.0 <= MIN_APPLY_TIME.0);

/// When an instance joins the watchers.
const JOIN_LIMITS: JoinLimits = JoinLimits {
    max_age: MAX_STORE_AGE,
    window: JOIN_WINDOW,
    max_rate: MAX_JOIN_RATE,
};

/// This instance's own access to the store.
#[derive(Clone, Debug)]
pub(super) struct StoreAccess {
    is_watcher: bool,
    /// Draws the times at which it joins the watchers, and the instances that news of the store are sent to.
    pub(super) timer: JoinTimer,
}

impl StoreAccess {
    /// Access of a process that starts and does not watch the store yet.
    pub(super) fn new(seed: u64) -> Self {
        Self {
            is_watcher: false,
            timer: JoinTimer::new(JOIN_LIMITS, seed.wrapping_add(1)),
        }
    }
}

impl Gossip {
    /// Records that the store answered this process, at most `age` ago.
    pub fn record_store_answer(&mut self, age: Millis, now: Millis, effects: &mut Vec<Effect>) {
        self.store_access.timer.record_answer();
        self.insert_own_answer(age, now, effects);
        self.set_store_reachable(true, now, effects);
    }

    /// Records that a call to the store failed.
    pub fn record_store_failure(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        self.postpone_joining(now, effects);
        self.set_store_reachable(false, now, effects);
    }

    /// A change of whether this process reaches the store is sent to others at once if it watches the store.
    fn set_store_reachable(&mut self, is_reachable: bool, now: Millis, effects: &mut Vec<Effect>) {
        let fact = Fact {
            store: is_reachable && self.store_access.is_watcher,
            ..self.own
        };
        if fact != self.own {
            self.set_own(fact, now, effects);
        }
    }

    /// Stops saying that the instance reaches the store if the last answer is old.
    pub(super) fn check_store_answers(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let has_answered = self.has_store_answered(self.own.ip, MAX_ANSWER_AGE, now);
        if self.own.store && !has_answered {
            self.set_store_reachable(false, now, effects);
        }
    }

    fn has_store_answered(&self, instance: Ipv4Addr, max_age: Millis, now: Millis) -> bool {
        let mut answered = self.store_answers.answered_within(max_age, now);
        answered.any(|ip| ip == instance)
    }

    /// Other running instances that say that they watch the store and reach it.
    pub fn store_watchers(&self) -> impl Iterator<Item = &Member> {
        self.live_others().filter(|m| m.fact.store)
    }

    /// Starts watching the store if this instance is one of the first balancers of its zone, by hash
    /// of the address, or if its knowledge of the store is too old; stops once enough others watch it.
    pub(super) fn choose_watchers(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let is_watcher = if self.is_first_in_zone() {
            true
        } else if self.store_access.is_watcher {
            !self.has_enough_watchers(now)
        } else {
            self.is_join_due(now)
        };
        self.set_watching(is_watcher, now, effects);
    }

    fn set_watching(&mut self, is_watcher: bool, now: Millis, effects: &mut Vec<Effect>) {
        if is_watcher == self.store_access.is_watcher {
            return;
        }
        self.store_access.is_watcher = is_watcher;
        self.store_access.timer.cancel();
        self.own.store &= is_watcher;
        effects.push(Effect::Watch(is_watcher));
        let reason = if is_watcher {
            Reason::WatchStarted
        } else {
            Reason::WatchStopped
        };
        effects.push(self.decision(reason, now));
    }

    /// Whether the knowledge of the store is too old and the time has come that is drawn for joining. An instance that
    /// leaves admits no new flows, which an old configuration could misdirect.
    fn is_join_due(&mut self, now: Millis) -> bool {
        if self.own.phase.is_leaving() {
            self.store_access.timer.cancel();
            return false;
        }
        let age = self.store_age(now);
        let members = self.membership.len();
        self.store_access.timer.is_due(age, members, now)
    }

    /// Stops watching after a call to the store has failed, and joins again later, unless this instance
    /// is one of the first of its zone.
    fn postpone_joining(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        if !self.store_access.is_watcher || self.is_first_in_zone() {
            return;
        }
        self.set_watching(false, now, effects);
        let members = self.membership.len();
        self.store_access.timer.record_failure(members, now);
    }

    /// Whether the store lately answered enough watchers that go before this one. Those that joined count
    /// for the ones behind them only, so that they do not all leave for each other.
    fn has_enough_watchers(&self, now: Millis) -> bool {
        let own = watcher_rank(&self.own);
        let is_ahead = |ip: &Ipv4Addr| {
            let member = self.membership.get(*ip);
            member.is_some_and(|m| watcher_rank(&m.fact) < own)
        };
        let answered = self.store_answers.answered_within(MAX_STORE_AGE, now);
        answered.filter(is_ahead).count() >= MIN_WATCHERS
    }

    fn is_first_in_zone(&self) -> bool {
        let is_rival = |f: &Fact| f.role == Role::Balancer && f.zone == self.own.zone;
        self.own.role == Role::Balancer && self.count_ahead(is_rival) < WATCHERS_PER_ZONE
    }

    /// Number of other live instances whose address has a smaller hash, among those that count.
    fn count_ahead(&self, counts: impl Fn(&Fact) -> bool) -> usize {
        let rank = stable_hash(&self.own.ip.octets());
        let is_ahead = |m: &&Member| counts(&m.fact) && stable_hash(&m.fact.ip.octets()) < rank;
        self.live_others().filter(is_ahead).count()
    }

    pub(super) fn live_others(&self) -> impl Iterator<Item = &Member> {
        let others = self.membership.iter().filter(|m| m.fact.ip != self.own.ip);
        others.filter(|m| !m.fact.phase.is_leaving() && !m.is_suspect)
    }
}

/// Order in which watchers stay: balancers first, then by hash of the address.
fn watcher_rank(fact: &Fact) -> (bool, u64) {
    (fact.role != Role::Balancer, stable_hash(&fact.ip.octets()))
}
