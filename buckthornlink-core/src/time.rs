//! Monotonic time that is passed to the reducers.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A point in time of a monotonic clock or a duration, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the time since `earlier`, or zero if `earlier` is later than this time.
    ///
    /// ```
    /// # use buckthornlink_core::Millis;
    /// assert_eq!(Millis(7).since(Millis(5)), Millis(2));
    /// assert_eq!(Millis(5).since(Millis(7)), Millis(0));
    /// ```
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        self.since(rhs)
    }
}
