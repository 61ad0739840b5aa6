//! The reducer of the balancer, which receives the callers' packets from the fabric.

mod busy_share;
mod detour;
mod flow_cache;
mod place;

use std::net::Ipv4Addr;
use std::sync::Arc;

use super::{
    Decision, Effect, Event, Flow, FlowCounts, Gossip, Member, Message, Mode, Packet, Phase,
    Reason, Reducer, RelayTag, Setup, Source, Table,
};
use crate::time::Millis;
use busy_share::BusyShares;
use flow_cache::{CachedOwner, FlowCache, HolderBoot};

/// Maximum time after the start for which a balancer that knows no agent that accepts new
/// flows is not ready.
const AGENT_WAIT_TIMEOUT: Millis = Millis(1_500);
/// Maximum age of a fact before its instance is probed.
const MAX_FACT_AGE: Millis = Millis(250);
/// Time without an answer after which an instance is probed even if others relay its facts, since
/// it may not receive what it is sent.
const MAX_ANSWER_AGE: Millis = Millis(1_000);
/// Interval between probes of an instance that does not answer.
const PROBE_RETRY_INTERVAL: Millis = Millis(100);

/// State of a balancer: the known instances, the configuration and a cache of flow owners.
#[derive(Clone, Debug)]
pub struct Balancer {
    gossip: Gossip,
    table: Arc<Table>,
    flow_cache: FlowCache,
    busy_shares: BusyShares,
    started_at: Millis,
    is_leaving: bool,
}

impl Balancer {
    /// Creates a balancer without configuration, flows or other instances.
    #[must_use]
    pub fn new(setup: &Setup, now: Millis) -> Self {
        Self {
            gossip: Gossip::new(setup, now),
            table: Arc::default(),
            flow_cache: FlowCache::default(),
            busy_shares: BusyShares::default(),
            started_at: now,
            is_leaving: false,
        }
    }

    fn has_accepting_agent(&self) -> bool {
        let mut members = self.gossip.membership().iter();
        members.any(|m| m.fact.service().is_some() && m.fact.phase.can_accept_flows())
    }

    fn handle_packet(
        &mut self,
        source: Source,
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        match source {
            Source::Fabric => self.handle_caller_packet(packet, now, out),
            Source::Peer(from) => self.handle_refusal(from, packet, now, out),
            Source::Backend => {}
        }
    }

    fn handle_caller_packet(&mut self, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        let cached = self.flow_cache.touch(&packet.flow, now);
        if !self.table.routes.contains_key(&packet.flow.route) {
            self.handle_missing_route(packet, cached.is_some(), now, out);
            return;
        }
        match cached {
            Some(owner) if !packet.is_opening() => {
                self.forward_to_owner(owner, packet, now, out);
            }
            _ if packet.is_opening() => self.place(packet, now, out),
            _ => self.look_up_owner(packet, now, out),
        }
    }

    /// Relays a packet to the agent that owns its flow. If the boot of the backend server that the
    /// owner reported has ended, the flow is reset; if only the boot that was assumed has, or the
    /// agent is unknown or suspect, the owner is looked up.
    fn forward_to_owner(
        &mut self,
        owner: CachedOwner,
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let agent = owner.agent;
        let member = self.gossip.membership().get(agent);
        let is_over = member.is_some_and(|m| m.is_backend_over(owner.backend.boot()));
        if is_over && matches!(owner.backend, HolderBoot::Reported(_)) {
            self.flow_cache.remove(&packet.flow);
            out.push(self.end_decision(packet, owner, now));
            out.push(reset(packet));
            return;
        }
        if is_over || member.is_none_or(|m| m.is_suspect) {
            self.look_up_owner(packet, now, out);
            return;
        }
        if self.detour(agent, packet, now, out) {
            return;
        }
        let mode = match owner.backend {
            HolderBoot::Guessed(_) => Mode::Placed,
            HolderBoot::Assumed(_) | HolderBoot::Reported(_) => Mode::Known,
        };
        let tag = self.build_tag(mode, agent, now);
        out.push(Effect::Relay { to: agent, tag });
    }

    /// Relays a packet of an unknown flow to its home agent, which may have the owner record.
    fn look_up_owner(&mut self, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        let home = self.gossip.membership().home_agent(&packet.flow, now);
        out.push(self.decision(Reason::LookedUp, packet, home, now));
        if let Some(to) = home {
            let tag = self.build_tag(Mode::Lookup, to, now);
            out.push(Effect::Relay { to, tag });
        }
    }

    /// Resets new and known flows of a route that is missing in the configuration in force.
    fn handle_missing_route(
        &mut self,
        packet: &Packet,
        is_known: bool,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let is_current = self.table.version.0 > 0 && !self.gossip.is_catching_up(now);
        if !is_current || !(packet.is_opening() || is_known) {
            return;
        }
        self.flow_cache.remove(&packet.flow);
        out.push(self.decision(Reason::NoRoute, packet, None, self.started_at));
        out.push(reset(packet));
    }

    fn handle_message(
        &mut self,
        from: Ipv4Addr,
        message: Message,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.gossip.record_answer(from, &message, now);
        match message {
            Message::Status(status) => self.gossip.receive_status(&status, now, out),
            Message::Store(view) => self.gossip.receive_store_view(from, &view, now, out),
            Message::OwnerRecords(records) => {
                for record in records {
                    self.flow_cache.apply_owner_record(&record, now);
                }
            }
            Message::Denied(_) | Message::Query(_) | Message::Tried(_) | Message::Ended(_) => {}
        }
    }

