//! Search for the owner of a flow that the local backend server does not hold.

use std::net::Ipv4Addr;

use super::Agent;
use super::established::reset;
use crate::datagram::{
    Decision, Effect, Evidence, Flow, FlowState, Measure, Message, Mode, OwnerRecord, Ownership,
    Packet, Reason, RelayTag,
};
use crate::id::BootId;
use crate::time::Millis;

/// Minimum interval between searches for one flow.
const SEARCH_INTERVAL: Millis = Millis(150);
/// Time since the last search for a flow after which it is no longer active and earlier denials no
/// longer count.
const DENIAL_RETENTION: Millis = Millis(2_000);
/// Margin beyond the idle timeout of flows after which an agent has seen a packet of every open
/// flow.
const IDLE_MARGIN: Millis = Millis(1_000);
/// Maximum searches that are also advanced by ticks, between the packets of their flows.
pub(super) const MAX_ACTIVE_SEARCHES: usize = 4_096;
/// Maximum agents that are queried for one flow. In a larger fleet, denials end no flow.
const MAX_QUERIED_AGENTS: usize = 512;

impl Agent {
    /// Stores owner records from other agents, and logs the owner of a searched flow once.
    pub(super) fn apply_owner_records(
        &mut self,
        from: Ipv4Addr,
        records: &[OwnerRecord],
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        for record in records {
            if record.owner == self.gossip.own().ip {
                self.apply_own_record(record, now);
                continue;
            }
            let is_repeated = from != record.owner;
            let owner = self.gossip.membership().get(record.owner);
            let informed = owner.map(|m| m.fact.boot).filter(|_| !is_repeated);
            let last_search = self.flows.update(&record.flow, |s| {
                s.informed_owner = informed.or(s.informed_owner);
                s.apply_owner_record(record, is_repeated, now)
            });
            if let Some(at) = last_search {
                let age = now.since(at);
                out.push(Effect::Measure(Measure::Search, age));
                out.push(self.peer_decision(Reason::OwnerLearnt, &record.flow, record.owner, age));
            }
        }
    }

    /// Relays a packet to the owner of its flow, or resets the flow if the owner's backend server
    /// has ended.
    pub(super) fn forward_to_owner(
        &mut self,
        owner: (Ipv4Addr, BootId),
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let member = self.gossip.membership().get(owner.0);
        if member.is_some_and(|m| m.is_backend_over(owner.1)) {
            out.push(self.reported_end_decision(&packet.flow, owner, now));
            out.push(reset(packet));
        } else if packet.tag.hops < RelayTag::MAX_HOPS {
            out.push(Effect::Relay {
                to: owner.0,
                tag: packet.relay_tag(Mode::Recorded),
            });
        } else {
            let age = member.map_or(Millis(0), |m| now.since(m.last_heard));
            out.push(self.peer_decision(Reason::HopsExceeded, &packet.flow, owner.0, age));
        }
    }

    /// Handles a packet of a flow whose owner is unknown: by a trial delivery, a denial or a search.
    ///
    /// An agent that cannot tell whether it owns the flow delivers the packet on the word of an instance
    /// that knows it as the owner, or if the home agent asks for it, and on its own account never.
    pub(super) fn locate_owner(
        &mut self,
        from: Ipv4Addr,
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let can_deny = self.can_deny(&packet.flow, now);
        let state = self.flows.get(&packet.flow);
        let tried = state.filter(|s| s.trial_count > 0);
        let failure = tried.map(FlowState::failure_mode);
        let ended = self.saved_as_ended(&packet.flow, now).copied();
        match packet.tag.mode {
            Mode::Search if ended.is_some_and(|saved| saved.is_same(packet.ack)) => {
                let message = ended.map(Message::Ended);
                out.extend(message.map(|message| Effect::Send { to: from, message }));
            }
            Mode::Search | Mode::Try if can_deny && failure.is_some() => {
                let tag = packet.relay_tag(failure.unwrap_or(Mode::Failed));
                out.push(Effect::Relay { to: from, tag });
            }
            Mode::Search if can_deny => out.push(Effect::Send {
                to: from,
                message: Message::Denied(packet.flow),
            }),
            Mode::Search if self.may_have_tried(&packet.flow, now) => {
                self.report_try(from, &packet.flow, now, out);
            }
            Mode::Search => {}
            Mode::Try if can_deny => {
                let tag = packet.relay_tag(Mode::Declined);
                out.push(Effect::Relay { to: from, tag });
            }
            Mode::Try => self.try_delivery(from, Some(from), packet, now, out),
            Mode::Known | Mode::Recorded if !can_deny => {
                self.try_delivery(from, None, packet, now, out);
            }
            Mode::Failed | Mode::Exhausted => self.handle_failed_try(from, packet, now, out),
            Mode::Declined => self.handle_declined_try(from, packet, now, out),
            Mode::Held => self.hand_out_try(packet, now, out),
            _ => self.search(packet, now, out),
        }
    }

