use super::*;

const LINES: &str = "# A comment.\n119 a cause.\n? 64000 still fails.\ndrills 9001 a cause.\ndrills ? 9002 still fails.\nplanned 64300 a cause.\noutages ? 90001 still fails.\nlosses 95001 a cause.\n";

fn seeds_of(scenario: Scenario) -> Vec<(u64, bool)> {
    let recorded = parse(LINES, scenario);
    recorded.iter().map(|r| (r.seed, r.is_known_red)).collect()
}

/// Guards against a recorded seed that CI no longer plays, or that it passes over without a mark.
#[test]
fn only_marked_seeds_are_known_red_in_their_scenario() {
    assert_eq!(seeds_of(Scenario::Mixed), [(119, false), (64_000, true)]);
    assert_eq!(
        seeds_of(Scenario::StoreDrills),
        [(9_001, false), (9_002, true)]
    );
    assert_eq!(seeds_of(Scenario::PlannedWork), [(64_300, false)]);
    assert_eq!(seeds_of(Scenario::Outages), [(90_001, true)]);
    assert_eq!(seeds_of(Scenario::Losses), [(95_001, false)]);
}

/// Guards against seeds that lose their marks in `seeds.txt` while `KNOWN-RED.txt` still lists them,
/// and the other way round.
#[test]
fn known_red_seeds_are_those_of_the_list_of_failing_tests() {
    let list = include_str!("../../../KNOWN-RED.txt");
    let listed = |r: &RecordedSeed| {
        let name = format!("soak_seed_{} ", r.seed);
        list.lines().any(|line| line.starts_with(&name))
    };
    for scenario in [
        Scenario::Mixed,
        Scenario::StoreDrills,
        Scenario::PlannedWork,
        Scenario::Rolls,
        Scenario::Outages,
        Scenario::Cuts,
        Scenario::ForeignHeartbeats,
        Scenario::Losses,
        Scenario::OutagesInChanges,
    ] {
        for seed in recorded(scenario) {
            assert_eq!(seed.is_known_red, listed(&seed), "{seed:?}");
        }
    }
}
