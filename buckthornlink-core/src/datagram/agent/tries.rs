//! Tries that the home agent of a flow hands out, so that few packets of the flow reach other backend servers than
//! its own, however many agents have lost what they knew.
//!
//! The first candidates follow from the flow, as its placement did: agents that take turns as the home agent ask
//! the same ones, which remember what they found.

use std::net::Ipv4Addr;

use super::Agent;
use super::established::reset;
use super::trial::{BOUNCE_TIMEOUT, MAX_TRIES, TRY_RETENTION};
use crate::datagram::{
    Effect, Evidence, Flow, FlowState, Mode, Ownership, Packet, Reason, RelayTag, Try,
};
use crate::id::BootId;
use crate::time::Millis;

/// Time after which a packet is no longer held, as its caller may have given up.
const MAX_HOLD_TIME: Millis = Millis(1_500);
/// Time after which a packet that is held is back.
const HOLD_INTERVAL: Millis = Millis(300);

impl Agent {
    /// Has a packet tried by the next agent that may hold its flow, if this is the home agent and a try is
    /// left. Otherwise the packet is dropped, or held while the candidates are unknown.
    pub(super) fn hand_out_try(&mut self, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        let flow = &packet.flow;
        let is_unlocated = !self.flows.get(flow).is_some_and(FlowState::is_located);
        if !is_unlocated || self.is_leaving || !self.is_home(flow, now) {
            return;
        }
        if packet.tag.hops >= RelayTag::MAX_HOPS {
            return;
        }
        if !self.has_table() || !self.gossip.has_all_agents(now) {
            self.hold(packet, now, out);
            return;
        }
        let is_sure = self.is_informed(now) && !self.is_unsure_of_tries(now);
        if !is_sure || !self.has_asked_candidates(flow, now) {
            self.hold(packet, now, out);
            return;
        }
        self.flows
            .update(flow, |s| s.forget_reported_tries(TRY_RETENTION, now));
        let tries = self.flows.get(flow).map(|s| &s.tries);
        if let Some(last) = tries.and_then(|t| t.last().filter(|_| t.len() >= MAX_TRIES)) {
            let age = now.since(last.at);
            out.push(self.peer_decision(Reason::TryWithheld, flow, last.agent, age));
            return;
        }
        match self.next_try(packet, now) {
            Some(agent) if self.prepare_try(now, out) => {
                self.hand_out_try_to(agent, packet, now, out);
            }
            _ => self.hold(packet, now, out),
        }
    }

    fn hand_out_try_to(
        &mut self,
        agent: Ipv4Addr,
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.record_try(now);
        self.flows.update(&packet.flow, |s| {
            s.tries.push(Try::pending(agent, now));
        });
        if agent == self.gossip.own().ip {
            self.try_delivery(agent, None, packet, now, out);
        } else {
            let tag = packet.relay_tag(Mode::Try);
            out.push(Effect::Relay { to: agent, tag });
        }
    }

    /// The agent that tries a packet next: the last one if it has left a try unanswered, otherwise the first
    /// candidate that neither denied the flow nor failed.
    fn next_try(&self, packet: &Packet, now: Millis) -> Option<Ipv4Addr> {
        let state = self.flows.get(&packet.flow)?;
        if let Some(last) = state.tries.last().filter(|t| !t.has_failed) {
            let is_repeat_due = now.since(last.at) >= BOUNCE_TIMEOUT;
            return is_repeat_due.then_some(last.agent);
        }
        let has_failed = |ip| state.tries.iter().any(|t| t.agent == ip);
        let candidates = self.try_candidates(packet, now).into_iter();
        let mut candidates =
            candidates.filter(|ip| !state.denied_by.contains(ip) && !has_failed(*ip));
        candidates.next()
    }

    /// Keeps a packet until the next tick, and again until [`MAX_HOLD_TIME`] after the last search, unless
    /// another one of its flow is kept.
    fn hold(&mut self, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        let is_due = self.flows.update(&packet.flow, |s| {
            let is_due = if packet.tag.mode == Mode::Held {
                s.last_search
                    .is_some_and(|at| now.since(at) < MAX_HOLD_TIME)
            } else {
                s.held_at.is_none_or(|at| now.since(at) >= HOLD_INTERVAL)
            };
            if is_due {
                s.held_at = Some(now);
            }
            is_due
        });
        if is_due {
            let tag = RelayTag {
                mode: Mode::Held,
                ..packet.tag
            };
            out.push(Effect::Hold(tag));
        }
    }

    /// Handles a packet that came back from a failed try of `from`, and has it tried by another agent.
    ///
    /// If `from` owned the flow and knows its backend server by a later boot since, the flow has ended with an earlier one.
    pub(super) fn handle_failed_try(
        &mut self,
        from: Ipv4Addr,
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let mode = packet.tag.mode;
        let owner = self
            .flows
            .update(&packet.flow, |s| s.record_failed_try(from, mode, now));
        if owner.is_some_and(|boot| self.has_renamed(from, boot)) {
            out.push(self.returned_decision(&packet.flow, from));
            out.push(reset(packet));
            return;
        }
        self.continue_search(from, packet, now, out);
    }

