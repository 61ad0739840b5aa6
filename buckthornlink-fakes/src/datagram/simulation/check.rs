//! Invariants that are checked on every packet delivered to a backend server and on every reset
//! delivered to a caller.

use std::net::Ipv4Addr;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Flow, Packet};

use super::Simulation;
use crate::datagram::backend::Reaction;

/// Time after an unplanned disruption of an instance in which its resets, stray packets and late
/// openings do not count as violations.
const DISRUPTION_GRACE_PERIOD: Millis = Millis(4_000);
/// Length of any period in which stray packets of a flow, those at other backend servers, are counted
/// and none may have reached its own backend server for the flow to count as broken.
const STRAY_WINDOW: Millis = Millis(2_000);
/// Minimum number of stray packets in the window for a flow to count as broken.
const STRAY_THRESHOLD: usize = 3;
/// Maximum time until a draining backend server gets no more new flows.
const MAX_DRAIN_DELAY: Millis = Millis(3_000);
/// Maximum time until a zone that was taken out of service gets no more new flows.
const MAX_ZONE_DELAY: Millis = Millis(5_000);
/// Maximum time until a new configuration is in force.
const MAX_CONFIG_DELAY: Millis = Millis(3_000);

/// An open flow and the backend server that holds it.
#[derive(Clone, Debug)]
pub(super) struct TrackedFlow {
    /// The instance whose backend server holds it.
    pub owner: Ipv4Addr,
    /// Identifies the boot of that backend server.
    pub born: u64,
    /// When a packet last reached that backend server.
    last_delivery: Millis,
    /// Times of stray packets since then.
    strays: Vec<Millis>,
}

impl TrackedFlow {
    /// When packets have reached other backend servers, and not the flow's own, for too long, unless
    /// one reaches its own before.
    fn broken_at(&self) -> Option<Millis> {
        let mut groups = self.strays.windows(STRAY_THRESHOLD);
        let group = groups.find(|g| g[STRAY_THRESHOLD - 1].since(g[0]) <= STRAY_WINDOW)?;
        let end = self.last_delivery + STRAY_WINDOW;
        Some(group[STRAY_THRESHOLD - 1].max(end))
    }
}

impl Simulation {
    /// Checks a packet that was delivered to a backend server.
    pub(super) fn check_delivery(&mut self, ip: Ipv4Addr, packet: &Packet, reaction: Reaction) {
        match reaction {
            Reaction::HalfOpened { is_overload, .. } => self.check_opening(ip, packet, is_overload),
            Reaction::Accepted { .. } => self.check_owner(ip, packet),
            Reaction::Bounced(_) => self.check_stray(ip, packet),
        }
    }

    /// Checks a reset, created by an instance, of a flow that its caller considered open.
    pub(super) fn check_reset(&mut self, sender: Ipv4Addr, flow: &Flow) {
        let Some(tracked) = self.tracked_flows.get(flow).cloned() else {
            return;
        };
        if !self.is_held(flow, &tracked) {
            self.outcome.true_resets += 1;
        } else if self.is_stable(sender) && self.is_stable(tracked.owner) {
            self.outcome.false_resets += 1;
        }
        self.tracked_flows.remove(flow);
    }

    fn check_opening(&mut self, ip: Ipv4Addr, packet: &Packet, is_overload: bool) {
        let now = self.now;
        self.outcome.overloads += u64::from(is_overload);
        if !self.is_stable(ip) {
            return;
        }
        let instance = &self.instances[&ip];
        let Some(backend) = &instance.backend else {
            return;
        };
        let is_past = |at: Millis, period: Millis| now.since(at) > period;
        if backend
            .draining_since
            .is_some_and(|at| is_past(at, MAX_DRAIN_DELAY))
        {
            self.outcome.late_drains += 1;
        }
        let zone = self.zones.get(&instance.zone);
        let is_out = zone.is_some_and(|(record, at)| record.out && is_past(*at, MAX_ZONE_DELAY));
        if is_out {
            self.outcome.late_zones += 1;
        }
        // May be in force: the newest configuration older than `MAX_CONFIG_DELAY`, and newer ones.
        let mut allowed =
            self.table_history
                .iter()
                .rev()
                .scan(false, |is_newer_in_force, (at, table)| {
                    let is_superseded =
                        std::mem::replace(is_newer_in_force, is_past(*at, MAX_CONFIG_DELAY));
                    (!is_superseded).then_some(table)
                });
        if !allowed.any(|table| table.allows(&packet.flow, backend.service)) {
            self.outcome.late_routes += 1;
        }
    }

    fn check_owner(&mut self, ip: Ipv4Addr, packet: &Packet) {
        let flow = packet.flow;
        let holds = |other: &Ipv4Addr| {
            let backend = self.instances[other].backend.as_ref();
            *other != ip && backend.is_some_and(|b| b.holds(&flow))
        };
        if self.instances.keys().any(holds) {
            self.outcome.double_owners += 1;
        }
        let backend = self.instances[&ip].backend.as_ref();
        let born = backend.map_or(0, |b| b.born);
        let tracked = TrackedFlow {
            owner: ip,
            born,
            last_delivery: self.now,
            strays: Vec::new(),
        };
        self.tracked_flows.insert(flow, tracked);
    }

    /// Records a stray packet, unless the flow's backend server is disrupted, or both the balancer that
    /// took the packet and the agent that delivered it are.
    fn check_stray(&mut self, ip: Ipv4Addr, packet: &Packet) {
        let is_taker_stable = self.is_stable(ip) || self.is_stable(packet.tag.origin);
        let owner = self.tracked_flows.get(&packet.flow).map(|t| t.owner);
        if !is_taker_stable || !owner.is_some_and(|owner| self.is_stable(owner)) {
            return;
        }
        let now = self.now;
        if let Some(tracked) = self.tracked_flows.get_mut(&packet.flow) {
            tracked.strays.push(now);
        }
        self.check_strays();
    }

    /// Counts the flows that are broken by now, and no longer counts their stray packets.
    pub(super) fn check_strays(&mut self) {
        let now = self.now;
        let is_broken = |t: &TrackedFlow| t.broken_at().is_some_and(|at| at <= now);
        let broken = self.tracked_flows.iter().filter(|(_, t)| is_broken(t));
        let broken: Vec<Flow> = broken.map(|(flow, _)| *flow).collect();
        for flow in broken {
            let is_held = self
                .tracked_flows
                .get(&flow)
                .is_some_and(|tracked| self.is_held(&flow, tracked));
            self.outcome.stray_flows += u64::from(is_held);
            if let Some(tracked) = self.tracked_flows.get_mut(&flow) {
                tracked.strays.clear();
            }
        }
    }

    /// Whether the flow's backend server still runs and holds the flow.
    fn is_held(&self, flow: &Flow, tracked: &TrackedFlow) -> bool {
        let instance = self.instances.get(&tracked.owner);
        let backend = instance.and_then(|i| i.backend.as_ref());
        backend.is_some_and(|b| b.born == tracked.born && b.holds(flow))
    }

    fn is_stable(&self, ip: Ipv4Addr) -> bool {
        let instance = self.instances.get(&ip);
        instance.is_some_and(|i| i.is_stable(DISRUPTION_GRACE_PERIOD, self.now))
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/check.rs"]
mod tests;
