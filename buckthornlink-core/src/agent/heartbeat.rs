//! Heartbeats to a few balancers, and processing of their acknowledgements.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use super::{Agent, Effect};
use crate::id::{BootId, ZoneTag, stable_hash};
use crate::member::Fact;
use crate::message::{Ack, Heartbeat, Message};
use crate::time::Millis;

/// Number of balancers that this agent sends heartbeats to.
const HEARTBEAT_TARGETS: usize = 3;
/// Number of these targets in other availability zones, if any are known there.
const REMOTE_TARGETS: usize = 1;
/// Maximum number of known balancers.
const MAX_BALANCERS: usize = 32;
/// Heartbeat interval until a balancer's acknowledgement sets another one.
const DEFAULT_HEARTBEAT_INTERVAL: Millis = Millis(1_000);
/// Interval of hello messages while no balancer is known or none answers.
const HELLO_INTERVAL: Millis = Millis(300);
/// Time within which a balancer answers.
const ANSWER_TIME: Millis = Millis(200);
/// A balancer with more unanswered heartbeats than this is dropped.
const MAX_UNANSWERED: u32 = 3;

/// A known balancer and its number of unanswered heartbeats.
#[derive(Clone, Copy, Debug)]
struct KnownBalancer {
    zone: ZoneTag,
    boot: BootId,
    unanswered: u32,
}

/// The known balancers and the schedule of heartbeats to them.
#[derive(Clone, Debug)]
pub(super) struct KnownBalancers {
    by_addr: BTreeMap<SocketAddrV4, KnownBalancer>,
    interval: Millis,
    sent_at: Option<Millis>,
    /// Time of the first heartbeat since the last acknowledgement.
    unanswered_since: Option<Millis>,
    /// Heartbeats that were sent sooner than due since then, as nobody answered.
    retries: u32,
    reported_fact: Option<Fact>,
    rotation: usize,
}

impl Default for KnownBalancers {
    fn default() -> Self {
        Self {
            by_addr: BTreeMap::new(),
            interval: DEFAULT_HEARTBEAT_INTERVAL,
            sent_at: None,
            unanswered_since: None,
            retries: 0,
            reported_fact: None,
            rotation: 0,
        }
    }
}

impl KnownBalancers {
    /// Adds the balancer that `fact` describes, or removes it if it is silent or has left.
    fn update(&mut self, fact: &Fact) {
        if fact.phase.is_gone() {
            self.by_addr.remove(&fact.addr);
            return;
        }
        let is_known = self
            .by_addr
            .get(&fact.addr)
            .is_some_and(|b| b.boot == fact.boot);
        if is_known || self.by_addr.len() >= MAX_BALANCERS {
            return;
        }
        let balancer = KnownBalancer {
            zone: fact.zone,
            boot: fact.boot,
            unanswered: 0,
        };
        self.by_addr.insert(fact.addr, balancer);
    }

    fn reset_unanswered(&mut self, addr: SocketAddrV4) {
        self.unanswered_since = None;
        self.retries = 0;
        if let Some(balancer) = self.by_addr.get_mut(&addr) {
            balancer.unanswered = 0;
        }
    }

    /// Whether nobody has answered within [`ANSWER_TIME`].
    fn is_unanswered(&self, now: Millis) -> bool {
        let since = self.unanswered_since;
        since.is_some_and(|at| now.since(at) >= ANSWER_TIME)
    }

    /// Time from a heartbeat to the next one, of `targets` balancers in turn.
    fn spacing(&self, targets: usize) -> Millis {
        if targets == 0 {
            return HELLO_INTERVAL;
        }
        let regular = Millis(self.interval.0 / targets as u64);
        let retry = match self.retries {
            0 => ANSWER_TIME,
            retries => Millis(HELLO_INTERVAL.0 << (retries - 1).min(8)),
        };
        if self.unanswered_since.is_some() {
            regular.min(retry)
        } else {
            regular
        }
    }

    /// Selects the heartbeat targets by rendezvous hashing, mostly from the agent's own zone and
    /// [`REMOTE_TARGETS`] from others; if one group has too few, the other supplies the rest.
    fn select_targets(&self, own: &Fact) -> Vec<SocketAddrV4> {
        let mut local = self.rank(own, |zone| zone == own.zone);
        let mut remote = self.rank(own, |zone| zone != own.zone);
        let kept = HEARTBEAT_TARGETS - REMOTE_TARGETS.min(remote.len());
        let spare = local.split_off(kept.min(local.len()));
        remote.truncate(HEARTBEAT_TARGETS - local.len());
        local.extend(remote);
        local.extend(spare);
        local.truncate(HEARTBEAT_TARGETS);
        local
    }

    fn rank(&self, own: &Fact, is_wanted: impl Fn(ZoneTag) -> bool) -> Vec<SocketAddrV4> {
        let wanted = self.by_addr.iter().filter(|(_, b)| is_wanted(b.zone));
        let mut addrs: Vec<_> = wanted.map(|(&addr, _)| addr).collect();
        addrs.sort_by_key(|&addr| rendezvous_hash(own.addr, addr));
        addrs
    }

