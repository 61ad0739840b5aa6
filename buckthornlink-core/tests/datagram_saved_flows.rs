//! Flows that an agent saves in the store for its next process.

mod datagram;

use buckthornlink_core::datagram::{
    BackendHeartbeat, Connection, Effect, Event, FlowDigest, Message, Mode, OwnerRecord, Phase,
    Reducer, SavedFlow,
};
use buckthornlink_core::{BootId, Millis};

use datagram::{
    AgentDriver, PEER, TICK_INTERVAL, answer, bounced, data, draining, flow, heartbeat, is_reset,
    opening, syn_ack,
};

/// Interval between two saves of an agent of a small fleet.
const SAVE_INTERVAL: Millis = Millis(8_000);

/// The digests that an agent saves within [`SAVE_INTERVAL`].
fn saved(agent: &mut AgentDriver) -> Vec<FlowDigest> {
    let effects = agent.run(SAVE_INTERVAL);
    let digests = effects.into_iter().filter_map(|effect| match effect {
        Effect::SaveFlows(digest) => Some(digest),
        _ => None,
    });
    digests.collect()
}

fn load(agent: &mut AgentDriver, digest: FlowDigest) {
    agent.reduce(Event::SavedFlows(digest));
}

/// The flow of the caller with this port, which acknowledged the backend server's answer to its opening packet.
fn saved_flow(port: u16) -> SavedFlow {
    SavedFlow::held(flow(port), 501)
}

/// The answer to [`PEER`] that a flow has ended with the backend server that held it.
fn ended(port: u16) -> Effect {
    let message = Message::Ended(saved_flow(port));
    Effect::Send { to: PEER, message }
}

/// The reset with which a caller is told that a saved flow has ended.
fn told_of_end(port: u16) -> Effect {
    Effect::Reset {
        flow: flow(port),
        seq: 501,
    }
}

/// The answer to [`PEER`] that the backend server does not hold a flow.
fn denied(port: u16) -> Effect {
    let message = Message::Denied(flow(port));
    Effect::Send { to: PEER, message }
}

/// Whether a search was told of a try, which waits for the store, and its packet was then delivered.
fn is_tried(effects: &[Effect]) -> bool {
    let message = Message::Tried(flow(1));
    let told = Effect::Send { to: PEER, message };
    effects.len() == 2 && effects[0] == told && matches!(effects[1], Effect::Deliver(_))
}

/// What an earlier process saved of a backend server that drains: it holds flow 1 and opens no more.
fn final_digest() -> FlowDigest {
    let mut digest = FlowDigest::new(BootId(5_000), [saved_flow(1)]);
    digest.is_final = true;
    digest
}

/// An agent that has just started beside a backend server that runs, and finds a flow that its predecessor
/// saved.
fn restarted() -> AgentDriver {
    let mut agent = AgentDriver::without_backend();
    let digest = FlowDigest::new(BootId(5_000), [saved_flow(1)]);
    load(&mut agent, digest);
    agent
}

#[test]
fn an_open_flow_is_saved_once() {
    let mut agent = AgentDriver::ready();
    load(&mut agent, FlowDigest::default());
    agent.open_flow(1);
    let digests = saved(&mut agent);
    assert_eq!(digests.len(), 1, "{digests:?}");
    assert!(digests[0].contains(&flow(1)) && !digests[0].contains(&flow(2)));
    assert_eq!(saved(&mut agent), []);
}

/// Guards against a process that replaces what its predecessor saved before it has read that.
#[test]
fn nothing_is_saved_before_the_flows_of_an_earlier_process_were_read() {
    let mut agent = AgentDriver::ready();
    agent.open_flow(1);
    assert_eq!(saved(&mut agent), []);
}

/// Guards against the loss of idle flows when a process is killed twice.
#[test]
fn flows_of_an_earlier_process_are_saved_again() {
    let mut agent = restarted();
    agent.heartbeat(heartbeat(40));
    agent.open_flow(2);
    let digests = saved(&mut agent);
    let last = digests.last().expect("the flows are saved");
    assert!(
        last.contains(&flow(1)) && last.contains(&flow(2)),
        "{last:?}"
    );
}

