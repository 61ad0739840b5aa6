//! All machines that watch the store, and those that watch over them, are lost just before a change.

use std::collections::hash_map::DefaultHasher;
use std::hash::Hasher;
use std::net::SocketAddrV4;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::backend::Backend;
use crate::consumer::{Consumer, Seen};
use crate::fleet::{DATA_PORT, Fleet, Machine};
use crate::record::Record;

/// `ConfigApplyMs` of the sites with as many machines.
const CONFIG_APPLY_MS: u64 = 5_000;
/// Time from the loss to the change.
const CHANGE_AFTER: Duration = Duration::from_millis(20);
/// Machines of the deployment, and those of them that are lost.
const MACHINES: u8 = 45;
const LOST_AGENTS: usize = 16;
/// Interval at which consumers open flows to either route.
const OPEN_INTERVAL: Duration = Duration::from_millis(10);

pub fn play(has_trouble: bool, record: &Record) -> std::io::Result<Outcome> {
    let mut fleet = Fleet::start(record)?;
    let dropped = SocketAddrV4::new([198, 18, 0, 1].into(), 8_080);
    let added = SocketAddrV4::new([198, 18, 0, 2].into(), 8_443);
    fleet.store.operate("op/config", &config(7, dropped));
    // The programs order themselves by a hash of their addresses: the first two frontend machines watch the store.
    let mut numbers: Vec<u8> = (1..=MACHINES).collect();
    numbers.sort_by_key(|number| address_hash(&fleet, *number));
    let last = numbers.pop().unwrap_or(MACHINES);
    let lost_fronts: Vec<Machine> = numbers
        .drain(..2)
        .map(|n| fleet.machine(n, "za", None))
        .collect();
    let front = fleet.machine(last, "za", None);
    let sides: Vec<Machine> = numbers
        .iter()
        .map(|n| fleet.machine(*n, "za", Some("core")))
        .collect();
    for machine in lost_fronts.iter().chain([&front]).chain(&sides) {
        fleet.start_process(machine)?;
    }
    let mut backends = Vec::new();
    for side in &sides {
        backends.push(Backend::start(
            side.identity(&format!("i-{}", side.name)),
            record,
        )?);
    }
    if !fleet.wait_ready(&[&front], Duration::from_secs(15)) {
        return Ok(Outcome::NotRun(
            "the frontend machine is not ready".to_owned(),
        ));
    }
    let consumer = Consumer::start(fleet.ip(101), DATA_PORT, vec![front.data()], record)?;
    sleep(Duration::from_secs(8));
    load(&consumer, [dropped, added], Duration::from_secs(1));
    if has_trouble {
        for machine in lost_fronts.iter().chain(&sides[..LOST_AGENTS]) {
            fleet.kill(machine);
        }
        backends[..LOST_AGENTS].iter().for_each(Backend::crash);
        sleep(CHANGE_AFTER);
    }
    fleet.store.operate("op/config", &config(8, added));
    let acknowledged = record.now();
    record.say("version 8 is acknowledged, which drops one route and adds another");
    load(&consumer, [dropped, added], Duration::from_secs(12));
    sleep(Duration::from_secs(2));
    if let Some(end) = fleet.has_own_end() {
        return Ok(Outcome::NotRun(format!("a process ended by itself: {end}")));
    }

    // CONFIG: requests that were sent later than the limit, and run with the dropped route.
    let late = acknowledged + CONFIG_APPLY_MS;
    let arrivals = backends.iter().flat_map(Backend::arrivals);
    let wrong: Vec<u64> = arrivals
        .filter(|a| a.route == dropped && a.at_ms > late + 50)
        .map(|a| a.at_ms - acknowledged)
        .collect();
    let is_refused = |e: &crate::consumer::Event| e.route == added && e.seen == Seen::NotOpened;
    let refused = consumer
        .events()
        .into_iter()
        .filter(|e| is_refused(e) && e.at_ms > late + 50)
        .count();
    record.say(&format!(
        "{} flows were taken on the dropped route, the last one {} ms after the acknowledgement ({CONFIG_APPLY_MS} are allowed); {refused} were refused on the added one",
        wrong.len(),
        wrong.iter().max().unwrap_or(&0)
    ));
    Ok(if wrong.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    })
}

/// The hash by which the programs order addresses: SipHash 1-3 with a key of zero.
fn address_hash(fleet: &Fleet, number: u8) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(&fleet.ip(number).octets());
    hasher.finish()
}

/// Opens flows to the routes in turn.
fn load(consumer: &Consumer, routes: [SocketAddrV4; 2], span: Duration) {
    let start = Instant::now();
    let mut count = 0;
    while start.elapsed() < span {
        consumer.open(routes[count % 2], &format!("r-{count}"));
        count += 1;
        sleep(OPEN_INTERVAL);
    }
}

fn config(version: u64, route: SocketAddrV4) -> String {
    format!(
        "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"r-{version}\",\"Host\":\"{}\",\"Prefix\":\"/{}/\",\"Type\":\"unsafe\",\"TimeoutMs\":5000,\"TargetLatencyMs\":300,\"Priority\":1,\"Service\":\"core\",\"Attempts\":2}}],\"Services\":[{{\"Name\":\"core\",\"HealthCheck\":\"/health\",\"MaxConns\":2000,\"Protocol\":\"h1\",\"Tls\":false,\"WarmupS\":2.0,\"WarmupPerS\":0.0}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        route.ip(),
        route.port()
    )
}
