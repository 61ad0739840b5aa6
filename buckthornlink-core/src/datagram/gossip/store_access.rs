//! Which instances watch the store.
//!
//! Two balancers of each zone do. Any other instance joins them by itself once its knowledge of the
//! store is too old, whoever else there is: it relies on the age alone, not on which instances seem to
//! live. Those that join do so at random times, and the first answer makes it needless for the others.

use std::net::Ipv4Addr;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::Gossip;
use crate::datagram::{Effect, Fact, Member, Reason, Role};
use crate::id::stable_hash;
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
/// Instances that join in a second at most, which they do at the end of the window if nobody gets an
/// answer.
const MAX_JOIN_RATE: u64 = 1_600;
/// Interval of ticks, at which an instance notices that it is to join.
const TICK_INTERVAL: Millis = Millis(200);
/// Time left of [`MIN_APPLY_TIME`] for reading the change.
const READ_TIME: Millis = Millis(500);
/// Holds for each instance, whatever the state of all others.
const _: () =
    assert!(MAX_STORE_AGE.0 + JOIN_WINDOW.0 + TICK_INTERVAL.0 + READ_TIME.0 <= MIN_APPLY_TIME.0);

/// Mean delay before an instance calls the store again after a call that failed, which doubles with each
/// further failure.
const MIN_RETRY_DELAY: Millis = Millis(300);
/// Its maximum.
const MAX_RETRY_DELAY: Millis = Millis(2_000);
/// The same for each known instance, if that is more: in an outage, all of them together make no more
/// calls than this allows, whatever their number.
const MIN_RETRY_DELAY_PER_MEMBER: Millis = Millis(5);
/// The maximum for each known instance.
const MAX_RETRY_DELAY_PER_MEMBER: Millis = Millis(10);

/// This instance's own access to the store.
#[derive(Clone, Debug)]
pub(super) struct StoreAccess {
    is_watcher: bool,
    /// When it is going to join the watchers.
    joins_at: Option<Millis>,
    /// Calls to the store that have failed since the last answer.
    failures: u32,
    /// Draws the times of calls, and the instances that news of the store are sent to.
    pub(super) rng: Pcg64Mcg,
}

impl StoreAccess {
    /// Access of a process that starts and does not watch the store yet.
    pub(super) fn new(seed: u64) -> Self {
        Self {
            is_watcher: false,
            joins_at: None,
            failures: 0,
            rng: Pcg64Mcg::seed_from_u64(seed.wrapping_add(1)),
        }
    }
}

impl Gossip {
    /// Records that the store answered this process, at most `age` ago.
    pub fn record_store_answer(&mut self, age: Millis, now: Millis, effects: &mut Vec<Effect>) {
        self.store_access.failures = 0;
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
        self.store_access.joins_at = None;
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
        let age = self.store_age(now);
        if age < MAX_STORE_AGE || self.own.phase.is_leaving() {
            self.store_access.joins_at = None;
            return false;
        }
        let joins_at = match self.store_access.joins_at {
            Some(at) => at,
            None => now - age + MAX_STORE_AGE + self.draw_join_delay(),
        };
        self.store_access.joins_at = Some(joins_at);
        now >= joins_at
    }

    /// A random delay within the window. Few instances have a short one, so that few have joined when
    /// the first answer arrives, however many there are.
    fn draw_join_delay(&mut self) -> Millis {
        let members = self.membership.len() as u64;
        let window = JOIN_WINDOW.0.max(2 * 1_000 * members / MAX_JOIN_RATE);
        Millis((self.store_access.rng.next_u64() % (window * window)).isqrt())
    }

    /// Stops watching after a call to the store has failed, and joins again later, unless this instance
    /// is one of the first of its zone.
    fn postpone_joining(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        if !self.store_access.is_watcher || self.is_first_in_zone() {
            return;
        }
        let delay = self.draw_retry_delay();
        self.store_access.failures = self.store_access.failures.saturating_add(1);
        self.set_watching(false, now, effects);
        self.store_access.joins_at = Some(now + delay);
    }

    /// Exponential delay with jitter, longer in a larger fleet.
    fn draw_retry_delay(&mut self) -> Millis {
        let members = self.membership.len() as u64;
        let for_all = |per_member: Millis| Millis(per_member.0 * members);
        let min = MIN_RETRY_DELAY.max(for_all(MIN_RETRY_DELAY_PER_MEMBER));
        let max = MAX_RETRY_DELAY.max(for_all(MAX_RETRY_DELAY_PER_MEMBER));
        let delay = (min.0 << self.store_access.failures.min(8)).min(max.0);
        Millis(delay / 2 + self.store_access.rng.next_u64() % delay)
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