    /// Counts a heartbeat to each of `addrs` as unanswered until an acknowledgement arrives, and
    /// drops balancers with more than [`MAX_UNANSWERED`].
    fn count_unanswered(&mut self, addrs: &[SocketAddrV4]) {
        for addr in addrs {
            if let Some(balancer) = self.by_addr.get_mut(addr) {
                balancer.unanswered += 1;
            }
        }
        self.by_addr.retain(|_, b| b.unanswered <= MAX_UNANSWERED);
    }
}

impl Agent {
    /// Processes a control message; all but acknowledgements are ignored.
    pub(super) fn handle_control(&mut self, message: Message) -> Vec<Effect> {
        let Message::Ack(ack) = message else {
            return Vec::new();
        };
        self.balancers.update(&ack.from);
        self.balancers.reset_unanswered(ack.from.addr);
        for peer in &ack.peers {
            self.balancers.update(peer);
        }
        self.balancers.interval = ack.interval;
        self.flows.set_fair_share(ack.flows);
        self.apply_ack(&ack)
    }

    /// Sends a heartbeat to all targets if the agent's fact has changed, or else to the next one in
    /// rotation if it is due.
    ///
    /// Each target gets one heartbeat per interval. They are spread over the interval, so that
    /// acknowledgements with new state arrive several times per interval. While nobody has answered since
    /// the last heartbeat, the next target gets one after [`ANSWER_TIME`], further ones after
    /// [`HELLO_INTERVAL`] and twice as long each time until the spacing is the regular one, each together
    /// with a hello: the targets may be lost, all of them, or slow, which more messages would make worse.
    pub(super) fn send_due_heartbeats(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        if self.balancers.reported_fact != Some(self.own) {
            self.send_heartbeats(now, effects);
            return;
        }
        let targets = self.balancers.select_targets(&self.own);
        let spacing = self.balancers.spacing(targets.len());
        let sent_at = self.balancers.sent_at;
        if sent_at.is_none_or(|at| now.since(at) >= spacing) {
            let is_unanswered = self.balancers.is_unanswered(now);
            self.balancers.rotation += 1;
            let index = self.balancers.rotation % targets.len().max(1);
            let next = targets.get(index).copied();
            self.send_heartbeats_to(next.into_iter().collect(), now, effects);
            if is_unanswered && next.is_some() {
                self.balancers.retries = self.balancers.retries.saturating_add(1);
                self.send_hello(effects);
            }
        }
    }

    /// Sends a heartbeat to all targets now.
    pub(super) fn send_heartbeats(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let targets = self.balancers.select_targets(&self.own);
        self.send_heartbeats_to(targets, now, effects);
    }

    /// Sends a hello to the entry address, where the network fabric selects a balancer.
    fn send_hello(&self, effects: &mut Vec<Effect>) {
        effects.push(Effect::Send {
            to: self.setup.entry,
            message: Message::Hello(self.own),
        });
    }

    /// Sends a heartbeat to each of `targets`, or a hello if there are none.
    fn send_heartbeats_to(
        &mut self,
        targets: Vec<SocketAddrV4>,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        self.balancers.sent_at = Some(now);
        self.balancers.reported_fact = Some(self.own);
        if targets.is_empty() {
            self.send_hello(effects);
            return;
        }
        self.balancers.unanswered_since.get_or_insert(now);
        self.balancers.count_unanswered(&targets);
        let heartbeat = Heartbeat {
            fact: self.own,
            load: self.load(),
            version: self.version,
        };
        let send = |to| Effect::Send {
            to,
            message: Message::Heartbeat(heartbeat),
        };
        effects.extend(targets.into_iter().map(send));
    }

    /// Applies an acknowledgement: overtakes a silent mark on this agent, or a fact of a process before it whose
    /// clock was ahead, merges zone records, and fetches a newer configuration.
    fn apply_ack(&mut self, ack: &Ack) -> Vec<Effect> {
        let mut effects = Vec::new();
        if let Some(known) = ack.silenced.filter(|k| k.supersedes(&self.own)) {
            self.own.overtake(&known);
        }
        for &record in &ack.zones {
            effects.extend(self.merge_zone(record));
        }
        if ack.version > self.version {
            effects.push(Effect::Fetch {
                from: ack.from.addr,
                version: ack.version,
            });
        }
        effects
    }
}

fn rendezvous_hash(a: SocketAddrV4, b: SocketAddrV4) -> u64 {
    let mut bytes = [0; 12];
    bytes[..4].copy_from_slice(&a.ip().octets());
    bytes[4..6].copy_from_slice(&a.port().to_be_bytes());
    bytes[6..10].copy_from_slice(&b.ip().octets());
    bytes[10..].copy_from_slice(&b.port().to_be_bytes());
    stable_hash(&bytes)
}
