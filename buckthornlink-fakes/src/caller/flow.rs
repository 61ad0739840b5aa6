//! A caller, which uses one flow at a time.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response};
use quinn::{ConnectionError, Endpoint, VarInt};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;
use tokio::time::{sleep, timeout};

use buckthornlink_agent::ZONE_OUT_CODE;
use buckthornlink_agent::client::{CallError, Flow};
use buckthornlink_core::Verdict;
use buckthornlink_core::verdict::{
    ATTEMPT_HEADER, DEADLINE_HEADER, REASON_HEADER, REQUEST_ID_HEADER, VERDICT_HEADER,
};

use super::CallersSetup;
use super::counts::{CallerStats, UNKNOWN_SERVER};

/// Maximum number of tries of one request, including the first.
const MAX_TRIES: u32 = 6;
/// Percentage of requests that are reads.
const READ_PERCENT: u32 = 20;
const OPEN_TIMEOUT: Duration = Duration::from_secs(3);
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time past the deadline after which a caller counts the response as lost.
const RESPONSE_GRACE_PERIOD: Duration = Duration::from_millis(300);

pub(super) struct Caller {
    setup: CallersSetup,
    index: usize,
    endpoint: Endpoint,
    stats: Arc<CallerStats>,
    is_stopping: Arc<AtomicBool>,
    rng: SmallRng,
    flow: Option<Flow>,
    server: String,
    request_count: u64,
}

/// A request and the state that its tries share.
struct PendingRequest {
    id: String,
    method: Method,
    started_at: Instant,
    /// Attempt number to send: one more than the tries without a response, or `u32::MAX` after a
    /// response with the verdict `may-have-run`.
    attempt: u32,
}

/// Outcome of one try.
enum TryOutcome {
    Answered,
    Failed,
    WrongAnswer,
    NotRun(String),
    Unknown,
}

#[derive(Deserialize)]
struct ResponseBody {
    id: String,
    echo: String,
    server: String,
    service: String,
}

impl Caller {
    pub(super) fn new(
        setup: CallersSetup,
        index: usize,
        endpoint: Endpoint,
        stats: Arc<CallerStats>,
        is_stopping: Arc<AtomicBool>,
    ) -> Self {
        let rng = SmallRng::seed_from_u64(setup.seed ^ (index as u64) << 32);
        Self {
            setup,
            index,
            endpoint,
            stats,
            is_stopping,
            rng,
            flow: None,
            server: UNKNOWN_SERVER.to_owned(),
            request_count: 0,
        }
    }

    /// Sends requests until the callers stop, then closes the flow.
    pub(super) async fn run(mut self) {
        while !self.is_stopping.load(Ordering::Relaxed) {
            self.send_request().await;
            let think_time = self
                .setup
                .think_time
                .mul_f64(self.rng.random_range(0.5..1.5));
            sleep(think_time).await;
        }
        if let Some(flow) = self.flow.take() {
            flow.close();
        }
        self.endpoint.wait_idle().await;
    }

    async fn send_request(&mut self) {
        let mut pending = self.next_request();
        self.stats.update(|c| c.requests += 1);
        let mut last = TryOutcome::NotRun("no-flow".to_owned());
        for tries in 0..MAX_TRIES {
            let remaining = self
                .setup
                .deadline
                .saturating_sub(pending.started_at.elapsed());
            if remaining.is_zero() {
                break;
            }
            if tries > 0 {
                sleep(self.retry_delay(tries).min(remaining)).await;
            }
            last = self.try_once(&mut pending).await;
            let is_final = match &last {
                TryOutcome::NotRun(_) => false,
                TryOutcome::Unknown => pending.method != Method::GET && pending.attempt > 2,
                TryOutcome::Answered | TryOutcome::Failed | TryOutcome::WrongAnswer => true,
            };
            if is_final {
                break;
            }
        }
        self.record_outcome(&pending, &last);
    }

    fn next_request(&mut self) -> PendingRequest {
        self.request_count += 1;
        let is_read = self.rng.random_range(0..100) < READ_PERCENT;
        PendingRequest {
            id: format!("c{}-{}-{}", self.setup.seed, self.index, self.request_count),
            method: if is_read { Method::GET } else { Method::POST },
            started_at: Instant::now(),
            attempt: 1,
        }
    }

    fn retry_delay(&mut self, tries: u32) -> Duration {
        let base = 10_u64 << tries;
        Duration::from_millis(self.rng.random_range(base / 2..base))
    }

