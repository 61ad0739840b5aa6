//! What happens during a run, and when.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use buckthornlink_fakes::{Callers, Fleet};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// Time after an accepted zone-out from which no packet may come.
const ZONE_MARGIN: Duration = Duration::from_secs(2);

/// One thing that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A balancer joins and the oldest leaves.
    ReplaceBalancer,
    /// The oldest balancer is killed and another one joins.
    KillBalancer,
    /// A site drains and stops.
    Drain(usize),
    /// A site's agent and backend server are killed.
    Kill(usize),
    /// A site that was stopped starts again, cold.
    Start(usize),
    /// A backend server turns cold without a word.
    SilentRestart(usize),
    /// Operators take a zone out.
    ZoneOut(usize),
    /// Operators bring a zone back.
    ZoneIn(usize),
    /// The store stops answering.
    StoreDown,
    /// The store answers again.
    StoreUp,
    /// The answer to the next write is lost.
    LoseAnswer,
}

/// What happens when, in order.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    steps: Vec<(Duration, Fault)>,
}

impl Plan {
    /// The changes that operators plan. With a store outage, zone edits stay clear of it.
    pub fn planned(length: Duration, has_outage: bool) -> Self {
        let mut plan = Self::default();
        let at = |share: f64| length.mul_f64(share);
        if has_outage {
            plan.add(Duration::from_secs(1), Fault::ZoneOut(1));
            plan.add(Duration::from_secs(3), Fault::ReplaceBalancer);
            plan.add(Duration::from_secs(4), Fault::Drain(0));
            plan.add(Duration::from_secs(6), Fault::Start(0));
            plan.add(Duration::from_millis(8_500), Fault::ZoneIn(1));
            return plan;
        }
        plan.add(at(0.08), Fault::ReplaceBalancer);
        plan.add(at(0.18), Fault::Drain(0));
        plan.add(at(0.38), Fault::Start(0));
        plan.add(at(0.50), Fault::ZoneOut(1));
        plan.add(at(0.78), Fault::ZoneIn(1));
        plan
    }

    /// Planned changes and failures, two of them at once.
    pub fn all(length: Duration, seed: u64, has_outage: bool) -> Self {
        let mut plan = Self::planned(length, has_outage);
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut sites = [2, 3, 4, 5, 6, 7, 8];
        sites.shuffle(&mut rng);
        let mut at = |share: f64| length.mul_f64(share + rng.random_range(0.0..0.05));
        plan.add(at(0.12), Fault::KillBalancer);
        plan.add(at(0.25), Fault::Kill(sites[0]));
        plan.add(at(0.40), Fault::SilentRestart(sites[1]));
        plan.add(at(0.48), Fault::LoseAnswer);
        let both = at(0.60);
        plan.add(both, Fault::Kill(sites[2]));
        plan.add(both, Fault::KillBalancer);
        plan.add(at(0.70), Fault::Start(sites[0]));
        plan.add(at(0.82), Fault::Start(sites[2]));
        if !has_outage {
            plan.add(at(0.62), Fault::StoreDown);
            plan.add(at(0.70), Fault::StoreUp);
        }
        plan
    }

    /// Adds one thing.
    pub fn add(&mut self, at: Duration, fault: Fault) {
        self.steps.push((at, fault));
        self.steps.sort_by_key(|(at, _)| *at);
    }
}

/// Carries a plan out.
pub struct Runner {
    steps: VecDeque<(Duration, Fault)>,
    zone_out: Option<ZoneWatch>,
}

/// A zone that was taken out, and the datagrams that its agents got since.
struct ZoneWatch {
    zone: &'static str,
    accepted: Instant,
    datagrams: HashMap<SocketAddrV4, u64>,
    last: Option<Instant>,
    is_over: bool,
}

impl Runner {
    pub fn new(plan: Plan) -> Self {
        Self {
            steps: plan.steps.into(),
            zone_out: None,
        }
    }

    /// Does what is due; returns a note about it.
    pub async fn step(
        &mut self,
        elapsed: Duration,
        fleet: &mut Fleet,
        callers: &Callers,
    ) -> anyhow::Result<Option<String>> {
        self.watch_zone(fleet);
        let Some((_, fault)) = self.steps.pop_front_if(|(at, _)| *at <= elapsed) else {
            return Ok(None);
        };
        let note = self.perform(fault, fleet, callers).await?;
        Ok(Some(note))
    }

    /// Time from the acceptance of a zone-out to the last datagram or request that reached an
    /// agent or backend server of the zone.
    pub fn last_packet(&self, fleet: &Fleet) -> Option<Duration> {
        let watch = self.zone_out.as_ref()?;
        let sites = fleet.hosts().iter().filter(|s| s.zone() == watch.zone);
        let names: Vec<String> = sites.map(|s| s.name().to_owned()).collect();
        let arrival = fleet
            .request_log()
            .last_arrival(&names)
            .filter(|_| !watch.is_over);
        let last = arrival
            .max(watch.last)
            .filter(|last| *last > watch.accepted);
        Some(last.map_or(Duration::ZERO, |last| last - watch.accepted))
    }

