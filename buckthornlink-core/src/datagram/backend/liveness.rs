//! Up to when the known boot of a backend server is known to have run.
//!
//! A flow that opened before that time is one of this boot, or of an earlier one. A later flow may have opened at a boot that
//! took its place unseen: only the backend server itself tells, by its answer to the next packet of the flow.

use crate::time::Millis;

/// What shows that the known boot has run, and until when.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Liveness {
    until: Millis,
    /// When the present connection was accepted, by the boot that ran then.
    accepted_at: Option<Millis>,
    /// When this process was paused, until it is known that the boot has run since.
    paused_at: Option<Millis>,
}

impl Liveness {
    /// Up to when the known boot has run for certain.
    pub(super) const fn until(&self) -> Millis {
        self.until
    }

    /// Records the first heartbeat that this process hears. Until then it has let no flow open.
    pub(super) fn begin(&mut self, now: Millis) {
        self.extend(now);
    }

    /// Records a heartbeat after the one that was heard at `last`. It may have waited on its way since its sender ended, but
    /// was sent after that one was answered.
    pub(super) fn record_heartbeat(&mut self, last: Millis) {
        self.extend(last);
    }

    /// Records a packet of a flow that opened at `opened_at`, after all that the backend server sent before. If the known boot
    /// held the flow then, it has run until now.
    pub(super) fn record_packet(&mut self, opened_at: Millis, now: Millis) {
        if opened_at <= self.until {
            self.extend(now);
        }
    }

    /// Records that the backend server accepted a connection.
    pub(super) const fn record_accepted(&mut self, now: Millis) {
        self.accepted_at = Some(now);
    }

    /// Records that the connection is closed. The boot that had accepted it ran until then, and is the known one if that one ran after
    /// it was accepted.
    pub(super) fn record_closed(&mut self, now: Millis) {
        let accepted_at = self.accepted_at.take();
        if accepted_at.is_some_and(|at| at <= self.until) {
            self.extend(self.paused_at.unwrap_or(now));
        }
    }

    /// Records that this process was paused at `since`. It learns only now what happened meanwhile.
    pub(super) const fn record_pause(&mut self, since: Millis) {
        self.paused_at = Some(since);
    }

    fn extend(&mut self, until: Millis) {
        self.until = self.until.max(until);
        self.paused_at = self.paused_at.filter(|at| *at > self.until);
    }
}