    async fn try_once(&mut self, pending: &mut PendingRequest) -> TryOutcome {
        let remaining = self
            .setup
            .deadline
            .saturating_sub(pending.started_at.elapsed());
        let request = self.build_request(pending, remaining);
        let body = Bytes::from(format!("body of {}", pending.id));
        let Some(flow) = self.ensure_flow().await else {
            return TryOutcome::NotRun("no-flow".to_owned());
        };
        match timeout(remaining + RESPONSE_GRACE_PERIOD, flow.call(request, body)).await {
            Ok(Ok((head, body))) => self.classify_response(pending, &head, &body),
            Ok(Err(err @ (CallError::NotSent | CallError::Rejected))) => {
                TryOutcome::NotRun(err.to_string())
            }
            Ok(Err(CallError::Lost(_))) | Err(_) => {
                pending.attempt += 1;
                TryOutcome::Unknown
            }
        }
    }

    fn build_request(&self, pending: &PendingRequest, remaining: Duration) -> Request<()> {
        let service = self.setup.service;
        let operation = if pending.method == Method::GET {
            "look"
        } else {
            "redeem"
        };
        let uri = format!("https://{service}/{service}/{operation}");
        let mut request = Request::new(());
        *request.method_mut() = pending.method.clone();
        *request.uri_mut() = uri.parse().unwrap_or_default();
        let headers = request.headers_mut();
        let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        headers.insert(DEADLINE_HEADER, HeaderValue::from(millis));
        headers.insert(ATTEMPT_HEADER, HeaderValue::from(pending.attempt));
        if let Ok(id) = HeaderValue::try_from(&pending.id) {
            headers.insert(REQUEST_ID_HEADER, id);
        }
        request
    }

    fn classify_response(
        &mut self,
        pending: &mut PendingRequest,
        head: &Response<()>,
        body: &Bytes,
    ) -> TryOutcome {
        let text = |name| head.headers().get(name).and_then(|v| v.to_str().ok());
        match text(VERDICT_HEADER).unwrap_or("").parse() {
            Ok(Verdict::NotRun) => TryOutcome::NotRun(text(REASON_HEADER).unwrap_or("").to_owned()),
            Ok(Verdict::MayHaveRun) => {
                pending.attempt = u32::MAX;
                TryOutcome::Unknown
            }
            Ok(Verdict::Ran) if head.status().is_success() => self.check_body(pending, body),
            Ok(Verdict::Ran) | Err(_) => TryOutcome::Failed,
        }
    }

    fn check_body(&mut self, pending: &PendingRequest, body: &Bytes) -> TryOutcome {
        let Ok(content) = serde_json::from_slice::<ResponseBody>(body) else {
            return TryOutcome::WrongAnswer;
        };
        self.server = content.server;
        let is_correct = content.id == pending.id
            && content.echo == format!("body of {}", pending.id)
            && content.service == self.setup.service;
        if is_correct {
            TryOutcome::Answered
        } else {
            TryOutcome::WrongAnswer
        }
    }

    fn record_outcome(&self, pending: &PendingRequest, last: &TryOutcome) {
        let is_late = pending.started_at.elapsed() > self.setup.deadline;
        self.stats.update(|c| match last {
            TryOutcome::Answered => {
                c.answered += 1;
                c.late += u64::from(is_late);
            }
            TryOutcome::Failed => c.failed += 1,
            TryOutcome::WrongAnswer => c.wrong_answer += 1,
            TryOutcome::Unknown => c.may_have_run += 1,
            TryOutcome::NotRun(_) if pending.attempt > 1 => c.may_have_run += 1,
            TryOutcome::NotRun(reason) => {
                c.refused_not_run += 1;
                c.false_not_run += u64::from(self.setup.request_log.has_run(&pending.id));
                *c.refusals.entry(reason.clone()).or_default() += 1;
            }
        });
    }

    /// Returns the current flow; opens a new one if there is none or it is closing or lost.
    async fn ensure_flow(&mut self) -> Option<&Flow> {
        if self.flow.as_ref().is_some_and(Flow::is_closing) {
            self.end_flow();
        }
        if self.flow.is_none() {
            let opening = Flow::open(&self.endpoint, self.setup.addr, self.setup.service);
            match timeout(OPEN_TIMEOUT, opening).await {
                Ok(Ok(flow)) => {
                    self.stats.update(|c| c.opened_flows += 1);
                    self.flow = Some(flow);
                    UNKNOWN_SERVER.clone_into(&mut self.server);
                }
                Ok(Err(_)) | Err(_) => sleep(OPEN_RETRY_DELAY).await,
            }
        }
        self.flow.as_ref()
    }

    /// Drops the current flow and counts it by the reason for its end.
    fn end_flow(&mut self) {
        let Some(flow) = self.flow.take() else {
            return;
        };
        match flow.connection().close_reason() {
            None => self.stats.update(|c| c.moved_flows += 1),
            Some(ConnectionError::ApplicationClosed(close))
                if close.error_code == VarInt::from_u32(ZONE_OUT_CODE) =>
            {
                self.stats.update(|c| c.given_up_flows += 1);
            }
            Some(ConnectionError::LocallyClosed) => {}
            Some(reason) => self
                .stats
                .record_lost_flow(&self.server, &reason.to_string()),
        }
    }
}
