//! What instances believe of one that is gone, or that started anew with its clock set back.

mod datagram;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use buckthornlink_core::datagram::{
    Balancer, Effect, Event, Fact, Load, Message, Phase, Reducer, Role,
};
use buckthornlink_core::{BootId, Millis};

use datagram::{BalancerDriver, PEER, fact, setup, status};

/// Interval between ticks.
const TICK: Millis = Millis(200);

/// An agent that is heard by the balancer.
const OTHER: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 3);

/// Balancers that exchange their messages without delay.
struct Fleet {
    balancers: BTreeMap<Ipv4Addr, Balancer>,
    now: Millis,
}

impl Fleet {
    /// A fleet whose instances have heard of each other.
    fn settled(size: u8) -> Self {
        let now = Millis(10_000);
        let ips: Vec<Ipv4Addr> = (1..=size)
            .map(|host| Ipv4Addr::new(10, 3, 0, host))
            .collect();
        let start = |&ip: &Ipv4Addr| (ip, Balancer::new(&setup(ip, Role::Balancer), now));
        let balancers = ips.iter().map(start).collect();
        let mut fleet = Self { balancers, now };
        for &ip in &ips {
            fleet.deliver(ip, Event::Contacts(ips.clone()));
        }
        fleet.run(Millis(10_000));
        fleet
    }

    /// Passes an event to an instance, and the messages that it sends to the instances that run.
    fn deliver(&mut self, to: Ipv4Addr, event: Event) {
        let mut events = vec![(to, event)];
        while let Some((ip, event)) = events.pop() {
            let Some(balancer) = self.balancers.get_mut(&ip) else {
                continue;
            };
            let mut effects = Vec::new();
            balancer.reduce(event, self.now, &mut effects);
            events.extend(effects.into_iter().filter_map(|effect| match effect {
                Effect::Send { to, message } => Some((to, Event::Message { from: ip, message })),
                _ => None,
            }));
        }
    }

    fn run(&mut self, span: Millis) {
        let end = self.now + span;
        let ips: Vec<Ipv4Addr> = self.balancers.keys().copied().collect();
        while self.now < end {
            self.now = self.now + TICK;
            for &ip in &ips {
                self.deliver(ip, Event::Tick);
            }
        }
    }

    /// Number of instances that know the one at `ip`.
    fn knowing(&self, ip: Ipv4Addr) -> usize {
        let members = self.balancers.values().map(|b| b.gossip().membership());
        members.filter(|m| m.get(ip).is_some()).count()
    }
}

/// Guards against an instance that is gone for good and lives on in the exchange: whoever forgot it hears of it
/// from one that has not yet, and takes the old fact for a sign of life.
#[test]
fn an_instance_that_is_gone_is_forgotten_by_all() {
    for size in [4, 12, 30] {
        let mut fleet = Fleet::settled(size);
        let gone = Ipv4Addr::new(10, 3, 0, size);
        assert_eq!(fleet.knowing(gone), usize::from(size));
        fleet.balancers.remove(&gone);
        fleet.run(Millis(180_000));
        assert_eq!(fleet.knowing(gone), 0, "{size}");
    }
}

/// Another instance asks until all changes that the balancer knows of have been sent.
fn settle(balancer: &mut BalancerDriver) {
    for seq in 1..20 {
        let other = Fact {
            seq,
            ..fact(OTHER, Phase::Ready, Load::default())
        };
        let mut message = status(other);
        if let Message::Status(status) = &mut message {
            status.asks = true;
            status.known = 3;
        }
        balancer.message(OTHER, message);
    }
}

/// Guards against an agent that is hidden since its process started anew after the clock was set back: its facts
/// are older than the last one of the process before, and it learns that only by chance.
#[test]
fn an_agent_that_started_after_its_clock_was_set_back_is_told_at_once() {
    let mut balancer = BalancerDriver::ready();
    let before = Fact {
        boot: BootId(100),
        seq: 900,
        ..fact(PEER, Phase::Left, Load::default())
    };
    balancer.message(PEER, status(before));
    settle(&mut balancer);
    let after = Fact {
        boot: BootId(90),
        ..fact(PEER, Phase::Ready, Load::default())
    };
    let mut message = status(after);
    if let Message::Status(status) = &mut message {
        status.asks = true;
        status.known = 3;
    }
    let effects = balancer.reduce(Event::Message {
        from: PEER,
        message,
    });
    let is_told = |effect: &Effect| match effect {
        Effect::Send {
            to: PEER,
            message: Message::Status(status),
        } => status
            .facts
            .iter()
            .any(|f| f.ip == PEER && f.boot == BootId(100)),
        _ => false,
    };
    assert!(effects.iter().any(is_told), "{effects:?}");
}
