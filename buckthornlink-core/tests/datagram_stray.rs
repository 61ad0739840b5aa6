//! Packets of an open flow that reach other backend servers than its own, while and after balancers and
//! agents are restarted.

mod datagram;

use buckthornlink_core::Millis;

use datagram::world::{AGENTS, CONTACT_TIME, FLOWS, MAX_STRAYS, RESTART_TIME, World, agent_ip};

/// Plays `history` and requests before and after the restart of the owner's agent, if it is down.
fn play(world: &mut World, history: impl Fn(&mut World)) {
    history(world);
    world.request();
    world.run(Millis(1_000));
    if world.agents[&world.owner].is_none() {
        world.start(owner_index(world));
    }
    world.run(Millis(1_000));
    world.request();
}

/// Plays `history` and requests for flows with different home agents, where their balancer places them; returns
/// the greatest number of their packets that reached other backend servers within any [`STRAY_WINDOW`].
fn max_strays(history: impl Fn(&mut World)) -> usize {
    let mut max = 0;
    for port in 1..=FLOWS {
        let mut world = World::open(port);
        play(&mut world, &history);
        world.check_found();
        max = max.max(world.max_strays());
    }
    max
}

/// The same for flows at each agent, which the history need not leave reachable.
fn max_strays_anywhere(history: impl Fn(&mut World)) -> usize {
    let mut max = 0;
    for (port, owner) in (1..=FLOWS).flat_map(|port| (0..AGENTS).map(move |i| (port, i))) {
        let mut world = World::open_at(owner, port);
        play(&mut world, &history);
        assert_eq!(world.resets, 0, "port {port} at {owner}");
        max = max.max(world.max_strays());
    }
    max
}

/// The index of the owner's agent.
fn owner_index(world: &World) -> u8 {
    (0..AGENTS).find(|&i| agent_ip(i) == world.owner).unwrap()
}

/// The indices of all agents but the owner's.
fn others(world: &World) -> Vec<u8> {
    (0..AGENTS).filter(|&i| i != owner_index(world)).collect()
}

#[test]
fn packets_of_an_idle_flow_reach_its_backend_server_only() {
    let strays = max_strays_anywhere(|world| world.run(Millis(3_000)));
    assert_eq!(strays, 0);
}

/// Guards against packets at all backend servers after the agents were restarted one by one, and the
/// balancers as well: nobody remembers the owner.
#[test]
fn an_idle_flow_after_a_rolling_restart_reaches_few_other_backend_servers() {
    let strays = max_strays(|world| {
        for index in 0..AGENTS {
            world.restart(index);
        }
        world.start_balancer(0);
        world.run(Millis(2_000));
    });
    assert!(strays <= MAX_STRAYS, "{strays}");
}

/// Guards against packets at all other backend servers while the agent of the flow's own is being
/// restarted, after the others were, by a balancer that does not know the owner.
#[test]
fn a_flow_whose_agent_is_restarted_last_reaches_few_other_backend_servers() {
    let strays = max_strays_anywhere(|world| {
        for index in others(world) {
            world.restart(index);
        }
        world.start_balancer(0);
        world.run(Millis(2_000));
        world.stop(owner_index(world));
    });
    assert!(strays <= MAX_STRAYS, "{strays}");
}

/// Guards against the same by a balancer that knows the owner, and sends packets around a partition when
/// that does not answer.
#[test]
fn a_detour_around_an_agent_that_is_restarted_reaches_few_other_backend_servers() {
    let strays = max_strays_anywhere(|world| {
        for index in others(world) {
            world.restart(index);
        }
        world.run(Millis(2_000));
        world.stop(owner_index(world));
    });
    assert!(strays <= MAX_STRAYS, "{strays}");
}

/// Guards against packets at all backend servers once the agents and the balancers have been up again for
/// longer than they are excused after a kill.
#[test]
fn an_idle_flow_some_seconds_after_all_were_killed_reaches_few_other_backend_servers() {
    let history = |world: &mut World| {
        world.kill_all();
        world.run(CONTACT_TIME + Millis(1_000));
    };
    assert!(max_strays(history) <= MAX_STRAYS);
    assert!(max_strays_anywhere(history) <= MAX_STRAYS);
}

/// Guards against a bound that each agent keeps for itself: packets of one flow come by two balancers, while its
/// home agent and others are killed once more.
#[test]
fn copies_through_two_balancers_after_kills_in_a_row_reach_few_other_backend_servers() {
    let history = |world: &mut World| {
        world.kill_all();
        world.run(Millis(800));
        for balancer in [0, 1, 0, 1] {
            world.send_through(balancer);
            world.run(Millis(3));
        }
        for index in [1, 3, 5] {
            world.kill(index);
        }
        world.run(RESTART_TIME);
        for index in [1, 3, 5] {
            world.start(index);
        }
        world.run(Millis(700));
        world.send_through(1);
    };
    let strays = max_strays_anywhere(history);
    assert!(strays <= MAX_STRAYS, "{strays}");
}

/// Guards against a roll of several agents and balancers that loses what they know: each one's record of a
/// flow goes down with another one.
#[test]
fn a_roll_of_several_processes_at_once_needs_no_try() {
    for step in [Millis(0), Millis(300), Millis(1_300)] {
        let strays = max_strays_anywhere(|world| {
            for indices in [[0, 1, 2, 3], [2, 3, 4, 5], [5, 0, 4, 1]] {
                world.roll(&indices, step);
                world.start_balancer(0);
                world.run(Millis(2_000));
            }
        });
        assert_eq!(strays, 0, "{step:?}");
    }
}

/// Guards against packets at other backend servers while such a roll is under way.
#[test]
fn a_flow_in_use_during_a_roll_reaches_few_other_backend_servers() {
    let strays = max_strays_anywhere(|world| {
        world.roll(&[0, 1, 2, 3], Millis(300));
        world.start_balancer(0);
        for balancer in [0, 1, 0, 1] {
            world.send_through(balancer);
            world.run(Millis(150));
        }
        world.roll(&[3, 4, 5, 0], Millis(100));
    });
    assert!(strays <= MAX_STRAYS, "{strays}");
}

/// Guards against a count of tries that is lost with the home agent, and the memory of them with the agents that failed: all are
/// killed once more just after a try.
#[test]
fn two_kills_of_all_in_a_row_reach_few_other_backend_servers() {
    let strays = max_strays_anywhere(|world| {
        for _ in 0..2 {
            world.kill_all();
            for balancer in [0, 1, 0, 1] {
                world.send_through(balancer);
                world.run(Millis(250));
            }
        }
    });
    assert!(strays <= MAX_STRAYS, "{strays}");
}
