//! Reads the log files of many processes, one line at a time.

use std::collections::BTreeMap;
use std::fmt;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::path::{Path, PathBuf};

use anyhow::Context;

use super::log_line::LogLine;

/// Maximum length of a line that is read.
const MAX_LINE_BYTES: u64 = 16 * 1_024;

/// Log files, in the order in which they were named.
pub(super) struct LogFiles {
    files: Vec<LogFile>,
}

struct LogFile {
    path: PathBuf,
    /// Name of the process in lines that do not name it.
    process: String,
}

/// What is missing in the lines that were read.
#[derive(Debug, Default)]
pub(super) struct Gaps {
    unreadable: u64,
    /// Lines that processes dropped because nothing read their output.
    dropped: u64,
}

impl LogFiles {
    /// Names the processes after their files, and after the folders too where files have the same
    /// name.
    pub(super) fn new(paths: Vec<PathBuf>) -> Self {
        let mut counts = BTreeMap::<String, usize>::new();
        for path in &paths {
            *counts.entry(stem(path)).or_default() += 1;
        }
        let files = paths.into_iter().map(|path| LogFile {
            process: process_name(&path, counts[&stem(&path)] > 1),
            path,
        });
        Self {
            files: files.collect(),
        }
    }

    /// Calls `visit` with each line that can be parsed.
    pub(super) fn read(&self, mut visit: impl FnMut(LogLine)) -> anyhow::Result<Gaps> {
        let mut gaps = Gaps::default();
        for file in &self.files {
            file.read(&mut visit, &mut gaps)
                .with_context(|| file.path.display().to_string())?;
        }
        Ok(gaps)
    }
}

impl LogFile {
    fn read(&self, visit: &mut impl FnMut(LogLine), gaps: &mut Gaps) -> io::Result<()> {
        let mut reader = BufReader::new(File::open(&self.path)?);
        let mut bytes = Vec::new();
        while read_line(&mut reader, &mut bytes)? {
            let text = std::str::from_utf8(&bytes).ok();
            match text.and_then(|text| LogLine::parse(text, &self.process)) {
                Some(line) if !line.timestamp.is_empty() => visit(line),
                Some(line) if line.message == "log lines were dropped" => {
                    gaps.dropped += line.kvs.count;
                }
                _ => gaps.unreadable += 1,
            }
        }
        Ok(())
    }
}

impl fmt::Display for Gaps {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.unreadable > 0 {
            let count = self.unreadable;
            writeln!(f, "{count} lines could not be read and were skipped")?;
        }
        if self.dropped > 0 {
            let count = self.dropped;
            writeln!(f, "{count} lines were dropped by their processes")?;
        }
        Ok(())
    }
}

/// Reads the next line, cut off at the maximum length; returns whether there was one.
fn read_line(reader: &mut impl BufRead, line: &mut Vec<u8>) -> io::Result<bool> {
    line.clear();
    let mut limited = reader.by_ref().take(MAX_LINE_BYTES);
    limited.read_until(b'\n', line)?;
    let is_cut = limited.limit() == 0 && line.last() != Some(&b'\n');
    if is_cut {
        reader.skip_until(b'\n')?;
    }
    Ok(!line.is_empty())
}

fn stem(path: &Path) -> String {
    let stem = path.file_stem().unwrap_or_default();
    stem.to_string_lossy().into_owned()
}

fn process_name(path: &Path, is_ambiguous: bool) -> String {
    let folder = path.parent().and_then(Path::file_name);
    match folder.filter(|_| is_ambiguous) {
        Some(folder) => format!("{}/{}", folder.to_string_lossy(), stem(path)),
        None => stem(path),
    }
}
