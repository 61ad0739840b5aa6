//! Instances that were forgotten, whose facts may still circulate.
//!
//! Each process forgets an instance at a time of its own. Without this memory, one that has forgotten it would
//! take the fact that another one still relays for a sign of life, and pass it on in turn.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use super::FORGET_TIMEOUT;
use crate::datagram::Fact;
use crate::time::Millis;

/// Last facts of forgotten instances, with the time at which they were last met.
#[derive(Clone, Debug, Default)]
pub(super) struct Forgotten {
    facts: BTreeMap<Ipv4Addr, (Fact, Millis)>,
}

impl Forgotten {
    /// Adds an instance, with its fact and the sequence number of its last heartbeat.
    pub(super) fn insert(&mut self, fact: Fact, heartbeat_seq: u32, now: Millis) {
        let seq = fact.seq.max(heartbeat_seq);
        self.facts.insert(fact.ip, (Fact { seq, ..fact }, now));
    }

    /// The last fact of the instance at `ip`, if that was forgotten.
    pub(super) fn get(&self, ip: Ipv4Addr) -> Option<&Fact> {
        self.facts.get(&ip).map(|(fact, _)| fact)
    }

    /// Whether a fact is older than the instance's last sign of life; if not, the instance is no longer
    /// forgotten. As long as facts of its last boot arrive, it is remembered.
    pub(super) fn is_outdated(&mut self, fact: &Fact, now: Millis) -> bool {
        let Some((last, met_at)) = self.facts.get_mut(&fact.ip) else {
            return false;
        };
        let is_outdated = !fact.supersedes(last);
        if is_outdated && fact.boot == last.boot {
            *met_at = now;
        } else if !is_outdated {
            self.facts.remove(&fact.ip);
        }
        is_outdated
    }

    /// Removes instances whose facts were not met for as long as others may take to forget them.
    pub(super) fn expire(&mut self, now: Millis) {
        self.facts
            .retain(|_, (_, met_at)| now.since(*met_at) <= FORGET_TIMEOUT);
    }
}
