//! The known instances of the datagram path.
//!
//! * `forgotten` remembers those that were forgotten.
//! * `member` says what is known of one instance, and whether to wait for its answers.
//! * `preference` says in which order agents are preferred for a flow.
//! * `service_load` compares the load of a service's agents.

mod forgotten;
mod member;
mod preference;
mod service_load;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use super::{Fact, Flow, MemberHeartbeat, ServiceTag};
use crate::id::{BootId, stable_hash};
use crate::time::Millis;
use forgotten::Forgotten;
pub use member::Member;
pub(crate) use preference::{addresses, sort_by_preference};
pub use service_load::ServiceLoad;

/// An instance whose heartbeat has not advanced for this long is suspected to have failed.
///
/// Heartbeats take longer to arrive in a large system, so the timeout grows with its size.
const SUSPECT_TIMEOUT: Millis = Millis(3_500);
/// The timeout is one [`SUSPECT_TIMEOUT`] for each group of this many instances, rounded up.
const SUSPECT_TIMEOUT_MEMBERS: usize = 40;
/// An instance whose heartbeat has not advanced for this long is forgotten.
pub(super) const FORGET_TIMEOUT: Millis = Millis(60_000);
/// Virtual nodes of one agent on the consistent-hashing ring of home agents.
const VIRTUAL_NODES: u8 = 16;

/// All known instances, indexed by address and by service.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    members: BTreeMap<Ipv4Addr, Member>,
    agents: BTreeMap<ServiceTag, Vec<Ipv4Addr>>,
    ring: BTreeMap<u64, Ipv4Addr>,
    forgotten: Forgotten,
}

impl Membership {
    /// Merges a fact if it is newer than the known one; returns the outcome.
    pub fn merge(&mut self, fact: Fact, now: Millis) -> Merge {
        let Some(member) = self.members.get_mut(&fact.ip) else {
            if self.forgotten.is_outdated(&fact, now) {
                return Merge::Stale;
            }
            self.insert(fact, now);
            return Merge::New;
        };
        if !fact.supersedes(&member.fact) {
            return Merge::Stale;
        }
        let old = *member;
        *member = Member::new(fact, now);
        member.lost_since = old.lost_since;
        if old.fact.boot == fact.boot {
            member.probed_since = old.probed_since;
            member.last_answer = old.last_answer;
            member.unanswered_probes = old.unanswered_probes;
            member.queried_since = old.queried_since;
            member.unanswered_queries = old.unanswered_queries;
        }
        if old.fact.boot == fact.boot && fact.seq <= old.heartbeat_seq {
            member.last_heard = old.last_heard;
            member.heartbeat_seq = old.heartbeat_seq;
            member.is_suspect = old.is_suspect;
        }
        let old = old.fact;
        if old.service() != fact.service() {
            self.unindex(&old);
            self.index(&fact);
        }
        Merge::Replaced(old)
    }

    /// Records a heartbeat; returns whether the boot that it comes from is known.
    pub fn record_heartbeat(&mut self, heartbeat: &MemberHeartbeat, now: Millis) -> bool {
        let member = self.members.get_mut(&Ipv4Addr::from_bits(heartbeat.ip));
        let Some(member) = member.filter(|m| heartbeat.is_same_boot(&m.fact)) else {
            return false;
        };
        if heartbeat.seq > member.heartbeat_seq {
            member.heartbeat_seq = heartbeat.seq;
            member.last_heard = now;
            member.is_suspect = false;
        }
        true
    }

    /// The instance at `ip`.
    #[must_use]
    pub fn get(&self, ip: Ipv4Addr) -> Option<&Member> {
        self.members.get(&ip)
    }

    /// The instance at `ip`, mutably.
    pub fn get_mut(&mut self, ip: Ipv4Addr) -> Option<&mut Member> {
        self.members.get_mut(&ip)
    }

    /// The last fact about the same instance, which may be forgotten, if it comes from a later boot, or from an earlier one
    /// that knew its backend server.
    #[must_use]
    pub fn other_boot(&self, fact: &Fact) -> Option<Fact> {
        let known = self.members.get(&fact.ip).map(|m| &m.fact);
        let last = known.or_else(|| self.forgotten.get(fact.ip)).copied();
        let knew_backend = |f: &Fact| f.boot < fact.boot && f.backend != BootId::default();
        last.filter(|last| last.boot > fact.boot || knew_backend(last))
    }

    /// All instances in the order of their addresses.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Number of known instances.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no instance is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The running agents of a service.
    pub fn agents(&self, service: ServiceTag) -> impl Iterator<Item = &Member> {
        let ips = self.agents.get(&service).into_iter().flatten();
        let members = ips.filter_map(|ip| self.members.get(ip));
        members.filter(|m| m.fact.phase.is_running())
    }

    /// All running agents.
    pub fn all_agents(&self) -> impl Iterator<Item = &Member> {
        let agents = self.members.values();
        agents.filter(|m| m.fact.service().is_some() && m.fact.phase.is_running())
    }