/// Guards against a search that finds nobody after all processes were killed, though the flow was saved.
#[test]
fn a_search_finds_a_flow_that_an_earlier_process_saved() {
    let mut agent = restarted();
    let tried = agent.packet_from_peer(data(1), Mode::Search);
    assert!(is_tried(&tried), "{tried:?}");
    let answered = agent.packet_from_backend(answer(1));
    let is_told = |e: &Effect| matches!(e, Effect::Send { to: PEER, .. });
    assert!(answered.iter().any(is_told), "{answered:?}");
    let other = agent.packet_from_peer(data(2), Mode::Search);
    assert_eq!(other, [], "a flow that was not saved");
}

/// Guards against a second try at the same backend server, and against a denial that hides the first one.
#[test]
fn a_saved_flow_that_the_backend_server_returns_counts_as_tried() {
    let mut agent = restarted();
    agent.packet_from_peer(data(1), Mode::Search);
    agent.packet_from_backend(bounced(data(1)));
    for mode in [Mode::Search, Mode::Try] {
        let next = agent.packet_from_peer(data(1), mode);
        let is_returned =
            |e: &Effect| matches!(e, Effect::Relay { to: PEER, tag } if tag.mode == Mode::Failed);
        assert!(next.len() == 1 && next.iter().all(is_returned), "{next:?}");
    }
}

/// Guards against a reload of the settings, after which the process reads what it saved itself: flows that have ended
/// since would be saved again.
#[test]
fn what_this_process_saved_is_not_taken_over() {
    let mut agent = restarted();
    load(&mut agent, FlowDigest::new(BootId(5_000), [saved_flow(2)]));
    let own = agent.packet_from_peer(data(2), Mode::Search);
    assert_eq!(own, []);
    let earlier = agent.packet_from_peer(data(1), Mode::Search);
    assert!(is_tried(&earlier), "{earlier:?}");
}

/// Guards against flows of a backend server that has ended since they were saved.
#[test]
fn flows_of_another_boot_are_not_taken_over() {
    let mut agent = restarted();
    let mut replaced = heartbeat(40);
    replaced.born = Some(6_000);
    agent.heartbeat(replaced);
    let next = agent.packet_from_peer(data(1), Mode::Search);
    assert_eq!(next, [ended(1)]);
    assert!(agent.agent.flows().get(&flow(1)).is_none());
    assert_eq!(agent.agent.gossip().own().backend, BootId(6_000));
}

/// Guards against calls to the store for flows that have ended, or end before a save is of use.
#[test]
fn only_new_flows_that_last_are_saved() {
    let mut agent = AgentDriver::ready();
    load(&mut agent, FlowDigest::default());
    for port in 1..=2 {
        agent.open_flow(port);
    }
    assert_eq!(saved(&mut agent).len(), 1);
    let mut closing = data(1);
    closing.flags.rst = true;
    agent.packet_from_peer(closing, Mode::Known);
    assert_eq!(saved(&mut agent), []);
    agent.run(Millis(7_500));
    agent.open_flow(3);
    assert_eq!(
        agent
            .run(Millis(600))
            .iter()
            .filter(|e| matches!(e, Effect::SaveFlows(_)))
            .count(),
        0
    );
}

/// Guards against calls to the store whose number grows with the fleet.
#[test]
fn agents_of_a_large_fleet_save_less_often() {
    let mut agent = AgentDriver::ready();
    load(&mut agent, FlowDigest::default());
    for (net, host) in (0..6).flat_map(|net| (0..200).map(move |host| (net, host))) {
        agent.discover(std::net::Ipv4Addr::new(10, 2, net, host));
    }
    let mut saves = 0;
    for port in 1..=7 {
        agent.open_flow(port);
        saves += saved(&mut agent).len();
    }
    assert!((1..=2).contains(&saves), "{saves}");
}

/// Guards against callers that wait for their deadlines after a loss of power: the machine has booted since the flows were
/// saved, so the backend server that held them is gone, though no heartbeat of another one says so.
#[test]
fn flows_that_were_saved_before_the_machine_booted_have_ended() {
    let mut agent = AgentDriver::without_backend();
    let mut digest = FlowDigest::new(BootId(5_000), [saved_flow(1)]);
    digest.saved_at = agent.now + Millis(1);
    load(&mut agent, digest);
    assert_eq!(agent.packet_from_peer(data(1), Mode::Search), []);
    let told = agent.reduce(Event::BackendConnection(Connection::Refused));
    assert_eq!(told, [told_of_end(1)]);
    assert_eq!(agent.packet_from_peer(data(1), Mode::Search), [ended(1)]);
    assert_eq!(agent.packet_from_peer(data(2), Mode::Search), []);
}