    fn configure(&mut self, table: Arc<Table>, now: Millis, out: &mut Vec<Effect>) {
        if table.version > self.table.version {
            self.gossip.set_version(table.version, now, out);
            self.busy_shares.configure(&table);
            self.table = table;
        }
    }

    fn leave(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.is_leaving = true;
        let fact = super::Fact {
            phase: Phase::Left,
            ..*self.gossip.own()
        };
        self.gossip.set_own(fact, now, out);
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.gossip.own().phase == Phase::Starting && self.is_ready(now) {
            let fact = super::Fact {
                phase: Phase::Ready,
                ..*self.gossip.own()
            };
            self.gossip.set_own(fact, now, out);
        }
        self.gossip.tick(now, out);
        self.flow_cache.sweep(self.table.idle, now);
    }

    /// Builds the tag of a packet to an agent, which also probes the agent if its fact or last
    /// answer is old.
    fn build_tag(&mut self, mode: Mode, to: Ipv4Addr, now: Millis) -> RelayTag {
        let origin = self.gossip.own().ip;
        let mut tag = RelayTag::new(mode, origin);
        let Some(member) = self.gossip.membership_mut().get_mut(to) else {
            return tag;
        };
        let is_due = is_probe_due(member, now);
        let is_fact_stale = now.since(member.last_fact) >= MAX_FACT_AGE;
        let is_answer_stale = now.since(member.last_answer) >= MAX_ANSWER_AGE;
        if (is_fact_stale || is_answer_stale) && is_due {
            tag.asks = true;
            member.record_probe(now);
        }
        tag
    }

    fn decision(
        &self,
        reason: Reason,
        packet: &Packet,
        peer: Option<Ipv4Addr>,
        now: Millis,
    ) -> Effect {
        let member = peer.and_then(|ip| self.gossip.membership().get(ip));
        Effect::Log(Decision {
            reason,
            flow: Some(packet.flow),
            peer,
            version: self.table.version,
            age: member.map_or(Millis(0), |m| now.since(m.last_heard)),
            phase: member.map(|m| m.fact.phase),
            evidence: None,
            trial: None,
        })
    }

    /// Returns the log entry of the reset of a flow whose owner reported the end of its backend server.
    fn end_decision(&self, packet: &Packet, owner: CachedOwner, now: Millis) -> Effect {
        let member = self.gossip.membership().get(owner.agent);
        Effect::Log(Decision {
            reason: Reason::BackendOver,
            flow: Some(packet.flow),
            peer: Some(owner.agent),
            version: self.table.version,
            age: member.map_or(Millis(0), |m| now.since(m.last_fact)),
            phase: member.map(|m| m.fact.phase),
            evidence: member.and_then(|m| m.end_evidence(owner.backend.boot())),
            trial: None,
        })
    }
}

impl Reducer for Balancer {
    fn reduce(&mut self, event: Event, now: Millis, out: &mut Vec<Effect>) {
        let _ = self.gossip.notice_absence(now, out);
        match event {
            Event::Packet { source, packet } => self.handle_packet(source, &packet, now, out),
            Event::Message { from, message } => self.handle_message(from, message, now, out),
            Event::Table(table) => self.configure(table, now, out),
            Event::Zone(record) => self.gossip.record_zone_change(record, now, out),
            Event::Zones(snapshot) => self.gossip.set_zone_snapshot(snapshot, now, out),
            Event::Contacts(ips) => self.gossip.add_contacts(ips, now, out),
            Event::RegisteredAgents(ips) => self.gossip.set_registered_agents(ips, now, out),
            Event::Published(members) => self.gossip.confirm_publication(members, now),
            Event::StoreAnswered(age) => self.gossip.record_store_answer(age, now, out),
            Event::StoreFailed => self.gossip.record_store_failure(now, out),
            Event::BackendHeartbeat(_)
            | Event::BackendConnection(_)
            | Event::DeliveryRefused
            | Event::SavedFlows(_)
            | Event::FlowsSaved { .. }
            | Event::BackendEnding(_) => {}
            Event::Leave => self.leave(now, out),
            Event::Tick => self.tick(now, out),
        }
    }

    fn gossip(&self) -> &Gossip {
        &self.gossip
    }

    fn table(&self) -> &Arc<Table> {
        &self.table
    }

    fn is_ready(&self, now: Millis) -> bool {
        let is_awaiting_agents =
            now.since(self.started_at) < AGENT_WAIT_TIMEOUT && !self.has_accepting_agent();
        self.table.version.0 > 0 && !is_awaiting_agents && !self.is_leaving
    }

    fn flow_counts(&self) -> FlowCounts {
        FlowCounts {
            known: self.flow_cache.len(),
            ..FlowCounts::default()
        }
    }
}

/// Whether an instance may be probed: [`PROBE_RETRY_INTERVAL`] has passed for each unanswered probe.
fn is_probe_due(member: &Member, now: Millis) -> bool {
    let interval = Millis(PROBE_RETRY_INTERVAL.0 * u64::from(member.unanswered_probes));
    member
        .probed_since
        .is_none_or(|at| now.since(at) >= interval)
}

/// Returns the effect that resets the flow of a caller's packet.
const fn reset(packet: &Packet) -> Effect {
    let flow: Flow = packet.flow;
    Effect::Reset {
        flow,
        seq: packet.ack,
    }
}
