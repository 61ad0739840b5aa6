//! The history of one flow.

use std::collections::BTreeSet;
use std::fmt;

use super::log_line::LogLine;

/// The lines about the flow of one caller, and on request those that concern no flow.
pub(super) struct History {
    caller: String,
    has_beliefs: bool,
    lines: Vec<LogLine>,
}

impl History {
    pub(super) const fn new(caller: String, has_beliefs: bool) -> Self {
        Self {
            caller,
            has_beliefs,
            lines: Vec::new(),
        }
    }

    /// Adds a line if it belongs to the history.
    pub(super) fn add(&mut self, line: LogLine) {
        let is_selected = match line.caller() {
            Some(caller) => caller == self.caller,
            None => self.has_beliefs,
        };
        if is_selected {
            self.lines.push(line);
        }
    }

    /// Sorts the lines by time.
    pub(super) fn sort(&mut self) {
        self.lines
            .sort_by(|a, b| (&a.timestamp, a.kvs.n).cmp(&(&b.timestamp, b.kvs.n)));
    }
}

impl fmt::Display for History {
    /// Writes the lines and marks the one that ended the flow: the first that resets it, or the first
    /// after the port was used for another flow.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut ended_routes = BTreeSet::new();
        for line in &self.lines {
            let route = line.kvs.route.as_str();
            if line.kvs.reason == "admitted" {
                ended_routes.remove(route);
            }
            let is_end = line.resets_flow() && ended_routes.insert(route);
            writeln!(f, "{line}{}", if is_end { mark(line) } else { "" })?;
        }
        if self.lines.is_empty() {
            writeln!(f, "no line about {}", self.caller)?;
        }
        Ok(())
    }
}

/// Returns the mark of the line that ended the flow.
fn mark(line: &LogLine) -> &'static str {
    if line.ends_open_flow() && line.evidence().is_none() {
        " <- ended the flow, without evidence"
    } else {
        " <- ended the flow"
    }
}