/// Guards against requests that are sent on a dead flow and may not be repeated: callers are told of the end once.
#[test]
fn callers_of_saved_flows_are_told_once_that_their_backend_server_was_replaced() {
    let mut agent = AgentDriver::without_backend();
    let digest = FlowDigest::new(BootId(4_000), [1, 2].map(saved_flow));
    load(&mut agent, digest);
    assert!(!agent.run(Millis(400)).iter().any(is_reset));
    let effects = agent.heartbeat(heartbeat(1));
    let resets: Vec<Effect> = effects.into_iter().filter(is_reset).collect();
    assert_eq!(resets, [1, 2].map(told_of_end));
    assert!(!agent.run(Millis(2_000)).iter().any(is_reset));
}

/// Guards against the reset of a flow that its caller opened from the same port since, and whose sequence numbers are others.
#[test]
fn a_later_flow_of_the_same_addresses_is_not_reported_as_ended() {
    let mut agent = beside_successor(FlowDigest::new(BootId(5_000), [saved_flow(1)]));
    let mut later = data(1);
    later.ack = 0x8000_0000;
    assert_eq!(agent.packet_from_peer(later, Mode::Search), []);
    assert_eq!(agent.packet_from_peer(data(1), Mode::Search), [ended(1)]);
}

/// Guards against the loss of a flow whose backend server drains on while only the agent restarted.
#[test]
fn a_flow_of_a_final_set_is_delivered_and_others_are_denied() {
    let mut agent = AgentDriver::without_backend();
    load(&mut agent, final_digest());
    assert_eq!(agent.packet_from_peer(data(2), Mode::Search), []);
    agent.heartbeat(draining(40));
    assert_eq!(agent.packet_from_peer(data(2), Mode::Search), [denied(2)]);
    let tried = agent.packet_from_peer(data(1), Mode::Search);
    assert!(is_tried(&tried), "{tried:?}");
}

/// Guards against searches that wait for an agent beside a backend server that drained and is gone, or has closed its port.
#[test]
fn a_final_set_denies_others_while_nothing_listens() {
    let mut agent = AgentDriver::without_backend();
    load(&mut agent, final_digest());
    agent.reduce(Event::BackendConnection(Connection::Refused));
    assert_eq!(agent.packet_from_peer(data(2), Mode::Search), [denied(2)]);
    let tried = agent.packet_from_peer(data(1), Mode::Search);
    assert!(is_tried(&tried), "{tried:?}");
}

/// Guards against a denial of flows that another backend server has opened since at the same address.
#[test]
fn a_final_set_says_nothing_about_another_boot() {
    let mut agent = AgentDriver::without_backend();
    load(&mut agent, final_digest());
    let mut next = heartbeat(40);
    next.born = Some(6_000);
    agent.heartbeat(next);
    assert_eq!(agent.packet_from_peer(data(2), Mode::Search), []);
}

/// Guards against a late heartbeat of a backend server that drains, by which a process that has just started would admit
/// flows that the final set lacks.
#[test]
fn a_backend_server_whose_set_is_final_gets_no_new_flow() {
    let mut agent = AgentDriver::without_backend();
    load(&mut agent, final_digest());
    agent.heartbeat(heartbeat(39));
    let effects = agent.packet_from_peer(opening(2), Mode::Placed);
    assert!(
        matches!(effects[..], [Effect::Relay { tag, .. }] if tag.mode == Mode::Refused),
        "{effects:?}"
    );
}

/// Guards against a final set that is saved too late, lacks the youngest flows, or is saved by a process that does not
/// know all flows.
#[test]
fn the_set_of_a_backend_server_that_begins_to_drain_is_saved_at_once() {
    let mut agent = AgentDriver::ready();
    load(&mut agent, FlowDigest::default());
    agent.open_flow(1);
    agent.packet_from_peer(opening(2), Mode::Placed);
    agent.heartbeat(draining(2));
    let digests = saved(&mut agent);
    let last = digests.last().expect("the set is saved");
    assert!(last.is_final && last.contains(&flow(1)) && last.contains(&flow(2)));
    assert_eq!(digests.len(), 1);

    let mut newcomer = AgentDriver::without_backend();
    load(&mut newcomer, FlowDigest::default());
    newcomer.heartbeat(draining(40));
    assert!(saved(&mut newcomer).iter().all(|digest| !digest.is_final));
}

