//! Signs that a backend server runs or has ended, as its agent observes them.
//!
//! Connections that are refused show that it stopped to listen, which it may do long before its end. So the
//! end needs a second sign beside them: the port of its packets refuses too, or nothing comes from it any
//! more although something is due. Each sign of life voids the earlier signs of the end.

use crate::datagram::Evidence;
use crate::time::Millis;

/// Time without a heartbeat or packet after which a backend server to which connections are refused has
/// ended, in tenths of the heartbeat interval: two heartbeats are missing.
const ABSENCE_TIMEOUT_TENTHS: u64 = 25;
/// Time without an answer to any packet after which a backend server to which connections are refused has
/// ended.
const ANSWER_TIMEOUT: Millis = Millis(800);
/// Minimum unanswered packets for [`ANSWER_TIMEOUT`] to apply; one request may take longer than that.
const MIN_UNANSWERED: u16 = 3;
/// Time for which an end that is inferred from silence has to last, so that packets which wait in the socket
/// are read before.
const CONFIRMATION_TIME: Millis = Millis(100);
/// Maximum time between a refused packet and a refused connection that show the end together.
const MAX_REFUSAL_GAP: Millis = Millis(1_000);
/// Time between two checks from which on this process may have missed signs of life in between, since it
/// was paused; ticks are due twice as often.
const MAX_CHECK_GAP: Millis = Millis(400);

/// Time within which a process that was paused handles the heartbeats that waited for it.
const DRAIN_TIME: Millis = Millis(1_000);

/// What a backend server that lives does, and whose absence beside refused connections shows its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Duty {
    /// It listens, answers, and sends heartbeats at this interval.
    Serve(Millis),
    /// It sends heartbeats at this interval, but may have closed its port.
    Report(Millis),
    /// Nothing, for as long as its flows may be idle, if that is known.
    Nothing(Option<Millis>),
}

/// The idle connection to the backend server, or an attempt to open it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// The backend server accepted it.
    Accepted,
    /// The same, after it had refused one, which was not reported.
    AcceptedAgain,
    /// The backend server closed it.
    Closed,
    /// Nothing accepts connections at the backend server's address.
    Refused,
}

impl Connection {
    /// Whether the backend server listens.
    #[must_use]
    pub const fn is_accepted(self) -> bool {
        matches!(self, Self::Accepted | Self::AcceptedAgain)
    }
}

