//! Publication of the members of a zone in the store, where instances that start find them.
//!
//! One instance of each zone, the publisher, keeps the list. So an instance that starts makes the same
//! few calls to the store whatever the number of instances, and none when it ends.

use std::net::Ipv4Addr;

use super::Gossip;
use crate::datagram::membership::FORGET_TIMEOUT;
use crate::datagram::{Effect, Fact, Member, Phase, Role};
use crate::id::stable_hash;
use crate::time::Millis;

/// Time after the start in which other instances become known, before the first publication.
const SETTLE_TIME: Millis = Millis(500);
/// Interval between publications of a changing list; doubled after each one that failed.
const PUBLISH_INTERVAL: Millis = Millis(1_000);
/// Maximum of that interval.
const MAX_PUBLISH_INTERVAL: Millis = Millis(8_000);
/// Time after which an unchanged list is compared with the store again, since others may write it.
const VERIFY_INTERVAL: Millis = Millis(120_000);
/// Time after its departure for which a balancer stays on the list, as most departures are restarts.
const DEPARTURE_TIME: Millis = Millis(5_000);
/// Interval between reads of the lists by an instance that knows no other.
const DISCOVERY_INTERVAL: Millis = Millis(1_500);

/// The members of one zone, as its publisher knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneMembers {
    /// Running balancers.
    pub balancers: Vec<Ipv4Addr>,
    /// Running agents.
    pub agents: Vec<Ipv4Addr>,
    /// Instances that announced their departure and have not returned.
    pub departed: Vec<Ipv4Addr>,
    /// Whether all instances that are in none of these lists have departed as well.
    pub is_exhaustive: bool,
}

/// State of this instance's publications.
#[derive(Clone, Debug, Default)]
pub(super) struct Publication {
    /// The list that the store is known to have, and since when.
    stored: Option<(ZoneMembers, Millis)>,
    /// When this instance last checked whether to publish.
    last_check: Option<Millis>,
    /// When it last read the lists, as it knew no other instance.
    last_discovery: Option<Millis>,
    /// Publications since the last one that the store confirmed.
    unconfirmed: u32,
}

impl Publication {
    /// Whether the store is known to have this list.
    fn is_stored(&self, members: &ZoneMembers, now: Millis) -> bool {
        let stored = self.stored.as_ref();
        stored.is_some_and(|(list, at)| list == members && now.since(*at) < VERIFY_INTERVAL)
    }

    /// Time between two checks.
    fn interval(&self) -> Millis {
        let doubled = PUBLISH_INTERVAL.0 << self.unconfirmed.saturating_sub(1).min(8);
        Millis(doubled).min(MAX_PUBLISH_INTERVAL)
    }

    fn is_due(&self, interval: Millis, now: Millis) -> bool {
        self.last_check.is_none_or(|at| now.since(at) >= interval)
    }
}

impl Gossip {
    /// Records that the store has this list of the zone's members.
    pub fn confirm_publication(&mut self, members: ZoneMembers, now: Millis) {
        self.publication.stored = Some((members, now));
        self.publication.unconfirmed = 0;
    }

    /// Forgets what the store is known to have, as it was restored from an older copy.
    pub(super) fn distrust_publication(&mut self) {
        self.publication.stored = None;
    }

    /// Publishes the members of the own zone if this instance is the zone's publisher and the store is
    /// not known to have them. An instance that knows no other reads the lists as well.
    pub(super) fn publish_members(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        if now.since(self.started_at) < SETTLE_TIME {
            return;
        }
        self.discover_others(now, effects);
        if !self.publication.is_due(self.publication.interval(), now) {
            return;
        }
        self.publication.last_check = Some(now);
        if !self.is_publisher() {
            self.publication.stored = None;
            return;
        }
        let members = self.zone_members(now);
        if !self.publication.is_stored(&members, now) {
            self.publication.unconfirmed = self.publication.unconfirmed.saturating_add(1);
            effects.push(Effect::Publish(members));
        }
    }

    /// Reads the lists again while no other instance is known.
    fn discover_others(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let last = self.publication.last_discovery;
        let is_due = last.is_none_or(|at| now.since(at) >= DISCOVERY_INTERVAL);
        if !self.has_peers() && is_due {
            self.publication.last_discovery = Some(now);
            effects.push(Effect::Discover);
        }
    }

    /// Whether this instance is the first live one of its zone: those that reach the store come
    /// first, then balancers, then those whose address has a smaller hash.
    fn is_publisher(&self) -> bool {
        let own = publisher_rank(&self.own);
        let others = self.live_others().map(|m| &m.fact);
        let mut rivals = others.filter(|f| f.zone == self.own.zone);
        !self.own.phase.is_leaving() && rivals.all(|f| publisher_rank(f) > own)
    }

    fn zone_members(&self, now: Millis) -> ZoneMembers {
        let mut members = ZoneMembers {
            is_exhaustive: now.since(self.started_at) >= FORGET_TIMEOUT,
            ..ZoneMembers::default()
        };
        let is_local = |m: &&Member| m.fact.zone == self.own.zone;
        for member in self.membership.iter().filter(is_local) {
            let list = match member.fact.role {
                _ if has_departed(member, now) => &mut members.departed,
                Role::Balancer => &mut members.balancers,
                Role::Agent(_) => &mut members.agents,
            };
            list.push(member.fact.ip);
        }
        members
    }

    /// Sends the own departure to the publisher of the zone.
    pub(super) fn tell_publisher(&self, now: Millis, effects: &mut Vec<Effect>) {
        let others = self.live_others().map(|m| &m.fact);
        let local = others.filter(|f| f.zone == self.own.zone);
        if let Some(publisher) = local.min_by_key(|f| publisher_rank(f)) {
            let to = publisher.ip;
            let message = self.status(Vec::new(), Vec::new(), false, now);
            effects.push(Effect::Send { to, message });
        }
    }
}

/// Whether an instance leaves the list. An agent that has left holds no flows, and is not waited for
/// after a return of all instances.
fn has_departed(member: &Member, now: Millis) -> bool {
    let is_agent = member.fact.role != Role::Balancer;
    let is_expired = now.since(member.last_fact) >= DEPARTURE_TIME;
    member.fact.phase == Phase::Left && (is_agent || is_expired)
}

/// Position among the candidates for the publisher of a zone; the smallest publishes.
fn publisher_rank(fact: &Fact) -> (bool, bool, u64) {
    let is_agent = fact.role != Role::Balancer;
    (!fact.store, is_agent, stable_hash(&fact.ip.octets()))
}
