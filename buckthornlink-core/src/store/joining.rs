//! Random times at which instances begin to watch the store.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::answers::{DRAIN_TIME, LATE_TICK};
use crate::time::Millis;

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

/// When instances join those that watch the store.
#[derive(Clone, Copy, Debug)]
pub struct JoinLimits {
    /// Age of what is known of the store from which on an instance joins.
    pub max_age: Millis,
    /// Time over which instances spread their joining; longer in a large fleet.
    pub window: Millis,
    /// Instances that join in a second at most, which they do at the end of the window if nobody gets
    /// an answer.
    pub max_rate: u64,
}

/// Draws the time at which one instance joins.
#[derive(Clone, Debug)]
pub struct JoinTimer {
    limits: JoinLimits,
    checked_at: Option<Millis>,
    joins_at: Option<Millis>,
    /// Calls to the store that have failed since the last answer.
    failures: u32,
    rng: Pcg64Mcg,
}

impl JoinTimer {
    /// Creates a timer that is not set.
    #[must_use]
    pub fn new(limits: JoinLimits, seed: u64) -> Self {
        Self {
            limits,
            checked_at: None,
            joins_at: None,
            failures: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Generator of the random times, for other choices of the same instance too.
    pub const fn rng(&mut self) -> &mut Pcg64Mcg {
        &mut self.rng
    }

    /// Whether what is known of the store is too old, and the time has come that is drawn for joining
    /// among `members` instances.
    ///
    /// The time is drawn from when the knowledge became too old. If that was during a pause of this process,
    /// it is drawn from when what arrives no longer counts as having waited: others that were paused as well
    /// find the same, and the first answer can spare them a call only then.
    pub fn is_due(&mut self, age: Millis, members: usize, now: Millis) -> bool {
        let last_check = self.checked_at.replace(now);
        if age < self.limits.max_age {
            self.cancel();
            return false;
        }
        let is_late = last_check.is_none_or(|at| now.since(at) >= LATE_TICK);
        let noticed_at = if is_late {
            now + DRAIN_TIME
        } else {
            now - age + self.limits.max_age
        };
        let joins_at = match self.joins_at {
            Some(at) => at,
            None => noticed_at + self.draw_join_delay(members),
        };
        self.joins_at = Some(joins_at);
        now >= joins_at
    }

    /// Forgets the time for joining.
    pub const fn cancel(&mut self) {
        self.joins_at = None;
    }

    /// Records that the store answered.
    pub const fn record_answer(&mut self) {
        self.failures = 0;
    }

    /// Records that a call to the store failed, and draws a later time for the next one.
    pub fn record_failure(&mut self, members: usize, now: Millis) {
        let delay = self.draw_retry_delay(members);
        self.failures = self.failures.saturating_add(1);
        self.joins_at = Some(now + delay);
    }

    /// A random delay within the window. Few instances have a short one, so that few have joined when
    /// the first answer arrives, however many there are.
    fn draw_join_delay(&mut self, members: usize) -> Millis {
        let for_all = 2 * 1_000 * members as u64 / self.limits.max_rate;
        let window = self.limits.window.0.max(for_all);
        Millis((self.rng.next_u64() % (window * window)).isqrt())
    }

    /// Exponential delay with jitter, longer in a larger fleet.
    fn draw_retry_delay(&mut self, members: usize) -> Millis {
        let for_all = |per_member: Millis| Millis(per_member.0 * members as u64);
        let min = MIN_RETRY_DELAY.max(for_all(MIN_RETRY_DELAY_PER_MEMBER));
        let max = MAX_RETRY_DELAY.max(for_all(MAX_RETRY_DELAY_PER_MEMBER));
        let delay = (min.0 << self.failures.min(8)).min(max.0);
        Millis(delay / 2 + self.rng.next_u64() % delay)
    }
}
