//! Faults and changes, drawn from a seed.

use buckthornlink_core::Millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Something that happens to a running world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A balancer's process is killed and starts again.
    KillBalancer,
    /// An agent's process is killed and starts again beside its living backend server.
    KillAgent,
    /// All processes are killed at once and start again; backend servers live on.
    KillAll,
    /// All instances lose power; backend servers start anew with them.
    PowerLoss,
    /// A balancer is stopped and started again, with notice.
    RestartBalancer,
    /// A balancer is added.
    AddBalancer,
    /// A backend server is replaced: a new instance joins, the old one drains and leaves.
    ReplaceBackend,
    /// A backend server ends without a word and starts anew on its instance.
    CrashBackend,
    /// A zone is taken out of service, and brought back later.
    ZoneOut,
    /// A route moves to another service.
    MoveRoute,
    /// The store answers only some of the instances for a while.
    StoreOutage,
    /// A part of the datagrams is lost for a while.
    PacketLoss,
}

impl Fault {
    /// Faults that are planned work: no open flow may break.
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

/// Faults by the time at which they happen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    steps: Vec<(Millis, Fault)>,
}

impl Plan {
    /// One fault at one time.
    #[must_use]
    pub fn once(at: Millis, fault: Fault) -> Self {
        Self {
            steps: vec![(at, fault)],
        }
    }

    /// `count` of the `faults` at random times between `from` and `to`; some meet.
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
