//! A loss of all programs while backend servers leave.

use std::ops::Range;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::{Entry, Fault, RECOVERY_TIME};
use crate::shape::Shape;

/// Time of the loss, in milliseconds: flows are older by then than the interval at which agents save them.
const LOSS_TIME_MS: Range<u64> = 15_000..18_000;
/// Time for which all that ended is down, in milliseconds.
const DOWNTIME_MS: Range<u64> = 900..1_100;
/// Time from the first departure to the loss, in milliseconds.
const LEAD_TIME_MS: Range<u64> = 1_000..6_000;
/// Time between two departures, in milliseconds, by which at most half of the smallest fleet drains at once.
const DEPARTURE_INTERVAL_MS: Range<u64> = 1_800..2_400;
/// Downtime of a backend server that is replaced, in milliseconds.
const REPLACEMENT_MS: Range<u64> = 300..1_500;
/// One in this many backend servers is removed in a scale-in.
const REMOVED_RATIO: usize = 3;

/// Draws a release or a scale-in, and the loss of the programs alone or of the backend servers as well.
pub(super) fn draw_loss(duration: Duration, shape: &Shape, rng: &mut SmallRng) -> Vec<Entry> {
    let loss_at = draw_millis(LOSS_TIME_MS, rng);
    let fault = [Fault::LoseAll, Fault::KillAll][rng.random_range(0..2)];
    let loss = Entry {
        at: loss_at,
        span: draw_millis(DOWNTIME_MS, rng),
        fault,
        target: 0,
    };
    let agents = usize::from(shape.agents);
    let (departure, steps) = if rng.random() {
        (Fault::Replace, agents)
    } else {
        (Fault::Remove, agents / REMOVED_RATIO)
    };
    let end = duration.saturating_sub(RECOVERY_TIME);
    let first = rng.random_range(0..agents);
    let mut at = loss_at.saturating_sub(draw_millis(LEAD_TIME_MS, rng));
    let mut entries = vec![loss];
    for target in (first..).take(steps) {
        if at >= end {
            break;
        }
        entries.push(Entry {
            at,
            span: draw_millis(REPLACEMENT_MS, rng),
            fault: departure,
            target,
        });
        at += draw_millis(DEPARTURE_INTERVAL_MS, rng);
    }
    entries
}

fn draw_millis(range: Range<u64>, rng: &mut SmallRng) -> Duration {
    Duration::from_millis(rng.random_range(range))
}
