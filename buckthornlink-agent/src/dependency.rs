//! Proxy for calls of the backend server to the services that it depends on.
//!
//! The backend server calls `http://ADDRESS/SERVICE/PATH` on loopback. The agent checks that the
//! dependency is declared, forwards the call with its deadline and class over QUIC, and retries
//! calls that did not run, and GET requests, within a budget.

mod pool;

use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use axum::Router;
use axum::body::{Body, to_bytes};
use axum::extract::{Path, State};
use axum::routing::any;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, Version};
use quinn::Endpoint;
use std::collections::HashMap;
use tokio::time::{sleep, timeout};

use buckthornlink_core::Verdict;
use buckthornlink_core::agent::Ticket;
use buckthornlink_core::config::Service;
use buckthornlink_core::verdict::{
    CALL_HEADER, DEADLINE_HEADER, DEPENDANT_HEADER, REASON_HEADER, REQUEST_ID_HEADER, Refusal,
    VERDICT_HEADER,
};
use buckthornlink_wire::dependant;

use crate::client::CallError;
use crate::executor::Shared;
use pool::FlowPool;

/// Maximum length of the request body of a call, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Maximum time that a call waits for a flow if none is open.
const FLOW_WAIT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the first retry; doubles with each further one.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(10);
const MAX_RETRIES: u32 = 3;

/// Forwards calls to dependencies.
pub(crate) struct DependencyProxy {
    service: String,
    shared: Shared,
    endpoint: Endpoint,
    flow_count: usize,
    pools: Mutex<HashMap<SocketAddrV4, Arc<FlowPool>>>,
}

/// A validated call, ready to be sent.
struct Call {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    deadline: Instant,
}

/// Why a call has no response, and whether it may have run.
#[derive(Clone, Copy)]
struct CallFailure {
    verdict: Verdict,
    refusal: Refusal,
}

impl CallFailure {
    const fn not_run(refusal: Refusal) -> Self {
        Self {
            verdict: Verdict::NotRun,
            refusal,
        }
    }
}

type DependencyResponse = (Response<()>, Bytes);

impl DependencyProxy {
    pub(crate) fn new(
        service: String,
        shared: Shared,
        endpoint: Endpoint,
        flow_count: usize,
    ) -> Self {
        Self {
            service,
            shared,
            endpoint,
            flow_count: flow_count.max(1),
            pools: Mutex::default(),
        }
    }

    /// Returns the HTTP router for the backend server's calls.
    pub(crate) fn router(self) -> Router {
        Router::new()
            .route("/{service}/{*path}", any(handle))
            .with_state(Arc::new(self))
    }

    async fn call(
        &self,
        name: &str,
        request: Request<Body>,
    ) -> Result<DependencyResponse, CallFailure> {
        let target = self
            .find_dependency(name)
            .ok_or(CallFailure::not_run(Refusal::Undeclared))?;
        let call = self.prepare(&target, request).await?;
        let pool = self.get_or_create_pool(&target);
        pool.record_first_attempt();
        let mut retries = 0;
        loop {
            let result = self.attempt(&pool, &call).await;
            let Some(failure) = retryable_failure(&result, &call.method) else {
                return result;
            };
            let delay = INITIAL_RETRY_DELAY * (1 << retries);
            let has_time = Instant::now() + delay < call.deadline;
            if retries >= MAX_RETRIES || !has_time || !pool.try_withdraw_retry() {
                return Err(failure);
            }
            retries += 1;
            sleep(delay).await;
        }
    }

    /// Returns the configured service called `name`, if this agent's service declares it as a
    /// dependency.
    fn find_dependency(&self, name: &str) -> Option<Service> {
        let config = self.shared.config.borrow().clone();
        let own_service = config.config.service_named(&self.service)?;
        let is_declared = own_service.dependencies.iter().any(|d| d == name);
        config
            .config
            .service_named(name)
            .filter(|_| is_declared)
            .cloned()
    }

    async fn prepare(&self, target: &Service, request: Request<Body>) -> Result<Call, CallFailure> {
        let malformed = CallFailure::not_run(Refusal::Malformed);
        let (parts, body) = request.into_parts();
        let body = to_bytes(body, MAX_BODY_BYTES)
            .await
            .map_err(|_| malformed)?;
        let mut headers = parts.headers;
        headers.remove(CALL_HEADER);
        headers.remove(http::header::HOST);
        headers.remove(http::header::CONNECTION);
        headers.remove(http::header::TRANSFER_ENCODING);
        let deadline = headers.get(DEADLINE_HEADER).and_then(|v| v.to_str().ok());
        let deadline = deadline.and_then(|v| v.parse().ok());
        let millis = deadline.unwrap_or(u64::from(target.deadline_ms));
        let id = headers.get(REQUEST_ID_HEADER).and_then(|v| v.to_str().ok());
        let dependant_value = dependant::sign(&self.service, id.unwrap_or(""), &self.shared.keys);
        let dependant_value = HeaderValue::try_from(dependant_value).map_err(|_| malformed)?;
        headers.insert(DEPENDANT_HEADER, dependant_value);
        let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
        let path = path
            .strip_prefix(&format!("/{}", target.name))
            .unwrap_or(path);
        let uri = format!("https://{}{path}", target.name).parse();
        Ok(Call {
            method: parts.method,
            uri: uri.map_err(|_| malformed)?,
            headers,
            body,
            deadline: Instant::now() + Duration::from_millis(millis),
        })
    }

