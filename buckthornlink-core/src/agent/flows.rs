//! Admission, handoff and rebalancing of flows.

use std::collections::BTreeSet;

use super::{Agent, Effect, FlowId};
use crate::balancer::Candidate;
use crate::id::stable_hash;
use crate::time::Millis;

/// Maximum number of times that an opener is handed off.
const MAX_HOPS: u8 = 2;
/// Below its flow limit, an agent hands an opener off only if its flows exceed the next candidate's
/// by more than this number.
const HANDOFF_MARGIN: u32 = 1;
/// Below its flow limit, an agent hands an opener off only if its flows exceed the next candidate's
/// by more than this percentage of its own flows.
const HANDOFF_PERCENT: u32 = 5;
/// Minimum number of flows that a cold backend server may hold, within its connection limit.
const MIN_COLD_FLOWS: u32 = 4;
/// Minimum interval between two rounds of rebalancing.
const REBALANCE_INTERVAL: Millis = Millis(500);
/// Rebalancing moves flows only if this agent exceeds its fair share by more than this percentage
/// of it.
const REBALANCE_PERCENT: u32 = 8;
/// Rebalancing moves flows only if this agent exceeds its fair share by more than this number.
const REBALANCE_MARGIN: u32 = 1;
/// One round moves at most the staying flows divided by this, but at least one flow.
const REBALANCE_DIVISOR: u32 = 8;

/// Open flows, and the fair share of flows that balancers reported last (0 if unknown).
#[derive(Clone, Debug, Default)]
pub(super) struct Flows {
    open: BTreeSet<FlowId>,
    moving: BTreeSet<FlowId>,
    fair_share: u32,
    rebalanced_at: Millis,
}

impl Flows {
    pub(super) fn count(&self) -> u32 {
        u32::try_from(self.open.len()).unwrap_or(u32::MAX)
    }

    /// Marks all flows as moving and returns those that were not marked before.
    pub(super) fn start_moving_all(&mut self) -> Vec<FlowId> {
        let flows: Vec<_> = self.open.difference(&self.moving).copied().collect();
        self.moving.extend(&flows);
        flows
    }

    pub(super) const fn set_fair_share(&mut self, fair_share: u32) {
        self.fair_share = fair_share;
    }

    /// Number of open flows that have not been asked to move.
    fn staying(&self) -> u32 {
        self.count() - u32::try_from(self.moving.len()).unwrap_or(0)
    }

    fn close(&mut self, flow: FlowId) {
        self.open.remove(&flow);
        self.moving.remove(&flow);
    }

    /// Marks up to `count` flows as moving and returns them. They are selected by hash, so that
    /// no caller is preferred.
    fn start_moving(&mut self, count: usize) -> Vec<FlowId> {
        let staying = self.open.difference(&self.moving).copied();
        let mut flows: Vec<_> = staying.collect();
        flows.sort_by_key(|flow| stable_hash(&flow.0.to_be_bytes()));
        flows.truncate(count);
        self.moving.extend(&flows);
        flows
    }
}

impl Agent {
    /// Accepts an opener, or hands it off if this agent cannot take another flow or the next
    /// candidate holds clearly fewer flows. After [`MAX_HOPS`] or without a candidate, it accepts.
    pub(super) fn accept_or_hand_off(&self, hops: u8, rest: Vec<Candidate>) -> Effect {
        if hops >= MAX_HOPS || rest.is_empty() {
            return Effect::Accept;
        }
        let next = rest[0];
        if self.has_flow_capacity() && !self.is_less_loaded(next) {
            return Effect::Accept;
        }
        let rest = rest.into_iter().skip(1).collect();
        Effect::HandOn {
            to: next.addr,
            rest,
        }
    }

    /// Opens or refuses a flow whose caller has a validated address.
    pub(super) fn admit_flow(&mut self, flow: FlowId) -> Effect {
        let is_full = self.flows.count() >= self.limits.connections;
        let is_admitting =
            self.draining_since.is_none() && !self.is_zone_out() && self.is_reachable;
        if is_full || !is_admitting {
            return Effect::RefuseFlow(flow);
        }
        self.flows.open.insert(flow);
        Effect::OpenFlow(flow)
    }

    /// Removes a closed flow.
    pub(super) fn close_flow(&mut self, flow: FlowId) -> Vec<Effect> {
        self.flows.close(flow);
        Vec::new()
    }

    /// Asks some flows to move if this agent holds clearly more than its fair share.
    pub(super) fn rebalance(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let is_due = now.since(self.flows.rebalanced_at) >= REBALANCE_INTERVAL;
        if !is_due || self.flows.fair_share == 0 || self.draining_since.is_some() {
            return;
        }
        self.flows.rebalanced_at = now;
        let staying = self.flows.staying();
        let excess = staying.saturating_sub(self.flows.fair_share);
        let share = self.flows.fair_share.saturating_mul(REBALANCE_PERCENT) / 100;
        let threshold = share.max(REBALANCE_MARGIN);
        if excess <= threshold {
            return;
        }
        let step = (staying / REBALANCE_DIVISOR).max(1);
        let count = usize::try_from((excess / 2).clamp(1, step)).unwrap_or(1);
        effects.push(Effect::MoveFlows(self.flows.start_moving(count)));
    }

    /// Whether this agent admits flows and one more stays within the backend server's flow limit.
    fn has_flow_capacity(&self) -> bool {
        let is_admitting =
            self.draining_since.is_none() && !self.is_zone_out() && self.is_reachable;
        is_admitting && self.flows.count() < self.flow_limit()
    }

    /// Number of flows that the backend server can handle: its connection limit when warm or while
    /// its fair share is unknown, otherwise its fair share scaled by its weight, but at least
    /// [`MIN_COLD_FLOWS`].
    fn flow_limit(&self) -> u32 {
        if !self.limiter.is_cold() || self.flows.fair_share == 0 {
            return self.limits.connections;
        }
        let share = u64::from(self.flows.fair_share) * u64::from(self.limiter.weight())
            / u64::from(u8::MAX);
        let share = u32::try_from(share).unwrap_or(u32::MAX);
        share.max(MIN_COLD_FLOWS).min(self.limits.connections)
    }

    /// Whether the next candidate holds clearly fewer flows than this agent.
    fn is_less_loaded(&self, next: Candidate) -> bool {
        let own = self.flows.staying();
        let margin = (own.saturating_mul(HANDOFF_PERCENT) / 100).max(HANDOFF_MARGIN);
        own > next.flows + margin && next.addr != self.own.addr
    }
}
