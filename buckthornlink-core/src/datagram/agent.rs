//! The reducer of the agent, which runs on the same instance as a backend server.
//!
//! * `admit` accepts or refuses opening packets.
//! * `established` handles later packets of flows that the backend server holds or may hold.
//! * `ended` tells callers that the backend server of their flows has ended.
//! * `local_backend` observes the backend server, and keeps or ends its flows.
//! * `outcomes` observes whether the backend server answers requests.
//! * `records` tells home agents which agent owns a flow.
//! * `saved_ends` ends searches for flows whose former owners know that they are gone.
//! * `saved_flows` keeps what the next process must know in the store.
//! * `search` finds the owner of all other flows.
//! * `query` continues searches without a packet.
//! * `candidates` says which agents may hold a flow whose owner is unknown.
//! * `urgency` holds what the backend server has no room for.
//! * `tries` lets them find out in turn, at the flow's home agent.
//! * `trial` delivers packets to find out whether the backend server holds a flow.
//! * `try_mark` tells the next process whether tries were made.

mod admit;
mod candidates;
mod ended;
mod established;
mod local_backend;
mod outcomes;
mod query;
mod records;
mod saved_ends;
mod saved_flows;
mod search;
mod trial;
mod tries;
mod try_mark;
mod urgency;

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use super::{
    Admission, Backend, Decision, Effect, Event, Evidence, Fact, Flow, FlowCounts, Flows, Gossip,
    Load, Message, Outcomes, Packet, Phase, Reason, Reducer, Role, ServiceTag, Setup, Source,
    Status, Table,
};
use crate::time::Millis;
use ended::EndedFlows;
use saved_flows::SavedFlows;
use try_mark::TryMark;

/// How much longer than the idle timeout of open flows the state of a flow is kept, so that ended
/// flows are remembered.
const RETENTION_MARGIN: Millis = Millis(5_000);
/// Minimum interval between resumptions of active searches because of member changes, of which a
/// restart of many instances causes hundreds within a second.
const RESUME_INTERVAL: Millis = Millis(10);
/// Interval between removals of expired flows.
const SWEEP_INTERVAL: Millis = Millis(2_000);

/// State of an agent: its backend server, the flows it knows and its searches for flow owners.
#[derive(Clone, Debug)]
pub struct Agent {
    gossip: Gossip,
    table: Arc<Table>,
    backend: Backend,
    outcomes: Outcomes,
    admission: Admission,
    flows: Flows,
    ended_flows: EndedFlows,
    saved_flows: SavedFlows,
    try_mark: TryMark,
    active_searches: BTreeSet<Flow>,
    backend_address: Option<SocketAddrV4>,
    started_at: Millis,
    last_sweep: Millis,
    mean_waiting: u16,
    /// Member changes up to which active searches have been resumed, and when that was.
    resumed_changes: u64,
    last_resume: Millis,
    is_leaving: bool,
    /// Whether flows that were recorded at earlier boots of the backend server may be open.
    holds_earlier: bool,
}

impl Agent {
    /// Creates an agent without configuration, flows or other instances.
    #[must_use]
    pub fn new(setup: &Setup, now: Millis) -> Self {
        Self {
            gossip: Gossip::new(setup, now),
            table: Arc::default(),
            backend: Backend::new(setup, now),
            outcomes: Outcomes::default(),
            admission: Admission::default(),
            flows: Flows::default(),
            ended_flows: EndedFlows::default(),
            saved_flows: SavedFlows::default(),
            try_mark: TryMark::default(),
            active_searches: BTreeSet::new(),
            backend_address: setup.backend_address,
            started_at: now,
            last_sweep: now,
            mean_waiting: 0,
            resumed_changes: 0,
            last_resume: Millis(0),
            is_leaving: false,
            holds_earlier: false,
        }
    }

    /// Returns the flows that the agent knows.
    #[must_use]
    pub const fn flows(&self) -> &Flows {
        &self.flows
    }

