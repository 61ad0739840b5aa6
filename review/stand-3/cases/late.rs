//! A late heartbeat of a backend server that is gone reaches the new process of its agent.

use std::net::SocketAddrV4;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::backend::Backend;
use crate::consumer::{Consumer, Seen};
use crate::fleet::{DATA_PORT, Fleet, Machine};
use crate::http::call;
use crate::record::Record;

/// Time after which the address of a backend server that is gone is used again; `AddrReuseS` is 2 s.
const REUSE_AFTER: Duration = Duration::from_millis(2_500);
/// Interval at which consumers open flows to either route.
const OPEN_INTERVAL: Duration = Duration::from_millis(8);

pub fn play(has_trouble: bool, record: &Record) -> std::io::Result<Outcome> {
    let mut fleet = Fleet::start(record)?;
    let core_route = SocketAddrV4::new([198, 18, 0, 1].into(), 8_080);
    let ledger_route = SocketAddrV4::new([198, 18, 0, 2].into(), 8_443);
    fleet
        .store
        .operate("op/config", &config(core_route, ledger_route));
    let fronts = [fleet.machine(1, "za", None), fleet.machine(2, "zb", None)];
    let services = ["core", "core", "ledger", "ledger"];
    let sides: Vec<Machine> = (0..4_u8)
        .map(|n| {
            fleet.machine(
                11 + n,
                ["za", "zb"][n as usize % 2],
                Some(services[n as usize]),
            )
        })
        .collect();
    let mut reused = fleet.machine(15, "za", Some("core"));
    for machine in fronts.iter().chain(&sides).chain([&reused]) {
        fleet.start_process(machine)?;
    }
    let mut backends = Vec::new();
    for side in &sides {
        backends.push(Backend::start(
            side.identity(&format!("i-{}", side.name)),
            record,
        )?);
    }
    let gone = Backend::start(reused.identity("i-gone"), record)?;
    if !fleet.wait_ready(&fronts.iter().collect::<Vec<_>>(), Duration::from_secs(15)) {
        return Ok(Outcome::NotRun(
            "the frontend machines are not ready".to_owned(),
        ));
    }
    let consumers = [
        Consumer::start(fleet.ip(101), DATA_PORT, vec![fronts[0].data()], record)?,
        Consumer::start(fleet.ip(102), DATA_PORT, vec![fronts[1].data()], record)?,
    ];
    let mut load = Load {
        consumers: &consumers,
        routes: [core_route, ledger_route],
        count: 0,
    };
    sleep(Duration::from_secs(5));
    load.run(Duration::from_secs(2));

    // The backend server crashes; its last heartbeat is on its way. Its address goes to another service.
    let held_up = gone.heartbeat(gone.identity.first_seq + gone.heartbeats_begun());
    gone.crash();
    load.run(REUSE_AFTER);
    reused.service = Some("ledger".to_owned());
    let present = Backend::start(reused.identity("i-present"), record)?;
    load.run(Duration::from_secs(5));

    let beats = present.heartbeats_begun();
    while present.heartbeats_begun() == beats {
        load.run(Duration::from_millis(10));
    }
    if has_trouble {
        fleet.kill(&reused);
        load.run(Duration::from_millis(150));
        fleet.start_process(&reused)?;
        load.run(Duration::from_millis(100));
        fleet.wait_ready(&[&reused], Duration::from_millis(500));
        let status = call(
            reused.identity("").control,
            "PUT",
            "/v1/backends/i-gone",
            &held_up,
            Duration::from_secs(1),
        );
        record.line(&format!(
            "the heartbeat of i-gone that was held up arrives: {status:?}"
        ));
    }
    load.run(Duration::from_secs(4));
    sleep(Duration::from_secs(2));
    if let Some(end) = fleet.has_own_end() {
        return Ok(Outcome::NotRun(format!("a process ended by itself: {end}")));
    }
    Ok(judge(&present, core_route, &consumers, record))
}

/// ROUTE: requests that a service runs to which no configuration allows them to go.
fn judge(
    present: &Backend,
    core_route: SocketAddrV4,
    consumers: &[Consumer],
    record: &Record,
) -> Outcome {
    let taken = present
        .arrivals()
        .iter()
        .filter(|a| a.route == core_route)
        .count();
    let run = present
        .runs()
        .iter()
        .filter(|(_, route, _)| *route == core_route)
        .count();
    let events: Vec<_> = consumers.iter().flat_map(Consumer::events).collect();
    let is_wrong = |seen: &Seen| matches!(seen, Seen::Answered { backend, .. } if *backend == present.identity.id);
    let answered = events
        .iter()
        .filter(|e| e.route == core_route && is_wrong(&e.seen))
        .count();
    record.say(&format!(
        "the backend server of ledger took {taken} flows of the route of core, ran {run} requests, and consumers got {answered} answers"
    ));
    if run > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Consumers that open flows to both routes at a fixed rate.
struct Load<'a> {
    consumers: &'a [Consumer],
    routes: [SocketAddrV4; 2],
    count: usize,
}

impl Load<'_> {
    fn run(&mut self, span: Duration) {
        let start = Instant::now();
        while start.elapsed() < span {
            let consumer = &self.consumers[self.count / 2 % self.consumers.len()];
            consumer.open(self.routes[self.count % 2], &format!("r-{}", self.count));
            self.count += 1;
            sleep(OPEN_INTERVAL.min(span));
        }
    }
}

fn config(core: SocketAddrV4, ledger: SocketAddrV4) -> String {
    let route = |name: &str, at: SocketAddrV4, service: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"{}\",\"Prefix\":\"/{}/\",\"Type\":\"unsafe\",\"TimeoutMs\":5000,\"TargetLatencyMs\":300,\"Priority\":1,\"Service\":\"{service}\",\"Attempts\":2}}",
            at.ip(),
            at.port()
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"HealthCheck\":\"/health\",\"MaxConns\":2000,\"Protocol\":\"h1\",\"Tls\":false,\"WarmupS\":2.0,\"WarmupPerS\":0.0}}"
        )
    };
    format!(
        "{{\"Version\":7,\"Routes\":[{},{}],\"Services\":[{},{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        route("r-1", core, "core"),
        route("r-2", ledger, "ledger"),
        service("core"),
        service("ledger")
    )
}
