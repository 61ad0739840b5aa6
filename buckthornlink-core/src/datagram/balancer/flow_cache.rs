//! Cache of the agents that own flows.

use std::net::Ipv4Addr;

use crate::datagram::{Flow, FlowMap, OwnerRecord};
use crate::id::BootId;
use crate::time::Millis;

/// Maximum flows that a balancer remembers for the full idle timeout.
const MAX_CACHED_FLOWS: usize = 200_000;
/// Interval between removals of expired flows.
const SWEEP_INTERVAL: Millis = Millis(2_000);

/// Location of one flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FlowLocation {
    /// The flow is at this agent, in this boot of its backend server.
    Agent {
        /// The agent.
        owner: Ipv4Addr,
        /// Boot of its backend server.
        backend: BootId,
    },
}

/// Progress in placing an opening packet.
#[derive(Clone, Debug, Default)]
pub(super) struct Placement {
    /// When the packet was last placed.
    pub placed_at: Millis,
    /// Agents that the packet was already placed on.
    pub tried: Vec<Ipv4Addr>,
    /// Number of busy refusals.
    pub busy_count: u8,
}

#[derive(Clone, Debug)]
struct Entry {
    location: FlowLocation,
    last_seen: Millis,
    placement: Placement,
}

/// Cache of flow locations, whose entries expire sooner when it is over its limit.
#[derive(Clone, Debug, Default)]
pub(super) struct FlowCache {
    entries: FlowMap<Entry>,
    last_sweep: Millis,
}

impl FlowCache {
    /// Number of cached flows.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the location of a flow, and marks its entry as used.
    pub(super) fn touch(&mut self, flow: &Flow, now: Millis) -> Option<FlowLocation> {
        let entry = self.entries.get_mut(flow)?;
        entry.last_seen = now;
        Some(entry.location)
    }

    /// Returns the placement and location of a flow, if cached.
    pub(super) fn placement(&self, flow: &Flow) -> Option<(&Placement, FlowLocation)> {
        self.entries.get(flow).map(|e| (&e.placement, e.location))
    }

    /// Records that the opening packet of a flow was placed.
    pub(super) fn record_placement(
        &mut self,
        flow: &Flow,
        location: FlowLocation,
        placement: Placement,
    ) {
        let last_seen = placement.placed_at;
        let entry = Entry {
            location,
            last_seen,
            placement,
        };
        self.entries.insert(*flow, entry);
    }

    /// Replaces the placement of a flow whose opening packet is to be placed afresh.
    pub(super) fn reset_placement(&mut self, flow: &Flow, placement: Placement) {
        if let Some(entry) = self.entries.get_mut(flow) {
            entry.placement = placement;
        }
    }

    /// Stores the location of a flow from its owner record.
    pub(super) fn apply_owner_record(&mut self, record: &OwnerRecord, now: Millis) {
        let location = FlowLocation::Agent {
            owner: record.owner,
            backend: record.backend,
        };
        let entry = self.entries.entry(record.flow).or_insert(Entry {
            location,
            last_seen: now,
            placement: Placement::default(),
        });
        entry.location = location;
    }

    /// Removes a flow from the cache.
    pub(super) fn remove(&mut self, flow: &Flow) {
        self.entries.remove(flow);
    }

    /// Removes flows without packets for `idle`, or for an eighth of it if there are too many.
    pub(super) fn sweep(&mut self, idle: Millis, now: Millis) {
        if now.since(self.last_sweep) < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        let is_full = self.entries.len() > MAX_CACHED_FLOWS;
        let span = if is_full { Millis(idle.0 / 8) } else { idle };
        self.entries.retain(|_, e| now.since(e.last_seen) <= span);
    }
}
