//! Whether callers are told in time that a loss of everything has ended their flows.

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Flow, Packet};

use super::{BackendBoot, InvariantChecker, State};

/// Minimum age of a flow of which agents must know after a loss: they save their flows every 8 s.
const MIN_KNOWN_AGE: Millis = Millis(10_000);
/// Maximum time from the return of everything, or from the next packet of the caller, until the caller is told.
const MAX_TELLING_TIME: Millis = Millis(2_000);
/// Minimum number of packets after which a caller must have been told: one may be lost, or the reset.
const MIN_PACKETS: u32 = 2;

/// A flow that a loss ended, whose caller was not told yet.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DeadFlow {
    /// When the caller sent its first packet since the return.
    asked_at: Option<Millis>,
    /// Number of its packets since then.
    packets: u32,
}

impl InvariantChecker {
    /// Records that a backend server begins to leave.
    pub fn record_leaving(&self, boot: BackendBoot) {
        self.lock().leaving.insert(boot);
    }

    /// Records that all processes and backend servers end now.
    pub fn record_loss(&self) {
        let now = self.now();
        let mut state = self.lock();
        let is_known = |open: &super::OpenFlow| {
            now.since(open.opened_at) >= MIN_KNOWN_AGE
                && state.is_live(open.owner)
                && !state.leaving.contains(&open.owner)
        };
        let known = state.flows.iter().filter(|(_, open)| is_known(open));
        let dead = known.map(|(flow, _)| (*flow, DeadFlow::default()));
        state.dead_flows = dead.collect();
        state.returned_at = None;
    }

    /// Records that all processes are back.
    pub fn record_return(&self) {
        let now = self.now();
        self.lock().returned_at = Some(now);
    }

    /// Records a packet that a caller sends.
    pub fn record_caller_packet(&self, packet: &Packet) {
        let now = self.now();
        let mut state = self.lock();
        if state.returned_at.is_none() {
            return;
        }
        if let Some(dead) = state.dead_flows.get_mut(&packet.flow) {
            dead.asked_at.get_or_insert(now);
            dead.packets += 1;
        }
    }
}

impl State {
    /// Records that a caller was told of the end of its flow, and checks that it was in time.
    pub(super) fn record_told(&mut self, flow: &Flow, now: Millis) {
        let Some(dead) = self.dead_flows.remove(flow) else {
            return;
        };
        let Some(asked_at) = dead.asked_at else {
            return;
        };
        let delay = now.since(asked_at);
        self.told_after.push(delay);
        if delay > MAX_TELLING_TIME {
            self.record_violation(
                now,
                format!("the end of {flow:?} was told after {} ms", delay.0),
            );
        }
    }

    /// Checks that no caller has waited in vain until the end of the run.
    pub(super) fn check_untold(&mut self, now: Millis) {
        let is_overdue = |dead: &DeadFlow| {
            let waits_for = dead.asked_at.map(|at| now.since(at));
            dead.packets >= MIN_PACKETS && waits_for > Some(MAX_TELLING_TIME)
        };
        let dead_flows = std::mem::take(&mut self.dead_flows);
        for (flow, dead) in dead_flows {
            if is_overdue(&dead) {
                let asked_at = dead.asked_at.unwrap_or(now).0;
                self.record_violation(
                    now,
                    format!("the end of {flow:?} was not told, asked at {asked_at} ms"),
                );
            }
        }
    }
}
