use super::*;

const DURATION: Duration = Duration::from_secs(40);

/// A shape of nine instances.
fn shape() -> Shape {
    crate::shape::Preset::TwoZones.shape()
}

/// Guards against a series that is one long pause, or none.
#[test]
fn pauses_of_a_series_are_short_and_fill_its_span() {
    let faults = (0..10).flat_map(|seed| generate(Scenario::Mixed, seed, DURATION, &shape()));
    let is_series = |e: &Entry| e.fault == Fault::PauseSeries;
    let series: Vec<_> = faults.filter(is_series).collect();
    assert!(series.len() > 20, "{}", series.len());
    for entry in series {
        let pauses: Vec<_> = entry.pauses().collect();
        let total: Duration = pauses.iter().flatten().sum();
        assert!(total >= entry.span);
        assert!(total < entry.span + Duration::from_millis(500));
        let is_short = |pause: &Duration| (50..250).contains(&pause.as_millis());
        assert!(pauses.iter().flatten().all(is_short));
    }
}

/// Guards against recorded seeds that give other faults than those with which they failed.
#[test]
fn new_kinds_of_faults_leave_those_of_recorded_seeds_as_they_are() {
    let faults = generate(Scenario::Mixed, 64_000, DURATION, &shape());
    let faults = faults.iter().map(|e| e.fault);
    let first: Vec<_> = faults
        .filter(|fault| !MOMENTARY_FAULTS.contains(fault))
        .take(4)
        .collect();
    let expected = [
        Fault::Replace,
        Fault::StoreLossy,
        Fault::StoreLossy,
        Fault::LinkSlow,
    ];
    assert_eq!(first, expected);
}

/// Guards against planned work that comes one step at a time, or not at all.
#[test]
fn series_of_planned_work_overlap() {
    let times_of = |entries: &[Entry], fault: Fault| -> Vec<Duration> {
        let entries = entries.iter().filter(|e| e.fault == fault);
        entries.map(|e| e.at).collect()
    };
    let overlaps = (0..50).filter(|&seed| {
        let entries = generate(Scenario::PlannedWork, seed, DURATION, &shape());
        let releases = times_of(&entries, Fault::Replace);
        let rolls = times_of(&entries, Fault::Restart);
        assert!(releases.len() >= 4 && rolls.len() >= 4, "seed {seed}");
        releases.first() < rolls.last() && rolls.first() < releases.last()
    });
    assert!(overlaps.count() > 40);
}

/// Guards against rolls that restart one process after the other, so that another one knows each flow.
#[test]
fn rolls_take_most_processes_down_at_overlapping_times() {
    for seed in 0..20 {
        let entries = generate(Scenario::Rolls, seed, DURATION, &shape());
        assert_eq!(entries.len(), 12);
        let is_short = |e: &Entry| (200..3_000).contains(&e.span.as_millis());
        assert!(entries.iter().all(is_short), "{entries:?}");
    }
}

/// Guards against outages of one instance at a time, or of one kind, and against backend servers that always live.
#[test]
fn outages_take_one_or_most_instances_away_for_up_to_ten_seconds() {
    let entries = (0..50).flat_map(|seed| generate(Scenario::Outages, seed, DURATION, &shape()));
    let entries: Vec<Entry> = entries.collect();
    for fault in outages::PROCESSES.into_iter().chain([Fault::Crash]) {
        assert!(entries.iter().any(|e| e.fault == fault), "{fault:?}");
    }
    let sizes = entries.chunk_by(|a, b| a.at == b.at || b.fault == Fault::Crash);
    let sizes = sizes.map(|group| group.iter().filter(|e| e.fault != Fault::Crash).count());
    let sizes: std::collections::BTreeSet<usize> = sizes.collect();
    assert!(sizes.contains(&1) && sizes.contains(&8), "{sizes:?}");
    let longest = entries.iter().map(|e| e.span).max();
    assert!(longest > Some(Duration::from_secs(9)), "{longest:?}");
}

/// Guards against losses without a backend server that leaves at that moment, or of one kind.
#[test]
fn losses_of_both_kinds_happen_while_backend_servers_leave() {
    let mut kinds = std::collections::BTreeSet::new();
    for seed in 0..40 {
        let entries = generate(Scenario::Losses, seed, DURATION, &shape());
        let (loss, departures) = entries.split_first().unwrap();
        let leaving = departures.iter().filter(|e| e.at < loss.at);
        assert!((1..=3).contains(&leaving.count()), "{entries:?}");
        kinds.insert((
            loss.fault == Fault::LoseAll,
            departures[0].fault == Fault::Remove,
        ));
    }
    assert_eq!(kinds.len(), 4, "{kinds:?}");
}

/// Guards against outages during which nothing changes, so that no instance can be behind.
#[test]
fn each_group_of_outages_meets_a_change() {
    for seed in 0..20 {
        let entries = generate(Scenario::OutagesInChanges, seed, DURATION, &shape());
        let (changes, outages): (Vec<Entry>, Vec<Entry>) =
            entries.into_iter().partition(|e| e.fault == Fault::Change);
        let is_met = |at: Duration| changes.iter().any(|change| change.at == at);
        let groups = outages.iter().filter(|e| e.fault != Fault::Crash);
        assert!(groups.map(|e| e.at).all(is_met), "seed {seed}");
    }
}
