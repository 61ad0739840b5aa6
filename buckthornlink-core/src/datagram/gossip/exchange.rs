//! Contents and recipients of gossip messages.

use std::net::Ipv4Addr;

use super::Gossip;
use crate::datagram::{Effect, Fact, Member, MemberHeartbeat, Message, Status};
use crate::sample::keep_random;
use crate::time::Millis;

/// Maximum number of facts in one message, which fits a datagram together with the heartbeats.
const MAX_FACTS: usize = 12;
/// Maximum number of heartbeats in one message.
const MAX_HEARTBEATS: usize = 40;
/// Interval at which contacts that are not known as live instances are asked while no peer is
/// known.
const CONTACT_INTERVAL_NO_PEERS: Millis = Millis(200);
/// The same interval during the startup period.
const CONTACT_INTERVAL_STARTUP: Millis = Millis(400);
/// The same interval after the startup period; joins groups that do not know each other.
const CONTACT_INTERVAL: Millis = Millis(3_000);
/// Contacts that are asked at a time.
const CONTACT_FANOUT: usize = 4;
/// Contacts that are asked at a time during the startup period.
const CONTACT_FANOUT_STARTUP: usize = 24;

impl Gossip {
    pub(super) fn exchange(
        &mut self,
        now: Millis,
        fanout: usize,
        asks: bool,
        effects: &mut Vec<Effect>,
    ) {
        self.last_exchange = now;
        self.advance_seq();
        for to in self.pick_peers(fanout) {
            let message = self.exchange_status(false, asks, now);
            effects.push(Effect::Send { to, message });
        }
    }

    /// Status for a gossip exchange; a receiver that lacks members gets additional facts.
    pub(super) fn exchange_status(
        &mut self,
        lacks_members: bool,
        asks: bool,
        now: Millis,
    ) -> Message {
        let mut facts = self.take_queued_facts();
        if lacks_members {
            self.add_facts(&mut facts);
        }
        let beats = self.pick_heartbeats();
        self.status(facts, beats, asks, now)
    }

    pub(super) fn status(
        &self,
        facts: Vec<Fact>,
        beats: Vec<MemberHeartbeat>,
        asks: bool,
        now: Millis,
    ) -> Message {
        Message::Status(Status {
            from: self.own,
            store: self.store_view(now),
            facts,
            beats,
            known: u32::try_from(self.membership.len()).unwrap_or(u32::MAX),
            asks,
        })
    }

    /// Queued changed facts, each counted as sent once.
    fn take_queued_facts(&mut self) -> Vec<Fact> {
        let mut facts = Vec::new();
        for queued in self.fact_queue.iter_mut().take(MAX_FACTS) {
            queued.sends_left -= 1;
            facts.extend(self.membership.get(queued.ip).map(|m| m.fact));
        }
        self.fact_queue.retain(|q| q.sends_left > 0);
        facts
    }

    /// The most recent heartbeats of other instances.
    fn pick_heartbeats(&self) -> Vec<MemberHeartbeat> {
        let others = self.membership.iter().filter(|m| m.fact.ip != self.own.ip);
        let mut members: Vec<&Member> = others.collect();
        if members.len() > MAX_HEARTBEATS {
            members.sort_unstable_by_key(|m| std::cmp::Reverse(m.last_heard));
            members.truncate(MAX_HEARTBEATS);
        }
        let heartbeat = |m: &&Member| MemberHeartbeat {
            seq: m.heartbeat_seq,
            ..MemberHeartbeat::from_fact(&m.fact)
        };
        members.iter().map(heartbeat).collect()
    }

    /// Fills a message up with facts of known instances, in round-robin order.
    fn add_facts(&mut self, facts: &mut Vec<Fact>) {
        let total = self.membership.len();
        let rest = MAX_FACTS.saturating_sub(facts.len()).min(total);
        let start = self.cursor % total;
        let others = self
            .membership
            .iter()
            .skip(start)
            .chain(self.membership.iter());
        for member in others.take(rest) {
            if member.fact.ip != self.own.ip && !facts.contains(&member.fact) {
                facts.push(member.fact);
            }
        }
        self.cursor = (self.cursor + rest) % total;
    }

    /// Random running instances other than this one; a single one is from the own zone every other
    /// time, to reduce traffic between zones.
    fn pick_peers(&mut self, count: usize) -> Vec<Ipv4Addr> {
        let is_local = count == 1 && self.own.seq.is_multiple_of(2);
        let own = self.own;
        let is_peer = |f: &Fact| f.ip != own.ip && f.phase.is_running();
        let facts = || self.membership.iter().map(|m| m.fact).filter(is_peer);
        let mut ips: Vec<Ipv4Addr> = facts()
            .filter(|f| !is_local || f.zone == own.zone)
            .map(|f| f.ip)
            .collect();
        if ips.is_empty() {
            ips = facts().map(|f| f.ip).collect();
        }
        keep_random(&mut ips, count, &mut self.rng);
        ips
    }

    /// Asks some of the contacts that are not known as live instances for their status.
    pub(super) fn ask_contacts(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let interval = if !self.has_peers() {
            CONTACT_INTERVAL_NO_PEERS
        } else if self.is_recently_started(now) {
            CONTACT_INTERVAL_STARTUP
        } else {
            CONTACT_INTERVAL
        };
        if self.last_contact.is_some_and(|at| now.since(at) < interval) {
            return;
        }
        self.last_contact = Some(now);
        let is_live = |ip| self.membership.get(ip).is_some_and(|m| !m.is_suspect);
        let contacts = self.contacts.iter().copied();
        let mut ips: Vec<Ipv4Addr> = contacts.filter(|&ip| !is_live(ip)).collect();
        let fanout = if self.is_recently_started(now) {
            CONTACT_FANOUT_STARTUP
        } else {
            CONTACT_FANOUT
        };
        keep_random(&mut ips, fanout, &mut self.rng);
        for to in ips {
            let message = self.exchange_status(false, true, now);
            effects.push(Effect::Send { to, message });
        }
    }
}
