//! Faults and planned work, drawn from a seed.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time without faults after the start.
const FIRST_FAULT_TIME: Duration = Duration::from_secs(4);
/// Time without faults before the end.
const RECOVERY_TIME: Duration = Duration::from_secs(14);
/// Pauses between the starts of faults, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 200..2_200;
/// Length of a fault, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..3_500;

/// Something that happens to a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A process is killed and started again after the span.
    Kill,
    /// All processes are killed at once and started again.
    KillAll,
    /// A process is asked to end, and started again.
    Restart,
    /// A process is paused.
    Pause,
    /// A process is told that its settings have changed.
    Reload,
    /// Nothing is read from a process's output.
    Stall,
    /// The store refuses calls.
    StoreBusy,
    /// The store answers nothing.
    StoreSilent,
    /// The store does what it is asked, and answers nothing.
    StoreLossy,
    /// All leases of the store end, and its history is forgotten.
    StoreLapse,
    /// A process's link to the store is slow.
    LinkSlow,
    /// A process's link to the store is silent.
    LinkSilent,
    /// A process hears nothing from the store.
    LinkOneWay,
    /// A process's connections to the store are reset.
    LinkReset,
    /// A backend server ends without a word.
    Crash,
    /// A backend server leaves, and another takes its place.
    Replace,
    /// The callers' route moves to the other service.
    Move,
    /// A zone is taken out of service, and back.
    ZoneOut,
}

/// All kinds of faults, with those of planned work twice.
const WEIGHTED_FAULTS: [Fault; 22] = [
    Fault::Kill,
    Fault::Kill,
    Fault::KillAll,
    Fault::Restart,
    Fault::Restart,
    Fault::Restart,
    Fault::Pause,
    Fault::Reload,
    Fault::Stall,
    Fault::StoreBusy,
    Fault::StoreSilent,
    Fault::StoreLossy,
    Fault::StoreLapse,
    Fault::LinkSlow,
    Fault::LinkSilent,
    Fault::LinkOneWay,
    Fault::LinkReset,
    Fault::Crash,
    Fault::Replace,
    Fault::Replace,
    Fault::Move,
    Fault::ZoneOut,
];

/// A fault at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub span: Duration,
    /// What it is.
    pub fault: Fault,
    /// Which instance it strikes; counted round.
    pub target: usize,
}

/// The faults of a run of this length; the same for the same seed.
#[must_use]
pub fn generate(seed: u64, duration: Duration) -> Vec<Entry> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let end = duration.saturating_sub(RECOVERY_TIME);
    let mut at = FIRST_FAULT_TIME;
    let mut entries = Vec::new();
    while at < end {
        entries.push(Entry {
            at,
            span: Duration::from_millis(rng.random_range(FAULT_DURATION_MS)),
            fault: WEIGHTED_FAULTS[rng.random_range(0..WEIGHTED_FAULTS.len())],
            target: rng.random_range(0..usize::from(u8::MAX)),
        });
        at += Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS));
    }
    entries
}
