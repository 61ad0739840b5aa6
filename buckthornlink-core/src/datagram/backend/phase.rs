//! The phase that an agent reports of its backend server.

use super::{Backend, BackendState};
use crate::datagram::Phase;
use crate::time::Millis;

/// Time without a heartbeat after which a backend server counts as silent, in tenths of the
/// heartbeat interval.
const SILENCE_TIMEOUT_TENTHS: u64 = 16;
impl Backend {
    /// The phase that the agent reports.
    #[must_use]
    pub fn phase(&self, now: Millis) -> Phase {
        let silence_timeout = Millis(self.interval.0 * SILENCE_TIMEOUT_TENTHS / 10);
        match self.state {
            _ if self.is_over() => Phase::Over,
            BackendState::Unknown => Phase::Starting,
            _ if self.age(now) > silence_timeout => Phase::Silent,
            BackendState::Draining => Phase::Draining,
            BackendState::Ready if self.is_exiting() => Phase::Draining,
            BackendState::Ready if self.doubt.is_some() => Phase::Silent,
            BackendState::Ready if self.signs.is_refused() => Phase::Silent,
            BackendState::Ready => self.ready_phase(now),
        }
    }

    /// The phase by the last heartbeats of the current backend server and of another one that may have taken its place: what admits fewer
    /// new flows.
    fn ready_phase(&self, now: Millis) -> Phase {
        let other = self.contender.as_ref();
        let limited = other.and_then(|c| c.phase(self.last_heartbeat, self.service, now));
        let own = if now < self.cold_until || self.may_be_cold {
            Phase::Cold
        } else {
            Phase::Ready
        };
        limited.unwrap_or(own)
    }
}
