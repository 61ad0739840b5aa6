//! Spreads what instances say about themselves, zone records and the version in force.

mod exchange;

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::{
    Decision, Effect, Fact, Load, MemberHeartbeat, Membership, Merge, Message, Phase, Reason, Role,
    Status,
};
use crate::id::{BootId, Version, ZoneTag, stable_hash};
use crate::member::{ZoneRecord, ZoneTable};
use crate::time::Millis;

/// Interval of exchanges.
const EXCHANGE_INTERVAL: Millis = Millis(400);
/// Instances that hear of an urgent change at once.
const URGENT_FANOUT: usize = 5;
/// Instances that each exchange goes to.
const EXCHANGE_FANOUT: usize = 1;
/// Times that a change is sent before it counts as spread.
const RUMOR_SENDS: u8 = 8;
/// Time after the start from which on the known agents are taken to be all.
const DISCOVERY_TIMEOUT: Millis = Millis(3_000);
/// Time after the start for which a process counts as young.
const STARTUP_PERIOD: Millis = Millis(6_000);
/// Balancers of each zone that watch the store.
const ZONE_WATCHERS: usize = 2;
/// Watchers that the store answers, below which any instance that notices it watches as well.
const MIN_WATCHERS: usize = 2;

/// What an instance is told at its start.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Address of the instance.
    pub ip: Ipv4Addr,
    /// What it does.
    pub role: Role,
    /// Its availability zone.
    pub zone: ZoneTag,
    /// Start of the process.
    pub boot: BootId,
    /// Interval of the backend server's heartbeats.
    pub heartbeat: Millis,
    /// Seed of random choices.
    pub seed: u64,
}

/// The instance's own fact, all others that it knows, and how they spread.
#[derive(Clone, Debug)]
pub struct Gossip {
    own: Fact,
    membership: Membership,
    zones: ZoneTable,
    version: Version,
    contacts: Vec<Ipv4Addr>,
    registered: Option<Vec<Ipv4Addr>>,
    is_watcher: bool,
    rumors: VecDeque<Rumor>,
    cursor: usize,
    last_exchange: Millis,
    last_contact: Option<Millis>,
    started_at: Millis,
    last_fetch: Option<(Version, Millis)>,
    rng: Pcg64Mcg,
}

/// One changed fact and how often it is still to be sent.
#[derive(Clone, Copy, Debug)]
struct Rumor {
    ip: Ipv4Addr,
    remaining: u8,
}

