//! Admission of new flows.

use super::Agent;
use crate::datagram::{Effect, FlowState, Mode, Ownership, Packet, Phase, Reason};
use crate::time::Millis;

/// New flows per second that are admitted beyond the configured rate of a cold start.
const COLD_BURST: u32 = 2;
/// Outstanding requests per slot at which a new flow is refused even if no other agent accepts it:
/// one that is processed and one that is queued.
const MAX_QUEUE_DEPTH: usize = 2;

/// Refusals by other agents after which a failing backend server gets a new flow all the same, so
/// that a fault that all share, or that is only suspected, does not take a service out.
const MAX_EJECTIONS: u8 = 2;

impl Agent {
    /// Delivers an opening packet to the backend server, or returns it to the balancer.
    pub(super) fn handle_opening(&mut self, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        if self.replace_held(packet, now, out) {
            return;
        }
        let state = self.flows.get(&packet.flow);
        let is_retransmission = state.is_some_and(FlowState::is_offered);
        if !is_retransmission && let Some(reason) = self.refusal_reason(packet, now) {
            self.hold_or_return(packet, reason, now, out);
            return;
        }
        if !is_retransmission {
            self.admit(packet, now, out);
        }
        self.flows.update(&packet.flow, |s| s.last_seen = now);
        self.deliver_to_backend(packet, !is_retransmission, now, out);
    }

    /// Records that the backend server is given the opening packet of a flow.
    pub(super) fn admit(&mut self, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        self.backend.record_admission(now);
        let age = self.backend.age(now);
        out.push(self.decision(Reason::Admitted, Some(packet.flow), age));
        self.flows.update(&packet.flow, |s| {
            *s = FlowState {
                ownership: Ownership::Offered,
                opened_at: now,
                last_seen: now,
                ..Default::default()
            };
        });
        if self.admission.is_in_force() {
            self.admission.reserve(&packet.flow, now);
        }
    }

    /// Returns an opening packet to the balancer that placed it.
    pub(super) fn return_to_balancer(
        &mut self,
        packet: &Packet,
        reason: Reason,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let age = self.backend.age(now);
        out.push(self.decision(reason, Some(packet.flow), age));
        out.push(Effect::Relay {
            to: packet.tag.origin,
            tag: packet.relay_tag(refusal_mode(reason)),
        });
    }

    /// Returns why the backend server must not get a new flow, if there is a reason.
    fn refusal_reason(&mut self, packet: &Packet, now: Millis) -> Option<Reason> {
        if let Some(reason) = self.phase_refusal(now) {
            return Some(reason);
        }
        if !self.table.allows(&packet.flow, self.backend.service()) {
            return Some(Reason::RefusedRoute);
        }
        if self.is_zone_out() {
            return Some(Reason::RefusedZone);
        }
        if let Some(reason) = self.limit_refusal(now) {
            return Some(reason);
        }
        if self.is_busy(packet, now) {
            return Some(Reason::RefusedBusy);
        }
        self.is_ejected(packet, now)
            .then_some(Reason::RefusedFailing)
    }

    /// Returns why the backend server gets no new flows at all, whatever their route.
    pub(super) fn phase_refusal(&self, now: Millis) -> Option<Reason> {
        if !self.has_table() || self.gossip.is_catching_up(now) {
            return Some(Reason::RefusedUnready);
        }
        let phase = self.backend.phase(now);
        let is_closed = self.is_leaving || !phase.can_accept_flows() || self.is_saved_set_final();
        is_closed.then_some(Reason::RefusedPhase)
    }

    pub(super) fn is_zone_out(&self) -> bool {
        self.gossip.zones().is_out(self.gossip.own().zone)
    }

    /// Returns which limit of the backend server leaves no room for a new flow at this moment.
    pub(super) fn limit_refusal(&mut self, now: Millis) -> Option<Reason> {
        let limits = self.table.limits(self.backend.service());
        let connections = usize::try_from(limits.connections).unwrap_or(usize::MAX);
        if connections > 0 && self.flows.open_count() >= connections {
            return Some(Reason::RefusedFull);
        }
        let phase = self.backend.phase(now);
        if phase == Phase::Cold && limits.cold_rate > 0 {
            let limit = limits.cold_rate / 1_000 + COLD_BURST;
            let limit = usize::try_from(limit).unwrap_or(usize::MAX);
            if !self.backend.has_cold_capacity(limit, now) {
                return Some(Reason::RefusedCold);
            }
        }
        None
    }

    /// Whether the backend server fails most requests, so that other agents are asked first. If routes of different
    /// priority lead to the service, a packet may have been placed with `RelayTag::HOLD_HOPS` at once.
    pub(super) fn is_ejected(&mut self, packet: &Packet, now: Millis) -> bool {
        let limit = MAX_EJECTIONS + u8::from(self.admission.is_in_force());
        let is_outlier = self.outcomes.is_failing(now) && packet.tag.hops < limit;
        is_outlier && !self.outcomes.take_trial(now)
    }

    /// Whether the backend server has too many outstanding requests for a new flow.
    ///
    /// Load reports reach balancers late, so the agent checks its current outstanding requests: the
    /// first agent refuses if all slots are taken, further ones if as many again are queued. Beyond
    /// that, new flows wait for the caller's retransmission, so that open flows are served in time.
    /// Callers of retransmitted packets have waited already; they get free slots only, so that in a
    /// retry storm the flows that can still be served in time are not queued behind them.
    fn is_busy(&mut self, packet: &Packet, now: Millis) -> bool {
        if self.admission.is_in_force() {
            return !self.has_room(now);
        }
        let slots = usize::from(self.backend.slots());
        let is_retransmission = packet.ack > 0;
        let depth = if packet.tag.hops == 0 || is_retransmission {
            1
        } else {
            MAX_QUEUE_DEPTH
        };
        slots > 0 && self.flows.waiting_count() >= slots * depth
    }
}

/// The mode in which a refused opening packet is returned to its balancer.
pub(super) const fn refusal_mode(reason: Reason) -> Mode {
    match reason {
        Reason::RefusedBusy
        | Reason::RefusedCold
        | Reason::RefusedFailing
        | Reason::RefusedLate
        | Reason::RefusedExpired => Mode::Busy,
        _ => Mode::Refused,
    }
}
