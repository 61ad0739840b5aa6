//! Opening packets and requests that wait until the backend server has room for them.
//!
//! Only for a service to which routes of different priority lead; see [`Admission`].
//!
//! [`Admission`]: crate::datagram::Admission

use super::admit::refusal_mode;
use super::{Agent, saturating_u16};
use crate::datagram::admission::Entry;
use crate::datagram::{Effect, Flow, FlowState, Measure, Packet, Reason, RelayTag, Ticket};
use crate::time::Millis;

impl Agent {
    /// Checks whether routes of different priority lead to the service, after a change of the configuration or of the
    /// backend server.
    pub(super) fn update_admission(&mut self) {
        let has_priorities = self.table.has_priorities(self.backend.service());
        self.admission.set_in_force(has_priorities);
    }

    /// Whether the backend server has room for a request, for which nothing else waits.
    pub(super) fn has_room(&mut self, now: Millis) -> bool {
        self.admission.is_empty() && self.admission.has_room(self.backend.slots(), now)
    }

    /// Puts a retransmitted opening packet in place of the copy that waits; returns whether one waits.
    pub(super) fn replace_held(
        &mut self,
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> bool {
        if !self.admission.holds_opening(&packet.flow) {
            return false;
        }
        let route = self.table.route(&packet.flow).cloned().unwrap_or_default();
        if let Some((old, new)) = self.admission.replace_opening(packet, &route, now) {
            out.push(Effect::Discard(old));
            out.push(queue(packet, new));
        }
        true
    }

    /// Holds an opening packet that the backend server has no room for at the moment, if other agents had none either,
    /// or returns it to its balancer.
    pub(super) fn hold_or_return(
        &mut self,
        packet: &Packet,
        reason: Reason,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let is_temporary = matches!(reason, Reason::RefusedBusy | Reason::RefusedCold);
        let can_hold = is_temporary && packet.tag.hops >= RelayTag::HOLD_HOPS;
        if !can_hold || !self.admission.is_in_force() {
            self.return_to_balancer(packet, reason, now, out);
        } else if self.is_ejected(packet, now) {
            self.return_to_balancer(packet, Reason::RefusedFailing, now, out);
        } else if let Err(reason) = self.hold_opening(packet, now, out) {
            self.return_to_balancer(packet, reason, now, out);
        }
    }

    /// Holds an opening packet; fails with the reason to refuse it.
    fn hold_opening(
        &mut self,
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> Result<(), Reason> {
        let slots = self.backend.slots();
        let route = self.table.route(&packet.flow);
        let route = route.ok_or(Reason::RefusedRoute)?;
        if !self.admission.can_serve(packet, route, slots, now) {
            return Err(Reason::RefusedLate);
        }
        let ticket = self.admission.hold_opening(packet, route, now);
        let ticket = ticket.ok_or(Reason::RefusedBusy)?;
        out.push(queue(packet, ticket));
        out.push(self.queued(&packet.flow, now));
        Ok(())
    }

    /// Keeps a packet of an open flow if it is a request for which the backend server has no room, or comes after one
    /// that waits; returns whether it is kept, or dropped as a copy of a kept one.
    pub(super) fn keep_request(
        &mut self,
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> bool {
        if !self.admission.is_in_force() {
            return false;
        }
        if packet.flags.rst {
            self.drop_request(&packet.flow, out);
            return false;
        }
        let state = self.flows.get(&packet.flow);
        let is_new = packet.len > 0 && state.is_none_or(|s| s.is_new_data(packet));
        if self.admission.holds(&packet.flow) {
            return (is_new || packet.flags.fin) && self.keep_follower(packet, out);
        }
        if !is_new || state.is_some_and(|s| s.waiting_since.is_some()) {
            return false;
        }
        let Some(route) = self.table.route(&packet.flow) else {
            return false;
        };
        let is_expected = self.admission.has_reserved(&packet.flow, now);
        let is_free =
            self.admission.is_empty() && self.admission.has_room(self.backend.slots(), now);
        let ticket = if is_expected || is_free {
            None
        } else {
            self.admission.hold_request(packet, route, now)
        };
        let Some(ticket) = ticket else {
            self.admission.record_request(&packet.flow, route, now);
            return false;
        };
        out.push(queue(packet, ticket));
        out.push(self.queued(&packet.flow, now));
        true
    }

    /// Keeps a further packet of a flow whose request waits, or drops it: the caller retransmits it.
    fn keep_follower(&mut self, packet: &Packet, out: &mut Vec<Effect>) -> bool {
        if let Some(ticket) = self.admission.hold_follower(packet) {
            out.push(queue(packet, ticket));
        }
        true
    }

    /// Records that the backend server began to answer the request of a flow, or ended the flow.
    pub(super) fn record_answer(&mut self, packet: &Packet, measured: Option<(Measure, Millis)>) {
        let is_end = packet.flags.rst || packet.flags.fin;
        if packet.len == 0 && !is_end || !self.admission.is_in_force() {
            return;
        }
        let response = measured.filter(|(measure, _)| *measure == Measure::Response);
        let response = response.map(|(_, duration)| duration);
        self.admission.record_answer(&packet.flow, response);
    }

    /// Updates the moving average of flows with a request that is outstanding or waits, and of opening packets that
    /// wait, in tenths, with a weight of one fifth for the current count.
    pub(super) fn update_mean_waiting(&mut self) {
        let count = self.flows.waiting_count() + self.admission.len();
        let current = saturating_u16(count).saturating_mul(10);
        let mean = u32::from(self.mean_waiting) * 4 + u32::from(current);
        self.mean_waiting = u16::try_from(mean.div_ceil(5)).unwrap_or(u16::MAX);
    }

    /// Releases what the backend server has room for, and returns or delivers what may wait no longer. This follows
    /// each event, so that an answer makes room for the next request at once.
    pub(super) fn advance_admission(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.admission.is_empty() {
            return;
        }
        if !self.admission.is_in_force() {
            for entry in self.admission.take_all() {
                self.release_unordered(&entry, now, out);
            }
        }
        if let Some(reason) = self.closed_reason(now) {
            for entry in self.admission.take_openings() {
                self.return_held(&entry, reason, now, out);
            }
        }
        for entry in self.admission.take_expired(now) {
            self.end_waiting(&entry, Reason::RefusedExpired, now, out);
        }
        self.release_waiting(now, out);
    }

    /// Returns why the backend server gets no new flows, even those that wait.
    fn closed_reason(&self, now: Millis) -> Option<Reason> {
        let is_out = self.is_zone_out().then_some(Reason::RefusedZone);
        self.phase_refusal(now).or(is_out)
    }

    fn release_waiting(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let slots = self.backend.slots();
        loop {
            let allows_openings = self.limit_refusal(now).is_none();
            let Some(entry) = self.admission.take_next(slots, allows_openings, now) else {
                return;
            };
            if entry.is_opening {
                self.release_opening(&entry, now, out);
            } else {
                self.release_request(&entry, now, out);
            }
        }
    }

    /// Returns an opening packet, or delivers a request, as the order is no longer in force.
    fn release_unordered(&mut self, entry: &Entry, now: Millis, out: &mut Vec<Effect>) {
        if entry.is_opening {
            self.return_held(entry, Reason::RefusedBusy, now, out);
        } else {
            self.release_request(entry, now, out);
        }
    }

    /// Returns an opening packet, or drops a request whose caller has given up, that may wait no longer.
    fn end_waiting(&mut self, entry: &Entry, reason: Reason, now: Millis, out: &mut Vec<Effect>) {
        if entry.is_opening {
            self.return_held(entry, reason, now, out);
        } else {
            out.push(self.decision(reason, Some(entry.packet.flow), now.since(entry.since)));
            out.extend(entry.tickets().map(Effect::Discard));
        }
    }

    fn release_opening(&mut self, entry: &Entry, now: Millis, out: &mut Vec<Effect>) {
        self.record_release(entry, now, out);
        self.admit(&entry.packet, now, out);
        self.backend.record_delivery(now);
        out.push(Effect::Release(entry.ticket));
    }

    /// Delivers a request and the packets after it, or drops them if the flow has ended meanwhile.
    fn release_request(&mut self, entry: &Entry, now: Millis, out: &mut Vec<Effect>) {
        let flow = &entry.packet.flow;
        if !self.flows.get(flow).is_some_and(FlowState::is_established) {
            out.extend(entry.tickets().map(Effect::Discard));
            return;
        }
        self.record_release(entry, now, out);
        let route = self.table.route(flow);
        if let Some(route) = route {
            self.admission.record_request(flow, route, now);
        }
        let followers = entry.followers.iter().map(|(_, packet)| packet);
        let packets = std::iter::once(&entry.packet).chain(followers);
        for (packet, ticket) in packets.zip(entry.tickets()) {
            self.record_caller_packet(packet, now);
            self.backend.record_delivery(now);
            out.push(Effect::Release(ticket));
        }
    }

    /// Returns an opening packet to the balancer that placed it.
    fn return_held(&self, entry: &Entry, reason: Reason, now: Millis, out: &mut Vec<Effect>) {
        let packet = &entry.packet;
        out.push(self.decision(reason, Some(packet.flow), now.since(entry.since)));
        let tag = packet.relay_tag(refusal_mode(reason));
        out.push(Effect::Return(entry.ticket, tag, packet.tag.origin));
    }

    /// Drops the packets of a flow that its caller resets.
    fn drop_request(&mut self, flow: &Flow, out: &mut Vec<Effect>) {
        self.admission.record_answer(flow, None);
        if let Some(entry) = self.admission.remove(flow) {
            out.extend(entry.tickets().map(Effect::Discard));
        }
    }

    fn record_release(&self, entry: &Entry, now: Millis, out: &mut Vec<Effect>) {
        let waited = now.since(entry.since);
        out.push(self.decision(Reason::Released, Some(entry.packet.flow), waited));
        out.push(Effect::Measure(Measure::Queue, waited));
    }

    fn queued(&self, flow: &Flow, now: Millis) -> Effect {
        self.decision(Reason::Queued, Some(*flow), self.backend.age(now))
    }
}

/// Returns the effect that keeps a packet.
const fn queue(packet: &Packet, ticket: Ticket) -> Effect {
    let tag = packet.tag;
    Effect::Queue { ticket, tag }
}
