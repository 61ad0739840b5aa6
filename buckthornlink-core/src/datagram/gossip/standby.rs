//! Standbys, which notice the loss of the instances that watch the store.
//!
//! Heartbeats that other instances relay say nothing of their age, and take the longer the more
//! instances there are. So a few standbys ask the watchers themselves.

use std::net::Ipv4Addr;

use super::Gossip;
use super::store_access::MIN_WATCHERS;
use crate::datagram::{Effect, Fact, Member, Role};
use crate::id::stable_hash;
use crate::time::Millis;

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

/// What this instance has done and seen as a standby.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Standby {
    /// Since when too few watchers have answered this instance.
    silence_since: Option<Millis>,
    /// When this instance last asked a watcher.
    last_question: Option<Millis>,
}

impl Gossip {
    /// Asks the watchers whether they live, if it is this instance's turn and it need not watch itself.
    pub(super) fn check_watchers(&mut self, may_ask: bool, now: Millis, effects: &mut Vec<Effect>) {
        if may_ask && self.is_asking(now) {
            self.ask_watchers(now, effects);
            self.update_silence(now);
        } else {
            self.standby.silence_since = None;
        }
    }

    /// Whether this instance asks the watchers directly whether they live.
    fn is_asking(&self, now: Millis) -> bool {
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
        let since = self.standby.silence_since.unwrap_or(now);
        self.standby.silence_since = is_silent.then_some(since);
    }

    /// Whether too few watchers have answered although all were asked for [`CONFIRM_TIME`].
    pub(super) fn is_silent(&self, now: Millis) -> bool {
        let since = self.standby.silence_since;
        since.is_some_and(|at| now.since(at) >= CONFIRM_TIME)
    }

    /// The watchers that make it needless for this instance to watch the store. Those that joined count
    /// for the ones behind them only, so that they do not all leave for each other.
    pub(super) fn relied_watchers(&self) -> impl Iterator<Item = &Member> {
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
            self.standby.last_question = Some(now);
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
        let last = self.standby.last_question;
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
}

/// Order in which watchers stay: balancers first, then by hash of the address.
fn watcher_rank(fact: &Fact) -> (bool, u64) {
    (fact.role != Role::Balancer, stable_hash(&fact.ip.octets()))
}
