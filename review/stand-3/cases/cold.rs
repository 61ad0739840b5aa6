//! A cold backend server gets new flows at the full rate.

use std::net::SocketAddrV4;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::backend::Backend;
use crate::consumer::Consumer;
use crate::fleet::{DATA_PORT, Fleet, Machine};
use crate::record::Record;

/// Why the agent takes its backend server for a warm one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// The backend server crashes and is started again at once, before its port was seen to refuse twice.
    Restart,
    /// The agent is frozen while its zone returns to service, and finds a heartbeat from before on waking.
    Thaw,
}

/// `WarmupPerS` and `WarmupS` of the service, `ColdOver` and `ColdSlack` of the deployment.
const WARMUP_PER_S: f64 = 4.0;
const WARMUP: Duration = Duration::from_secs(10);
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
/// Interval at which consumers open flows.
const OPEN_INTERVAL: Duration = Duration::from_millis(6);
/// Time from the crash of the backend server to its next start.
const RESTART_TIME: Duration = Duration::from_millis(120);
/// Time from that start to its first heartbeat, half of the heartbeat interval.
const FIRST_BEAT_AFTER: Duration = Duration::from_millis(600);

pub fn play(variant: Variant, has_trouble: bool, record: &Record) -> std::io::Result<Outcome> {
    let mut fleet = Fleet::start(record)?;
    let route = SocketAddrV4::new([198, 18, 0, 1].into(), 8_080);
    fleet.store.operate("op/config", &config(route));
    let fronts = [fleet.machine(1, "za", None), fleet.machine(2, "zb", None)];
    let sides: Vec<Machine> = (11..=14)
        .map(|n| fleet.machine(n, ["za", "zb"][n as usize % 2], Some("core")))
        .collect();
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
    sleep(Duration::from_secs(5));
    // Consumers open a flow for each request, all the while.
    let mut load = Load::new(&consumers, route);
    load.run(Duration::from_secs(2));
    let (machine, old) = (&sides[1], &backends[1]);
    let cold = match variant {
        Variant::Restart => restart(has_trouble, machine, old, &mut load, record)?,
        Variant::Thaw => thaw(has_trouble, &mut fleet, machine, old, &mut load, record),
    };
    load.run(Duration::from_secs(3));
    if let Some(end) = fleet.has_own_end() {
        return Ok(Outcome::NotRun(format!("a process ended by itself: {end}")));
    }
    Ok(judge(&cold.0, cold.1, record))
}

/// Crashes the backend server and starts it again; returns it and since when it is cold.
fn restart(
    has_trouble: bool,
    machine: &Machine,
    old: &Backend,
    load: &mut Load,
    record: &Record,
) -> std::io::Result<(Backend, u64)> {
    if !has_trouble {
        return Ok((old.clone(), u64::MAX));
    }
    let crashed = Instant::now();
    old.crash();
    load.run(RESTART_TIME.saturating_sub(crashed.elapsed()));
    let mut identity = machine.identity(&format!("i-{}-again", machine.name));
    identity.warmup = WARMUP;
    identity.first_beat_after = FIRST_BEAT_AFTER;
    let cold_since = record.now();
    Ok((Backend::start(identity, record)?, cold_since))
}

/// Takes the zone out, and back while its agent is frozen; returns the backend server and since when it is cold.
fn thaw(
    has_trouble: bool,
    fleet: &mut Fleet,
    machine: &Machine,
    backend: &Backend,
    load: &mut Load,
    record: &Record,
) -> (Backend, u64) {
    let key = format!("op/evacuate/{}", machine.zone);
    fleet.store.operate(&key, "{}");
    record.line(&format!("zone {} is taken out", machine.zone));
    load.run(Duration::from_secs(6));
    if has_trouble {
        fleet.freeze(machine);
    }
    load.run(Duration::from_millis(2_000));
    // Between two heartbeats.
    let beats = backend.heartbeats_begun();
    while backend.heartbeats_begun() == beats {
        load.run(Duration::from_millis(10));
    }
    load.run(Duration::from_millis(100));
    let cold_since = record.now();
    backend.become_cold(WARMUP);
    fleet.store.remove(&key);
    record.line(&format!(
        "zone {} is taken back, its backend servers are cold",
        machine.zone
    ));
    load.run(Duration::from_millis(300));
    if has_trouble {
        fleet.wake(machine);
    }
    (backend.clone(), cold_since)
}

/// FAILBACK: more requests in one second than `WarmupPerS` x `ColdOver` + `ColdSlack`.
fn judge(backend: &Backend, cold_since: u64, record: &Record) -> Outcome {
    let limit = WARMUP_PER_S * COLD_OVER + COLD_SLACK;
    let cold = cold_since..cold_since.saturating_add(WARMUP.as_millis() as u64);
    let arrivals: Vec<u64> = backend
        .arrivals()
        .iter()
        .map(|a| a.at_ms)
        .filter(|at| cold.contains(at))
        .collect();
    let in_second = |at: &u64| {
        arrivals
            .iter()
            .filter(|other| (*at..at + 1_000).contains(*other))
            .count()
    };
    let most = arrivals.iter().map(in_second).max().unwrap_or(0);
    record.say(&format!(
        "the cold backend server took {} flows, at most {most} within one second; {limit} are allowed",
        arrivals.len()
    ));
    if most as f64 > limit {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Consumers that open flows at a fixed rate.
struct Load<'a> {
    consumers: &'a [Consumer],
    route: SocketAddrV4,
    count: usize,
}

impl<'a> Load<'a> {
    fn new(consumers: &'a [Consumer], route: SocketAddrV4) -> Self {
        Self {
            consumers,
            route,
            count: 0,
        }
    }

    fn run(&mut self, span: Duration) {
        let start = Instant::now();
        while start.elapsed() < span {
            let consumer = &self.consumers[self.count % self.consumers.len()];
            consumer.open(self.route, &format!("r-{}", self.count));
            self.count += 1;
            sleep(OPEN_INTERVAL.min(span));
        }
    }
}

fn config(route: SocketAddrV4) -> String {
    format!(
        "{{\"Version\":7,\"Routes\":[{{\"Name\":\"r-1\",\"Host\":\"{}\",\"Prefix\":\"/{}/\",\"Type\":\"unsafe\",\"TimeoutMs\":5000,\"TargetLatencyMs\":300,\"Priority\":1,\"Service\":\"core\",\"Attempts\":2}}],\"Services\":[{{\"Name\":\"core\",\"HealthCheck\":\"/health\",\"MaxConns\":2000,\"Protocol\":\"h1\",\"Tls\":false,\"WarmupS\":{:.1},\"WarmupPerS\":{WARMUP_PER_S:.1}}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        route.ip(),
        route.port(),
        WARMUP.as_secs_f64()
    )
}
