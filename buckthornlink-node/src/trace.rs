//! Recorded event logs.
//!
//! A trace holds a header, then one record for each event with a hash of the effects that it
//! caused. Replay feeds the events to a new reducer and compares.

use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Read, Write};
use std::path::Path;
use std::thread;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use buckthornlink_core::id::stable_hash;
use buckthornlink_core::{Millis, agent, balancer};

/// Version of the trace format.
pub const FORMAT: u32 = 1;

const FLUSH_INTERVAL: Duration = Duration::from_secs(1);
const ZSTD_MAGIC: [u8; 4] = [0x28, 0xb5, 0x2f, 0xfd];

/// First item of a trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceHeader {
    /// Version of the format.
    pub format: u32,
    /// The reducer that was recorded.
    pub role: TraceRole,
}

/// The reducer that was recorded, with its setup.
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
    /// When it was reduced.
    pub at: Millis,
    /// The event.
    pub event: E,
    /// Hash of the effects.
    pub effects: u64,
}

/// Why a trace cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The file cannot be read.
    #[error(transparent)]
    File(#[from] std::io::Error),
    /// The content is not a trace.
    #[error("not a trace: {0}")]
    Malformed(#[from] rmp_serde::decode::Error),
    /// The trace has another format.
    #[error("trace has format {0}; this program reads format {FORMAT}")]
    Format(u32),
}

/// Writes a trace on a thread of its own.
#[derive(Clone, Debug)]
pub struct Recorder {
    sender: flume::Sender<Vec<u8>>,
}

impl Recorder {
    /// Starts a trace in a new file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn open(path: &Path, role: TraceRole) -> anyhow::Result<Self> {
        let mut file = BufWriter::new(File::create(path)?);
        let header = TraceHeader {
            format: FORMAT,
            role,
        };
        file.write_all(&rmp_serde::to_vec(&header)?)?;
        file.flush()?;
        let (sender, receiver) = flume::unbounded();
        thread::Builder::new()
            .name("recorder".to_owned())
            .spawn(move || write_all(file, &receiver))?;
        Ok(Self { sender })
    }

    /// Appends one event.
    pub fn record<E: Serialize + Clone, F: Serialize>(&self, at: Millis, event: &E, effects: &F) {
        let record = TraceRecord {
            at,
            event: event.clone(),
            effects: effects_hash(effects),
        };
        match rmp_serde::to_vec(&record) {
            Ok(bytes) => drop(self.sender.send(bytes)),
            Err(err) => log::error!(err:% = err; "event cannot be recorded"),
        }
    }
}

/// A trace that is being read.
pub struct TraceReader {
    input: Box<dyn BufRead>,
    header: TraceHeader,
}

impl TraceReader {
    /// Opens a trace, plain or compressed with zstd.
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

    /// What was recorded.
    #[must_use]
    pub const fn header(&self) -> &TraceHeader {
        &self.header
    }

    /// The next event, or `None` at the end. A last event that was cut short counts as the end.
    ///
    /// # Errors
    ///
    /// Returns an error if the content is not a trace of `E`.
    pub fn read<E: DeserializeOwned>(&mut self) -> Result<Option<TraceRecord<E>>, TraceError> {
        if self.input.fill_buf()?.is_empty() {
            return Ok(None);
        }
        match read_item(&mut self.input) {
            Ok(record) => Ok(Some(record)),
            Err(err) if is_cut_short(&err) => Ok(None),
            Err(err) => Err(err.into()),
        }
    }
}

/// Hash of the effects of one event.
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

fn write_all(mut file: BufWriter<File>, receiver: &flume::Receiver<Vec<u8>>) {
    loop {
        let written = match receiver.recv_timeout(FLUSH_INTERVAL) {
            Ok(bytes) => file.write_all(&bytes),
            Err(flume::RecvTimeoutError::Timeout) => file.flush(),
            Err(flume::RecvTimeoutError::Disconnected) => break,
        };
        if let Err(err) = written {
            log::error!(err:% = err; "trace cannot be written");
            return;
        }
    }
    if let Err(err) = file.flush() {
        log::error!(err:% = err; "trace cannot be written");
    }
}

fn read_item<T: DeserializeOwned>(input: impl Read) -> Result<T, rmp_serde::decode::Error> {
    rmp_serde::from_read(input)
}

fn is_cut_short(err: &rmp_serde::decode::Error) -> bool {
    use rmp_serde::decode::Error;
    match err {
        Error::InvalidMarkerRead(io) | Error::InvalidDataRead(io) => {
            io.kind() == std::io::ErrorKind::UnexpectedEof
        }
        _ => false,
    }
}
