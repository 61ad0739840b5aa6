//! Delays between attempts of a task that repeats a call until it succeeds.

use std::time::Duration;

use rand::Rng;

/// Exponential delays between attempts, from a minimum to a maximum.
///
/// ```
/// # use std::time::Duration;
/// # use buckthornlink_node::backoff::Backoff;
/// let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_millis(300));
/// assert_eq!(backoff.next_delay(), Duration::from_millis(100));
/// assert_eq!(backoff.next_delay(), Duration::from_millis(200));
/// assert_eq!(backoff.next_delay(), Duration::from_millis(300));
/// ```
#[derive(Clone, Debug)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// Starts with the minimum.
    #[must_use]
    pub const fn new(min: Duration, max: Duration) -> Self {
        Self {
            min,
            max,
            next: min,
        }
    }

    /// Starts with the minimum again, after an attempt that succeeded.
    pub const fn reset(&mut self) {
        self.next = self.min;
    }

    /// Returns the delay before the next attempt; the one after it is twice as long.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.next;
        self.next = (delay * 2).min(self.max);
        delay
    }
}

/// Returns a random duration between 0.5 and 1.5 times `mean`.
///
/// ```
/// # use std::time::Duration;
/// # use buckthornlink_node::backoff::jittered;
/// let delay = jittered(Duration::from_secs(2));
/// assert!((Duration::from_secs(1)..Duration::from_secs(3)).contains(&delay));
/// ```
#[must_use]
pub fn jittered(mean: Duration) -> Duration {
    mean.mul_f64(rand::rng().random_range(0.5..1.5))
}
