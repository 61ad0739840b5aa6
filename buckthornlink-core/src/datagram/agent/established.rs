//! Packets other than opening ones, of flows that the backend server holds or may hold.

use std::net::Ipv4Addr;

use super::Agent;
use crate::datagram::{
    Effect, Evidence, Flow, FlowState, Measure, Message, Mode, Ownership, Packet, Reason,
};
use crate::time::Millis;

/// Minimum interval between owner records of one flow that are sent because of its packets.
const OWNER_RECORD_INTERVAL: Millis = Millis(200);
/// Half of the sequence number range: a number less than this ahead of another one comes after it.
const HALF_SEQ_RANGE: u32 = 1 << 31;

impl Agent {
    /// Handles a relayed packet that does not open a flow.
    pub(super) fn handle_established(
        &mut self,
        from: Ipv4Addr,
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if packet.tag.mode == Mode::Held
            && let Some((from, packet)) = self.restore_held_try(packet, now)
        {
            self.handle_established(from, &packet, now, out);
            return;
        }
        let ownership = self.flows.get(&packet.flow).map(|s| s.ownership);
        match ownership.unwrap_or_default() {
            Ownership::Open => self.deliver(from, packet, now, out),
            Ownership::HalfOpen { seq } if packet.acknowledges(seq) => {
                self.flows.update(&packet.flow, |s| {
                    s.ownership = Ownership::Open;
                    s.opened_at = now;
                    s.handshake = Some(seq);
                });
                self.deliver(from, packet, now, out);
            }
            Ownership::Trial { .. } => self.repeat_trial(from, packet, now, out),
            Ownership::Recorded { .. } if !self.can_deny(&packet.flow, now) => {
                self.try_recorded(from, packet, now, out);
            }
            Ownership::Unknown
                if self.is_saved(&packet.flow) && !self.can_deny(&packet.flow, now) =>
            {
                self.try_recorded(from, packet, now, out);
            }
            Ownership::Ended => {
                let basis = self.ended_flows_evidence(now);
                out.push(self.end_decision(Reason::BackendOver, Some(packet.flow), basis));
                self.reset_ended(packet, out);
            }
            Ownership::Remote { owner: Some(owner) } if owner.0 != from => {
                self.forward_to_owner(owner, packet, now, out);
            }
            _ => self.locate_owner(from, packet, now, out),
        }
    }

    /// Handles a packet that the backend server sent or bounced.
    pub(super) fn handle_outbound(&mut self, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        self.record_backend_life(packet.flags.bounced, now, out);
        if packet.flags.bounced {
            self.admission.record_answer(&packet.flow, None);
            self.handle_bounce(packet, now, out);
            return;
        }
        let ownership = self.flows.get(&packet.flow).map(|s| s.ownership);
        if packet.flags.rst
            && let Some(Ownership::Trial { requester }) = ownership
        {
            out.push(self.trial_outcome(Reason::TrialFailed, &packet.flow, now));
            self.deny_flow(requester, &packet.flow, out);
            return;
        }
        let trial = match ownership {
            Some(Ownership::Trial { requester }) => Some(requester),
            _ => None,
        };
        if trial.is_some() {
            out.push(self.trial_outcome(Reason::TrialAnswered, &packet.flow, now));
        }
        let state = self.flows.get(&packet.flow);
        if state.is_some_and(|s| s.was_reset) && !packet.flags.syn {
            return;
        }
        self.record_owned_packet(packet, now);
        self.record_outcome(packet, now, out);
        let measured = self
            .flows
            .update(&packet.flow, |s| s.record_backend_packet(packet, now));
        self.record_answer(packet, measured);
        out.push(Effect::SendToCaller);
        self.report_trial_success(trial.flatten(), &packet.flow, out);
        out.extend(measured.map(|(measure, duration)| Effect::Measure(measure, duration)));
    }

    /// Records a packet of an open flow, which shows that the boot that holds it runs.
    fn record_owned_packet(&mut self, packet: &Packet, now: Millis) {
        let state = self.flows.get(&packet.flow);
        let state = state.filter(|s| s.ownership == Ownership::Open && !s.is_reoffered);
        if let Some(state) = state.filter(|_| !packet.flags.syn) {
            self.backend.record_flow_packet(state.opened_at, now);
        }
    }

    /// Resets a flow that its backend server no longer holds. A late packet of that flow must not
    /// reach the caller any more, who may use the port for another flow.
    fn reset_ended(&mut self, packet: &Packet, out: &mut Vec<Effect>) {
        self.flows.update(&packet.flow, |s| s.was_reset = true);
        out.push(reset(packet));
    }

    /// Delivers a packet of a flow that the backend server holds, or keeps it until there is room. Sends the owner record
    /// to instances that may not know the owner.
    fn deliver(&mut self, from: Ipv4Addr, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        let is_kept = self.keep_request(packet, now, out);
        let is_new = !is_kept && self.record_caller_packet(packet, now);
        let is_record_due = self.flows.update(&packet.flow, |s| {
            s.last_seen = now;
            let is_due = s
                .last_record
                .is_none_or(|at| now.since(at) >= OWNER_RECORD_INTERVAL);
            let is_owner_unknown = !matches!(packet.tag.mode, Mode::Known | Mode::Placed);
            let is_record_due = is_owner_unknown && is_due;
            if is_record_due {
                s.last_record = Some(now);
            }
            is_record_due
        });
        if !is_kept {
            self.deliver_to_backend(packet, is_new, now, out);
        }
        if is_record_due && !packet.tag.origin.is_unspecified() {
            self.send_owner_record(packet.tag.origin, packet, out);
        }
        if is_record_due && matches!(packet.tag.mode, Mode::Search | Mode::Try) {
            self.send_owner_record(from, packet, out);
        }
    }

