//! Admission of new flows.

use super::Agent;
use crate::datagram::{Effect, Holding, Mode, Packet, Phase, Reason};
use crate::time::Millis;

/// New flows in one second beyond the rate that a backend server in cold start bears.
const COLD_BURST: u32 = 2;
/// Requests in hand for each slot from which on a flow that no other agent takes is refused.
const MAX_DEPTH: usize = 3;

impl Agent {
    /// Offers an opening packet to the backend server, or gives it back to the balancer.
    pub(super) fn open(&mut self, packet: &Packet, now: Millis, out: &mut Vec<Effect>) {
        let holding = self.flows.get(&packet.flow).map(|s| s.holding);
        let is_copy = matches!(
            holding,
            Some(Holding::Offered | Holding::Half { .. } | Holding::Open)
        );
        if !is_copy && let Some(reason) = self.refusal(packet, now) {
            self.give_back(packet, reason, now, out);
            return;
        }
        if !is_copy {
            self.backend.admit(now);
            let age = self.backend.age(now);
            out.push(self.decision(Reason::Admitted, Some(packet.flow), age));
            self.flows.change(&packet.flow, |s| {
                *s = crate::datagram::FlowState {
                    holding: Holding::Offered,
                    opened: now,
                    ..Default::default()
                };
            });
        }
        self.flows.change(&packet.flow, |s| s.seen = now);
        out.push(Effect::Deliver(packet.tag));
    }

    /// Gives an opening packet back to the balancer that placed it.
    pub(super) fn give_back(
        &mut self,
        packet: &Packet,
        reason: Reason,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let age = self.backend.age(now);
        out.push(self.decision(reason, Some(packet.flow), age));
        let mode = match reason {
            Reason::RefusedBusy | Reason::RefusedCold => Mode::Busy,
            _ => Mode::Refused,
        };
        out.push(Effect::Relay {
            to: packet.tag.origin,
            tag: packet.relay_tag(mode),
        });
    }

    /// Why the backend server is not to be given a new flow.
    fn refusal(&mut self, packet: &Packet, now: Millis) -> Option<Reason> {
        if !self.has_table() {
            return Some(Reason::RefusedUnready);
        }
        let phase = self.backend.phase(self.heartbeat, now);
        if self.is_leaving || !phase.can_accept_flows() {
            return Some(Reason::RefusedPhase);
        }
        let service = self.backend.service();
        if !self.table.allows(&packet.flow, service) {
            return Some(Reason::RefusedRoute);
        }
        if self.gossip.zones().is_out(self.gossip.own().zone) {
            return Some(Reason::RefusedZone);
        }
        let limits = self.table.limits(service);
        let connections = usize::try_from(limits.connections).unwrap_or(usize::MAX);
        if connections > 0 && self.flows.open() >= connections {
            return Some(Reason::RefusedFull);
        }
        if phase == Phase::Cold && limits.cold_rate > 0 {
            let limit = limits.cold_rate / 1_000 + COLD_BURST;
            let limit = usize::try_from(limit).unwrap_or(usize::MAX);
            if !self.backend.has_cold_room(limit, now) {
                return Some(Reason::RefusedCold);
            }
        }
        self.is_busy(packet.tag.hops).then_some(Reason::RefusedBusy)
    }

    /// Whether a flow that `hops` busy agents handed on had better be taken by another agent.
    ///
    /// What balancers know of the load is late, so the agent looks at the requests in hand of now:
    /// the first one hands on if all slots are taken, the next one if as many again wait. Beyond
    /// that, new flows wait for their next copy, so that those that are open are served in time.
    fn is_busy(&self, hops: u8) -> bool {
        let slots = usize::from(self.backend.slots());
        let depth = (1 + usize::from(hops)).min(MAX_DEPTH);
        slots > 0 && self.flows.waiting() >= slots * depth
    }
}
