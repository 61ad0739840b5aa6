//! State of the local backend server, as the agent observes it.

mod admissions;
mod contender;
mod heartbeat;
mod liveness;
mod phase;
mod signs;
mod start;

use super::{Evidence, Role, ServiceTag, Setup};
use crate::id::BootId;
use crate::time::Millis;
use admissions::Admissions;
use contender::Contender;
pub use heartbeat::{BackendHeartbeat, Heard};
use liveness::Liveness;
pub use signs::Connection;
use signs::{Duty, Signs};
use start::Start;

/// Time for which packets that the backend server sent before its end may still arrive.
pub(super) const LATE_PACKET_TIME: Millis = Millis(100);

/// State of a backend server by its heartbeats, apart from silence, cold start and its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendState {
    /// No heartbeat has been received yet.
    #[default]
    Unknown,
    /// It accepts new flows.
    Ready,
    /// It is leaving and accepts no new flows.
    Draining,
}

/// What only the next heartbeat of a backend server settles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doubt {
    /// It announced its end, or the announcement was meant for an earlier boot of the same name.
    Exiting,
    /// It refused connections, or was taken for ended and sent a packet since. Neither a packet nor an
    /// accepted connection tells which boot that is.
    Unheard,
}

/// The local backend server, as its heartbeats describe it, and the flows that it was given. Those count
/// for the boot after as well: a backend server that restarts within a second is the same to its callers.
#[derive(Clone, Debug, Default)]
pub struct Backend {
    id: String,
    boot: BootId,
    seq: u64,
    service: ServiceTag,
    state: BackendState,
    signs: Signs,
    /// What showed its end, and when.
    end: Option<(Evidence, Millis)>,
    /// Why it gets no new flows until its next heartbeat, if there is a reason.
    doubt: Option<Doubt>,
    /// Another one at the same address.
    contender: Option<Contender>,
    last_heartbeat: Millis,
    cold_until: Millis,
    /// Whether the backend server may have become cold since the last heartbeat: its zone has returned to service, or it
    /// has refused a connection, as while it starts.
    may_be_cold: bool,
    slots: u16,
    start: Start,
    /// When this process started, by the clock that its backend server uses as well.
    process_start: BootId,
    /// Service that the settings of this process name.
    expected_service: Option<ServiceTag>,
    /// Boot that an earlier process of the agent knew last; zero if none is known of.
    earlier_boot: BootId,
    /// Whether it answered a packet before its first heartbeat, and so held flows then.
    has_served: bool,
    /// Up to when the boot is known to have run.
    liveness: Liveness,
    /// Interval at which heartbeats are due.
    interval: Millis,
    admissions: Admissions,
}

impl Backend {
    /// A backend server of which a process that starts now, by these settings, knows nothing.
    #[must_use]
    pub fn new(setup: &Setup, now: Millis) -> Self {
        Self {
            process_start: setup.boot,
            interval: setup.heartbeat_interval,
            expected_service: match setup.role {
                Role::Agent(service) => Some(service),
                Role::Balancer => None,
            },
            admissions: Admissions::new(now),
            signs: Signs::new(now),
            ..Self::default()
        }
    }

    /// Applies a heartbeat, unless it is stale or comes from another backend server than the current one and that one lives.
    pub fn receive_heartbeat(&mut self, heartbeat: &BackendHeartbeat, now: Millis) -> Heard {
        match self.boot_of(heartbeat) {
            Some(boot) if boot > self.boot && self.is_in_place() => {
                self.hear_contender(heartbeat, now)
            }
            Some(_) if !self.is_expected(heartbeat) => self.hear_contender(heartbeat, now),
            Some(boot) => self.apply_heartbeat(heartbeat, boot, now),
            None => self.hear_contender(heartbeat, now),
        }
    }

    /// Whether the process of the known boot is still there, as far as is known: the connection to it is open, or it drains, which may
    /// close its port, and has not announced its end.
    fn is_in_place(&self) -> bool {
        let is_draining = self.state == BackendState::Draining && !self.is_exiting();
        !self.is_over() && (is_draining || self.is_connected())
    }

