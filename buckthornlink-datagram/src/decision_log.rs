//! Log lines about decisions, rate-limited for each reason.

use std::collections::BTreeMap;
use std::fmt;

use log::Level;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Decision, Evidence, Reason};

use crate::reset_summary::ResetSummary;

/// Target of the log records of this module. Operators name it in the filters of `log.level`, so
/// it is kept although the module has another name.
pub(crate) const LOG_TARGET: &str = "buckthornlink_datagram::journal";
/// Maximum number of lines per reason and second.
const MAX_LINES_PER_SECOND: u32 = 200;
/// Maximum number of warnings per reason and second.
const MAX_WARNINGS_PER_SECOND: u32 = 20;
/// Window of the rate limit.
const WINDOW: Millis = Millis(1_000);

/// Writes decisions to the log and counts those beyond the rate limit.
#[derive(Debug, Default)]
pub(crate) struct DecisionLog {
    window_start: Millis,
    line_counts: BTreeMap<Reason, u32>,
    resets: ResetSummary,
    written: u64,
}

impl DecisionLog {
    /// Writes a decision, or only counts it if its reason has reached the rate limit.
    pub(crate) fn write(&mut self, decision: &Decision, now: Millis) {
        self.advance_window(now);
        self.resets.record(decision);
        let count = self.line_counts.entry(decision.reason).or_default();
        *count += 1;
        if *count > max_lines(decision.reason) {
            return;
        }
        self.written += 1;
        let flow = decision.flow.as_ref();
        log::log!(
            target: LOG_TARGET,
            level(decision.reason),
            n = self.written,
            reason = decision.reason.name(),
            caller:% = OrDash(flow.map(|f| f.caller)),
            route:% = OrDash(flow.map(|f| f.route)),
            peer:% = OrDash(decision.peer),
            version = decision.version.0,
            age_ms = decision.age.0,
            evidence:% = OrDash(decision.evidence.map(Evidence::name)),
            basis:% = OrDash(decision.evidence.map(|e| e.basis().name())),
            mode:% = OrDash(decision.trial.map(|t| t.mode.name())),
            tries:% = OrDash(decision.trial.map(|t| t.earlier)),
            phase:% = OrDash(decision.phase.map(|p| format!("{p:?}")));
            "decision"
        );
    }

    /// If the window is over, starts a new one, and logs the flows that were reset in the last one and how many
    /// decisions were left out.
    pub(crate) fn advance_window(&mut self, now: Millis) {
        if now.since(self.window_start) < WINDOW {
            return;
        }
        self.window_start = now;
        self.resets.write();
        for (reason, count) in std::mem::take(&mut self.line_counts) {
            let left_out = count.saturating_sub(max_lines(reason));
            if left_out > 0 {
                log::warn!(
                    target: LOG_TARGET,
                    reason = reason.name(),
                    count = left_out;
                    "decisions left out"
                );
            }
        }
    }
}

/// Level of the lines about a decision. Operators look for an instance that comes and goes, or for a second writer of heartbeats,
/// before they know of a flow.
const fn level(reason: Reason) -> Level {
    match reason {
        Reason::MemberLost | Reason::MemberReturned | Reason::HeartbeatIgnored => Level::Warn,
        _ => Level::Info,
    }
}

/// Maximum number of lines about a decision in one second.
const fn max_lines(reason: Reason) -> u32 {
    match level(reason) {
        Level::Warn => MAX_WARNINGS_PER_SECOND,
        _ => MAX_LINES_PER_SECOND,
    }
}

/// Displays an optional value, or `-` for `None`.
pub(crate) struct OrDash<T>(pub(crate) Option<T>);

impl<T: fmt::Display> fmt::Display for OrDash<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(f),
            None => f.write_str("-"),
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/decision_log.rs"]
mod tests;
