//! Balancers that have not been heard for long.
//!
//! An exchange goes to a random balancer, and of many balancers each is heard too seldom for that to tell
//! whether it lives. So those that were not heard for long are asked, and only one that leaves several
//! questions unanswered is marked silent.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use super::{Balancer, Effect};
use crate::time::Millis;

/// Time without a datagram from a balancer after which it is asked.
const ASK_TIMEOUT: Millis = Millis(15_000);
/// Time without a datagram from a balancer after which it may be marked silent.
const PEER_TIMEOUT: Millis = Millis(30_000);
/// Unanswered questions after which it is.
const MAX_UNANSWERED: u32 = 3;
/// Balancers that are asked once more at a time, and those that are asked for the first time.
const REPEATED_ASKS: usize = 2;
const NEW_ASKS: usize = 1;

/// Number of questions to balancers that were not heard since.
#[derive(Clone, Debug, Default)]
pub(super) struct UnansweredAsks {
    by_addr: BTreeMap<SocketAddrV4, u32>,
}

impl UnansweredAsks {
    fn count(&self, addr: SocketAddrV4) -> u32 {
        self.by_addr.get(&addr).copied().unwrap_or(0)
    }

    /// Forgets questions to all balancers but those that are still unheard.
    fn retain(&mut self, unheard: &[(Millis, SocketAddrV4)]) {
        let addrs: BTreeSet<SocketAddrV4> = unheard.iter().map(|&(_, addr)| addr).collect();
        self.by_addr.retain(|addr, _| addrs.contains(addr));
    }

    /// Selects the balancers to ask now, those that were asked before first, and counts the questions.
    fn select(&mut self, unheard: &[(Millis, SocketAddrV4)]) -> Vec<SocketAddrV4> {
        let addrs = || unheard.iter().map(|&(_, addr)| addr);
        let repeated = addrs().filter(|&a| (1..MAX_UNANSWERED).contains(&self.count(a)));
        let new = addrs().filter(|&a| self.count(a) == 0);
        let selected: Vec<SocketAddrV4> = repeated
            .take(REPEATED_ASKS)
            .chain(new.take(NEW_ASKS))
            .collect();
        for &addr in &selected {
            *self.by_addr.entry(addr).or_default() += 1;
        }
        selected
    }
}

impl Balancer {
    /// Marks balancers silent that have left their questions unanswered, unless more than half of all
    /// have, and asks others that were not heard for long.
    pub(super) fn check_unheard_peers(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let unheard = self.unheard_peers(now);
        self.unanswered_asks.retain(&unheard);
        let unanswered = self.unanswered_asks.by_addr.len();
        if unanswered * 2 <= self.members.balancers().len() {
            for &(heard_at, addr) in &unheard {
                let asks = self.unanswered_asks.count(addr);
                if asks >= MAX_UNANSWERED && now.since(heard_at) > PEER_TIMEOUT {
                    self.mark_silent(addr);
                }
            }
        }
        for addr in self.unanswered_asks.select(&unheard) {
            let message = self.store_view(true, now);
            self.send(addr, message, effects);
        }
    }

    /// Balancers that have been heard, but not for [`ASK_TIMEOUT`]; the longest unheard first.
    fn unheard_peers(&self, now: Millis) -> Vec<(Millis, SocketAddrV4)> {
        let heard = self.live_balancers().filter_map(|fact| {
            let member = self.members.at(fact.addr)?;
            Some((member.last_heard?, fact.addr))
        });
        let mut unheard: Vec<(Millis, SocketAddrV4)> = heard
            .filter(|&(at, _)| now.since(at) > ASK_TIMEOUT)
            .collect();
        unheard.sort_unstable();
        unheard
    }

    fn mark_silent(&mut self, addr: SocketAddrV4) {
        if let Some(member) = self.members.at(addr) {
            self.merge_fact(member.fact.silenced());
        }
    }
}