    /// Whether a heartbeat may be the first one that is believed. One of another service than that of the settings may have
    /// been held up since another backend server had the address.
    fn is_expected(&self, heartbeat: &BackendHeartbeat) -> bool {
        let is_expected = |service| service == heartbeat.service;
        let is_first = self.state == BackendState::Unknown && heartbeat.born.is_some();
        !is_first || self.expected_service.is_none_or(is_expected)
    }

    /// Whether the connection to the boot that is known is still open, so that its process lives.
    fn is_connected(&self) -> bool {
        self.state != BackendState::Unknown && self.signs.is_connected()
    }

    fn apply_heartbeat(
        &mut self,
        heartbeat: &BackendHeartbeat,
        boot: BootId,
        now: Millis,
    ) -> Heard {
        let is_current = boot <= self.boot;
        let is_first = self.boot == BootId::default();
        let was_connected = self.is_connected();
        let proven_until = self.liveness.until();
        if is_current {
            self.liveness.record_heartbeat(self.last_heartbeat);
        } else {
            self.start_boot(heartbeat, boot);
        }
        if is_first {
            self.liveness.begin(now);
        }
        // Of a boot that did not start now, the flows seen so far may be its own.
        let is_start = heartbeat.is_start() && self.is_tracked();
        let heard = if is_current {
            Heard::Current
        } else if is_first {
            Heard::First
        } else if !was_connected && is_start {
            Heard::Successor(proven_until)
        } else {
            Heard::Corrected
        };
        self.seq = heartbeat.seq;
        self.last_heartbeat = now;
        self.signs.record_heartbeat(now);
        self.end = None;
        self.doubt = None;
        self.slots = heartbeat.slots;
        self.cold_until = now + heartbeat.cold;
        self.may_be_cold &= self.signs.may_have_waited(now);
        self.state = if heartbeat.draining || self.state == BackendState::Draining {
            BackendState::Draining
        } else {
            BackendState::Ready
        };
        heard
    }

    /// Records that the backend server named `id` announced its end; returns whether it is the current one.
    ///
    /// Its process goes on serving its flows until it exits. A later heartbeat reverts this, as the
    /// announcement may be a late one of an earlier boot with the same name.
    pub fn announce_end(&mut self, id: &str, now: Millis) -> bool {
        let is_current = self.id == id && self.state != BackendState::Unknown;
        if is_current {
            self.doubt = Some(Doubt::Exiting);
            self.signs.record_announcement(now);
        }
        is_current
    }

    /// Records a packet from the backend server, which shows that it runs unless it is a late one; returns
    /// whether the backend server was taken for ended.
    pub fn record_packet(&mut self, is_bounced: bool, now: Millis) -> bool {
        self.has_served |= self.state == BackendState::Unknown && !is_bounced;
        if self.is_late(now) {
            return false;
        }
        self.signs.record_life(now);
        let was_over = self.end.take().is_some();
        if was_over {
            self.doubt.get_or_insert(Doubt::Unheard);
        }
        was_over
    }

    /// Records a packet that the backend server sent on a flow which has been open since this time.
    pub fn record_flow_packet(&mut self, opened_at: Millis, now: Millis) {
        self.liveness.record_packet(opened_at, now);
    }

    /// Whether it announced its end after its last heartbeat.
    fn is_exiting(&self) -> bool {
        self.doubt == Some(Doubt::Exiting)
    }

    /// Whether a packet that arrives now may have been sent before the ports were seen to refuse.
    fn is_late(&self, now: Millis) -> bool {
        let end = self.end.filter(|(e, _)| *e == Evidence::PortsRefused);
        end.is_some_and(|(_, at)| now.since(at) < LATE_PACKET_TIME)
    }

