//! Another backend server at the address of the current one, of which it is not known that it has ended.

use super::BackendHeartbeat;
use crate::datagram::{Phase, ServiceTag};
use crate::id::BootId;
use crate::time::Millis;

/// Number of heartbeats in order from which on another backend server is believed.
const MIN_HEARTBEATS: u32 = 3;
/// Time without a heartbeat of the current backend server before another one is believed.
const MIN_SILENCE: Millis = Millis(3_000);

/// A backend server whose heartbeats come although the current one is not known to have ended: its start time is earlier, by a
/// clock that may have been set back, or the connection to the current one is still open.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Contender {
    id: String,
    born: u64,
    /// The last of its heartbeats, and how many came in their order.
    seq: u64,
    count: u32,
    /// The boot that it counts as, once it has taken the place of the other one.
    pub(super) boot: Option<BootId>,
    heard_at: Millis,
    service: ServiceTag,
    is_draining: bool,
    cold_until: Millis,
}

impl Contender {
    /// Whether a heartbeat comes from this backend server.
    pub(super) fn is_of(&self, heartbeat: &BackendHeartbeat) -> bool {
        self.id == heartbeat.id && Some(self.born) == heartbeat.born
    }

    /// Notes a heartbeat after those of `last`; returns `None` if it brings nothing new.
    pub(super) fn note(
        last: Option<&Self>,
        heartbeat: &BackendHeartbeat,
        now: Millis,
    ) -> Option<Self> {
        let last = last.filter(|last| last.is_of(heartbeat));
        if last.is_some_and(|last| last.boot.is_some() || heartbeat.seq <= last.seq) {
            return None;
        }
        Some(Self {
            id: heartbeat.id.clone(),
            born: heartbeat.born?,
            seq: heartbeat.seq,
            count: last.map_or(1, |last| last.count + 1),
            boot: None,
            heard_at: now,
            service: heartbeat.service,
            is_draining: heartbeat.draining,
            cold_until: now + heartbeat.cold,
        })
    }

    /// The phase to which it limits new flows, which may reach it in place of the current backend server, last heard at `heard_at`
    /// and of this service.
    pub(super) fn phase(
        &self,
        heard_at: Millis,
        service: ServiceTag,
        now: Millis,
    ) -> Option<Phase> {
        if self.boot.is_some() || self.heard_at < heard_at {
            None
        } else if self.service != service {
            Some(Phase::Silent)
        } else if self.is_draining {
            Some(Phase::Draining)
        } else {
            (now < self.cold_until).then_some(Phase::Cold)
        }
    }

    /// Gives it the place of the current backend server, of boot `current`, if it has earned it: several of its heartbeats came
    /// and none of the current one for `silence`. A single one may have been held up since that backend server ended.
    pub(super) fn replace(&mut self, current: BootId, silence: Millis) -> Option<BootId> {
        if self.count >= MIN_HEARTBEATS && silence >= MIN_SILENCE {
            self.boot = Some(BootId(self.born.max(current.0 + 1)));
        }
        self.boot
    }
}
