//! Faults of a run, and their injection at the planned times.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use buckthornlink_fakes::{Callers, Fleet};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// Time for which a zone may still get packets after an accepted edit takes it out of service.
const ZONE_OUT_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// A planned change or failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A balancer joins, then the oldest one leaves.
    ReplaceBalancer,
    /// The oldest balancer is killed and another one joins.
    KillBalancer,
    /// A host drains and stops.
    DrainHost(usize),
    /// A host's agent and backend server are killed.
    KillHost(usize),
    /// A host that was stopped starts again, cold.
    StartHost(usize),
    /// A backend server restarts cold without an announcement.
    SilentRestart(usize),
    /// Operators take a zone out of service.
    ZoneOut(usize),
    /// Operators bring a zone back into service.
    ZoneIn(usize),
    /// The store becomes unavailable.
    StoreDown,
    /// The store becomes available again.
    StoreUp,
    /// The response to the next write to the store is lost.
    LoseResponse,
}

/// Faults with the times at which they are injected, in order of time.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    steps: Vec<(Duration, Fault)>,
}

impl Plan {
    /// Changes that operators plan. With a store outage, zones are edited only before and after it.
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

    /// Planned changes and failures, two of which occur at the same time.
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
        let same_time = at(0.60);
        plan.add(same_time, Fault::KillHost(hosts[2]));
        plan.add(same_time, Fault::KillBalancer);
        plan.add(at(0.70), Fault::StartHost(hosts[0]));
        plan.add(at(0.82), Fault::StartHost(hosts[2]));
        if !has_outage {
            plan.add(at(0.62), Fault::StoreDown);
            plan.add(at(0.70), Fault::StoreUp);
        }
        plan
    }

    /// Adds a fault at time `at`.
    pub fn add(&mut self, at: Duration, fault: Fault) {
        self.steps.push((at, fault));
        self.steps.sort_by_key(|(at, _)| *at);
    }
}

/// Injects the faults of a plan into a fleet.
pub struct Runner {
    steps: VecDeque<(Duration, Fault)>,
    zone_out: Option<ZoneOutMonitor>,
}

/// Records whether packets still reach a zone that was taken out of service.
struct ZoneOutMonitor {
    zone: &'static str,
    accepted_at: Instant,
    datagram_counts: HashMap<SocketAddrV4, u64>,
    last_arrival: Option<Instant>,
    is_finished: bool,
}

impl Runner {
    pub fn new(plan: Plan) -> Self {
        Self {
            steps: plan.steps.into(),
            zone_out: None,
        }
    }

    /// Injects the next fault if it is due; returns a description of it.
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
        let description = self.inject(fault, fleet, callers).await?;
        Ok(Some(description))
    }

    /// Time from the acceptance of the edit that took a zone out of service to the last datagram or
    /// request that reached an agent or backend server of the zone.
    pub fn last_packet_delay(&self, fleet: &Fleet) -> Option<Duration> {
        let monitor = self.zone_out.as_ref()?;
        let hosts = fleet.hosts().iter().filter(|h| h.zone() == monitor.zone);
        let names: Vec<String> = hosts.map(|h| h.name().to_owned()).collect();
        let arrival = fleet
            .request_log()
            .last_arrival(&names)
            .filter(|_| !monitor.is_finished);
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
                format!("{} restarted cold without an announcement", host.name())
            }
            Fault::ZoneOut(index) => {
                callers.set_zone_out(zones[index], true);
                fleet.set_zone(zones[index], true).await?;
                self.zone_out = Some(ZoneOutMonitor::start(zones[index], fleet));
                format!("zone {} was taken out of service", zones[index])
            }
            Fault::ZoneIn(index) => {
                self.sample_zone(fleet);
                if let Some(monitor) = &mut self.zone_out {
                    monitor.finish(fleet);
                }
                fleet.set_zone(zones[index], false).await?;
                callers.set_zone_out(zones[index], false);
                format!("zone {} was brought back into service", zones[index])
            }
            Fault::StoreDown => {
                fleet.store().set_available(false);
                "the store became unavailable".to_owned()
            }
            Fault::StoreUp => {
                fleet.store().set_available(true);
                "the store became available again".to_owned()
            }
            Fault::LoseResponse => {
                fleet.store().lose_responses(1);
                "the response to the next write will be lost".to_owned()
            }
        })
    }

    fn sample_zone(&mut self, fleet: &Fleet) {
        if let Some(monitor) = self.zone_out.as_mut().filter(|m| !m.is_finished) {
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
            is_finished: false,
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

    /// Ends the monitoring when the zone is brought back; requests that backend servers got until
    /// then are included.
    fn finish(&mut self, fleet: &Fleet) {
        let hosts = fleet.hosts().iter().filter(|h| h.zone() == self.zone);
        let names: Vec<String> = hosts.map(|h| h.name().to_owned()).collect();
        self.last_arrival = fleet
            .request_log()
            .last_arrival(&names)
            .max(self.last_arrival);
        self.is_finished = true;
        let late = self
            .last_arrival
            .filter(|last| *last > self.accepted_at + ZONE_OUT_GRACE_PERIOD);
        if late.is_some() {
            log::error!(
                "zone {} got packets more than {ZONE_OUT_GRACE_PERIOD:?} after it was taken out of service",
                self.zone
            );
        }
    }
}

/// Number of datagrams, openers included, that each agent of a zone has received.
fn count_datagrams(zone: &str, fleet: &Fleet) -> HashMap<SocketAddrV4, u64> {
    let hosts = fleet.hosts().iter().filter(|h| h.zone() == zone);
    let agents = hosts.filter_map(|h| h.agent());
    agents.map(|a| (a.link(), a.stats().datagrams)).collect()
}

/// Names of the fleet's zones, in the order of their first hosts.
fn zone_names(fleet: &Fleet) -> Vec<&'static str> {
    let mut zones = Vec::new();
    for host in fleet.hosts() {
        if !zones.contains(&host.zone()) {
            zones.push(host.zone());
        }
    }
    zones
}
