//! The reducer of the process beside a backend server.
//!
//! * `admit` decides about opening packets.
//! * `own` handles packets of flows that the backend server holds, or may hold.
//! * `search` finds the owner of other flows.

mod admit;
mod own;
mod search;

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::sync::Arc;

use super::{
    Backend, Decision, Effect, Event, Fact, Flow, FlowCounts, Flows, Gossip, Heartbeat, Load,
    Message, OwnerRecord, Packet, Phase, Reason, Reducer, Role, ServiceTag, Setup, Source, Table,
};
use crate::id::BootId;
use crate::time::Millis;

/// A flow is noted at its home once it is this old; shorter ones end before a note is of use.
const NOTE_AGE: Millis = Millis(150);
/// Most notes in one message, so that it fits a datagram.
const MAX_NOTES: usize = 24;
/// Time for which an ended flow is remembered, beyond the idle time of open ones.
const IDLE_SLACK: Millis = Millis(5_000);
/// Interval at which forgotten flows are swept out.
const SWEEP_INTERVAL: Millis = Millis(2_000);

/// State of an agent.
#[derive(Clone, Debug)]
pub struct Agent {
    gossip: Gossip,
    table: Arc<Table>,
    backend: Backend,
    flows: Flows,
    searches: BTreeSet<Flow>,
    heartbeat: Millis,
    started: Millis,
    swept: Millis,
    waiting: u16,
    is_leaving: bool,
}

impl Agent {
    /// An agent that knows nothing yet.
    #[must_use]
    pub fn new(setup: &Setup, now: Millis) -> Self {
        Self {
            gossip: Gossip::new(setup, now),
            table: Arc::default(),
            backend: Backend::default(),
            flows: Flows::default(),
            searches: BTreeSet::new(),
            heartbeat: setup.heartbeat,
            started: now,
            swept: now,
            waiting: 0,
            is_leaving: false,
        }
    }

    /// The flows that the agent knows.
    #[must_use]
    pub const fn flows(&self) -> &Flows {
        &self.flows
    }

    /// The backend server.
    #[must_use]
    pub const fn backend(&self) -> &Backend {
        &self.backend
    }

    /// Whether a configuration is known.
    fn has_table(&self) -> bool {
        self.table.version.0 > 0
    }

    fn packet(&mut self, source: Source, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        match source {
            Source::Backend => self.outbound(packet, now, out),
            Source::Peer(from) => self.relayed(from, packet, now, out),
            Source::Fabric => {}
        }
    }

    fn relayed(&mut self, from: Ipv4Addr, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        if packet.tag.asks {
            self.refresh(now, out);
            self.gossip.send_status(packet.tag.origin, out);
        }
        if packet.is_opening() {
            self.open(packet, now, out);
        } else {
            self.established(from, packet, now, out);
        }
    }

    fn message(&mut self, from: Ipv4Addr, message: Message, now: Millis, out: &mut Vec<Effect>) {
        self.gossip.record_answer(from, &message, now);
        match message {
            Message::Status(status) => self.gossip.receive_status(&status, now, out),
            Message::OwnerRecords(notes) => self.learn(&notes, now, out),
            Message::Denied(flow) => self.denied(from, &flow, now, out),
        }
    }

    fn configure(&mut self, table: Arc<Table>, now: Millis, out: &mut Vec<Effect>) {
        if table.version > self.table.version {
            self.gossip.set_version(table.version, now, out);
            self.table = table;
        }
    }

    fn hear(&mut self, beat: &Heartbeat, now: Millis, out: &mut Vec<Effect>) {
        let boot = self.backend.boot();
        if !self.backend.hear(beat, now) {
            return;
        }
        let is_known = boot != BootId::default();
        if is_known && self.backend.boot() != boot {
            self.flows.end_all();
        }
        self.refresh(now, out);
    }

    fn end(&mut self, id: &str, now: Millis, out: &mut Vec<Effect>) {
        if self.backend.end(id) {
            self.flows.end_all();
            self.refresh(now, out);
        }
    }

    fn miss(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.backend.miss() {
            self.flows.end_all();
            self.refresh(now, out);
        }
    }

    fn leave(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.is_leaving = true;
        self.refresh(now, out);
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.smooth_waiting();
        self.refresh(now, out);
        self.gossip.tick(now, out);
        self.note_homes(now, out);
        self.follow_searches(now, out);
        if now.since(self.swept) >= SWEEP_INTERVAL {
            self.swept = now;
            self.flows.expire(self.table.idle + IDLE_SLACK, now);
        }
    }

