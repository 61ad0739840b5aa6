//! What a fleet is made of.

use std::path::PathBuf;
use std::time::Duration;

use buckthornlink_core::balancer::Policy;

use crate::preset::Preset;

/// What a fleet is told at its start.
#[derive(Clone, Debug)]
pub struct FleetSetup {
    /// Services and zones.
    pub preset: Preset,
    /// Seed of all random choices.
    pub seed: u64,
    /// How balancers place openers.
    pub policy: Policy,
    /// Delay between callers and balancers, one way.
    pub delay: Duration,
    /// Folder that all reducers' events are recorded to.
    pub trace_dir: Option<PathBuf>,
}

impl FleetSetup {
    /// A fleet with the usual policy, without delay or traces.
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
