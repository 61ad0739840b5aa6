//! Monotonic process clock and boot ids.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use buckthornlink_core::{BootId, Millis};

/// Monotonic clock that counts from its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that counts from now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the clock was started.
    ///
    /// ```
    /// use buckthornlink_node::clock::Clock;
    ///
    /// let clock = Clock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    #[must_use]
    pub fn now(&self) -> Millis {
        millis_since(self.start)
    }
}

/// Returns the time since a moment.
///
/// ```
/// use std::time::Instant;
///
/// assert!(buckthornlink_node::clock::millis_since(Instant::now()).0 < 1_000);
/// ```
#[must_use]
pub fn millis_since(moment: Instant) -> Millis {
    let millis = moment.elapsed().as_millis();
    Millis(u64::try_from(millis).unwrap_or(u64::MAX))
}

/// Returns a boot id for a process that starts now: milliseconds since the Unix epoch.
///
/// ```
/// assert!(buckthornlink_node::clock::boot_id().0 > 0);
/// ```
#[must_use]
pub fn boot_id() -> BootId {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    BootId(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
