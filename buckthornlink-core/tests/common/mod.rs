//! Test harness: an agent's reducer with a manual clock.
#![allow(dead_code, reason = "each test binary uses some of the helpers")]

use std::net::{Ipv4Addr, SocketAddrV4};

use buckthornlink_core::agent::{
    Agent, Effect, Event, FlowId, Outcome, Priority, Request, RequestId, Setup, Ticket,
};
use buckthornlink_core::member::{Fact, Phase, Role};
use buckthornlink_core::message::{Ack, Message};
use buckthornlink_core::{BootId, Millis, ServicePort, Version, ZoneTag};

pub const ANSWERED: Outcome = Outcome::Answered { boot: Some(1) };

/// An agent's reducer and the current time.
pub struct Harness {
    pub state: Agent,
    pub now: Millis,
}

impl Harness {
    /// Creates an agent whose backend server is reachable and in cold start.
    pub fn cold() -> Self {
        let mut harness = Self {
            state: Agent::new(setup()),
            now: Millis(10_000),
        };
        harness
            .state
            .reduce(Event::Health { is_up: true }, harness.now);
        harness
    }

    /// Creates an agent whose backend server has completed its cold start.
    pub fn warm() -> Self {
        let mut harness = Self::cold();
        for ticket in 1_000..1_200 {
            harness.submit(request(ticket, &format!("warm-{ticket}"), 1));
            harness.finish(ticket, ANSWERED);
        }
        harness.state.reduce(Event::Tick, harness.now);
        harness
    }

    pub fn submit(&mut self, request: Request) -> Vec<Effect> {
        self.state.reduce(Event::Request(request), self.now)
    }

    pub fn finish(&mut self, ticket: u64, outcome: Outcome) -> Vec<Effect> {
        self.finish_after(ticket, outcome, Millis(8))
    }

    pub fn finish_after(&mut self, ticket: u64, outcome: Outcome, took: Millis) -> Vec<Effect> {
        let event = Event::Finished {
            ticket: Ticket(ticket),
            outcome,
            took,
        };
        self.state.reduce(event, self.now)
    }

    pub fn open_flows(&mut self, count: u64) {
        for flow in 0..count {
            self.state.reduce(Event::FlowAsked(FlowId(flow)), self.now);
        }
    }

    /// Delivers a balancer's ack, modified by `change`, to the agent.
    pub fn ack(&mut self, change: impl FnOnce(&mut Ack)) -> Vec<Effect> {
        let mut ack = ack_of(balancer());
        change(&mut ack);
        let message = Message::Ack(ack);
        self.state.reduce(
            Event::Control {
                from: addr(1),
                message,
            },
            self.now,
        )
    }
}

/// Builds an ack of `from` without new information.
pub fn ack_of(from: Fact) -> Ack {
    Ack {
        from,
        version: Version(0),
        zones: Vec::new(),
        peers: Vec::new(),
        interval: Millis(1_000),
        flows: 0,
        silenced: None,
    }
}

pub fn addr(host: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host), 7000)
}

/// Builds a non-idempotent request with a distant deadline.
pub fn request(ticket: u64, id: &str, attempt: u32) -> Request {
    Request {
        ticket: Ticket(ticket),
        id: RequestId::new(id),
        attempt,
        fingerprint: 7,
        class: "till".into(),
        deadline: Millis(1_000_000),
        idempotent: false,
        priority: Priority::Fresh,
    }
}

fn setup() -> Setup {
    Setup {
        addr: addr(2),
        service: ServicePort(4433),
        name: "token".to_owned(),
        zone: ZoneTag(1),
        boot: BootId(1),
        entry: addr(250),
    }
}

fn balancer() -> Fact {
    Fact {
        addr: addr(1),
        role: Role::Balancer,
        zone: ZoneTag(1),
        boot: BootId(1),
        seq: 1,
        phase: Phase::Warm,
    }
}
