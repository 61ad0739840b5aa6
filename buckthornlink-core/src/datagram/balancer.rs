//! The reducer of the process that takes packets from the fabric.

mod place;
mod seats;

use std::net::Ipv4Addr;
use std::sync::Arc;

use super::{
    Decision, Effect, Event, Flow, FlowCounts, Gossip, Message, Mode, Packet, Phase, Reason,
    Reducer, RelayTag, Setup, Source, Table,
};
use crate::id::BootId;
use crate::time::Millis;
use seats::{Seat, Seats};

/// Time after the start at which a balancer without any agent calls itself ready.
const LONELY_SPAN: Millis = Millis(1_500);
/// Age of a fact from which on its instance is asked for its status.
const STATUS_AGE: Millis = Millis(250);
/// Time without an answer after which an instance is asked although others pass its facts on, since
/// it may not hear what it is sent.
const ANSWER_AGE: Millis = Millis(1_000);
/// Time until an instance that has not answered is asked again.
const ASK_INTERVAL: Millis = Millis(100);

/// State of a balancer.
#[derive(Clone, Debug)]
pub struct Balancer {
    gossip: Gossip,
    table: Arc<Table>,
    seats: Seats,
    started: Millis,
    is_leaving: bool,
}

impl Balancer {
    /// A balancer that knows nothing yet.
    #[must_use]
    pub fn new(setup: &Setup, now: Millis) -> Self {
        Self {
            gossip: Gossip::new(setup, now),
            table: Arc::default(),
            seats: Seats::default(),
            started: now,
            is_leaving: false,
        }
    }

    fn has_open_agent(&self) -> bool {
        let mut members = self.gossip.membership().iter();
        members.any(|m| m.fact.service().is_some() && m.fact.phase.can_accept_flows())
    }

    fn packet(&mut self, source: Source, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        match source {
            Source::Fabric => self.caller(packet, now, out),
            Source::Peer(from) => self.refused(from, packet, now, out),
            Source::Backend => {}
        }
    }

    fn caller(&mut self, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        let seat = self.seats.touch(&packet.flow, now);
        if !self.table.routes.contains_key(&packet.flow.route) {
            self.no_route(packet, seat.is_some(), out);
            return;
        }
        match seat {
            Some(Seat::Lives { owner, backend }) if !packet.is_opening() => {
                self.forward(owner, backend, packet, now, out);
            }
            _ if packet.is_opening() => self.place(packet, now, out),
            _ => self.look_up(packet, now, out),
        }
    }

    /// Sends a packet to the agent where its flow lives.
    fn forward(
        &mut self,
        owner: Ipv4Addr,
        backend: BootId,
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let member = self.gossip.membership().get(owner);
        if member.is_some_and(|m| m.has_backend_ended(backend)) {
            self.seats.remove(&packet.flow);
            out.push(self.decision(Reason::BackendOver, packet, Some(owner), now));
            out.push(reset(packet));
            return;
        }
        if member.is_none_or(|m| m.is_suspect) {
            self.look_up(packet, now, out);
            return;
        }
        let tag = self.tag(Mode::Known, owner, now);
        out.push(Effect::Relay { to: owner, tag });
    }

    /// Sends a packet of an unknown flow to the agent that may have a note about it.
    fn look_up(&mut self, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        let home = self.gossip.membership().home_agent(&packet.flow, now);
        out.push(self.decision(Reason::LookedUp, packet, home, now));
        if let Some(to) = home {
            let tag = self.tag(Mode::Lookup, to, now);
            out.push(Effect::Relay { to, tag });
        }
    }

    /// A route that the version in force does not have: new flows and known ones end.
    fn no_route(&mut self, packet: &Packet, is_known: bool, out: &mut Vec<Effect>) {
        if self.table.version.0 == 0 || !(packet.is_opening() || is_known) {
            return;
        }
        self.seats.remove(&packet.flow);
        out.push(self.decision(Reason::NoRoute, packet, None, self.started));
        out.push(reset(packet));
    }

    fn message(&mut self, from: Ipv4Addr, message: Message, now: Millis, out: &mut Vec<Effect>) {
        self.gossip.record_answer(from, &message, now);
        match message {
            Message::Status(status) => self.gossip.receive_status(&status, now, out),
            Message::OwnerRecords(notes) => {
                for note in notes {
                    self.seats.learn(&note, now);
                }
            }
            Message::Denied(_) => {}
        }
    }

    fn configure(&mut self, table: Arc<Table>, now: Millis, out: &mut Vec<Effect>) {
        if table.version > self.table.version {
            self.gossip.set_version(table.version, now, out);
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
        self.seats.sweep(self.table.idle, now);
    }

    /// The tag of a packet to an agent, which asks for its status if the known one is old.
    fn tag(&mut self, mode: Mode, to: Ipv4Addr, now: Millis) -> RelayTag {
        let origin = self.gossip.own().ip;
        let mut tag = RelayTag::new(mode, origin);
        let Some(member) = self.gossip.membership_mut().get_mut(to) else {
            return tag;
        };
        let interval = Millis(ASK_INTERVAL.0 * u64::from(member.unanswered_probes));
        let is_due = member
            .probed_since
            .is_none_or(|at| now.since(at) >= interval);
        let is_stale = now.since(member.last_fact) >= STATUS_AGE;
        let is_unproved = now.since(member.last_answer) >= ANSWER_AGE;
        if (is_stale || is_unproved) && is_due {
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
        })
    }
}

impl Reducer for Balancer {
    fn reduce(&mut self, event: Event, now: Millis, out: &mut Vec<Effect>) {
        match event {
            Event::Packet { source, packet } => self.packet(source, &packet, now, out),
            Event::Message { from, message } => self.message(from, message, now, out),
            Event::Table(table) => self.configure(table, now, out),
            Event::Zone(record) => self.gossip.set_zone(record, now, out),
            Event::Contacts(ips) => self.gossip.add_contacts(ips, now, out),
            Event::RegisteredAgents(ips) => self.gossip.set_registered_agents(ips, now, out),
            Event::StoreReachable(answers) => self.gossip.set_store(answers, now, out),
            Event::Heartbeat(_) | Event::BackendAbsent | Event::BackendEnded(_) => {}
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
        let is_lonely = now.since(self.started) < LONELY_SPAN && !self.has_open_agent();
        self.table.version.0 > 0 && !is_lonely && !self.is_leaving
    }

    fn flow_counts(&self) -> FlowCounts {
        FlowCounts {
            known: self.seats.len(),
            ..FlowCounts::default()
        }
    }
}

/// Tells the caller that its flow is over.
const fn reset(packet: &Packet) -> Effect {
    let flow: Flow = packet.flow;
    Effect::Reset {
        flow,
        seq: packet.ack,
    }
}
