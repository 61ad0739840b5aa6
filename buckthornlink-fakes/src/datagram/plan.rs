//! Faults and planned changes, drawn from a seed.

use buckthornlink_core::Millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A fault or planned change in a running simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A balancer's process is killed and starts again.
    KillBalancer,
    /// An agent's process is killed and starts again while its backend server keeps running.
    KillAgent,
    /// All processes are killed at once and start again; backend servers keep running.
    KillAll,
    /// All instances lose power; their processes and backend servers start again.
    PowerLoss,
    /// A balancer is asked to terminate and then starts again.
    RestartBalancer,
    /// A balancer is added.
    AddBalancer,
    /// A backend server is replaced: a new instance joins, the old one drains and leaves.
    ReplaceBackend,
    /// A backend server ends without draining, and a new one starts on its instance.
    CrashBackend,
    /// A zone is taken out of service and returned to service later.
    ZoneOut,
    /// A route moves to another service.
    MoveRoute,
    /// The store is unreachable from some of the instances for a while.
    StoreOutage,
    /// The rate of lost datagrams is raised for a while.
    PacketLoss,
}

impl Fault {
    /// Planned changes and store outages; none of them may break an open flow.
    pub const PLANNED: [Self; 5] = [
        Self::RestartBalancer,
        Self::AddBalancer,
        Self::ReplaceBackend,
        Self::MoveRoute,
        Self::StoreOutage,
    ];

    /// All faults.
    pub const ALL: [Self; 12] = [
        Self::KillBalancer,
        Self::KillAgent,
        Self::KillAll,
        Self::PowerLoss,
        Self::RestartBalancer,
        Self::AddBalancer,
        Self::ReplaceBackend,
        Self::CrashBackend,
        Self::ZoneOut,
        Self::MoveRoute,
        Self::StoreOutage,
        Self::PacketLoss,
    ];
}

/// Faults, ordered by the time at which they occur.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    steps: Vec<(Millis, Fault)>,
}

impl Plan {
    /// A plan with a single fault.
    #[must_use]
    pub fn once(at: Millis, fault: Fault) -> Self {
        Self {
            steps: vec![(at, fault)],
        }
    }

    /// A plan of `count` random `faults` at random times between `from` and `to`; they may overlap.
    #[must_use]
    pub fn random(faults: &[Fault], count: usize, from: Millis, to: Millis, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut steps: Vec<(Millis, Fault)> = (0..count)
            .map(|_| {
                let at = Millis(rng.random_range(from.0..to.0));
                (at, faults[rng.random_range(0..faults.len())])
            })
            .collect();
        steps.sort_unstable_by_key(|step| step.0);
        Self { steps }
    }

    /// The faults, earliest first.
    #[must_use]
    pub fn steps(&self) -> &[(Millis, Fault)] {
        &self.steps
    }
}
