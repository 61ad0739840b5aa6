//! Processes that are a few versions behind fetch only the changes.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Arc, Mutex};

use buckthornlink_core::Version;
use buckthornlink_core::config::Config;
use buckthornlink_node::config_transfer::{
    ConfigHistory, ConfigSource, VersionedConfig, config_router, fetch_config, http_client,
};
use buckthornlink_node::metrics::HttpServer;
use buckthornlink_standin::{SilenceSwitch, SilenceableListener};
use buckthornlink_wire::KeyRing;
use tokio::net::TcpListener;

/// Number of services that the system is designed for.
const SERVICE_COUNT: u16 = 1_900;
/// Control traffic budget of one process, in bytes per second.
const BUDGET_BYTES_PER_SECOND: u64 = 4_000;

#[derive(Default)]
struct TestConfigSource {
    current: Mutex<Arc<VersionedConfig>>,
    history: ConfigHistory,
}

impl TestConfigSource {
    fn set(&self, new: VersionedConfig) {
        let mut current = self.current.lock().unwrap();
        self.history.record(&current, &new);
        *current = Arc::new(new);
    }
}

impl ConfigSource for TestConfigSource {
    fn current(&self) -> Arc<VersionedConfig> {
        Arc::clone(&self.current.lock().unwrap())
    }

    fn history(&self) -> &ConfigHistory {
        &self.history
    }
}

/// A configuration in which each service depends on the next one. The service with index `changed`
/// has different limits.
fn config(version: u64, changed: u16) -> VersionedConfig {
    let services = (0..SERVICE_COUNT).map(|i| {
        let slots = if i == changed { 9 } else { 8 };
        let next = if i + 1 < SERVICE_COUNT {
            format!("\"service-{}\"", i + 1)
        } else {
            String::new()
        };
        format!(
            "{{\"name\":\"service-{i}\",\"address\":\"10.1.{}.{}:{}\",\
             \"limits\":{{\"slots\":{slots}}},\"dependencies\":[{next}]}}",
            i / 250,
            i % 250,
            10_000 + i
        )
    });
    let services: Vec<_> = services.collect();
    let text = format!(
        "{{\"zones\":[\"a\"],\"services\":[{}]}}",
        services.join(",")
    );
    VersionedConfig {
        version: Version(version),
        config: Config::parse(&text).unwrap(),
    }
}

async fn serve(source: &Arc<TestConfigSource>) -> (HttpServer, KeyRing) {
    let keys = KeyRing::single(1, &[7; 32]);
    let source = Arc::clone(source) as Arc<dyn ConfigSource>;
    let router = config_router(source, Arc::new(keys.clone()));
    let addr = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    (HttpServer::bind(addr, router).await.unwrap(), keys)
}

async fn body_bytes(server: &HttpServer, query: &str) -> u64 {
    let url = format!("http://{}/config?{query}", server.addr());
    let response = http_client().get(url).send().await.unwrap();
    response.bytes().await.unwrap().len() as u64
}

#[tokio::test]
async fn process_applies_fetched_changes() {
    let source = Arc::new(TestConfigSource::default());
    let (server, keys) = serve(&source).await;
    let http = http_client();
    source.set(config(1, 7));
    let first = fetch_config(
        &http,
        server.addr(),
        None,
        &VersionedConfig::default(),
        &keys,
    )
    .await
    .unwrap();
    assert_eq!(first, config(1, 7));
    source.set(config(2, 8));
    source.set(config(3, 9));
    let third = fetch_config(&http, server.addr(), None, &first, &keys)
        .await
        .unwrap();
    assert_eq!(third, config(3, 9));
}

#[tokio::test]
async fn agent_fetches_the_part_of_its_service() {
    let source = Arc::new(TestConfigSource::default());
    let (server, keys) = serve(&source).await;
    let http = http_client();
    source.set(config(1, 7));
    let none = VersionedConfig::default();
    let own = fetch_config(&http, server.addr(), Some("service-3"), &none, &keys)
        .await
        .unwrap();
    assert_eq!(own.config.services.len(), 2);
    for (version, changed) in [(2, 100), (3, 4), (4, 200)] {
        source.set(config(version, changed));
        let next = fetch_config(&http, server.addr(), Some("service-3"), &own, &keys)
            .await
            .unwrap();
        let expected = config(version, changed).config.slice("service-3").unwrap();
        assert_eq!((next.version, next.config), (Version(version), expected));
    }
}

#[tokio::test]
async fn one_change_fits_the_control_budget_of_one_second() {
    let source = Arc::new(TestConfigSource::default());
    let (server, _) = serve(&source).await;
    source.set(config(1, 7));
    source.set(config(2, 8));
    let whole = body_bytes(&server, "have=1").await;
    let unaffected = body_bytes(&server, "have=1&service=service-100").await;
    let affected = body_bytes(&server, "have=1&service=service-8").await;
    for bytes in [whole, unaffected, affected] {
        assert!(bytes <= BUDGET_BYTES_PER_SECOND, "{bytes} bytes");
    }
}

#[tokio::test]
async fn response_authenticated_with_a_different_key_is_rejected() {
    let source = Arc::new(TestConfigSource::default());
    let (server, _) = serve(&source).await;
    source.set(config(1, 7));
    let foreign = KeyRing::single(1, &[8; 32]);
    let none = VersionedConfig::default();
    assert!(
        fetch_config(&http_client(), server.addr(), None, &none, &foreign)
            .await
            .is_err()
    );
}

/// Guards against a fetch that waits on an idle connection which has fallen silent since the last
/// fetch from the same process.
#[tokio::test]
async fn a_fetch_does_not_use_an_idle_connection() {
    let source = Arc::new(TestConfigSource::default());
    source.set(config(1, 7));
    let keys = KeyRing::single(1, &[7; 32]);
    let router = config_router(source, Arc::new(keys.clone()));
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let port = listener.local_addr().unwrap().port();
    let switch = SilenceSwitch::default();
    let listener = SilenceableListener::new(listener, switch.clone());
    tokio::spawn(async move { axum::serve(listener, router).await });
    let http = http_client();
    let from = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    let none = VersionedConfig::default();
    let first = fetch_config(&http, from, None, &none, &keys).await;
    assert_eq!(first.unwrap(), config(1, 7));
    switch.silence_connections();
    let second = fetch_config(&http, from, None, &none, &keys).await;
    assert_eq!(second.unwrap(), config(1, 7));
}
