//! The lines of the journal, of each kind, and their bound.

use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Mutex, PoisonError};

use buckthornlink_core::datagram::{Decision, Flow, Phase, Reason};
use buckthornlink_core::{Millis, Version};
use log::kv::{Error, Key, Value, VisitSource};

use super::{Journal, LINES_PER_SECOND};

/// Keeps lines as text.
#[derive(Debug, Default)]
struct Sink(Mutex<Vec<String>>);

static SINK: Sink = Sink(Mutex::new(Vec::new()));

impl Sink {
    fn take(&self) -> Vec<String> {
        std::mem::take(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl log::Log for Sink {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut line = Line(record.args().to_string());
        record.key_values().visit(&mut line).unwrap();
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(line.0);
    }

    fn flush(&self) {}
}

struct Line(String);

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Error::boxed)
    }
}

fn decision(reason: Reason) -> Decision {
    let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), 1_024);
    let route = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
    Decision {
        reason,
        flow: Some(Flow { caller, route }),
        peer: Some(Ipv4Addr::new(10, 1, 0, 2)),
        version: Version(7),
        age: Millis(40),
        phase: Some(Phase::Ready),
    }
}

/// One test, as the sink is the process's.
#[test]
fn lines_of_all_kinds_and_a_storm_of_refusals() {
    log::set_logger(&SINK).unwrap();
    log::set_max_level(log::LevelFilter::Info);
    let mut journal = Journal::default();
    for reason in Reason::ALL {
        journal.write(&decision(reason), Millis(1_000));
    }
    let bare = Decision {
        flow: None,
        peer: None,
        phase: None,
        ..decision(Reason::Configured)
    };
    journal.write(&bare, Millis(1_000));
    insta::assert_snapshot!("lines", SINK.take().join("\n"));

    for _ in 0..10_000 {
        journal.write(&decision(Reason::RefusedBusy), Millis(2_500));
    }
    journal.turn(Millis(4_000));
    let lines = SINK.take();
    assert_eq!(lines.len(), LINES_PER_SECOND as usize + 1);
    let left_out = 10_000 - LINES_PER_SECOND;
    let last = format!("decisions left out reason=refused_busy count={left_out}");
    assert_eq!(lines.last(), Some(&last));
}
