//! Heartbeats of agents, and detection of silent agents.

use std::net::SocketAddrV4;

use super::{Balancer, Effect};
use crate::member::{Fact, Load, MemberKey, Merge, Phase};
use crate::message::{Ack, Heartbeat, Message};
use crate::time::Millis;

/// Minimum heartbeat interval.
const MIN_HEARTBEAT_INTERVAL: Millis = Millis(1_000);
/// An agent is marked silent after this many heartbeat intervals and half of
/// [`MIN_HEARTBEAT_INTERVAL`] without a datagram from it.
const MISSED_INTERVALS: u64 = 3;
/// Time after the last datagram from an agent during which this balancer counts as its observer.
const OBSERVED_TIMEOUT: Millis = Millis(60_000);
/// Retention of instances that are silent or have left, from the last datagram of each.
const GONE_RETENTION: Millis = Millis(600_000);
/// If more than one in this many observed agents become silent at once, the balancer assumes that
/// the fault is its own and marks none of them.
const MASS_SILENCE_DIVISOR: usize = 3;
/// Minimum number of silent agents for that assumption.
const MASS_SILENCE_MIN_AGENTS: usize = 4;
/// Size of one heartbeat and its ack, in bytes.
const HEARTBEAT_BYTES: u64 = 400;
/// Share of the control budget, in percent, that acks to heartbeats may use.
const HEARTBEAT_BUDGET_PERCENT: u64 = 50;
/// Time without a tick after which this process was paused; ticks are due ten times as often.
const AWAY_TIME: Millis = Millis(1_000);
/// Maximum number of balancers listed in an ack.
const MAX_ACK_PEERS: usize = 4;

impl Balancer {
    /// Handles a load report that arrived with a returned datagram.
    pub(super) fn handle_report(
        &mut self,
        agent: SocketAddrV4,
        phase: Phase,
        load: Load,
        now: Millis,
    ) -> Vec<Effect> {
        let Some(member) = self.members.at(agent) else {
            return Vec::new();
        };
        let mut fact = member.fact;
        self.members.mark_heard(agent, now);
        self.members.record_load(agent, load, now);
        let is_later = phase > fact.phase && !phase.is_gone();
        if is_later {
            fact.phase = phase;
            self.members.merge(fact);
        }
        Vec::new()
    }

    /// Merges an agent's heartbeat and acknowledges it.
    pub(super) fn handle_heartbeat(
        &mut self,
        from: SocketAddrV4,
        heartbeat: Heartbeat,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        self.merge_fact(heartbeat.fact);
        self.members.mark_heard(heartbeat.fact.addr, now);
        self.members
            .record_load(heartbeat.fact.addr, heartbeat.load, now);
        self.send_ack(from, &heartbeat.fact, now, effects);
    }

    /// Acknowledges a heartbeat or hello that carried `fact`.
    pub(super) fn send_ack(
        &mut self,
        to: SocketAddrV4,
        fact: &Fact,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        let known = self.members.at(fact.addr).map(|m| m.fact);
        let is_silenced = |k: &Fact| k.phase == Phase::Silent && k.boot == fact.boot;
        let silenced = known.filter(|k| is_silenced(k) || k.boot > fact.boot);
        let ack = Ack {
            from: self.own,
            version: self.version,
            zones: self.zones.iter().copied().collect(),
            peers: self.pick_balancers(MAX_ACK_PEERS),
            interval: self.heartbeat_interval(self.observed(now).len()),
            flows: self.fair_share(fact.service()),
            silenced,
        };
        self.send(to, Message::Ack(ack), effects);
    }

    /// Leaves a pause of this process out of the silence of others.
    pub(super) fn notice_absence(&mut self, now: Millis) {
        let absence = self.last_tick.map_or(Millis(0), |at| now.since(at));
        self.last_tick = Some(now);
        self.store_access.record_tick_gap(absence, now);
        if absence >= AWAY_TIME {
            self.members.exclude_absence(absence, now);
        }
    }

    /// Marks agents silent that have missed several heartbeats, unless too many did so at once.
    pub(super) fn mark_silent_agents(&mut self, now: Millis) {
        let observed = self.observed(now);
        let interval = self.heartbeat_interval(observed.len());
        let timeout = Millis(interval.0 * MISSED_INTERVALS + MIN_HEARTBEAT_INTERVAL.0 / 2);
        let is_missing = |key: &&MemberKey| !self.is_heard(**key, timeout, now);
        let missing: Vec<_> = observed.iter().filter(is_missing).copied().collect();
        if missing.len() >= MASS_SILENCE_MIN_AGENTS
            && missing.len() * MASS_SILENCE_DIVISOR > observed.len()
        {
            return;
        }
        for key in missing {
            if let Some(member) = self.members.get(key) {
                self.merge_fact(member.fact.silenced());
            }
        }
        self.remove_gone(now);
    }

    /// Merges a fact and queues it for gossip if it is new; returns whether it was.
    pub(super) fn merge_fact(&mut self, fact: Fact) -> bool {
        if fact.addr == self.own.addr {
            return self.refute(fact);
        }
        let is_new = self.members.merge(fact) != Merge::Stale;
        if is_new {
            self.queue_rumor(fact);
        }
        is_new
    }

    /// Refutes a fact about this process that another process wrote, or the process before it whose clock was
    /// ahead, by publishing its own fact with a higher sequence number or boot. Returns whether that was necessary.
    fn refute(&mut self, fact: Fact) -> bool {
        let is_wrong = fact.supersedes(&self.own);
        if is_wrong {
            self.own.overtake(&fact);
            self.members.merge(self.own);
            self.queue_rumor(self.own);
        }
        is_wrong
    }

    /// Returns the heartbeat interval that keeps the acks within their share of the control budget.
    fn heartbeat_interval(&self, observed: usize) -> Millis {
        let share = u64::from(self.setup.control_bytes) * HEARTBEAT_BUDGET_PERCENT / 100;
        let millis = observed as u64 * HEARTBEAT_BYTES * 1_000 / share.max(1);
        MIN_HEARTBEAT_INTERVAL.max(Millis(millis))
    }

    /// Returns the agents that are not gone and from which a datagram arrived within
    /// [`OBSERVED_TIMEOUT`].
    fn observed(&self, now: Millis) -> Vec<MemberKey> {
        let members = self.members.iter().filter(|(_, m)| {
            m.fact.service().is_some()
                && !m.fact.phase.is_gone()
                && m.is_heard_within(OBSERVED_TIMEOUT, now)
        });
        members.map(|(key, _)| key).collect()
    }

    fn is_heard(&self, key: MemberKey, span: Millis, now: Millis) -> bool {
        let member = self.members.get(key);
        member.is_some_and(|m| m.is_heard_within(span, now))
    }

    /// Removes instances that have been gone for longer than [`GONE_RETENTION`].
    fn remove_gone(&mut self, now: Millis) {
        let gone = self.members.iter().filter(|(_, m)| {
            let last_heard = m.last_heard.unwrap_or(Millis(0));
            m.fact.phase.is_gone() && now.since(last_heard) > GONE_RETENTION
        });
        let keys: Vec<_> = gone.map(|(key, _)| key).collect();
        for key in keys {
            self.members.remove(key);
        }
    }
}
