//! Plays one case: the project's programs as processes, with stand-ins of consumers, backends, routers
//! and the platform's store, on loopback addresses.
//!
//! Usage: `stand CASE FOLDER RECORD`, in the project's root. `TROUBLE=0` leaves the disruption out. It exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod backend;
mod consumer;
mod packet;
mod platform;
mod process;
mod record;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use backend::{Backend, Place, Seen, now_ms};
use consumer::{Consumers, Kind, Router};
use platform::{Store, call};
use process::{Net, Node, Process, SIGKILL};
use record::Record;

/// The bounds of the settings.
const CONTACT: Duration = Duration::from_millis(4_000);
const CONFIG_APPLY: Duration = Duration::from_millis(5_000);
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
const IDLE_TIMEOUT: Duration = Duration::from_millis(15_000);
const FLOW_MAX: Duration = Duration::from_secs(60);
const HEARTBEAT: Duration = Duration::from_millis(1_200);

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A deployment that runs.
struct Stage {
    net: Net,
    folder: PathBuf,
    record: Record,
    store: Store,
    seen: Arc<Mutex<Seen>>,
    nodes: Vec<Process>,
    contacts: Vec<Ipv4Addr>,
    router: Option<Router>,
}

impl Stage {
    fn new(folder: &Path, record: &Record) -> Stage {
        Stage {
            net: Net::find(),
            folder: folder.to_owned(),
            record: record.clone(),
            store: Store::default(),
            seen: Arc::default(),
            nodes: Vec::new(),
            contacts: Vec::new(),
            router: None,
        }
    }

    fn route(&self) -> (u32, u16) {
        (u32::from(self.net.ip(1250)), 443)
    }

    /// The operator writes a configuration whose one route leads to `service`; returns when the store
    /// acknowledged it.
    fn configure(&self, version: u32, service: &str, warmup_s: f64, warmup_per_s: f64) -> Instant {
        let host = self.net.ip(1250);
        let services = ["bookings", "packs"].map(|name| {
            format!(
                "{{\"Name\":\"{name}\",\"HealthCheck\":\"/health\",\"MaxConns\":2000,\"Protocol\":\"h1\",\"Tls\":false,\"WarmupS\":{warmup_s:.1},\"WarmupPerS\":{warmup_per_s:.1}}}"
            )
        });
        let text = format!(
            "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"r-1\",\"Host\":\"{host}\",\"Prefix\":\"/443/\",\"Type\":\"safe\",\"TimeoutMs\":1500,\"TargetLatencyMs\":150,\"Priority\":2,\"Service\":\"{service}\",\"Attempts\":2}}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
            services.join(",")
        );
        self.store.put("op/config", &text);
        let now = Instant::now();
        self.record.line_at(
            now,
            format!("version {version} acknowledged: the route leads to {service}"),
        );
        now
    }

    /// Starts the nodes: balancers as (host, zone) and agents as (host, zone, service).
    fn start(&mut self, balancers: &[(u16, &str)], agents: &[(u16, &str, &str)]) {
        let balancer = |&(host, zone): &(u16, &str)| Node {
            name: format!("balancer-{host}"),
            ip: self.net.ip(host),
            zone: zone.to_owned(),
            service: None,
        };
        let agent = |&(host, zone, service): &(u16, &str, &str)| Node {
            name: format!("agent-{host}"),
            ip: self.net.ip(host),
            zone: zone.to_owned(),
            service: Some(service.to_owned()),
        };
        let fronts: Vec<Node> = balancers.iter().map(balancer).collect();
        let all: Vec<Node> = fronts
            .iter()
            .cloned()
            .chain(agents.iter().map(agent))
            .collect();
        self.contacts = fronts.iter().take(3).map(|n| n.ip).collect();
        for node in &all {
            self.store.serve(self.net.store_of(node.ip));
            self.nodes.push(Process::start(
                &self.net,
                node,
                &self.contacts,
                &self.folder,
            ));
        }
        let list: Vec<(Ipv4Addr, String)> = fronts.iter().map(|n| (n.ip, n.zone.clone())).collect();
        self.router = Some(Router::start(&list, self.net.data(), self.net.readiness()));
    }

