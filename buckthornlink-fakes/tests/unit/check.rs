//! Packets of an open flow that reach other backend servers than its own, which the simulation counts.

use std::net::Ipv4Addr;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Flow, Mode, RelayTag};

use crate::datagram::backend::Reaction;
use crate::datagram::simulation::{Simulation, empty_packet};
use crate::datagram::{Plan, SimulationSetup};

/// Time in which packets arrive that were sent before.
const IN_FLIGHT_TIME: Millis = Millis(200);

/// An idle flow that is open, in a simulation without other callers.
struct IdleFlow {
    simulation: Simulation,
    flow: Flow,
    /// The agent of its backend server.
    owner: Ipv4Addr,
    /// Another agent.
    other: Ipv4Addr,
    /// The balancer that takes its packets.
    balancer: Ipv4Addr,
}

impl IdleFlow {
    /// A flow whose last packet reached its own backend server just now.
    fn open() -> Self {
        let setup = SimulationSetup {
            callers: 1,
            loss_permille: 0,
            plan: Plan::default(),
            ..SimulationSetup::default()
        };
        let mut simulation = Simulation::new(&setup, 1);
        simulation.run(Millis(6_000));
        simulation.callers.clear();
        simulation.run(IN_FLIGHT_TIME);
        let (&flow, tracked) = simulation.tracked_flows.first_key_value().unwrap();
        let owner = tracked.owner;
        let is_other = |ip: &Ipv4Addr| *ip != owner && simulation.instances[ip].backend.is_some();
        let other = *simulation.instances.keys().find(|ip| is_other(ip)).unwrap();
        let balancer = simulation.balancers().next().unwrap();
        let mut idle = Self {
            simulation,
            flow,
            owner,
            other,
            balancer,
        };
        idle.deliver_to_owner();
        idle
    }

    fn deliver_to_owner(&mut self) {
        let packet = empty_packet(self.flow);
        let accepted = Reaction::Accepted { answer: None };
        self.simulation
            .check_delivery(self.owner, &packet, accepted);
    }

    /// Packets of the flow reach the other backend server.
    fn stray(&mut self, count: usize) {
        for _ in 0..count {
            let mut packet = empty_packet(self.flow);
            packet.tag = RelayTag::new(Mode::Lookup, self.balancer);
            self.simulation
                .check_delivery(self.other, &packet, Reaction::Bounced(packet));
        }
    }

    fn wait(&mut self, span: Millis) {
        self.simulation.run(span);
    }

    /// The process of an instance is killed, and started again at once.
    fn disrupt(&mut self, ip: Ipv4Addr) {
        let now = self.simulation.now;
        let instance = self.simulation.instances.get_mut(&ip).unwrap();
        instance.disrupted_until = Some(now);
    }

    /// The flow's backend server ends.
    fn end_backend(&mut self) {
        let instance = self.simulation.instances.get_mut(&self.owner).unwrap();
        instance.backend = None;
    }

    fn broken(&self) -> u64 {
        self.simulation.outcome().stray_flows
    }
}

/// Guards against a check that waits for a further packet: the caller may send none.
#[test]
fn strays_that_nothing_follows_break_a_flow_after_two_seconds() {
    let mut idle = IdleFlow::open();
    idle.stray(3);
    idle.wait(Millis(1_900));
    assert_eq!(idle.broken(), 0);
    idle.wait(Millis(200));
    assert_eq!(idle.broken(), 1);
}

/// Guards against a check that forgets a period in which a flow was broken when a later one begins.
#[test]
fn strays_break_a_flow_although_the_next_one_comes_much_later() {
    let mut idle = IdleFlow::open();
    idle.stray(3);
    idle.wait(Millis(2_500));
    idle.stray(1);
    assert_eq!(idle.broken(), 1);
}

/// Guards against a check that forgets the packets of a backend server that ends after the two seconds.
#[test]
fn strays_break_a_flow_whose_backend_server_ends_later() {
    let mut idle = IdleFlow::open();
    idle.stray(3);
    idle.wait(Millis(2_100));
    idle.end_backend();
    idle.stray(1);
    assert_eq!(idle.broken(), 1);
}

/// Guards against an exemption of all agents that were disrupted: the packets that a balancer took
/// count if the balancer and the flow's own instance were not.
#[test]
fn strays_at_an_agent_that_was_disrupted_break_a_flow() {
    let mut idle = IdleFlow::open();
    idle.disrupt(idle.other);
    idle.stray(3);
    idle.wait(Millis(2_100));
    assert_eq!(idle.broken(), 1);
}

#[test]
fn strays_of_a_flow_whose_own_instance_was_disrupted_do_not_count() {
    let mut idle = IdleFlow::open();
    idle.disrupt(idle.owner);
    idle.stray(3);
    idle.wait(Millis(2_100));
    assert_eq!(idle.broken(), 0);
}

#[test]
fn strays_before_and_after_a_delivery_do_not_add_up() {
    let mut idle = IdleFlow::open();
    idle.stray(2);
    idle.wait(Millis(1_000));
    idle.deliver_to_owner();
    idle.stray(2);
    idle.wait(Millis(2_100));
    assert_eq!(idle.broken(), 0);
}
