//! Heartbeats of agents, and the judgement that one of them is silent.

use std::net::SocketAddrV4;

use super::{Balancer, Effect};
use crate::member::{Fact, Load, MemberKey, Merge, Phase};
use crate::message::{Ack, Heartbeat, Message};
use crate::time::Millis;

/// Shortest heartbeat interval.
const MIN_HEARTBEAT_INTERVAL: Millis = Millis(1_000);
/// Intervals without a heartbeat after which an agent is marked silent.
const MISSED_INTERVALS: u64 = 3;
/// An agent counts as observed by this balancer if it was heard within this span.
const OBSERVED_TIMEOUT: Millis = Millis(60_000);
/// Facts of gone instances are forgotten after this span.
const GONE_RETENTION: Millis = Millis(600_000);
/// If more than one in this many observed agents fell silent at once, the fault is taken to be
/// this balancer's own.
const MASS_SILENCE_DIVISOR: usize = 3;
/// Mass disappearance needs at least this many agents.
const MASS_SILENCE_MIN_AGENTS: usize = 4;
/// Bytes of one heartbeat and its answer.
const HEARTBEAT_BYTES: u64 = 400;
/// Share of the control budget, in percent, that answers to heartbeats may take.
const HEARTBEAT_BUDGET_PERCENT: u64 = 50;
/// Balancers named in an answer.
const MAX_ACK_PEERS: usize = 4;

impl Balancer {
    /// Takes a load report that came with a returning datagram.
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

    /// Answers an agent's heartbeat.
    pub(super) fn handle_heartbeat(
        &mut self,
        from: SocketAddrV4,
        beat: Heartbeat,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        self.learn(beat.fact);
        self.members.mark_heard(beat.fact.addr, now);
        self.members.record_load(beat.fact.addr, beat.load, now);
        self.ack(from, &beat.fact, now, effects);
    }

    /// Answers a heartbeat or a hello of `fact`.
    pub(super) fn ack(
        &mut self,
        to: SocketAddrV4,
        fact: &Fact,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        let known = self.members.at(fact.addr).map(|m| m.fact);
        let silenced = known.filter(|k| k.phase == Phase::Silent && k.boot == fact.boot);
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

    /// Marks agents silent that have missed several heartbeats, unless too many did at once.
    pub(super) fn mark_silent_agents(&mut self, now: Millis) {
        let observed = self.observed(now);
        let interval = self.heartbeat_interval(observed.len());
        let limit = Millis(interval.0 * MISSED_INTERVALS + MIN_HEARTBEAT_INTERVAL.0 / 2);
        let is_missing = |key: &&MemberKey| !self.is_heard(**key, limit, now);
        let missing: Vec<_> = observed.iter().filter(is_missing).copied().collect();
        if missing.len() >= MASS_SILENCE_MIN_AGENTS
            && missing.len() * MASS_SILENCE_DIVISOR > observed.len()
        {
            return;
        }
        for key in missing {
            if let Some(member) = self.members.get(key) {
                self.learn(member.fact.silenced());
            }
        }
        self.remove_gone(now);
    }

    /// Merges a fact and queues it for spreading if it is new.
    pub(super) fn learn(&mut self, fact: Fact) -> bool {
        if fact.addr == self.own.addr {
            return self.refute(fact);
        }
        let is_new = self.members.merge(fact) != Merge::Stale;
        if is_new {
            self.note_change(fact);
        }
        is_new
    }

    /// Outbids a fact about this process that another process wrote.
    fn refute(&mut self, fact: Fact) -> bool {
        let is_wrong = fact.boot == self.own.boot && fact.supersedes(&self.own);
        if is_wrong {
            self.own.seq = fact.seq + 1;
            self.members.merge(self.own);
            self.note_change(self.own);
        }
        is_wrong
    }

    /// Heartbeat interval that keeps the answers within their share of the control budget.
    fn heartbeat_interval(&self, observed: usize) -> Millis {
        let share = u64::from(self.setup.control_bytes) * HEARTBEAT_BUDGET_PERCENT / 100;
        let millis = observed as u64 * HEARTBEAT_BYTES * 1_000 / share.max(1);
        MIN_HEARTBEAT_INTERVAL.max(Millis(millis))
    }

    /// Agents that report to this balancer and are not marked as gone.
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

    /// Drops instances that have been gone for long.
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
