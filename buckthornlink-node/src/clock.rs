//! Time as the processes see it.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use buckthornlink_core::{BootId, Millis};

/// Monotonic clock that starts at zero with the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Time since the start.
    ///
    /// ```
    /// use buckthornlink_node::clock::Clock;
    ///
    /// let clock = Clock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    #[must_use]
    pub fn now(&self) -> Millis {
        let millis = self.start.elapsed().as_millis();
        Millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }
}

/// Boot id of a process that starts now.
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
