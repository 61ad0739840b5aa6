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
use crate::record::{Record, Work};

/// Slots that a cold server bears.
const COLD_SLOTS: u32 = 2;
/// Answers that warm it up by one slot.
const ANSWERS_PER_SLOT: u32 = 4;
/// Shortest and longest time of a request, in milliseconds.
const WORK_MS: std::ops::Range<u64> = 4..12;
/// Factor on that time while cold.
const COLD_FACTOR: u64 = 2;

/// What a backend server is told at its start.
#[derive(Clone, Debug)]
pub struct BackendSetup {
    /// Unique name, with the zone behind an `@`.
    pub name: String,
    /// Service.
    pub service: ServicePreset,
    /// Where it records what it ran.
    pub record: Record,
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
    claims_up: AtomicBool,
    dependencies: Mutex<Option<SocketAddrV4>>,
    rng: Mutex<SmallRng>,
    warm: Mutex<Warm>,
    http: reqwest::Client,
}

/// Work while warm and in service, and the time that it took.
#[derive(Debug, Default)]
struct Warm {
    since: Option<Instant>,
    total: Duration,
    work: u64,
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
            claims_up: AtomicBool::new(true),
            dependencies: Mutex::default(),
            rng: Mutex::new(rng),
            warm: Mutex::default(),
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
        lock(&self.shared.warm).stop();
    }

    /// Makes every request fail, or lets them succeed again.
    pub fn set_failing(&self, is_failing: bool) {
        self.shared.is_failing.store(is_failing, Ordering::Relaxed);
    }

    /// What the health endpoint claims, whatever the truth is.
    pub fn set_claim(&self, is_up: bool) {
        self.shared.claims_up.store(is_up, Ordering::Relaxed);
    }

    /// Notes that the server is not meant to get work, or is again.
    pub fn set_out(&self, is_out: bool) {
        let mut warm = lock(&self.shared.warm);
        warm.is_out = is_out;
        warm.stop();
        drop(warm);
        self.shared.note_warmth();
    }

    /// Forgets the work counted so far.
    pub fn reset_work(&self) {
        let mut warm = lock(&self.shared.warm);
        let is_counting = warm.since.is_some();
        *warm = Warm {
            since: is_counting.then(Instant::now),
            is_out: warm.is_out,
            ..Warm::default()
        };
    }

    /// Requests answered per second while warm and in service, if that lasted long enough to
    /// say.
    #[must_use]
    pub fn warm_rate(&self) -> Option<f64> {
        let warm = lock(&self.shared.warm);
        let time = warm.total + warm.since.map_or(Duration::ZERO, |s| s.elapsed());
        #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
        (time >= Duration::from_secs(1)).then(|| warm.work as f64 / time.as_secs_f64())
    }
}

impl Warm {
    fn stop(&mut self) {
        if let Some(since) = self.since.take() {
            self.total += since.elapsed();
        }
    }
}

impl Shared {
    /// Requests that the server bears at the same time.
    fn bears(&self) -> u32 {
        let grown = COLD_SLOTS + self.answered.load(Ordering::Relaxed) / ANSWERS_PER_SLOT;
        grown.min(u32::from(self.setup.service.slots))
    }

    fn is_warm(&self) -> bool {
        self.bears() == u32::from(self.setup.service.slots)
    }

    fn note_warmth(&self) {
        let mut warm = lock(&self.warm);
        if self.is_warm() && !warm.is_out && warm.since.is_none() {
            warm.since = Some(Instant::now());
        }
    }

    fn note_answer(&self) {
        self.answered.fetch_add(1, Ordering::Relaxed);
        self.note_warmth();
        let mut warm = lock(&self.warm);
        if warm.since.is_some() {
            warm.work += 1;
        }
    }

    fn work_time(&self) -> Duration {
        let millis = lock(&self.rng).random_range(WORK_MS);
        let factor = if self.is_warm() { 1 } else { COLD_FACTOR };
        Duration::from_millis(millis * factor)
    }
}

/// Counts a running request until dropped.
struct Slot<'a>(&'a AtomicU32);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// How a call to the dependency ended.
enum Called {
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
    if handle.shared.claims_up.load(Ordering::Relaxed) {
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
    let record = &shared.setup.record;
    record.note_arrival(&shared.setup.name);
    if service != shared.setup.service.name {
        record.note_wrong_service();
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    if shared.is_failing.load(Ordering::Relaxed) {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    let running = shared.running.fetch_add(1, Ordering::Relaxed);
    let _slot = Slot(&shared.running);
    if running >= shared.bears() {
        record.note_overload();
        return (StatusCode::SERVICE_UNAVAILABLE, [(SHED_HEADER, "overload")]).into_response();
    }
    let id = text(&headers, REQUEST_ID_HEADER).to_owned();
    if method == Method::POST {
        let called = call_dependency(shared, &id, &headers).await;
        if matches!(called, Called::NotRun) {
            let shed = [(SHED_HEADER, SHED_FOR_DEPENDENCY)];
            return (StatusCode::SERVICE_UNAVAILABLE, shed).into_response();
        }
        record.note_run(&id, work(shared));
        if matches!(called, Called::Unknown) {
            let verdict = [(VERDICT_HEADER, Verdict::MayHaveRun.as_str())];
            return (StatusCode::BAD_GATEWAY, verdict).into_response();
        }
    }
    tokio::time::sleep(shared.work_time()).await;
    shared.note_answer();
    answer(shared, &id, &operation, &body)
}

fn answer(shared: &Shared, id: &str, operation: &str, body: &Bytes) -> Response {
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
async fn call_dependency(shared: &Shared, id: &str, headers: &HeaderMap) -> Called {
    let Some(dependency) = shared.setup.service.dependency else {
        return Called::Done;
    };
    let addr = *lock(&shared.dependencies);
    let Some(addr) = addr else {
        return Called::NotRun;
    };
    let request = shared
        .http
        .post(format!("http://{addr}/{dependency}/{dependency}/entry"))
        .header(REQUEST_ID_HEADER, format!("{id}.{dependency}"))
        .header(CALL_HEADER, text(headers, CALL_HEADER))
        .header(DEADLINE_HEADER, text(headers, DEADLINE_HEADER));
    let Ok(response) = request.send().await else {
        return Called::Unknown;
    };
    let verdict = text(response.headers(), VERDICT_HEADER).parse();
    match verdict {
        Ok(Verdict::Ran) if response.status().is_success() => Called::Done,
        Ok(Verdict::NotRun) => Called::NotRun,
        _ => Called::Unknown,
    }
}

fn work(shared: &Shared) -> Work {
    Work {
        server: shared.setup.name.clone(),
        service: shared.setup.service.name,
        at: Instant::now(),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|v| v.to_str().ok())
        .unwrap_or("")
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
