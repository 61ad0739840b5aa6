//! Tests that the link uses one port for both UDP and TCP.

use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};

use buckthornlink::balancer::{Balancer, BalancerSettings};
use buckthornlink::node::settings;

/// Number of ports taken for TCP only. About one in fifty free UDP ports coincides with one of
/// them.
const TAKEN_PORTS: usize = 600;
const BALANCER_COUNT: usize = 100;

fn settings(ip: Ipv4Addr, port: u16) -> BalancerSettings {
    let text = format!(
        r#"{{
            "zone": "a", "ip": "{ip}", "link_port": {port}, "http": "{ip}:0",
            "entry": "127.0.0.1:9", "store": {{ "url": "http://127.0.0.1:9" }},
            "keys": [{{ "id": 1, "secret": "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=" }}]
        }}"#
    );
    settings::parse(&text).unwrap()
}

#[tokio::test]
async fn automatic_port_is_free_for_udp_and_tcp() {
    let ip = Ipv4Addr::new(127, 0, 77, 1);
    let taken: Vec<_> = (0..TAKEN_PORTS)
        .map(|_| TcpListener::bind((ip, 0)).unwrap())
        .collect();
    for _ in 0..BALANCER_COUNT {
        let balancer = Balancer::spawn(settings(ip, 0)).await.unwrap();
        assert_ne!(balancer.link().port(), 0);
    }
    assert_eq!(taken.len(), TAKEN_PORTS);
}

#[tokio::test]
async fn bind_error_names_the_taken_address() {
    let ip = Ipv4Addr::new(127, 0, 77, 2);
    let taken = TcpListener::bind((ip, 0)).unwrap();
    let port = taken.local_addr().unwrap().port();
    let err = Balancer::spawn(settings(ip, port)).await.unwrap_err();
    let link = SocketAddrV4::new(ip, port);
    assert_eq!(
        err.to_string(),
        format!("cannot bind the link socket to {link}")
    );
}
