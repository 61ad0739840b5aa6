//! Format and rate limit of the decision log's lines.

use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Mutex, PoisonError};

use buckthornlink_core::datagram::{Decision, Evidence, Flow, Phase, Reason};
use buckthornlink_core::{Millis, Version};
use log::kv::{Error, Key, Value, VisitSource};

use super::{DecisionLog, MAX_LINES_PER_SECOND};

/// Target of the decision log's lines.
const TARGET: &str = "buckthornlink_datagram::journal";

/// Logger that captures the decision log's lines as text; other tests of the process log as well.
#[derive(Debug, Default)]
struct LogCapture(Mutex<Vec<String>>);

static CAPTURE: LogCapture = LogCapture(Mutex::new(Vec::new()));

impl LogCapture {
    fn take(&self) -> Vec<String> {
        std::mem::take(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl log::Log for LogCapture {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        if record.target() != TARGET {
            return;
        }
        let mut line = Line(format!("{} {}", record.level(), record.args()));
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
        evidence: None,
        trial: None,
    }
}

/// The reset of a flow that an instance which was silent for this long may have owned.
fn silent_owner(host: u8, silence: u64) -> Decision {
    Decision {
        peer: Some(Ipv4Addr::new(10, 1, 0, host)),
        age: Millis(silence),
        evidence: Some(Evidence::Denied),
        ..decision(Reason::DeniedByAll)
    }
}

/// A single test, since the logger is global to the process.
#[test]
fn decisions_are_logged_and_rate_limited_for_each_reason() {
    log::set_logger(&CAPTURE).unwrap();
    log::set_max_level(log::LevelFilter::Info);
    let mut decision_log = DecisionLog::default();
    for reason in Reason::ALL {
        decision_log.write(&decision(reason), Millis(1_000));
    }
    for evidence in Evidence::ALL {
        let over = Decision {
            evidence: Some(evidence),
            ..decision(Reason::BackendOver)
        };
        decision_log.write(&over, Millis(1_000));
    }
    let bare = Decision {
        flow: None,
        peer: None,
        phase: None,
        ..decision(Reason::Configured)
    };
    decision_log.write(&bare, Millis(1_000));
    insta::assert_snapshot!("lines", CAPTURE.take().join("\n"));

    decision_log.advance_window(Millis(2_400));
    insta::assert_snapshot!("reset_warnings", CAPTURE.take().join("\n"));

    for _ in 0..3 {
        decision_log.write(&silent_owner(2, 1_500), Millis(2_500));
    }
    for host in 3..20 {
        decision_log.write(&silent_owner(host, 1_000), Millis(2_500));
    }
    CAPTURE.take();
    decision_log.advance_window(Millis(3_600));
    insta::assert_snapshot!("warnings_of_silent_owners", CAPTURE.take().join("\n"));

    for _ in 0..10_000 {
        decision_log.write(&decision(Reason::RefusedBusy), Millis(3_700));
    }
    decision_log.advance_window(Millis(5_000));
    let lines = CAPTURE.take();
    assert_eq!(lines.len(), MAX_LINES_PER_SECOND as usize + 1);
    let left_out = 10_000 - MAX_LINES_PER_SECOND;
    let last = format!("WARN decisions left out reason=refused_busy count={left_out}");
    assert_eq!(lines.last(), Some(&last));
}
