//! One line of a process's log.

use std::fmt;

use serde::Deserialize;

/// Reasons of decisions that end an open flow.
const OPEN_FLOW_ENDS: [&str; 3] = ["backend_over", "denied_by_all", "flow_lost"];
/// Reasons of other decisions on which a flow is reset.
const REFUSALS: [&str; 2] = ["no_agent", "no_route"];

/// The fields of a log line that are used here.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct LogLine {
    /// Empty in the line that counts dropped lines.
    #[serde(default)]
    pub(super) timestamp: String,
    pub(super) message: String,
    #[serde(default)]
    pub(super) kvs: KeyValues,
    #[serde(skip)]
    pub(super) process: String,
}

/// Keys of the lines about decisions; `-` stands for a value that does not apply.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct KeyValues {
    /// Sequence number of the decision, starting anew with each start of the process.
    pub(super) n: u64,
    pub(super) reason: String,
    pub(super) caller: String,
    pub(super) route: String,
    pub(super) peer: String,
    pub(super) phase: String,
    pub(super) version: u64,
    pub(super) age_ms: u64,
    /// What shows the end that the line is about.
    pub(super) evidence: String,
    /// How the evidence came about.
    pub(super) basis: String,
    /// Why a packet that was tried at the backend server was sent to the process.
    pub(super) mode: String,
    /// Earlier tries of the flow by the process.
    pub(super) tries: String,
    /// Number of lines that were left out or dropped.
    pub(super) count: u64,
}

impl LogLine {
    /// Parses a line. The last word before the JSON object, such as a log collector's column, names
    /// the process; without one, `process` does.
    pub(super) fn parse(text: &str, process: &str) -> Option<Self> {
        let start = text.find('{')?;
        let mut line: Self = serde_json::from_str(&text[start..]).ok()?;
        let column = text[..start].split_whitespace().last();
        column.unwrap_or(process).clone_into(&mut line.process);
        Some(line)
    }

    /// Caller of the flow that the line is a decision about, if it is one.
    pub(super) fn caller(&self) -> Option<&str> {
        let caller = applicable(&self.kvs.caller)?;
        (self.message == "decision").then_some(caller)
    }

    /// Evidence of the end that the line is about, if it names any.
    pub(super) fn evidence(&self) -> Option<&str> {
        applicable(&self.kvs.evidence)
    }

    /// Whether the line is a decision that ends an open flow. Evidence for the end of a flow shows it,
    /// whatever the reason; so does a reason that does not occur otherwise, even without evidence.
    pub(super) fn ends_open_flow(&self) -> bool {
        self.caller().is_some() && (self.evidence().is_some() || self.has_end_reason())
    }

    /// Whether the line is a decision on which its flow, open or not, is reset.
    pub(super) fn resets_flow(&self) -> bool {
        let is_refusal = REFUSALS.contains(&self.kvs.reason.as_str());
        self.ends_open_flow() || (self.caller().is_some() && is_refusal)
    }

    /// Number of ends of open flows that the rate limit kept out of the log, if the line tells one.
    pub(super) fn left_out_ends(&self) -> Option<u64> {
        let is_about_ends = self.message == "decisions left out" && self.has_end_reason();
        is_about_ends.then_some(self.kvs.count)
    }

    fn has_end_reason(&self) -> bool {
        OPEN_FLOW_ENDS.contains(&self.kvs.reason.as_str())
    }
}

/// Returns a value, unless it is missing or does not apply.
fn applicable(value: &str) -> Option<&str> {
    (!value.is_empty() && value != "-").then_some(value)
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let KeyValues {
            reason,
            route,
            peer,
            phase,
            version,
            age_ms,
            basis,
            tries,
            ..
        } = &self.kvs;
        let event = if self.message == "decision" {
            reason
        } else {
            &self.message
        };
        write!(
            f,
            "{} {} {event} route={route} peer={peer} phase={phase} version={version} age_ms={age_ms}",
            self.timestamp, self.process
        )?;
        if let Some(evidence) = self.evidence() {
            write!(f, " evidence={evidence} basis={basis}")?;
        }
        if let Some(mode) = applicable(&self.kvs.mode) {
            write!(f, " mode={mode} tries={tries}")?;
        }
        Ok(())
    }
}
