//! Callers that keep flows open and send requests on them.

mod counts;
mod flow;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anyhow::Context;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::{ClientConfig, Endpoint, IdleTimeout, TransportConfig};
use rustls_pki_types::CertificateDer;
use rustls_pki_types::pem::PemObject;
use tokio::task::JoinSet;

use crate::certificate::SelfSignedCert;
use crate::request_log::RequestLog;
use counts::CallerStats;
pub use counts::Counts;
use flow::Caller;

/// Time without any received packet after which a flow counts as lost.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(800);
/// Number of flows that share one UDP socket.
const FLOWS_PER_SOCKET: usize = 8;

/// Parameters with which callers start.
#[derive(Clone, Debug)]
pub struct CallersSetup {
    /// Address that the callers' sockets are bound to.
    pub ip: Ipv4Addr,
    /// Address of the service.
    pub addr: SocketAddrV4,
    /// Name of the service.
    pub service: &'static str,
    /// Number of flows that are kept open.
    pub flows: usize,
    /// Mean pause between two requests on a flow.
    pub think_time: Duration,
    /// Time from the start of each request to its deadline.
    pub deadline: Duration,
    /// Seed of all random choices.
    pub seed: u64,
    /// Log that shows whether a request that was refused as not run did run.
    pub request_log: RequestLog,
}

/// Running callers. They stop when dropped.
#[derive(Debug)]
pub struct Callers {
    stats: Arc<CallerStats>,
    is_stopping: Arc<AtomicBool>,
    tasks: JoinSet<()>,
}

impl Callers {
    /// Opens the flows and starts to send requests.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket cannot be bound or the certificate does not parse.
    pub fn spawn(setup: &CallersSetup, certificate: &SelfSignedCert) -> anyhow::Result<Self> {
        let stats = Arc::new(CallerStats::default());
        let is_stopping = Arc::new(AtomicBool::new(false));
        let mut tasks = JoinSet::new();
        let mut endpoint = None;
        for index in 0..setup.flows {
            if index % FLOWS_PER_SOCKET == 0 {
                endpoint = Some(caller_endpoint(setup.ip, certificate)?);
            }
            let endpoint = endpoint.clone().context("no endpoint for the flow")?;
            let caller = Caller::new(
                setup.clone(),
                index,
                endpoint,
                Arc::clone(&stats),
                Arc::clone(&is_stopping),
            );
            tasks.spawn(caller.run());
        }
        Ok(Self {
            stats,
            is_stopping,
            tasks,
        })
    }

    /// Counts so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.stats.counts()
    }

    /// Sets whether a zone is out of service. Flows lost there meanwhile count as given up, not as
    /// broken.
    pub fn set_zone_out(&self, zone: &str, is_out: bool) {
        self.stats.set_zone_out(zone, is_out);
    }

    /// Sets the cause to report for broken flows to `server`.
    pub fn set_cause(&self, server: &str, cause: &str) {
        self.stats.set_cause(server, cause);
    }

    /// Completes the requests that have started, closes all flows and returns the counts.
    pub async fn finish(mut self) -> Counts {
        self.is_stopping.store(true, Ordering::Relaxed);
        while self.tasks.join_next().await.is_some() {}
        self.stats.counts()
    }
}

/// Creates a QUIC endpoint of a caller, which trusts `certificate`.
///
/// # Errors
///
/// Returns an error if a socket cannot be bound or the certificate does not parse.
pub fn caller_endpoint(ip: Ipv4Addr, certificate: &SelfSignedCert) -> anyhow::Result<Endpoint> {
    let mut endpoint = Endpoint::client((ip, 0).into())?;
    endpoint.set_default_client_config(client_config(certificate)?);
    Ok(endpoint)
}

fn client_config(certificate: &SelfSignedCert) -> anyhow::Result<ClientConfig> {
    let mut roots = rustls::RootCertStore::empty();
    roots.add(CertificateDer::from_pem_slice(
        certificate.settings().roots.as_bytes(),
    )?)?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut crypto = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_root_certificates(roots)
        .with_no_client_auth();
    crypto.alpn_protocols = vec![b"h3".to_vec()];
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(IdleTimeout::try_from(IDLE_TIMEOUT)?));
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    let mut config = ClientConfig::new(Arc::new(QuicClientConfig::try_from(crypto)?));
    config.transport_config(Arc::new(transport));
    Ok(config)
}
