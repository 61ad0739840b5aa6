//! What happens to a world.

use std::net::Ipv4Addr;
use std::sync::Arc;

use buckthornlink_core::datagram::{Event, Role};
use buckthornlink_core::member::ZoneRecord;
use buckthornlink_core::{Millis, ZoneTag};
use rand::Rng;

use super::World;
use super::site::{service, table};
use crate::datagram::Fault;
use crate::datagram::backend::Backend;
use crate::datagram::process::Instance;

/// Time for which a killed process stays down, at most.
const MAX_DOWN_MS: u64 = 1_500;
/// Time for which a balancer that leaves goes on forwarding.
const LEAVE_SPAN: Millis = Millis(1_800);
/// Time for which a backend server drains before it ends.
const DRAIN_SPAN: Millis = Millis(3_500);
/// Time for which a zone is out of service.
const ZONE_SPAN: Millis = Millis(9_000);
/// Time for which the store, or datagrams, are lost.
const HEAL_SPAN: Millis = Millis(6_000);
/// Datagrams lost in a burst, in a thousand.
const BURST_LOSS: u32 = 80;

impl World {
    /// Lets happen what is due.
    pub(super) fn happen(&mut self) {
        while self.plan.last().is_some_and(|(at, _)| *at <= self.now) {
            if let Some((_, fault)) = self.plan.pop() {
                self.strike(fault);
            }
        }
        self.return_zones();
        self.heal();
        self.restart();
        self.depart();
    }

    fn strike(&mut self, fault: Fault) {
        match fault {
            Fault::KillBalancer => self.kill_one(|i| i.backend.is_none()),
            Fault::KillAgent => self.kill_one(|i| i.backend.is_some()),
            Fault::KillAll => self.kill_all(false),
            Fault::PowerLoss => self.kill_all(true),
            Fault::RollBalancer => self.roll(),
            Fault::AddBalancer => {
                let zone = self.any_zone();
                let ip = self.join(Role::Balancer, zone);
                self.start(ip);
            }
            Fault::Replace => self.replace(),
            Fault::Crash => self.crash(),
            Fault::ZoneOut => self.zone_out(),
            Fault::MoveRoute => self.move_route(),
            Fault::StoreAway => self.store_away(),
            Fault::Loss => {
                self.loss = BURST_LOSS;
                self.heals.push(self.now + HEAL_SPAN);
            }
        }
    }

    fn kill_one(&mut self, is_wanted: impl Fn(&Instance) -> bool) {
        if let Some(ip) = self.pick(is_wanted) {
            let down = self.down();
            self.kill(ip, down);
        }
    }

    fn kill_all(&mut self, is_power: bool) {
        let ips: Vec<Ipv4Addr> = self.instances.keys().copied().collect();
        for ip in ips {
            let down = self.down();
            self.kill(ip, down);
            if is_power {
                self.renew_backend(ip);
            }
        }
    }

    /// Kills a process; what has not reached it by then is lost.
    fn kill(&mut self, ip: Ipv4Addr, down: Millis) {
        let now = self.now;
        if let Some(instance) = self.instances.get_mut(&ip) {
            instance.process = None;
            instance.down_until = Some(now + down);
            instance.harmed = Some(now + down);
        }
    }

    fn roll(&mut self) {
        let Some(ip) = self.pick(|i| i.backend.is_none() && i.leaves.is_none()) else {
            return;
        };
        self.tell(ip, Event::Leave);
        if let Some(instance) = self.instances.get_mut(&ip) {
            instance.leaves = Some(self.now + LEAVE_SPAN);
        }
    }

    fn replace(&mut self) {
        let Some(old) = self.pick(|i| i.backend.is_some() && i.leaves.is_none()) else {
            return;
        };
        let (role, zone) = (self.instances[&old].role, self.instances[&old].zone);
        let new = self.join(role, zone);
        self.start(new);
        if let Some(instance) = self.instances.get_mut(&old) {
            instance.leaves = Some(self.now + DRAIN_SPAN);
            if let Some(backend) = &mut instance.backend {
                backend.draining = Some(self.now);
            }
        }
        self.beat(old);
    }

    /// A backend server ends without a word, and a new one starts on its instance. The agent sees
    /// its idle connection close, and then the first heartbeat.
    fn crash(&mut self) {
        let Some(ip) = self.pick(|i| i.backend.is_some()) else {
            return;
        };
        self.renew_backend(ip);
        if let Some(instance) = self.instances.get_mut(&ip) {
            instance.harmed = Some(self.now);
        }
        self.tell(ip, Event::BackendAbsent);
        self.beat(ip);
    }

