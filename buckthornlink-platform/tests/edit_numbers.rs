//! Numbers of edits, and their lookup by edit id.

use buckthornlink_core::Version;
use buckthornlink_platform::{ConfigRecord, EditTime, ZoneEntry};

fn edit(current: Option<&ConfigRecord>, edit_id: &str, now: u64) -> ConfigRecord {
    ConfigRecord::successor(current, "{}", edit_id, "ana", EditTime(now))
}

#[test]
fn versions_rise_although_the_clock_was_set_back() {
    let first = edit(None, "e1", 500);
    let second = edit(Some(&first), "e2", 20);
    let third = edit(Some(&second), "e3", 900);
    assert_eq!(
        [&first, &second, &third].map(|r| r.version),
        [500, 501, 900].map(Version)
    );
}

#[test]
fn each_of_the_latest_edits_is_found_with_the_version_that_it_made() {
    let first = edit(None, "e1", 500);
    let second = edit(Some(&first), "e2", 900);
    let found = ["e1", "e2", "e3"].map(|id| second.version_of(id));
    assert_eq!(found, [Some(Version(500)), Some(Version(900)), None]);
}

/// Records of earlier releases have no versions of their edits, which counted up by one.
#[test]
fn edits_of_a_record_without_versions_are_found() {
    let json = r#"{"version":7,"edits":["e7","e6"],"editor":"ana","text":"{}"}"#;
    let record: ConfigRecord = serde_json::from_str(json).unwrap();
    assert_eq!(record.version_of("e6"), Some(Version(6)));
    let next = edit(Some(&record), "e8", 500);
    let found = ["e6", "e7", "e8"].map(|id| next.version_of(id));
    assert_eq!(found, [6, 7, 500].map(|v| Some(Version(v))));
}

/// Guards against a zone edit that processes ignore, as its number was given out before the store
/// was restored from an older copy.
#[test]
fn a_zone_edit_after_a_restore_has_a_greater_number_than_the_lost_one() {
    let edit = |current: Option<&ZoneEntry>, out, now| {
        ZoneEntry::successor(current, "a", out, "z", "ana", EditTime(now))
    };
    let copied = edit(None, true, 500);
    let lost = edit(Some(&copied), false, 600);
    let rewritten = edit(Some(&copied), false, 700);
    assert!(rewritten.to_record().seq > lost.to_record().seq);
}
