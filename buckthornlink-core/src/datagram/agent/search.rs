//! Finding the owner of a flow that is not the backend server's own.

use std::net::Ipv4Addr;

use super::Agent;
use super::own::reset;
use crate::datagram::{
    Decision, Effect, Flow, FlowState, Holding, Measure, Member, Message, Mode, OwnerRecord,
    Packet, Reason, RelayTag,
};
use crate::id::BootId;
use crate::time::Millis;

/// A flow is searched for at most this often.
const SEARCH_INTERVAL: Millis = Millis(150);
/// Time without a search after which earlier denials no longer count.
const DENIAL_SPAN: Millis = Millis(2_000);
/// Time beyond the idle time of flows after which an agent has seen all flows.
const IDLE_MARGIN: Millis = Millis(1_000);
/// Time after the start within which every searched packet is tried.
const RECOVERY_SPAN: Millis = Millis(12_000);
/// Groups of agents that take turns in trying searched packets.
const TRY_GROUPS: u8 = 8;
/// Most searches that are followed between the packets of their flows.
const MAX_SEARCHES: usize = 4_096;
/// Most agents that are asked for one flow.
const MAX_ASKED: usize = 160;

impl Agent {
    /// Takes notes of other owners over.
    pub(super) fn learn(&mut self, notes: &[OwnerRecord], now: Millis, out: &mut Vec<Effect>) {
        for note in notes {
            let searched = self.flows.change(&note.flow, |s| s.learn(note, now));
            if let Some(since) = searched {
                let age = now.since(since);
                out.push(Effect::Measure(Measure::Search, age));
                out.push(self.about(Reason::OwnerLearnt, &note.flow, note.owner, age));
            }
        }
    }

    /// Sends a packet to the owner of its flow, or ends the flow if the owner's backend server has.
    pub(super) fn pass_on(
        &mut self,
        owner: (Ipv4Addr, BootId),
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let member = self.gossip.membership().get(owner.0);
        if member.is_some_and(|m| m.has_backend_ended(owner.1)) {
            out.push(self.decision(Reason::BackendOver, Some(packet.flow), Millis(0)));
            out.push(reset(packet));
        } else if packet.tag.hops < RelayTag::MAX_HOPS {
            out.push(Effect::Relay {
                to: owner.0,
                tag: packet.relay_tag(Mode::Recorded),
            });
        } else {
            let age = member.map_or(Millis(0), |m| now.since(m.last_heard));
            out.push(self.about(Reason::HopsExceeded, &packet.flow, owner.0, age));
        }
    }

    /// Handles a packet of a flow that is neither known here nor noted.
    pub(super) fn find(
        &mut self,
        from: Ipv4Addr,
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let is_search = packet.tag.mode == Mode::Search;
        if !self.denies(&packet.flow, now) {
            if is_search && !self.may_try(packet, now) {
                return;
            }
            let asker = is_search.then_some(from);
            self.flows.change(&packet.flow, |s| {
                s.holding = Holding::Tried { asker };
                s.seen = now;
            });
            out.push(Effect::Deliver(packet.tag));
        } else if is_search {
            out.push(Effect::Send {
                to: from,
                message: Message::Denied(packet.flow),
            });
        } else {
            self.search(packet, now, out);
        }
    }

    /// Asks the agents that may own a flow and have not denied it yet.
    pub(super) fn search(&mut self, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        let is_due = self.flows.change(&packet.flow, |s| {
            let is_due = s.searched.is_none_or(|at| now.since(at) >= SEARCH_INTERVAL);
            if is_due {
                s.begin_search(packet, now);
            }
            is_due
        });
        if !is_due || packet.tag.hops >= RelayTag::MAX_HOPS {
            return;
        }
        let undecided = self.undecided(&packet.flow);
        out.push(self.searched(&packet.flow, undecided.first().copied(), now));
        if self.searches.len() < MAX_SEARCHES {
            self.searches.insert(packet.flow);
        }
        let mut tag = packet.relay_tag(Mode::Search);
        tag.hops = self.flows.change(&packet.flow, |s| {
            s.rounds = s.rounds.wrapping_add(1);
            s.rounds % TRY_GROUPS
        });
        for to in undecided {
            if let Some(member) = self.gossip.membership_mut().get_mut(to) {
                member.record_search(now);
            }
            out.push(Effect::Relay { to, tag });
        }
        self.judge(&packet.flow, now, out);
    }

