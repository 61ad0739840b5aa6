use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::{connect, send_connected, take_refusal};

/// Time for which the system may take to report a refusal on loopback.
const REPORT_TIME: Duration = Duration::from_millis(50);

async fn bind() -> (UdpSocket, SocketAddrV4) {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    match socket.local_addr().unwrap() {
        SocketAddr::V4(addr) => (socket, addr),
        SocketAddr::V6(_) => unreachable!("the address is of version 4"),
    }
}

/// Guards against a crash that goes unnoticed: the port of a process that is gone refuses datagrams.
#[tokio::test]
async fn a_datagram_to_an_address_at_which_nothing_receives_is_refused() {
    let (receiver, addr) = bind().await;
    let socket = connect(Ipv4Addr::LOCALHOST, addr).await.unwrap();
    socket.writable().await.unwrap();
    assert!(!send_connected(&socket, b"first"));
    sleep(REPORT_TIME).await;
    assert!(!take_refusal(&socket), "the receiver is there");
    drop(receiver);
    assert!(!send_connected(&socket, b"second"));
    sleep(REPORT_TIME).await;
    assert!(send_connected(&socket, b"third"));
    sleep(REPORT_TIME).await;
    assert!(take_refusal(&socket));
    assert!(!take_refusal(&socket), "each refusal is reported once");
}

/// Guards against the loss of the datagram with whose sending the system reports an earlier refusal.
#[tokio::test]
async fn a_datagram_after_a_refused_one_is_sent() {
    let (receiver, addr) = bind().await;
    let socket = connect(Ipv4Addr::LOCALHOST, addr).await.unwrap();
    socket.writable().await.unwrap();
    drop(receiver);
    assert!(!send_connected(&socket, b"refused"));
    sleep(REPORT_TIME).await;
    let receiver = UdpSocket::bind(addr).await.unwrap();
    assert!(send_connected(&socket, b"sent"));
    let mut buffer = [0; 16];
    let (len, _) = receiver.recv_from(&mut buffer).await.unwrap();
    assert_eq!(&buffer[..len], b"sent");
}
