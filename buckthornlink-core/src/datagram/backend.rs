//! State of the local backend server, as the agent observes it.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::{Evidence, Phase, ServiceTag};
use crate::id::BootId;
use crate::time::Millis;

/// Window over which admissions are counted.
const ADMISSION_WINDOW: Millis = Millis(1_000);
/// Time without a heartbeat after which a backend server counts as silent, in tenths of the
/// heartbeat interval.
const SILENCE_TIMEOUT_TENTHS: u64 = 16;
/// Time without a heartbeat or packet after which a backend server that may be leaving, and to which
/// connections are refused, counts as absent, in tenths of the heartbeat interval: two heartbeats are
/// missing.
const ABSENCE_TIMEOUT_TENTHS: u64 = 25;
/// Sequence number of the heartbeat with which a backend server starts. A process that hears a later one
/// first may have a predecessor that admitted flows.
const FIRST_SEQ: u64 = 1;

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
    /// Whether the backend server is leaving and accepts no new flows.
    pub draining: bool,
    /// Remaining time of the cold start.
    pub cold: Millis,
    /// Requests that the backend server processes concurrently.
    pub slots: u16,
}

/// State of a backend server, apart from silence and cold start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendState {
    /// No heartbeat has been received yet.
    #[default]
    Unknown,
    /// It accepts new flows.
    Ready,
    /// It is leaving and accepts no new flows.
    Draining,
    /// Nothing listens at its address, and nothing else shows that it runs.
    Absent,
    /// Its end has been reported.
    Ended,
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
    /// What showed its end, and when.
    end: Option<(Evidence, Millis)>,
    last_heartbeat: Millis,
    /// When it last sent a heartbeat or a packet; at first, when this process started.
    last_sign: Millis,
    cold_until: Millis,
    slots: u16,
    is_tracked: bool,
    /// Since when this process has counted the admissions; before, another process may have admitted
    /// flows.
    counted_since: Millis,
    admissions: VecDeque<Millis>,
}

impl Backend {
    /// A backend server of which a process that starts now knows nothing.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self {
            counted_since: now,
            last_sign: now,
            ..Self::default()
        }
    }

    /// Applies a heartbeat; returns whether it is newer than the known state.
    pub fn receive_heartbeat(&mut self, heartbeat: &BackendHeartbeat, now: Millis) -> bool {
        let Some(boot) = self.boot_of(heartbeat) else {
            return false;
        };
        if boot > self.boot {
            self.start_boot(heartbeat, boot);
        }
        self.seq = heartbeat.seq;
        self.last_heartbeat = now;
        self.last_sign = now;
        self.slots = heartbeat.slots;
        self.cold_until = now + heartbeat.cold;
        self.state = if heartbeat.draining || self.state == BackendState::Draining {
            BackendState::Draining
        } else {
            BackendState::Ready
        };
        true
    }

    /// Records that the backend server named `id` has ended; returns whether it is the current one.
    pub fn mark_ended(&mut self, id: &str, now: Millis) -> bool {
        let is_current = self.id == id && self.state != BackendState::Unknown;
        if is_current {
            self.state = BackendState::Ended;
            self.end = Some((Evidence::Announced, now));
        }
        is_current
    }

    /// Records a packet from the backend server, which shows that it runs.
    pub const fn record_packet(&mut self, now: Millis) {
        self.last_sign = now;
    }

    /// Records that connections to the backend server's address are refused; returns whether it counts
    /// as absent now and did not before.
    ///
    /// One that is ready accepts connections as long as it runs. One that is leaving may stop earlier and
    /// serve its flows on, and a process that has heard no heartbeat yet cannot tell the two apart. In
    /// both cases, heartbeats and packets have to be missing as well.
    ///
    /// A later heartbeat of the same boot reverts this.
    pub fn mark_absent(&mut self, interval: Millis, now: Millis) -> bool {
        let timeout = Millis(interval.0 * ABSENCE_TIMEOUT_TENTHS / 10);
        let is_new = match self.state {
            BackendState::Ready => true,
            BackendState::Unknown | BackendState::Draining => now.since(self.last_sign) > timeout,
            BackendState::Absent | BackendState::Ended => false,
        };
        if is_new {
            self.state = BackendState::Absent;
            self.end = Some((Evidence::ConnectionsRefused, now));
        }
        is_new
    }

    /// Whether the backend server is absent or has ended, and so holds no flows.
    #[must_use]
    pub const fn is_over(&self) -> bool {
        matches!(self.state, BackendState::Absent | BackendState::Ended)
    }

    /// What showed that the backend server is absent or has ended, and how long ago.
    #[must_use]
    pub fn end_evidence(&self, now: Millis) -> Option<(Evidence, Millis)> {
        let end = self.end.filter(|_| self.is_over());
        end.map(|(evidence, at)| (evidence, now.since(at)))
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
    pub const fn is_tracked(&self) -> bool {
        self.is_tracked
    }

    /// The phase that the agent reports, given the heartbeat interval.
    #[must_use]
    pub fn phase(&self, interval: Millis, now: Millis) -> Phase {
        let silence_timeout = Millis(interval.0 * SILENCE_TIMEOUT_TENTHS / 10);
        match self.state {
            BackendState::Unknown => Phase::Starting,
            BackendState::Absent | BackendState::Ended => Phase::Over,
            _ if self.age(now) > silence_timeout => Phase::Silent,
            BackendState::Draining => Phase::Draining,
            BackendState::Ready if now < self.cold_until => Phase::Cold,
            BackendState::Ready => Phase::Ready,
        }
    }

    /// Whether a cold start that allows `limit` new flows per second allows one more. It does not while
    /// the admissions of the last second are not all known.
    pub fn has_cold_capacity(&mut self, limit: usize, now: Millis) -> bool {
        let is_counted = now.since(self.counted_since) > ADMISSION_WINDOW;
        is_counted && self.recent_admissions(now) < limit
    }

    /// Flows admitted within the last second, at most 255.
    pub fn recent_admissions(&mut self, now: Millis) -> usize {
        while self
            .admissions
            .front()
            .is_some_and(|&at| now.since(at) > ADMISSION_WINDOW)
        {
            self.admissions.pop_front();
        }
        self.admissions.len()
    }

    /// Records the admission of a flow. Only the last 255 are kept, so that
    /// [`Backend::has_cold_capacity`] does not enforce a higher limit.
    pub fn record_admission(&mut self, now: Millis) {
        self.admissions.push_back(now);
        while self.admissions.len() > usize::from(u8::MAX) {
            self.admissions.pop_front();
        }
    }

    /// Returns the boot that a heartbeat belongs to, unless the heartbeat is stale.
    fn boot_of(&self, heartbeat: &BackendHeartbeat) -> Option<BootId> {
        let is_same = self.id == heartbeat.id;
        let boot = match heartbeat.born {
            Some(born) => BootId(born),
            None if is_same => self.boot,
            None => BootId(self.boot.0 + 1),
        };
        if boot < self.boot {
            return None;
        }
        let is_current = boot == self.boot && self.state != BackendState::Unknown;
        let is_stale = heartbeat.seq <= self.seq || self.state == BackendState::Ended;
        (!is_current || !is_stale).then_some(boot)
    }

    fn start_boot(&mut self, heartbeat: &BackendHeartbeat, boot: BootId) {
        self.is_tracked = heartbeat.seq <= FIRST_SEQ;
        self.id.clone_from(&heartbeat.id);
        self.boot = boot;
        self.service = heartbeat.service;
        self.state = BackendState::Ready;
    }
}