    /// Passes a packet to the backend server, which `is_new` and calls for an answer, or is a copy of an
    /// earlier one or an acknowledgement.
    pub(super) fn deliver_to_backend(
        &mut self,
        packet: &Packet,
        is_new: bool,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if is_new {
            self.backend.record_delivery(now);
        }
        out.push(Effect::Deliver(packet.tag));
    }

    /// Sends an instance the owner record of a packet's flow.
    fn send_owner_record(&self, to: Ipv4Addr, packet: &Packet, out: &mut Vec<Effect>) {
        let message = Message::OwnerRecords(vec![self.owner_record(&packet.flow)]);
        out.push(Effect::Send { to, message });
    }

    /// Handles a packet that the backend server did not accept.
    fn handle_bounce(&mut self, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        let state = self.flows.get(&packet.flow);
        if packet.is_opening() {
            if !state.is_some_and(FlowState::is_established) {
                self.flows.remove(&packet.flow);
            }
            if !packet.tag.origin.is_unspecified() {
                self.return_to_balancer(packet, Reason::Bounced, now, out);
            }
            return;
        }
        let is_closed = state.is_some_and(FlowState::is_closed);
        let is_reoffered = state.is_some_and(|s| s.is_reoffered);
        match state.map(|s| s.ownership).unwrap_or_default() {
            Ownership::Open if is_closed => {}
            Ownership::Open if is_reoffered => self.return_failed_trial(None, packet, now, out),
            Ownership::Open | Ownership::Ended => {
                self.flows
                    .update(&packet.flow, |s| s.ownership = Ownership::Ended);
                let basis = (Some(Evidence::Bounced), Millis(0));
                out.push(self.end_decision(Reason::FlowLost, Some(packet.flow), basis));
                self.reset_ended(packet, out);
            }
            Ownership::Trial { requester } => {
                out.push(self.trial_outcome(Reason::TrialFailed, &packet.flow, now));
                self.return_failed_trial(requester, packet, now, out);
            }
            _ => {}
        }
    }

    /// Records that the backend server does not hold a flow, and sends a denial to the requester.
    ///
    /// A backend server that resets a flow after a trial delivery does not own the flow, so its
    /// reset is not sent to the caller.
    pub(super) fn deny_flow(
        &mut self,
        requester: Option<Ipv4Addr>,
        flow: &Flow,
        out: &mut Vec<Effect>,
    ) {
        self.flows.update(flow, |s| {
            s.ownership = Ownership::Remote { owner: None };
        });
        if let Some(to) = requester {
            let message = Message::Denied(*flow);
            out.push(Effect::Send { to, message });
        }
    }
}

impl FlowState {
    /// Records a packet from the caller.
    pub(super) fn record_caller_packet(&mut self, packet: &Packet, now: Millis) {
        self.last_seen = now;
        self.last_ack = packet.ack;
        if packet.len > 0 && self.is_new_data(packet) {
            self.request_end = Some(packet.end());
            self.waiting_since.get_or_insert(now);
        }
        self.closed_sides[0] |= packet.flags.fin;
        if packet.flags.rst {
            self.closed_sides = [true; 2];
        }
    }

    /// Whether a packet carries data that the caller has not sent before.
    pub(super) fn is_new_data(&self, packet: &Packet) -> bool {
        let is_after = |end: u32| packet.end().wrapping_sub(end).wrapping_sub(1) < HALF_SEQ_RANGE;
        self.request_end.is_none_or(is_after)
    }

    /// Records a packet from the backend server, which shows that it holds the flow; returns the
    /// time to answer if this is the first answer to the opening packet or to a request.
    ///
    /// A late copy of the opening packet makes the backend server of an open flow answer once more, which
    /// changes nothing.
    fn record_backend_packet(&mut self, packet: &Packet, now: Millis) -> Option<(Measure, Millis)> {
        self.last_seen = now;
        if packet.flags.syn && self.is_established() {
            self.is_reoffered |= self.handshake != Some(packet.seq);
            return None;
        }
        if packet.flags.syn {
            let is_first = self.ownership == Ownership::Offered;
            self.ownership = Ownership::HalfOpen { seq: packet.seq };
            return is_first.then(|| (Measure::Handshake, now.since(self.opened_at)));
        }
        if self.ownership != Ownership::Open {
            self.ownership = Ownership::Open;
            self.opened_at = now;
        }
        self.closed_sides[1] |= packet.flags.fin;
        if packet.flags.rst {
            self.closed_sides = [true; 2];
        }
        if packet.len == 0 {
            return None;
        }
        let since = self.waiting_since.take()?;
        Some((Measure::Response, now.since(since)))
    }
}

/// Returns the effect that resets the flow of a caller's packet.
pub(super) const fn reset(packet: &Packet) -> Effect {
    Effect::Reset {
        flow: packet.flow,
        seq: packet.ack,
    }
}
