//! The history of one flow.

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
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        if self.lines.is_empty() {
            writeln!(f, "no line about {}", self.caller)?;
        }
        Ok(())
    }
}
