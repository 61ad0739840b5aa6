//! Seeds that failed once, as `seeds.txt` records them with their causes.

use crate::plan::Scenario;

/// Lines of a seed and the cause of its failure, after the marks below.
const RECORDED_SEEDS: &str = include_str!("../seeds.txt");
/// First word of a line whose seed is played with store drills.
const DRILLS_MARK: &str = "drills";
/// First word of a line whose seed is played with planned work.
const PLANNED_MARK: &str = "planned";
/// First word of a line whose seed is played with rolls.
const ROLLS_MARK: &str = "rolls";
/// First word of a line whose seed is played with outages.
const OUTAGES_MARK: &str = "outages";
/// First word of a line whose seed is played with cuts.
const CUTS_MARK: &str = "cuts";
/// First word of a line whose seed is played with outages beside changes.
const CHANGES_MARK: &str = "changes";
/// First word of a line whose seed is played with foreign heartbeats.
const FOREIGN_MARK: &str = "foreign";
/// First word of a line whose seed is played with losses.
const LOSSES_MARK: &str = "losses";
/// Word before a seed that still fails; `KNOWN-RED.txt` lists it.
const KNOWN_RED_MARK: &str = "?";

/// A seed that failed once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordedSeed {
    /// The seed.
    pub seed: u64,
    /// Whether it still fails.
    pub is_known_red: bool,
}

/// The recorded seeds of a scenario.
#[must_use]
pub fn recorded(scenario: Scenario) -> Vec<RecordedSeed> {
    parse(RECORDED_SEEDS, scenario)
}

fn parse(lines: &str, scenario: Scenario) -> Vec<RecordedSeed> {
    let lines = lines.lines().filter_map(|line| match scenario {
        Scenario::Mixed => Some(line),
        Scenario::StoreDrills => line.strip_prefix(DRILLS_MARK),
        Scenario::PlannedWork => line.strip_prefix(PLANNED_MARK),
        Scenario::Rolls => line.strip_prefix(ROLLS_MARK),
        Scenario::Outages => line.strip_prefix(OUTAGES_MARK),
        Scenario::Cuts => line.strip_prefix(CUTS_MARK),
        Scenario::Losses => line.strip_prefix(LOSSES_MARK),
        Scenario::OutagesInChanges => line.strip_prefix(CHANGES_MARK),
        Scenario::ForeignHeartbeats => line.strip_prefix(FOREIGN_MARK),
    });
    lines.filter_map(parse_line).collect()
}

fn parse_line(line: &str) -> Option<RecordedSeed> {
    let mut words = line.split_whitespace().peekable();
    let is_known_red = words.next_if_eq(&KNOWN_RED_MARK).is_some();
    let seed = words.next()?.parse().ok()?;
    Some(RecordedSeed { seed, is_known_red })
}

#[cfg(test)]
#[path = "../tests/unit/seeds.rs"]
mod tests;
