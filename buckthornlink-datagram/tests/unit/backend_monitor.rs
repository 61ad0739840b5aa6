use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use buckthornlink_core::datagram::{Connection, Event};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use super::monitor;
use crate::{Input, ReducerHandle};

const LIFETIME: Duration = Duration::from_millis(100);
/// Time in which one connection is refused.
const CLOSED_TIME: Duration = Duration::from_millis(150);
const MAX_DETECTION_TIME: Duration = Duration::from_secs(2);

/// A port on which something listens, at a loopback address that nothing else uses: the port may be closed later, and
/// must then refuse.
async fn listen(host: u8) -> (TcpListener, SocketAddrV4) {
    let ip = Ipv4Addr::new(127, 62, 0, host);
    let listener = TcpListener::bind((ip, 0)).await.unwrap();
    let SocketAddr::V4(addr) = listener.local_addr().unwrap() else {
        unreachable!("the address is of version 4")
    };
    (listener, addr)
}

/// What the monitor reports next.
async fn next_connection(inputs: &flume::Receiver<Input>) -> Connection {
    let input = timeout(MAX_DETECTION_TIME, inputs.recv_async()).await;
    match input {
        Ok(Ok(Input::Event(Event::BackendConnection(connection)))) => connection,
        other => panic!("{other:?}"),
    }
}

/// Guards against a monitor that waits forever for the end of a connection that has fallen silent.
#[tokio::test]
async fn an_absent_backend_server_is_noticed_behind_a_silent_connection() {
    let (listener, addr) = listen(1).await;
    let (sender, inputs) = flume::unbounded();
    tokio::spawn(monitor(addr, LIFETIME, ReducerHandle::new(sender)));
    let silent_connection = listener.accept().await.unwrap();
    drop(listener);
    assert_eq!(next_connection(&inputs).await, Connection::Accepted);
    assert_eq!(next_connection(&inputs).await, Connection::Refused);
    drop(silent_connection);
}

/// Guards against a backend server that is draining when its port closes, and whose end is never noticed
/// because the refusals are reported only once.
#[tokio::test]
async fn refused_connections_are_reported_again() {
    let (listener, addr) = listen(2).await;
    drop(listener);
    let (sender, inputs) = flume::unbounded();
    tokio::spawn(monitor(addr, LIFETIME, ReducerHandle::new(sender)));
    for _ in 0..2 {
        assert_eq!(next_connection(&inputs).await, Connection::Refused);
    }
}

/// Guards against an agent that does not know that the process which it was connected to is another one now.
#[tokio::test]
async fn a_connection_that_the_backend_server_closes_is_reported() {
    let (listener, addr) = listen(3).await;
    let (sender, inputs) = flume::unbounded();
    tokio::spawn(monitor(
        addr,
        MAX_DETECTION_TIME,
        ReducerHandle::new(sender),
    ));
    drop(listener.accept().await.unwrap());
    assert_eq!(next_connection(&inputs).await, Connection::Accepted);
    assert_eq!(next_connection(&inputs).await, Connection::Closed);
    assert_eq!(next_connection(&inputs).await, Connection::Accepted);
}

/// Guards against an agent that takes a backend server which was away for a moment for one that has run all the time.
#[tokio::test]
async fn a_port_that_was_closed_for_a_moment_is_reported() {
    let (listener, addr) = listen(4).await;
    let (sender, inputs) = flume::unbounded();
    tokio::spawn(monitor(
        addr,
        MAX_DETECTION_TIME,
        ReducerHandle::new(sender),
    ));
    let connection = listener.accept().await.unwrap();
    drop(listener);
    drop(connection);
    assert_eq!(next_connection(&inputs).await, Connection::Accepted);
    assert_eq!(next_connection(&inputs).await, Connection::Closed);
    sleep(CLOSED_TIME).await;
    let _listener = TcpListener::bind(addr).await.unwrap();
    assert_eq!(next_connection(&inputs).await, Connection::AcceptedAgain);
}