    /// Returns the state of the backend server.
    #[must_use]
    pub const fn backend(&self) -> &Backend {
        &self.backend
    }

    /// Whether a configuration is in force.
    fn has_table(&self) -> bool {
        self.table.version.0 > 0
    }

    fn handle_packet(
        &mut self,
        source: Source,
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        match source {
            Source::Backend => self.handle_outbound(packet, now, out),
            Source::Peer(from) => self.handle_relayed(from, packet, now, out),
            Source::Fabric => {}
        }
    }

    fn handle_relayed(
        &mut self,
        from: Ipv4Addr,
        packet: &Packet,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if packet.tag.asks {
            self.update_own_fact(now, out);
            self.gossip.send_status(packet.tag.origin, now, out);
        }
        if packet.is_opening() {
            self.detect_hangs(now, out);
            self.handle_opening(packet, now, out);
        } else {
            self.handle_established(from, packet, now, out);
        }
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
            Message::Status(status) => self.receive_status(&status, now, out),
            Message::OwnerRecords(records) => {
                self.apply_owner_records(from, &records, now, out);
            }
            Message::Denied(flow) => self.handle_denial(from, &flow, now, out),
            Message::Query(flows) => self.answer_query(from, &flows, now, out),
            Message::Tried(flow) => self.handle_pending_try(from, &flow, now),
            Message::Store(view) => self.gossip.receive_store_view(from, &view, now, out),
            Message::Ended(saved) => self.handle_reported_end(from, &saved, now, out),
        }
    }

    /// Merges a status. An agent that became known, or learnt of its backend server, may decide
    /// active searches.
    fn receive_status(&mut self, status: &Status, now: Millis, out: &mut Vec<Effect>) {
        self.gossip.receive_status(status, now, out);
        self.record_earlier_backend(self.gossip.earlier_backend(), now, out);
        let changes = self.gossip.member_changes();
        let is_due = now.since(self.last_resume) >= RESUME_INTERVAL;
        if changes > self.resumed_changes && is_due {
            self.resumed_changes = changes;
            self.last_resume = now;
            self.resume_searches(now, out);
        }
    }

    fn set_registered_agents(&mut self, ips: Vec<Ipv4Addr>, now: Millis, out: &mut Vec<Effect>) {
        self.gossip.set_registered_agents(ips, now, out);
        self.resume_searches(now, out);
    }

    fn configure(&mut self, table: Arc<Table>, now: Millis, out: &mut Vec<Effect>) {
        if table.version > self.table.version {
            self.gossip.set_version(table.version, now, out);
            self.table = table;
            self.update_admission();
        }
    }

    fn leave(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.is_leaving = true;
        self.update_own_fact(now, out);
        self.send_due_records(now, out);
        self.save_flows(now, out);
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.update_mean_waiting();
        self.detect_hangs(now, out);
        self.conclude_backend_end(now, out);
        self.update_own_fact(now, out);
        self.gossip.tick(now, out);
        self.reset_ended_flows(now, out);
        self.send_due_records(now, out);
        self.save_flows(now, out);
        self.advance_searches(now, out);
        if now.since(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = now;
            self.flows
                .remove_expired(self.table.idle + RETENTION_MARGIN, now);
        }
    }

    /// Updates this instance's fact and logs a change of its phase.
    fn update_own_fact(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let old = *self.gossip.own();
        let recent = self.backend.recent_admissions(now);
        let phase = self.backend.phase(now);
        let fact = Fact {
            role: self.role(old.role),
            phase: self.announced_phase(phase),
            backend: self.backend.boot(),
            holds_earlier: self.holds_earlier,
            load: Load {
                waiting: self.mean_waiting,
                flows: saturating_u16(self.flows.open_count() + recent),
                slots: self.backend.slots(),
            },
            ..old
        };
        if old != fact {
            self.gossip.set_own(fact, now, out);
        }
        if old.phase != fact.phase {
            let evidence = self.backend.end_evidence(now);
            let age = self.backend.age(now);
            let basis = evidence.map_or((None, age), |(evidence, age)| (Some(evidence), age));
            out.push(self.end_decision(Reason::BackendChanged, None, basis));
        }
    }

    /// The phase to announce, given that of the backend server.
    const fn announced_phase(&self, backend: Phase) -> Phase {
        match (self.is_leaving, backend.is_over()) {
            (true, true) => Phase::Left,
            (true, false) => Phase::Leaving,
            (false, _) => backend,
        }
    }

    fn role(&self, current: Role) -> Role {
        if self.backend.service() == ServiceTag::default() {
            current
        } else {
            Role::Agent(self.backend.service())
        }
    }

    /// Number of flows whose end is announced but not known, or whose callers are yet to be told of it.
    fn undecided_count(&self) -> usize {
        let pending = self.backend.is_end_pending();
        let open = if pending { self.flows.open_count() } else { 0 };
        open + self.ended_flows.len()
    }

    fn decision(&self, reason: Reason, flow: Option<Flow>, age: Millis) -> Effect {
        self.end_decision(reason, flow, (None, age))
    }

    /// Returns the log entry of a decision that rests on evidence of this age.
    fn end_decision(
        &self,
        reason: Reason,
        flow: Option<Flow>,
        (evidence, age): (Option<Evidence>, Millis),
    ) -> Effect {
        Effect::Log(Decision {
            reason,
            flow,
            peer: None,
            version: self.table.version,
            age,
            phase: Some(self.gossip.own().phase),
            evidence,
            trial: None,
        })
    }
}

