//! Placement of openers.
//!
//! The balancer's choice is approximate: it names up to [`MAX_CANDIDATES`] agents and its estimate
//! of the flows that each of them has. The agent makes the final decision.

use std::net::SocketAddrV4;

use rand_core::RngCore;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{Balancer, Effect};
use crate::id::{FlowKey, ServicePort, stable_hash};
use crate::member::{Fact, Member, MemberKey};
use crate::time::Millis;

/// Maximum number of candidates that an opener carries.
pub const MAX_CANDIDATES: usize = 3;
/// Agents considered for one opener; limits the cost of a decision in large services.
const SAMPLE_SIZE: usize = 16;
/// Peers that are asked for agents of a service for which none is known.
const CONTACT_PEERS: usize = 3;
/// Minimum interval between two such requests for one service.
const CONTACTS_INTERVAL: Millis = Millis(500);
/// Maximum number of agents in the response to such a request.
const MAX_CONTACTS: usize = 32;
/// Age above which a load report is ignored.
const MAX_REPORT_AGE: Millis = Millis(10_000);
/// Number of unanswered openers from which an agent is skipped until a datagram from it arrives, if
/// [`UNANSWERED_TIMEOUT`] has passed since the first of them.
const UNANSWERED_LIMIT: u32 = 3;
/// Minimum time since the first unanswered opener before an agent is skipped.
const UNANSWERED_TIMEOUT: Millis = Millis(300);
/// Pressure, in 1/255, from which the cost of a backend server is doubled.
const PRESSURE_THRESHOLD: u8 = 240;
/// Value of [`Rank::cost`] for one flow on a backend server at full limits.
const COST_UNIT: u64 = 255;

/// Placement policy for openers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Least expected load, counting openers sent since the last report; the agent may hand off.
    #[default]
    Adaptive,
    /// Baseline: each eligible agent in turn.
    RoundRobin,
    /// Baseline: a random eligible agent.
    Random,
    /// Baseline: the fewest flows in the last report, without openers sent since.
    LeastReported,
    /// Baseline: highest random weight of the flow key, without handoff.
    Rendezvous,
}

/// An agent that an opener may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Link address of the agent.
    pub addr: SocketAddrV4,
    /// Balancer's estimate of the agent's open flows.
    pub flows: u32,
}

/// Sort key of a candidate; the smallest is tried first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    cost: u64,
    is_remote: bool,
    hash: u64,
}

impl Balancer {
    /// Chooses the candidates for an opener.
    pub(super) fn place_opener(
        &mut self,
        service: ServicePort,
        flow: FlowKey,
        now: Millis,
    ) -> Vec<Effect> {
        let sample = self.sample(service, now);
        let ranked = match self.setup.policy {
            Policy::Adaptive => self.rank(&sample, |m| self.expected_rank(m, flow, now)),
            Policy::LeastReported => self.rank(&sample, |m| reported_rank(m, flow)),
            Policy::Rendezvous => self.rank(&sample, |m| hash_rank(m, flow)),
            Policy::RoundRobin => self.pick_next(&sample),
            Policy::Random => self.pick_random(&sample),
        };
        let Some(&first) = ranked.first() else {
            return self.request_contacts(service, now);
        };
        self.members.record_opener(first, now);
        let allows_handoff = self.setup.policy == Policy::Adaptive;
        let count = if allows_handoff { MAX_CANDIDATES } else { 1 };
        let candidates = ranked.iter().take(count);
        let candidates = candidates.filter_map(|&key| self.candidate(key));
        vec![Effect::Forward(candidates.collect())]
    }

    /// Asks peers for agents of a service, at most once per [`CONTACTS_INTERVAL`]; the opener
    /// cannot be placed.
    fn request_contacts(&mut self, service: ServicePort, now: Millis) -> Vec<Effect> {
        let is_due = self
            .contacts_requested
            .get(&service)
            .is_none_or(|at| now.since(*at) >= CONTACTS_INTERVAL);
        let peers = self.pick_balancers(CONTACT_PEERS);
        if !is_due || peers.is_empty() {
            return vec![Effect::Drop];
        }
        self.contacts_requested.insert(service, now);
        let from = peers.iter().map(|p| p.addr).collect();
        vec![Effect::FetchContacts { service, from }]
    }

    /// Merges fetched agents. Peers already know them, so they are not gossiped.
    pub(super) fn merge_contacts(&mut self, service: ServicePort, facts: &[Fact]) -> Vec<Effect> {
        if !facts.is_empty() {
            self.contacts_requested.remove(&service);
        }
        for fact in facts {
            self.members.merge(*fact);
        }
        Vec::new()
    }

    /// Returns some agents of a service that accept flows, for a peer that knows none.
    #[must_use]
    pub fn contacts(&self, service: ServicePort) -> Vec<Fact> {
        let keys = self.members.agents(service).iter();
        let facts = keys.filter_map(|&key| Some(self.members.get(key)?.fact));
        facts
            .filter(|f| f.phase.can_accept_flows())
            .take(MAX_CONTACTS)
            .collect()
    }

