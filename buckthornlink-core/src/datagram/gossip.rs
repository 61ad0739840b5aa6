//! Gossip of facts, zone records and the configuration version in force.

mod catch_up;
mod discovery;
mod exchange;
mod facts;
mod publication;
mod store_access;
mod store_age;
mod zone_sync;

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};

use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::{Decision, Effect, Fact, Load, Membership, Message, Phase, Reason, Role, Status};
use crate::id::{BootId, Version, ZoneTag};
use crate::member::ZoneTable;
use crate::store::StoreAnswers;
use crate::time::Millis;
use catch_up::CatchUp;
use facts::QueuedFact;
use publication::Publication;
pub use publication::ZoneMembers;
use store_access::StoreAccess;
use zone_sync::ZoneSync;

/// Interval of gossip exchanges.
const EXCHANGE_INTERVAL: Millis = Millis(400);
/// Instances that an urgent change is sent to at once.
const URGENT_FANOUT: usize = 5;
/// Instances that each periodic exchange is sent to.
const EXCHANGE_FANOUT: usize = 1;
/// Time after the start during which contacts are asked sooner, more often and in greater number.
const STARTUP_PERIOD: Millis = Millis(6_000);

/// Startup parameters of an instance.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Address of the instance.
    pub ip: Ipv4Addr,
    /// Role of the instance.
    pub role: Role,
    /// Availability zone of the instance.
    pub zone: ZoneTag,
    /// Boot id of the process.
    pub boot: BootId,
    /// Interval of the backend server's heartbeats.
    pub heartbeat_interval: Millis,
    /// Address of the backend server beside an agent.
    pub backend_address: Option<SocketAddrV4>,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Gossip state: the instance's own fact, the known instances, and changes still to be sent.
#[derive(Clone, Debug)]
pub struct Gossip {
    own: Fact,
    membership: Membership,
    zones: ZoneTable,
    zone_sync: ZoneSync,
    version: Version,
    contacts: Vec<Ipv4Addr>,
    registered: Option<Vec<Ipv4Addr>>,
    store_access: StoreAccess,
    store_answers: StoreAnswers<Ipv4Addr>,
    publication: Publication,
    fact_queue: VecDeque<QueuedFact>,
    member_changes: u64,
    last_new_member: Millis,
    max_known: u32,
    cursor: usize,
    last_exchange: Millis,
    last_contact: Option<Millis>,
    started_at: Millis,
    /// Boot id of the process at its start.
    first_boot: BootId,
    /// Boot of the backend server that an earlier process at this address knew last.
    earlier_backend: BootId,
    /// When the process started, or last returned from an absence.
    present_since: Millis,
    last_tick: Millis,
    catch_up: Option<CatchUp>,
    last_fetch: Option<(Version, Millis)>,
    rng: Pcg64Mcg,
}

impl Gossip {
    /// Creates the state of an instance that knows only itself.
    #[must_use]
    pub fn new(setup: &Setup, now: Millis) -> Self {
        let own = Fact {
            ip: setup.ip,
            role: setup.role,
            zone: setup.zone,
            boot: setup.boot,
            seq: 1,
            phase: Phase::Starting,
            backend: BootId(0),
            store: false,
            load: Load::default(),
            holds_earlier: false,
        };
        let mut membership = Membership::default();
        membership.merge(own, now);
        Self {
            own,
            membership,
            zones: ZoneTable::default(),
            zone_sync: ZoneSync::default(),
            version: Version(0),
            contacts: Vec::new(),
            registered: None,
            store_access: StoreAccess::new(setup.seed),
            store_answers: StoreAnswers::new(now),
            publication: Publication::default(),
            fact_queue: VecDeque::new(),
            member_changes: 0,
            last_new_member: now,
            max_known: 0,
            cursor: 0,
            last_exchange: now,
            last_contact: None,
            started_at: now,
            first_boot: setup.boot,
            earlier_backend: BootId::default(),
            present_since: now,
            last_tick: now,
            catch_up: None,
            last_fetch: None,
            rng: Pcg64Mcg::seed_from_u64(setup.seed),
        }
    }

    /// The instance's own fact.
    #[must_use]
    pub const fn own(&self) -> &Fact {
        &self.own
    }

    /// The known instances.
    #[must_use]
    pub const fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The known instances, mutably.
    pub const fn membership_mut(&mut self) -> &mut Membership {
        &mut self.membership
    }

    /// Number of instances that became known, or whose [`Fact::urgent_fields`] changed, so far.
    #[must_use]
    pub const fn member_changes(&self) -> u64 {
        self.member_changes
    }

    /// The known zone records.
    #[must_use]
    pub const fn zones(&self) -> &ZoneTable {
        &self.zones
    }

    /// Boot of the backend server that an earlier process at this address knew last, as others remember it; zero if they
    /// remember none.
    #[must_use]
    pub const fn earlier_backend(&self) -> BootId {
        self.earlier_backend
    }

