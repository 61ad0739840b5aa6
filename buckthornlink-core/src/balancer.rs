//! The balancer's reducer.
//!
//! Datagrams with a routable connection id bypass the reducer: the forwarding path routes them by
//! the published [`Snapshot`] alone. The reducer places openers (the first datagrams of flows),
//! merges facts, and passes them on to other balancers.
//!
//! * [`Policy`] ranks the candidates for an opener.
//! * `gossip` exchanges facts with other balancers within a byte budget.
//! * `observe` handles heartbeats and detects agents that no longer send them.
//! * `store_access` tells how old the knowledge of the store is, and who watches it.
//! * `unheard` asks balancers that were not heard for long, and detects silent ones.

mod budget;
mod gossip;
mod observe;
mod opener;
mod store_access;
mod unheard;

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

pub use budget::ByteBudget;
pub use opener::{Candidate, MAX_CANDIDATES, Policy};

use crate::config::{Config, Service};
use crate::id::{BootId, FlowKey, ServicePort, Version, ZoneTag};
use crate::member::{Fact, Load, Members, Phase, Role, ZoneRecord, ZoneTable};
use crate::message::Message;
use crate::time::Millis;
use gossip::GossipQueue;
use store_access::StoreAccess;
use unheard::UnansweredAsks;

/// Interval of [`Event::Tick`].
pub const TICK_INTERVAL: Millis = Millis(100);

/// Start parameters of a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Setup {
    /// Address of the link socket, which receives datagrams from agents and other balancers.
    pub addr: SocketAddrV4,
    /// Availability zone.
    pub zone: ZoneTag,
    /// Incarnation of the process.
    pub boot: BootId,
    /// Placement policy for openers.
    pub policy: Policy,
    /// Address that the network fabric routes to any one of the balancers.
    pub entry: SocketAddrV4,
    /// Limit on the control traffic that this process sends, in bytes per second.
    pub control_bytes: u32,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Input of the reducer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A datagram without a routable connection id arrived for a service.
    Opener {
        /// The service.
        service: ServicePort,
        /// Key of the flow that it opens.
        flow: FlowKey,
    },
    /// Agents of a service were fetched from a peer.
    Contacts {
        /// The service.
        service: ServicePort,
        /// Facts of its agents.
        facts: Vec<Fact>,
    },
    /// A datagram returned by an agent carried a new load report.
    Report {
        /// The agent that sent it.
        agent: SocketAddrV4,
        /// The agent's phase.
        phase: Phase,
        /// The agent's load.
        load: Load,
    },
    /// A control message arrived.
    Control {
        /// Source address of the datagram.
        from: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// A configuration was read from the store or from a peer.
    Config {
        /// Its version.
        version: Version,
        /// The validated configuration.
        config: Config,
    },
    /// A zone record was read from the store.
    Zone(ZoneRecord),
    /// The process was asked to shut down.
    Drain,
    /// [`TICK_INTERVAL`] has passed.
    Tick,
    /// The store answered this process, and all that it then held has been reported; time since then.
    StoreAnswered(Millis),
    /// A call to the store failed.
    StoreFailed,
}

/// Action that [`Balancer::reduce`] returns for the process to perform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Forward the opener to the first candidate; the envelope lists the others.
    Forward(Vec<Candidate>),
    /// Drop the opener: no agent is known that can accept it.
    Drop,
    /// Send a control message.
    Send {
        /// Destination.
        to: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// Fetch the configuration from a peer.
    Fetch {
        /// Link address of the peer.
        from: SocketAddrV4,
        /// Minimum version to accept.
        version: Version,
    },
    /// Ask the peers one after another for agents of a service for which none is known.
    FetchContacts {
        /// The service.
        service: ServicePort,
        /// Link addresses of the peers.
        from: Vec<SocketAddrV4>,
    },
    /// Replace the snapshot that the forwarding path uses.
    Publish(Snapshot),
    /// Start or stop watching the store.
    Watch(bool),
}

/// State that the forwarding path reads.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version of the configuration.
    pub version: Version,
    /// Ports of all services, in ascending order.
    pub services: Vec<ServicePort>,
    /// Zones that operators have taken out of service, in ascending order.
    pub zones_out: Vec<ZoneTag>,
}

impl Snapshot {
    /// Whether operators have taken `zone` out of service.
    #[must_use]
    pub fn is_out(&self, zone: ZoneTag) -> bool {
        self.zones_out.binary_search(&zone).is_ok()
    }