    /// Returns the eligible agents of a service, or a random sample of them in a large service.
    fn sample(&mut self, service: ServicePort, now: Millis) -> Vec<MemberKey> {
        let count = self.members.agents(service).len();
        if count <= SAMPLE_SIZE {
            let keys = self.members.agents(service).iter().copied();
            return keys.filter(|&key| self.is_eligible(key, now)).collect();
        }
        let mut sample = Vec::with_capacity(SAMPLE_SIZE);
        for _ in 0..SAMPLE_SIZE * 2 {
            let index = self.rng.next_u64() % count as u64;
            let index = usize::try_from(index).unwrap_or(0);
            let key = self.members.agents(service)[index];
            if self.is_eligible(key, now) && !sample.contains(&key) {
                sample.push(key);
            }
            if sample.len() == SAMPLE_SIZE {
                break;
            }
        }
        sample
    }

    fn is_eligible(&self, key: MemberKey, now: Millis) -> bool {
        let Some(member) = self.members.get(key) else {
            return false;
        };
        let is_unresponsive = member.unanswered >= UNANSWERED_LIMIT
            && now.since(member.unanswered_since) >= UNANSWERED_TIMEOUT;
        member.can_accept_flows() && !is_unresponsive && !self.zones.is_out(member.fact.zone)
    }

    fn rank(&self, sample: &[MemberKey], rank: impl Fn(&Member) -> Rank) -> Vec<MemberKey> {
        let members = sample
            .iter()
            .filter_map(|&k| Some((k, self.members.get(k)?)));
        let mut ranked: Vec<_> = members.map(|(key, m)| (rank(m), key)).collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, key)| key).collect()
    }

    fn pick_next(&mut self, sample: &[MemberKey]) -> Vec<MemberKey> {
        if sample.is_empty() {
            return Vec::new();
        }
        let index = self.next_turn % sample.len() as u64;
        self.next_turn += 1;
        vec![sample[usize::try_from(index).unwrap_or(0)]]
    }

    fn pick_random(&mut self, sample: &[MemberKey]) -> Vec<MemberKey> {
        if sample.is_empty() {
            return Vec::new();
        }
        let index = self.rng.next_u64() % sample.len() as u64;
        vec![sample[usize::try_from(index).unwrap_or(0)]]
    }

    fn candidate(&self, key: MemberKey) -> Option<Candidate> {
        let member = self.members.get(key)?;
        Some(Candidate {
            addr: member.fact.addr,
            flows: expected_flows(member),
        })
    }

    fn expected_rank(&self, member: &Member, flow: FlowKey, now: Millis) -> Rank {
        let fresh = member
            .load
            .filter(|(_, at)| now.since(*at) <= MAX_REPORT_AGE);
        let weight = fresh.map_or(u8::MAX, |(load, _)| load.weight.max(1));
        let flows = match fresh {
            Some(_) => expected_flows(member),
            None => self.fair_share(member.fact.service()) + member.openers_sent,
        };
        let is_pressed = fresh.is_some_and(|(load, _)| load.pressure >= PRESSURE_THRESHOLD);
        let factor = if is_pressed { 2 } else { 1 };
        Rank {
            cost: u64::from(flows + 1) * COST_UNIT * factor / u64::from(weight),
            is_remote: member.fact.zone != self.setup.zone,
            hash: rendezvous_hash(member, flow),
        }
    }

    /// Returns the number of flows that an agent at full limits has if the flows in the latest
    /// reports are distributed over the agents of the service in proportion to their weights.
    pub(super) fn fair_share(&self, service: Option<ServicePort>) -> u32 {
        let keys = service.map_or(&[][..], |s| self.members.agents(s));
        let members = keys.iter().filter_map(|&key| self.members.get(key));
        let accepting = members.filter(|m| m.can_accept_flows() && !self.zones.is_out(m.fact.zone));
        let (mut flows, mut weight) = (0, 0);
        for (load, _) in accepting.filter_map(|m| m.load) {
            flows += u64::from(load.flows);
            weight += u64::from(load.weight);
        }
        let share = (flows * u64::from(u8::MAX)).checked_div(weight);
        u32::try_from(share.unwrap_or(0)).unwrap_or(u32::MAX)
    }
}

/// Returns the flows in the last report plus the openers sent since.
fn expected_flows(member: &Member) -> u32 {
    member.load.map_or(0, |(load, _)| load.flows) + member.openers_sent
}

fn reported_rank(member: &Member, flow: FlowKey) -> Rank {
    Rank {
        cost: member.load.map_or(0, |(load, _)| u64::from(load.flows)),
        is_remote: false,
        hash: rendezvous_hash(member, flow),
    }
}

fn hash_rank(member: &Member, flow: FlowKey) -> Rank {
    Rank {
        cost: 0,
        is_remote: false,
        hash: rendezvous_hash(member, flow),
    }
}

/// Weight for rendezvous hashing, inverted so that the smallest value ranks first.
fn rendezvous_hash(member: &Member, flow: FlowKey) -> u64 {
    let addr = member.fact.addr;
    let mut bytes = [0; 14];
    bytes[..8].copy_from_slice(&flow.0.to_be_bytes());
    bytes[8..12].copy_from_slice(&addr.ip().octets());
    bytes[12..].copy_from_slice(&addr.port().to_be_bytes());
    !stable_hash(&bytes)
}
