//! Heartbeats of a backend server, and what becomes of them.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::datagram::ServiceTag;
use crate::time::Millis;

/// Highest sequence number by which a boot is heard that started beside this process.
const MAX_START_SEQ: u64 = 3;

/// One heartbeat of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendHeartbeat {
    /// Name of the backend server, as it reports itself.
    pub id: String,
    /// Start time of the backend server, in milliseconds of its wall clock.
    pub born: Option<u64>,
    /// Sequence number of the heartbeat within one boot.
    pub seq: u64,
    /// Service of the backend server.
    pub service: ServiceTag,
    /// Address at which the backend server receives packets.
    pub address: SocketAddrV4,
    /// Whether the backend server is leaving and accepts no new flows.
    pub draining: bool,
    /// Remaining time of the cold start.
    pub cold: Millis,
    /// Requests that the backend server processes concurrently.
    pub slots: u16,
}

/// What became of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It was older than the known state.
    Stale,
    /// It comes from another backend server than the current one, which is not known to have ended.
    Contender,
    /// It was the current boot's.
    Current,
    /// It is the first one that this process hears.
    First,
    /// It began another boot. The one before has ended, and with it the flows that opened before this time.
    Successor(Millis),
    /// It names another boot, to which the flows seen so far may belong: the end of the one before was not observed.
    Corrected,
}

impl BackendHeartbeat {
    /// Whether it is one of the heartbeats with which a backend server starts, of which some may be lost.
    #[must_use]
    pub const fn is_start(&self) -> bool {
        self.seq <= MAX_START_SEQ
    }
}