impl Reducer for Agent {
    fn reduce(&mut self, event: Event, now: Millis, out: &mut Vec<Effect>) {
        if let Some(absence) = self.gossip.notice_absence(now, out) {
            self.flows.exclude_absence(absence, now);
            self.backend.record_pause(now.since(absence));
        }
        let was_zone_out = self.is_zone_out();
        match event {
            Event::Packet { source, packet } => self.handle_packet(source, &packet, now, out),
            Event::Message { from, message } => self.handle_message(from, message, now, out),
            Event::Table(table) => self.configure(table, now, out),
            Event::Zone(record) => self.gossip.record_zone_change(record, now, out),
            Event::Zones(snapshot) => self.gossip.set_zone_snapshot(snapshot, now, out),
            Event::Contacts(ips) => self.gossip.add_contacts(ips, now, out),
            Event::RegisteredAgents(ips) => self.set_registered_agents(ips, now, out),
            Event::Published(members) => self.gossip.confirm_publication(members, now),
            Event::SavedFlows(digest) => self.load_saved_flows(digest, now, out),
            Event::FlowsSaved { has_tried } => self.try_mark.confirm(has_tried),
            Event::StoreAnswered(age) => self.gossip.record_store_answer(age, now, out),
            Event::StoreFailed => self.gossip.record_store_failure(now, out),
            Event::BackendHeartbeat(heartbeat) => self.receive_heartbeat(&heartbeat, now, out),
            Event::BackendConnection(connection) => self.record_connection(connection, now, out),
            Event::DeliveryRefused => self.record_refused_delivery(now, out),
            Event::BackendEnding(id) => self.announce_backend_end(&id, now, out),
            Event::Leave => self.leave(now, out),
            Event::Tick => self.tick(now, out),
        }
        if was_zone_out && !self.is_zone_out() {
            self.backend.record_zone_return();
            self.update_own_fact(now, out);
        }
        self.advance_admission(now, out);
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
            open: self.flows.open_count(),
            waiting: self.flows.waiting_count() + self.admission.len(),
            undecided: self.undecided_count(),
            known: self.flows.len(),
        }
    }
}

fn saturating_u16(count: usize) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
