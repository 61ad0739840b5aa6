//! Monotonic time as the reducers see it.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// Milliseconds of a monotonic clock, or a span of such milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// The span since `earlier`, or zero if `earlier` lies in the future.
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
