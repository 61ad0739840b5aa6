//! Counts of requests, flows and violations.

/// Counts of one simulation run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Requests that callers sent, without retransmissions.
    pub sent: u64,
    /// Requests that were answered before their deadline.
    pub served: u64,
    /// Flows that opened.
    pub opened: u64,
    /// Resets of flows that their backend server still held, while no instance involved had been
    /// disrupted recently.
    pub false_resets: u64,
    /// Resets of flows that their backend server no longer held.
    pub true_resets: u64,
    /// Times that three packets of a flow reached other backend servers, and none its own, within
    /// two seconds.
    pub stray_flows: u64,
    /// Packets of flows that two backend servers held at once.
    pub double_owners: u64,
    /// Opening packets that reached a backend server too long after it began to drain.
    pub late_drains: u64,
    /// Opening packets that reached a backend server too long after its zone went out of service.
    pub late_zones: u64,
    /// Opening packets that reached a service too long after its route had moved to another one.
    pub late_routes: u64,
    /// Opening packets that exceeded the rate which a backend server accepts during cold start.
    pub overloads: u64,
    /// Times that a process went back to an older configuration version.
    pub version_regressions: u64,
}

impl Outcome {
    /// Total number of violations of invariants.
    #[must_use]
    pub const fn violations(&self) -> u64 {
        self.false_resets
            + self.stray_flows
            + self.double_owners
            + self.late_drains
            + self.late_zones
            + self.late_routes
            + self.overloads
            + self.version_regressions
    }

    /// Fraction of the requests that were answered in time; 1 if none were sent.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    pub const fn served_share(&self) -> f64 {
        if self.sent == 0 {
            return 1.0;
        }
        self.served as f64 / self.sent as f64
    }
}
