//! Recording and reading of event traces.
//!
//! A trace holds a header, then one record for each event with a hash of the effects that it
//! caused. Replay feeds the events to a new reducer and compares the hashes.

use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, ErrorKind, Read, Write};
use std::path::Path;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use buckthornlink_core::id::stable_hash;
use buckthornlink_core::{Millis, agent, balancer};

/// Version of the trace format.
pub const FORMAT: u32 = 1;

const ZSTD_LEVEL: i32 = 9;
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);
const ZSTD_MAGIC: [u8; 4] = [0x28, 0xb5, 0x2f, 0xfd];

/// Header at the start of a trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceHeader {
    /// Version of the trace format.
    pub format: u32,
    /// Which reducer was recorded.
    pub role: TraceRole,
}

/// The recorded reducer, with its setup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TraceRole {
    /// A balancer.
    Balancer(balancer::Setup),
    /// An agent.
    Agent(agent::Setup),
}

/// One event of a trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceRecord<E> {
    /// Time at which the reducer handled the event.
    pub at: Millis,
    /// The event.
    pub event: E,
    /// Hash of the effects that the event caused.
    pub effects: u64,
}

/// Error while reading a trace.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The file cannot be read.
    #[error(transparent)]
    File(#[from] std::io::Error),
    /// The content does not decode as a trace.
    #[error("not a trace: {0}")]
    Malformed(#[from] rmp_serde::decode::Error),
    /// The trace has an unsupported format version.
    #[error("trace has format {0}; this program reads format {FORMAT}")]
    Format(u32),
}

/// Writes a trace on a dedicated thread. Dropping the recorder writes what is queued and closes
/// the file.
#[derive(Debug)]
pub struct Recorder {
    sender: Option<flume::Sender<Vec<u8>>>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.sender.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Recorder {
    /// Creates a trace file and starts the writer thread. A file whose name ends in `.zst` is
    /// compressed.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written or the thread cannot be started.
    pub fn create(path: &Path, role: TraceRole) -> anyhow::Result<Self> {
        let mut output = create_file(path)?;
        let header = TraceHeader {
            format: FORMAT,
            role,
        };
        output.write_all(&rmp_serde::to_vec(&header)?)?;
        output.flush()?;
        let (sender, receiver) = flume::unbounded();
        let thread = thread::Builder::new()
            .name("recorder".to_owned())
            .spawn(move || write_records(output, &receiver))?;
        Ok(Self {
            sender: Some(sender),
            thread: Some(thread),
        })
    }

    /// Queues one event with a hash of its effects for writing.
    pub fn record<E: Serialize + Clone, F: Serialize>(&self, at: Millis, event: &E, effects: &F) {
        let record = TraceRecord {
            at,
            event: event.clone(),
            effects: effects_hash(effects),
        };
        let Some(sender) = &self.sender else {
            return;
        };
        match rmp_serde::to_vec(&record) {
            Ok(bytes) => drop(sender.send(bytes)),
            Err(err) => log::error!(err:% = err; "cannot encode event for the trace"),
        }
    }
}

/// Reader of a trace.
pub struct TraceReader {
    input: Box<dyn BufRead>,
    header: TraceHeader,
}

impl TraceReader {
    /// Opens a trace, which may be compressed with zstd.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or is not a trace.
    pub fn open(path: &Path) -> Result<Self, TraceError> {
        let mut input = BufReader::new(File::open(path)?);
        let is_compressed = input.fill_buf()?.starts_with(&ZSTD_MAGIC);
        let mut input: Box<dyn BufRead> = if is_compressed {
            Box::new(BufReader::new(zstd::Decoder::with_buffer(input)?))
        } else {
            Box::new(input)
        };
        let header: TraceHeader = read_item(&mut input)?;
        if header.format != FORMAT {
            return Err(TraceError::Format(header.format));
        }
        Ok(Self { input, header })
    }

    /// Returns the header of the trace.
    #[must_use]
    pub const fn header(&self) -> &TraceHeader {
        &self.header
    }

    /// Reads the next event; returns `None` at the end. A truncated last event counts as the end.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or the next record does not decode as an event
    /// of type `E`.
    pub fn read<E: DeserializeOwned>(&mut self) -> Result<Option<TraceRecord<E>>, TraceError> {
        match self.input.fill_buf() {
            Ok([]) => return Ok(None),
            Ok(_) => {}
            Err(err) if err.kind() == ErrorKind::UnexpectedEof => return Ok(None),
            Err(err) => return Err(err.into()),
        }
        match read_item(&mut self.input) {
            Ok(record) => Ok(Some(record)),
            Err(err) if is_truncated(&err) => Ok(None),
            Err(err) => Err(err.into()),
        }
    }
}

type TraceWriter = Box<dyn Write + Send>;

fn create_file(path: &Path) -> std::io::Result<TraceWriter> {
    let file = BufWriter::new(File::create(path)?);
    if path.extension().is_some_and(|e| e == "zst") {
        let encoder = zstd::Encoder::new(file, ZSTD_LEVEL)?;
        return Ok(Box::new(encoder.auto_finish()));
    }
    Ok(Box::new(file))
}

/// Returns the hash of the effects of one event.
///
/// ```
/// use buckthornlink_node::trace::effects_hash;
///
/// assert_eq!(effects_hash(&[1, 2]), effects_hash(&[1, 2]));
/// ```
#[must_use]
pub fn effects_hash<F: Serialize>(effects: &F) -> u64 {
    let bytes = rmp_serde::to_vec(effects).unwrap_or_default();
    stable_hash(&bytes)
}

fn write_records(mut file: TraceWriter, receiver: &flume::Receiver<Vec<u8>>) {
    let mut last_flush = Instant::now();
    loop {
        let written = match receiver.recv_timeout(FLUSH_INTERVAL) {
            Ok(bytes) => file.write_all(&bytes),
            Err(flume::RecvTimeoutError::Timeout) => Ok(()),
            Err(flume::RecvTimeoutError::Disconnected) => break,
        };
        let is_due = last_flush.elapsed() >= FLUSH_INTERVAL;
        let result = if is_due {
            last_flush = Instant::now();
            written.and_then(|()| file.flush())
        } else {
            written
        };
        if let Err(err) = result {
            log::error!(err:% = err; "cannot write the trace; recording stops");
            return;
        }
    }
    if let Err(err) = file.flush() {
        log::error!(err:% = err; "cannot write the end of the trace");
    }
}

fn read_item<T: DeserializeOwned>(input: impl Read) -> Result<T, rmp_serde::decode::Error> {
    rmp_serde::from_read(input)
}

fn is_truncated(err: &rmp_serde::decode::Error) -> bool {
    use rmp_serde::decode::Error;
    match err {
        Error::InvalidMarkerRead(io) | Error::InvalidDataRead(io) => {
            io.kind() == ErrorKind::UnexpectedEof
        }
        _ => false,
    }
}