    /// Searches for the owner of a packet's flow: queries the agents that may own it, and has the packet
    /// tried if this is the home agent.
    pub(super) fn search(&mut self, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        let is_due = self.flows.update(&packet.flow, |s| {
            let is_due = s
                .last_search
                .is_none_or(|at| now.since(at) >= SEARCH_INTERVAL);
            if is_due {
                s.record_search(packet, now);
            }
            is_due
        });
        if is_due && packet.tag.hops < RelayTag::MAX_HOPS {
            if self.active_searches.len() < MAX_ACTIVE_SEARCHES {
                self.active_searches.insert(packet.flow);
            }
            self.query_candidates(packet, now, out);
            self.reset_if_denied(&packet.flow, now, out);
        }
        self.hand_out_try(packet, now, out);
    }

    /// Sends a packet to the agents that may own its flow and have not denied it yet. The home agent gets it
    /// as a look-up, since only that one has packets tried.
    fn query_candidates(&mut self, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        let pending: Vec<Ipv4Addr> = self.pending_candidates(&packet.flow).collect();
        out.push(self.search_decision(&packet.flow, pending.first().copied(), now));
        let home = self.gossip.membership().home_agent(&packet.flow, now);
        for to in pending {
            self.record_query(to, &packet.flow, now);
            let mode = if Some(to) == home {
                Mode::Lookup
            } else {
                Mode::Search
            };
            let tag = packet.relay_tag(mode);
            out.push(Effect::Relay { to, tag });
        }
    }

    /// Returns the log entry of a search, with the first agent that is yet to answer and the time
    /// since it was last heard.
    fn search_decision(&self, flow: &Flow, pending: Option<Ipv4Addr>, now: Millis) -> Effect {
        let Some(ip) = pending else {
            return self.decision(Reason::Searched, Some(*flow), Millis(0));
        };
        let member = self.gossip.membership().get(ip);
        let age = member.map_or(Millis(0), |m| now.since(m.last_heard));
        self.peer_decision(Reason::Searched, flow, ip, age)
    }

    /// Returns the log entry of a decision about a flow that depends on another instance.
    pub(super) fn peer_decision(
        &self,
        reason: Reason,
        flow: &Flow,
        peer: Ipv4Addr,
        age: Millis,
    ) -> Effect {
        Effect::Log(self.peer_end_decision(reason, flow, peer, age))
    }

    /// The same, to be completed by its evidence.
    pub(super) fn peer_end_decision(
        &self,
        reason: Reason,
        flow: &Flow,
        peer: Ipv4Addr,
        age: Millis,
    ) -> Decision {
        let member = self.gossip.membership().get(peer);
        Decision {
            reason,
            flow: Some(*flow),
            peer: Some(peer),
            version: self.table.version,
            age,
            phase: member.map(|m| m.fact.phase),
            evidence: None,
            trial: None,
        }
    }

    /// Returns the log entry of the reset of a flow whose owner reported the end of its backend server.
    fn reported_end_decision(&self, flow: &Flow, owner: (Ipv4Addr, BootId), now: Millis) -> Effect {
        let member = self.gossip.membership().get(owner.0);
        let age = member.map_or(Millis(0), |m| now.since(m.last_fact));
        let mut decision = self.peer_end_decision(Reason::BackendOver, flow, owner.0, age);
        decision.evidence = member.and_then(|m| m.end_evidence(owner.1));
        Effect::Log(decision)
    }

    /// Records that another agent denies a searched flow.
    pub(super) fn handle_denial(
        &mut self,
        from: Ipv4Addr,
        flow: &Flow,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let is_searched = self
            .flows
            .get(flow)
            .is_some_and(|s| s.last_search.is_some());
        if !is_searched {
            return;
        }
        self.flows.update(flow, |s| {
            s.denied_by.insert(from);
            s.withdraw_try(from, now);
        });
        self.reset_if_denied(flow, now, out);
    }

