//! Which instances watch the store, and how old this instance's knowledge of the store is.

use std::net::Ipv4Addr;

use super::Gossip;
use crate::datagram::{Effect, Fact, Member, Reason, Role};
use crate::id::stable_hash;
use crate::time::Millis;

/// Balancers of each zone that watch the store.
const WATCHERS_PER_ZONE: usize = 2;
/// If fewer other watchers than this are known to reach the store, an instance watches it as well.
const MIN_WATCHERS: usize = 2;
/// During such a shortage, instances join the watchers one after the other, in the order of the hash
/// of their address, so that the store is not called by all of them at once.
const JOIN_INTERVAL: Millis = Millis(20);
/// Maximum number of instances that join. If none of these reaches the store, hardly any other does.
const MAX_JOINING: usize = 64;
/// Shortest time within which an operator may require a change of the configuration, or a zone taken
/// out, to be in force. Another instance has to notice by then that all watchers are lost, whatever the
/// number of instances, and to read the change.
const MIN_APPLY_TIME: Millis = Millis(3_000);
/// Instances that ask watchers directly whether they live, since heartbeats that others relay take
/// longer to arrive the more instances there are. The first ones that do not watch the store, by hash of
/// the address.
const STANDBYS: usize = 4;
/// Interval between two questions of a standby, each to another one of the watchers that it relies on.
const ASK_INTERVAL: Millis = Millis(400);
/// A standby does not rely on a watcher whose last answer to it is older.
const MAX_SILENCE: Millis = Millis(1_200);
/// Time in which a standby that relies on too few watchers asks all of them, before it joins them.
const CONFIRM_TIME: Millis = Millis(600);
/// Time left of [`MIN_APPLY_TIME`] for reading the change and passing it on.
const READ_TIME: Millis = Millis(1_000);
const _: () = assert!(MAX_SILENCE.0 + CONFIRM_TIME.0 + READ_TIME.0 <= MIN_APPLY_TIME.0);
/// The next instances in that order, up to this number, ask as well once they have heard no heartbeats of
/// the watchers for [`MAX_HEARTBEAT_AGE`], in case the standbys are lost too.
const MAX_ASKING: usize = 16;
const MAX_HEARTBEAT_AGE: Millis = Millis(3_500);
/// A watcher that the store has not answered for this long no longer counts as one. Longer than a
/// watch goes without an answer, and shorter than a change may take to be in force.
const MAX_ANSWER_AGE: Millis = Millis(2_200);

/// This instance's own access to the store.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoreAccess {
    is_watcher: bool,
    /// Since when too few other instances are known to reach the store.
    shortage_since: Option<Millis>,
    /// Since when this instance, as a standby, has recent answers of too few watchers.
    silence_since: Option<Millis>,
    /// When this instance, as a standby, last asked a watcher.
    last_question: Option<Millis>,
    /// When the store last answered this process; at first, when the process started.
    last_answer: Millis,
}

impl StoreAccess {
    /// Access of a process that starts now and does not watch the store yet.
    pub(super) const fn new(now: Millis) -> Self {
        Self {
            is_watcher: false,
            shortage_since: None,
            silence_since: None,
            last_question: None,
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
        if !is_first && self.may_ask(now) {
            self.ask_watchers(now, effects);
            self.update_silence(now);
        } else {
            self.store_access.silence_since = None;
        }
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

    /// Whether this instance asks the watchers directly whether they live.
    fn may_ask(&self, now: Millis) -> bool {
        let ahead = self.count_ahead(|fact| !fact.store);
        ahead < STANDBYS || ahead < MAX_ASKING && self.lacks_heartbeats(now)
    }

    /// Whether too few watchers have sent a recent heartbeat, as far as others relay it.
    fn lacks_heartbeats(&self, now: Millis) -> bool {
        let is_heard = |m: &&Member| now.since(m.last_heard) <= MAX_HEARTBEAT_AGE;
        self.relied_watchers().filter(is_heard).count() < MIN_WATCHERS
    }

    /// Takes note of whether too few watchers have answered this instance.
    fn update_silence(&mut self, now: Millis) {
        let is_silent = self.answering_watchers(now).len() < MIN_WATCHERS;
        let since = self.store_access.silence_since.unwrap_or(now);
        self.store_access.silence_since = is_silent.then_some(since);
    }

    /// Whether too few watchers have answered although all were asked for [`CONFIRM_TIME`].
    fn is_silent(&self, now: Millis) -> bool {
        let since = self.store_access.silence_since;
        since.is_some_and(|at| now.since(at) >= CONFIRM_TIME)
    }

    /// The watchers that make it needless for this instance to watch the store. Those that joined count
    /// for the ones behind them only, so that they do not all leave for each other.
    fn relied_watchers(&self) -> impl Iterator<Item = &Member> {
        let own = watcher_rank(&self.own);
        let is_ahead = move |m: &&Member| !self.own.store || watcher_rank(&m.fact) < own;
        self.store_watchers().filter(is_ahead)
    }

    /// Asks one of the watchers that this instance relies on, in turn; all watchers if too few answer.
    fn ask_watchers(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let answering = self.answering_watchers(now);
        let asked: Vec<Ipv4Addr> = if answering.len() < MIN_WATCHERS {
            self.relied_watchers().map(|m| m.fact.ip).collect()
        } else if self.is_question_due(now) {
            self.store_access.last_question = Some(now);
            answering.into_iter().take(1).collect()
        } else {
            Vec::new()
        };
        for to in asked {
            let message = self.status(Vec::new(), Vec::new(), true);
            effects.push(Effect::Send { to, message });
        }
    }

    fn is_question_due(&self, now: Millis) -> bool {
        let last = self.store_access.last_question;
        last.is_none_or(|at| now.since(at) >= ASK_INTERVAL)
    }

    /// The [`MIN_WATCHERS`] watchers that this instance relies on, the one that answered longest ago
    /// first. Those of its own zone go before others.
    fn answering_watchers(&self, now: Millis) -> Vec<Ipv4Addr> {
        let has_answered = |m: &&Member| now.since(m.last_answer) <= MAX_SILENCE;
        let mut watchers: Vec<&Member> = self.relied_watchers().filter(has_answered).collect();
        watchers.sort_by_key(|m| (m.fact.zone != self.own.zone, m.fact.ip));
        watchers.truncate(MIN_WATCHERS);
        watchers.sort_by_key(|m| m.last_answer);
        watchers.iter().map(|m| m.fact.ip).collect()
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