    /// Version of the configuration in force.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Whether any other instance is known.
    #[must_use]
    pub fn has_peers(&self) -> bool {
        self.membership.len() > 1
    }

    /// Sets the version in force and sends it to others at once.
    pub fn set_version(&mut self, version: Version, now: Millis, effects: &mut Vec<Effect>) {
        self.version = version;
        effects.push(self.decision(Reason::Configured, now));
        self.push_update(now, effects);
    }

    /// Replaces the own fact; a change of [`Fact::urgent_fields`] is sent at once.
    pub fn set_own(&mut self, fact: Fact, now: Millis, effects: &mut Vec<Effect>) {
        let old = self.own;
        self.own = Fact {
            seq: old.seq + 1,
            ..fact
        };
        self.membership.merge(self.own, now);
        let is_urgent = old.urgent_fields() != fact.urgent_fields();
        if is_urgent {
            self.push_update(now, effects);
        }
        if old.phase != Phase::Left && fact.phase == Phase::Left {
            self.tell_publisher(now, effects);
        }
    }

    /// Sends the own fact, with a new sequence number, to an instance that asked for it.
    pub fn send_status(&mut self, to: Ipv4Addr, now: Millis, effects: &mut Vec<Effect>) {
        self.advance_seq();
        let message = self.status(Vec::new(), Vec::new(), false, now);
        effects.push(Effect::Send { to, message });
    }

    /// Records that an instance answers, if the message may be an answer.
    pub fn record_answer(&mut self, from: Ipv4Addr, message: &Message, now: Millis) {
        if let Some(member) = self
            .membership
            .get_mut(from)
            .filter(|_| message.is_answer())
        {
            member.record_answer(now);
        }
    }

    /// Probes an instance: asks for its status, and counts the probe until it answers.
    pub fn probe(&mut self, ip: Ipv4Addr, now: Millis, effects: &mut Vec<Effect>) {
        if let Some(member) = self.membership.get_mut(ip) {
            member.record_probe(now);
            let message = self.status(Vec::new(), Vec::new(), true, now);
            effects.push(Effect::Send { to: ip, message });
        }
    }

    /// Merges the status of another instance, and answers it if asked to.
    pub fn receive_status(&mut self, status: &Status, now: Millis, effects: &mut Vec<Effect>) {
        let from = status.from.ip;
        if from == self.own.ip {
            return;
        }
        self.record_catch_up(status);
        self.max_known = self.max_known.max(status.known);
        self.tell_other_boot(&status.from, now, effects);
        self.merge_fact(status.from, now, effects);
        for &fact in &status.facts {
            self.merge_fact(fact, now, effects);
        }
        for heartbeat in &status.beats {
            self.merge_heartbeat(heartbeat, now);
        }
        self.receive_store_view(from, &status.store, now, effects);
        if status.asks {
            self.advance_seq();
            let lacks_members = (status.known as usize) < self.membership.len();
            let message = self.exchange_status(lacks_members, false, now);
            effects.push(Effect::Send { to: from, message });
        }
    }

    /// Updates suspects, asks contacts, and starts an exchange if one is due.
    pub fn tick(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        self.last_tick = now;
        self.update_suspects(now, effects);
        self.ask_contacts(now, effects);
        self.check_store_answers(now, effects);
        self.return_absent_zones(now, effects);
        self.ask_for_store_view(now, effects);
        self.choose_watchers(now, effects);
        self.publish_members(now, effects);
        if now.since(self.last_exchange) >= EXCHANGE_INTERVAL {
            self.exchange(now, EXCHANGE_FANOUT, true, effects);
        }
    }

    fn update_suspects(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let changes = self.membership.update_suspects(self.own.ip, now);
        for fact in changes.lost {
            effects.push(self.member_decision(Reason::MemberLost, &fact, now));
        }
        for (fact, silence) in changes.returned {
            effects.push(self.aged_member_decision(Reason::MemberReturned, &fact, silence));
        }
    }

    /// Sends the own status to a few others at once.
    pub fn push_update(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        self.exchange(now, URGENT_FANOUT, false, effects);
    }

    /// A log effect about this instance; its age is that of what is known of the store.
    #[must_use]
    pub fn decision(&self, reason: Reason, now: Millis) -> Effect {
        Effect::Log(Decision {
            reason,
            flow: None,
            peer: None,
            version: self.version,
            age: self.store_age(now),
            phase: Some(self.own.phase),
            evidence: None,
            trial: None,
        })
    }

    fn is_recently_started(&self, now: Millis) -> bool {
        now.since(self.started_at) < STARTUP_PERIOD
    }

    fn advance_seq(&mut self) {
        self.own.seq += 1;
    }

    fn fetch(&mut self, from: Ipv4Addr, version: Version, now: Millis, effects: &mut Vec<Effect>) {
        let is_pending = self
            .last_fetch
            .is_some_and(|(v, at)| v >= version && now.since(at) < EXCHANGE_INTERVAL);
        if !is_pending {
            self.last_fetch = Some((version, now));
            effects.push(Effect::Fetch { from, version });
        }
    }
}