    /// Probes the agents that active searches wait for and that may still answer, and resets flows that no agent
    /// owns. An agent that is given up is asked again with the next packet, or once it is heard.
    ///
    /// The caller's retransmissions come at growing intervals, so a search does not wait for them.
    pub(super) fn advance_searches(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let mut searches = std::mem::take(&mut self.active_searches);
        searches.retain(|flow| self.is_searching(flow, now));
        let mut unanswered: Vec<Ipv4Addr> = Vec::new();
        for flow in &searches {
            unanswered.extend(self.pending_candidates(flow));
        }
        unanswered.sort_unstable();
        unanswered.dedup();
        unanswered.retain(|ip| !self.is_unresponsive(*ip, now));
        for ip in unanswered {
            self.gossip.probe(ip, now, out);
        }
        self.active_searches = searches;
        self.resume_searches(now, out);
    }

    /// Whether a flow was searched for recently and its owner is still unknown.
    fn is_searching(&self, flow: &Flow, now: Millis) -> bool {
        let state = self.flows.get(flow);
        state.is_some_and(|s| {
            let is_unlocated = matches!(
                s.ownership,
                Ownership::Unknown | Ownership::Remote { owner: None }
            );
            is_unlocated
                && s.last_search
                    .is_some_and(|at| now.since(at) < DENIAL_RETENTION)
        })
    }

    /// Resets a flow that was not found if it is known to have ended, or every candidate owner has denied it; returns
    /// whether it did.
    pub(super) fn reset_if_denied(
        &mut self,
        flow: &Flow,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(state) = self.flows.get(flow) else {
            return false;
        };
        if state.is_located() || self.table.route(flow).is_none() {
            return false;
        }
        let age = now.since(state.last_search.unwrap_or(now));
        let reset = Effect::Reset {
            flow: *flow,
            seq: state.last_ack,
        };
        let decision = if let Some(owner) = self.ended_owner(flow, now) {
            self.saved_end_decision(flow, owner, age)
        } else if self.is_denied_for_certain(flow, now) {
            self.denial_decision(flow, age, now)
        } else {
            return false;
        };
        out.push(Effect::Measure(Measure::Search, age));
        out.push(decision);
        out.push(reset);
        self.active_searches.remove(flow);
        true
    }

    /// Whether all agents that may own a flow are known and have denied it.
    fn is_denied_for_certain(&self, flow: &Flow, now: Millis) -> bool {
        self.gossip.is_certain_of_agents(now)
            && self.can_query_all()
            && self.can_deny(flow, now)
            && self.is_denied_by_all(flow, now)
    }

    /// Returns the log entry of a reset for want of an owner. If an agent that reported the end of its backend server is
    /// silent since, it names that one and for how long; otherwise it has the age of the search.
    fn denial_decision(&self, flow: &Flow, search_age: Millis, now: Millis) -> Effect {
        let membership = self.gossip.membership();
        let silent = self
            .pending_candidates(flow)
            .find_map(|ip| membership.get(ip));
        Effect::Log(Decision {
            reason: Reason::DeniedByAll,
            flow: Some(*flow),
            peer: silent.map(|m| m.fact.ip),
            version: self.table.version,
            age: silent.map_or(search_age, |m| now.since(m.last_heard)),
            phase: Some(silent.map_or(self.gossip.own().phase, |m| m.fact.phase)),
            evidence: Some(Evidence::Denied),
            trial: None,
        })
    }

    /// Whether each agent that may own a flow has denied it, or reported the end of its backend server before it
    /// fell silent. The silence of others says nothing about their backend servers.
    fn is_denied_by_all(&self, flow: &Flow, now: Millis) -> bool {
        let membership = self.gossip.membership();
        let pending = self.pending_candidates(flow);
        let mut pending = pending.filter_map(|ip| membership.get(ip));
        pending.all(|m| m.fact.phase.is_over() && m.is_unresponsive(now))
    }

    /// Whether the agent can deny a flow, because its backend server is known not to hold it.
    ///
    /// An agent that has run for longer than an open flow may be idle, with no absence, has seen a packet of
    /// every flow of its backend server, even if it started after the backend server. Before, an offer says
    /// nothing: the opening packet may be a late copy of one that an earlier process delivered.
    pub(super) fn can_deny(&self, flow: &Flow, now: Millis) -> bool {
        let state = self.flows.get(flow);
        let ownership = state.map(|s| s.ownership).unwrap_or_default();
        let is_observed = !matches!(
            ownership,
            Ownership::Unknown
                | Ownership::Offered
                | Ownership::HalfOpen { .. }
                | Ownership::Recorded { .. }
        );
        let is_unnamed = || self.is_saved_set_final() && !self.is_saved(flow);
        is_observed || self.backend.is_over() || self.knows_all_flows(now) || is_unnamed()
    }