    /// The decision to search, with the first agent that is still to answer and its age.
    fn searched(&self, flow: &Flow, undecided: Option<Ipv4Addr>, now: Millis) -> Effect {
        let Some(ip) = undecided else {
            return self.decision(Reason::Searched, Some(*flow), Millis(0));
        };
        let member = self.gossip.membership().get(ip);
        let age = member.map_or(Millis(0), |m| now.since(m.last_heard));
        self.about(Reason::Searched, flow, ip, age)
    }

    /// A decision about a flow that depends on another instance.
    fn about(&self, reason: Reason, flow: &Flow, peer: Ipv4Addr, age: Millis) -> Effect {
        let member = self.gossip.membership().get(peer);
        Effect::Log(Decision {
            reason,
            flow: Some(*flow),
            peer: Some(peer),
            version: self.table.version,
            age,
            phase: member.map(|m| m.fact.phase),
        })
    }

    /// Another agent denies a flow that was searched for.
    pub(super) fn denied(
        &mut self,
        from: Ipv4Addr,
        flow: &Flow,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let is_searched = self.flows.get(flow).is_some_and(|s| s.searched.is_some());
        if !is_searched {
            return;
        }
        self.flows.change(flow, |s| {
            if !s.denied.contains(&from) {
                s.denied.push(from);
            }
        });
        self.judge(flow, now, out);
    }

    /// Probes the agents that open searches wait for, and ends flows that no live agent may own.
    ///
    /// The caller's copies come ever more seldom, so a search does not wait for them.
    pub(super) fn follow_searches(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let mut searches = std::mem::take(&mut self.searches);
        searches.retain(|flow| self.is_searching(flow, now));
        let mut late: Vec<Ipv4Addr> = Vec::new();
        for flow in &searches {
            late.extend(self.undecided(flow));
        }
        late.sort_unstable();
        late.dedup();
        for ip in late {
            self.gossip.probe(ip, now, out);
        }
        searches.retain(|flow| !self.judge(flow, now, out));
        self.searches = searches;
    }

    /// Whether a flow was searched for of late and is not known to live somewhere.
    fn is_searching(&self, flow: &Flow, now: Millis) -> bool {
        let state = self.flows.get(flow);
        state.is_some_and(|s| {
            let is_lost = matches!(
                s.holding,
                Holding::Unknown | Holding::Foreign { owner: None }
            );
            is_lost && s.searched.is_some_and(|at| now.since(at) < DENIAL_SPAN)
        })
    }

    /// Ends a flow that every agent which might own it denies; returns whether it did.
    fn judge(&mut self, flow: &Flow, now: Millis, out: &mut Vec<Effect>) -> bool {
        let is_settled = self.gossip.has_all_agents(now) && self.is_small();
        if !is_settled || !self.denies(flow, now) || self.table.route(flow).is_none() {
            return false;
        }
        let Some(state) = self.flows.get(flow) else {
            return false;
        };
        let seq = state.acked;
        let undecided = self.undecided(flow);
        let is_denied = undecided.iter().all(|ip| self.is_silent(*ip, now));
        if is_denied {
            let age = now.since(state.searched.unwrap_or(now));
            out.push(Effect::Measure(Measure::Search, age));
            out.push(self.decision(Reason::DeniedByAll, Some(*flow), age));
            out.push(Effect::Reset { flow: *flow, seq });
            self.searches.remove(flow);
        }
        is_denied
    }

