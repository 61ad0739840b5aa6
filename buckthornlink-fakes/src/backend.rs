//! A backend server with slots, a cold start and a record.

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

/// Slots that a cold server bears.
const COLD_SLOTS: u32 = 2;
/// Answers that warm it up by one slot.
const ANSWERS_PER_SLOT: u32 = 4;
/// Shortest and longest time of a request, in milliseconds.
const SERVICE_TIME_MS: std::ops::Range<u64> = 4..12;
/// Factor on that time while cold.
const COLD_TIME_FACTOR: u64 = 2;

/// What a backend server is told at its start.
#[derive(Clone, Debug)]
pub struct BackendSetup {
    /// Unique name, with the zone behind an `@`.
    pub name: String,
    /// Service.
    pub service: ServicePreset,
    /// Where it records what it ran.
    pub request_log: RequestLog,
    /// Seed of the times that requests take.
    pub seed: u64,
}

/// A running backend server. It stops when dropped.
#[derive(Debug)]
pub struct BackendServer {
    http: HttpServer,
    handle: BackendHandle,
}

/// Control over a backend server, from outside of it.
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
    dependencies: Mutex<Option<SocketAddrV4>>,
    rng: Mutex<SmallRng>,
    warm_stats: Mutex<WarmStats>,
    http: reqwest::Client,
}

/// Work while warm and in service, and the time that it took.
#[derive(Debug, Default)]
struct WarmStats {
    warm_since: Option<Instant>,
    warm_time: Duration,
    answered: u64,
    is_out: bool,
}

impl BackendServer {
    /// Starts a cold backend server at `addr`; port 0 takes a free one.
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
            dependencies: Mutex::default(),
            rng: Mutex::new(rng),
            warm_stats: Mutex::default(),
            http: buckthornlink_node::link::client(),
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

    /// Control over the server, which may outlive it.
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

    /// Tells where the agent takes calls to dependencies.
    pub fn set_dependencies(&self, addr: SocketAddrV4) {
        *lock(&self.shared.dependencies) = Some(addr);
    }

    /// Turns the server cold without a word.
    pub fn restart(&self) {
        self.shared.boot.fetch_add(1, Ordering::Relaxed);
        self.shared.answered.store(0, Ordering::Relaxed);
        lock(&self.shared.warm_stats).stop();
    }

    /// Makes every request fail, or lets them succeed again.
    pub fn set_failing(&self, is_failing: bool) {
        self.shared.is_failing.store(is_failing, Ordering::Relaxed);
    }

    /// What the health endpoint claims, whatever the truth is.
    pub fn set_reported_up(&self, is_up: bool) {
        self.shared.is_reported_up.store(is_up, Ordering::Relaxed);
    }

    /// Notes that the server is not meant to get work, or is again.
    pub fn set_out_of_service(&self, is_out: bool) {
        let mut stats = lock(&self.shared.warm_stats);
        stats.is_out = is_out;
        stats.stop();
        drop(stats);
        self.shared.update_warm_stats();
    }

    /// Forgets the work counted so far.
    pub fn reset_warm_stats(&self) {
        let mut stats = lock(&self.shared.warm_stats);
        let is_counting = stats.warm_since.is_some();
        *stats = WarmStats {
            warm_since: is_counting.then(Instant::now),
            is_out: stats.is_out,
            ..WarmStats::default()
        };
    }

    /// Requests answered per second while warm and in service, if that lasted long enough to
    /// say.
    #[must_use]
    pub fn warm_rate(&self) -> Option<f64> {
        let stats = lock(&self.shared.warm_stats);
        let time = stats.warm_time + stats.warm_since.map_or(Duration::ZERO, |s| s.elapsed());
        #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
        (time >= Duration::from_secs(1)).then(|| stats.answered as f64 / time.as_secs_f64())
    }
}

impl WarmStats {
    fn stop(&mut self) {
        if let Some(since) = self.warm_since.take() {
            self.warm_time += since.elapsed();
        }
    }
}

impl Shared {
    /// Requests that the server bears at the same time.
    fn capacity(&self) -> u32 {
        let slots = COLD_SLOTS + self.answered.load(Ordering::Relaxed) / ANSWERS_PER_SLOT;
        slots.min(u32::from(self.setup.service.slots))
    }

    fn is_warm(&self) -> bool {
        self.capacity() == u32::from(self.setup.service.slots)
    }

    fn update_warm_stats(&self) {
        let mut stats = lock(&self.warm_stats);
        if self.is_warm() && !stats.is_out && stats.warm_since.is_none() {
            stats.warm_since = Some(Instant::now());
        }
    }

    fn record_answer(&self) {
        self.answered.fetch_add(1, Ordering::Relaxed);
        self.update_warm_stats();
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

/// Counts a running request until dropped.
struct RunningGuard<'a>(&'a AtomicU32);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// How a call to the dependency ended.
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
        request_log.record_run(&id, request_run(shared));
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

/// Calls the dependency, if the service has one, through the agent.
async fn call_dependency(shared: &Shared, id: &str, headers: &HeaderMap) -> DependencyOutcome {
    let Some(dependency) = shared.setup.service.dependency else {
        return DependencyOutcome::Done;
    };
    let addr = *lock(&shared.dependencies);
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

fn request_run(shared: &Shared) -> RequestRun {
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
