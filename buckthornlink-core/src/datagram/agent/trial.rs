//! Trial deliveries, which find out whether the backend server holds a flow.
//!
//! An agent makes one on the word of an instance that knows it as the owner, or if the flow's home agent asks for
//! it (`tries`), never on its own account.

use std::net::Ipv4Addr;

use super::Agent;
use crate::datagram::{
    Decision, Effect, Flow, FlowState, Message, Mode, Ownership, Packet, Reason, RelayTag, Trial,
};
use crate::time::Millis;

/// Maximum tries of a flow whose owner is unknown. The next packet could be the third at other backend
/// servers.
pub(super) const MAX_TRIES: usize = 2;
/// Time in which a failed try counts even if the owner of the flow became known since.
pub(super) const TRY_RETENTION: Millis = Millis(2_500);
/// Time within which a backend server returns a packet of a flow that it does not hold.
pub(super) const BOUNCE_TIMEOUT: Millis = Millis(200);

impl Agent {
    /// Delivers a packet of a flow that the backend server holds by the records of others or of an earlier
    /// process. A search is told the outcome.
    pub(super) fn try_recorded(
        &mut self,
        from: Ipv4Addr,
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let is_search = matches!(packet.tag.mode, Mode::Try | Mode::Search);
        self.try_delivery(from, is_search.then_some(from), packet, now, out);
    }

    /// Delivers a packet to the backend server, which may hold its flow, because `from` says so.
    pub(super) fn try_delivery(
        &mut self,
        from: Ipv4Addr,
        requester: Option<Ipv4Addr>,
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let is_own = from == self.gossip.own().ip;
        if !is_own && !self.prepare_delivery(from, packet, now, out) {
            return;
        }
        self.record_try(now);
        out.push(self.trial_decision(from, packet, now));
        self.flows.update(&packet.flow, |s| {
            s.held_try = None;
            s.ownership = Ownership::Trial { requester };
            s.is_try_counted |= packet.tag.mode == Mode::Try;
            s.record_caller_packet(packet, now);
            s.record_trial(now);
        });
        self.deliver_to_backend(packet, true, now, out);
    }

    /// Delivers one further packet of a flow whose trial the backend server has left unanswered, once that has had
    /// time to return the first one; drops others.
    ///
    /// A search is told of the trial instead: it asks others as well. The home agent that was told of it, or has asked for
    /// it, counts it, and alone asks for a repetition.
    pub(super) fn repeat_trial(
        &mut self,
        from: Ipv4Addr,
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if packet.tag.mode == Mode::Search {
            self.report_try(from, &packet.flow, now, out);
            return;
        }
        let own = self.gossip.own().ip;
        let is_due = self.flows.get(&packet.flow).is_some_and(|s| {
            let is_asked = packet.tag.mode == Mode::Try;
            s.can_repeat_trial(own, is_asked) && now.since(s.tried_at) >= BOUNCE_TIMEOUT
        });
        if !is_due || !self.prepare_try(now, out) {
            return;
        }
        self.record_try(now);
        out.push(self.trial_decision(from, packet, now));
        self.flows.update(&packet.flow, |s| s.record_trial(now));
        self.deliver_to_backend(packet, false, now, out);
    }

    /// Handles a packet that the backend server returned after a trial delivery, or after it lost the flow to
    /// another one: returns it to the agent that asked for the trial, or to the home agent.
    pub(super) fn return_failed_trial(
        &mut self,
        requester: Option<Ipv4Addr>,
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let own = self.gossip.own().ip;
        let mode = self.flows.update(&packet.flow, |s| {
            s.ownership = Ownership::Remote { owner: None };
            let mode = s.failure_mode();
            s.record_failed_try(own, mode, now);
            mode
        });
        let home = self.gossip.membership().home_agent(&packet.flow, now);
        let to = requester.or(home).unwrap_or(own);
        if to == own {
            let packet = Packet {
                tag: RelayTag { mode, ..packet.tag },
                ..*packet
            };
            self.handle_failed_try(own, &packet, now, out);
        } else if packet.tag.hops < RelayTag::MAX_HOPS {
            let tag = packet.relay_tag(mode);
            out.push(Effect::Relay { to, tag });
        }
    }

    /// Tells the agent that asked for a trial that the backend server holds the flow.
    pub(super) fn report_trial_success(
        &self,
        requester: Option<Ipv4Addr>,
        flow: &Flow,
        out: &mut Vec<Effect>,
    ) {
        let is_open = self.flows.get(flow).is_some_and(FlowState::is_established);
        if let Some(to) = requester.filter(|_| is_open) {
            let message = Message::OwnerRecords(vec![self.owner_record(flow)]);
            out.push(Effect::Send { to, message });
        }
    }

    /// Returns the log entry of a trial delivery of a packet from another instance.
    fn trial_decision(&self, from: Ipv4Addr, packet: &Packet, now: Millis) -> Effect {
        let earlier = self.flows.get(&packet.flow).map_or(0, |s| s.trial_count);
        Effect::Log(Decision {
            reason: Reason::Tried,
            flow: Some(packet.flow),
            peer: Some(from),
            version: self.table.version,
            age: now.since(self.started_at),
            phase: Some(self.gossip.own().phase),
            evidence: None,
            trial: Some(Trial {
                mode: packet.tag.mode,
                earlier,
            }),
        })
    }

    /// Returns the log entry of the outcome of a flow's last trial delivery.
    pub(super) fn trial_outcome(&self, reason: Reason, flow: &Flow, now: Millis) -> Effect {
        let tried_at = self.flows.get(flow).map_or(now, |s| s.tried_at);
        self.decision(reason, Some(*flow), now.since(tried_at))
    }
}

impl FlowState {
    /// Records a trial delivery by this agent.
    fn record_trial(&mut self, now: Millis) {
        self.trial_count = self.trial_count.saturating_add(1);
        self.tried_at = now;
    }

    /// Whether one more packet may be tried here: by the count of this process and, if `is_asked` is false, by what it knows
    /// of tries at others. The home agent that asks for it has counted those.
    fn can_repeat_trial(&self, own: Ipv4Addr, is_asked: bool) -> bool {
        let others = self.tries.iter().filter(|t| t.agent != own).count();
        let is_within_bound = usize::from(self.trial_count) + others < MAX_TRIES;
        !self.is_trial_exhausted() && (is_asked || is_within_bound && !self.is_try_counted)
    }

    /// How a failed trial is reported: whether it was of one packet or of as many as are allowed.
    pub(super) fn failure_mode(&self) -> Mode {
        if self.is_trial_exhausted() {
            Mode::Exhausted
        } else {
            Mode::Failed
        }
    }

    /// Whether the backend server was given as many packets as may reach others than the owner of the flow.
    pub(super) fn is_trial_exhausted(&self) -> bool {
        usize::from(self.trial_count) >= MAX_TRIES
    }
}
