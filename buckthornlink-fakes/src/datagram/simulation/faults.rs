//! Injects faults into a simulation and ends them.

use std::net::Ipv4Addr;
use std::sync::Arc;

use buckthornlink_core::datagram::{Connection, Event, Role};
use buckthornlink_core::member::ZoneRecord;
use buckthornlink_core::{Millis, ZoneTag};
use rand::Rng;

use super::Simulation;
use super::config::{build_table, service_tag};
use crate::datagram::Fault;
use crate::datagram::backend::Backend;
use crate::datagram::process::Instance;

/// Upper bound of the time for which a killed process stays down, in milliseconds.
const MAX_DOWNTIME_MS: u64 = 1_500;
/// Time for which a terminating balancer continues to forward packets.
const BALANCER_LEAVE_PERIOD: Millis = Millis(1_800);
/// Time for which a backend server drains before it ends.
const BACKEND_DRAIN_PERIOD: Millis = Millis(3_500);
/// Time for which a zone is out of service.
const ZONE_OUT_PERIOD: Millis = Millis(9_000);
/// Duration of a store outage or of raised packet loss.
const OUTAGE_PERIOD: Millis = Millis(6_000);
/// Datagrams lost per thousand while packet loss is raised.
const BURST_LOSS_PERMILLE: u32 = 80;

