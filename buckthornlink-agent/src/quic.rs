//! QUIC endpoints: one for callers, one for calls to dependencies.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{
    AsyncUdpSocket, ClientConfig, Endpoint, EndpointConfig, IdleTimeout, ServerConfig,
    TokioRuntime, TransportConfig,
};
use ring::{hkdf, hmac};
use rustls::RootCertStore;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};

use buckthornlink_wire::{Key, MAX_DATAGRAM_BYTES};

use crate::cid::CidGenerator;
use crate::settings::TlsSettings;

const ALPN: &[u8] = b"h3";
/// A flow is closed if nothing is received from the caller for this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// A flow to a dependency is closed if nothing is received for this time.
const DEPENDENCY_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval of keep-alive packets on flows to dependencies; shorter than their idle timeout.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum interval between two stateless resets.
const MIN_RESET_INTERVAL: Duration = Duration::from_millis(1);
/// Maximum number of concurrent requests on one flow. State for each is allocated in advance.
const MAX_CONCURRENT_REQUESTS: u8 = 32;
/// Maximum number of unidirectional streams that the peer may open. HTTP/3 needs three, and the
/// rest leaves room for extensions.
const MAX_UNI_STREAMS: u8 = 8;
const INITIAL_MTU: u16 = 1_200;
/// Round-trip time assumed before one is measured. A lost first datagram is retransmitted after
/// three times this value.
const INITIAL_RTT: Duration = Duration::from_millis(50);

/// Creates the endpoint that accepts flows from callers.
pub(crate) fn server_endpoint(
    socket: Arc<dyn AsyncUdpSocket>,
    generator: CidGenerator,
    key: &Key,
    tls: &TlsSettings,
) -> anyhow::Result<Endpoint> {
    let reset_key = hmac::Key::new(hmac::HMAC_SHA256, key.reset_key());
    let mut config = EndpointConfig::new(Arc::new(reset_key));
    config.cid_generator(move || Box::new(generator.clone()));
    config.max_udp_payload_size(MAX_DATAGRAM_BYTES)?;
    config.min_reset_interval(MIN_RESET_INTERVAL);
    let server = server_config(key, tls)?;
    let runtime = Arc::new(TokioRuntime);
    Ok(Endpoint::new_with_abstract_socket(
        config,
        Some(server),
        socket,
        runtime,
    )?)
}

/// Creates the endpoint for calls to dependencies.
pub(crate) fn client_endpoint(ip: Ipv4Addr, tls: &TlsSettings) -> anyhow::Result<Endpoint> {
    let mut roots = RootCertStore::empty();
    for cert in CertificateDer::pem_slice_iter(tls.roots.as_bytes()) {
        roots
            .add(cert.context("invalid tls.roots")?)
            .context("invalid tls.roots")?;
    }
    let builder = rustls::ClientConfig::builder_with_provider(crypto_provider());
    let mut crypto = builder
        .with_safe_default_protocol_versions()?
        .with_root_certificates(roots)
        .with_no_client_auth();
    crypto.alpn_protocols = vec![ALPN.to_vec()];
    let mut config = ClientConfig::new(Arc::new(QuicClientConfig::try_from(crypto)?));
    config.transport_config(Arc::new(transport_config(
        DEPENDENCY_IDLE_TIMEOUT,
        Some(KEEP_ALIVE_INTERVAL),
    )?));
    let mut endpoint = Endpoint::client(SocketAddr::from((ip, 0)))?;
    endpoint.set_default_client_config(config);
    Ok(endpoint)
}

fn server_config(key: &Key, tls: &TlsSettings) -> anyhow::Result<ServerConfig> {
    let certificates = CertificateDer::pem_slice_iter(tls.certificate.as_bytes());
    let certificates = certificates
        .collect::<Result<Vec<_>, _>>()
        .context("invalid tls.certificate")?;
    let private_key =
        PrivateKeyDer::from_pem_slice(tls.key.as_bytes()).context("invalid tls.key")?;
    let builder = rustls::ServerConfig::builder_with_provider(crypto_provider());
    let mut crypto = builder
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_single_cert(certificates, private_key)
        .context("invalid tls.certificate or tls.key")?;
    crypto.alpn_protocols = vec![ALPN.to_vec()];
    let mut config = ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(crypto)?));
    let salt = hkdf::Salt::new(hkdf::HKDF_SHA256, &[]);
    config.token_key(Arc::new(salt.extract(key.token_key())));
    config.transport_config(Arc::new(transport_config(IDLE_TIMEOUT, None)?));
    Ok(config)
}

fn transport_config(
    idle: Duration,
    keep_alive: Option<Duration>,
) -> anyhow::Result<TransportConfig> {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(IdleTimeout::try_from(idle)?));
    transport.keep_alive_interval(keep_alive);
    transport.initial_rtt(INITIAL_RTT);
    transport.initial_mtu(INITIAL_MTU);
    transport.mtu_discovery_config(None);
    transport.max_concurrent_bidi_streams(MAX_CONCURRENT_REQUESTS.into());
    transport.max_concurrent_uni_streams(MAX_UNI_STREAMS.into());
    Ok(transport)
}

fn crypto_provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}
