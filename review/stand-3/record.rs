//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the time since the start; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(BufWriter::new(File::create(path)?))),
            started_at: Instant::now(),
        })
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>8.3} s  {text}", now as f64 / 1e3);
    }

    /// Writes a line to the terminal as well.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
        let _ = self.file.lock().unwrap().flush();
    }
}
