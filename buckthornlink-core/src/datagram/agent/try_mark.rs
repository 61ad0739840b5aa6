//! The mark of tries, by which the next process of an agent learns whether this one may have made some.
//!
//! A process that is killed forgets the tries that it made or handed out, which still count for their flows. So an agent
//! writes a mark into its record in the store before its first try, and makes none until the store confirms that. A
//! process that reads a record without the mark knows that its predecessor made no try. Any other one treats each flow
//! as tried until it is old enough that its predecessor's tries no longer count.

use std::net::Ipv4Addr;

use super::Agent;
use crate::datagram::{
    Effect, Flow, FlowDigest, FlowState, HeldTry, Message, Mode, Packet, Reason, RelayTag,
};
use crate::time::Millis;

/// Time within which the tries of a flow are bounded. Home agents count them for longer ([`TRY_RETENTION`]), as a packet
/// takes time to come back.
///
/// [`TRY_RETENTION`]: super::trial::TRY_RETENTION
const TRY_WINDOW: Millis = Millis(2_000);
/// Time without an answer of the store after which the mark is written again.
const MARK_RETRY_INTERVAL: Millis = Millis(1_000);
/// Time after which a held packet that is not back counts as dropped.
const HOLD_TIMEOUT: Millis = Millis(300);

/// What the store says about tries of the process before, and what this one has written about its own.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TryMark {
    /// Whether the process before may have made tries, once its record was read.
    predecessor: Option<bool>,
    state: MarkState,
    last_try: Option<Millis>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum MarkState {
    #[default]
    Absent,
    /// The store was asked to write the mark, first and last at these times.
    Requested {
        since: Millis,
        at: Millis,
    },
    Written,
}

impl TryMark {
    /// Takes over what the process before has written.
    pub(super) const fn load(&mut self, digest: &FlowDigest) {
        self.predecessor = Some(digest.has_tried);
    }

    /// Records that the store has confirmed a record with or without the mark. A confirmation that comes after the
    /// mark was cleared is of an earlier one.
    pub(super) fn confirm(&mut self, has_tried: bool) {
        if has_tried && self.state != MarkState::Absent {
            self.state = MarkState::Written;
        }
    }

    /// Records that the next record is saved without the mark.
    pub(super) const fn clear(&mut self) {
        self.state = MarkState::Absent;
    }

    /// Whether the write of the mark has been without an answer for some time.
    fn is_unanswered(&self, now: Millis) -> bool {
        matches!(self.state, MarkState::Requested { since, .. } if now.since(since) >= MARK_RETRY_INTERVAL)
    }

    fn has_tried_lately(&self, now: Millis) -> bool {
        self.last_try.is_some_and(|at| now.since(at) <= TRY_WINDOW)
    }
}

impl Agent {
    /// Whether the process before this one may have made tries that still count.
    pub(super) fn is_unsure_of_tries(&self, now: Millis) -> bool {
        self.try_mark.predecessor != Some(false) && now.since(self.started_at) <= TRY_WINDOW
    }

    /// Whether a try may be made now. If the mark is missing, it is written.
    pub(super) fn prepare_try(&mut self, now: Millis, out: &mut Vec<Effect>) -> bool {
        let (since, is_due) = match self.try_mark.state {
            MarkState::Absent => (now, true),
            MarkState::Requested { since, at } => (since, now.since(at) >= MARK_RETRY_INTERVAL),
            MarkState::Written => return !self.is_unsure_of_tries(now),
        };
        if is_due && let Some(digest) = self.marked_record() {
            self.try_mark.state = MarkState::Requested { since, at: now };
            out.push(Effect::SaveFlows(digest));
        }
        false
    }

    /// Whether a packet may be delivered on the word of an instance that knows this agent as the owner of its flow.
    ///
    /// If the store does not answer, that waits only for the tries of the process before: otherwise flows whose owner is
    /// known would end with an agent that restarts while the store is away.
    fn prepare_recorded_try(&mut self, now: Millis, out: &mut Vec<Effect>) -> bool {
        let has_no_store = self.try_mark.predecessor.is_none() || self.try_mark.is_unanswered(now);
        self.prepare_try(now, out) || has_no_store && !self.is_unsure_of_tries(now)
    }

