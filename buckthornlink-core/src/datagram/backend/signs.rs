//! Signs that a backend server runs or has ended, as its agent observes them.
//!
//! Connections that are refused show that it stopped to listen, which it may do long before its end. So the
//! end needs a second sign beside them: the port of its packets refuses too, or nothing comes from it any
//! more although something is due. Each sign of life voids the earlier signs of the end.

use crate::datagram::Evidence;
use crate::time::Millis;

/// Time without a heartbeat or packet after which a backend server to which connections are refused has
/// ended, in tenths of the heartbeat interval: two heartbeats are missing.
const SILENCE_TIMEOUT_TENTHS: u64 = 25;
/// The same for one that has announced its end, and so sends no more heartbeats: the time that its process
/// may take to exit.
const EXIT_TIMEOUT: Millis = Millis(3_000);
/// Time without an answer to packets that call for one after which a backend server to which connections
/// are refused has ended; a caller retransmits within it.
const ANSWER_TIMEOUT: Millis = Millis(500);
/// Minimum unanswered packets for [`ANSWER_TIMEOUT`] to apply.
const MIN_UNANSWERED: u16 = 3;
/// Time between two checks from which on this process may have missed signs of life in between, since it
/// was paused; ticks are due twice as often.
const MAX_CHECK_GAP: Millis = Millis(400);

/// The idle connection to the backend server, or an attempt to open it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// The backend server accepted it.
    Accepted,
    /// The backend server closed it.
    Closed,
    /// Nothing accepts connections at the backend server's address.
    Refused,
}

/// Signs of life and of the end of one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Signs {
    /// When it last sent a heartbeat, a packet or the announcement of its end; at first, when this process
    /// started.
    last_sign: Millis,
    /// What became of the connection last.
    connection: Option<Connection>,
    /// Whether a packet was refused since the last sign of life.
    is_delivery_refused: bool,
    /// When the first unanswered packet that calls for an answer was delivered without a connection.
    unanswered_since: Option<Millis>,
    /// Number of those packets, at most [`MIN_UNANSWERED`].
    unanswered: u16,
    last_check: Millis,
}

impl Signs {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            last_sign: now,
            last_check: now,
            ..Self::default()
        }
    }

    /// Records a heartbeat or packet of the backend server.
    pub(super) const fn record_life(&mut self, now: Millis) {
        self.last_sign = now;
        self.is_delivery_refused = false;
        self.unanswered_since = None;
        self.unanswered = 0;
    }

    /// Records that the backend server announced its end, up to which it may be silent.
    pub(super) const fn record_announcement(&mut self, now: Millis) {
        self.last_sign = now;
    }

    /// Records that another boot has begun, whose port nothing is known about.
    pub(super) fn record_start(&mut self) {
        self.connection = self.connection.filter(|c| *c == Connection::Accepted);
    }

    pub(super) const fn record_connection(&mut self, connection: Connection) {
        self.connection = Some(connection);
    }

    /// Records that a packet that calls for an answer was delivered.
    pub(super) fn record_delivery(&mut self, now: Millis) {
        let is_lost = self.connection.is_some_and(|c| c != Connection::Accepted);
        if is_lost {
            self.unanswered_since.get_or_insert(now);
            self.unanswered = MIN_UNANSWERED.min(self.unanswered + 1);
        }
    }

    /// Records that a packet was refused, since nothing receives packets at the address.
    pub(super) const fn record_refused_delivery(&mut self) {
        self.is_delivery_refused = true;
    }

    /// Whether connections are refused.
    pub(super) const fn is_refused(&self) -> bool {
        matches!(self.connection, Some(Connection::Refused))
    }

    /// Returns what shows that the backend server has ended, if anything. To be called with every tick.
    pub(super) fn check(&mut self, interval: Option<Millis>, now: Millis) -> Option<Evidence> {
        let is_gap = now.since(self.last_check) > MAX_CHECK_GAP;
        self.last_check = now;
        if is_gap {
            self.restart(now);
        }
        if !self.is_refused() {
            return None;
        }
        let unanswered_for = self.unanswered_since.map_or(Millis(0), |at| now.since(at));
        let timeout = interval.map_or(EXIT_TIMEOUT, |interval| {
            Millis(interval.0 * SILENCE_TIMEOUT_TENTHS / 10)
        });
        if self.is_delivery_refused {
            Some(Evidence::PortsRefused)
        } else if self.unanswered >= MIN_UNANSWERED && unanswered_for >= ANSWER_TIMEOUT {
            Some(Evidence::Unanswered)
        } else {
            (now.since(self.last_sign) > timeout).then_some(Evidence::Silent)
        }
    }

    /// Begins to wait for signs of life anew.
    const fn restart(&mut self, now: Millis) {
        self.last_sign = now;
        self.unanswered_since = None;
        self.unanswered = 0;
    }
}
