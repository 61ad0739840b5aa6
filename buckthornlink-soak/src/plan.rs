//! Faults and planned changes, drawn from a seed.

mod losses;
mod outages;

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use crate::shape::Shape;

/// Time of the first fault, after the start of the run.
const FIRST_FAULT_TIME: Duration = Duration::from_secs(4);
/// Time before the end of the run in which no fault starts, so that callers can recover.
const RECOVERY_TIME: Duration = Duration::from_secs(14);
/// Time between the starts of two faults, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 200..2_200;
/// Duration of a fault, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..3_500;

/// Time between the starts of two of [`MOMENTARY_FAULTS`], in milliseconds.
const MOMENTARY_INTERVAL_MS: std::ops::Range<u64> = 2_000..6_000;
/// Duration of each pause of a series, and of the time between two, in milliseconds.
const SHORT_PAUSE_MS: std::ops::Range<u64> = 50..250;
/// Distinguishes the random numbers of [`MOMENTARY_FAULTS`] from those of the other faults.
const MOMENTARY_SALT: u64 = 1 << 42;

/// Time between the starts of two store drills, in milliseconds: long enough for changes to be
/// overdue in between.
const DRILL_INTERVAL_MS: std::ops::Range<u64> = 9_000..12_000;

/// Time after the start of an undisturbed store drill in which no other fault starts.
const UNDISTURBED_TIME: Duration = Duration::from_secs(8);

/// Which faults a run has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scenario {
    /// All kinds of faults in [`WEIGHTED_FAULTS`].
    #[default]
    Mixed,
    /// Store drills with time in between, and those other faults that do not affect the store.
    StoreDrills,
    /// Releases, rolls, reloads and route moves in series that overlap, and no other faults.
    PlannedWork,
    /// Rolls of several agents and balancers at once, each of which is down for a while, and no other faults.
    Rolls,
    /// Outages of one or several instances at once, during which some backend servers end, and no other faults.
    Outages,
    /// The same with links of instances that are cut in one direction.
    Cuts,
    /// Outages beside changes of the configuration and of zones, which begin at the same time.
    OutagesInChanges,
    /// Planned work, beside heartbeats that agents get from other writers and backend servers that take seconds to exit.
    ForeignHeartbeats,
    /// A loss of all programs, with or without all backend servers, during a release or a scale-in.
    Losses,
}

impl Scenario {
    /// Whether nothing but planned work happens, so that no instance is exempt from the invariants.
    #[must_use]
    pub const fn is_planned(self) -> bool {
        matches!(
            self,
            Self::PlannedWork | Self::Rolls | Self::ForeignHeartbeats
        )
    }
}

/// A fault or planned change in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A process is killed, and started again after the duration of the fault.
    Kill,
    /// All processes are killed at once, and started again after the duration of the fault.
    KillAll,
    /// All processes and backend servers end at once, and return after the duration of the fault, but for backend servers
    /// that were leaving.
    LoseAll,
    /// A process is asked to terminate (SIGTERM), and started again.
    Restart,
    /// A process is asked to terminate, and started again after the duration of the fault.
    RestartLater,
    /// A process is paused (SIGSTOP) and resumed.
    Pause,
    /// What a process sends to others is lost.
    Mute,
    /// What others send to a process is lost.
    Deafen,
    /// A process is paused and resumed again and again, for a moment each.
    PauseSeries,
    /// A process is told to reload its settings (SIGHUP).
    Reload,
    /// The standard output of a process is not read for a while.
    Stall,
    /// The store refuses all calls.
    StoreBusy,
    /// The store neither processes nor answers calls.
    StoreSilent,
    /// The store processes calls but does not answer them.
    StoreLossy,
    /// All leases in the store expire, and its history of changes is discarded.
    StoreLapse,
    /// The connections of a process to the store are slow.
    LinkSlow,
    /// The connections of a process to the store lose all bytes in both directions.
    LinkSilent,
    /// The connections of a process to the store lose all bytes from the store.
    LinkOneWay,
    /// The connections of a process to the store are closed, new ones as soon as they are accepted.
    LinkReset,
    /// A backend server ends without draining, and another one starts in its place.
    Crash,
    /// A backend server drains and leaves, and another one starts in its place.
    Replace,
    /// A backend server drains and leaves for good.
    Remove,
    /// A backend server closes its TCP port for a while and serves on.
    Relisten,
    /// An agent gets a heartbeat that is not its backend server's own.
    ForeignHeartbeat,
    /// The callers' route points to the other service for a while.
    Move,
    /// A zone is taken out of service and returned to service later.
    ZoneOut,
    /// The callers' route moves, or a zone goes out of service, within a second, and for long enough to be overdue.
    Change,
    /// All connections to the store fall silent for good, while new ones work; the route moves or a
    /// zone goes out of service within a second.
    Silence,
    /// The store goes away for a moment and comes back from a copy some seconds old; operators write
    /// again what they wrote since, and the route moves or a zone goes out of service soon after.
    Restore,
}

