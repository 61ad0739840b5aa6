//! Log lines about decisions, within a budget for each reason.

use std::collections::BTreeMap;
use std::fmt;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Decision, Reason};

/// Lines of one reason in one second.
const LINES_PER_SECOND: u32 = 200;
const SECOND: Millis = Millis(1_000);

/// Writes decisions to the log and counts those beyond the budget.
#[derive(Debug, Default)]
pub(crate) struct Journal {
    second: Millis,
    lines: BTreeMap<Reason, u32>,
    written: u64,
}

impl Journal {
    /// Writes a decision, or counts it if its reason's budget is used up.
    pub(crate) fn write(&mut self, decision: &Decision, now: Millis) {
        self.turn(now);
        let lines = self.lines.entry(decision.reason).or_default();
        *lines += 1;
        if *lines > LINES_PER_SECOND {
            return;
        }
        self.written += 1;
        let flow = decision.flow.as_ref();
        log::info!(
            n = self.written,
            reason = decision.reason.name(),
            caller:% = Shown(flow.map(|f| f.caller)),
            route:% = Shown(flow.map(|f| f.route)),
            peer:% = Shown(decision.peer),
            version = decision.version.0,
            age_ms = decision.age.0,
            phase:% = Shown(decision.phase.map(|p| format!("{p:?}")));
            "decision"
        );
    }

    /// Says what the last second left out, once it is over.
    pub(crate) fn turn(&mut self, now: Millis) {
        if now.since(self.second) < SECOND {
            return;
        }
        self.second = now;
        for (reason, lines) in std::mem::take(&mut self.lines) {
            let left_out = lines.saturating_sub(LINES_PER_SECOND);
            if left_out > 0 {
                log::warn!(reason = reason.name(), count = left_out; "decisions left out");
            }
        }
    }
}

/// An optional value; `-` stands for none.
struct Shown<T>(Option<T>);

impl<T: fmt::Display> fmt::Display for Shown<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(f),
            None => f.write_str("-"),
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/journal.rs"]
mod tests;