/// Signs of life and of the end of one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Signs {
    /// When it last sent a heartbeat, a packet or the announcement of its end; at first, when this process
    /// started.
    last_sign: Millis,
    /// What became of the connection last.
    connection: Option<Connection>,
    /// Whether it was lost since the last heartbeat.
    is_broken: bool,
    /// When a packet was refused last, since the last sign of life.
    delivery_refused: Option<Millis>,
    /// When the first unanswered packet was delivered without a connection.
    unanswered_since: Option<Millis>,
    /// Number of those packets, at most [`MIN_UNANSWERED`].
    unanswered: u16,
    /// Since when silence has shown the end.
    inferred_since: Option<Millis>,
    last_check: Millis,
    /// When this process went on after it was last paused.
    resumed_at: Option<Millis>,
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
        self.delivery_refused = None;
        self.unanswered_since = None;
        self.unanswered = 0;
        self.inferred_since = None;
    }

    /// Records a heartbeat, whose sender holds the connection if there is one.
    pub(super) fn record_heartbeat(&mut self, now: Millis) {
        self.record_life(now);
        if self.is_accepted() {
            self.is_broken = false;
        }
    }

    /// Whether the connection to the sender of the last heartbeat is still open, so that its process lives.
    pub(super) fn is_connected(&self) -> bool {
        self.is_accepted() && !self.is_broken
    }

    fn is_accepted(&self) -> bool {
        self.connection.is_some_and(Connection::is_accepted)
    }

    /// Records that the backend server announced its end, up to which it may be silent.
    pub(super) const fn record_announcement(&mut self, now: Millis) {
        self.last_sign = now;
    }

    /// Records that another boot has begun, whose port nothing is known about.
    pub(super) fn begin_boot(&mut self) {
        self.connection = self.connection.filter(|c| c.is_accepted());
    }

    pub(super) const fn record_connection(&mut self, connection: Connection, now: Millis) {
        let is_accepted = connection.is_accepted();
        self.connection = Some(connection);
        self.is_broken |= !is_accepted;
        match connection {
            Connection::Accepted | Connection::AcceptedAgain => self.record_life(now),
            Connection::Closed => self.last_sign = now,
            Connection::Refused => {}
        }
    }

    /// Records that a packet that calls for an answer was delivered, which is no copy of an earlier one.
    pub(super) fn record_delivery(&mut self, now: Millis) {
        let is_lost = self.connection.is_some_and(|c| !c.is_accepted());
        if is_lost {
            self.unanswered_since.get_or_insert(now);
            self.unanswered = MIN_UNANSWERED.min(self.unanswered + 1);
        }
    }

    /// Records that a packet was refused, since nothing receives packets at the address.
    pub(super) const fn record_refused_delivery(&mut self, now: Millis) {
        self.delivery_refused = Some(now);
    }

    /// Whether a heartbeat that arrives now may have waited while this process was paused.
    pub(super) fn may_have_waited(&self, now: Millis) -> bool {
        let resumed = self.resumed_at;
        resumed.is_some_and(|at| now.since(at) < DRAIN_TIME)
    }

    /// Whether connections are refused.
    pub(super) const fn is_refused(&self) -> bool {
        matches!(self.connection, Some(Connection::Refused))
    }

    /// Returns what shows that the backend server has ended, if anything. To be called with every tick.
    pub(super) fn check(&mut self, duty: Duty, now: Millis) -> Option<Evidence> {
        self.exclude_gap(now);
        if !self.is_refused() {
            return None;
        }
        if self.has_refused_delivery(now) {
            return Some(Evidence::PortsRefused);
        }
        let inferred = self.infer_end(duty, now);
        let since = inferred.map(|_| self.inferred_since.unwrap_or(now));
        self.inferred_since = since;
        inferred.filter(|_| since.is_some_and(|at| now.since(at) >= CONFIRMATION_TIME))
    }

    fn has_refused_delivery(&self, now: Millis) -> bool {
        let at = self.delivery_refused;
        at.is_some_and(|at| now.since(at) <= MAX_REFUSAL_GAP)
    }

    /// Returns the evidence that lies in the silence of a backend server to which connections are refused.
    fn infer_end(&self, duty: Duty, now: Millis) -> Option<Evidence> {
        let unanswered_for = self.unanswered_since.map_or(Millis(0), |at| now.since(at));
        let is_serving = matches!(duty, Duty::Serve(_));
        if is_serving && self.unanswered >= MIN_UNANSWERED && unanswered_for >= ANSWER_TIMEOUT {
            return Some(Evidence::Unanswered);
        }
        let timeout = match duty {
            Duty::Serve(interval) | Duty::Report(interval) => {
                Millis(interval.0 * ABSENCE_TIMEOUT_TENTHS / 10)
            }
            Duty::Nothing(idle_timeout) => idle_timeout?,
        };
        let silent_for = now.since(self.last_sign) + CONFIRMATION_TIME;
        (silent_for > timeout).then_some(Evidence::Silent)
    }

    /// Leaves a time in which this process was paused, which ends now, out of the silence.
    fn exclude_gap(&mut self, now: Millis) {
        let gap = now.since(self.last_check);
        self.last_check = now;
        if gap > MAX_CHECK_GAP {
            self.resumed_at = Some(now);
            self.last_sign = now.min(self.last_sign + gap);
            self.unanswered_since = self.unanswered_since.map(|at| now.min(at + gap));
            self.inferred_since = None;
        }
    }
}