    /// The agent that stores the owner record of a flow, chosen by consistent hashing.
    ///
    /// The choice does not depend on the service, since a route may change its services while its
    /// flows stay where they are. Unresponsive agents, and those whose backend server has
    /// ended, are skipped while there are others: they have probably failed, or terminate soon.
    #[must_use]
    pub fn home_agent(&self, flow: &Flow, now: Millis) -> Option<Ipv4Addr> {
        self.home_agent_among(flow, |_| true, now)
    }

    /// The agent that would store the owner record of a flow without the agents that `is_candidate` rejects.
    pub(super) fn home_agent_among(
        &self,
        flow: &Flow,
        is_candidate: impl Fn(Ipv4Addr) -> bool,
        now: Millis,
    ) -> Option<Ipv4Addr> {
        let hash = flow.hash();
        let after = self.ring.range(hash..).chain(self.ring.range(..hash));
        let members = after.filter_map(|(_, ip)| self.members.get(ip));
        let members = members.filter(|m| is_candidate(m.fact.ip));
        let mut running = members.filter(|m| m.fact.phase.is_running());
        let first = running.clone().next();
        let home = running.find(|m| m.can_be_home(now)).or(first);
        home.map(|m| m.fact.ip)
    }

    /// Leaves a time in which this process was away, which ends now, out of the silence of others.
    pub fn exclude_absence(&mut self, absence: Millis, now: Millis) {
        for member in self.members.values_mut() {
            member.exclude_absence(absence, now);
        }
    }

    /// Marks instances whose heartbeat has stopped as suspect, and later forgets them.
    ///
    /// If more than half of the running instances have stopped at once, this process itself is
    /// assumed to be isolated and no instance is marked. Returns those newly marked, and those heard again.
    pub fn update_suspects(&mut self, own: Ipv4Addr, now: Millis) -> SuspectChanges {
        let factor = self.members.len().div_ceil(SUSPECT_TIMEOUT_MEMBERS) as u64;
        let span = Millis(SUSPECT_TIMEOUT.0 * factor);
        let is_stale = |m: &Member| m.fact.ip != own && now.since(m.last_heard) > span;
        let running = self.members.values().filter(|m| m.fact.phase.is_running());
        let total = running.clone().count();
        let stale = running.filter(|m| is_stale(m)).count();
        let is_isolated = stale * 2 > total;
        let mut changes = SuspectChanges::default();
        for member in self.members.values_mut() {
            let is_stale = is_stale(member);
            let is_suspect = is_stale && !is_isolated;
            if is_suspect && !member.is_suspect && member.fact.phase.is_running() {
                member.lost_since.get_or_insert(member.last_heard);
                changes.lost.push(member.fact);
            }
            if let Some(since) = member.lost_since.take_if(|_| !is_stale) {
                changes.returned.push((member.fact, now.since(since)));
            }
            member.is_suspect = is_suspect;
        }
        self.remove_expired(own, now);
        changes
    }

    fn remove_expired(&mut self, own: Ipv4Addr, now: Millis) {
        let is_old = |m: &&Member| m.fact.ip != own && now.since(m.last_heard) > FORGET_TIMEOUT;
        let old: Vec<Member> = self.members.values().filter(is_old).copied().collect();
        for Member {
            fact,
            heartbeat_seq,
            ..
        } in old
        {
            self.members.remove(&fact.ip);
            self.unindex(&fact);
            self.forgotten.insert(fact, heartbeat_seq, now);
        }
        self.forgotten.expire(now);
    }

    fn insert(&mut self, fact: Fact, now: Millis) {
        self.members.insert(fact.ip, Member::new(fact, now));
        self.index(&fact);
    }

    fn index(&mut self, fact: &Fact) {
        if let Some(service) = fact.service() {
            self.agents.entry(service).or_default().push(fact.ip);
            self.ring
                .extend(ring_points(fact.ip).map(|point| (point, fact.ip)));
        }
    }

    fn unindex(&mut self, fact: &Fact) {
        let Some(service) = fact.service() else {
            return;
        };
        if let Some(ips) = self.agents.get_mut(&service) {
            ips.retain(|&ip| ip != fact.ip);
        }
        for point in ring_points(fact.ip) {
            self.ring.remove(&point);
        }
    }
}

/// Positions of an agent on the consistent-hashing ring.
fn ring_points(ip: Ipv4Addr) -> impl Iterator<Item = u64> {
    (0..VIRTUAL_NODES).map(move |i| {
        let [a, b, c, d] = ip.octets();
        stable_hash(&[a, b, c, d, i])
    })
}

/// Outcome of [`Membership::update_suspects`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectChanges {
    /// Instances that are suspected to have failed from now on.
    pub lost: Vec<Fact>,
    /// Instances that were suspected and are heard again, and how long they were not.
    pub returned: Vec<(Fact, Millis)>,
}

/// Outcome of [`Membership::merge`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// The fact is not newer than the known one.
    Stale,
    /// The instance was not known.
    New,
    /// The fact replaced this one.
    Replaced(Fact),
}