    /// Whether `service` is configured.
    #[must_use]
    pub fn has_service(&self, service: ServicePort) -> bool {
        self.services.binary_search(&service).is_ok()
    }
}

/// State of one balancer's reducer.
#[derive(Clone, Debug)]
pub struct Balancer {
    setup: Setup,
    own: Fact,
    config: Config,
    version: Version,
    zones: ZoneTable,
    members: Members,
    gossip: GossipQueue,
    unanswered_asks: UnansweredAsks,
    budget: ByteBudget,
    rng: Pcg64Mcg,
    next_turn: u64,
    store_access: StoreAccess,
    last_hello: Option<Millis>,
    last_tick: Option<Millis>,
    contacts_requested: BTreeMap<ServicePort, Millis>,
}

impl Balancer {
    /// Creates the state of a newly started balancer that knows only itself.
    #[must_use]
    pub fn new(setup: Setup) -> Self {
        let own = Fact {
            addr: setup.addr,
            role: Role::Balancer,
            zone: setup.zone,
            boot: setup.boot,
            seq: 1,
            phase: Phase::Warm,
        };
        let mut members = Members::default();
        members.merge(own);
        Self {
            setup,
            own,
            config: Config::default(),
            version: Version::default(),
            zones: ZoneTable::default(),
            members,
            gossip: GossipQueue::default(),
            unanswered_asks: UnansweredAsks::default(),
            budget: ByteBudget::new(setup.control_bytes),
            rng: Pcg64Mcg::seed_from_u64(setup.seed),
            next_turn: 0,
            store_access: StoreAccess::new(setup.seed),
            last_hello: None,
            last_tick: None,
            contacts_requested: BTreeMap::new(),
        }
    }

    /// Applies one event and returns the effects, to be performed in order.
    pub fn reduce(&mut self, event: Event, now: Millis) -> Vec<Effect> {
        match event {
            Event::Opener { service, flow } => self.place_opener(service, flow, now),
            Event::Contacts { service, facts } => self.merge_contacts(service, &facts),
            Event::Report { agent, phase, load } => self.handle_report(agent, phase, load, now),
            Event::Control { from, message } => self.handle_control(from, message, now),
            Event::Config { version, config } => self.configure(version, config, now),
            Event::Zone(record) => self.merge_zone(record, now),
            Event::Drain => self.drain(now),
            Event::Tick => self.tick(now),
            Event::StoreAnswered(age) => self.record_store_answer(age, now),
            Event::StoreFailed => self.record_store_failure(now),
        }
    }

    /// Returns the version of the configuration in use.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the configuration in use.
    #[must_use]
    pub const fn config(&self) -> &Config {
        &self.config
    }

    /// Returns all known instances, including this one.
    #[must_use]
    pub const fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the known zone records.
    #[must_use]
    pub const fn zones(&self) -> &ZoneTable {
        &self.zones
    }

    /// Replaces the configuration with a newer one; an older or equal version is ignored, whatever
    /// its source.
    fn configure(&mut self, version: Version, config: Config, now: Millis) -> Vec<Effect> {
        if version <= self.version {
            return Vec::new();
        }
        self.version = version;
        self.config = config;
        let mut effects = vec![Effect::Publish(self.snapshot())];
        self.push_changes(now, &mut effects);
        effects
    }

    fn merge_zone(&mut self, record: ZoneRecord, now: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.zones.merge(record) {
            effects.push(Effect::Publish(self.snapshot()));
            self.push_changes(now, &mut effects);
        }
        effects
    }

    fn drain(&mut self, now: Millis) -> Vec<Effect> {
        self.own.seq += 1;
        self.own.phase = Phase::Left;
        self.queue_rumor(self.own);
        let mut effects = Vec::new();
        self.push_changes(now, &mut effects);
        effects
    }

    fn tick(&mut self, now: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.notice_absence(now);
        self.mark_silent_agents(now);
        self.send_due_gossip(now, &mut effects);
        self.check_store_age(now, &mut effects);
        effects
    }

    fn snapshot(&self) -> Snapshot {
        let mut services: Vec<_> = self.config.services.iter().map(Service::port).collect();
        services.sort_unstable();
        let out = self.zones.iter().filter(|r| r.out);
        Snapshot {
            version: self.version,
            services,
            zones_out: out.map(|r| r.zone).collect(),
        }
    }
}
