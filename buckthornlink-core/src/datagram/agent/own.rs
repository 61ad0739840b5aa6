//! Packets of flows that the backend server holds, or may hold.

use std::net::Ipv4Addr;

use super::Agent;
use crate::datagram::{Effect, FlowState, Holding, Measure, Message, Mode, Packet, Reason};
use crate::time::Millis;

/// A balancer is told at most this often that a flow lives here.
const TELL_INTERVAL: Millis = Millis(200);
/// Half of the range of sequence numbers: a number less than that ahead of another is after it.
const HALF_RANGE: u32 = 1 << 31;

impl Agent {
    /// Handles a packet of a flow that is not new.
    pub(super) fn established(
        &mut self,
        from: Ipv4Addr,
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let holding = self.flows.get(&packet.flow).map(|s| s.holding);
        match holding.unwrap_or_default() {
            Holding::Open => self.take(from, packet, now, out),
            Holding::Half { seq } if packet.acknowledges(seq) => {
                self.flows.change(&packet.flow, |s| {
                    s.holding = Holding::Open;
                    s.opened = now;
                });
                self.take(from, packet, now, out);
            }
            Holding::Tried { .. } => out.push(Effect::Deliver(packet.tag)),
            Holding::Over => {
                let age = self.backend.age(now);
                out.push(self.decision(Reason::BackendOver, Some(packet.flow), age));
                out.push(reset(packet));
            }
            Holding::Foreign { owner: Some(owner) } if owner.0 != from => {
                self.pass_on(owner, packet, now, out);
            }
            _ => self.find(from, packet, now, out),
        }
    }

    /// Handles a packet that the backend server sent or gave back.
    pub(super) fn outbound(&mut self, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        if packet.flags.bounced {
            self.bounced(packet, now, out);
            return;
        }
        let holding = self.flows.get(&packet.flow).map(|s| s.holding);
        if packet.flags.rst
            && let Some(Holding::Tried { asker }) = holding
        {
            self.deny(asker, packet, out);
            return;
        }
        let span = self.flows.change(&packet.flow, |s| s.answer(packet, now));
        out.push(Effect::Answer);
        out.extend(span.map(|(measure, span)| Effect::Measure(measure, span)));
    }

    /// Delivers a packet of an own flow.
    fn take(&mut self, from: Ipv4Addr, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        let tells = self.flows.change(&packet.flow, |s| {
            s.request(packet, now);
            let is_due = s.told.is_none_or(|at| now.since(at) >= TELL_INTERVAL);
            let is_unsure = !matches!(packet.tag.mode, Mode::Known | Mode::Placed);
            let tells = is_unsure && is_due;
            if tells {
                s.told = Some(now);
            }
            tells
        });
        out.push(Effect::Deliver(packet.tag));
        if tells && !packet.tag.origin.is_unspecified() {
            self.tell(packet.tag.origin, packet, out);
        }
        if tells && packet.tag.mode == Mode::Search {
            self.tell(from, packet, out);
        }
    }

    /// Tells an instance that the flow of a packet lives here.
    fn tell(&self, to: Ipv4Addr, packet: &Packet, out: &mut Vec<Effect>) {
        let message = Message::OwnerRecords(vec![self.note(&packet.flow)]);
        out.push(Effect::Send { to, message });
    }

    /// Handles a packet that the backend server did not take.
    fn bounced(&mut self, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        if packet.is_opening() {
            self.flows.remove(&packet.flow);
            if !packet.tag.origin.is_unspecified() {
                self.give_back(packet, Reason::Bounced, now, out);
            }
            return;
        }
        let state = self.flows.get(&packet.flow);
        let is_closed = state.is_some_and(FlowState::is_closed);
        match state.map(|s| s.holding).unwrap_or_default() {
            Holding::Half { .. } | Holding::Open if is_closed => {}
            Holding::Half { .. } | Holding::Open | Holding::Over => {
                self.flows
                    .change(&packet.flow, |s| s.holding = Holding::Over);
                let age = self.backend.age(now);
                out.push(self.decision(Reason::FlowLost, Some(packet.flow), age));
                out.push(reset(packet));
            }
            Holding::Tried { asker } => self.not_here(asker, packet, now, out),
            _ => {}
        }
    }

    /// A packet was tried at the backend server, which does not hold the flow.
    fn not_here(
        &mut self,
        asker: Option<Ipv4Addr>,
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.deny(asker, packet, out);
        if asker.is_none() {
            self.search(packet, now, out);
        }
    }

    /// Notes that the backend server does not hold a flow, and tells whoever asked.
    ///
    /// A backend server that resets a flow which it was only tried with does not speak for the
    /// flow's owner, so its reset stays here.
    fn deny(&mut self, asker: Option<Ipv4Addr>, packet: &Packet, out: &mut Vec<Effect>) {
        self.flows.change(&packet.flow, |s| {
            s.holding = Holding::Foreign { owner: None };
        });
        if let Some(to) = asker {
            let message = Message::Denied(packet.flow);
            out.push(Effect::Send { to, message });
        }
    }
}

impl FlowState {
    /// Notes a packet of the caller.
    fn request(&mut self, packet: &Packet, now: Millis) {
        self.seen = now;
        self.acked = packet.ack;
        if packet.len > 0 && self.is_new_data(packet) {
            self.requested = Some(packet.end());
            self.waiting.get_or_insert(now);
        }
        self.ended[0] |= packet.flags.fin;
        if packet.flags.rst {
            self.ended = [true; 2];
        }
    }

    /// Whether the caller has not sent the data of a packet before.
    fn is_new_data(&self, packet: &Packet) -> bool {
        let is_after = |end: u32| packet.end().wrapping_sub(end).wrapping_sub(1) < HALF_RANGE;
        self.requested.is_none_or(is_after)
    }

    /// Notes a packet of the backend server, which shows that it holds the flow; returns what it
    /// took to answer, if this is the first packet of an answer.
    fn answer(&mut self, packet: &Packet, now: Millis) -> Option<(Measure, Millis)> {
        self.seen = now;
        if packet.flags.syn {
            let is_first = self.holding == Holding::Offered;
            self.holding = Holding::Half { seq: packet.seq };
            return is_first.then(|| (Measure::Handshake, now.since(self.opened)));
        }
        if self.holding != Holding::Open {
            self.holding = Holding::Open;
            self.opened = now;
        }
        self.ended[1] |= packet.flags.fin;
        if packet.flags.rst {
            self.ended = [true; 2];
        }
        if packet.len == 0 {
            return None;
        }
        let since = self.waiting.take()?;
        Some((Measure::Response, now.since(since)))
    }
}

/// Tells the caller that its flow is over.
pub(super) const fn reset(packet: &Packet) -> Effect {
    Effect::Reset {
        flow: packet.flow,
        seq: packet.ack,
    }
}
