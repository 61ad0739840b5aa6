//! Explores all orders in which packets and messages may arrive, for two balancers, three agents
//! and one flow.

mod datagram;
mod interleavings;

use buckthornlink_core::BootId;
use buckthornlink_core::datagram::{BackendHeartbeat, Event, Mode, Reducer, RelayTag, Source};

use datagram::{heartbeat, opening, status};
use interleavings::{
    AGENTS, BALANCERS, Channel, InFlight, START, World, data_to, explore, new_agent, reduce,
};

/// What the connection may tell of a crash.
const CHANNELS: [Channel; 3] = [Channel::Silent, Channel::Renewed, Channel::Closed];

#[test]
fn retransmissions_of_an_opening_packet_at_two_balancers_open_one_flow() {
    for (first, second) in (0..3).flat_map(|a| (0..3).map(move |b| (a, b))) {
        let mut world = World::new();
        world.report_loads(0, first);
        world.report_loads(1, second);
        world.send(opening(1));
        world.entry_balancer = 1;
        let mut retransmission = opening(1);
        retransmission.ack = 1;
        world.send(retransmission);
        let [states, delivered, lost] = explore(world, 0);
        assert!(states > 10 && delivered > 0, "{first}, {second}: {states}");
        assert_eq!(lost, 0, "{first}, {second}");
    }
}

#[test]
fn a_balancer_that_does_not_know_a_flow_finds_its_owner_and_resets_nothing() {
    for owner in 0..3 {
        let mut world = World::open_at(owner);
        world.entry_balancer = 1;
        world.send(data_to(owner));
        let [_, delivered, lost] = explore(world.clone(), 0);
        assert!(delivered > 0 && lost == 0, "{owner}: {delivered} {lost}");
        world.send(data_to(owner));
        let [_, delivered, _] = explore(world, 1);
        assert!(delivered > 0, "{owner}");
    }
}

#[test]
fn agents_that_restart_beside_running_backend_servers_reset_nothing() {
    for (owner, restarted) in (0..3).flat_map(|o| (0..3).map(move |r| (o, r))) {
        let mut world = World::open_at(owner);
        world.agents[restarted] = new_agent(AGENTS[restarted], BootId(2));
        let event = Event::BackendHeartbeat(heartbeat(9));
        reduce(&mut world.agents[restarted], event, START);
        world.exchange_facts();
        world.entry_balancer = 1;
        world.send(data_to(owner));
        let [_, delivered, lost] = explore(world.clone(), 0);
        assert!(
            delivered > 0 && lost == 0,
            "{owner}, {restarted}: {delivered} {lost}"
        );
        let [_, delivered, _] = explore(world, 1);
        assert!(delivered > 0, "{owner}, {restarted}");
    }
}

/// A world in which the backend server of an agent has restarted together with the agent, and the
/// facts that say so are still in flight to the balancers, which place new flows there.
fn restarted_unheard(index: usize) -> World {
    let mut world = World::new();
    for balancer in 0..BALANCERS.len() {
        world.report_loads(balancer, index);
    }
    world.agents[index] = new_agent(AGENTS[index], BootId(2));
    let first = BackendHeartbeat {
        id: "i-2".to_owned(),
        born: Some(6_000),
        ..heartbeat(1)
    };
    let event = Event::BackendHeartbeat(first);
    reduce(&mut world.agents[index], event, START);
    let message = status(*world.agents[index].gossip().own());
    for to in BALANCERS {
        let item = InFlight::Message(to, AGENTS[index], message.clone());
        world.wire.push(item);
    }
    world
}

/// Guards against the reset of a flow that opens at a restarted backend server before the balancer
/// hears of the restart.
#[test]
fn a_flow_that_opens_before_its_balancer_hears_of_a_restart_is_not_reset() {
    for restarted in 0..3 {
        let mut world = restarted_unheard(restarted);
        world.send(opening(1));
        let [states, delivered, lost] = explore(world, 0);
        assert!(states > 10 && delivered > 0, "{restarted}: {states}");
        assert_eq!(lost, 0, "{restarted}");
    }
}

/// Guards against the reset of a living flow whose opening packet also reached another backend server,
/// which ends at any moment before or after its answer.
#[test]
fn the_end_of_a_backend_server_that_was_only_offered_a_flow_resets_nothing() {
    for (owner, other) in [(0, 1), (1, 2), (2, 0)] {
        let mut world = World::open_at(owner);
        let mut copy = opening(1);
        copy.tag = RelayTag::new(Mode::Placed, BALANCERS[0]);
        let from = Source::Peer(BALANCERS[0]);
        world.deliver(InFlight::Packet(AGENTS[other], from, copy));
        world.wire.push(InFlight::End(other));
        world.entry_balancer = 1;
        world.send(data_to(owner));
        let [states, delivered, lost] = explore(world, 0);
        assert!(states > 10 && delivered > 0, "{owner}, {other}: {states}");
        assert_eq!(lost, 0, "{owner}, {other}");
    }
}

/// Guards against the reset of a flow that opens at a boot which its agent does not believe in yet: the connection tells
/// nothing of the crash before, and the heartbeats of the boot are late or lost.
#[test]
fn a_flow_of_a_boot_that_is_not_believed_yet_is_not_reset() {
    for (channel, owner) in CHANNELS.into_iter().zip([1, 2, 0]) {
        let mut world = World::open_at_returned(owner, channel);
        world.later_sends = vec![0, 1];
        let [states, delivered, lost] = explore(world.clone(), 0);
        assert!(
            states > 10 && delivered > 0,
            "{channel:?}, {owner}: {states}"
        );
        assert_eq!(lost, 0, "{channel:?}, {owner}");
        world.later_sends = vec![1];
        explore(world, 1);
    }
}

/// Guards against the same when a heartbeat of the boot before was held up.
#[test]
fn a_late_heartbeat_of_the_boot_before_resets_no_flow_of_the_next_one() {
    for (channel, owner) in CHANNELS.into_iter().zip([1, 2, 0]) {
        let mut world = World::open_at_returned(owner, channel);
        world.wire.push(InFlight::LateHeartbeat(owner));
        world.later_sends = vec![1];
        let [states, delivered, lost] = explore(world, 0);
        assert!(
            states > 10 && delivered > 0,
            "{channel:?}, {owner}: {states}"
        );
        assert_eq!(lost, 0, "{channel:?}, {owner}");
    }
}

/// Guards against the same for a flow that opens at any moment before or after the return; one that opened before is to be reset.
#[test]
fn a_flow_that_opens_around_the_return_of_a_backend_server_is_reset_only_if_it_has_ended() {
    for channel in CHANNELS {
        let mut world = World::connected();
        world.last_heartbeat = 2;
        world.report_loads(0, 1);
        world.wire.push(InFlight::Return(1, channel));
        world.send(opening(1));
        world.later_sends = vec![1];
        let [states, delivered, _] = explore(world, 0);
        assert!(states > 10 && delivered > 0, "{channel:?}: {states}");
    }
}
