//! Counts of ended flows, by process and evidence.

use std::collections::BTreeMap;
use std::fmt;

use tabled::settings::Style;
use tabled::{Table, Tabled};

use super::log_line::LogLine;

/// Maximum number of rows; ends that need another one are only counted.
const MAX_ROWS: usize = 50_000;
/// Stands for the evidence of ends that name none.
const NO_EVIDENCE: &str = "(none)";
/// Stands for the evidence of ends that the rate limit kept out of the log.
const LEFT_OUT: &str = "(left out)";
/// Stands for a value that is not known.
const UNKNOWN: &str = "-";

/// The ended flows of all processes.
#[derive(Default)]
pub(super) struct EndTable {
    rows: BTreeMap<Key, Ends>,
    /// Ends beyond the maximum number of rows.
    without_row: u64,
}

/// What the ends of one row have in common.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    process: String,
    evidence: String,
    basis: String,
}

/// The ends of one row.
struct Ends {
    count: u64,
    first: String,
    last: String,
    /// Greatest age of the evidence in milliseconds.
    max_age: Option<u64>,
}

#[derive(Tabled)]
struct Row<'a> {
    process: &'a str,
    evidence: &'a str,
    basis: &'a str,
    count: u64,
    first: &'a str,
    last: &'a str,
    #[tabled(rename = "max age ms")]
    max_age: String,
}

impl EndTable {
    /// Counts a line if it tells of ends of open flows.
    pub(super) fn add(&mut self, line: &LogLine) {
        if line.ends_open_flow() {
            let evidence = line.evidence().unwrap_or(NO_EVIDENCE);
            let age = line.evidence().map(|_| line.kvs.age_ms);
            self.count(line, (evidence, &line.kvs.basis), 1, age);
        } else if let Some(count) = line.left_out_ends() {
            self.count(line, (LEFT_OUT, UNKNOWN), count, None);
        }
    }

    fn count(
        &mut self,
        line: &LogLine,
        (evidence, basis): (&str, &str),
        count: u64,
        age: Option<u64>,
    ) {
        let key = Key {
            process: line.process.clone(),
            evidence: evidence.to_owned(),
            basis: if basis.is_empty() { UNKNOWN } else { basis }.to_owned(),
        };
        if self.rows.len() >= MAX_ROWS && !self.rows.contains_key(&key) {
            self.without_row += count;
            return;
        }
        let ends = self.rows.entry(key).or_insert_with(|| Ends::new(line));
        ends.add(line, count, age);
    }

    fn total(&self, is_included: impl Fn(&Key) -> bool) -> u64 {
        let rows = self.rows.iter().filter(|(key, _)| is_included(key));
        rows.map(|(_, ends)| ends.count).sum()
    }
}

impl Ends {
    fn new(line: &LogLine) -> Self {
        Self {
            count: 0,
            first: line.timestamp.clone(),
            last: line.timestamp.clone(),
            max_age: None,
        }
    }

    fn add(&mut self, line: &LogLine, count: u64, age: Option<u64>) {
        self.count += count;
        self.max_age = self.max_age.max(age);
        if line.timestamp < self.first {
            self.first.clone_from(&line.timestamp);
        }
        if line.timestamp > self.last {
            self.last.clone_from(&line.timestamp);
        }
    }
}

impl<'a> From<(&'a Key, &'a Ends)> for Row<'a> {
    fn from((key, ends): (&'a Key, &'a Ends)) -> Self {
        Self {
            process: &key.process,
            evidence: &key.evidence,
            basis: &key.basis,
            count: ends.count,
            first: &ends.first,
            last: &ends.last,
            max_age: ends.max_age.map_or(UNKNOWN.to_owned(), |a| a.to_string()),
        }
    }
}

impl fmt::Display for EndTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.rows.is_empty() {
            let mut table = Table::new(self.rows.iter().map(Row::from));
            writeln!(f, "{}", table.with(Style::psql()))?;
        }
        let logged = self.total(|key| key.evidence != LEFT_OUT);
        let without = self.total(|key| key.evidence == NO_EVIDENCE);
        writeln!(f, "{logged} ends of flows, {without} without evidence")?;
        let left_out = self.total(|key| key.evidence == LEFT_OUT);
        if left_out > 0 {
            writeln!(f, "{left_out} more were left out of the logs")?;
        }
        if self.without_row > 0 {
            let count = self.without_row;
            writeln!(f, "{count} more are not in the table of {MAX_ROWS} rows")?;
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/explain_ends.rs"]
mod tests;