impl Gossip {
    /// A gossip that knows only its own instance.
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
        };
        let mut membership = Membership::default();
        membership.merge(own, now);
        Self {
            own,
            membership,
            zones: ZoneTable::default(),
            version: Version(0),
            contacts: Vec::new(),
            registered: None,
            is_watcher: false,
            rumors: VecDeque::new(),
            cursor: 0,
            last_exchange: now,
            last_contact: None,
            started_at: now,
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

    /// The known instances, to be changed.
    pub const fn membership_mut(&mut self) -> &mut Membership {
        &mut self.membership
    }

    /// The known zone records.
    #[must_use]
    pub const fn zones(&self) -> &ZoneTable {
        &self.zones
    }

    /// Version of the configuration in force.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Whether another instance is known.
    #[must_use]
    pub fn has_peers(&self) -> bool {
        self.membership.len() > 1
    }

    /// Adds addresses of instances that may be asked; a young process asks them at once.
    pub fn add_contacts(
        &mut self,
        ips: impl IntoIterator<Item = Ipv4Addr>,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        self.insert_contacts(ips);
        if self.is_recently_started(now) {
            self.ask_contacts(now, effects);
        }
    }

    /// Takes over which agents have an entry in the store; they may be asked as well.
    pub fn set_registered_agents(
        &mut self,
        ips: Vec<Ipv4Addr>,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        self.add_contacts(ips.iter().copied(), now, effects);
        self.registered = Some(ips);
    }

    /// Whether all agents that may hold flows are known.
    ///
    /// That is so once every agent with an entry in the store has been heard, or, without the
    /// store, some time after the start.
    #[must_use]
    pub fn has_all_agents(&self, now: Millis) -> bool {
        let is_heard = |ip: &Ipv4Addr| self.membership.get(*ip).is_some();
        let registered = self.registered.as_ref();
        let is_complete = registered.is_some_and(|ips| ips.len() > 1 && ips.iter().all(is_heard));
        is_complete || now.since(self.started_at) >= DISCOVERY_TIMEOUT
    }

    /// Puts a newer version in force and tells others at once.
    pub fn set_version(&mut self, version: Version, now: Millis, effects: &mut Vec<Effect>) {
        self.version = version;
        effects.push(self.decision(Reason::Configured));
        self.push_update(now, effects);
    }

    /// Takes a zone record over if it is newer, and tells others at once.
    pub fn set_zone(&mut self, record: ZoneRecord, now: Millis, effects: &mut Vec<Effect>) {
        let was_out = self.zones.is_out(record.zone);
        if !self.zones.merge(record) || record.out == was_out {
            return;
        }
        let reason = if record.out {
            Reason::ZoneOut
        } else {
            Reason::ZoneIn
        };
        effects.push(self.decision(reason));
        self.push_update(now, effects);
    }

    /// Changes the own fact; a change of phase, service or backend server is told at once.
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
    }

    /// The own fact with a new sequence number, for an instance that asked.
    pub fn send_status(&mut self, to: Ipv4Addr, effects: &mut Vec<Effect>) {
        self.advance_seq();
        let message = self.status(Vec::new(), Vec::new(), false);
        effects.push(Effect::Send { to, message });
    }

    /// Notes that an instance answers, if a message shows that it does.
    pub fn record_answer(&mut self, from: Ipv4Addr, message: &Message, now: Millis) {
        if let Some(member) = self
            .membership
            .get_mut(from)
            .filter(|_| message.is_answer())
        {
            member.record_answer(now);
        }
    }

    /// Asks an instance that owes an answer for its status.
    pub fn probe(&mut self, ip: Ipv4Addr, now: Millis, effects: &mut Vec<Effect>) {
        if let Some(member) = self.membership.get_mut(ip) {
            member.record_probe(now);
            let message = self.status(Vec::new(), Vec::new(), true);
            effects.push(Effect::Send { to: ip, message });
        }
    }

    /// Handles what another instance knows.
    pub fn receive_status(&mut self, status: &Status, now: Millis, effects: &mut Vec<Effect>) {
        let from = status.from.ip;
        if from == self.own.ip {
            return;
        }
        self.merge_fact(status.from, now, effects);
        for &fact in &status.facts {
            self.merge_fact(fact, now, effects);
        }
        for heartbeat in &status.beats {
            self.merge_heartbeat(heartbeat, now);
        }
        for &record in &status.zones {
            self.set_zone(record, now, effects);
        }
        if status.version > self.version {
            self.fetch(from, status.version, now, effects);
        }
        if status.asks {
            self.advance_seq();
            let lacks_members = (status.known as usize) < self.membership.len();
            let message = self.exchange_status(lacks_members, false);
            effects.push(Effect::Send { to: from, message });
        }
    }

    /// Observes silent instances and exchanges with a few others.
    pub fn tick(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        for fact in self.membership.update_suspects(self.own.ip, now) {
            let decision = self.member_decision(Reason::MemberLost, &fact, now);
            effects.push(decision);
        }
        self.ask_contacts(now, effects);
        self.choose_watchers(effects);
        if now.since(self.last_exchange) >= EXCHANGE_INTERVAL {
            self.exchange(now, EXCHANGE_FANOUT, true, effects);
        }
    }

    /// Notes whether the store answers this process, and tells others at once if that changed.
    pub fn set_store(&mut self, is_reachable: bool, now: Millis, effects: &mut Vec<Effect>) {
        let fact = Fact {
            store: is_reachable && self.is_watcher,
            ..self.own
        };
        if fact != self.own {
            self.set_own(fact, now, effects);
        }
    }

    /// Tells a few others at once.
    pub fn push_update(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        self.exchange(now, URGENT_FANOUT, false, effects);
    }

    /// A log line about this instance.
    #[must_use]
    pub const fn decision(&self, reason: Reason) -> Effect {
        Effect::Log(Decision {
            reason,
            flow: None,
            peer: None,
            version: self.version,
            age: Millis(0),
            phase: Some(self.own.phase),
        })
    }

    fn insert_contacts(&mut self, ips: impl IntoIterator<Item = Ipv4Addr>) {
        for ip in ips {
            if ip != self.own.ip && !self.contacts.contains(&ip) {
                self.contacts.push(ip);
                self.last_contact = None;
            }
        }
    }

    fn is_recently_started(&self, now: Millis) -> bool {
        now.since(self.started_at) < STARTUP_PERIOD
    }

    fn advance_seq(&mut self) {
        self.own.seq += 1;
    }

    fn merge_fact(&mut self, fact: Fact, now: Millis, effects: &mut Vec<Effect>) {
        if fact.ip == self.own.ip {
            self.refute(&fact);
            return;
        }
        let is_news = match self.membership.merge(fact, now) {
            Merge::Stale => return,
            Merge::New => true,
            Merge::Replaced(old) => old.urgent_fields() != fact.urgent_fields(),
        };
        if is_news {
            self.queue_rumor(fact.ip);
            let decision = self.member_decision(Reason::MemberChanged, &fact, now);
            effects.push(decision);
        }
    }

    /// Takes a greater boot id if others know one, as after a step of the wall clock.
    fn refute(&mut self, fact: &Fact) {
        if fact.boot > self.own.boot {
            self.own.boot = BootId(fact.boot.0 + 1);
        }
    }

    fn queue_rumor(&mut self, ip: Ipv4Addr) {
        self.rumors.retain(|r| r.ip != ip);
        self.rumors.push_front(Rumor {
            ip,
            remaining: RUMOR_SENDS,
        });
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

    /// Takes a sign of life over; an instance or a start that is not known is asked for its fact.
    fn merge_heartbeat(&mut self, heartbeat: &MemberHeartbeat, now: Millis) {
        let ip = Ipv4Addr::from_bits(heartbeat.ip);
        if ip != self.own.ip && !self.membership.record_heartbeat(heartbeat, now) {
            self.insert_contacts([ip]);
        }
    }

    /// Starts to watch the store if this instance is one of the first balancers of its zone, or if
    /// it knows of too few others that the store answers; stops when neither holds any longer.
    fn choose_watchers(&mut self, effects: &mut Vec<Effect>) {
        let live = || {
            let others = self.membership.iter().filter(|m| m.fact.ip != self.own.ip);
            others.filter(|m| m.fact.phase.is_running() && !m.is_suspect)
        };
        let answered = live().filter(|m| m.fact.store).count();
        let rank = stable_hash(&self.own.ip.octets());
        let ahead = live().filter(|m| {
            m.fact.role == Role::Balancer
                && m.fact.zone == self.own.zone
                && stable_hash(&m.fact.ip.octets()) < rank
        });
        let is_first = self.own.role == Role::Balancer && ahead.count() < ZONE_WATCHERS;
        let is_watcher = is_first || answered < MIN_WATCHERS;
        if is_watcher != self.is_watcher {
            self.is_watcher = is_watcher;
            self.own.store &= is_watcher;
            effects.push(Effect::Watch(is_watcher));
        }
    }

    fn member_decision(&self, reason: Reason, fact: &Fact, now: Millis) -> Effect {
        let last_heard = self.membership.get(fact.ip).map_or(now, |m| m.last_heard);
        Effect::Log(Decision {
            reason,
            flow: None,
            peer: Some(fact.ip),
            version: self.version,
            age: now.since(last_heard),
            phase: Some(fact.phase),
        })
    }
}
