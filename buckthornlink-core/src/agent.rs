//! The agent's reducer.
//!
//! All traffic to a backend server passes through its agent, so admission, cold start, drain and
//! at-most-once execution are decided here, exactly and without control traffic.
//!
//! * [`Limiter`] adapts the concurrency limit and detects cold starts.
//! * [`Queue`] holds requests that wait for a slot, by priority and class, until their deadlines.
//! * [`Records`] stores outcomes of non-idempotent requests, so that a retry runs none twice.
//! * `flows` accepts, hands off and rebalances flows.
//! * `heartbeat` sends heartbeats to balancers and processes their acknowledgements.

mod effect;
mod event;
mod flows;
mod heartbeat;
mod limiter;
mod queue;
mod record;
mod request;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

pub use effect::Effect;
pub use event::{Event, TICK_INTERVAL};
pub use limiter::{Limiter, Outcome};
pub use queue::{Priority, Queue, QueuedRequest};
pub use record::{RecordDecision, Records};
pub use request::{Request, RequestId, Ticket};

use crate::config::{Config, Limits};
use crate::id::{BootId, ServicePort, Version, ZoneTag};
use crate::member::{Fact, Load, Phase, Role, ZoneRecord, ZoneTable};
use crate::time::Millis;
use crate::verdict::Refusal;
use flows::Flows;
use heartbeat::KnownBalancers;

/// Parameters of an agent, fixed at process start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Setup {
    /// Address of the link socket, which receives datagrams from balancers and other agents.
    pub addr: SocketAddrV4,
    /// Port of the service.
    pub service: ServicePort,
    /// Name of the service.
    pub name: String,
    /// Availability zone.
    pub zone: ZoneTag,
    /// Incarnation of the process.
    pub boot: BootId,
    /// Address that the network fabric routes to any one balancer.
    pub entry: SocketAddrV4,
}

/// Identifies a flow within one agent process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FlowId(pub u64);

/// A request that is running on the backend server; `id` is set if it has a record.
#[derive(Clone, Debug)]
struct RunningRequest {
    id: Option<RequestId>,
}

/// State of one agent.
#[derive(Clone, Debug)]
pub struct Agent {
    setup: Setup,
    own: Fact,
    version: Version,
    limits: Limits,
    config: Config,
    zones: ZoneTable,
    limiter: Limiter,
    queue: Queue,
    records: Records,
    running: HashMap<Ticket, RunningRequest>,
    flows: Flows,
    balancers: KnownBalancers,
    is_reachable: bool,
    connect_errors: u32,
    draining_since: Option<Millis>,
    is_drained: bool,
}

impl Agent {
    /// Creates the state of an agent that has just started; its backend server counts as
    /// unreachable and cold.
    #[must_use]
    pub fn new(setup: Setup) -> Self {
        let limits = Limits::default();
        let own = Fact {
            addr: setup.addr,
            role: Role::Agent(setup.service),
            zone: setup.zone,
            boot: setup.boot,
            seq: 1,
            phase: Phase::Cold,
        };
        Self {
            setup,
            own,
            version: Version::default(),
            limits,
            config: Config::default(),
            zones: ZoneTable::default(),
            limiter: Limiter::new(limits.slots),
            queue: Queue::default(),
            records: Records::default(),
            running: HashMap::new(),
            flows: Flows::default(),
            balancers: KnownBalancers::default(),
            is_reachable: false,
            connect_errors: 0,
            draining_since: None,
            is_drained: false,
        }
    }

    /// Applies one event and returns the effects to perform, in order.
    pub fn reduce(&mut self, event: Event, now: Millis) -> Vec<Effect> {
        match event {
            Event::Opener { hops, rest } => vec![self.accept_or_hand_off(hops, rest)],
            Event::FlowAsked(flow) => vec![self.admit_flow(flow)],
            Event::FlowClosed(flow) => self.close_flow(flow),
            Event::Request(request) => self.admit_request(request, now),
            Event::Finished {
                ticket,
                outcome,
                took,
            } => self.finish(ticket, outcome, took, now),
            Event::Cancelled(ticket) => self.cancel(ticket, now),
            Event::Health { is_up } => self.handle_health(is_up),
            Event::Config { version, config } => self.configure(version, config),
            Event::Control { message, .. } => self.handle_control(message),
            Event::Drain => self.drain(now),
            Event::Tick => self.tick(now),
        }
    }

