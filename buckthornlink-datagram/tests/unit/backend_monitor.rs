use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use buckthornlink_core::datagram::Event;
use tokio::net::TcpListener;
use tokio::time::timeout;

use super::monitor;
use crate::{Input, ReducerHandle};

const LIFETIME: Duration = Duration::from_millis(100);
const MAX_DETECTION_TIME: Duration = Duration::from_secs(2);

/// Guards against a monitor that waits forever for the end of a connection that has fallen silent.
#[tokio::test]
async fn an_absent_backend_server_is_noticed_behind_a_silent_connection() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let SocketAddr::V4(addr) = listener.local_addr().unwrap() else {
        unreachable!("the address is of version 4")
    };
    let (sender, inputs) = flume::unbounded();
    tokio::spawn(monitor(addr, LIFETIME, ReducerHandle::new(sender)));
    let silent_connection = listener.accept().await.unwrap();
    drop(listener);
    let input = timeout(MAX_DETECTION_TIME, inputs.recv_async()).await;
    assert!(matches!(input, Ok(Ok(Input::Event(Event::BackendAbsent)))));
    drop(silent_connection);
}

/// Guards against a backend server that is draining when its port closes, and whose end is never noticed
/// because the refusals are reported only once.
#[tokio::test]
async fn refused_connections_are_reported_again() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let SocketAddr::V4(addr) = listener.local_addr().unwrap() else {
        unreachable!("the address is of version 4")
    };
    drop(listener);
    let (sender, inputs) = flume::unbounded();
    tokio::spawn(monitor(addr, LIFETIME, ReducerHandle::new(sender)));
    for _ in 0..2 {
        let input = timeout(MAX_DETECTION_TIME, inputs.recv_async()).await;
        assert!(matches!(input, Ok(Ok(Input::Event(Event::BackendAbsent)))));
    }
}
