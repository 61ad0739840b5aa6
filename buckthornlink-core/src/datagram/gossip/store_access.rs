//! Which instances watch the store, and how old this instance's knowledge of the store is.

use super::Gossip;
use crate::datagram::{Effect, Fact, Member, Role};
use crate::id::stable_hash;
use crate::time::Millis;

/// Balancers of each zone that watch the store.
const WATCHERS_PER_ZONE: usize = 2;
/// If fewer other watchers than this are known to reach the store, an instance watches it as well.
const MIN_WATCHERS: usize = 2;
/// A watcher that the store has not answered for this long no longer counts as one. Longer than a
/// watch goes without an answer, and shorter than a change may take to be in force.
const MAX_ANSWER_AGE: Millis = Millis(3_500);

/// This instance's own access to the store.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoreAccess {
    is_watcher: bool,
    /// When the store last answered this process; at first, when the process started.
    last_answer: Millis,
}

impl StoreAccess {
    /// Access of a process that starts now and does not watch the store yet.
    pub(super) const fn new(now: Millis) -> Self {
        Self {
            is_watcher: false,
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

    /// Starts or stops watching the store, as [`Self::should_watch`] says.
    pub(super) fn choose_watchers(&mut self, effects: &mut Vec<Effect>) {
        let is_watcher = self.should_watch();
        if is_watcher != self.store_access.is_watcher {
            self.store_access.is_watcher = is_watcher;
            self.own.store &= is_watcher;
            effects.push(Effect::Watch(is_watcher));
        }
    }

    /// Whether this instance is one of the first balancers of its zone, by hash of the address, or
    /// too few others are known to reach the store.
    fn should_watch(&self) -> bool {
        let rank = stable_hash(&self.own.ip.octets());
        let ahead = self.live_others().filter(|m| {
            m.fact.role == Role::Balancer
                && m.fact.zone == self.own.zone
                && stable_hash(&m.fact.ip.octets()) < rank
        });
        let is_first = self.own.role == Role::Balancer && ahead.count() < WATCHERS_PER_ZONE;
        is_first || self.store_watchers().count() < MIN_WATCHERS
    }

    fn live_others(&self) -> impl Iterator<Item = &Member> {
        let others = self.membership.iter().filter(|m| m.fact.ip != self.own.ip);
        others.filter(|m| m.fact.phase.is_running() && !m.is_suspect)
    }
}