/// Guards against a search that waits for an agent which never heard its backend server: the owner's word suffices.
#[test]
fn a_flow_that_its_owner_reports_as_ended_is_reset_though_others_do_not_answer() {
    let mut home = AgentDriver::ready();
    home.discover(PEER);
    let silent = std::net::Ipv4Addr::new(10, 1, 0, 3);
    home.discover_in(silent, Phase::Starting);
    home.run(Millis(1_000));
    home.packet_from_peer(data(1), Mode::Lookup);
    let effects = home.message(Message::Ended(saved_flow(1)));
    assert!(effects.iter().any(is_reset), "{effects:?}");
}

/// Guards against the reset of a flow that its caller opened from the same port since: an agent that hears its backend
/// server has time to claim it.
#[test]
fn a_living_owner_comes_before_the_report_of_an_earlier_one() {
    let mut home = AgentDriver::ready();
    home.discover(PEER);
    let owner = std::net::Ipv4Addr::new(10, 1, 0, 3);
    home.discover(owner);
    home.run(Millis(1_000));
    home.packet_from_peer(data(1), Mode::Lookup);
    let reported = home.message(Message::Ended(saved_flow(1)));
    assert!(!reported.iter().any(is_reset), "{reported:?}");
    let record = OwnerRecord {
        flow: flow(1),
        owner,
        backend: BootId(1),
    };
    let message = Message::OwnerRecords(vec![record]);
    home.reduce(Event::Message {
        from: owner,
        message,
    });
    assert!(!home.run(Millis(1_000)).iter().any(is_reset));
}

/// A process that starts beside the next backend server, and finds what was saved of the one before.
fn beside_successor(digest: FlowDigest) -> AgentDriver {
    let mut agent = AgentDriver::without_backend();
    load(&mut agent, digest);
    let mut next = heartbeat(40);
    next.born = Some(6_000);
    agent.heartbeat(next);
    agent
}

/// Guards against the reset of a living flow whose opening packet was offered here and accepted elsewhere, or of which one
/// packet was tried here: a final set names it, since it may be held, but that does not show that it was.
#[test]
fn a_flow_that_may_have_been_held_is_not_reported_as_ended() {
    let mut agent = AgentDriver::ready();
    load(&mut agent, FlowDigest::default());
    agent.open_flow(1);
    agent.packet_from_peer(opening(2), Mode::Placed);
    agent.packet_from_peer(opening(3), Mode::Placed);
    agent.packet_from_backend(syn_ack(3, 500));
    agent.heartbeat(draining(2));
    let digest = saved(&mut agent).pop().expect("the set is saved");
    let mut next = beside_successor(digest);
    assert_eq!(next.packet_from_peer(data(1), Mode::Search), [ended(1)]);
    for port in [2, 3] {
        assert_eq!(next.packet_from_peer(data(port), Mode::Search), []);
    }
}

/// Guards against the denial of a living flow: the process that heard the next backend server is killed before it saves
/// flows of that one, whose TCP port is closed when the following process starts.
#[test]
fn a_final_set_is_replaced_as_soon_as_another_boot_is_heard() {
    let mut agent = beside_successor(final_digest());
    let is_replaced =
        |e: &Effect| matches!(e, Effect::SaveFlows(d) if !d.is_final && d.backend == BootId(6_000));
    let effects = agent.advance(TICK_INTERVAL);
    assert!(effects.iter().any(is_replaced), "{effects:?}");
}

/// Guards against a final set that lacks all flows, since both ports were closed for a moment when it was made.
#[test]
fn no_final_set_is_saved_while_the_backend_server_counts_as_ended() {
    let mut agent = AgentDriver::ready();
    load(&mut agent, FlowDigest::default());
    agent.open_flow(1);
    agent.heartbeat(draining(2));
    agent.end_backend();
    let digests = saved(&mut agent);
    let lacks = |d: &FlowDigest| d.is_final && !d.contains(&flow(1));
    assert!(!digests.iter().any(lacks), "{digests:?}");
}

/// Guards against the reset of living flows if the clocks of two processes differ, as those of two containers may: the
/// backend server that held the flows is heard.
#[test]
fn a_backend_server_that_is_heard_has_not_ended_by_the_clock() {
    let mut agent = AgentDriver::without_backend();
    let mut digest = FlowDigest::new(BootId(5_000), [saved_flow(1)]);
    digest.saved_at = agent.now + Millis(1);
    load(&mut agent, digest);
    agent.heartbeat(heartbeat(40));
    let tried = agent.packet_from_peer(data(1), Mode::Search);
    assert!(is_tried(&tried), "{tried:?}");
}

