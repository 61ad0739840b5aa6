//! Facts and heartbeats of other instances, and of earlier processes of this one.

use std::net::Ipv4Addr;

use super::Gossip;
use crate::datagram::{Decision, Effect, Fact, MemberHeartbeat, Merge, Reason};
use crate::id::BootId;
use crate::time::Millis;

/// Times that a changed fact is sent before it leaves the queue.
const FACT_SENDS: u8 = 8;

/// One changed fact and how often it is still to be sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedFact {
    pub(super) ip: Ipv4Addr,
    pub(super) sends_left: u8,
}

impl Gossip {
    pub(super) fn merge_fact(&mut self, fact: Fact, now: Millis, effects: &mut Vec<Effect>) {
        if fact.ip == self.own.ip {
            self.refute(&fact);
            return;
        }
        let is_change = match self.membership.merge(fact, now) {
            Merge::Stale => return,
            Merge::New => {
                self.last_new_member = now;
                true
            }
            Merge::Replaced(old) => old.urgent_fields() != fact.urgent_fields(),
        };
        if is_change {
            self.member_changes += 1;
            self.queue_fact(fact.ip);
            let decision = self.member_decision(Reason::MemberChanged, &fact, now);
            effects.push(decision);
        }
    }

    /// Raises the own boot id above a greater one that others know, as after the wall clock was set
    /// back. Takes note of what an earlier process at this address knew of its backend server.
    fn refute(&mut self, fact: &Fact) {
        if fact.boot != self.own.boot && fact.boot != self.first_boot {
            self.earlier_backend = self.earlier_backend.max(fact.backend);
        }
        if fact.boot > self.own.boot {
            self.own.boot = BootId(fact.boot.0 + 1);
        }
    }

    /// Tells an instance of another boot of it that is known here: a later one, as its facts are ignored until it
    /// raises its own, and an earlier one that knew its backend server.
    pub(super) fn tell_other_boot(&self, fact: &Fact, now: Millis, effects: &mut Vec<Effect>) {
        if let Some(other) = self.membership.other_boot(fact) {
            let message = self.status(vec![other], Vec::new(), false, now);
            effects.push(Effect::Send {
                to: fact.ip,
                message,
            });
        }
    }

    fn queue_fact(&mut self, ip: Ipv4Addr) {
        self.fact_queue.retain(|q| q.ip != ip);
        self.fact_queue.push_front(QueuedFact {
            ip,
            sends_left: FACT_SENDS,
        });
    }

    /// Merges a heartbeat; adds its instance as a contact if that or its boot is unknown.
    pub(super) fn merge_heartbeat(&mut self, heartbeat: &MemberHeartbeat, now: Millis) {
        let ip = Ipv4Addr::from_bits(heartbeat.ip);
        if ip != self.own.ip && !self.membership.record_heartbeat(heartbeat, now) {
            self.insert_contacts([ip]);
        }
    }

    pub(super) fn member_decision(&self, reason: Reason, fact: &Fact, now: Millis) -> Effect {
        let last_heard = self.membership.get(fact.ip).map_or(now, |m| m.last_heard);
        self.aged_member_decision(reason, fact, now.since(last_heard))
    }

    pub(super) fn aged_member_decision(&self, reason: Reason, fact: &Fact, age: Millis) -> Effect {
        Effect::Log(Decision {
            reason,
            flow: None,
            peer: Some(fact.ip),
            version: self.version,
            age,
            phase: Some(fact.phase),
            evidence: None,
            trial: None,
        })
    }
}
