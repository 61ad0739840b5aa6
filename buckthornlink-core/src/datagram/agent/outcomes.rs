//! Observation of whether the backend server answers the requests that it is sent.

use super::Agent;
use crate::datagram::{Effect, Packet, Reason};
use crate::time::Millis;

impl Agent {
    /// Records whether a packet of the backend server answers an outstanding request or breaks it
    /// off.
    pub(super) fn record_outcome(&mut self, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        let state = self.flows.get(&packet.flow).filter(|s| !s.is_closed());
        let request = state.and_then(|s| s.waiting_since.map(|at| (at, s.queue_rounds)));
        let Some((since, rounds)) = request else {
            return;
        };
        if packet.flags.rst {
            let caller = *packet.flow.caller.ip();
            self.outcomes.record_failure(caller, now);
        } else if packet.len > 0 && self.outcomes.record_success(since, rounds, now) {
            let age = now.since(since);
            out.push(self.decision(Reason::BackendAnswers, Some(packet.flow), age));
        }
    }

    /// Records a packet from the caller that the backend server is given; returns whether it carries new data.
    pub(super) fn record_caller_packet(&mut self, packet: &Packet, now: Millis) -> bool {
        let rounds = self.queue_rounds();
        let (is_new, is_request) = self.flows.update(&packet.flow, |s| {
            let is_new = packet.len > 0 && s.is_new_data(packet);
            let was_waiting = s.waiting_since.is_some();
            s.record_caller_packet(packet, now);
            let is_request = !was_waiting && s.waiting_since.is_some();
            if is_request {
                s.queue_rounds = rounds;
            }
            (is_new, is_request)
        });
        if is_request {
            self.outcomes
                .record_request(packet.flow, rounds, &self.flows, now);
        }
        is_new
    }

    /// Logs requests that have waited far longer than others, which make the backend server count as failing.
    pub(super) fn detect_hangs(&mut self, now: Millis, out: &mut Vec<Effect>) {
        while let Some((flow, wait)) = self.outcomes.next_overdue(&self.flows, now) {
            out.push(self.decision(Reason::BackendHanging, Some(flow), wait));
        }
    }

    /// How often the backend server fills its slots to process a request that arrives now.
    pub(super) fn queue_rounds(&self) -> u16 {
        let slots = usize::from(self.backend.slots().max(1));
        u16::try_from(1 + self.flows.waiting_count() / slots).unwrap_or(u16::MAX)
    }
}
