//! Log appender with a bounded buffer in front of a non-blocking output.

use std::fmt::Debug;
use std::io;
use std::sync::{Mutex, PoisonError};

use logforth::append::Append;
use logforth::layout::{JsonLayout, Layout};
use logforth::record::Record;
use logforth::{Diagnostic, Error};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::stdio::stdout;

/// Limit of the buffered lines, in bytes.
const MAX_BUFFER_BYTES: usize = 256 * 1024;
/// Bytes per write; a pipe that polls as writable takes this many without blocking.
const PIPE_CHUNK_BYTES: usize = 4_096;

/// Destination that can be written to without blocking.
pub trait Output: Debug + Send + Sync + 'static {
    /// Writes a prefix of `bytes` and returns its length, or zero if the output would block.
    ///
    /// # Errors
    ///
    /// Returns an error if the write fails.
    fn write(&self, bytes: &[u8]) -> io::Result<usize>;
}

/// Standard output, polled before each write.
#[derive(Debug)]
pub struct PipeOutput(());

impl PipeOutput {
    /// Creates an output that writes to the standard output of the process.
    #[must_use]
    pub const fn stdout() -> Self {
        Self(())
    }
}

impl Output for PipeOutput {
    fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        let stdout = stdout();
        let mut fds = [PollFd::new(&stdout, PollFlags::OUT)];
        poll(&mut fds, Some(&Timespec::default()))?;
        if !fds[0].revents().contains(PollFlags::OUT) {
            return Ok(0);
        }
        let len = bytes.len().min(PIPE_CHUNK_BYTES);
        Ok(rustix::io::write(stdout, &bytes[..len])?)
    }
}

/// Appender of JSON lines that drops and counts the lines that do not fit its buffer.
#[derive(Debug)]
pub struct BufferedAppender<O> {
    layout: JsonLayout,
    output: O,
    buffer: Mutex<Buffer>,
}

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
}

impl<O: Output> BufferedAppender<O> {
    /// Creates an appender with an empty buffer that writes to `output`.
    #[must_use]
    pub fn new(output: O) -> Self {
        Self {
            layout: JsonLayout::default(),
            output,
            buffer: Mutex::default(),
        }
    }

    /// Buffers a line, or counts it as dropped if the buffer is full.
    pub fn push(&self, line: &[u8]) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + line.len() >= MAX_BUFFER_BYTES {
            buffer.dropped += 1;
            return;
        }
        buffer.bytes.extend_from_slice(line);
        buffer.bytes.push(b'\n');
    }

    /// Writes out as many bytes as the output takes. Once the buffer is empty, adds a line with the
    /// number of dropped lines, if any, for the next call to write.
    pub fn write_out(&self) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let mut written = 0;
        while written < buffer.bytes.len() {
            match self.output.write(&buffer.bytes[written..]) {
                Ok(0) | Err(_) => break,
                Ok(count) => written += count,
            }
        }
        buffer.bytes.drain(..written);
        if buffer.dropped > 0 && buffer.bytes.is_empty() {
            let dropped = std::mem::take(&mut buffer.dropped);
            let line = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines were dropped\",\"kvs\":{{\"count\":{dropped}}}}}\n"
            );
            buffer.bytes.extend_from_slice(line.as_bytes());
        }
    }
}

impl<O: Output> Append for BufferedAppender<O> {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let line = self.layout.format(record, diags)?;
        self.push(&line);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        self.write_out();
        Ok(())
    }
}