    /// Waits until all balancers are ready.
    fn wait_ready(&self, count: usize) {
        let end = Instant::now() + Duration::from_secs(15);
        while self.router().ready() < count {
            if Instant::now() > end {
                self.fail("the balancers are not ready after 15 s");
            }
            sleep(ms(50));
        }
        sleep(ms(2_500));
    }

    fn router(&self) -> &Router {
        self.router.as_ref().expect("a router")
    }

    fn node(&mut self, host: u16) -> &mut Process {
        let ip = self.net.ip(host);
        self.nodes
            .iter_mut()
            .find(|p| p.node.ip == ip)
            .expect("a node")
    }

    fn place(&self, host: u16) -> Place {
        let ip = self.net.ip(host);
        let node = &self
            .nodes
            .iter()
            .find(|p| p.node.ip == ip)
            .expect("a node")
            .node;
        Place {
            name: format!("backend-{host}"),
            service: node.service.clone().unwrap_or_default(),
            zone: node.zone.clone(),
            app: SocketAddrV4::new(ip, self.net.app()),
            outbound: SocketAddrV4::new(ip, self.net.outbound()),
            control: SocketAddrV4::new(ip, self.net.control()),
            capacity: 8,
            heartbeat: HEARTBEAT,
        }
    }

    fn start_backend(&self, host: u16, cold: Duration) -> Backend {
        Backend::start(&self.place(host), cold, &self.seen, &self.record)
    }

    fn consumers(&self, kinds: Vec<Kind>) -> Consumers {
        let hosts: Vec<SocketAddrV4> = (0..8)
            .map(|i| SocketAddrV4::new(self.net.ip(1001 + i), self.net.data()))
            .collect();
        Consumers::start(&hosts, kinds, self.router(), &self.seen, &self.record)
    }

    fn pool(&self, zone: &str, flows: usize, every: Duration, pause: Duration) -> Kind {
        Kind {
            name: "pool",
            zone: zone.to_owned(),
            route: self.route(),
            every,
            pause: Some(pause),
            flows,
            requests: u32::MAX,
            bytes: 0,
            rest: None,
        }
    }

    fn fresh(&self, zone: &str, every: Duration) -> Kind {
        Kind {
            name: "fresh",
            zone: zone.to_owned(),
            route: self.route(),
            every,
            pause: None,
            flows: 0,
            requests: 1,
            bytes: 0,
            rest: None,
        }
    }

    fn fail(&self, text: &str) -> ! {
        self.record.say(format!("the case could not run: {text}"));
        self.record.flush();
        for pid in std::fs::read_to_string(self.folder.join("pids"))
            .unwrap_or_default()
            .lines()
        {
            self.record
                .line(format!("left to the script: process {pid}"));
        }
        std::process::exit(2);
    }
}

/// FLOW (a): resets of open flows that their backend did not send. Not counted are flows of the backend
/// `harmed` or that went through the node `harmed`, which had an impairment until `healed`, those that are
/// too old and those that were idle for too long.
fn count_resets(consumers: &Consumers, harmed: Option<(&str, Instant)>, stage: &Stage) -> usize {
    let record = &stage.record;
    let log = consumers.log.lock().unwrap();
    let mut count = 0;
    for reset in &log.resets {
        let Some(holder) = &reset.holder else {
            continue;
        };
        let through = stage.nodes.iter().find(|p| p.node.ip == *reset.node.ip());
        let through = through.map_or("", |p| &p.node.name);
        let is_harmed = harmed.is_some_and(|(name, healed)| {
            (name == holder || name == through) && reset.at < healed + CONTACT
        });
        let is_old = reset.at - reset.opened > FLOW_MAX;
        let is_idle = reset.at - reset.last_packet > IDLE_TIMEOUT;
        if !is_harmed && !is_old && !is_idle {
            count += 1;
            record.line_at(
                reset.at,
                format!(
                    "FLOW: {} through {through} was reset while {holder} lives and holds it",
                    reset.flow
                ),
            );
        }
    }
    record.say(format!(
        "answered {}, failed {}, refused {}, resets of open flows {}, of which break FLOW {count}",
        log.answered,
        log.failed,
        log.refused,
        log.resets.len()
    ));
    count
}

