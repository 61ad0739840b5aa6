//! What happens during a run, and when.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use buckthornlink_fakes::{Callers, Fleet};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// Time after an accepted zone-out from which no packet may come.
const ZONE_OUT_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// One thing that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A balancer joins and the oldest leaves.
    ReplaceBalancer,
    /// The oldest balancer is killed and another one joins.
    KillBalancer,
    /// A host drains and stops.
    DrainHost(usize),
    /// A host's agent and backend server are killed.
    KillHost(usize),
    /// A host that was stopped starts again, cold.
    StartHost(usize),
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
    LoseResponse,
}

/// What happens when, in order.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    steps: Vec<(Duration, Fault)>,
}

impl Plan {
    /// The changes that operators plan. With a store outage, zone edits stay clear of it.
    pub fn planned(duration: Duration, has_outage: bool) -> Self {
        let mut plan = Self::default();
        let at = |share: f64| duration.mul_f64(share);
        if has_outage {
            plan.add(Duration::from_secs(1), Fault::ZoneOut(1));
            plan.add(Duration::from_secs(3), Fault::ReplaceBalancer);
            plan.add(Duration::from_secs(4), Fault::DrainHost(0));
            plan.add(Duration::from_secs(6), Fault::StartHost(0));
            plan.add(Duration::from_millis(8_500), Fault::ZoneIn(1));
            return plan;
        }
        plan.add(at(0.08), Fault::ReplaceBalancer);
        plan.add(at(0.18), Fault::DrainHost(0));
        plan.add(at(0.38), Fault::StartHost(0));
        plan.add(at(0.50), Fault::ZoneOut(1));
        plan.add(at(0.78), Fault::ZoneIn(1));
        plan
    }

    /// Planned changes and failures, two of them at once.
    pub fn all(duration: Duration, seed: u64, has_outage: bool) -> Self {
        let mut plan = Self::planned(duration, has_outage);
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut hosts = [2, 3, 4, 5, 6, 7, 8];
        hosts.shuffle(&mut rng);
        let mut at = |share: f64| duration.mul_f64(share + rng.random_range(0.0..0.05));
        plan.add(at(0.12), Fault::KillBalancer);
        plan.add(at(0.25), Fault::KillHost(hosts[0]));
        plan.add(at(0.40), Fault::SilentRestart(hosts[1]));
        plan.add(at(0.48), Fault::LoseResponse);
        let both = at(0.60);
        plan.add(both, Fault::KillHost(hosts[2]));
        plan.add(both, Fault::KillBalancer);
        plan.add(at(0.70), Fault::StartHost(hosts[0]));
        plan.add(at(0.82), Fault::StartHost(hosts[2]));
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
    zone_out: Option<ZoneOutMonitor>,
}

/// A zone that was taken out, and the datagrams that its agents got since.
struct ZoneOutMonitor {
    zone: &'static str,
    accepted_at: Instant,
    datagram_counts: HashMap<SocketAddrV4, u64>,
    last_arrival: Option<Instant>,
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
    pub async fn inject_next(
        &mut self,
        elapsed: Duration,
        fleet: &mut Fleet,
        callers: &Callers,
    ) -> anyhow::Result<Option<String>> {
        self.sample_zone(fleet);
        let Some((_, fault)) = self.steps.pop_front_if(|(at, _)| *at <= elapsed) else {
            return Ok(None);
        };
        let note = self.inject(fault, fleet, callers).await?;
        Ok(Some(note))
    }

    /// Time from the acceptance of a zone-out to the last datagram or request that reached an
    /// agent or backend server of the zone.
    pub fn last_packet_delay(&self, fleet: &Fleet) -> Option<Duration> {
        let monitor = self.zone_out.as_ref()?;
        let hosts = fleet.hosts().iter().filter(|h| h.zone() == monitor.zone);
        let names: Vec<String> = hosts.map(|h| h.name().to_owned()).collect();
        let arrival = fleet
            .request_log()
            .last_arrival(&names)
            .filter(|_| !monitor.is_over);
        let last = arrival
            .max(monitor.last_arrival)
            .filter(|last| *last > monitor.accepted_at);
        Some(last.map_or(Duration::ZERO, |last| last - monitor.accepted_at))
    }