    async fn attempt(
        &self,
        pool: &Arc<FlowPool>,
        call: &Call,
    ) -> Result<DependencyResponse, CallFailure> {
        let remaining = call.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(CallFailure::not_run(Refusal::Deadline));
        }
        let opened = timeout(remaining.min(FLOW_WAIT_TIMEOUT), pool.next_flow()).await;
        let flow = opened.map_err(|_| CallFailure::not_run(Refusal::DependencyDown))?;
        let remaining = call.deadline.saturating_duration_since(Instant::now());
        let request = call.build_request(remaining);
        match timeout(remaining, flow.call(request, call.body.clone())).await {
            Ok(Ok(response)) => dependency_refusal(&response).map_or(Ok(response), Err),
            Ok(Err(err)) => Err(call_failure(&err)),
            Err(_) => Err(CallFailure {
                verdict: Verdict::MayHaveRun,
                refusal: Refusal::Deadline,
            }),
        }
    }

    fn get_or_create_pool(&self, target: &Service) -> Arc<FlowPool> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let pool = pools.entry(target.address).or_insert_with(|| {
            let name = target.name.clone();
            Arc::new(FlowPool::new(
                self.endpoint.clone(),
                target.address,
                name,
                self.flow_count,
            ))
        });
        Arc::clone(pool)
    }
}

impl Call {
    fn build_request(&self, remaining: Duration) -> Request<()> {
        let mut request = Request::new(());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        request
            .headers_mut()
            .insert(DEADLINE_HEADER, HeaderValue::from(millis));
        request
    }
}

async fn handle(
    State(proxy): State<Arc<DependencyProxy>>,
    Path((service, _)): Path<(String, String)>,
    request: Request<Body>,
) -> Response<Body> {
    let started = Instant::now();
    let ticket = request
        .headers()
        .get(CALL_HEADER)
        .and_then(|v| v.to_str().ok());
    let ticket = ticket.and_then(|v| v.parse().ok()).map(Ticket);
    let result = proxy.call(&service, request).await;
    if let Some(ticket) = ticket {
        proxy.shared.dependency_waits.add(ticket, started.elapsed());
    }
    match result {
        Ok((mut head, body)) => {
            *head.version_mut() = Version::HTTP_11;
            head.map(|()| Body::from(body))
        }
        Err(failure) => failure_response(failure),
    }
}

fn failure_response(failure: CallFailure) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = match failure.verdict {
        Verdict::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        Verdict::MayHaveRun | Verdict::Ran => StatusCode::BAD_GATEWAY,
    };
    let headers = response.headers_mut();
    headers.insert(
        VERDICT_HEADER,
        HeaderValue::from_static(failure.verdict.as_str()),
    );
    headers.insert(
        REASON_HEADER,
        HeaderValue::from_static(failure.refusal.as_str()),
    );
    response
}

/// Returns the failure of a call that the dependency's agent refused without running it, if the
/// call may be retried on another flow. The agent's reason is replaced by `overload`.
fn dependency_refusal((head, _): &DependencyResponse) -> Option<CallFailure> {
    let text = |name| head.headers().get(name).and_then(|v| v.to_str().ok());
    let verdict: Verdict = text(VERDICT_HEADER)?.parse().ok()?;
    let is_final = text(REASON_HEADER) == Some(Refusal::Malformed.as_str())
        || text(REASON_HEADER) == Some(Refusal::IdReused.as_str())
        || text(REASON_HEADER) == Some(Refusal::Deadline.as_str());
    let is_retryable = verdict == Verdict::NotRun && !is_final;
    is_retryable.then_some(CallFailure::not_run(Refusal::Overload))
}

const fn call_failure(err: &CallError) -> CallFailure {
    CallFailure {
        verdict: err.verdict(),
        refusal: Refusal::BackendFailed,
    }
}

/// Returns the failure of a call, if the call may be retried.
fn retryable_failure(
    result: &Result<DependencyResponse, CallFailure>,
    method: &Method,
) -> Option<CallFailure> {
    let failure = *result.as_ref().err()?;
    let is_final = matches!(
        failure.refusal,
        Refusal::Undeclared | Refusal::Malformed | Refusal::Deadline
    );
    let is_safe = failure.verdict == Verdict::NotRun || *method == Method::GET;
    (is_safe && !is_final).then_some(failure)
}
