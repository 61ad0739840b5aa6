//! Budget for retries of calls to a dependency.

use serde::{Deserialize, Serialize};

/// Retries that one call earns, in percent.
const DEPOSIT_PERCENT: u32 = 10;
/// Retries that can be saved up, in percent of one retry.
const MAX_SAVED_PERCENT: u32 = 1_000;
/// Cost of one retry.
const RETRY_COST_PERCENT: u32 = 100;

/// Allows retries as a share of calls, so that a failing dependency is not flooded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryBudget {
    saved: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: MAX_SAVED_PERCENT,
        }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + DEPOSIT_PERCENT).min(MAX_SAVED_PERCENT);
    }

    /// Takes one retry out, if there is one.
    ///
    /// ```
    /// use buckthornlink_core::retry::RetryBudget;
    ///
    /// let mut budget = RetryBudget::default();
    /// let retries = (0..100).filter(|_| budget.try_withdraw()).count();
    /// assert_eq!(retries, 10);
    /// ```
    pub const fn try_withdraw(&mut self) -> bool {
        if self.saved < RETRY_COST_PERCENT {
            return false;
        }
        self.saved -= RETRY_COST_PERCENT;
        true
    }
}
