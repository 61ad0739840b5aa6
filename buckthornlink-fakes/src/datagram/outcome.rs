//! What callers and backend servers saw.

/// Counts of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Requests that callers sent.
    pub asked: u64,
    /// Requests that were answered before their deadline.
    pub served: u64,
    /// Flows that opened.
    pub opened: u64,
    /// Resets of open flows whose backend server lives, within reach of all that are concerned.
    pub false_resets: u64,
    /// Resets of flows whose backend server had ended.
    pub true_resets: u64,
    /// Flows of which three packets in two seconds reached other backend servers and none its own.
    pub strays: u64,
    /// Flows that two backend servers held at once.
    pub doubles: u64,
    /// Opening packets that a backend server took after it had long been draining.
    pub late_drains: u64,
    /// Opening packets that a backend server took in a zone long out of service.
    pub late_zones: u64,
    /// Opening packets that a service took which the route had long lost.
    pub late_routes: u64,
    /// Opening packets in one second beyond what a backend server in cold start bears.
    pub overloads: u64,
    /// Processes whose version went back.
    pub regressions: u64,
}

impl Outcome {
    /// How often something happened that must never happen.
    #[must_use]
    pub const fn violations(&self) -> u64 {
        self.false_resets
            + self.strays
            + self.doubles
            + self.late_drains
            + self.late_zones
            + self.late_routes
            + self.overloads
            + self.regressions
    }

    /// Share of the requests that were answered in time.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    pub const fn served_share(&self) -> f64 {
        if self.asked == 0 {
            return 1.0;
        }
        self.served as f64 / self.asked as f64
    }
}
