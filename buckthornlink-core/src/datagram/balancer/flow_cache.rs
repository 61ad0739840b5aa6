//! Cache of the agents that own flows.

use std::net::Ipv4Addr;

use crate::datagram::{Flow, FlowMap, OwnerRecord};
use crate::id::BootId;
use crate::time::Millis;

/// Maximum flows that a balancer remembers for the full idle timeout.
const MAX_CACHED_FLOWS: usize = 200_000;
/// Interval between removals of expired flows.
const SWEEP_INTERVAL: Millis = Millis(2_000);

/// Owner of one flow, as far as the balancer knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CachedOwner {
    /// The agent.
    pub agent: Ipv4Addr,
    /// The boot of its backend server that holds the flow.
    pub backend: HolderBoot,
}

/// Boot of the backend server that holds a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HolderBoot {
    /// Taken from the agent's fact when the flow was placed. The backend server may have restarted
    /// since, so that the flow opened at a later boot.
    Assumed(BootId),
    /// The same, for a flow that was offered to several agents: any of them may hold it.
    Guessed(BootId),
    /// Reported by the owner of the flow.
    Reported(BootId),
}

impl HolderBoot {
    /// The boot, however it became known.
    pub(super) const fn boot(self) -> BootId {
        match self {
            Self::Assumed(boot) | Self::Guessed(boot) | Self::Reported(boot) => boot,
        }
    }
}

/// Progress in placing an opening packet.
#[derive(Clone, Debug, Default)]
pub(super) struct Placement {
    /// When the packet was last placed.
    pub placed_at: Millis,
    /// Agents that the packet was placed on or refused by.
    pub tried: Vec<Ipv4Addr>,
    /// Number of busy refusals.
    pub busy_count: u8,
    /// Number of packets with which agents were offered the flow and that they have not refused.
    pub offer_count: u8,
    /// Which copies of the opening packet came here, a bit each, and when the last one did.
    pub copies: u8,
    pub last_copy: Millis,
}

#[derive(Clone, Debug)]
struct Entry {
    owner: CachedOwner,
    last_seen: Millis,
    placement: Placement,
}

/// Cache of flow owners, whose entries expire sooner when it is over its limit.
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

    /// Returns the owner of a flow, and marks its entry as used.
    pub(super) fn touch(&mut self, flow: &Flow, now: Millis) -> Option<CachedOwner> {
        let entry = self.entries.get_mut(flow)?;
        entry.last_seen = now;
        Some(entry.owner)
    }

    /// Returns the placement and owner of a flow, if cached.
    pub(super) fn placement(&self, flow: &Flow) -> Option<(&Placement, CachedOwner)> {
        self.entries.get(flow).map(|e| (&e.placement, e.owner))
    }

    /// Records that the opening packet of a flow was placed.
    pub(super) fn record_placement(
        &mut self,
        flow: &Flow,
        owner: CachedOwner,
        placement: Placement,
    ) {
        let last_seen = placement.placed_at;
        let entry = Entry {
            owner,
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

    /// Stores the owner of a flow from its owner record.
    pub(super) fn apply_owner_record(&mut self, record: &OwnerRecord, now: Millis) {
        let owner = CachedOwner {
            agent: record.owner,
            backend: HolderBoot::Reported(record.backend),
        };
        let entry = self.entries.entry(record.flow).or_insert(Entry {
            owner,
            last_seen: now,
            placement: Placement::default(),
        });
        let known = entry.owner;
        let is_outdated = matches!(known.backend, HolderBoot::Reported(backend)
            if record.is_outdated_by(known.agent, backend));
        if !is_outdated {
            entry.owner = owner;
        }
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
