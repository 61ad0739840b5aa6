use super::Shutdown;
use buckthornlink_core::Millis;

const GRACE_PERIOD: Millis = Millis(4_500);

/// Whether a process may end this long after the request, 800 ms after its last packet.
fn may_end(elapsed: u64, waiting: usize) -> bool {
    let shutdown = Shutdown {
        elapsed: Millis(elapsed),
        quiet: Millis(800),
        pending: waiting,
    };
    shutdown.is_complete(GRACE_PERIOD)
}

#[test]
fn a_process_waits_for_the_answers_to_accepted_requests() {
    assert!(!may_end(2_000, 1));
    assert!(may_end(2_000, 0));
}

#[test]
fn a_process_ends_with_its_grace_period() {
    assert!(may_end(4_500, 1));
}

#[test]
fn a_process_waits_until_the_fabric_has_turned_away() {
    assert!(!may_end(1_000, 0));
}