/// A backend crashes and starts again after 4.5 s; later balancers are stopped and started in turn.
fn offered(stage: &mut Stage, trouble: bool) -> usize {
    stage.configure(3, "bookings", 2.0, 0.0);
    stage.start(
        &[(11, "edi-a"), (12, "edi-a"), (13, "edi-b")],
        &[
            (31, "edi-a", "bookings"),
            (32, "edi-a", "bookings"),
            (33, "edi-b", "bookings"),
        ],
    );
    sleep(ms(500));
    let mut first = Some(stage.start_backend(31, ms(0)));
    let _others = [
        stage.start_backend(32, ms(0)),
        stage.start_backend(33, ms(0)),
    ];
    stage.wait_ready(3);
    let mut consumers = stage.consumers(vec![stage.pool("edi-a", 800, ms(2), ms(3_000))]);
    sleep(ms(600));
    let start = Instant::now();
    if trouble {
        stage.record.say("backend-31 crashes");
        first.take().unwrap().crash();
    }
    sleep(ms(4_500));
    let healed = Instant::now();
    if trouble {
        stage.record.say("backend-31 starts again");
        first = Some(stage.start_backend(31, ms(2_000)));
    }
    for (host, at) in [(11, 9_500), (12, 13_000)] {
        sleep((start + ms(at)).saturating_duration_since(Instant::now()));
        stage
            .record
            .say(format!("balancer-{host} gets SIGTERM, planned"));
        stage.node(host).stop();
        stage.node(host).restart();
        stage.record.say(format!("balancer-{host} starts again"));
    }
    sleep((start + ms(18_000)).saturating_duration_since(Instant::now()));
    consumers.stop();
    drop(first);
    count_resets(&consumers, trouble.then_some(("backend-31", healed)), stage)
}

/// A node beside a backend is killed while the backend is cold.
fn cold(stage: &mut Stage, trouble: bool) -> usize {
    const PER_S: f64 = 20.0;
    stage.configure(3, "bookings", 8.0, PER_S);
    stage.start(
        &[(11, "edi-a"), (12, "edi-a"), (13, "edi-b")],
        &[
            (31, "edi-a", "bookings"),
            (32, "edi-a", "bookings"),
            (33, "edi-b", "bookings"),
        ],
    );
    sleep(ms(500));
    let _others = [
        stage.start_backend(32, ms(0)),
        stage.start_backend(33, ms(0)),
    ];
    stage.wait_ready(3);
    let mut consumers = stage.consumers(vec![stage.fresh("edi-a", ms(4))]);
    sleep(ms(1_000));
    stage.record.say("backend-31 starts during traffic");
    let cold_start = Instant::now();
    let _first = stage.start_backend(31, ms(8_000));
    let mut killed = !trouble;
    while cold_start.elapsed() < ms(8_500) {
        sleep(ms(5));
        if killed || cold_start.elapsed() < ms(1_500) || cold_start.elapsed() > ms(6_800) {
            continue;
        }
        let now = Instant::now();
        let seen = stage.seen.lock().unwrap();
        let taken = seen
            .taken
            .iter()
            .filter(|t| t.backend == "backend-31" && now - t.at < ms(1_000));
        let times: Vec<Instant> = taken.map(|t| t.at).collect();
        let next_beat = seen.beats.get("backend-31").map(|at| *at + HEARTBEAT);
        drop(seen);
        let recent = times.iter().filter(|at| now - **at < ms(350)).count();
        let until_beat = next_beat.map_or(ms(0), |at| at.saturating_duration_since(now));
        if recent >= 20 && until_beat > ms(250) && until_beat < ms(500) {
            stage
                .record
                .say("agent-31 is killed, and starts again after 150 ms");
            stage.node(31).signal(SIGKILL);
            sleep(ms(150));
            stage.node(31).restart();
            killed = true;
        }
    }
    consumers.stop();
    if !killed {
        stage.fail("no moment for the kill");
    }
    let log = consumers.log.lock().unwrap();
    let seen = stage.seen.lock().unwrap();
    let cold = seen
        .taken
        .iter()
        .filter(|t| t.backend == "backend-31" && t.at < t.cold_until);
    let requests: Vec<(Instant, Instant)> = cold.map(|t| (log.sent[&t.flow], t.at)).collect();
    let limit = PER_S * COLD_OVER + COLD_SLACK;
    let in_window = |from: Instant| {
        let inside = |at: Instant| at >= from && at < from + ms(1_000);
        requests
            .iter()
            .filter(|(sent, at)| inside(*sent) && inside(*at))
            .count()
    };
    let most = requests
        .iter()
        .map(|(sent, _)| in_window(*sent))
        .max()
        .unwrap_or(0);
    stage.record.say(format!(
        "answered {}, failed {}, refused {}; the cold backend got {} requests, at most {most} in one second, where {limit} are allowed",
        log.answered,
        log.failed,
        log.refused,
        requests.len()
    ));
    if requests.len() < 40 {
        drop(seen);
        stage.fail("too few requests reach the cold backend");
    }
    usize::from(most as f64 > limit)
}

