//! Response times that are usual at one backend server.

use crate::time::Millis;

/// Units per millisecond in which the typical time is kept.
const UNITS: u64 = 1_024;
/// Units in which ratios are kept: this many are a ratio of one.
const RATIO_UNITS: u64 = 1_024;
/// Divisor of the typical time that gives its maximum change with one answer. It triples within about 20 answers.
const TYPICAL_DIVISOR: u64 = 16;
/// Divisor of the longest ratio that gives its decay with one answer: small enough that the ratio of a kind of request
/// that is one in thirty remains between two of them.
const TAIL_DIVISOR: u64 = 2_048;
/// Longest ratio that is assumed before others have been observed.
const INITIAL_TAIL: u64 = 8 * RATIO_UNITS;
/// Ratio below which no wait is unusual, however even the observed ones are.
const MIN_RATIO: u64 = 2 * RATIO_UNITS;
/// Minimum answers before a wait can be unusual.
const MIN_ANSWERS: u32 = 16;

/// The typical response time of a backend server, and how far others exceed it.
///
/// The limit is a multiple of the rounds of the queue that a request found, so that a queue makes no wait unusual.
#[derive(Clone, Debug)]
pub(super) struct ResponseTimes {
    /// Moving median, in [`UNITS`].
    typical: u64,
    /// Longest recent time relative to the typical one, in [`RATIO_UNITS`].
    tail: u64,
    /// Number of answers, up to [`MIN_ANSWERS`].
    answers: u32,
}

impl Default for ResponseTimes {
    fn default() -> Self {
        Self {
            typical: 0,
            tail: INITIAL_TAIL,
            answers: 0,
        }
    }
}

impl ResponseTimes {
    /// Records an answer to a request that found a free slot and waited for `wait`.
    pub fn record(&mut self, wait: Millis) {
        let time = (wait.0 * UNITS).max(1);
        if self.answers == 0 {
            self.typical = time;
        }
        self.answers = MIN_ANSWERS.min(self.answers + 1);
        let ratio = time * RATIO_UNITS / self.typical;
        self.tail = ratio.max(self.tail - self.tail / TAIL_DIVISOR);
        let step = (self.typical / TYPICAL_DIVISOR).max(1);
        if time > self.typical {
            self.typical = time.min(self.typical + step);
        } else {
            self.typical = time.max(self.typical - step);
        }
    }

    /// Returns the wait from which on a request behind a queue of `rounds` is unusual: half as long again as
    /// the longest recent one. There is none before enough answers.
    pub fn limit(&self, rounds: u16) -> Option<Millis> {
        let ratio = MIN_RATIO.max(self.tail + self.tail / 2);
        let limit = self.typical * ratio / RATIO_UNITS * u64::from(rounds.max(1));
        (self.answers == MIN_ANSWERS).then_some(Millis(limit.div_ceil(UNITS)))
    }
}