impl Fault {
    /// Whether the fault affects the store, or the connections of processes to it.
    const fn affects_store(self) -> bool {
        matches!(
            self,
            Self::StoreBusy
                | Self::StoreSilent
                | Self::StoreLossy
                | Self::StoreLapse
                | Self::LinkSlow
                | Self::LinkSilent
                | Self::LinkOneWay
                | Self::LinkReset
                | Self::Silence
                | Self::Restore
        )
    }
}

/// Store drills, drawn uniformly.
const DRILLS: [Fault; 2] = [Fault::Silence, Fault::Restore];

/// Faults, drawn uniformly; repeated entries make some kills and planned changes more likely.
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

/// Faults in which all processes live on, drawn uniformly beside [`WEIGHTED_FAULTS`].
const MOMENTARY_FAULTS: [Fault; 2] = [Fault::PauseSeries, Fault::Relisten];

/// Planned work of which each run has at least one series.
const REQUIRED_WORK: [Fault; 2] = [Fault::Replace, Fault::Restart];
/// Planned work, drawn uniformly for further series.
const PLANNED_WORK: [Fault; 6] = [
    Fault::Replace,
    Fault::Replace,
    Fault::Restart,
    Fault::Restart,
    Fault::Reload,
    Fault::Move,
];
/// Number of further series in a run.
const FURTHER_SERIES: std::ops::Range<usize> = 2..5;
/// Number of steps in a series of planned work.
const SERIES_STEPS: std::ops::Range<usize> = 4..30;
/// Time between two steps of a series of planned work, in milliseconds.
const STEP_INTERVAL_MS: std::ops::Range<u64> = 700..1_400;

/// Time that two departures of a backend server in a row may take if it exits slowly, until the last idle caller has noticed.
const SLOW_EXIT_TIME: Duration = Duration::from_secs(36);
/// Time between two heartbeats of other writers, in milliseconds.
const FOREIGN_INTERVAL_MS: std::ops::Range<u64> = 500..2_500;

/// Times of the rolls of a run, after its start, in seconds.
const ROLL_TIMES_S: [u64; 2] = [14, 20];
/// Time between two steps of a roll, in milliseconds.
const ROLL_STEP_MS: std::ops::Range<u64> = 0..1_400;
/// Time for which a process is down in a roll, in milliseconds.
const ROLL_DOWNTIME_MS: std::ops::Range<u64> = 200..3_000;
/// Maximum time from the first to the last step of a roll, in milliseconds.
const MAX_ROLL_MS: u64 = 8_000;
/// One in this many processes is left alone in a roll.
const ROLL_SPARED: usize = 3;

/// A scheduled fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// When it starts, after the start of the run.
    pub at: Duration,
    /// How long it lasts.
    pub span: Duration,
    /// The kind of fault.
    pub fault: Fault,
    /// Index of the affected instance, backend server or zone, modulo their number.
    pub target: usize,
}

impl Entry {
    /// Durations of the pauses of a series and of the times between them, in turn.
    pub fn pauses(&self) -> impl Iterator<Item = [Duration; 2]> {
        let mut rng = SmallRng::seed_from_u64(self.target as u64);
        let mut draw = move || Duration::from_millis(rng.random_range(SHORT_PAUSE_MS));
        let mut rest = self.span;
        std::iter::repeat_with(move || [draw(), draw()]).take_while(move |[pause, gap]| {
            let is_left = !rest.is_zero();
            rest = rest.saturating_sub(*pause + *gap);
            is_left
        })
    }

    /// Whether `other` would hide what this store drill shows: a process that starts reads the store
    /// and tells the others. Every other drill is left undisturbed.
    fn is_disturbed_by(&self, other: &Self) -> bool {
        let is_undisturbed = self.target % 4 < 2;
        let elapsed = other.at.checked_sub(self.at);
        is_undisturbed && elapsed.is_some_and(|elapsed| elapsed < UNDISTURBED_TIME)
    }
}