    /// Records that a packet that calls for an answer was delivered, which is no copy of an earlier one.
    pub fn record_delivery(&mut self, now: Millis) {
        if !self.is_over() {
            self.signs.record_delivery(now);
        }
    }

    /// Records what became of a connection to the backend server.
    pub fn record_connection(&mut self, connection: Connection, now: Millis) {
        let was_connected = self.signs.is_connected();
        self.signs.record_connection(connection, now);
        match connection {
            Connection::Accepted | Connection::AcceptedAgain => self.liveness.record_accepted(now),
            Connection::Closed if was_connected => self.liveness.record_closed(now),
            Connection::Closed | Connection::Refused => {}
        }
        if connection == Connection::Refused {
            self.doubt.get_or_insert(Doubt::Unheard);
        }
        // A close that is seen after a pause may have been followed by the start of another boot meanwhile.
        let may_have_restarted = match connection {
            Connection::AcceptedAgain => true,
            Connection::Closed => self.signs.may_have_waited(now),
            Connection::Accepted | Connection::Refused => false,
        };
        self.may_be_cold |= may_have_restarted;
    }

    /// Records that a packet to the backend server was refused.
    pub const fn record_refused_delivery(&mut self, now: Millis) {
        self.signs.record_refused_delivery(now);
    }

    /// Concludes from the signs observed so far whether the backend server has ended; returns the evidence
    /// if it counts as ended now and did not before. A heartbeat or packet reverts this. Flows may be idle for `idle_timeout`,
    /// if that is known.
    pub fn conclude_end(&mut self, idle_timeout: Option<Millis>, now: Millis) -> Option<Evidence> {
        let duty = match self.state {
            BackendState::Ready if !self.is_exiting() => Duty::Serve(self.interval),
            BackendState::Draining if !self.is_exiting() => Duty::Report(self.interval),
            _ => Duty::Nothing(idle_timeout),
        };
        let evidence = self.signs.check(duty, now);
        if self.is_over() {
            return None;
        }
        self.end = evidence.map(|evidence| (evidence, now));
        evidence
    }

