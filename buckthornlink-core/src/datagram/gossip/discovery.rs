//! Discovery of other instances, and whether all agents are known.

use std::net::Ipv4Addr;

use super::Gossip;
use crate::datagram::Effect;
use crate::datagram::membership::FORGET_TIMEOUT;
use crate::time::Millis;

/// Time after the start, or after an absence, from which on the known agents are assumed to be all.
const DISCOVERY_TIMEOUT: Millis = Millis(3_000);
/// Time without a newly known instance after which the known agents are assumed to be all, if no
/// other instance knows more of them. Longer than two exchanges, in which instances that start at
/// the same time hear of each other.
const STABLE_TIME: Millis = Millis(1_000);
/// Time without a message from any other instance after which a process counts as cut off.
const CONTACT_TIMEOUT: Millis = Millis(2_000);
/// Minimum number of other agents for that: a process that is cut off knows few.
const MIN_STABLE_AGENTS: usize = 2;

impl Gossip {
    /// Adds addresses of instances to contact; a recently started process asks them at once.
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

    /// Sets the agents that have an entry in the store, and adds them as contacts.
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
    /// That is so once every agent that the store lists is known, if there are at least two, and nobody
    /// knows more instances: the lists are some time old. Without the store, or while it lists agents that
    /// have failed, it is so once the known instances are stable, or `DISCOVERY_TIMEOUT` after the start. A
    /// process that was away has to hear from others first.
    #[must_use]
    pub fn has_all_agents(&self, now: Millis) -> bool {
        if self.is_catching_up(now) {
            return false;
        }
        let is_known = |ip: &Ipv4Addr| self.membership.get(*ip).is_some();
        let registered = self.registered.as_ref();
        let is_complete = registered.is_some_and(|ips| ips.len() > 1 && ips.iter().all(is_known));
        is_complete && self.knows_most()
            || self.is_membership_stable(now)
            || now.since(self.present_since) >= DISCOVERY_TIMEOUT
    }

    /// Whether all agents that may hold flows are known for certain: besides, every agent that the store lists has
    /// been heard, or this process has run for longer than the store lists agents that are silent.
    ///
    /// [`Self::has_all_agents`] gives up a listed agent that is not heard. That suffices for what can be made good.
    #[must_use]
    pub fn is_certain_of_agents(&self, now: Millis) -> bool {
        let is_known = |ip: &Ipv4Addr| self.membership.get(*ip).is_some();
        let registered = self.registered.as_ref();
        let has_heard_listed = registered.is_some_and(|ips| ips.iter().all(is_known));
        let has_run_long = now.since(self.started_at) >= FORGET_TIMEOUT;
        let is_complete = has_heard_listed || has_run_long;
        is_complete && self.has_all_agents(now) && self.is_in_contact(now)
    }

    /// Whether another instance was heard lately. A process that was cut off for long has forgotten all others, which
    /// says nothing about them.
    fn is_in_contact(&self, now: Millis) -> bool {
        let mut others = self.membership.iter().filter(|m| m.fact.ip != self.own.ip);
        others.any(|m| now.since(m.last_heard.max(m.last_answer)) <= CONTACT_TIMEOUT)
    }

    /// Whether no instance has become known for a while, and nobody knows more instances.
    fn is_membership_stable(&self, now: Millis) -> bool {
        let others = self.membership.all_agents();
        let agents = others.filter(|m| m.fact.ip != self.own.ip).count();
        agents >= MIN_STABLE_AGENTS
            && self.knows_most()
            && now.since(self.last_new_member.max(self.present_since)) >= STABLE_TIME
    }

    /// Whether no other instance has said that it knows more instances.
    fn knows_most(&self) -> bool {
        self.membership.len() >= self.max_known as usize
    }

    pub(super) fn insert_contacts(&mut self, ips: impl IntoIterator<Item = Ipv4Addr>) {
        for ip in ips {
            if ip != self.own.ip && !self.contacts.contains(&ip) {
                self.contacts.push(ip);
                self.last_contact = None;
            }
        }
    }
}
