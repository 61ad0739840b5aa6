//! Gossip of facts between balancers.
//!
//! A changed fact is included in exchanges until it has been sent a number of times that grows with
//! the logarithm of the group size. A new configuration, a new zone record and the balancer's own
//! shutdown are pushed to a few peers at once. Exchanged digests reveal facts that were missed.

use std::collections::VecDeque;
use std::net::SocketAddrV4;

use rand_core::RngCore;

use super::{Balancer, Effect};
use crate::member::{Fact, Role, ZoneRecord};
use crate::message::{Exchange, MAX_FACTS, Message};
use crate::sample::keep_random;
use crate::time::Millis;

/// Interval between two exchanges.
const EXCHANGE_INTERVAL: Millis = Millis(1_000);
/// Number of peers to which a new configuration, a new zone record or the balancer's own shutdown
/// is pushed at once.
const FANOUT: usize = 5;
/// Available budget, in bytes, below which no exchange is started.
const EXCHANGE_RESERVE_BYTES: usize = 400;
/// Bytes allowed for one fact of a response; a response may use half of the available budget. An
/// encoded fact is seldom as long as the upper bound that is charged for it.
const FACT_BUDGET_BYTES: usize = 40;
/// Interval between hellos while no peer is known.
const HELLO_INTERVAL: Millis = Millis(100);
/// Interval between hellos once peers are known; lets groups that do not know each other merge.
const HELLO_INTERVAL_JOINED: Millis = Millis(15_000);

/// Changed facts that are still to be sent, and the time of the last exchange or push.
#[derive(Clone, Debug, Default)]
pub(super) struct GossipQueue {
    queue: VecDeque<Rumor>,
    last_exchange: Millis,
}

/// One changed fact and the number of times that it is still to be sent.
#[derive(Clone, Copy, Debug)]
struct Rumor {
    fact: Fact,
    remaining: u32,
}

impl GossipQueue {
    fn add(&mut self, fact: Fact, times: u32) {
        self.queue.retain(|r| r.fact.addr != fact.addr);
        self.queue.push_front(Rumor {
            fact,
            remaining: times,
        });
    }

    /// Returns up to `max` of the newest changes and counts each as sent once.
    fn take(&mut self, max: usize) -> Vec<Fact> {
        let mut facts = Vec::new();
        for rumor in self.queue.iter_mut().take(max) {
            facts.push(rumor.fact);
            rumor.remaining -= 1;
        }
        self.queue.retain(|r| r.remaining > 0);
        facts
    }
}

impl Balancer {
    /// Handles a control message. An agent's hello goes to any balancer and does not make it one that the
    /// agent reports to.
    pub(super) fn handle_control(
        &mut self,
        from: SocketAddrV4,
        message: Message,
        now: Millis,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        match message {
            Message::Hello(fact) => {
                let is_self = fact.addr == self.own.addr;
                if !is_self {
                    self.merge_fact(fact);
                    if fact.role == Role::Balancer {
                        self.members.mark_heard(fact.addr, now);
                    }
                    self.send_ack(from, &fact, now, &mut effects);
                }
            }
            Message::Heartbeat(beat) => self.handle_heartbeat(from, beat, now, &mut effects),
            Message::Ack(ack) => {
                self.request_members(ack.from, now, &mut effects);
                self.merge_sender(ack.from, now);
                self.merge_facts(&ack.peers);
                self.merge_facts(ack.silenced.as_slice());
                self.merge_zones(&ack.zones, now, &mut effects);
                self.fetch_newer_config(ack.from.addr, ack.version, &mut effects);
            }
            Message::Exchange(exchange) => self.respond_to_exchange(&exchange, now, &mut effects),
            Message::Store(view) => self.receive_store_view(from, &view, now, &mut effects),
        }
        effects
    }

    /// Merges a changed fact and queues it for gossip.
    pub(super) fn queue_rumor(&mut self, fact: Fact) {
        self.members.merge(fact);
        let peers = self.members.balancers().len().max(2);
        let rounds = peers.ilog2() + 1;
        self.gossip.add(fact, rounds * 3);
    }

    /// Sends the configuration version, the zone records and queued facts to a few random peers
    /// without waiting for the next exchange.
    pub(super) fn push_changes(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        for peer in self.pick_balancers(FANOUT) {
            let facts = self.gossip.take(MAX_FACTS);
            let message = self.exchange_message(facts, false);
            self.send(peer.addr, message, effects);
        }
        self.gossip.last_exchange = now;
    }

    /// Sends a hello if one is due, and starts an exchange if one is due and the budget allows it.
    pub(super) fn send_due_gossip(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        self.send_hello(now, effects);
        if now.since(self.gossip.last_exchange) < EXCHANGE_INTERVAL {
            return;
        }
        let available = self.budget.available(now);
        if available < EXCHANGE_RESERVE_BYTES {
            return;
        }
        self.gossip.last_exchange = now;
        self.check_unheard_peers(now, effects);
        let Some(peer) = self.pick_balancers(1).pop() else {
            return;
        };
        let facts = self.gossip.take(MAX_FACTS);
        let message = self.exchange_message(facts, true);
        self.send(peer.addr, message, effects);
    }

