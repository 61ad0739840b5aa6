use std::time::Duration;

use tokio::time::timeout;

use super::*;
use crate::shape::Preset;
use crate::topology::Topology;

/// Second octet of the loopback addresses, which no run uses.
const BLOCK: u8 = 231;
/// Time in which a datagram arrives.
const ARRIVAL_TIME: Duration = Duration::from_millis(300);

/// Sends a datagram from the first instance to the second one's address, at the sender's port; returns whether it
/// arrived, from the sender's address.
async fn passes(sender: &UdpSocket, receiver: &UdpSocket) -> bool {
    let from = sender.local_addr().unwrap();
    let to = (receiver.local_addr().unwrap().ip(), from.port());
    sender.send_to(b"status", to).await.unwrap();
    let mut buffer = [0; 16];
    let arrival = timeout(ARRIVAL_TIME, receiver.recv_from(&mut buffer)).await;
    matches!(arrival, Ok(Ok((6, source))) if source.ip() == from.ip())
}

/// Guards against a cut that cuts nothing, or both directions.
#[tokio::test]
async fn a_cut_loses_one_direction() {
    let topology = Topology::new(BLOCK, &Preset::TwoZones.shape()).with_own_ports();
    let instances = &topology.instances[..2];
    let links = Links::open(instances).await.unwrap();
    let bind = |i: &Instance| UdpSocket::bind((i.ip, i.internal_ports[0]));
    let first = bind(&instances[0]).await.unwrap();
    let second = bind(&instances[1]).await.unwrap();
    assert!(passes(&first, &second).await && passes(&second, &first).await);
    links.set_muted(0, true);
    assert!(!passes(&first, &second).await && passes(&second, &first).await);
    links.set_muted(0, false);
    links.set_deaf(0, true);
    assert!(passes(&first, &second).await && !passes(&second, &first).await);
}