/// Two of three balancers are removed, without SIGTERM, just before a change of the configuration.
fn watchers(stage: &mut Stage, trouble: bool) -> usize {
    stage.configure(3, "bookings", 2.0, 0.0);
    let service = |host: u16| if host < 67 { "bookings" } else { "packs" };
    let agents: Vec<(u16, &str, &str)> = (31..=70).map(|h| (h, "edi-a", service(h))).collect();
    stage.start(&[(11, "edi-a"), (12, "edi-a"), (13, "edi-a")], &agents);
    sleep(ms(500));
    let _backends: Vec<Backend> = agents
        .iter()
        .map(|agent| stage.start_backend(agent.0, ms(0)))
        .collect();
    stage.wait_ready(3);
    let mut consumers = stage.consumers(vec![stage.fresh("edi-a", ms(8))]);
    sleep(ms(5_000));
    let watched = |host: u16| {
        stage
            .store
            .is_watched(stage.net.store_of(stage.net.ip(host)))
    };
    let hosts: Vec<u16> = [11, 12, 13]
        .into_iter()
        .filter(|host| watched(*host))
        .collect();
    stage
        .record
        .say(format!("balancers that watch the store: {hosts:?}"));
    if hosts.len() > 2 {
        stage.fail("three balancers watch the store");
    }
    if trouble {
        for host in &hosts {
            stage.node(*host).signal(SIGKILL);
        }
        stage.record.say("the two are removed for good");
    }
    sleep(ms(20));
    let acked = stage.configure(5, "packs", 2.0, 0.0);
    sleep(ms(9_000));
    consumers.stop();
    let log = consumers.log.lock().unwrap();
    let seen = stage.seen.lock().unwrap();
    let late = seen.taken.iter().filter(|t| t.service == "bookings");
    let late: Vec<Duration> = late
        .filter_map(|t| log.sent[&t.flow].checked_duration_since(acked))
        .filter(|after| *after > CONFIG_APPLY)
        .collect();
    let last = late.iter().max().copied().unwrap_or_default();
    stage.record.say(format!(
        "answered {}, failed {}, refused {}; sent later than 5000 ms after the acknowledgement and run by the old service: {}, the last one {} ms after it",
        log.answered,
        log.failed,
        log.refused,
        late.len(),
        last.as_millis()
    ));
    late.len()
}

/// A balancer is frozen for 3.5 s while flows open; SYNs wait in its socket meanwhile. The consumers then
/// pause for 7 s.
fn late(stage: &mut Stage, trouble: bool) -> usize {
    stage.configure(3, "bookings", 2.0, 0.0);
    stage.start(
        &[(11, "edi-a"), (12, "edi-a"), (13, "edi-b")],
        &[(31, "edi-a", "bookings"), (32, "edi-b", "bookings")],
    );
    sleep(ms(500));
    let _backends = [31, 32].map(|host| stage.start_backend(host, ms(0)));
    stage.wait_ready(3);
    if trouble {
        stage.record.say("balancer-11 is frozen");
        stage.node(11).signal(process::SIGSTOP);
    }
    let start = Instant::now();
    sleep(ms(300));
    let downloads = Kind {
        bytes: 240_000,
        rest: Some((ms(7_000), 5)),
        ..stage.pool("edi-a", 40, ms(25), ms(20))
    };
    let mut consumers = stage.consumers(vec![downloads]);
    sleep((start + ms(3_500)).saturating_duration_since(Instant::now()));
    let woken = Instant::now();
    if trouble {
        stage.node(11).signal(process::SIGCONT);
        stage.record.say("balancer-11 wakes");
    }
    sleep(ms(9_000));
    consumers.stop();
    count_resets(&consumers, trouble.then_some(("balancer-11", woken)), stage)
}

