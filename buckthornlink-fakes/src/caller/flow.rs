//! One caller with one flow at a time.

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
use super::counts::{Tally, UNKNOWN_SERVER};

/// Tries of one request, first and repeated.
const MAX_TRIES: u32 = 6;
/// Share of requests that only read, in percent.
const READ_PERCENT: u32 = 20;
const OPEN_TIMEOUT: Duration = Duration::from_secs(3);
const OPEN_PAUSE: Duration = Duration::from_millis(50);
/// Time beyond the deadline that a caller waits before it counts an answer as lost.
const PATIENCE: Duration = Duration::from_millis(300);

pub(super) struct Caller {
    setup: CallersSetup,
    index: usize,
    endpoint: Endpoint,
    tally: Arc<Tally>,
    stop: Arc<AtomicBool>,
    rng: SmallRng,
    flow: Option<Flow>,
    server: String,
    next: u64,
}

/// A request with everything that stays the same over its tries.
struct Order {
    id: String,
    method: Method,
    begun: Instant,
    attempt: u32,
}

/// How one try ended.
enum Try {
    Answered,
    Failed,
    WrongAnswer,
    NotRun(String),
    Unknown,
}

#[derive(Deserialize)]
struct Content {
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
        tally: Arc<Tally>,
        stop: Arc<AtomicBool>,
    ) -> Self {
        let rng = SmallRng::seed_from_u64(setup.seed ^ (index as u64) << 32);
        Self {
            setup,
            index,
            endpoint,
            tally,
            stop,
            rng,
            flow: None,
            server: UNKNOWN_SERVER.to_owned(),
            next: 0,
        }
    }

    /// Sends requests until told to stop.
    pub(super) async fn run(mut self) {
        while !self.stop.load(Ordering::Relaxed) {
            self.request().await;
            let pause = self.setup.think.mul_f64(self.rng.random_range(0.5..1.5));
            sleep(pause).await;
        }
        if let Some(flow) = self.flow.take() {
            flow.close();
        }
        self.endpoint.wait_idle().await;
    }

    async fn request(&mut self) {
        let mut order = self.order();
        self.tally.count(|c| c.requests += 1);
        let mut last = Try::NotRun("no-flow".to_owned());
        for turn in 0..MAX_TRIES {
            let left = self.setup.deadline.saturating_sub(order.begun.elapsed());
            if left.is_zero() {
                break;
            }
            if turn > 0 {
                sleep(self.pause(turn).min(left)).await;
            }
            last = self.attempt(&mut order).await;
            let is_settled = match &last {
                Try::NotRun(_) => false,
                Try::Unknown => order.method != Method::GET && order.attempt > 2,
                Try::Answered | Try::Failed | Try::WrongAnswer => true,
            };
            if is_settled {
                break;
            }
        }
        self.settle(&order, &last);
    }

    fn order(&mut self) -> Order {
        self.next += 1;
        let is_read = self.rng.random_range(0..100) < READ_PERCENT;
        Order {
            id: format!("c{}-{}-{}", self.setup.seed, self.index, self.next),
            method: if is_read { Method::GET } else { Method::POST },
            begun: Instant::now(),
            attempt: 1,
        }
    }

    fn pause(&mut self, turn: u32) -> Duration {
        let base = 10_u64 << turn;
        Duration::from_millis(self.rng.random_range(base / 2..base))
    }

    async fn attempt(&mut self, order: &mut Order) -> Try {
        let left = self.setup.deadline.saturating_sub(order.begun.elapsed());
        let request = self.build(order, left);
        let body = Bytes::from(format!("body of {}", order.id));
        let Some(flow) = self.flow().await else {
            return Try::NotRun("no-flow".to_owned());
        };
        match timeout(left + PATIENCE, flow.call(request, body)).await {
            Ok(Ok((head, body))) => self.judge(order, &head, &body),
            Ok(Err(err @ (CallError::NotSent | CallError::Rejected))) => {
                Try::NotRun(err.to_string())
            }
            Ok(Err(CallError::Lost(_))) | Err(_) => {
                order.attempt += 1;
                Try::Unknown
            }
        }
    }

    fn build(&self, order: &Order, left: Duration) -> Request<()> {
        let service = self.setup.service;
        let operation = if order.method == Method::GET {
            "look"
        } else {
            "redeem"
        };
        let uri = format!("https://{service}/{service}/{operation}");
        let mut request = Request::new(());
        *request.method_mut() = order.method.clone();
        *request.uri_mut() = uri.parse().unwrap_or_default();
        let headers = request.headers_mut();
        let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(DEADLINE_HEADER, HeaderValue::from(millis));
        headers.insert(ATTEMPT_HEADER, HeaderValue::from(order.attempt));
        if let Ok(id) = HeaderValue::try_from(&order.id) {
            headers.insert(REQUEST_ID_HEADER, id);
        }
        request
    }

    fn judge(&mut self, order: &mut Order, head: &Response<()>, body: &Bytes) -> Try {
        let text = |name| head.headers().get(name).and_then(|v| v.to_str().ok());
        match text(VERDICT_HEADER).unwrap_or("").parse() {
            Ok(Verdict::NotRun) => Try::NotRun(text(REASON_HEADER).unwrap_or("").to_owned()),
            Ok(Verdict::MayHaveRun) => {
                order.attempt = u32::MAX;
                Try::Unknown
            }
            Ok(Verdict::Ran) if head.status().is_success() => self.check(order, body),
            Ok(Verdict::Ran) | Err(_) => Try::Failed,
        }
    }

    fn check(&mut self, order: &Order, body: &Bytes) -> Try {
        let Ok(content) = serde_json::from_slice::<Content>(body) else {
            return Try::WrongAnswer;
        };
        self.server = content.server;
        let is_right = content.id == order.id
            && content.echo == format!("body of {}", order.id)
            && content.service == self.setup.service;
        if is_right {
            Try::Answered
        } else {
            Try::WrongAnswer
        }
    }

    fn settle(&self, order: &Order, last: &Try) {
        let is_late = order.begun.elapsed() > self.setup.deadline;
        self.tally.count(|c| match last {
            Try::Answered => {
                c.answered += 1;
                c.late += u64::from(is_late);
            }
            Try::Failed => c.failed += 1,
            Try::WrongAnswer => c.wrong_answer += 1,
            Try::Unknown => c.may_have_run += 1,
            Try::NotRun(_) if order.attempt > 1 => c.may_have_run += 1,
            Try::NotRun(reason) => {
                c.refused_not_run += 1;
                c.false_not_run += u64::from(self.setup.record.has_run(&order.id));
                *c.refusals.entry(reason.clone()).or_default() += 1;
            }
        });
    }

    /// The flow, opened anew if it is closing or was cut.
    async fn flow(&mut self) -> Option<&Flow> {
        if self.flow.as_ref().is_some_and(Flow::is_closing) {
            self.end_flow();
        }
        if self.flow.is_none() {
            let opening = Flow::open(&self.endpoint, self.setup.addr, self.setup.service);
            match timeout(OPEN_TIMEOUT, opening).await {
                Ok(Ok(flow)) => {
                    self.tally.count(|c| c.opened_flows += 1);
                    self.flow = Some(flow);
                    UNKNOWN_SERVER.clone_into(&mut self.server);
                }
                Ok(Err(_)) | Err(_) => sleep(OPEN_PAUSE).await,
            }
        }
        self.flow.as_ref()
    }

    /// Counts the end of a flow and lets it go.
    fn end_flow(&mut self) {
        let Some(flow) = self.flow.take() else {
            return;
        };
        match flow.connection().close_reason() {
            None => self.tally.count(|c| c.moved_flows += 1),
            Some(ConnectionError::ApplicationClosed(close))
                if close.error_code == VarInt::from_u32(ZONE_OUT_CODE) =>
            {
                self.tally.count(|c| c.given_up_flows += 1);
            }
            Some(ConnectionError::LocallyClosed) => {}
            Some(reason) => self.tally.note_cut(&self.server, &reason.to_string()),
        }
    }
}