    async fn perform(
        &mut self,
        fault: Fault,
        fleet: &mut Fleet,
        callers: &Callers,
    ) -> anyhow::Result<String> {
        let zones = zones(fleet);
        Ok(match fault {
            Fault::ReplaceBalancer => {
                fleet.add_balancer().await?;
                fleet.remove_balancer(false).await;
                "a balancer was replaced".to_owned()
            }
            Fault::KillBalancer => {
                fleet.remove_balancer(true).await;
                fleet.add_balancer().await?;
                "a balancer was killed and another joined".to_owned()
            }
            Fault::Drain(index) => {
                let is_drained = fleet.drain_host(index).await;
                let name = fleet.hosts()[index].name();
                callers.set_cause(name, "its agent had to stop before all flows moved");
                format!("{name} left, drained: {is_drained}")
            }
            Fault::Kill(index) => {
                fleet.kill_host(index);
                let name = fleet.hosts()[index].name();
                callers.set_cause(name, "its agent was killed");
                format!("{name} was killed")
            }
            Fault::Start(index) => {
                fleet.start_host(index).await?;
                format!("{} started cold", fleet.hosts()[index].name())
            }
            Fault::SilentRestart(index) => {
                let site = &fleet.hosts()[index];
                if let Some(backend) = site.backend() {
                    backend.restart();
                }
                format!("{} turned cold without a word", site.name())
            }
            Fault::ZoneOut(index) => {
                callers.set_zone_out(zones[index], true);
                fleet.set_zone(zones[index], true).await?;
                self.zone_out = Some(ZoneWatch::start(zones[index], fleet));
                format!("zone {} was taken out", zones[index])
            }
            Fault::ZoneIn(index) => {
                self.watch_zone(fleet);
                if let Some(watch) = &mut self.zone_out {
                    watch.end(fleet);
                }
                fleet.set_zone(zones[index], false).await?;
                callers.set_zone_out(zones[index], false);
                format!("zone {} was brought back", zones[index])
            }
            Fault::StoreDown => {
                fleet.store().set_available(false);
                "the store went down".to_owned()
            }
            Fault::StoreUp => {
                fleet.store().set_available(true);
                "the store came back".to_owned()
            }
            Fault::LoseAnswer => {
                fleet.store().lose_responses(1);
                "the answer to the next write will be lost".to_owned()
            }
        })
    }

    fn watch_zone(&mut self, fleet: &Fleet) {
        if let Some(watch) = self.zone_out.as_mut().filter(|w| !w.is_over) {
            watch.look(fleet);
        }
    }
}

impl ZoneWatch {
    fn start(zone: &'static str, fleet: &Fleet) -> Self {
        Self {
            zone,
            accepted: Instant::now(),
            datagrams: datagrams(zone, fleet),
            last: None,
            is_over: false,
        }
    }

    fn look(&mut self, fleet: &Fleet) {
        let datagrams = datagrams(self.zone, fleet);
        let has_grown = |(agent, count): (&SocketAddrV4, &u64)| {
            *count > self.datagrams.get(agent).copied().unwrap_or(0)
        };
        if datagrams.iter().any(has_grown) {
            self.last = Some(Instant::now());
        }
        self.datagrams = datagrams;
    }

    /// Closes the watch as the zone comes back; what backend servers got until then counts.
    fn end(&mut self, fleet: &Fleet) {
        let sites = fleet.hosts().iter().filter(|s| s.zone() == self.zone);
        let names: Vec<String> = sites.map(|s| s.name().to_owned()).collect();
        self.last = fleet.request_log().last_arrival(&names).max(self.last);
        self.is_over = true;
        let late = self.last.filter(|last| *last > self.accepted + ZONE_MARGIN);
        if late.is_some() {
            log::error!("zone {} got packets after {ZONE_MARGIN:?}", self.zone);
        }
    }
}

/// Datagrams of flows and openers that each agent of a zone got so far.
fn datagrams(zone: &str, fleet: &Fleet) -> HashMap<SocketAddrV4, u64> {
    let sites = fleet.hosts().iter().filter(|s| s.zone() == zone);
    let agents = sites.filter_map(|s| s.agent());
    agents.map(|a| (a.link(), a.stats().datagrams)).collect()
}

/// Zones of the fleet, in the order of its first sites.
fn zones(fleet: &Fleet) -> Vec<&'static str> {
    let mut zones = Vec::new();
    for site in fleet.hosts() {
        if !zones.contains(&site.zone()) {
            zones.push(site.zone());
        }
    }
    zones
}
