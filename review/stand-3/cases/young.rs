//! An agent is killed while its backend server is young, and its next process resets flows that live.

use std::net::SocketAddrV4;
use std::thread::sleep;
use std::time::Duration;

use crate::Outcome;
use crate::backend::{Backend, HEARTBEAT};
use crate::consumer::{Consumer, Seen};
use crate::fleet::{DATA_PORT, Fleet, Machine};
use crate::http::call;
use crate::record::Record;

/// What makes the next process believe that the backend server began together with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// The time of day of the machine was ahead when the backend server started, and has jumped back.
    Clock,
    /// The backend server counts its heartbeats from zero.
    Seq,
    /// The first heartbeat of the backend server is held up, and reaches the next process.
    Held,
    /// Nothing: for comparison, the agent is killed only.
    Kill,
}

/// Jump of the time of day: the dose of the bench's pages, 2 s.
const CLOCK_JUMP_MS: u64 = 2_000;
/// `ContactMs`.
const CONTACT: Duration = Duration::from_millis(4_000);
/// Interval at which flows are opened while the backend server is young.
const OPEN_INTERVAL: Duration = Duration::from_millis(2);

pub fn play(variant: Variant, has_trouble: bool, record: &Record) -> std::io::Result<Outcome> {
    let mut fleet = Fleet::start(record)?;
    let route = SocketAddrV4::new([198, 18, 0, 1].into(), 8_080);
    fleet.store.operate("op/config", &config(route));
    let fronts = [fleet.machine(1, "za", None), fleet.machine(2, "zb", None)];
    let sides: Vec<Machine> = (11..=14)
        .map(|n| fleet.machine(n, ["za", "zb"][n as usize % 2], Some("core")))
        .collect();
    let young = fleet.machine(15, "za", Some("core"));
    for machine in fronts.iter().chain(&sides) {
        fleet.start_process(machine)?;
    }
    let mut backends = Vec::new();
    for side in &sides {
        backends.push(Backend::start(
            side.identity(&format!("i-{}", side.name)),
            record,
        )?);
    }
    if !fleet.wait_ready(&fronts.iter().collect::<Vec<_>>(), Duration::from_secs(15)) {
        return Ok(Outcome::NotRun(
            "the frontend machines are not ready".to_owned(),
        ));
    }
    let consumers = [
        Consumer::start(fleet.ip(101), DATA_PORT, vec![fronts[0].data()], record)?,
        Consumer::start(fleet.ip(102), DATA_PORT, vec![fronts[1].data()], record)?,
    ];
    sleep(Duration::from_secs(8));

    // A machine is added: its agent and, within 0.3 s, its backend server start.
    fleet.start_process(&young)?;
    sleep(Duration::from_millis(250));
    let mut identity = young.identity("i-young");
    if variant == Variant::Clock && has_trouble {
        identity.clock_ahead_ms = CLOCK_JUMP_MS;
    }
    if variant == Variant::Seq {
        identity.first_seq = 0;
    }
    if variant == Variant::Held {
        // It got no answer to heartbeat 1, so that heartbeat 2 follows after an interval.
        identity.first_seq = 2;
        identity.first_beat_after = HEARTBEAT;
    }
    let first_beat_after = identity.first_beat_after;
    let control = identity.control;
    let started = record.now();
    let backend = Backend::start(identity, record)?;
    sleep(first_beat_after + Duration::from_millis(100));
    let kill_at = started
        + match variant {
            Variant::Clock => 1_500,
            Variant::Seq | Variant::Kill => 800,
            Variant::Held => 2_000,
        };
    let mut flows = Vec::new();
    while record.now() < kill_at {
        let n = flows.len();
        flows.push((n % 2, consumers[n % 2].open(route, &format!("first-{n}"))));
        sleep(OPEN_INTERVAL);
    }
    if has_trouble {
        // The time of day has jumped back by now. The platform restarts the process after a short delay.
        fleet.kill(&young);
        sleep(Duration::from_millis(150));
        fleet.start_process(&young)?;
    }
    if variant == Variant::Held && has_trouble {
        fleet.wait_ready(&[&young], Duration::from_millis(500));
        let path = format!("/v1/backends/{}", backend.identity.id);
        let status = call(
            control,
            "PUT",
            &path,
            &backend.heartbeat(1),
            Duration::from_secs(1),
        );
        record.line(&format!(
            "heartbeat 1, which was held up, arrives: {status:?}"
        ));
    }
    let held: Vec<_> = flows
        .iter()
        .copied()
        .filter(|(_, caller)| backend.holds(*caller, route))
        .collect();
    record.say(&format!(
        "{} of {} flows are open at the young backend server",
        held.len(),
        flows.len()
    ));
    if held.len() < 10 {
        return Ok(Outcome::NotRun(
            "too few flows reached the young backend server".to_owned(),
        ));
    }
    // All machines are in touch again, and the flows have been idle for less than half of the idle timeout.
    sleep(CONTACT + Duration::from_millis(2_000));
    for (n, (consumer, caller)) in flows.iter().enumerate() {
        consumers[*consumer].request(*caller, &format!("second-{n}"));
        sleep(Duration::from_millis(3));
    }
    sleep(Duration::from_millis(5_000));
    backends.push(backend.clone());
    for (key, value) in fleet.store.dump() {
        record.line(&format!("store: {key} {value}"));
    }
    Ok(judge(
        &held, route, &backend, &consumers, &mut fleet, record,
    ))
}