    /// Whether it drains, so that it opens no further flows.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        matches!(self.state, BackendState::Draining)
    }

    /// Whether nothing listens at its address.
    #[must_use]
    pub const fn is_refusing(&self) -> bool {
        self.signs.is_refused()
    }

    /// Whether it announced its end and is not known to have ended.
    #[must_use]
    pub fn is_end_pending(&self) -> bool {
        self.is_exiting() && !self.is_over()
    }

    /// Whether the backend server has ended, and so holds no flows.
    #[must_use]
    pub const fn is_over(&self) -> bool {
        self.end.is_some()
    }

    /// What showed that the backend server has ended, and how long ago.
    #[must_use]
    pub fn end_evidence(&self, now: Millis) -> Option<(Evidence, Millis)> {
        self.end.map(|(evidence, at)| (evidence, now.since(at)))
    }

    /// Boot of the backend server; zero if none is known.
    #[must_use]
    pub const fn boot(&self) -> BootId {
        self.boot
    }

    /// Service of the backend server.
    #[must_use]
    pub const fn service(&self) -> ServiceTag {
        self.service
    }

    /// Requests that the backend server processes concurrently.
    #[must_use]
    pub const fn slots(&self) -> u16 {
        self.slots
    }

    /// Time since the last heartbeat.
    #[must_use]
    pub const fn age(&self, now: Millis) -> Millis {
        now.since(self.last_heartbeat)
    }

    /// Whether this process has seen every flow since the start of the backend server.
    #[must_use]
    pub fn is_tracked(&self) -> bool {
        self.start != Start::Unseen && !self.has_predecessor()
    }

    /// Whether an earlier process knew the same boot or a later one, and may have admitted flows, whatever the clock and the
    /// sequence number say.
    #[must_use]
    pub fn has_predecessor(&self) -> bool {
        self.earlier_boot != BootId::default() && self.earlier_boot >= self.boot
    }

    /// Records the boot that an earlier process of the agent knew last. Returns whether flows may be open that this process did
    /// not see, though it took the start of the backend server for seen.
    pub fn record_earlier_boot(&mut self, boot: BootId) -> bool {
        let was_tracked = self.is_tracked();
        self.earlier_boot = boot.max(self.earlier_boot);
        was_tracked && !self.is_tracked()
    }

    /// Whether the known boot is sure to hold, or to have held, a flow that opened at this time. Otherwise the flow may be one of
    /// the next boot, of which nothing is known yet.
    #[must_use]
    pub const fn is_proven_at(&self, opened_at: Millis) -> bool {
        opened_at.0 <= self.liveness.until().0
    }

    /// Records that the zone has returned to service. While it got no flows, the backend server may have become cold.
    pub const fn record_zone_return(&mut self) {
        self.may_be_cold = true;
    }

    /// Records that this process was paused at `since` and runs again.
    pub(super) const fn record_pause(&mut self, since: Millis) {
        self.liveness.record_pause(since);
    }

    /// Records that the machine has booted since an earlier process ran there.
    pub const fn record_machine_boot(&mut self) {
        self.admissions.record_machine_boot();
    }

    /// Whether a cold start that allows `limit` new flows per second allows one more. It does not while
    /// the admissions of the last second are not all known.
    pub fn has_cold_capacity(&mut self, limit: usize, now: Millis) -> bool {
        self.admissions.are_counted(self.start, now) && self.recent_admissions(now) < limit
    }

    /// Flows admitted within the last second.
    pub fn recent_admissions(&mut self, now: Millis) -> usize {
        self.admissions.recent(now)
    }

    /// Records the admission of a flow.
    pub fn record_admission(&mut self, now: Millis) {
        self.admissions.record(now);
    }

    /// Returns the boot that a heartbeat belongs to, unless the heartbeat is stale.
    fn boot_of(&self, heartbeat: &BackendHeartbeat) -> Option<BootId> {
        let is_same = self.id == heartbeat.id;
        let accepted = self.contender.as_ref().filter(|c| c.is_of(heartbeat));
        let boot = match heartbeat.born {
            Some(born) => accepted.and_then(|c| c.boot).unwrap_or(BootId(born)),
            None if is_same => self.boot,
            None => BootId(self.boot.0 + 1),
        };
        let is_unknown = self.state == BackendState::Unknown;
        let is_earlier = is_unknown && heartbeat.born.is_some() && boot < self.earlier_boot;
        if boot < self.boot || is_earlier {
            return None;
        }
        let is_current = boot == self.boot && !is_unknown;
        let is_stale = heartbeat.seq <= self.seq;
        (!is_current || !is_stale).then_some(boot)
    }

    /// Notes a heartbeat of another backend server than the current one, which is not known to have ended. After several of them without
    /// one of the current, it takes its place.
    fn hear_contender(&mut self, heartbeat: &BackendHeartbeat, now: Millis) -> Heard {
        if heartbeat.born.is_none_or(|born| BootId(born) == self.boot) {
            return Heard::Stale;
        }
        let Some(mut contender) = Contender::note(self.contender.as_ref(), heartbeat, now) else {
            return Heard::Stale;
        };
        let silence = now.since(self.last_heartbeat);
        let boot = contender.replace(self.boot, silence);
        self.contender = Some(contender);
        let Some(boot) = boot else {
            return Heard::Contender;
        };
        self.apply_heartbeat(heartbeat, boot, now)
    }

    fn start_boot(&mut self, heartbeat: &BackendHeartbeat, boot: BootId) {
        let is_first = self.boot == BootId::default();
        self.start = if self.has_served {
            Start::Unseen
        } else {
            Start::infer(heartbeat, self.process_start, is_first)
        };
        self.has_served = false;
        self.id.clone_from(&heartbeat.id);
        self.boot = boot;
        self.service = heartbeat.service;
        self.state = BackendState::Ready;
        self.signs.begin_boot();
    }
}
