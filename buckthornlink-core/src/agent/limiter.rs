//! Adaptive concurrency limit with cold-start detection.

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// Limit of a cold backend server, and the lowest limit that backoff can reach.
const COLD_LIMIT: f64 = 1.0;
/// While cold, each successful response raises the limit by this number divided by the limit.
const COLD_GROWTH: f64 = 0.5;
/// While warm and saturated, each successful response raises the limit by this number divided by
/// the limit.
const WARM_GROWTH: f64 = 1.0;
/// Factor applied to the limit after a shed request or a missed deadline.
const BACKOFF_FACTOR: f64 = 0.7;
/// Number of sheds within one window that indicate a cold start.
const COLD_SHED_THRESHOLD: u32 = 2;
/// Length of the window in which sheds are counted, in responses including sheds.
const SHED_WINDOW: u32 = 10;
/// Number of consecutive slow responses that indicate a cold start.
const COLD_SLOW_THRESHOLD: u32 = 3;
/// A response is slow if it took more than this many times the smoothed service time.
const SLOW_FACTOR: f64 = 4.0;
/// Lower bound of the service time that responses are compared with, in milliseconds.
const MIN_SLOW_BASELINE_MS: f64 = 10.0;
/// The time left until a request's deadline must exceed the smoothed service time by this factor.
const SERVICE_TIME_MARGIN: f64 = 1.5;
/// Weight of the newest sample in the smoothed service time, an exponential moving average.
const SERVICE_TIME_SMOOTHING: f64 = 0.1;
/// Weight of the newest sample in the smoothed pressure, an exponential moving average.
const PRESSURE_SMOOTHING: f64 = 0.2;

/// How a request that was sent to the backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// A complete response arrived.
    Answered {
        /// Boot id of the backend server, if the response has one.
        boot: Option<u64>,
    },
    /// The backend server refused the request under load and declared that it did not run.
    Shed,
    /// The backend server declared that the request did not run, for a reason other than its own
    /// load.
    Declined,
    /// No connection could be established, so nothing was sent.
    Unreachable,
    /// The connection failed after the request was sent.
    Broken,
    /// No response arrived before the deadline.
    Late,
    /// The agent aborted the request.
    Aborted,
}

/// Adapts the concurrency limit of one backend server.
///
/// The limit of a cold backend server starts at one request and grows only with observed
/// successes. The server counts as cold again when its boot id changes, a connection fails or
/// breaks, it sheds repeatedly, or its responses suddenly slow down.
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    slots: f64,
    limit: f64,
    running: u32,
    is_cold: bool,
    backend_boot: Option<u64>,
    service_ms: f64,
    pressure: f64,
    window_responses: u32,
    window_sheds: u32,
    slow_streak: u32,
}

impl Limiter {
    /// Creates the limiter of a cold backend server with `slots` slots.
    ///
    /// ```
    /// # use buckthornlink_core::agent::Limiter;
    /// let limiter = Limiter::new(8);
    /// assert!(limiter.is_cold());
    /// assert_eq!(limiter.limit(), 1);
    /// ```
    #[must_use]
    pub fn new(slots: u16) -> Self {
        Self {
            slots: f64::from(slots),
            limit: COLD_LIMIT,
            running: 0,
            is_cold: true,
            backend_boot: None,
            service_ms: 0.0,
            pressure: 0.0,
            window_responses: 0,
            window_sheds: 0,
            slow_streak: 0,
        }
    }

    /// Sets the number of slots, the maximum of the limit. If it is raised above the limit, the
    /// backend server counts as cold until the limit reaches it.
    pub fn set_slots(&mut self, slots: u16) {
        let is_raised = f64::from(slots) > self.slots;
        self.slots = f64::from(slots);
        self.limit = self.limit.min(self.slots);
        self.is_cold |= is_raised && self.limit < self.slots;
    }

    /// Resets the limit to that of a cold backend server.
    pub const fn reset_to_cold(&mut self) {
        self.is_cold = true;
        self.limit = COLD_LIMIT;
        self.window_responses = 0;
        self.window_sheds = 0;
        self.slow_streak = 0;
    }

    /// Counts a request as running.
    pub const fn start(&mut self) {
        self.running += 1;
    }

    /// Updates the limit from the outcome of a running request.
    pub fn finish(&mut self, outcome: Outcome, took: Millis) {
        let was_full = self.running >= self.limit();
        self.running = self.running.saturating_sub(1);
        match outcome {
            Outcome::Answered { boot } => self.record_response(boot, took, was_full),
            Outcome::Shed => self.record_shed(),
            Outcome::Late => self.back_off(),
            Outcome::Broken | Outcome::Unreachable => self.reset_to_cold(),
            Outcome::Declined | Outcome::Aborted => {}
        }
    }

