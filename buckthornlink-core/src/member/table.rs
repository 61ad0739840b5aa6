//! Table of all known instances.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;

use slotmap::{SlotMap, new_key_type};

use super::digest::{Digest, bucket_of};
use super::{Fact, Load, Phase, Role};
use crate::id::ServicePort;
use crate::time::Millis;

new_key_type! {
    /// Key of a [`Member`] in [`Members`].
    pub struct MemberKey;
}

/// One known instance, with what this process has observed of it.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// Latest fact.
    pub fact: Fact,
    /// Latest load report and the time of its arrival.
    pub load: Option<(Load, Millis)>,
    /// Time at which this process last received anything from the instance.
    pub last_heard: Option<Millis>,
    /// Openers sent to the instance since the last datagram from it.
    pub unanswered: u32,
    /// Time at which the first unanswered opener was sent.
    pub unanswered_since: Millis,
    /// Openers sent to the instance since its last load report.
    pub openers_sent: u32,
}

/// Outcome of [`Members::merge`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// The fact does not supersede the known one.
    Stale,
    /// The fact was stored; it replaced an older one, if any.
    Updated(MemberKey),
}

/// All known instances, indexed by address and role.
#[derive(Clone, Debug, Default)]
pub struct Members {
    arena: SlotMap<MemberKey, Member>,
    by_addr: HashMap<SocketAddrV4, MemberKey>,
    by_role: BTreeMap<Role, Vec<MemberKey>>,
    digest: Digest,
}

impl Members {
    /// Stores a fact if it supersedes the known one.
    pub fn merge(&mut self, fact: Fact) -> Merge {
        let Some(&key) = self.by_addr.get(&fact.addr) else {
            return Merge::Updated(self.insert(fact));
        };
        let member = &mut self.arena[key];
        if !fact.supersedes(&member.fact) {
            return Merge::Stale;
        }
        let old = member.fact;
        member.fact = fact;
        if old.boot != fact.boot {
            member.load = None;
            member.unanswered = 0;
            member.openers_sent = 0;
        }
        self.digest.toggle(&old);
        self.digest.toggle(&fact);
        self.reindex_role(key, old.role, fact.role);
        Merge::Updated(key)
    }

    /// Removes an instance and everything known about it.
    pub fn remove(&mut self, key: MemberKey) {
        let Some(member) = self.arena.remove(key) else {
            return;
        };
        self.by_addr.remove(&member.fact.addr);
        self.digest.toggle(&member.fact);
        if let Some(keys) = self.by_role.get_mut(&member.fact.role) {
            keys.retain(|&k| k != key);
        }
    }

    /// Records that a datagram arrived from the instance at `addr`.
    pub fn mark_heard(&mut self, addr: SocketAddrV4, now: Millis) {
        if let Some(member) = self.get_mut(addr) {
            member.last_heard = Some(now);
            member.unanswered = 0;
        }
    }

    /// Leaves a time in which this process was away, which ends now, out of the silence of others.
    pub fn exclude_absence(&mut self, absence: Millis, now: Millis) {
        for member in self.arena.values_mut() {
            member.last_heard = member.last_heard.map(|at| now.min(at + absence));
        }
    }

    /// Records a load report.
    pub fn record_load(&mut self, addr: SocketAddrV4, load: Load, now: Millis) {
        if let Some(member) = self.get_mut(addr) {
            member.load = Some((load, now));
            member.openers_sent = 0;
        }
    }

    /// Records that an opener is sent to the instance.
    pub fn record_opener(&mut self, key: MemberKey, now: Millis) {
        let Some(member) = self.arena.get_mut(key) else {
            return;
        };
        if member.unanswered == 0 {
            member.unanswered_since = now;
        }
        member.unanswered += 1;
        member.openers_sent += 1;
    }

    /// Returns the instance with this key.
    #[must_use]
    pub fn get(&self, key: MemberKey) -> Option<&Member> {
        self.arena.get(key)
    }

    /// Returns the instance at `addr`.
    #[must_use]
    pub fn at(&self, addr: SocketAddrV4) -> Option<&Member> {
        self.by_addr.get(&addr).and_then(|&key| self.arena.get(key))
    }

    /// Returns the keys of all agents of `service`.
    #[must_use]
    pub fn agents(&self, service: ServicePort) -> &[MemberKey] {
        self.with_role(Role::Agent(service))
    }

    /// Returns the keys of all balancers.
    #[must_use]
    pub fn balancers(&self) -> &[MemberKey] {
        self.with_role(Role::Balancer)
    }

    /// Iterates over all instances.
    pub fn iter(&self) -> impl Iterator<Item = (MemberKey, &Member)> {
        self.arena.iter()
    }

    /// Iterates over the facts in one digest bucket.
    pub fn bucket(&self, index: usize) -> impl Iterator<Item = &Fact> {
        let facts = self.arena.values().map(|m| &m.fact);
        facts.filter(move |f| bucket_of(f) == index)
    }

    /// Returns the digest of all facts.
    #[must_use]
    pub const fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Returns the number of known instances.
    #[must_use]
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Whether no instance is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }

    fn get_mut(&mut self, addr: SocketAddrV4) -> Option<&mut Member> {
        let key = *self.by_addr.get(&addr)?;
        self.arena.get_mut(key)
    }

    fn with_role(&self, role: Role) -> &[MemberKey] {
        self.by_role.get(&role).map_or(&[], Vec::as_slice)
    }

    fn insert(&mut self, fact: Fact) -> MemberKey {
        let key = self.arena.insert(Member {
            fact,
            load: None,
            last_heard: None,
            unanswered: 0,
            unanswered_since: Millis(0),
            openers_sent: 0,
        });
        self.by_addr.insert(fact.addr, key);
        self.by_role.entry(fact.role).or_default().push(key);
        self.digest.toggle(&fact);
        key
    }

    fn reindex_role(&mut self, key: MemberKey, old: Role, new: Role) {
        if old == new {
            return;
        }
        if let Some(keys) = self.by_role.get_mut(&old) {
            keys.retain(|&k| k != key);
        }
        self.by_role.entry(new).or_default().push(key);
    }
}

impl Member {
    /// Whether the instance accepts new flows, according to its latest fact.
    #[must_use]
    pub const fn can_accept_flows(&self) -> bool {
        self.fact.phase.can_accept_flows()
    }

    /// Whether a datagram from the instance arrived within `span` before `now`.
    #[must_use]
    pub fn is_heard_within(&self, span: Millis, now: Millis) -> bool {
        self.last_heard.is_some_and(|at| now.since(at) <= span)
    }

    /// Whether the instance announced that it has shut down.
    #[must_use]
    pub fn has_left(&self) -> bool {
        self.fact.phase == Phase::Left
    }
}