impl Simulation {
    /// Injects the faults that are due, and ends those whose time is over.
    pub(super) fn apply_due_faults(&mut self) {
        while self
            .pending_faults
            .last()
            .is_some_and(|(at, _)| *at <= self.now)
        {
            if let Some((_, fault)) = self.pending_faults.pop() {
                self.inject(fault);
            }
        }
        self.return_zones();
        self.end_outages();
        self.restart_killed();
        self.complete_departures();
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::KillBalancer => self.kill_one(|i| i.backend.is_none()),
            Fault::KillAgent => self.kill_one(|i| i.backend.is_some()),
            Fault::KillAll => self.kill_all(false),
            Fault::PowerLoss => self.kill_all(true),
            Fault::RestartBalancer => self.stop_balancer(),
            Fault::AddBalancer => {
                let zone = self.pick_zone();
                let ip = self.add_instance(Role::Balancer, zone);
                self.start_process(ip);
            }
            Fault::ReplaceBackend => self.replace_backend(),
            Fault::CrashBackend => self.crash_backend(),
            Fault::ZoneOut => self.take_zone_out(),
            Fault::MoveRoute => self.move_route(),
            Fault::StoreOutage => self.start_store_outage(),
            Fault::PacketLoss => {
                self.loss_permille = BURST_LOSS_PERMILLE;
                self.outage_ends.push(self.now + OUTAGE_PERIOD);
            }
        }
    }

    fn kill_one(&mut self, is_wanted: impl Fn(&Instance) -> bool) {
        if let Some(ip) = self.pick_instance(is_wanted) {
            let downtime = self.random_downtime();
            self.kill(ip, downtime);
        }
    }

    fn kill_all(&mut self, is_power_loss: bool) {
        let ips: Vec<Ipv4Addr> = self.instances.keys().copied().collect();
        for ip in ips {
            let downtime = self.random_downtime();
            self.kill(ip, downtime);
            if is_power_loss {
                self.restart_backend(ip);
            }
        }
    }

    /// Kills a process; deliveries to it are dropped until it starts again.
    fn kill(&mut self, ip: Ipv4Addr, downtime: Millis) {
        let now = self.now;
        if let Some(instance) = self.instances.get_mut(&ip) {
            instance.process = None;
            instance.down_until = Some(now + downtime);
            instance.disrupted_until = Some(now + downtime);
        }
    }

    fn stop_balancer(&mut self) {
        let Some(ip) = self.pick_instance(|i| i.backend.is_none() && i.leaves_at.is_none()) else {
            return;
        };
        self.dispatch(ip, Event::Leave);
        if let Some(instance) = self.instances.get_mut(&ip) {
            instance.leaves_at = Some(self.now + BALANCER_LEAVE_PERIOD);
        }
    }

    fn replace_backend(&mut self) {
        let Some(old) = self.pick_instance(|i| i.backend.is_some() && i.leaves_at.is_none()) else {
            return;
        };
        let (role, zone) = (self.instances[&old].role, self.instances[&old].zone);
        let new = self.add_instance(role, zone);
        self.start_process(new);
        if let Some(instance) = self.instances.get_mut(&old) {
            instance.leaves_at = Some(self.now + BACKEND_DRAIN_PERIOD);
            if let Some(backend) = &mut instance.backend {
                backend.draining_since = Some(self.now);
            }
        }
        self.send_heartbeat(old);
    }

    /// Replaces a backend server on its instance without draining. The agent sees its idle
    /// connection close, and then the first heartbeat of the new one.
    fn crash_backend(&mut self) {
        let Some(ip) = self.pick_instance(|i| i.backend.is_some()) else {
            return;
        };
        self.restart_backend(ip);
        if let Some(instance) = self.instances.get_mut(&ip) {
            instance.disrupted_until = Some(self.now);
        }
        self.dispatch(ip, Event::BackendConnection(Connection::Refused));
        self.send_heartbeat(ip);
    }

    fn restart_backend(&mut self, ip: Ipv4Addr) {
        let now = self.now;
        if let Some(instance) = self.instances.get_mut(&ip)
            && let Some(old) = &instance.backend
        {
            instance.backend = Some(Backend::new(old.service, now.0, now));
        }
    }

    fn take_zone_out(&mut self) {
        let zone = self.pick_zone();
        self.set_zone(zone, true);
        self.zone_returns.push((self.now + ZONE_OUT_PERIOD, zone));
    }

    fn return_zones(&mut self) {
        let now = self.now;
        let due: Vec<ZoneTag> = self
            .zone_returns
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, zone)| zone)
            .collect();
        for zone in due {
            self.set_zone(zone, false);
        }
    }

    fn set_zone(&mut self, zone: ZoneTag, out: bool) {
        let seq = self.now.0.into();
        let record = ZoneRecord { zone, seq, out };
        self.zones.insert(zone, (record, self.now));
        self.notify_watchers();
    }

    /// Moves the first route to the other service, or back.
    fn move_route(&mut self) {
        let version = self.table.version.0 + 3;
        let first = service_tag(0);
        let is_initial = self
            .table
            .routes
            .values()
            .any(|r| r.targets[0].service == first);
        let target = if is_initial { service_tag(1) } else { first };
        self.table = Arc::new(build_table(version, [target, service_tag(1)]));
        self.table_history.push((self.now, Arc::clone(&self.table)));
        self.notify_watchers();
    }

    fn start_store_outage(&mut self) {
        let mut lost = Vec::new();
        for (&ip, instance) in &mut self.instances {
            if self.rng.random_ratio(1, 3) {
                instance.has_store = false;
                lost.push(ip);
            }
        }
        for ip in lost {
            self.dispatch(ip, Event::StoreFailed);
        }
        self.outage_ends.push(self.now + OUTAGE_PERIOD);
    }

    /// Ends all store outages and the raised packet loss as soon as one of them is over.
    fn end_outages(&mut self) {
        let now = self.now;
        let ended = self.outage_ends.extract_if(.., |at| *at <= now).count();
        if ended == 0 {
            return;
        }
        self.loss_permille = self.base_permille;
        let lost: Vec<Ipv4Addr> = self
            .instances
            .iter_mut()
            .filter_map(|(&ip, i)| (!std::mem::replace(&mut i.has_store, true)).then_some(ip))
            .collect();
        for ip in lost {
            if self.instances[&ip].is_watching {
                self.send_store_state(ip);
            }
        }
    }

    fn restart_killed(&mut self) {
        let now = self.now;
        let is_due = |i: &Instance| i.down_until.is_some_and(|at| at <= now);
        let due = self.instances.iter().filter(|(_, i)| is_due(i));
        let ips: Vec<Ipv4Addr> = due.map(|(&ip, _)| ip).collect();
        for ip in ips {
            self.start_process(ip);
        }
    }

    /// Completes due departures: a balancer starts again, an agent ends with its backend server.
    fn complete_departures(&mut self) {
        let now = self.now;
        let is_due = |i: &Instance| i.leaves_at.is_some_and(|at| at <= now);
        let due = self.instances.iter().filter(|(_, i)| is_due(i));
        let ips: Vec<Ipv4Addr> = due.map(|(&ip, _)| ip).collect();
        for ip in ips {
            let is_balancer = self.instances[&ip].role == Role::Balancer;
            if is_balancer {
                self.start_process(ip);
                if let Some(instance) = self.instances.get_mut(&ip) {
                    instance.leaves_at = None;
                }
            } else {
                self.end_agent(ip);
            }
        }
    }

    fn end_agent(&mut self, ip: Ipv4Addr) {
        let born = self.instances[&ip].backend.as_ref().map_or(0, |b| b.born);
        self.dispatch(ip, Event::BackendEnding(format!("i-{born}")));
        if let Some(instance) = self.instances.get_mut(&ip) {
            instance.backend = None;
        }
        self.dispatch(ip, Event::BackendConnection(Connection::Refused));
        self.dispatch(ip, Event::DeliveryRefused);
        self.dispatch(ip, Event::Leave);
        self.instances.remove(&ip);
    }

    fn pick_instance(&mut self, is_wanted: impl Fn(&Instance) -> bool) -> Option<Ipv4Addr> {
        let wanted = |i: &&Instance| i.process.is_some() && is_wanted(i);
        let ips: Vec<Ipv4Addr> = self
            .instances
            .iter()
            .filter(|(_, i)| wanted(i))
            .map(|(&ip, _)| ip)
            .collect();
        let index = self.rng.random_range(0..ips.len().max(1));
        ips.get(index).copied()
    }

    fn pick_zone(&mut self) -> ZoneTag {
        let zones: Vec<ZoneTag> = self.instances.values().map(|i| i.zone).collect();
        zones[self.rng.random_range(0..zones.len())]
    }

    fn random_downtime(&mut self) -> Millis {
        Millis(self.rng.random_range(300..MAX_DOWNTIME_MS))
    }
}
