//! Zone records of a store that was restored from an older copy.

mod datagram;

use buckthornlink_core::datagram::{
    Balancer, Effect, Event, Message, Reason, Reducer, Role, Status, StoreView,
};
use buckthornlink_core::member::{ZoneRecord, ZoneSeq, ZoneSnapshot};
use buckthornlink_core::{Millis, ZoneTag};

use datagram::{BALANCER, OWN, setup};

const ZONE: ZoneTag = ZoneTag(7);
const START: Millis = Millis(1_000);
/// Time after a restore in which operators write again what the copy lacks.
const REWRITE_TIME: Millis = Millis(10_000);
const TICK_INTERVAL: Millis = Millis(200);

fn seq(epoch: u32, number: u64) -> ZoneSeq {
    ZoneSeq { epoch, number }
}

fn zone_out(epoch: u32, number: u64) -> ZoneRecord {
    ZoneRecord {
        zone: ZONE,
        seq: seq(epoch, number),
        out: true,
    }
}

fn balancer() -> Balancer {
    Balancer::new(&setup(OWN, Role::Balancer), START)
}

fn read(balancer: &mut Balancer, zones_out: Vec<ZoneRecord>, seq: ZoneSeq, now: Millis) {
    let snapshot = ZoneSnapshot { zones_out, seq };
    balancer.reduce(Event::Zones(snapshot), now, &mut Vec::new());
}

fn hear(balancer: &mut Balancer, record: ZoneRecord, now: Millis) {
    let peer = Balancer::new(&setup(BALANCER, Role::Balancer), START);
    let status = Status {
        from: *peer.gossip().own(),
        store: StoreView {
            version: peer.gossip().version(),
            zones: vec![record],
            ..StoreView::default()
        },
        facts: Vec::new(),
        beats: Vec::new(),
        known: 1,
        asks: false,
    };
    let message = Message::Status(status);
    let from = BALANCER;
    balancer.reduce(Event::Message { from, message }, now, &mut Vec::new());
}

fn tick_for(balancer: &mut Balancer, span: Millis) {
    let mut now = START;
    while now < START + span {
        now = now + TICK_INTERVAL;
        balancer.reduce(Event::Tick, now, &mut Vec::new());
    }
}

fn is_out(balancer: &Balancer) -> bool {
    balancer.gossip().zones().is_out(ZONE)
}

/// Guards against a zone that stays out for good at a process which learnt of it from others and
/// missed its return.
#[test]
fn a_zone_without_a_record_returns_although_another_instance_reported_it() {
    let mut balancer = balancer();
    hear(&mut balancer, zone_out(1, 10), START);
    assert!(is_out(&balancer));
    read(&mut balancer, Vec::new(), seq(1, 20), START);
    assert!(!is_out(&balancer));
}

/// Guards against requests to a zone that is out while the restored store lacks its record and the
/// operators have not written it again.
#[test]
fn a_zone_whose_record_vanished_with_a_restore_stays_out_for_a_while() {
    let mut balancer = balancer();
    read(&mut balancer, vec![zone_out(1, 10)], seq(1, 10), START);
    read(&mut balancer, Vec::new(), seq(2, 5), START);
    tick_for(&mut balancer, Millis(REWRITE_TIME.0 - TICK_INTERVAL.0));
    assert!(is_out(&balancer));
}

/// Guards against a zone that stays out for good as its record vanished with a restore and nobody
/// writes or removes it.
#[test]
fn a_zone_whose_record_vanished_with_a_restore_returns_in_the_end() {
    let mut balancer = balancer();
    read(&mut balancer, vec![zone_out(1, 10)], seq(1, 10), START);
    read(&mut balancer, Vec::new(), seq(2, 5), START);
    tick_for(&mut balancer, REWRITE_TIME);
    assert!(!is_out(&balancer));
}

/// Guards against a record of before the restore that a peer still carries, and that reaches a process
/// after its own read.
#[test]
fn a_record_of_before_a_restore_that_arrives_late_does_not_last() {
    let mut balancer = balancer();
    read(&mut balancer, Vec::new(), seq(2, 5), START);
    hear(&mut balancer, zone_out(1, 10), START);
    tick_for(&mut balancer, REWRITE_TIME);
    assert!(!is_out(&balancer));
}

/// Guards against a record that was written again after a restore and is undone when the time for
/// writing is over, also after two restores in a row.
#[test]
fn a_record_that_was_written_again_lasts() {
    let mut balancer = balancer();
    read(&mut balancer, vec![zone_out(1, 10)], seq(1, 10), START);
    read(&mut balancer, Vec::new(), seq(2, 5), START);
    read(&mut balancer, Vec::new(), seq(3, 4), START);
    balancer.reduce(Event::Zone(zone_out(3, 6)), START, &mut Vec::new());
    tick_for(&mut balancer, REWRITE_TIME);
    assert!(is_out(&balancer));
}

/// Guards against a change of a zone that is ignored without a trace.
#[test]
fn an_ignored_change_is_logged() {
    let mut balancer = balancer();
    read(&mut balancer, Vec::new(), seq(2, 30), START);
    let returned = ZoneRecord {
        out: false,
        ..zone_out(2, 30)
    };
    hear(&mut balancer, returned, START);
    let mut effects = Vec::new();
    balancer.reduce(Event::Zone(zone_out(2, 20)), START, &mut effects);
    let is_ignored = |e: &Effect| matches!(e, Effect::Log(d) if d.reason == Reason::ZoneIgnored);
    assert!(effects.iter().any(is_ignored));
}
