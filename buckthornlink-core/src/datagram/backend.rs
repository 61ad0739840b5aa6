//! What an agent knows about the backend server beside it.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::{Phase, ServiceTag};
use crate::id::BootId;
use crate::time::Millis;

/// Window over which the admissions of a cold start are counted.
const COLD_WINDOW: Millis = Millis(1_000);
/// Heartbeat intervals after which a backend server counts as silent, in tenths.
const SILENCE_TIMEOUT_TENTHS: u64 = 16;
/// A backend server whose first known heartbeat has at most this number has just started.
const MAX_FIRST_SEQ: u64 = 2;

/// One heartbeat of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name that the backend server gives itself.
    pub id: String,
    /// Its start, in milliseconds of its wall clock.
    pub born: Option<u64>,
    /// Counts the heartbeats of one start.
    pub seq: u64,
    /// Its service.
    pub service: ServiceTag,
    /// Whether it is leaving.
    pub draining: bool,
    /// Remaining time of its cold start.
    pub cold: Millis,
    /// Requests that it works on at once.
    pub slots: u16,
}

/// State of the backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendState {
    /// No heartbeat has come yet.
    #[default]
    Unknown,
    /// It takes new flows.
    Ready,
    /// It is leaving.
    Draining,
    /// Nothing listens at its address.
    Absent,
    /// It has ended by its own word.
    Ended,
}

/// The backend server beside an agent, as its heartbeats tell.
#[derive(Clone, Debug, Default)]
pub struct Backend {
    id: String,
    boot: BootId,
    seq: u64,
    service: ServiceTag,
    state: BackendState,
    last_heartbeat: Millis,
    cold_until: Millis,
    slots: u16,
    is_tracked: bool,
    admissions: VecDeque<Millis>,
}

impl Backend {
    /// Takes a heartbeat over; returns whether it is newer than what is known.
    pub fn receive_heartbeat(&mut self, beat: &Heartbeat, now: Millis) -> bool {
        let Some(boot) = self.boot_of(beat) else {
            return false;
        };
        if boot > self.boot {
            self.start_boot(beat, boot);
        }
        self.seq = beat.seq;
        self.last_heartbeat = now;
        self.slots = beat.slots;
        self.cold_until = now + beat.cold;
        self.state = if beat.draining || self.state == BackendState::Draining {
            BackendState::Draining
        } else {
            BackendState::Ready
        };
        true
    }

    /// Notes that the backend server called `id` has ended; returns whether it was the present one.
    pub fn mark_ended(&mut self, id: &str) -> bool {
        let is_current = self.id == id && self.state != BackendState::Unknown;
        if is_current {
            self.state = BackendState::Ended;
        }
        is_current
    }

    /// Notes that nothing listens at the backend server's address; returns whether that is news.
    ///
    /// A later heartbeat of the same start takes this back.
    pub fn mark_absent(&mut self) -> bool {
        let is_news = !matches!(self.state, BackendState::Absent | BackendState::Ended);
        if is_news {
            self.state = BackendState::Absent;
        }
        is_news
    }

    /// Whether the backend server is known to hold no flows at all.
    #[must_use]
    pub const fn is_gone(&self) -> bool {
        matches!(self.state, BackendState::Absent | BackendState::Ended)
    }

    /// Start of the backend server; zero if none is known.
    #[must_use]
    pub const fn boot(&self) -> BootId {
        self.boot
    }

    /// Service of the backend server.
    #[must_use]
    pub const fn service(&self) -> ServiceTag {
        self.service
    }

    /// Requests that the backend server works on at once.
    #[must_use]
    pub const fn slots(&self) -> u16 {
        self.slots
    }

    /// Time since the last heartbeat.
    #[must_use]
    pub const fn age(&self, now: Millis) -> Millis {
        now.since(self.last_heartbeat)
    }

    /// Whether this process has seen every flow of the backend server, from its start on.
    #[must_use]
    pub const fn is_tracked(&self) -> bool {
        self.is_tracked
    }

    /// The phase that the agent reports.
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

    /// Whether a cold start that bears `limit` new flows in any second has room for one more.
    pub fn has_cold_capacity(&mut self, limit: usize, now: Millis) -> bool {
        while self
            .admissions
            .front()
            .is_some_and(|&at| now.since(at) > COLD_WINDOW)
        {
            self.admissions.pop_front();
        }
        self.admissions.len() < limit
    }

    /// Counts one admission.
    pub fn record_admission(&mut self, now: Millis) {
        self.admissions.push_back(now);
        while self.admissions.len() > usize::from(u8::MAX) {
            self.admissions.pop_front();
        }
    }

    /// The start that a heartbeat speaks of, unless the heartbeat is late.
    fn boot_of(&self, beat: &Heartbeat) -> Option<BootId> {
        let is_same = self.id == beat.id;
        let boot = match beat.born {
            Some(born) => BootId(born),
            None if is_same => self.boot,
            None => BootId(self.boot.0 + 1),
        };
        if boot < self.boot {
            return None;
        }
        let is_current = boot == self.boot && self.state != BackendState::Unknown;
        let is_stale = beat.seq <= self.seq || self.state == BackendState::Ended;
        (!is_current || !is_stale).then_some(boot)
    }

    fn start_boot(&mut self, beat: &Heartbeat, boot: BootId) {
        self.is_tracked = beat.seq <= MAX_FIRST_SEQ;
        self.id.clone_from(&beat.id);
        self.boot = boot;
        self.service = beat.service;
        self.state = BackendState::Ready;
        self.admissions.clear();
    }
}
