//! Numbers of edits.
//!
//! An edit is numbered with the time at which it was made, or with the number that follows that of
//! the edit before it, whichever is greater. A count kept in the store alone would give out the same
//! numbers again after the store was restored from an older copy, and processes, which follow the
//! greatest number that they have seen, would ignore the edits that get them.

use std::time::{SystemTime, UNIX_EPOCH};

/// Time of an edit, in microseconds since 1970 by the clock of whoever makes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EditTime(pub u64);

impl EditTime {
    /// The current time.
    #[must_use]
    pub fn now() -> Self {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        let micros = elapsed.unwrap_or_default().as_micros();
        Self(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// The number of an edit at this time that follows the edit with the number `previous`.
    ///
    /// ```
    /// # use buckthornlink_platform::EditTime;
    /// assert_eq!(EditTime(50).next_number(7), 50);
    /// assert_eq!(EditTime(50).next_number(60), 61);
    /// ```
    #[must_use]
    pub fn next_number(self, previous: u64) -> u64 {
        self.0.max(previous.saturating_add(1))
    }
}