/// The faults of a run of this duration with this many instances; the same seed always gives the same faults.
#[must_use]
pub fn generate(scenario: Scenario, seed: u64, duration: Duration, shape: &Shape) -> Vec<Entry> {
    let instances = shape.instances();
    let mut rng = SmallRng::seed_from_u64(seed);
    let faults = draw(&WEIGHTED_FAULTS, FAULT_INTERVAL_MS, duration, &mut rng);
    match scenario {
        Scenario::Mixed => {
            let mut rng = SmallRng::seed_from_u64(seed ^ MOMENTARY_SALT);
            let momentary = draw(&MOMENTARY_FAULTS, MOMENTARY_INTERVAL_MS, duration, &mut rng);
            faults.into_iter().chain(momentary).collect()
        }
        Scenario::StoreDrills => {
            let drills = draw(&DRILLS, DRILL_INTERVAL_MS, duration, &mut rng);
            let is_disturbing = |e: &Entry| drills.iter().any(|drill| drill.is_disturbed_by(e));
            let mut entries = faults;
            entries.retain(|e| !e.fault.affects_store() && !is_disturbing(e));
            entries.extend(drills);
            entries
        }
        Scenario::PlannedWork => draw_planned_work(duration, &mut rng),
        Scenario::Rolls => ROLL_TIMES_S
            .into_iter()
            .flat_map(|at| draw_roll(Duration::from_secs(at), instances, &mut rng))
            .collect(),
        Scenario::Outages => outages::draw(&outages::PROCESSES, duration, shape, &mut rng),
        Scenario::Cuts => outages::draw(&outages::LINKS, duration, shape, &mut rng),
        Scenario::OutagesInChanges => {
            let entries = outages::draw(&outages::PROCESSES, duration, shape, &mut rng);
            outages::add_changes(entries, &mut rng)
        }
        Scenario::Losses => losses::draw_loss(duration, shape, &mut rng),
        Scenario::ForeignHeartbeats => {
            let kinds = [Fault::ForeignHeartbeat];
            let duration = duration.saturating_sub(SLOW_EXIT_TIME);
            let mut entries = draw(&kinds, FOREIGN_INTERVAL_MS, duration, &mut rng);
            entries.extend(draw_planned_work(duration, &mut rng));
            entries
        }
    }
}

/// Draws a roll over most of the instances, in a random order.
fn draw_roll(start: Duration, instances: usize, rng: &mut SmallRng) -> Vec<Entry> {
    let mut targets: Vec<usize> = (0..instances).collect();
    targets.shuffle(rng);
    targets.truncate(instances - instances / ROLL_SPARED);
    let step = rng.random_range(ROLL_STEP_MS);
    let step = step.min(MAX_ROLL_MS / targets.len().max(1) as u64);
    let mut entries = Vec::new();
    for (target, index) in targets.into_iter().zip(0..) {
        entries.push(Entry {
            at: start + Duration::from_millis(step * index),
            span: Duration::from_millis(rng.random_range(ROLL_DOWNTIME_MS)),
            fault: Fault::RestartLater,
            target,
        });
    }
    entries
}

/// Draws series of planned work that overlap.
fn draw_planned_work(duration: Duration, rng: &mut SmallRng) -> Vec<Entry> {
    let end = duration.saturating_sub(RECOVERY_TIME);
    let further = rng.random_range(FURTHER_SERIES);
    let further: Vec<_> = (0..further)
        .map(|_| PLANNED_WORK[rng.random_range(0..PLANNED_WORK.len())])
        .collect();
    let kinds = REQUIRED_WORK.into_iter().chain(further);
    kinds
        .flat_map(|fault| draw_series(fault, end, rng))
        .collect()
}

/// Draws a series that affects one instance after the other, until `end` at the latest.
fn draw_series(fault: Fault, end: Duration, rng: &mut SmallRng) -> Vec<Entry> {
    let latest = FIRST_FAULT_TIME.max(end / 2);
    let start = rng.random_range(FIRST_FAULT_TIME..=latest);
    let step = Duration::from_millis(rng.random_range(STEP_INTERVAL_MS));
    let first = rng.random_range(0..usize::from(u8::MAX));
    let steps = rng.random_range(SERIES_STEPS);
    let times = std::iter::successors(Some(start), |at| Some(*at + step));
    let times = times.take(steps).take_while(|at| *at < end);
    let mut entries = Vec::new();
    for (target, at) in (first..).zip(times) {
        let span = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        entries.push(Entry {
            at,
            span,
            fault,
            target,
        });
    }
    entries
}

/// Draws faults that start at these intervals.
fn draw(
    faults: &[Fault],
    interval_ms: std::ops::Range<u64>,
    duration: Duration,
    rng: &mut SmallRng,
) -> Vec<Entry> {
    let end = duration.saturating_sub(RECOVERY_TIME);
    let mut at = FIRST_FAULT_TIME;
    let mut entries = Vec::new();
    while at < end {
        entries.push(Entry {
            at,
            span: Duration::from_millis(rng.random_range(FAULT_DURATION_MS)),
            fault: faults[rng.random_range(0..faults.len())],
            target: rng.random_range(0..usize::from(u8::MAX)),
        });
        at += Duration::from_millis(rng.random_range(interval_ms.clone()));
    }
    entries
}

#[cfg(test)]
#[path = "../tests/unit/plan.rs"]
mod tests;
