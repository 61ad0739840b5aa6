//! What an agent that has just started believes of a backend server that its earlier process knew.

mod datagram;

use std::sync::Arc;

use buckthornlink_core::datagram::{
    BackendHeartbeat, Balancer, Effect, Event, Fact, Load, Message, Mode, Phase, Reducer, Role,
    ServiceTag, Status, StoreView,
};
use buckthornlink_core::{BootId, Millis};

use datagram::{AgentDriver, BALANCER, OWN, data, fact, heartbeat, service, setup, status, table};

/// Time of day at which the process of the agent starts.
const START: u64 = 50_000;
/// Time of day at which the backend server started, by a clock that was ahead.
const AHEAD: u64 = START + 2_000;
/// The same, a second before the agent.
const BEFORE: u64 = START - 1_000;

/// A heartbeat of a backend server that started at `born`.
fn heartbeat_of(born: u64, seq: u64) -> BackendHeartbeat {
    BackendHeartbeat {
        born: Some(born),
        ..heartbeat(seq)
    }
}

/// The fact of an earlier process of the agent, which knew a backend server that started at `born`.
fn earlier_fact(born: u64) -> Fact {
    Fact {
        boot: BootId(1),
        backend: BootId(born),
        ..fact(OWN, Phase::Ready, Load::default())
    }
}

/// A message of a balancer that remembers the earlier process.
fn reminder(born: u64) -> Message {
    let balancer = Balancer::new(&setup(BALANCER, Role::Balancer), Millis(1_000));
    Message::Status(Status {
        from: *balancer.gossip().own(),
        store: StoreView::default(),
        facts: vec![earlier_fact(born)],
        beats: Vec::new(),
        known: 2,
        asks: false,
    })
}

fn remind(agent: &mut AgentDriver, born: u64) -> Vec<Effect> {
    let from = BALANCER;
    let message = reminder(born);
    agent.reduce(Event::Message { from, message })
}

/// The service of another backend server, which is configured as well.
fn other_service() -> ServiceTag {
    ServiceTag::of("ledger")
}

/// An agent that has just started, in a configuration with both services.
fn agent_of_two_services() -> AgentDriver {
    let mut agent = AgentDriver::started_at_time(BootId(START));
    let mut table = table(2);
    let limits = table.services[&service()];
    table.services.insert(other_service(), limits);
    agent.reduce(Event::Table(Arc::new(table)));
    agent
}

/// Whether a heartbeat that was held up is passed over, and the next one of the backend server that lives is not.
fn assert_passed_over(agent: &mut AgentDriver, late: BackendHeartbeat) {
    agent.heartbeat(late);
    assert_eq!(agent.phase(), Phase::Starting);
    agent.run(Millis(200));
    agent.heartbeat(heartbeat_of(BEFORE + 500, 4));
    assert_eq!(agent.phase(), Phase::Ready);
}

/// Whether the agent denies a flow that it has not seen.
fn denies(agent: &mut AgentDriver) -> bool {
    let effects = agent.packet_from_peer(data(1), Mode::Search);
    let is_denial = |e: &Effect| {
        let Effect::Send { message, .. } = e else {
            return false;
        };
        matches!(message, Message::Denied(_))
    };
    effects.iter().any(is_denial)
}

/// Guards against the denial of living flows that an earlier process admitted: the clock was ahead when the
/// backend server started, its count begins at zero, or its first heartbeat was held up.
#[test]
fn an_agent_denies_no_flows_of_a_backend_server_that_its_earlier_process_knew() {
    for (born, seq) in [(AHEAD, 3), (BEFORE, 1), (START, 2)] {
        let mut unaware = AgentDriver::started_at_time(BootId(START));
        unaware.heartbeat(heartbeat_of(born, seq));
        assert!(denies(&mut unaware), "{born}, {seq}: without a predecessor");

        let mut reminded = AgentDriver::started_at_time(BootId(START));
        remind(&mut reminded, born);
        reminded.heartbeat(heartbeat_of(born, seq));
        assert!(
            !denies(&mut reminded),
            "{born}, {seq}: before the heartbeat"
        );

        let mut late = AgentDriver::started_at_time(BootId(START));
        late.heartbeat(heartbeat_of(born, seq));
        remind(&mut late, born);
        assert!(!denies(&mut late), "{born}, {seq}: after the heartbeat");
        assert!(late.agent.gossip().own().holds_earlier, "{born}, {seq}");
    }
}

/// Guards against callers of dead flows that wait: a backend server that started since the earlier process is another one.
#[test]
fn an_agent_denies_flows_of_a_backend_server_that_began_after_its_earlier_process() {
    let mut agent = AgentDriver::started_at_time(BootId(START));
    remind(&mut agent, BEFORE);
    agent.heartbeat(heartbeat_of(START, 1));
    assert!(denies(&mut agent));
}

/// Guards against an agent that nobody reminds of its earlier process.
#[test]
fn a_restarted_agent_is_reminded_of_what_its_earlier_process_knew() {
    let start = Millis(1_000);
    let mut balancer = Balancer::new(&setup(BALANCER, Role::Balancer), start);
    let earlier = earlier_fact(BEFORE);
    let later = Fact {
        boot: BootId(START),
        backend: BootId::default(),
        ..earlier
    };
    let mut effects = Vec::new();
    for from in [earlier, later] {
        let message = status(from);
        let event = Event::Message { from: OWN, message };
        balancer.reduce(event, start, &mut effects);
    }
    let reminds = |e: &&Effect| {
        let Effect::Send { to: OWN, message } = e else {
            return false;
        };
        matches!(message, Message::Status(status) if status.facts == [earlier])
    };
    assert_eq!(effects.iter().filter(reminds).count(), 1, "{effects:?}");
}

/// Guards against requests that run at the service of a backend server that is gone, since its heartbeat was held
/// up and is the first one that a restarted agent hears beside a backend server of another service.
#[test]
fn a_held_up_heartbeat_of_another_service_opens_no_flows() {
    let late = BackendHeartbeat {
        id: "i-gone".to_owned(),
        service: other_service(),
        ..heartbeat_of(BEFORE, 9)
    };
    let mut agent = agent_of_two_services();
    assert_passed_over(&mut agent, late);
}

/// Guards against the same of a backend server of the same service.
#[test]
fn a_held_up_heartbeat_from_before_the_earlier_process_opens_no_flows() {
    let late = BackendHeartbeat {
        id: "i-gone".to_owned(),
        ..heartbeat_of(BEFORE, 9)
    };
    let mut agent = AgentDriver::started_at_time(BootId(START));
    remind(&mut agent, BEFORE + 500);
    assert_passed_over(&mut agent, late);
}

/// Guards against a backend server that is hidden for good, as the settings of its agent name another service.
#[test]
fn a_backend_server_of_another_service_is_believed_after_some_heartbeats() {
    let mut agent = agent_of_two_services();
    for seq in 4..7 {
        agent.heartbeat(BackendHeartbeat {
            service: other_service(),
            ..heartbeat_of(BEFORE, seq)
        });
        agent.run(Millis(1_200));
    }
    assert_eq!(agent.phase(), Phase::Ready);
}

/// Guards against a backend server that is hidden for good, as its heartbeats do not tell when it started.
#[test]
fn a_backend_server_without_a_start_time_is_believed_at_once() {
    let mut agent = AgentDriver::started_at_time(BootId(START));
    remind(&mut agent, BEFORE);
    agent.heartbeat(BackendHeartbeat {
        born: None,
        ..heartbeat(4)
    });
    assert_eq!(agent.phase(), Phase::Ready);
}
