//! Outages of several instances at once, or of their links.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use super::{Entry, FAULT_DURATION_MS, FIRST_FAULT_TIME, Fault};
use crate::shape::Shape;

/// Kinds of outages, drawn uniformly: a process is killed, paused, or asked to terminate.
pub(super) const PROCESSES: [Fault; 3] = [Fault::Kill, Fault::Pause, Fault::RestartLater];
/// Kinds of outages of [`Scenario::Cuts`](super::Scenario::Cuts), drawn uniformly.
pub(super) const LINKS: [Fault; 3] = [Fault::Mute, Fault::Deafen, Fault::Kill];
/// Duration of an outage, in milliseconds.
const OUTAGE_MS: std::ops::Range<u64> = 500..10_000;
/// Time between the starts of two groups of outages, in milliseconds.
const OUTAGE_INTERVAL_MS: std::ops::Range<u64> = 3_000..9_000;
/// Time between the end of the last outage and the end of the run.
const OUTAGE_RECOVERY_TIME: Duration = Duration::from_secs(9);
/// One in this many agents that are away loses its backend server meanwhile.
const BACKEND_END_RATIO: u32 = 6;

/// Draws groups of outages that begin at the same time and end at different ones.
pub(super) fn draw(
    kinds: &[Fault],
    duration: Duration,
    shape: &Shape,
    rng: &mut SmallRng,
) -> Vec<Entry> {
    let end = duration.saturating_sub(OUTAGE_RECOVERY_TIME);
    let mut at = FIRST_FAULT_TIME;
    let mut entries = Vec::new();
    while at < end {
        let fault = kinds[rng.random_range(0..kinds.len())];
        for target in draw_group(shape.instances(), rng) {
            let span = Duration::from_millis(rng.random_range(OUTAGE_MS));
            let span = span.min(end.saturating_sub(at));
            entries.push(Entry {
                at,
                span,
                fault,
                target,
            });
            let agent = target.checked_sub(shape.balancer_count());
            if let Some(agent) = agent.filter(|_| rng.random_ratio(1, BACKEND_END_RATIO)) {
                entries.push(Entry {
                    at: at + span / 2,
                    span,
                    fault: Fault::Crash,
                    target: agent,
                });
            }
        }
        at += Duration::from_millis(rng.random_range(OUTAGE_INTERVAL_MS));
    }
    entries
}

/// Adds a change of the operators' records to each group of outages.
pub(super) fn add_changes(mut entries: Vec<Entry>, rng: &mut SmallRng) -> Vec<Entry> {
    let mut times: Vec<Duration> = entries.iter().map(|e| e.at).collect();
    times.sort_unstable();
    times.dedup();
    for at in times {
        entries.push(Entry {
            at,
            span: Duration::from_millis(rng.random_range(FAULT_DURATION_MS)),
            fault: Fault::Change,
            target: rng.random_range(0..usize::from(u8::MAX)),
        });
    }
    entries
}

/// Draws the instances of an outage: one, two, half or all but one of them.
fn draw_group(instances: usize, rng: &mut SmallRng) -> Vec<usize> {
    let sizes = [1, 2, instances / 2, instances - 1];
    let size = sizes[rng.random_range(0..sizes.len())];
    let mut targets: Vec<usize> = (0..instances).collect();
    targets.shuffle(rng);
    targets.truncate(size);
    targets
}