    /// Returns up to `count` random balancers that are not gone, except this one.
    pub(super) fn pick_balancers(&mut self, count: usize) -> Vec<Fact> {
        let mut facts: Vec<Fact> = self.live_balancers().copied().collect();
        keep_random(&mut facts, count, &mut self.rng);
        facts
    }

    /// Sends a message and charges its size to the budget.
    pub(super) fn send(&mut self, to: SocketAddrV4, message: Message, effects: &mut Vec<Effect>) {
        self.budget.spend(message.size());
        effects.push(Effect::Send { to, message });
    }

    pub(super) fn live_balancers(&self) -> impl Iterator<Item = &Fact> {
        let keys = self.members.balancers().iter();
        let facts = keys.filter_map(|&key| Some(&self.members.get(key)?.fact));
        facts.filter(|f| f.addr != self.own.addr && !f.phase.is_gone())
    }

    fn exchange_message(&self, facts: Vec<Fact>, ask: bool) -> Message {
        Message::Exchange(Exchange {
            from: self.own,
            version: self.version,
            digest: ask.then(|| *self.members.digest()),
            zones: self.zones.iter().copied().collect(),
            facts,
            ask,
        })
    }

    /// Merges an exchange and, if asked, responds if the sender lacks a fact, a zone record or the
    /// current configuration.
    fn respond_to_exchange(&mut self, exchange: &Exchange, now: Millis, effects: &mut Vec<Effect>) {
        let from = exchange.from.addr;
        self.merge_sender(exchange.from, now);
        self.merge_facts(&exchange.facts);
        self.merge_zones(&exchange.zones, now, effects);
        self.fetch_newer_config(from, exchange.version, effects);
        let differing = self.differing_facts(exchange, now);
        let is_behind = exchange.version < self.version;
        if exchange.ask && (!differing.is_empty() || is_behind || self.has_newer_zone(exchange)) {
            let message = self.exchange_message(differing, false);
            self.send(from, message, effects);
        }
    }

    /// Returns facts in the buckets where the sender's digest differs, starting at a random one, as
    /// far as the budget allows.
    fn differing_facts(&mut self, exchange: &Exchange, now: Millis) -> Vec<Fact> {
        let Some(digest) = &exchange.digest else {
            return Vec::new();
        };
        let fits = self.budget.available(now) / 2 / FACT_BUDGET_BYTES;
        let own = *self.members.digest();
        let buckets: Vec<usize> = own.differing(digest).collect();
        if buckets.is_empty() {
            return Vec::new();
        }
        let start = usize::try_from(self.rng.next_u64() % buckets.len() as u64).unwrap_or(0);
        let order = buckets.iter().cycle().skip(start).take(buckets.len());
        let facts = order.flat_map(|&index| self.members.bucket(index));
        facts.copied().take(fits.min(MAX_FACTS)).collect()
    }

    fn has_newer_zone(&self, exchange: &Exchange) -> bool {
        self.zones.iter().any(|own| {
            let theirs = exchange.zones.iter().find(|r| r.zone == own.zone);
            theirs.is_none_or(|r| r.seq < own.seq)
        })
    }

    /// Starts an exchange with the first balancer that answers, without waiting for the next
    /// interval, to get its members.
    fn request_members(&mut self, peer: Fact, now: Millis, effects: &mut Vec<Effect>) {
        if self.live_balancers().next().is_some() {
            return;
        }
        self.gossip.last_exchange = now;
        let message = self.exchange_message(Vec::new(), true);
        self.send(peer.addr, message, effects);
    }

    fn merge_sender(&mut self, fact: Fact, now: Millis) {
        self.merge_fact(fact);
        self.members.mark_heard(fact.addr, now);
    }

    fn merge_facts(&mut self, facts: &[Fact]) {
        for &fact in facts {
            self.merge_fact(fact);
        }
    }

    pub(super) fn merge_zones(
        &mut self,
        records: &[ZoneRecord],
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        for &record in records {
            effects.extend(self.merge_zone(record, now));
        }
    }

    pub(super) fn fetch_newer_config(
        &self,
        from: SocketAddrV4,
        version: crate::Version,
        effects: &mut Vec<Effect>,
    ) {
        if version > self.version {
            effects.push(Effect::Fetch { from, version });
        }
    }

    fn send_hello(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let is_alone = self.live_balancers().next().is_none();
        let interval = if is_alone {
            HELLO_INTERVAL
        } else {
            HELLO_INTERVAL_JOINED
        };
        if self.last_hello.is_some_and(|at| now.since(at) < interval) {
            return;
        }
        self.last_hello = Some(now);
        let hello = Message::Hello(self.own);
        self.send(self.setup.entry, hello, effects);
    }
}