/// Guards against the reset of a flow that its caller opened elsewhere from the same port, once it was told of the end of
/// the one that was saved.
#[test]
fn a_flow_whose_caller_was_told_is_not_reported_as_ended_again() {
    let mut agent = restarted();
    agent.heartbeat(heartbeat(40));
    agent.packet_from_peer(data(1), Mode::Search);
    agent.packet_from_backend(answer(1));
    let mut next = heartbeat(1);
    next.born = Some(6_000);
    agent.heartbeat(next);
    assert!(agent.run(Millis(400)).iter().any(is_reset));
    let answers = agent.message(Message::Query(vec![flow(1)]));
    assert_eq!(answers, [denied(1)]);
}

/// Guards against callers that wait for their deadlines after a loss of all: a saved flow was tried at the next boot before
/// that one was heard, and the home agent does not ask again, as the packet was returned.
#[test]
fn the_end_of_a_saved_flow_that_was_tried_is_reported_once_the_next_boot_is_heard() {
    let mut agent = AgentDriver::without_backend();
    let ports = 1..=8;
    let flows = ports.clone().map(saved_flow);
    load(&mut agent, FlowDigest::new(BootId(5_000), flows));
    agent.discover(PEER);
    for port in ports.clone() {
        agent.packet_from_peer(data(port), Mode::Search);
        agent.packet_from_backend(bounced(data(port)));
    }
    let mut next = heartbeat(2);
    next.born = Some(6_000);
    let effects = agent.heartbeat(next);
    let mut told = ports.clone().map(told_of_end);
    assert!(told.all(|reset| effects.contains(&reset)), "{effects:?}");
    let reported = ports.clone().filter(|port| effects.contains(&ended(*port)));
    assert!(reported.count() > 0, "{effects:?}");
    for port in ports {
        let next = agent.packet_from_peer(data(port), Mode::Search);
        assert_eq!(next, [ended(port)]);
    }
}

/// Guards against the reset of a living flow by the next process: it opened while its agent took the boot before for the running one, and
/// was saved under that name. What the boot before held for certain is told of its end.
#[test]
fn a_flow_that_may_have_opened_at_an_unknown_boot_is_not_saved_as_held() {
    let mut agent = AgentDriver::ready();
    load(&mut agent, FlowDigest::default());
    agent.open_flow(1);
    for seq in 2..9 {
        agent.run(Millis(1_200));
        agent.heartbeat(heartbeat(seq));
    }
    agent.open_flow(2);
    let digests = saved(&mut agent);
    let digest = digests.last().expect("flow 2 is to be saved");
    assert!(digest.held(&flow(1)).is_some(), "{digest:?}");
    assert!(digest.contains(&flow(2)) && digest.held(&flow(2)).is_none());

    let mut next = AgentDriver::without_backend();
    load(&mut next, digest.clone());
    let mut effects = next.heartbeat(next_boot(40));
    effects.extend(next.packet_from_peer(data(2), Mode::Known));
    assert!(effects.contains(&told_of_end(1)), "{effects:?}");
    assert!(!effects.contains(&told_of_end(2)), "{effects:?}");
    assert!(effects.iter().any(|e| matches!(e, Effect::Deliver(_))));
}

/// A heartbeat of the boot after that of the saved flows.
fn next_boot(seq: u64) -> BackendHeartbeat {
    BackendHeartbeat {
        born: Some(6_000),
        ..heartbeat(seq)
    }
}

/// Guards against callers that wait for their deadlines after a loss of all: a saved flow was tried before the next boot was heard, and
/// the answer was lost.
#[test]
fn the_end_of_a_saved_flow_under_trial_is_reported_once_the_next_boot_is_heard() {
    for heard in [2, 40] {
        let mut agent = restarted();
        agent.discover(PEER);
        agent.packet_from_peer(data(1), Mode::Search);
        let effects = agent.heartbeat(next_boot(heard));
        assert!(effects.contains(&told_of_end(1)), "{heard}: {effects:?}");
        let next = agent.packet_from_peer(data(1), Mode::Search);
        assert_eq!(next, [ended(1)], "{heard}");
    }
}