    /// Whether an agent knows its backend server by a later boot than this one.
    fn has_renamed(&self, agent: Ipv4Addr, boot: BootId) -> bool {
        let member = self.gossip.membership().get(agent);
        member.is_some_and(|m| m.has_renamed(boot))
    }

    /// Returns the log entry of the reset of a flow whose owner returned a packet of it.
    fn returned_decision(&self, flow: &Flow, owner: Ipv4Addr) -> Effect {
        let mut decision = self.peer_end_decision(Reason::BackendOver, flow, owner, Millis(0));
        decision.evidence = Some(Evidence::Bounced);
        Effect::Log(decision)
    }

    /// Records that `from` delivered a packet of a flow that others search for, on somebody's word, and has no answer.
    pub(super) fn handle_pending_try(&mut self, from: Ipv4Addr, flow: &Flow, now: Millis) {
        let is_searched = |s: &FlowState| s.last_search.is_some();
        if self.flows.get(flow).is_some_and(is_searched) {
            self.flows
                .update(flow, |s| s.record_reported_try(from, now));
        }
    }

    /// Handles a packet that `from` was to try, which knows that its backend server does not hold the flow.
    pub(super) fn handle_declined_try(
        &mut self,
        from: Ipv4Addr,
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.flows
            .update(&packet.flow, |s| s.withdraw_try(from, now));
        self.continue_search(from, packet, now, out);
    }

    /// Continues the search for the owner of a packet that came back from `from`, which does not own its flow.
    fn continue_search(
        &mut self,
        from: Ipv4Addr,
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let owner = self
            .flows
            .get(&packet.flow)
            .and_then(FlowState::remote_owner);
        if let Some(owner) = owner.filter(|(ip, _)| *ip != from) {
            self.forward_to_owner(owner, packet, now, out);
            return;
        }
        self.flows.update(&packet.flow, |s| {
            s.expire_search(now);
            s.denied_by.insert(from);
        });
        self.search(packet, now, out);
    }
}

impl Try {
    /// A try that is neither answered nor failed yet.
    const fn pending(agent: Ipv4Addr, now: Millis) -> Self {
        Self {
            agent,
            at: now,
            has_failed: false,
            is_reported: false,
        }
    }
}

impl FlowState {
    /// Records that the backend server beside `agent` returned a packet, whoever had it tried; with
    /// [`Mode::Exhausted`], that it was given as many packets as are allowed. Returns the boot at which `agent` was known to own the flow,
    /// if it was.
    pub(super) fn record_failed_try(
        &mut self,
        agent: Ipv4Addr,
        mode: Mode,
        now: Millis,
    ) -> Option<BootId> {
        let owner = self.remote_owner().filter(|(ip, _)| *ip == agent);
        if owner.is_some() {
            self.ownership = Ownership::Remote { owner: None };
        }
        self.record_pending_try(agent, now);
        let of_agent = |t: &&Try| t.agent == agent;
        while mode == Mode::Exhausted && self.tries.iter().filter(of_agent).count() < MAX_TRIES {
            self.tries.push(Try::pending(agent, now));
        }
        for failed in self.tries.iter_mut().filter(|t| t.agent == agent) {
            failed.has_failed = true;
        }
        owner.map(|(_, boot)| boot)
    }

    /// Records that the backend server beside `agent` was given a packet, unless that is known.
    fn record_pending_try(&mut self, agent: Ipv4Addr, now: Millis) {
        self.last_seen = now;
        if !self.tries.iter().any(|t| t.agent == agent) {
            self.tries.push(Try::pending(agent, now));
        }
    }

    /// Records that `agent` reports a try, which it may have made or its process before.
    fn record_reported_try(&mut self, agent: Ipv4Addr, now: Millis) {
        let reported = |t: &&mut Try| t.agent == agent && t.is_reported;
        if let Some(known) = self.tries.iter_mut().find(reported) {
            known.at = now;
        } else if !self.tries.iter().any(|t| t.agent == agent) {
            let is_reported = true;
            self.tries.push(Try {
                is_reported,
                ..Try::pending(agent, now)
            });
        }
        self.last_seen = now;
    }

    /// Takes back a try that `agent` has not made.
    pub(super) fn withdraw_try(&mut self, agent: Ipv4Addr, now: Millis) {
        self.last_seen = now;
        self.tries.retain(|t| t.agent != agent || t.has_failed);
    }

    /// Forgets the tries of a flow whose owner became known, but for those that failed just before.
    pub(super) fn forget_tries(&mut self, now: Millis) {
        self.tries
            .retain(|t| t.has_failed && now.since(t.at) < TRY_RETENTION);
    }
}
