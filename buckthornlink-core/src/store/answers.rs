//! Answers of the store, and the age of what is known from them.
//!
//! An instance that has heard of every change up to the moment at which the store answered some
//! instance knows the store as of that moment. So messages between instances carry, beside what the
//! sender knows, the age of those answers. The age grows while a message waits in a paused process.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// Maximum number of answers that one message reports, the latest ones.
const MAX_ANSWERS: usize = 2;
/// Answers that are older than this are forgotten.
const RETENTION: Millis = Millis(10_000);
/// Assumed time from sending a message, or an answer of the store, to its arrival.
const TRANSIT_TIME: Millis = Millis(10);
/// Time without a tick after which messages that arrive next count as sent right after the last one. Longer
/// than the interval of ticks. A shorter wait is not noticed.
pub(super) const LATE_TICK: Millis = Millis(300);
/// Time within which a process handles the messages that waited for it.
pub(super) const DRAIN_TIME: Millis = Millis(1_000);

/// An answer of the store to one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreAnswer<K> {
    /// The instance.
    pub instance: K,
    /// Time since the answer when the message was sent.
    pub age: Millis,
}

/// When the store answered which instance, as far as this one knows all that was known there.
///
/// ```
/// use buckthornlink_core::Millis;
/// use buckthornlink_core::store::{StoreAnswer, StoreAnswers};
///
/// let mut answers = StoreAnswers::new(Millis(0));
/// let answer = StoreAnswer { instance: "b", age: Millis(400) };
/// answers.insert(answer, Millis(5_000));
/// assert_eq!(answers.age(Millis(5_090)), Millis(500));
/// ```
#[derive(Clone, Debug)]
pub struct StoreAnswers<K> {
    /// Times of this table are later than those of the caller by [`RETENTION`], so that none is negative.
    latest: Millis,
    by_instance: BTreeMap<K, Millis>,
    pause: Option<Pause>,
}

/// A time in which the process did not run.
#[derive(Clone, Copy, Debug)]
struct Pause {
    duration: Millis,
    ended_at: Millis,
}

impl<K: Copy + Ord> StoreAnswers<K> {
    /// State of a process that starts now. Nothing counts as missed before its start.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self {
            latest: now + RETENTION,
            by_instance: BTreeMap::new(),
            pause: None,
        }
    }

    /// Upper bound of the time since when a change in the store may have been missed.
    #[must_use]
    pub fn age(&self, now: Millis) -> Millis {
        (now + RETENTION).since(self.latest)
    }

    /// Records an answer that was reported just now, once all is known that rests on it.
    pub fn insert(&mut self, answer: StoreAnswer<K>, now: Millis) {
        let age = answer.age + self.max_delay(now);
        let at = now + RETENTION - age;
        let known = self.by_instance.entry(answer.instance).or_default();
        *known = at.max(*known);
        self.latest = at.max(self.latest);
        self.by_instance.retain(|_, at| now < *at);
    }

    /// The latest answers, the youngest one first.
    #[must_use]
    pub fn youngest(&self, now: Millis) -> Vec<StoreAnswer<K>> {
        let answer = |(&instance, &at): (&K, &Millis)| StoreAnswer {
            instance,
            age: (now + RETENTION).since(at),
        };
        let mut answers: Vec<(&K, &Millis)> = self.by_instance.iter().collect();
        answers.sort_by_key(|(_, at)| Reverse(**at));
        answers.into_iter().map(answer).take(MAX_ANSWERS).collect()
    }

    /// Instances that the store answered within `max_age`.
    pub fn answered_within(&self, max_age: Millis, now: Millis) -> impl Iterator<Item = K> {
        let is_recent = move |at: Millis| (now + RETENTION).since(at) < max_age;
        let recent = self
            .by_instance
            .iter()
            .filter(move |(_, at)| is_recent(**at));
        recent.map(|(&instance, _)| instance)
    }

    /// Takes note of the time since the last tick.
    pub fn record_tick_gap(&mut self, duration: Millis, now: Millis) {
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
