use std::net::Ipv4Addr;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::interval;

use super::{Ready, Shutdown, wait_ready};
use crate::sockets::Sockets;
use buckthornlink_core::Millis;

const GRACE_PERIOD: Millis = Millis(4_500);

/// Whether a process may end this long after the request, 800 ms after its last packet.
fn may_end(elapsed: u64, waiting: usize) -> bool {
    let shutdown = Shutdown {
        elapsed: Millis(elapsed),
        quiet: Millis(800),
        pending: waiting,
    };
    shutdown.is_complete(GRACE_PERIOD)
}

#[test]
fn a_process_waits_for_the_answers_to_accepted_requests() {
    assert!(!may_end(2_000, 1));
    assert!(may_end(2_000, 0));
}

#[test]
fn a_process_ends_with_its_grace_period() {
    assert!(may_end(4_500, 1));
}

#[test]
fn a_process_waits_until_the_fabric_has_turned_away() {
    assert!(!may_end(1_000, 0));
}

/// Guards against control messages that wait while packets keep coming, and are taken for young when they are handled.
#[tokio::test]
async fn control_messages_go_before_packets() {
    let bind = || UdpSocket::bind((Ipv4Addr::new(127, 62, 1, 1), 0));
    let sockets = Sockets {
        fabric: Some(bind().await.unwrap()),
        relay: bind().await.unwrap(),
        link: bind().await.unwrap(),
        backend: Some(bind().await.unwrap()),
        delivery: None,
    };
    let sender = bind().await.unwrap();
    let receivers = [
        sockets.fabric.as_ref().unwrap(),
        sockets.backend.as_ref().unwrap(),
        &sockets.relay,
        &sockets.link,
    ];
    for receiver in receivers {
        let to = receiver.local_addr().unwrap();
        sender.send_to(b"datagram", to).await.unwrap();
        receiver.readable().await.unwrap();
    }
    let (_open, inputs) = flume::unbounded();
    let mut ticks = interval(Duration::from_mins(1));
    ticks.tick().await;
    let ready = wait_ready(&mut ticks, &inputs, &sockets).await;
    assert!(matches!(ready, Ready::Messages), "{ready:?}");
}
