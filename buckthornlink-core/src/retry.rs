//! Retry budget for calls to a dependency.

use serde::{Deserialize, Serialize};

/// Deposit for each first attempt, in percent of one retry.
const DEPOSIT_PERCENT: u32 = 10;
/// Maximum balance, in percent of one retry.
const MAX_SAVED_PERCENT: u32 = 1_000;
/// Cost of one retry in units of the balance, which are percent of one retry.
const RETRY_COST_PERCENT: u32 = 100;

/// Limits retries to a share of all calls, so that they do not overload a failing dependency.
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
    /// Adds the deposit for one first attempt.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + DEPOSIT_PERCENT).min(MAX_SAVED_PERCENT);
    }

    /// Withdraws the cost of one retry; returns whether the balance was sufficient.
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
