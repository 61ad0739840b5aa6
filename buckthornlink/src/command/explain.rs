//! `buckthornlink explain`.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use anyhow::Context;
use serde::Deserialize;

use super::CommandResult;

#[derive(Debug, clap::Args)]
pub(super) struct Arguments {
    /// Address and port of the caller, as in the log of the caller or the backend server
    #[arg(long, value_name = "ADDRESS:PORT")]
    flow: String,
    /// Also show lines that concern no flow: versions, zones, instances, starts and stops
    #[arg(long)]
    beliefs: bool,
    /// Log files of the processes, one or more
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

/// The fields of a log line that are used here.
#[derive(Clone, Debug, Deserialize)]
struct LogLine {
    timestamp: String,
    message: String,
    #[serde(default)]
    kvs: KeyValues,
    #[serde(skip)]
    process: String,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct KeyValues {
    /// Sequence number of the decision, starting anew with each start of the process.
    n: u64,
    reason: String,
    caller: String,
    route: String,
    peer: String,
    phase: String,
    version: u64,
    age_ms: u64,
    /// What shows the end that the line is about, and whether that was observed; `-` in other lines.
    evidence: String,
    basis: String,
}

impl Arguments {
    pub(super) fn run(self) -> CommandResult {
        let mut lines = Vec::new();
        let mut skipped = 0;
        for path in &self.files {
            skipped += read_lines(path, &mut lines)?;
        }
        lines.retain(|line| self.is_selected(line));
        lines.sort_by(|a, b| (&a.timestamp, a.kvs.n).cmp(&(&b.timestamp, b.kvs.n)));
        for line in &lines {
            println!("{}", format_line(line));
        }
        if lines.is_empty() {
            println!("no line about {}", self.flow);
        }
        if skipped > 0 {
            println!("{skipped} lines could not be read and were skipped");
        }
        Ok(())
    }

    fn is_selected(&self, line: &LogLine) -> bool {
        if line.message == "decision" && line.kvs.caller != "-" {
            return line.kvs.caller == self.flow;
        }
        self.beliefs
    }
}

/// Adds the lines of a file to `lines`, and returns how many could not be parsed.
fn read_lines(path: &Path, lines: &mut Vec<LogLine>) -> anyhow::Result<usize> {
    let file = File::open(path).with_context(|| path.display().to_string())?;
    let name = path.file_stem().unwrap_or_default().to_string_lossy();
    let mut skipped = 0;
    for text in BufReader::new(file).lines() {
        match text.ok().and_then(|text| parse_line(&text, &name)) {
            Some(line) => lines.push(line),
            None => skipped += 1,
        }
    }
    Ok(skipped)
}

/// Parses a line. The last word before the JSON object, such as a log collector's column, names the
/// process; without one, `file` does.
fn parse_line(text: &str, file: &str) -> Option<LogLine> {
    let start = text.find('{')?;
    let mut line: LogLine = serde_json::from_str(&text[start..]).ok()?;
    let column = text[..start].split_whitespace().last();
    column.unwrap_or(file).clone_into(&mut line.process);
    Some(line)
}

fn format_line(line: &LogLine) -> String {
    let KeyValues {
        reason,
        route,
        peer,
        phase,
        version,
        age_ms,
        evidence,
        basis,
        ..
    } = &line.kvs;
    let event = if line.message == "decision" {
        reason
    } else {
        &line.message
    };
    let line = format!(
        "{} {} {event} route={route} peer={peer} phase={phase} version={version} age_ms={age_ms}",
        line.timestamp, line.process
    );
    if evidence.is_empty() || evidence == "-" {
        return line;
    }
    format!("{line} evidence={evidence} basis={basis}")
}
