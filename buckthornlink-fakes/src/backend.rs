//! Fake backend server with a slot limit and a cold start.

use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use axum::Router;
use axum::body::Bytes;
use axum::extract::{Path, State};
use axum::http::{HeaderMap, Method, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{any, get};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use buckthornlink_core::Verdict;
use buckthornlink_core::verdict::{
    BACKEND_BOOT_HEADER, CALL_HEADER, DEADLINE_HEADER, REQUEST_ID_HEADER, SHED_FOR_DEPENDENCY,
    SHED_HEADER, VERDICT_HEADER,
};
use buckthornlink_node::metrics::HttpServer;

use crate::preset::ServicePreset;
use crate::request_log::{RequestLog, RequestRun};

/// Maximum number of requests that a cold server runs at the same time.
const COLD_SLOTS: u32 = 2;
/// Number of answers after which a cold server runs one more request at the same time.
const ANSWERS_PER_SLOT: u32 = 4;
/// Range of the service time of a request, in milliseconds.
const SERVICE_TIME_MS: std::ops::Range<u64> = 4..12;
/// Factor applied to the service time until the server is warm.
const COLD_TIME_FACTOR: u64 = 2;

/// Parameters with which a backend server starts.
#[derive(Clone, Debug)]
pub struct BackendSetup {
    /// Unique name, in the form `<service>-<index>@<zone>`.
    pub name: String,
    /// Service that it belongs to.
    pub service: ServicePreset,
    /// Log of the requests that it receives and runs.
    pub request_log: RequestLog,
    /// Seed of the service times, and the first boot number.
    pub seed: u64,
}

/// A running backend server. It stops when dropped.
#[derive(Debug)]
pub struct BackendServer {
    http: HttpServer,
    handle: BackendHandle,
}

/// Handle with which a test controls a backend server.
#[derive(Clone, Debug)]
pub struct BackendHandle {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    setup: BackendSetup,
    boot: AtomicU64,
    answered: AtomicU32,
    running: AtomicU32,
    is_failing: AtomicBool,
    is_reported_up: AtomicBool,
    dependency_addr: Mutex<Option<SocketAddrV4>>,
    rng: Mutex<SmallRng>,
    warm_stats: Mutex<WarmStats>,
    http: reqwest::Client,
}

/// Requests answered while warm and in service, and the time spent in that state.
#[derive(Debug, Default)]
struct WarmStats {
    warm_since: Option<Instant>,
    warm_time: Duration,
    answered: u64,
    is_out: bool,
}

impl BackendServer {
    /// Starts a cold backend server at `addr`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn spawn(addr: SocketAddrV4, setup: BackendSetup) -> std::io::Result<Self> {
        let rng = SmallRng::seed_from_u64(setup.seed);
        let shared = Arc::new(Shared {
            boot: AtomicU64::new(setup.seed),
            setup,
            answered: AtomicU32::new(0),
            running: AtomicU32::new(0),
            is_failing: AtomicBool::new(false),
            is_reported_up: AtomicBool::new(true),
            dependency_addr: Mutex::default(),
            rng: Mutex::new(rng),
            warm_stats: Mutex::default(),
            http: buckthornlink_node::config_transfer::http_client(),
        });
        let handle = BackendHandle { shared };
        let http = HttpServer::bind(addr, router(handle.clone())).await?;
        Ok(Self { http, handle })
    }

    /// Address of the HTTP/1.1 server.
    #[must_use]
    pub const fn addr(&self) -> SocketAddrV4 {
        self.http.addr()
    }

    /// Returns a handle of the server, which may outlive it.
    #[must_use]
    pub fn handle(&self) -> BackendHandle {
        self.handle.clone()
    }
}

impl BackendHandle {
    /// Name of the server.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.shared.setup.name
    }

    /// Sets the address at which the agent takes calls to dependencies.
    pub fn set_dependency_addr(&self, addr: SocketAddrV4) {
        *lock(&self.shared.dependency_addr) = Some(addr);
    }

    /// Simulates a restart that is not announced: the server is cold and has a new boot number.
    pub fn restart(&self) {
        self.shared.boot.fetch_add(1, Ordering::Relaxed);
        self.shared.answered.store(0, Ordering::Relaxed);
        lock(&self.shared.warm_stats).end_warm_period();
    }

    /// Sets whether every request fails.
    pub fn set_failing(&self, is_failing: bool) {
        self.shared.is_failing.store(is_failing, Ordering::Relaxed);
    }

    /// Sets what the health endpoint reports, whatever the state of the server.
    pub fn set_reported_up(&self, is_up: bool) {
        self.shared.is_reported_up.store(is_up, Ordering::Relaxed);
    }

    /// Sets whether the server is out of service; this time does not count for
    /// [`BackendHandle::warm_rate`].
    pub fn set_out_of_service(&self, is_out: bool) {
        let mut stats = lock(&self.shared.warm_stats);
        stats.is_out = is_out;
        stats.end_warm_period();
        drop(stats);
        self.shared.start_warm_period();
    }

    /// Restarts the measurement behind [`BackendHandle::warm_rate`].
    pub fn reset_warm_stats(&self) {
        let mut stats = lock(&self.shared.warm_stats);
        let is_counting = stats.warm_since.is_some();
        *stats = WarmStats {
            warm_since: is_counting.then(Instant::now),
            is_out: stats.is_out,
            ..WarmStats::default()
        };
    }

    /// Requests answered per second while warm and in service, if the server was in that state for
    /// at least one second.
    #[must_use]
    pub fn warm_rate(&self) -> Option<f64> {
        let stats = lock(&self.shared.warm_stats);
        let time = stats.warm_time + stats.warm_since.map_or(Duration::ZERO, |s| s.elapsed());
        #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
        (time >= Duration::from_secs(1)).then(|| stats.answered as f64 / time.as_secs_f64())
    }
}

