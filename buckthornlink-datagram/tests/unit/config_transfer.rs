use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use buckthornlink_core::Version;
use buckthornlink_core::datagram::Table;
use buckthornlink_standin::{SilenceSwitch, SilenceableListener};
use tokio::net::TcpListener;

use super::{SharedTable, fetch_config, http_client};

/// Guards against a fetch that waits on an idle connection which has fallen silent since the last
/// fetch from the same instance.
#[tokio::test]
async fn a_fetch_after_a_silence_succeeds_at_once() {
    let shared = SharedTable::default();
    shared.set(Arc::new(Table {
        version: Version(1),
        ..Table::default()
    }));
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let port = listener.local_addr().unwrap().port();
    let switch = SilenceSwitch::default();
    let listener = SilenceableListener::new(listener, switch.clone());
    tokio::spawn(async move { axum::serve(listener, shared.router()).await });
    let http = http_client().unwrap();
    let from = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    fetch_config(&http, *from.ip(), port).await.unwrap();
    switch.silence_connections();
    let table = fetch_config(&http, *from.ip(), port).await.unwrap();
    assert_eq!(table.version, Version(1));
}