    /// Whether the backend server is known not to hold a flow.
    ///
    /// An agent that has run for longer than an open flow may be idle has seen packets of every
    /// flow of its backend server, even if it has not seen the backend server start.
    fn denies(&self, flow: &Flow, now: Millis) -> bool {
        let state = self.flows.get(flow);
        let holding = state.map(|s| s.holding).unwrap_or_default();
        let has_seen_all = now.since(self.started) > self.table.idle + IDLE_MARGIN;
        holding != Holding::Unknown
            || self.backend.is_witnessed()
            || self.backend.is_gone()
            || self.has_table() && has_seen_all
    }

    /// Whether a searched packet may be tried at the backend server.
    ///
    /// Shortly after the start all flows are to be found again at once. Later on the agents that do
    /// not know all their flows take turns, so that a packet does not reach many backend servers.
    fn may_try(&self, packet: &Packet, now: Millis) -> bool {
        let group = packet.flow.rank(self.gossip.own().ip) % u64::from(TRY_GROUPS);
        now.since(self.started) < RECOVERY_SPAN || group == u64::from(packet.tag.hops)
    }

    /// The other agents that may own a flow and have not denied it.
    fn undecided(&self, flow: &Flow) -> Vec<Ipv4Addr> {
        let state = self.flows.get(flow);
        let denied = state.map(|s| s.denied.as_slice()).unwrap_or_default();
        let mut ips = self.suspects(flow);
        ips.retain(|ip| !denied.contains(ip));
        ips
    }

    /// The other agents that may own a flow.
    ///
    /// A flow stays at its backend server when its route changes to other services, so all agents
    /// are asked where that is feasible, else those of the route's present services.
    fn suspects(&self, flow: &Flow) -> Vec<Ipv4Addr> {
        let own = self.gossip.own().ip;
        let membership = self.gossip.membership();
        let ips: Vec<Ipv4Addr> = if self.is_small() {
            membership.all_agents().map(|m| m.fact.ip).collect()
        } else {
            let targets = self.table.route(flow).map(|r| r.targets.as_slice());
            let services = targets.unwrap_or_default().iter().map(|t| t.service);
            let agents = services.flat_map(|service| membership.agents(service));
            agents.map(|m: &Member| m.fact.ip).take(MAX_ASKED).collect()
        };
        ips.into_iter().filter(|&ip| ip != own).collect()
    }

    /// Whether an agent has not been heard for so long that its flows are given up.
    fn is_silent(&self, ip: Ipv4Addr, now: Millis) -> bool {
        let member = self.gossip.membership().get(ip);
        member.is_none_or(|m| m.is_unresponsive(now))
    }

    /// Whether all agents may be asked at once.
    fn is_small(&self) -> bool {
        self.gossip
            .membership()
            .all_agents()
            .nth(MAX_ASKED)
            .is_none()
    }
}

impl FlowState {
    /// Takes the word of another owner over; returns since when the flow was searched for, if it was
    /// not known to live anywhere.
    fn learn(&mut self, note: &OwnerRecord, now: Millis) -> Option<Millis> {
        if matches!(
            self.holding,
            Holding::Open | Holding::Offered | Holding::Over
        ) {
            return None;
        }
        let is_news = !matches!(self.holding, Holding::Foreign { owner: Some(_) });
        self.holding = Holding::Foreign {
            owner: Some((note.owner, note.backend)),
        };
        self.seen = now;
        self.searched.filter(|_| is_news)
    }

    /// Notes that all agents are asked; denials of the last rounds still count.
    fn begin_search(&mut self, packet: &Packet, now: Millis) {
        let is_old = self.searched.is_none_or(|at| now.since(at) >= DENIAL_SPAN);
        if is_old {
            self.denied.clear();
        }
        self.searched = Some(now);
        self.seen = now;
        self.acked = packet.ack;
    }
}
