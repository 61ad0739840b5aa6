//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A record file; each line begins with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record file");
        Record {
            file: Arc::new(Mutex::new(BufWriter::new(file))),
            start: Instant::now(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: impl AsRef<str>) {
        let seconds = at.duration_since(self.start).as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {}", text.as_ref());
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
