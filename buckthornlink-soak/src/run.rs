//! One run: the programs, the ends, the faults and the verdict.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use rustix::process::Signal;
use tokio::sync::{Mutex, mpsc};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

use buckthornlink_standin::{KvServer, Operator, ResponseMode, RouteSpec};

use crate::ends::{Order, Rotation, run_backend, run_caller};
use crate::ledger::{Ledger, Summary};
use crate::link::{Link, Quality};
use crate::plan::{Entry, Fault, draw};
use crate::process::{Ending, Program};
use crate::site::{Job, SERVICES, Site, ZONES};

/// Time that the programs have before callers come.
const LEAD: Duration = Duration::from_secs(2);
/// Interval at which programs are looked at.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);
/// A reader stalls, and a zone is out, for this many times as long as other faults last.
const STALL_FACTOR: u32 = 3;
const ZONE_FACTOR: u32 = 3;
/// Time for which a flow may be idle, in milliseconds.
const IDLE_MS: u64 = 15_000;

/// What a run consists of.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Folder of the programs.
    pub programs: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Length of the run.
    pub length: Duration,
    /// Balancers, agents and callers.
    pub sizes: [u8; 3],
}

/// Plays a seed on a block of loopback addresses.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or a program cannot be started.
pub async fn play(setup: &Setup, seed: u64, block: u8) -> anyhow::Result<Summary> {
    let folder = setup.folder.join(format!("seed-{seed}"));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder)?;
    let [balancers, agents, callers] = setup.sizes;
    let site = Site::new(block, balancers, agents);
    let scene = Arc::new(Scene::open(site, &setup.programs, &folder, seed).await?);
    let mut ends = JoinSet::new();
    scene.spawn_ends(&mut ends, callers, seed).await;
    let mut faults = JoinSet::new();
    let started = tokio::time::Instant::now();
    for entry in draw(seed, setup.length) {
        let scene = Arc::clone(&scene);
        faults.spawn(async move {
            sleep_until(started + entry.at).await;
            scene.strike(entry).await;
        });
    }
    while started.elapsed() < setup.length {
        sleep(WATCH_INTERVAL).await;
        scene.look().await;
    }
    while faults.join_next().await.is_some() {}
    while let Some(ended) = ends.try_join_next() {
        scene.ledger.violate(format!("an end stopped: {ended:?}"));
    }
    let summary = scene.ledger.close();
    scene.end().await;
    Ok(summary)
}

/// Everything that faults can strike.
struct Scene {
    site: Site,
    ledger: Ledger,
    store: KvServer,
    operator: Operator,
    version: Mutex<u64>,
    programs: Vec<Mutex<Program>>,
    links: Vec<Link>,
    orders: Mutex<Vec<mpsc::Sender<Order>>>,
}

impl Scene {
    async fn open(site: Site, programs: &Path, folder: &Path, seed: u64) -> anyhow::Result<Self> {
        let store = KvServer::bind(site.store()).await?;
        let ledger = Ledger::new(site.balancers().collect());
        let mut links = Vec::new();
        let mut running = Vec::new();
        for instance in &site.instances {
            links.push(Link::bind(instance.store, site.store()).await?);
            let program = Program::spawn(&site, instance, programs, folder)?;
            running.push(Mutex::new(program));
        }
        let scene = Self {
            operator: Operator::new(store.clone()),
            version: Mutex::new(seed % 7 + 1),
            programs: running,
            orders: Mutex::new(Vec::new()),
            site,
            ledger,
            store,
            links,
        };
        scene.configure(SERVICES[0]).await;
        Ok(scene)
    }

    /// Starts backend servers, and callers after them.
    async fn spawn_ends(&self, ends: &mut JoinSet<anyhow::Result<()>>, callers: u8, seed: u64) {
        let mut senders = self.orders.lock().await;
        for instance in &self.site.instances {
            if let Job::Agent(service) = instance.job {
                let (sender, orders) = mpsc::channel(4);
                senders.push(sender);
                let (instance, ledger) = (instance.clone(), self.ledger.clone());
                ends.spawn(run_backend(instance, service, orders, ledger, seed));
            }
        }
        sleep(LEAD).await;
        let rotation = Rotation::spawn(&self.site);
        for index in 0..callers {
            let (site, rotation) = (self.site.clone(), rotation.clone());
            let ledger = self.ledger.clone();
            ends.spawn(run_caller(site, index, route(), rotation, ledger, seed));
        }
    }

    /// Puts a version in force whose route points to `service`.
    async fn configure(&self, service: &str) {
        let mut version = self.version.lock().await;
        *version += 3;
        let plan = RouteSpec {
            address: route(),
            service: service.to_owned(),
        };
        self.operator
            .configure(*version, &[plan], &SERVICES, IDLE_MS);
        self.ledger.set_target(route(), service);
    }

    /// Reports programs that ended by themselves.
    async fn look(&self) {
        for (program, instance) in self.programs.iter().zip(&self.site.instances) {
            let Ok(mut program) = program.try_lock() else {
                continue;
            };
            if program.has_failed() {
                let name = &instance.name;
                self.ledger.violate(format!("{name} ended by itself"));
                program.kill().await;
                let _ = program.start();
            }
        }
    }

