//! How often agents refuse the flows that they are offered first.
//!
//! A balancer that is refused mostly asks agents to hold opening packets at once, so that a busy service is not asked
//! again and again.

use std::collections::BTreeMap;

use super::Balancer;
use super::flow_cache::Placement;
use crate::datagram::{Packet, RelayTag, ServiceTag, Table};
use crate::time::Millis;

/// Share of refused first offers, in percent, above which agents are asked to hold opening packets at once.
const MAX_REFUSED_PERCENT: u32 = 40;
/// One first offer of this many is always made without that, to see whether agents have room again.
const PROBE_INTERVAL: u32 = 8;
/// Minimum number of first offers of which a share is taken.
const MIN_OFFERS: u32 = 4;
/// Number of first offers after which older ones count half.
const MAX_OFFERS: u32 = 32;
/// Time after which the share is forgotten.
const RETENTION: Millis = Millis(1_000);
/// Refusals after which an opening packet waits for its retransmission: one more than those before it is held, and
/// another one, as an agent whose backend server fails most requests refuses to hold it.
const MAX_HELD_REFUSALS: u8 = RelayTag::HOLD_HOPS + 2;
/// Time from a placement after which a refused packet was held, so that its next retransmission is due.
const MIN_HOLD_TIME: Millis = Millis(100);

/// The recent first offers for each service to which routes of different priority lead.
#[derive(Clone, Debug, Default)]
pub(super) struct BusyShares {
    services: BTreeMap<ServiceTag, Share>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Share {
    /// First offers, and those of them that were refused.
    offers: u32,
    refusals: u32,
    /// Flows that were placed, of which each [`PROBE_INTERVAL`]th one is a probe.
    placements: u32,
    last_offer: Millis,
}

impl BusyShares {
    /// Applies a configuration.
    pub(super) fn configure(&mut self, table: &Table) {
        let targets = table.routes.values().flat_map(|r| &r.targets);
        let services = targets.map(|t| t.service);
        let services = services.filter(|&s| table.has_priorities(s));
        let shares = services.map(|s| (s, self.services.get(&s).copied().unwrap_or_default()));
        self.services = shares.collect();
    }
}

impl Share {
    /// Takes the decision for one more flow: whether agents are asked to hold it at once.
    fn record_placement(&mut self, now: Millis) -> bool {
        if now.since(self.last_offer) > RETENTION {
            *self = Self::default();
        }
        self.placements = self.placements.wrapping_add(1);
        let is_probe = self.placements.is_multiple_of(PROBE_INTERVAL);
        let is_mostly_refused =
            self.offers >= MIN_OFFERS && self.refusals * 100 > self.offers * MAX_REFUSED_PERCENT;
        if is_mostly_refused && !is_probe {
            return true;
        }
        self.last_offer = now;
        self.offers += 1;
        if self.offers >= MAX_OFFERS {
            self.offers /= 2;
            self.refusals /= 2;
        }
        false
    }

    fn record_refusal(&mut self) {
        self.refusals = (self.refusals + 1).min(self.offers);
    }
}

impl Balancer {
    /// Decides whether agents are asked to hold an opening packet at once: if it is a retransmission, whose caller has waited
    /// already, or most first offers are refused. Applies to the first placement of a flow, and the first after it was
    /// deferred.
    pub(super) fn start_placement(
        &mut self,
        packet: &Packet,
        placement: &mut Placement,
        now: Millis,
    ) {
        let is_first = placement.tried.is_empty() && placement.busy_count == 0;
        let Some(share) = self.share_of(packet).filter(|_| is_first) else {
            return;
        };
        if packet.ack > 0 || share.record_placement(now) {
            placement.busy_count = RelayTag::HOLD_HOPS;
        }
    }

    /// Counts a busy refusal; returns whether the packet is to wait for its retransmission.
    pub(super) fn record_busy(
        &mut self,
        packet: &Packet,
        placement: &mut Placement,
        now: Millis,
    ) -> bool {
        let is_first = placement.busy_count == 0;
        placement.busy_count += 1;
        let was_held = now.since(placement.placed_at) >= MIN_HOLD_TIME;
        let Some(share) = self.share_of(packet) else {
            return placement.busy_count >= super::place::MAX_BUSY_AGENTS;
        };
        if is_first {
            share.record_refusal();
        }
        was_held || placement.busy_count >= MAX_HELD_REFUSALS
    }

    /// Whether an opening packet was deferred, and is placed afresh, whenever that was.
    pub(super) fn is_deferred(&mut self, packet: &Packet, placement: &Placement) -> bool {
        placement.tried.is_empty() && self.share_of(packet).is_some()
    }

    /// The share of the service of a flow, if routes of different priority lead to it.
    fn share_of(&mut self, packet: &Packet) -> Option<&mut Share> {
        let route = self.table.route(&packet.flow)?;
        let service = route.pick(packet.flow.hash())?;
        self.busy_shares.services.get_mut(&service)
    }
}
