//! End-to-end tests with real balancers and agents.

use std::net::UdpSocket;
use std::time::Duration;

use buckthornlink_agent::client::Flow;
use buckthornlink_core::verdict::{
    ATTEMPT_HEADER, CLASS_HEADER, DEADLINE_HEADER, REASON_HEADER, REQUEST_ID_HEADER, VERDICT_HEADER,
};
use buckthornlink_core::{ServicePort, ZoneTag};
use buckthornlink_fakes::{Counts, Fleet, Preset};
use buckthornlink_wire::{CidCodec, FlowLocation, KeyRing};
use http::Request;

const THINK_TIME: Duration = Duration::from_millis(40);

async fn spawn_fleet(preset: Preset, seed: u64) -> Fleet {
    let fleet = Fleet::spawn(preset, seed).await.unwrap();
    let version = fleet.apply(&fleet.config_text()).await.unwrap();
    fleet.wait_until_in_force(version).await.unwrap();
    fleet
}

/// Asserts what holds under all planned changes and failures.
fn assert_guarantees(fleet: &Fleet, counts: &Counts) {
    assert!(counts.answered > 0, "{counts:?}");
    assert_eq!(counts.wrong_answer, 0, "{counts:?}");
    assert_eq!(counts.false_not_run, 0, "{counts:?}");
    assert_eq!(fleet.request_log().run_twice(), 0);
    assert_eq!(fleet.request_log().wrong_service(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn flows_survive_planned_changes() {
    let mut fleet = spawn_fleet(Preset::Carpatia, 1).await;
    let callers = fleet.spawn_callers(24, THINK_TIME).unwrap();
    tokio::time::sleep(Duration::from_millis(700)).await;
    fleet.add_balancer().await.unwrap();
    fleet.remove_balancer(false).await;
    assert!(fleet.drain_host(0).await, "the host drained in time");
    fleet.start_host(0).await.unwrap();
    tokio::time::sleep(Duration::from_millis(700)).await;
    let counts = callers.finish().await;
    assert_guarantees(&fleet, &counts);
    assert_eq!(counts.broken_flows, 0, "{counts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_is_taken_out_and_brought_back() {
    let fleet = spawn_fleet(Preset::Chalkline, 2).await;
    let callers = fleet.spawn_callers(21, THINK_TIME).unwrap();
    tokio::time::sleep(Duration::from_millis(700)).await;
    callers.set_zone_out("forth-2", true);
    fleet.set_zone("forth-2", true).await.unwrap();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = datagram_count(&fleet, "forth-2");
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(
        datagram_count(&fleet, "forth-2"),
        before,
        "the zone gets no more datagrams"
    );
    fleet.set_zone("forth-2", false).await.unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let counts = callers.finish().await;
    assert_guarantees(&fleet, &counts);
    assert_eq!(counts.broken_flows, 0, "{counts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn failures_break_flows_but_no_guarantee() {
    let mut fleet = spawn_fleet(Preset::Carpatia, 3).await;
    let callers = fleet.spawn_callers(24, THINK_TIME).unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.store().set_available(false);
    fleet.remove_balancer(true).await;
    fleet.kill_host(2);
    fleet.add_balancer().await.unwrap();
    if let Some(backend) = fleet.hosts()[3].backend() {
        backend.restart();
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.start_host(2).await.unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let counts = callers.finish().await;
    assert_guarantees(&fleet, &counts);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_datagrams_are_not_amplified_and_do_not_affect_callers() {
    let fleet = spawn_fleet(Preset::Carpatia, 4).await;
    let (ip, _) = fleet.balancers()[0];
    let service = fleet.hosts()[0].service();
    assert_eq!(service, "token");
    let attacker = UdpSocket::bind((ip, 0)).unwrap();
    attacker
        .set_read_timeout(Some(Duration::from_millis(300)))
        .unwrap();
    let other_keys = KeyRing::single(1, &[9; 32]);
    let location = FlowLocation {
        agent: "127.0.0.1:9".parse().unwrap(),
        service: ServicePort(4433),
        zone: ZoneTag::of("brasov-1"),
        boot: 1,
    };
    let forged = CidCodec::seal(&location, 1, other_keys.current());
    let mut short = vec![0x40];
    short.extend_from_slice(&forged);
    short.extend_from_slice(&[0; 40]);
    for datagram in [&[][..], &[0], &[0xff; 1_200], &[0x40; 60], &short] {
        attacker.send_to(datagram, (ip, 4_433)).unwrap();
        attacker.send_to(datagram, (ip, 4_400)).unwrap();
    }
    let mut buffer = [0; 2_000];
    let mut received_bytes = 0;
    while let Ok(len) = attacker.recv(&mut buffer) {
        received_bytes += len;
    }
    assert!(
        received_bytes <= 1_200 + 60 + 61,
        "{received_bytes} bytes were sent back"
    );
    assert!(
        dropped_count(&fleet, "noise").await >= 2,
        "datagrams without a QUIC connection id are counted"
    );
    assert!(
        dropped_count(&fleet, "envelope").await >= 5,
        "datagrams without a valid envelope are counted"
    );
    let callers = fleet.spawn_callers(4, THINK_TIME).unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let counts = callers.finish().await;
    assert_guarantees(&fleet, &counts);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flow_is_dropped_at_the_address_of_another_service() {
    let fleet = spawn_fleet(Preset::Carpatia, 8).await;
    let (ip, _) = fleet.balancers()[0];
    let agent = fleet.hosts()[0].agent().unwrap();
    let keys = KeyRing::single(1, &[0x42; 32]);
    let location = FlowLocation {
        agent: agent.link(),
        service: ServicePort(4_433),
        zone: ZoneTag::of("brasov-1"),
        boot: 1,
    };
    let id = CidCodec::seal(&location, 1, keys.current());
    let mut datagram = vec![0x40];
    datagram.extend_from_slice(&id);
    datagram.extend_from_slice(&[0; 40]);
    let caller = UdpSocket::bind((ip, 0)).unwrap();
    caller
        .set_read_timeout(Some(Duration::from_millis(300)))
        .unwrap();
    let before = agent.stats().datagrams;
    caller.send_to(&datagram, (ip, 4_434)).unwrap();
    let mut buffer = [0; 2_000];
    assert!(caller.recv(&mut buffer).is_err(), "nothing is sent back");
    assert_eq!(dropped_count(&fleet, "misrouted").await, 1);
    assert_eq!(agent.stats().datagrams, before);
}

/// Number of datagrams that the first balancer dropped for `reason`.
async fn dropped_count(fleet: &Fleet, reason: &str) -> u64 {
    let (_, balancer) = &fleet.balancers()[0];
    let url = format!("http://{}/metrics", balancer.http());
    let text = reqwest::get(url).await.unwrap().text().await.unwrap();
    let name = format!("buckthornlink_dropped_total{{reason=\"{reason}\"}} ");
    let line = text.lines().find_map(|line| line.strip_prefix(&name));
    line.map_or(0, |count| count.parse().unwrap())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_balancer_gets_its_state_from_peers_while_the_store_is_down() {
    let mut fleet = spawn_fleet(Preset::Carpatia, 5).await;
    fleet.store().set_available(false);
    fleet.add_balancer().await.unwrap();
    let version = fleet.balancers()[0].1.version();
    fleet.wait_until_in_force(version).await.unwrap();
    while fleet.balancers().len() > 1 {
        fleet.remove_balancer(true).await;
    }
    let callers = fleet.spawn_callers(8, THINK_TIME).unwrap();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let counts = callers.finish().await;
    assert_guarantees(&fleet, &counts);
}

fn datagram_count(fleet: &Fleet, zone: &str) -> u64 {
    let hosts = fleet.hosts().iter().filter(|h| h.zone() == zone);
    hosts
        .filter_map(|h| h.agent())
        .map(|a| a.stats().datagrams)
        .sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_continue_while_flows_to_a_dependency_are_missing() {
    let mut fleet = spawn_fleet(Preset::Chalkline, 6).await;
    let callers = fleet.spawn_callers(20, THINK_TIME).unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let pack_host = fleet
        .hosts()
        .iter()
        .position(|h| h.service() == "pack")
        .unwrap();
    fleet.kill_host(pack_host);
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.start_host(pack_host).await.unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let counts = callers.finish().await;
    assert_guarantees(&fleet, &counts);
    assert_eq!(counts.broken_flows, 0, "{counts:?}");
}

/// Sends a POST with `headers` and returns the status, verdict and reason.
async fn post(flow: &Flow, headers: &[(&'static str, &str)]) -> String {
    let mut request = Request::post("https://token/token/redeem")
        .body(())
        .unwrap();
    for (name, value) in headers {
        request.headers_mut().insert(*name, value.parse().unwrap());
    }
    let (head, _) = flow.call(request, "body".into()).await.unwrap();
    let text = |name| head.headers().get(name).map_or("", |v| v.to_str().unwrap());
    format!(
        "{} {} {}",
        head.status().as_u16(),
        text(VERDICT_HEADER),
        text(REASON_HEADER)
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_with_malformed_headers_never_run() {
    let fleet = spawn_fleet(Preset::Carpatia, 9).await;
    let flow = fleet.open_flow().await.unwrap();
    let id = (REQUEST_ID_HEADER, "r-1");
    assert_eq!(post(&flow, &[]).await, "400 not-run malformed");
    let second = post(&flow, &[id, (ATTEMPT_HEADER, "second")]).await;
    assert_eq!(second, "400 may-have-run malformed");
    let soon = post(&flow, &[id, (DEADLINE_HEADER, "soon")]).await;
    assert_eq!(soon, "400 may-have-run malformed");
    assert!(!fleet.request_log().has_run("r-1"));
    assert_eq!(post(&flow, &[id]).await, "200 ran ");
    assert_eq!(post(&flow, &[id, (ATTEMPT_HEADER, "2")]).await, "200 ran ");
    let other = post(&flow, &[(REQUEST_ID_HEADER, "r-2"), (ATTEMPT_HEADER, "2")]).await;
    assert_eq!(other, "502 may-have-run no-record");
    assert_eq!(fleet.request_log().run_twice(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_number_of_request_classes_is_limited() {
    let fleet = spawn_fleet(Preset::Carpatia, 10).await;
    let flow = fleet.open_flow().await.unwrap();
    for i in 0..60 {
        let (id, class) = (format!("r-{i}"), format!("class-{i}"));
        let headers = [
            (REQUEST_ID_HEADER, id.as_str()),
            (CLASS_HEADER, class.as_str()),
        ];
        assert_eq!(post(&flow, &headers).await, "200 ran ");
    }
    let mut classes = 0;
    for agent in fleet.hosts().iter().filter_map(|h| h.agent()) {
        let url = format!("http://{}/metrics", agent.http());
        let text = reqwest::get(url).await.unwrap().text().await.unwrap();
        let is_class = |l: &&str| l.starts_with("buckthornlink_request_seconds_count");
        classes = classes.max(text.lines().filter(is_class).count());
    }
    assert!((2..=33).contains(&classes), "{classes} classes");
}