/// A backend leaves in good order: planned work only.
fn leaving(stage: &mut Stage, trouble: bool) -> usize {
    stage.configure(3, "bookings", 2.0, 0.0);
    stage.start(
        &[(11, "edi-a"), (12, "edi-a"), (13, "edi-b")],
        &[
            (31, "edi-a", "bookings"),
            (32, "edi-a", "bookings"),
            (33, "edi-b", "bookings"),
        ],
    );
    sleep(ms(500));
    let first = stage.start_backend(31, ms(0));
    let _others = [
        stage.start_backend(32, ms(0)),
        stage.start_backend(33, ms(0)),
    ];
    stage.wait_ready(3);
    let mut consumers = stage.consumers(vec![stage.pool("edi-a", 60, ms(50), ms(9_000))]);
    sleep(ms(6_000));
    if trouble {
        stage.record.say("backend-31 is draining");
        first.drain();
        sleep(ms(4_000));
        stage.record.say("backend-31 stops listening over TCP");
        first.stop_listening();
        sleep(ms(2_000));
        stage.record.say("backend-31 leaves");
        first.leave();
        sleep(ms(1_000));
    } else {
        sleep(ms(10_000));
        drop(first);
    }
    consumers.stop();
    count_resets(&consumers, None, stage)
}

/// Another writer sends one heartbeat for a service that is not named here.
fn writer(stage: &mut Stage, trouble: bool) -> usize {
    stage.configure(3, "bookings", 2.0, 0.0);
    stage.start(
        &[(11, "edi-a"), (12, "edi-b")],
        &[(31, "edi-a", "bookings"), (32, "edi-b", "bookings")],
    );
    sleep(ms(500));
    let _backends = [31, 32].map(|host| stage.start_backend(host, ms(0)));
    stage.wait_ready(2);
    let mut consumers = stage.consumers(vec![stage.pool("edi-a", 40, ms(20), ms(300))]);
    sleep(ms(4_000));
    if trouble {
        let place = stage.place(31);
        let body = format!(
            "{{\"Service\":\"kiosk-cache\",\"Address\":\"{}\",\"Zone\":\"edi-a\",\"Version\":\"v1\",\"Capacity\":4,\"State\":\"ready\",\"WarmupLeftMs\":0,\"Seq\":1,\"born\":{}}}",
            place.app,
            now_ms()
        );
        let status = call(place.control, "PUT", "/v1/backends/i-other", &body);
        stage.record.say(format!(
            "a heartbeat of another writer for the service kiosk-cache: {status:?}"
        ));
    }
    sleep(ms(4_000));
    consumers.stop();
    count_resets(&consumers, None, stage)
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, record] = args.as_slice() else {
        println!("usage: stand CASE FOLDER RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(Path::new(record));
    let mut stage = Stage::new(Path::new(folder), &record);
    let broken = match case.as_str() {
        "offered" => offered(&mut stage, trouble),
        "cold" => cold(&mut stage, trouble),
        "watchers" => watchers(&mut stage, trouble),
        "late" => late(&mut stage, trouble),
        "leaving" => leaving(&mut stage, trouble),
        "writer" => writer(&mut stage, trouble),
        _ => stage.fail("no such case"),
    };
    let altered = stage.seen.lock().unwrap().altered;
    record.say(format!("altered packets at backends: {altered}"));
    record.say(if broken > 0 {
        "the rule was broken"
    } else {
        "the rule held"
    });
    record.flush();
    drop(stage);
    std::process::exit(i32::from(broken > 0));
}