    fn renew_backend(&mut self, ip: Ipv4Addr) {
        let now = self.now;
        if let Some(instance) = self.instances.get_mut(&ip)
            && let Some(old) = &instance.backend
        {
            instance.backend = Some(Backend::new(old.service, now.0, now));
        }
    }

    fn zone_out(&mut self) {
        let zone = self.any_zone();
        self.set_zone(zone, true);
        self.returns.push((self.now + ZONE_SPAN, zone));
    }

    fn return_zones(&mut self) {
        let now = self.now;
        let due: Vec<ZoneTag> = self
            .returns
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, zone)| zone)
            .collect();
        for zone in due {
            self.set_zone(zone, false);
        }
    }

    fn set_zone(&mut self, zone: ZoneTag, out: bool) {
        let seq = self.now.0;
        let record = ZoneRecord { zone, seq, out };
        self.zones.insert(zone, (record, self.now));
        self.announce();
    }

    /// Moves the first route to the other service, or back.
    fn move_route(&mut self) {
        let version = self.table.version.0 + 3;
        let first = service(0);
        let is_home = self
            .table
            .routes
            .values()
            .any(|r| r.targets[0].service == first);
        let target = if is_home { service(1) } else { first };
        self.table = Arc::new(table(version, [target, service(1)]));
        self.tables.push((self.now, Arc::clone(&self.table)));
        self.announce();
    }

    fn store_away(&mut self) {
        let mut lost = Vec::new();
        for (&ip, instance) in &mut self.instances {
            if self.rng.random_ratio(1, 3) {
                instance.store = false;
                lost.push(ip);
            }
        }
        for ip in lost {
            self.tell(ip, Event::StoreReachable(false));
        }
        self.heals.push(self.now + HEAL_SPAN);
    }

    fn heal(&mut self) {
        let now = self.now;
        let healed = self.heals.extract_if(.., |at| *at <= now).count();
        if healed == 0 {
            return;
        }
        self.loss = self.usual_loss;
        let lost: Vec<Ipv4Addr> = self
            .instances
            .iter_mut()
            .filter_map(|(&ip, i)| (!std::mem::replace(&mut i.store, true)).then_some(ip))
            .collect();
        for ip in lost {
            if self.instances[&ip].is_watching {
                self.read_store(ip);
            }
        }
    }

    fn restart(&mut self) {
        let now = self.now;
        let is_due = |i: &Instance| i.down_until.is_some_and(|at| at <= now);
        let due = self.instances.iter().filter(|(_, i)| is_due(i));
        let ips: Vec<Ipv4Addr> = due.map(|(&ip, _)| ip).collect();
        for ip in ips {
            self.start(ip);
        }
    }

    /// Ends what has left: a balancer starts again, an agent ends with its backend server.
    fn depart(&mut self) {
        let now = self.now;
        let is_due = |i: &Instance| i.leaves.is_some_and(|at| at <= now);
        let due = self.instances.iter().filter(|(_, i)| is_due(i));
        let ips: Vec<Ipv4Addr> = due.map(|(&ip, _)| ip).collect();
        for ip in ips {
            let is_balancer = self.instances[&ip].role == Role::Balancer;
            if is_balancer {
                self.start(ip);
                if let Some(instance) = self.instances.get_mut(&ip) {
                    instance.leaves = None;
                }
            } else {
                self.end_agent(ip);
            }
        }
    }

    fn end_agent(&mut self, ip: Ipv4Addr) {
        let born = self.instances[&ip].backend.as_ref().map_or(0, |b| b.born);
        self.tell(ip, Event::BackendEnded(format!("i-{born}")));
        if let Some(instance) = self.instances.get_mut(&ip) {
            instance.backend = None;
        }
        self.tell(ip, Event::Leave);
        self.instances.remove(&ip);
    }

    fn pick(&mut self, is_wanted: impl Fn(&Instance) -> bool) -> Option<Ipv4Addr> {
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

    fn any_zone(&mut self) -> ZoneTag {
        let zones: Vec<ZoneTag> = self.instances.values().map(|i| i.zone).collect();
        zones[self.rng.random_range(0..zones.len())]
    }

    fn down(&mut self) -> Millis {
        Millis(self.rng.random_range(300..MAX_DOWN_MS))
    }
}