    /// The membership fact that this agent publishes about itself.
    #[must_use]
    pub const fn fact(&self) -> &Fact {
        &self.own
    }

    /// The load to report to balancers; an unreachable backend server has the lowest weight.
    #[must_use]
    pub fn load(&self) -> Load {
        let weight = if self.is_reachable {
            self.limiter.weight()
        } else {
            1
        };
        Load {
            flows: self.flows.count(),
            weight,
            pressure: self.limiter.pressure(),
        }
    }

    /// Version of the configuration in use.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// The part of the configuration in use that concerns this agent.
    #[must_use]
    pub const fn config(&self) -> &Config {
        &self.config
    }

    /// Number of requests that wait for a slot.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Number of requests that are running.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Current concurrency limit.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limiter.limit()
    }

    /// Whether operators have taken this agent's availability zone out of service.
    #[must_use]
    pub fn is_zone_out(&self) -> bool {
        self.zones.is_out(self.setup.zone)
    }

    fn configure(&mut self, version: Version, config: Config) -> Vec<Effect> {
        if version <= self.version {
            return Vec::new();
        }
        self.version = version;
        if let Some(service) = config.service(self.setup.service) {
            self.limits = service.limits;
            self.limiter.set_slots(service.limits.slots);
        }
        self.config = config;
        Vec::new()
    }

    fn merge_zone(&mut self, record: ZoneRecord) -> Vec<Effect> {
        let was_out = self.is_zone_out();
        if !self.zones.merge(record) || was_out == self.is_zone_out() {
            return Vec::new();
        }
        self.limiter.reset_to_cold();
        if !self.is_zone_out() {
            return Vec::new();
        }
        let mut effects = self.refuse_all_queued(Refusal::ZoneOut);
        effects.extend(self.abort_running());
        effects.push(Effect::GiveUpFlows);
        effects
    }

    /// Starts the drain: callers are asked to move their flows, and admitted requests still finish.
    fn drain(&mut self, now: Millis) -> Vec<Effect> {
        if self.draining_since.is_some() {
            return Vec::new();
        }
        self.draining_since = Some(now);
        self.set_phase(Phase::Draining);
        let mut effects = vec![Effect::MoveFlows(self.flows.start_moving_all())];
        self.send_heartbeats(now, &mut effects);
        effects
    }

    fn tick(&mut self, now: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.limiter.update_pressure();
        self.expire_queued(now, &mut effects);
        self.rebalance(now, &mut effects);
        self.update_phase();
        self.send_due_heartbeats(now, &mut effects);
        self.records.expire(now, &mut effects);
        self.complete_drain(now, &mut effects);
        effects
    }

    /// Updates the phase from the limiter, cold or warm; a draining agent keeps its phase.
    fn update_phase(&mut self) {
        if self.draining_since.is_none() {
            let phase = if self.limiter.is_cold() {
                Phase::Cold
            } else {
                Phase::Warm
            };
            self.set_phase(phase);
        }
    }

    fn set_phase(&mut self, phase: Phase) {
        if self.own.phase != phase {
            self.own.phase = phase;
            self.own.seq += 1;
        }
    }

    /// Reports [`Phase::Left`] once every flow and request has ended.
    fn complete_drain(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let is_idle = self.flows.count() == 0 && self.running.is_empty() && self.queue.is_empty();
        if self.draining_since.is_none() || !is_idle || self.is_drained {
            return;
        }
        self.is_drained = true;
        self.set_phase(Phase::Left);
        self.send_heartbeats(now, effects);
        effects.push(Effect::Drained);
    }

    /// Uses the health endpoint as a hint where requests give no evidence: success makes an
    /// unreachable backend server reachable again, and failure is ignored.
    fn handle_health(&mut self, is_up: bool) -> Vec<Effect> {
        if is_up && !self.is_reachable {
            self.is_reachable = true;
            self.connect_errors = 0;
            self.limiter.reset_to_cold();
        }
        Vec::new()
    }

    fn abort_running(&self) -> Vec<Effect> {
        let tickets: BTreeSet<Ticket> = self.running.keys().copied().collect();
        tickets.into_iter().map(Effect::Abort).collect()
    }
}