    /// Updates the smoothed pressure; called once per tick.
    pub fn update_pressure(&mut self) {
        let utilization = f64::from(self.running) / f64::from(self.limit());
        self.pressure += PRESSURE_SMOOTHING * (utilization.min(1.0) - self.pressure);
    }

    /// Whether one more request may run.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.running < self.limit()
    }

    /// Current concurrency limit.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the limit lies between 1 and 65,535"
    )]
    pub fn limit(&self) -> u32 {
        self.limit.floor().max(1.0) as u32
    }

    /// Whether the backend server is in cold start.
    #[must_use]
    pub const fn is_cold(&self) -> bool {
        self.is_cold
    }

    /// Expected time until a request queued behind `queued` others is answered.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "queues hold at most 65,535 requests"
    )]
    pub fn expected_wait(&self, queued: usize) -> Millis {
        let rounds = (queued as f64 + 1.0) / f64::from(self.limit()) + 1.0;
        Millis((rounds * self.service_ms) as u64)
    }

    /// Time that must remain until a request's deadline for it to be started: the smoothed service
    /// time with a margin. It is zero while no request runs, so that an outdated service time gets
    /// corrected.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "service times are positive and far below 2^52 ms"
    )]
    pub fn required_time(&self) -> Millis {
        if self.running == 0 {
            return Millis(0);
        }
        Millis((self.service_ms * SERVICE_TIME_MARGIN).ceil() as u64)
    }

    /// Current limit as a share of the slots, in 1/255, at least 1.
    #[must_use]
    pub fn weight(&self) -> u8 {
        to_255ths(self.limit / self.slots).max(1)
    }

    /// Smoothed utilization of the limit, in 1/255.
    #[must_use]
    pub fn pressure(&self) -> u8 {
        to_255ths(self.pressure)
    }

    fn record_response(&mut self, boot: Option<u64>, took: Millis, was_full: bool) {
        let has_restarted =
            self.backend_boot.is_some() && boot.is_some() && self.backend_boot != boot;
        self.backend_boot = boot.or(self.backend_boot);
        if has_restarted {
            self.reset_to_cold();
            return;
        }
        self.count_response();
        if self.record_service_time(took) {
            return;
        }
        self.grow(was_full);
    }

    fn grow(&mut self, was_full: bool) {
        if self.is_cold {
            self.limit += COLD_GROWTH / self.limit;
        } else if was_full {
            self.limit += WARM_GROWTH / self.limit;
        }
        if self.limit >= self.slots {
            self.limit = self.slots;
            self.is_cold = false;
        }
    }

    /// Whether the response is slow. Updates the smoothed service time if it is not; consecutive
    /// slow responses indicate a cold start.
    #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
    fn record_service_time(&mut self, took: Millis) -> bool {
        let took = took.0 as f64;
        let baseline = self.service_ms.max(MIN_SLOW_BASELINE_MS);
        let is_slow = self.service_ms > 0.0 && took > baseline * SLOW_FACTOR;
        if is_slow {
            self.slow_streak += 1;
        } else {
            self.slow_streak = 0;
            let is_first = self.service_ms <= 0.0;
            let weight = if is_first {
                1.0
            } else {
                SERVICE_TIME_SMOOTHING
            };
            self.service_ms += weight * (took - self.service_ms);
        }
        if self.slow_streak >= COLD_SLOW_THRESHOLD {
            self.reset_to_cold();
            self.service_ms = 0.0;
        }
        is_slow
    }

    fn record_shed(&mut self) {
        self.window_sheds += 1;
        self.count_response();
        if self.window_sheds >= COLD_SHED_THRESHOLD && !self.is_cold {
            self.reset_to_cold();
        } else {
            self.back_off();
        }
    }

    fn count_response(&mut self) {
        self.window_responses += 1;
        if self.window_responses >= SHED_WINDOW {
            self.window_responses = 0;
            self.window_sheds = 0;
        }
    }

    fn back_off(&mut self) {
        self.limit = (self.limit * BACKOFF_FACTOR).max(COLD_LIMIT);
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the share is clamped to 0..=1"
)]
fn to_255ths(share: f64) -> u8 {
    (share.clamp(0.0, 1.0) * f64::from(u8::MAX)).round() as u8
}
