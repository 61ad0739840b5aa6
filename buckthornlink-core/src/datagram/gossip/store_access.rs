//! Which instances watch the store, and how old this instance's knowledge of the store is.

use super::Gossip;
use crate::datagram::{Effect, Fact, Member, Reason, Role};
use crate::id::stable_hash;
use crate::time::Millis;

/// Balancers of each zone that watch the store.
const WATCHERS_PER_ZONE: usize = 2;
/// If fewer other watchers than this are known to reach the store, an instance watches it as well.
pub(super) const MIN_WATCHERS: usize = 2;
/// During such a shortage, instances join the watchers one after the other, in the order of the hash
/// of their address, so that the store is not called by all of them at once.
const JOIN_INTERVAL: Millis = Millis(20);
/// Maximum number of instances that join. If none of these reaches the store, hardly any other does.
const MAX_JOINING: usize = 64;
/// A watcher that the store has not answered for this long no longer counts as one. Longer than a
/// watch goes without an answer, and shorter than a change may take to be in force.
const MAX_ANSWER_AGE: Millis = Millis(2_200);

/// This instance's own access to the store.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoreAccess {
    is_watcher: bool,
    /// Since when too few other instances are known to reach the store.
    shortage_since: Option<Millis>,
    /// When the store last answered this process; at first, when the process started.
    last_answer: Millis,
}

impl StoreAccess {
    /// Access of a process that starts now and does not watch the store yet.
    pub(super) const fn new(now: Millis) -> Self {
        Self {
            is_watcher: false,
            shortage_since: None,
            last_answer: now,
        }
    }
}

impl Gossip {
    /// Records that the store answered this process, or that a call to it failed. A change of
    /// whether it reaches the store is sent to others at once if the instance watches the store.
    pub fn set_store_reachable(
        &mut self,
        is_reachable: bool,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        if is_reachable {
            self.store_access.last_answer = now;
        }
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
        if self.own.store && now.since(self.store_access.last_answer) >= MAX_ANSWER_AGE {
            self.set_store_reachable(false, now, effects);
        }
    }

    /// Time since the latest evidence that no record of the operators has been missed: an answer of
    /// the store, or the heartbeat of another instance that watches the store and reaches it.
    #[must_use]
    pub fn store_age(&self, now: Millis) -> Millis {
        let heard = self.store_watchers().map(|m| m.last_heard);
        let latest = heard.max().unwrap_or_default();
        now.since(latest.max(self.store_access.last_answer))
    }

    /// Other running instances that say that they watch the store and reach it.
    pub fn store_watchers(&self) -> impl Iterator<Item = &Member> {
        self.live_others().filter(|m| m.fact.store)
    }

    /// Starts watching the store if this instance is one of the first balancers of its zone, by hash
    /// of the address, or if too few others are known to reach the store; stops when neither holds
    /// any longer.
    pub(super) fn choose_watchers(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let is_first = self.is_first_in_zone();
        self.check_watchers(!is_first, now, effects);
        let has_shortage = self.relied_watchers().count() < MIN_WATCHERS || self.is_silent(now);
        let since = self.store_access.shortage_since.unwrap_or(now);
        self.store_access.shortage_since = has_shortage.then_some(since);
        let is_joining = has_shortage && self.may_join(now.since(since));
        let is_watcher = is_first || is_joining;
        if is_watcher != self.store_access.is_watcher {
            self.store_access.is_watcher = is_watcher;
            self.own.store &= is_watcher;
            effects.push(Effect::Watch(is_watcher));
            let reason = if is_watcher {
                Reason::WatchStarted
            } else {
                Reason::WatchStopped
            };
            effects.push(self.decision(reason, now));
        }
    }

    fn is_first_in_zone(&self) -> bool {
        let is_rival = |f: &Fact| f.role == Role::Balancer && f.zone == self.own.zone;
        self.own.role == Role::Balancer && self.count_ahead(is_rival) < WATCHERS_PER_ZONE
    }

    /// Whether it is this instance's turn to join the watchers after a shortage of this duration.
    fn may_join(&self, shortage: Millis) -> bool {
        let ahead = self.count_ahead(|_| true);
        let turn = Millis(JOIN_INTERVAL.0 * ahead as u64);
        ahead < MAX_JOINING && shortage >= turn
    }

    /// Number of other live instances whose address has a smaller hash, among those that count.
    pub(super) fn count_ahead(&self, counts: impl Fn(&Fact) -> bool) -> usize {
        let rank = stable_hash(&self.own.ip.octets());
        let is_ahead = |m: &&Member| counts(&m.fact) && stable_hash(&m.fact.ip.octets()) < rank;
        self.live_others().filter(is_ahead).count()
    }

    pub(super) fn live_others(&self) -> impl Iterator<Item = &Member> {
        let others = self.membership.iter().filter(|m| m.fact.ip != self.own.ip);
        others.filter(|m| !m.fact.phase.is_leaving() && !m.is_suspect)
    }
}