impl WarmStats {
    fn end_warm_period(&mut self) {
        if let Some(since) = self.warm_since.take() {
            self.warm_time += since.elapsed();
        }
    }
}

impl Shared {
    /// Maximum number of requests that the server runs at the same time.
    fn capacity(&self) -> u32 {
        let slots = COLD_SLOTS + self.answered.load(Ordering::Relaxed) / ANSWERS_PER_SLOT;
        slots.min(u32::from(self.setup.service.slots))
    }

    fn is_warm(&self) -> bool {
        self.capacity() == u32::from(self.setup.service.slots)
    }

    fn start_warm_period(&self) {
        let mut stats = lock(&self.warm_stats);
        if self.is_warm() && !stats.is_out && stats.warm_since.is_none() {
            stats.warm_since = Some(Instant::now());
        }
    }

    fn record_answer(&self) {
        self.answered.fetch_add(1, Ordering::Relaxed);
        self.start_warm_period();
        let mut stats = lock(&self.warm_stats);
        if stats.warm_since.is_some() {
            stats.answered += 1;
        }
    }

    fn service_time(&self) -> Duration {
        let millis = lock(&self.rng).random_range(SERVICE_TIME_MS);
        let factor = if self.is_warm() { 1 } else { COLD_TIME_FACTOR };
        Duration::from_millis(millis * factor)
    }
}

/// Decrements the number of running requests when dropped.
struct RunningGuard<'a>(&'a AtomicU32);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Outcome of the call to the dependency.
enum DependencyOutcome {
    Done,
    NotRun,
    Unknown,
}

fn router(handle: BackendHandle) -> Router {
    Router::new()
        .route("/health", get(health))
        .route("/load", get(load))
        .route("/{service}/{operation}", any(handle_request))
        .with_state(handle)
}

async fn health(State(handle): State<BackendHandle>) -> StatusCode {
    if handle.shared.is_reported_up.load(Ordering::Relaxed) {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn load(State(handle): State<BackendHandle>) -> String {
    handle.shared.running.load(Ordering::Relaxed).to_string()
}

async fn handle_request(
    State(handle): State<BackendHandle>,
    Path((service, operation)): Path<(String, String)>,
    method: Method,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let shared = &handle.shared;
    let request_log = &shared.setup.request_log;
    request_log.record_arrival(&shared.setup.name);
    if service != shared.setup.service.name {
        request_log.record_wrong_service();
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    if shared.is_failing.load(Ordering::Relaxed) {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    let running = shared.running.fetch_add(1, Ordering::Relaxed);
    let _guard = RunningGuard(&shared.running);
    if running >= shared.capacity() {
        request_log.record_overload();
        return (StatusCode::SERVICE_UNAVAILABLE, [(SHED_HEADER, "overload")]).into_response();
    }
    let id = header_text(&headers, REQUEST_ID_HEADER).to_owned();
    if method == Method::POST {
        let outcome = call_dependency(shared, &id, &headers).await;
        if matches!(outcome, DependencyOutcome::NotRun) {
            let shed = [(SHED_HEADER, SHED_FOR_DEPENDENCY)];
            return (StatusCode::SERVICE_UNAVAILABLE, shed).into_response();
        }
        request_log.record_run(&id, build_run(shared));
        if matches!(outcome, DependencyOutcome::Unknown) {
            let verdict = [(VERDICT_HEADER, Verdict::MayHaveRun.as_str())];
            return (StatusCode::BAD_GATEWAY, verdict).into_response();
        }
    }
    tokio::time::sleep(shared.service_time()).await;
    shared.record_answer();
    build_response(shared, &id, &operation, &body)
}

fn build_response(shared: &Shared, id: &str, operation: &str, body: &Bytes) -> Response {
    let content = json!({
        "id": id,
        "operation": operation,
        "echo": String::from_utf8_lossy(body),
        "server": shared.setup.name,
        "service": shared.setup.service.name,
    });
    let boot = shared.boot.load(Ordering::Relaxed).to_string();
    ([(BACKEND_BOOT_HEADER, boot)], content.to_string()).into_response()
}

/// Calls the dependency through the agent, if the service has one.
async fn call_dependency(shared: &Shared, id: &str, headers: &HeaderMap) -> DependencyOutcome {
    let Some(dependency) = shared.setup.service.dependency else {
        return DependencyOutcome::Done;
    };
    let addr = *lock(&shared.dependency_addr);
    let Some(addr) = addr else {
        return DependencyOutcome::NotRun;
    };
    let request = shared
        .http
        .post(format!("http://{addr}/{dependency}/{dependency}/entry"))
        .header(REQUEST_ID_HEADER, format!("{id}.{dependency}"))
        .header(CALL_HEADER, header_text(headers, CALL_HEADER))
        .header(DEADLINE_HEADER, header_text(headers, DEADLINE_HEADER));
    let Ok(response) = request.send().await else {
        return DependencyOutcome::Unknown;
    };
    let verdict = header_text(response.headers(), VERDICT_HEADER).parse();
    match verdict {
        Ok(Verdict::Ran) if response.status().is_success() => DependencyOutcome::Done,
        Ok(Verdict::NotRun) => DependencyOutcome::NotRun,
        _ => DependencyOutcome::Unknown,
    }
}

fn build_run(shared: &Shared) -> RequestRun {
    RequestRun {
        server: shared.setup.name.clone(),
        service: shared.setup.service.name,
        at: Instant::now(),
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|v| v.to_str().ok())
        .unwrap_or("")
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
