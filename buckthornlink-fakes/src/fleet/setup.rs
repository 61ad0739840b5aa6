//! Parameters of a fleet.

use std::path::PathBuf;
use std::time::Duration;

use buckthornlink_core::balancer::Policy;

use crate::preset::Preset;

/// Parameters with which a fleet starts.
#[derive(Clone, Debug)]
pub struct FleetSetup {
    /// Services and zones.
    pub preset: Preset,
    /// Seed of all random choices.
    pub seed: u64,
    /// Policy by which balancers place openers, the first datagrams of flows.
    pub policy: Policy,
    /// One-way delay between callers and balancers.
    pub delay: Duration,
    /// Directory to which balancers and agents record the events of their reducers.
    pub trace_dir: Option<PathBuf>,
}

impl FleetSetup {
    /// Creates a setup with the default policy, without delay or traces.
    #[must_use]
    pub fn new(preset: Preset, seed: u64) -> Self {
        Self {
            preset,
            seed,
            policy: Policy::default(),
            delay: Duration::ZERO,
            trace_dir: None,
        }
    }
}