    async fn inject(
        &mut self,
        fault: Fault,
        fleet: &mut Fleet,
        callers: &Callers,
    ) -> anyhow::Result<String> {
        let zones = zone_names(fleet);
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
            Fault::DrainHost(index) => {
                let is_drained = fleet.drain_host(index).await;
                let name = fleet.hosts()[index].name();
                callers.set_cause(name, "its agent had to stop before all flows moved");
                format!("{name} left, drained: {is_drained}")
            }
            Fault::KillHost(index) => {
                fleet.kill_host(index);
                let name = fleet.hosts()[index].name();
                callers.set_cause(name, "its agent was killed");
                format!("{name} was killed")
            }
            Fault::StartHost(index) => {
                fleet.start_host(index).await?;
                format!("{} started cold", fleet.hosts()[index].name())
            }
            Fault::SilentRestart(index) => {
                let host = &fleet.hosts()[index];
                if let Some(backend) = host.backend() {
                    backend.restart();
                }
                format!("{} turned cold without a word", host.name())
            }
            Fault::ZoneOut(index) => {
                callers.set_zone_out(zones[index], true);
                fleet.set_zone(zones[index], true).await?;
                self.zone_out = Some(ZoneOutMonitor::start(zones[index], fleet));
                format!("zone {} was taken out", zones[index])
            }
            Fault::ZoneIn(index) => {
                self.sample_zone(fleet);
                if let Some(monitor) = &mut self.zone_out {
                    monitor.end(fleet);
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
            Fault::LoseResponse => {
                fleet.store().lose_responses(1);
                "the answer to the next write will be lost".to_owned()
            }
        })
    }

    fn sample_zone(&mut self, fleet: &Fleet) {
        if let Some(monitor) = self.zone_out.as_mut().filter(|w| !w.is_over) {
            monitor.sample(fleet);
        }
    }
}

impl ZoneOutMonitor {
    fn start(zone: &'static str, fleet: &Fleet) -> Self {
        Self {
            zone,
            accepted_at: Instant::now(),
            datagram_counts: count_datagrams(zone, fleet),
            last_arrival: None,
            is_over: false,
        }
    }

    fn sample(&mut self, fleet: &Fleet) {
        let datagram_counts = count_datagrams(self.zone, fleet);
        let has_grown = |(agent, count): (&SocketAddrV4, &u64)| {
            *count > self.datagram_counts.get(agent).copied().unwrap_or(0)
        };
        if datagram_counts.iter().any(has_grown) {
            self.last_arrival = Some(Instant::now());
        }
        self.datagram_counts = datagram_counts;
    }

    /// Closes the monitor as the zone comes back; what backend servers got until then counts.
    fn end(&mut self, fleet: &Fleet) {
        let hosts = fleet.hosts().iter().filter(|h| h.zone() == self.zone);
        let names: Vec<String> = hosts.map(|h| h.name().to_owned()).collect();
        self.last_arrival = fleet
            .request_log()
            .last_arrival(&names)
            .max(self.last_arrival);
        self.is_over = true;
        let late = self
            .last_arrival
            .filter(|last| *last > self.accepted_at + ZONE_OUT_GRACE_PERIOD);
        if late.is_some() {
            log::error!(
                "zone {} got packets after {ZONE_OUT_GRACE_PERIOD:?}",
                self.zone
            );
        }
    }
}

/// Datagrams of flows and openers that each agent of a zone got so far.
fn count_datagrams(zone: &str, fleet: &Fleet) -> HashMap<SocketAddrV4, u64> {
    let hosts = fleet.hosts().iter().filter(|h| h.zone() == zone);
    let agents = hosts.filter_map(|h| h.agent());
    agents.map(|a| (a.link(), a.stats().datagrams)).collect()
}

/// Zones of the fleet, in the order of its first hosts.
fn zone_names(fleet: &Fleet) -> Vec<&'static str> {
    let mut zones = Vec::new();
    for host in fleet.hosts() {
        if !zones.contains(&host.zone()) {
            zones.push(host.zone());
        }
    }
    zones
}