    /// Moves the mean of the requests in hand a fifth of the way to the present count.
    fn smooth_waiting(&mut self) {
        let now = clamp(self.flows.waiting()).saturating_mul(10);
        let mean = u32::from(self.waiting) * 4 + u32::from(now);
        self.waiting = u16::try_from(mean.div_ceil(5)).unwrap_or(u16::MAX);
    }

    /// Brings the own fact up to date.
    fn refresh(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let old = *self.gossip.own();
        let phase = self.backend.phase(self.heartbeat, now);
        let fact = Fact {
            role: self.role(old.role),
            phase: if self.is_leaving { Phase::Left } else { phase },
            backend: self.backend.boot(),
            load: Load {
                waiting: self.waiting,
                flows: clamp(self.flows.open()),
                slots: self.backend.slots(),
            },
            ..old
        };
        if old != fact {
            self.gossip.set_own(fact, now, out);
        }
        if old.phase != fact.phase {
            let age = self.backend.age(now);
            out.push(self.decision(Reason::BackendChanged, None, age));
        }
    }

    fn role(&self, known: Role) -> Role {
        if self.backend.service() == ServiceTag::default() {
            known
        } else {
            Role::Agent(self.backend.service())
        }
    }

    /// Tells the homes of own flows where these live, once for each home and start of it.
    fn note_homes(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let own = self.gossip.own().ip;
        let membership = self.gossip.membership();
        let mut due: Vec<(Ipv4Addr, Flow)> = Vec::new();
        for (flow, state) in self.flows.own() {
            if now.since(state.opened) < NOTE_AGE {
                continue;
            }
            let home = membership.home_agent(flow, now).filter(|&ip| ip != own);
            let home = home.and_then(|ip| Some((ip, membership.get(ip)?.fact.boot)));
            if home.is_some() && home != state.noted {
                due.extend(home.map(|(ip, _)| (ip, *flow)));
            }
        }
        due.sort_unstable();
        for group in due.chunk_by(|a, b| a.0 == b.0) {
            for part in group.chunks(MAX_NOTES) {
                self.send_notes(part, out);
            }
        }
    }

    fn send_notes(&mut self, part: &[(Ipv4Addr, Flow)], out: &mut Vec<Effect>) {
        let to = part[0].0;
        let boot = self.gossip.membership().get(to).map(|m| m.fact.boot);
        let mut notes = Vec::with_capacity(part.len());
        for (_, flow) in part {
            notes.push(self.note(flow));
            self.flows
                .change(flow, |s| s.noted = boot.map(|boot| (to, boot)));
        }
        let message = Message::OwnerRecords(notes);
        out.push(Effect::Send { to, message });
    }

    fn note(&self, flow: &Flow) -> OwnerRecord {
        OwnerRecord {
            flow: *flow,
            owner: self.gossip.own().ip,
            backend: self.backend.boot(),
        }
    }

    fn decision(&self, reason: Reason, flow: Option<Flow>, age: Millis) -> Effect {
        Effect::Log(Decision {
            reason,
            flow,
            peer: None,
            version: self.table.version,
            age,
            phase: Some(self.gossip.own().phase),
        })
    }
}

impl Reducer for Agent {
    fn reduce(&mut self, event: Event, now: Millis, out: &mut Vec<Effect>) {
        match event {
            Event::Packet { source, packet } => self.packet(source, &packet, now, out),
            Event::Message { from, message } => self.message(from, message, now, out),
            Event::Table(table) => self.configure(table, now, out),
            Event::Zone(record) => self.gossip.set_zone(record, now, out),
            Event::Contacts(ips) => self.gossip.add_contacts(ips, now, out),
            Event::RegisteredAgents(ips) => self.gossip.set_registered_agents(ips, now, out),
            Event::StoreReachable(answers) => self.gossip.set_store(answers, now, out),
            Event::Heartbeat(beat) => self.hear(&beat, now, out),
            Event::BackendAbsent => self.miss(now, out),
            Event::BackendEnded(id) => self.end(&id, now, out),
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

    fn is_ready(&self, _now: Millis) -> bool {
        self.has_table()
    }

    fn flow_counts(&self) -> FlowCounts {
        FlowCounts {
            open: self.flows.open(),
            waiting: self.flows.waiting(),
            known: self.flows.len(),
        }
    }
}

fn clamp(count: usize) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