    async fn strike(&self, entry: Entry) {
        let index = entry.target % self.programs.len();
        match entry.fault {
            Fault::Kill => self.kill(index, entry.span).await,
            Fault::KillAll => self.kill_all(entry.span).await,
            Fault::Restart => self.restart(index).await,
            Fault::Pause => self.pause(index, entry.span).await,
            Fault::Reload => self.programs[index].lock().await.reload().await,
            Fault::Stall => self.stall(index, entry.span).await,
            Fault::StoreBusy => self.weather(ResponseMode::Busy, entry.span).await,
            Fault::StoreSilent => self.weather(ResponseMode::Silent, entry.span).await,
            Fault::StoreLossy => self.weather(ResponseMode::Lossy, entry.span).await,
            Fault::StoreLapse => self.lapse(),
            Fault::LinkSlow => self.link(index, Quality::Slow, entry.span).await,
            Fault::LinkSilent => self.link(index, Quality::Silent, entry.span).await,
            Fault::LinkOneWay => self.link(index, Quality::OneWay, entry.span).await,
            Fault::LinkReset => self.link(index, Quality::Reset, entry.span).await,
            Fault::Crash => self.order(entry.target, Order::Crash(entry.span)).await,
            Fault::Replace => self.order(entry.target, Order::Replace(entry.span)).await,
            Fault::Move => self.move_route(entry.span).await,
            Fault::ZoneOut => {
                let zone = ZONES[entry.target % ZONES.len()];
                self.zone_out(zone, entry.span).await;
            }
        }
    }

    fn ip(&self, index: usize) -> Ipv4Addr {
        self.site.instances[index].ip
    }

    async fn kill(&self, index: usize, span: Duration) {
        let mut program = self.programs[index].lock().await;
        self.ledger.disturb(self.ip(index));
        program.kill().await;
        sleep(span).await;
        self.begin(index, &mut program);
    }

    fn begin(&self, index: usize, program: &mut Program) {
        if let Err(err) = program.start() {
            self.ledger.violate(format!("{err:#}"));
        }
        self.ledger.disturb(self.ip(index));
    }

    async fn kill_all(&self, span: Duration) {
        let mut programs = Vec::new();
        for program in &self.programs {
            programs.push(program.lock().await);
        }
        for (index, program) in programs.iter_mut().enumerate() {
            self.ledger.disturb(self.ip(index));
            program.kill().await;
        }
        sleep(span).await;
        for (index, program) in programs.iter_mut().enumerate() {
            self.begin(index, program);
        }
    }

    /// Ends a process in good order. Balancers are held to their promises all the while.
    async fn restart(&self, index: usize) {
        let mut program = self.programs[index].lock().await;
        let instance = &self.site.instances[index];
        if instance.job != Job::Balancer {
            self.ledger.disturb(instance.ip);
        }
        if program.stop().await == Ending::Overdue {
            let name = &instance.name;
            self.ledger
                .violate(format!("{name} outlives its grace time"));
        }
        self.begin(index, &mut program);
    }

    async fn pause(&self, index: usize, span: Duration) {
        let program = self.programs[index].lock().await;
        self.ledger.disturb(self.ip(index));
        program.signal(Signal::STOP);
        sleep(span).await;
        self.ledger.disturb(self.ip(index));
        program.signal(Signal::CONT);
    }

    async fn stall(&self, index: usize, span: Duration) {
        self.programs[index].lock().await.stall(true);
        sleep(span * STALL_FACTOR).await;
        self.programs[index].lock().await.stall(false);
    }

    async fn weather(&self, weather: ResponseMode, span: Duration) {
        self.store.set_response_mode(weather);
        self.ledger.disturb_store();
        sleep(span).await;
        self.ledger.disturb_store();
        self.store.set_response_mode(ResponseMode::Normal);
    }

    fn lapse(&self) {
        self.ledger.disturb_store();
        self.store.expire_leases();
        self.store.compact();
    }

    async fn link(&self, index: usize, quality: Quality, span: Duration) {
        self.links[index].set(quality);
        self.ledger.disturb_store();
        sleep(span).await;
        self.ledger.disturb_store();
        self.links[index].set(Quality::Good);
    }

    async fn order(&self, target: usize, order: Order) {
        let orders = self.orders.lock().await;
        let _ = orders[target % orders.len()].try_send(order);
    }

    async fn move_route(&self, span: Duration) {
        self.configure(SERVICES[1]).await;
        sleep(span).await;
        self.configure(SERVICES[0]).await;
    }

    async fn zone_out(&self, zone: &str, span: Duration) {
        self.operator.set_zone_out(zone, true);
        self.ledger.set_zone_out(zone, true);
        sleep(span * ZONE_FACTOR).await;
        self.operator.set_zone_out(zone, false);
        self.ledger.set_zone_out(zone, false);
    }

    /// Ends the processes that the run has started.
    async fn end(&self) {
        for program in &self.programs {
            program.lock().await.kill().await;
        }
    }
}

/// Where all callers connect to.
const fn route() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}