    /// Whether a packet may be tried now, that this agent was sent in a mode. If not, it is held.
    pub(super) fn prepare_delivery(
        &mut self,
        from: Ipv4Addr,
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> bool {
        let is_ready = if packet.tag.mode == Mode::Try {
            self.prepare_try(now, out)
        } else {
            self.prepare_recorded_try(now, out)
        };
        if !is_ready {
            self.hold_try(from, packet, now, out);
        }
        is_ready
    }

    /// Records that a try is made here or handed out.
    pub(super) const fn record_try(&mut self, now: Millis) {
        self.try_mark.last_try = Some(now);
    }

    /// Whether the record in the store has a mark that is needed no longer: no try counts any more.
    pub(super) fn is_mark_outdated(&self, is_marked: bool, now: Millis) -> bool {
        let is_requested = matches!(self.try_mark.state, MarkState::Requested { .. });
        let is_needed =
            is_requested || self.try_mark.has_tried_lately(now) || self.is_unsure_of_tries(now);
        is_marked && !is_needed
    }

    /// Whether a packet of a flow that a search asks for may have been tried, or waits for that.
    pub(super) fn may_have_tried(&self, flow: &Flow, now: Millis) -> bool {
        let held = self.flows.get(flow).and_then(|s| s.held_try);
        self.is_unsure_of_tries(now) || held.is_some_and(|h| now.since(h.at) < HOLD_TIMEOUT)
    }

    /// Tells an agent that searches for a flow that a packet of it may have been tried here, so that it counts that.
    pub(super) fn report_try(
        &mut self,
        to: Ipv4Addr,
        flow: &Flow,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.flows.update(flow, |s| {
            s.is_try_counted = true;
            s.last_seen = now;
        });
        let message = Message::Tried(*flow);
        out.push(Effect::Send { to, message });
    }

    /// Keeps a packet until it may be tried, at most for [`TRY_WINDOW`], unless another one of its flow is kept.
    fn hold_try(&mut self, from: Ipv4Addr, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        if packet.tag.mode == Mode::Search {
            self.report_try(from, &packet.flow, now, out);
        }
        let held = self.flows.get(&packet.flow).and_then(|s| s.held_try);
        if held.is_some_and(|h| !h.is_back && now.since(h.at) < HOLD_TIMEOUT) {
            return;
        }
        let since = held.filter(|h| h.is_back).map_or(now, |h| h.since);
        if now.since(since) > TRY_WINDOW {
            self.flows.update(&packet.flow, |s| s.held_try = None);
            return;
        }
        if since == now {
            let age = now.since(self.started_at);
            out.push(self.peer_decision(Reason::TryDeferred, &packet.flow, from, age));
        }
        self.flows.update(&packet.flow, |s| {
            s.last_seen = now;
            s.held_try = Some(HeldTry {
                from,
                mode: packet.tag.mode,
                since,
                at: now,
                is_back: false,
            });
        });
        out.push(Effect::Hold(RelayTag {
            mode: Mode::Held,
            ..packet.tag
        }));
    }

    /// Returns a packet that was held for a try as it was before, and the instance that sent it.
    pub(super) fn restore_held_try(
        &mut self,
        packet: &Packet,
        now: Millis,
    ) -> Option<(Ipv4Addr, Packet)> {
        let held = self.flows.get(&packet.flow)?.held_try;
        let is_waiting = |h: &HeldTry| !h.is_back && now.since(h.at) <= TRY_WINDOW;
        let held = held.filter(is_waiting)?;
        self.flows.update(&packet.flow, |s| {
            s.held_try = Some(HeldTry {
                is_back: true,
                ..held
            });
        });
        let tag = RelayTag {
            mode: held.mode,
            ..packet.tag
        };
        Some((held.from, Packet { tag, ..*packet }))
    }
}

impl FlowState {
    /// Forgets tries that others reported, once they no longer count. An agent that still waits for the outcome of one
    /// reports it again when it is asked.
    pub(super) fn forget_reported_tries(&mut self, retention: Millis, now: Millis) {
        let is_outdated = |at| now.since(at) >= retention;
        self.tries
            .retain(|t| !t.is_reported || t.has_failed || !is_outdated(t.at));
    }
}