/// FLOW (a): resets by the system of flows whose backend server lives and holds them.
fn judge(
    held: &[(usize, SocketAddrV4)],
    route: SocketAddrV4,
    backend: &Backend,
    consumers: &[Consumer],
    fleet: &mut Fleet,
    record: &Record,
) -> Outcome {
    if let Some(end) = fleet.has_own_end() {
        return Outcome::NotRun(format!("a process ended by itself: {end}"));
    }
    let events: Vec<_> = consumers.iter().flat_map(Consumer::events).collect();
    let of_flow = |caller: SocketAddrV4| events.iter().filter(move |event| event.caller == caller);
    let mut reset = 0;
    let (mut answered, mut unanswered) = (0, 0);
    for (_, caller) in held {
        let is_reset = of_flow(*caller).any(|event| event.seen == Seen::SystemReset);
        if is_reset && backend.holds(*caller, route) {
            reset += 1;
            record.line(&format!(
                "FLOW: {caller} was reset, its backend server lives and holds it"
            ));
        }
        answered += usize::from(
            of_flow(*caller)
                .any(|e| matches!(&e.seen, Seen::Answered { id, .. } if id.starts_with("second"))),
        );
        unanswered += usize::from(
            of_flow(*caller)
                .any(|e| matches!(&e.seen, Seen::Deadline { id } if id.starts_with("second"))),
        );
    }
    record.say(&format!(
        "of {} flows of the young backend server: second request answered on {answered}, without an answer on {unanswered}, reset by the system {reset}",
        held.len()
    ));
    if reset > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

fn config(route: SocketAddrV4) -> String {
    format!(
        "{{\"Version\":7,\"Routes\":[{{\"Name\":\"r-1\",\"Host\":\"{}\",\"Prefix\":\"/{}/\",\"Type\":\"unsafe\",\"TimeoutMs\":5000,\"TargetLatencyMs\":300,\"Priority\":1,\"Service\":\"core\",\"Attempts\":2}}],\"Services\":[{{\"Name\":\"core\",\"HealthCheck\":\"/health\",\"MaxConns\":2000,\"Protocol\":\"h1\",\"Tls\":false,\"WarmupS\":2.0,\"WarmupPerS\":0.0}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        route.ip(),
        route.port()
    )
}