    /// Whether this process has seen a packet of every flow that the backend server holds.
    pub(super) fn knows_all_flows(&self, now: Millis) -> bool {
        let has_seen_all = now.since(self.gossip.present_since()) > self.table.idle + IDLE_MARGIN;
        self.backend.is_tracked() || self.has_table() && has_seen_all
    }

    /// Returns the other agents that may own a flow and have not denied it.
    pub(super) fn pending_candidates(&self, flow: &Flow) -> impl Iterator<Item = Ipv4Addr> {
        let denied = self.flows.get(flow).map(|s| &s.denied_by);
        let has_denied = move |ip: &Ipv4Addr| denied.is_some_and(|ips| ips.contains(ip));
        let candidates = self.owner_candidates(flow);
        candidates.filter(move |ip| !has_denied(ip))
    }

    /// Returns the other agents that may own a flow.
    ///
    /// A flow stays at its backend server when its route changes to other services, so all agents
    /// are queried if there are few enough, otherwise those of the route's current services.
    fn owner_candidates(&self, flow: &Flow) -> impl Iterator<Item = Ipv4Addr> {
        let own = self.gossip.own().ip;
        let membership = self.gossip.membership();
        let can_query_all = self.can_query_all();
        let all = can_query_all.then(|| membership.all_agents());
        let route = self.table.route(flow).filter(|_| !can_query_all);
        let targets = route.into_iter().flat_map(|r| &r.targets);
        let services = targets.map(|target| target.service);
        let of_route = services.flat_map(|service| membership.agents(service));
        let candidates = all.into_iter().flatten().chain(of_route);
        let ips = candidates.map(|m| m.fact.ip).filter(move |&ip| ip != own);
        ips.take(MAX_QUERIED_AGENTS)
    }

    /// Whether a search does not wait for an agent, because it is unknown or has not responded in
    /// time.
    pub(super) fn is_unresponsive(&self, ip: Ipv4Addr, now: Millis) -> bool {
        let member = self.gossip.membership().get(ip);
        member.is_none_or(|m| m.is_unresponsive(now))
    }

    /// Whether there are few enough agents to query all of them at once.
    fn can_query_all(&self) -> bool {
        let membership = self.gossip.membership();
        let is_small = membership.len() <= MAX_QUERIED_AGENTS;
        is_small || membership.all_agents().nth(MAX_QUERIED_AGENTS).is_none()
    }
}

impl FlowState {
    /// Stores the owner that another agent reported, unless the local backend server holds the flow;
    /// returns the time of the last search if the owner was unknown.
    ///
    /// A record that another agent repeats may be old, and only fills a gap.
    fn apply_owner_record(
        &mut self,
        record: &OwnerRecord,
        is_repeated: bool,
        now: Millis,
    ) -> Option<Millis> {
        let known = match self.ownership {
            Ownership::Open => return None,
            Ownership::Remote { owner } => owner,
            _ => None,
        };
        let is_outdated = |(owner, backend)| is_repeated || record.is_outdated_by(owner, backend);
        if known.is_some_and(is_outdated) {
            return None;
        }
        let is_new = known.is_none();
        self.ownership = Ownership::Remote {
            owner: Some((record.owner, record.backend)),
        };
        self.last_seen = now;
        self.forget_tries(now);
        self.last_search.filter(|_| is_new)
    }

    /// Whether the local backend server holds the flow or is being tried, or its owner is known, whatever others
    /// deny.
    pub(super) const fn is_located(&self) -> bool {
        matches!(
            self.ownership,
            Ownership::Open
                | Ownership::Recorded { .. }
                | Ownership::Trial { .. }
                | Ownership::Remote { owner: Some(_) }
        )
    }

    /// Forgets the answers to the last search if it was too long ago; denials of recent ones still count.
    pub(super) fn expire_search(&mut self, now: Millis) {
        let is_expired = |at| now.since(at) >= DENIAL_RETENTION;
        if self.last_search.is_some_and(is_expired) {
            self.last_search = None;
            self.searched_since = None;
            self.denied_by.clear();
            self.ended_at = None;
            self.queried.clear();
        }
    }

    /// Records a search.
    fn record_search(&mut self, packet: &Packet, now: Millis) {
        self.expire_search(now);
        self.searched_since.get_or_insert(now);
        self.last_search = Some(now);
        self.last_seen = now;
        self.last_ack = packet.ack;
    }
}
