//! Agents that are silent for some seconds, each beside a backend server that lives.

mod datagram;

use buckthornlink_core::Millis;

use datagram::world::{AGENTS, FLOWS, MAX_STRAYS, World, agent_ip};

/// Durations of an outage.
const OUTAGES: [Millis; 4] = [Millis(500), Millis(1_500), Millis(4_000), Millis(10_000)];
/// Time between two packets of the caller during an outage.
const SEND_INTERVAL: Millis = Millis(300);

/// How agents fall silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Silence {
    /// The process is killed, and another one starts.
    Killed,
    /// The process is paused.
    Paused,
    /// What it sends to other instances is lost.
    Muted,
}

/// Number of flows, with different home agents.
const PORTS: u16 = FLOWS / 3;

const SILENCES: [Silence; 3] = [Silence::Killed, Silence::Paused, Silence::Muted];

/// The caller sends packets through both balancers for a while.
fn send_for(world: &mut World, span: Millis) {
    let end = world.now + span;
    let mut balancer = 0;
    while world.now < end {
        world.send_through(balancer);
        balancer = 1 - balancer;
        world.run(SEND_INTERVAL.min(end.since(world.now)));
    }
}

/// Silences agents for a while in which the caller sends packets.
fn silence(world: &mut World, indices: &[u8], silence: Silence, span: Millis) {
    let mut paused = Vec::new();
    for &index in indices {
        match silence {
            Silence::Killed => world.kill(index),
            Silence::Paused => paused.push(world.pause(index)),
            Silence::Muted => {
                world.muted.insert(agent_ip(index));
            }
        }
    }
    send_for(world, span);
    for &index in indices {
        if silence == Silence::Killed {
            world.start(index);
        }
    }
    for agent in paused {
        world.resume(agent);
    }
    world.muted.clear();
}

/// The index of the owner's agent.
fn owner_index(world: &World) -> u8 {
    (0..AGENTS).find(|&i| agent_ip(i) == world.owner).unwrap()
}

/// The owner's agent and the following ones.
fn group(world: &World, size: u8) -> Vec<u8> {
    let owner = owner_index(world);
    (0..size).map(|i| (owner + i) % AGENTS).collect()
}

/// Checks that nothing was reset, that few packets went astray, and that the flow is found at last.
fn check(mut world: World, case: &str) {
    world.run(Millis(2_000));
    world.request();
    let strays = world.max_strays();
    assert!(strays <= MAX_STRAYS, "{case}: {strays} strays");
    assert_eq!(world.resets, 0, "{case}, port {}", world.port);
}

/// Guards against the reset of a flow whose backend server lives, because its agent, and perhaps the home agent and
/// others, did not answer for a second.
#[test]
fn no_flow_is_reset_because_agents_are_silent() {
    for (size, port) in [1, 2, 3, 5]
        .into_iter()
        .flat_map(|s| (1..=PORTS).map(move |p| (s, p)))
    {
        for kind in SILENCES {
            for span in OUTAGES {
                let mut world = World::open(port);
                let indices = group(&world, size);
                silence(&mut world, &indices, kind, span);
                check(world, &format!("{size} agents, {kind:?} for {} ms", span.0));
            }
        }
    }
}

/// Guards against a search among agents that have all just started, and have never heard of the one that is silent: only
/// the store lists it.
#[test]
fn no_flow_is_reset_because_nobody_has_heard_of_its_agent() {
    for port in 1..=PORTS {
        let mut world = World::open(port);
        let owner = owner_index(&world);
        let paused = world.pause(owner);
        let others: Vec<u8> = (0..AGENTS).filter(|&i| i != owner).collect();
        for &index in &others {
            world.kill(index);
        }
        for &index in &others {
            world.start(index);
        }
        for index in 0..2 {
            world.start_balancer(index);
        }
        send_for(&mut world, Millis(18_000));
        world.resume(paused);
        check(world, "all others restarted");
    }
}

/// Guards against callers that wait for their deadlines because nobody resets a flow whose backend server ended while its
/// agent was away.
#[test]
fn a_flow_whose_backend_server_ended_meanwhile_is_reset_once_its_agent_is_back() {
    for port in 1..=FLOWS {
        for span in OUTAGES {
            let mut world = World::open(port);
            let owner = owner_index(&world);
            world.kill(owner);
            world.replace_owner();
            send_for(&mut world, span);
            assert_eq!(world.resets, 0, "port {port}, {} ms", span.0);
            world.start(owner);
            send_for(&mut world, Millis(1_000));
            assert!(world.resets > 0, "port {port}, {} ms", span.0);
        }
    }
}
