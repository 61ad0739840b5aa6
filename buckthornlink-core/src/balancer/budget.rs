//! Rate limit on the control traffic that a process sends.

use crate::time::Millis;

/// Token bucket of bytes. Its capacity is two seconds of the rate.
#[derive(Clone, Copy, Debug)]
pub struct ByteBudget {
    rate: u64,
    tokens: i64,
    last_refill: Millis,
}

impl ByteBudget {
    const BURST_SECONDS: u64 = 2;

    /// Creates a full bucket that is refilled with `rate` bytes per second.
    #[must_use]
    pub const fn new(rate: u32) -> Self {
        let rate = rate as u64;
        Self {
            rate,
            tokens: (rate * Self::BURST_SECONDS).cast_signed(),
            last_refill: Millis(0),
        }
    }

    /// Refills the bucket and returns the bytes that may be sent now.
    ///
    /// ```
    /// # use buckthornlink_core::balancer::ByteBudget;
    /// # use buckthornlink_core::Millis;
    /// let mut budget = ByteBudget::new(1_000);
    /// budget.spend(2_500);
    /// assert_eq!(budget.available(Millis(0)), 0);
    /// assert_eq!(budget.available(Millis(1_000)), 500);
    /// ```
    pub fn available(&mut self, now: Millis) -> usize {
        let elapsed = now.since(self.last_refill).0;
        let earned = self.rate * elapsed / 1_000;
        if earned > 0 {
            let cap = (self.rate * Self::BURST_SECONDS).cast_signed();
            self.tokens = (self.tokens + earned.cast_signed()).min(cap);
            self.last_refill = now;
        }
        usize::try_from(self.tokens).unwrap_or(0)
    }

    /// Removes bytes from the bucket. Urgent messages may make the balance negative; later messages
    /// wait until refills have made it positive again.
    pub fn spend(&mut self, bytes: usize) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.tokens = self.tokens.saturating_sub(bytes);
    }
}
