//! Handling of one HTTP/3 request.

use std::collections::BTreeSet;
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use h3::server::{RequestResolver, RequestStream};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode, header};

use buckthornlink_core::agent::{Event, Outcome, Priority, Request, RequestId, Ticket};
use buckthornlink_core::id::stable_hash;
use buckthornlink_core::verdict::{
    ATTEMPT_HEADER, CALL_HEADER, CLASS_HEADER, DEADLINE_HEADER, DEPENDANT_HEADER, REASON_HEADER,
    REQUEST_ID_HEADER, Refusal, VERDICT_HEADER,
};
use buckthornlink_core::{Millis, Verdict};
use buckthornlink_wire::dependant;

use crate::backend::BackendClient;
use crate::dependency_waits::DependencyWaits;
use crate::executor::{Decision, Job, Shared};
use crate::metrics::Metrics;
use crate::response::BackendResponse;

/// Maximum length of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Maximum length of a class name, in bytes. Longer ones count as the service's default class.
const MAX_CLASS_BYTES: usize = 32;
/// Number of distinct classes after which new ones count as the service's default class; limited
/// because callers choose the names.
const MAX_CLASSES: usize = 32;
/// Time after which a caller may retry a refused request, in seconds.
const RETRY_AFTER: HeaderValue = HeaderValue::from_static("1");

type Stream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;
type Resolver = RequestResolver<h3_quinn::Connection, Bytes>;

/// Handles the requests on all flows of an agent.
pub(crate) struct RequestHandler {
    pub(crate) service: String,
    pub(crate) jobs: flume::Sender<Job>,
    pub(crate) backend: BackendClient,
    pub(crate) shared: Shared,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) next_ticket: AtomicU64,
    pub(crate) classes: Mutex<BTreeSet<Arc<str>>>,
}

/// A numeric `buckthornlink-*` header does not parse.
struct HeaderError;

/// A request that was received completely.
struct ReceivedRequest {
    parts: http::request::Parts,
    body: Bytes,
    request: Request,
    arrived: Instant,
}

/// The reply that a caller gets to a request.
enum Reply {
    Response(Arc<BackendResponse>),
    Refusal(Verdict, Refusal),
}

/// Reports a request to the reducer as cancelled if it is dropped before the request has ended.
struct CancelGuard {
    ticket: Ticket,
    jobs: flume::Sender<Job>,
    is_armed: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if self.is_armed {
            let _ = self.jobs.send(Job::Event(Event::Cancelled(self.ticket)));
        }
    }
}

/// Measures the time that a request waits for dependencies; stops when dropped.
struct WaitGuard<'a> {
    dependency_waits: &'a DependencyWaits,
    ticket: Ticket,
}

impl<'a> WaitGuard<'a> {
    fn start(dependency_waits: &'a DependencyWaits, ticket: Ticket) -> Self {
        dependency_waits.start(ticket);
        Self {
            dependency_waits,
            ticket,
        }
    }

    fn finish(&mut self) -> Duration {
        self.dependency_waits.finish(self.ticket)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.finish();
    }
}

/// Receives a request, processes it, and sends the reply.
pub(crate) async fn serve(resolver: Resolver, handler: Arc<RequestHandler>) {
    let arrived = Instant::now();
    let Ok((request, mut stream)) = resolver.resolve_request().await else {
        return;
    };
    let (parts, ()) = request.into_parts();
    let Ok(body) = read_body(&mut stream).await else {
        let reply = Reply::Refusal(Verdict::NotRun, Refusal::Malformed);
        respond(&mut stream, &reply).await;
        return;
    };
    let reply = match handler.parse(parts, body, arrived) {
        Ok(received) => {
            let class = Arc::clone(&received.request.class);
            let reply = handler.process(received).await;
            handler.record_metrics(&class, &reply, arrived);
            reply
        }
        Err(HeaderError) => Reply::Refusal(Verdict::MayHaveRun, Refusal::Malformed),
    };
    respond(&mut stream, &reply).await;
}

impl RequestHandler {
    /// Builds a request from its headers, with the service's defaults for missing ones.
    ///
    /// A header that does not parse is an error: a retry mistaken for a first attempt could run the
    /// request twice.
    fn parse(
        &self,
        mut parts: http::request::Parts,
        body: Bytes,
        arrived: Instant,
    ) -> Result<ReceivedRequest, HeaderError> {
        let config = self.shared.config.borrow().clone();
        let own_service = config.config.service_named(&self.service);
        let default_class = own_service.map_or("default", |s| s.class.as_str());
        let default_deadline = own_service.map_or(2_000, |s| u64::from(s.deadline_ms));
        let id = header_text(&parts.headers, REQUEST_ID_HEADER).unwrap_or("");
        let class = header_text(&parts.headers, CLASS_HEADER).unwrap_or(default_class);
        let dependant_value = header_text(&parts.headers, DEPENDANT_HEADER);
        let dependant = dependant_value.and_then(|v| dependant::verify(v, id, &self.shared.keys));
        let deadline = header_number(&parts.headers, DEADLINE_HEADER)?.unwrap_or(default_deadline);
        let request = Request {
            ticket: Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed)),
            id: RequestId::new(id),
            attempt: header_number(&parts.headers, ATTEMPT_HEADER)?.unwrap_or(1),
            fingerprint: fingerprint(&parts, &body),
            class: self.resolve_class(class, default_class),
            deadline: self.shared.clock.now() + Millis(deadline),
            idempotent: is_idempotent(&parts.method),
            priority: if dependant.is_some() {
                Priority::Admitted
            } else {
                Priority::Fresh
            },
        };
        parts.headers.remove(DEPENDANT_HEADER);
        Ok(ReceivedRequest {
            parts,
            body,
            request,
            arrived,
        })
    }

    /// Returns the class, or the default class if the name is too long or there are too many
    /// classes: callers choose the names, and each takes memory for its queue and histograms.
    fn resolve_class(&self, class: &str, default_class: &str) -> Arc<str> {
        let mut classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = classes.get(class) {
            return Arc::clone(known);
        }
        let is_accepted = classes.len() < MAX_CLASSES && class.len() <= MAX_CLASS_BYTES;
        let class = if is_accepted { class } else { default_class };
        let class: Arc<str> = class.into();
        classes.insert(Arc::clone(&class));
        class
    }

    /// Passes a request to the reducer and follows its decisions until there is a reply.
    async fn process(&self, received: ReceivedRequest) -> Reply {
        let ticket = received.request.ticket;
        let class = Arc::clone(&received.request.class);
        let (sender, decisions) = flume::unbounded();
        let mut guard = CancelGuard {
            ticket,
            jobs: self.jobs.clone(),
            is_armed: true,
        };
        let job = Job::Request(received.request.clone(), sender);
        if self.jobs.send_async(job).await.is_err() {
            return Reply::Refusal(Verdict::NotRun, Refusal::Draining);
        }
        let reply = match decisions.recv_async().await {
            Ok(Decision::Run) => {
                let waited = received.arrived.elapsed().as_secs_f64();
                let labels = [self.service.as_str(), &class];
                self.metrics
                    .queueing
                    .with_label_values(&labels)
                    .observe(waited);
                self.forward(received, &decisions).await
            }
            Ok(Decision::Refuse(verdict, refusal)) => Reply::Refusal(verdict, refusal),
            Ok(Decision::Replay(response)) => Reply::Response(response),
            Ok(Decision::Abort) | Err(_) => Reply::Refusal(Verdict::NotRun, Refusal::ZoneOut),
        };
        guard.is_armed = false;
        reply
    }

    /// Forwards a request to the backend server and reports the outcome to the reducer.
    async fn forward(
        &self,
        received: ReceivedRequest,
        decisions: &flume::Receiver<Decision>,
    ) -> Reply {
        let ReceivedRequest {
            mut parts,
            body,
            request,
            ..
        } = received;
        let remaining = request.deadline.since(self.shared.clock.now());
        parts
            .headers
            .insert(DEADLINE_HEADER, HeaderValue::from(remaining.0));
        parts
            .headers
            .insert(CALL_HEADER, HeaderValue::from(request.ticket.0));
        let mut guard = WaitGuard::start(&self.shared.dependency_waits, request.ticket);
        let started = Instant::now();
        let (outcome, response) = tokio::select! {
            ended = self.backend.forward(&parts, body, Duration::from_millis(remaining.0)) => ended,
            _ = decisions.recv_async() => (Outcome::Aborted, None),
        };
        let response = response.filter(|_| matches!(outcome, Outcome::Answered { .. }));
        let response = response.map(Arc::new);
        if let Some(response) = response.as_ref().filter(|_| !request.idempotent) {
            self.shared
                .response_cache
                .insert(request.ticket, Arc::clone(response));
        }
        let took = started.elapsed().saturating_sub(guard.finish());
        let took = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        let event = Event::Finished {
            ticket: request.ticket,
            outcome,
            took: Millis(took),
        };
        let _ = self.jobs.send_async(Job::Event(event)).await;
        match response {
            Some(response) => Reply::Response(response),
            None => final_refusal(decisions).await,
        }
    }

    fn record_metrics(&self, class: &str, reply: &Reply, arrived: Instant) {
        let labels = [self.service.as_str(), class];
        let seconds = arrived.elapsed().as_secs_f64();
        self.metrics
            .latency
            .with_label_values(&labels)
            .observe(seconds);
        let verdict = match reply {
            Reply::Response(response) => {
                #[expect(clippy::cast_precision_loss, reason = "responses have at most 16 MiB")]
                let len = response.body.len() as f64;
                self.metrics
                    .response_sizes
                    .with_label_values(&labels)
                    .observe(len);
                response.verdict()
            }
            Reply::Refusal(verdict, _) => *verdict,
        };
        self.metrics.record_verdict(&self.service, class, verdict);
    }
}

/// Waits for the reducer's refusal of a request that ended without a response.
async fn final_refusal(decisions: &flume::Receiver<Decision>) -> Reply {
    while let Ok(decision) = decisions.recv_async().await {
        if let Decision::Refuse(verdict, refusal) = decision {
            return Reply::Refusal(verdict, refusal);
        }
    }
    Reply::Refusal(Verdict::MayHaveRun, Refusal::BackendFailed)
}

async fn read_body(stream: &mut Stream) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(mut chunk) = stream.recv_data().await.map_err(|_| BodyError)? {
        if body.len() + chunk.remaining() > MAX_BODY_BYTES {
            return Err(BodyError);
        }
        body.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
    }
    Ok(body.freeze())
}

/// The body is too long or incomplete.
struct BodyError;

async fn respond(stream: &mut Stream, reply: &Reply) {
    let (head, body) = match reply {
        Reply::Response(response) => (response_head(response), response.body.clone()),
        Reply::Refusal(verdict, refusal) => (refusal_head(*verdict, *refusal), Bytes::new()),
    };
    let sent = async {
        stream.send_response(head).await?;
        if !body.is_empty() {
            stream.send_data(body).await?;
        }
        stream.finish().await
    };
    if let Err(err) = sent.await {
        log::debug!(err:% = err; "sending the response failed");
    }
}

fn response_head(response: &BackendResponse) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = response.status;
    *head.headers_mut() = response.headers.clone();
    insert_static(
        head.headers_mut(),
        VERDICT_HEADER,
        response.verdict().as_str(),
    );
    head
}

fn refusal_head(verdict: Verdict, refusal: Refusal) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = refusal_status(verdict, refusal);
    insert_static(head.headers_mut(), VERDICT_HEADER, verdict.as_str());
    insert_static(head.headers_mut(), REASON_HEADER, refusal.as_str());
    if verdict == Verdict::NotRun && refusal != Refusal::Malformed {
        head.headers_mut().insert(header::RETRY_AFTER, RETRY_AFTER);
    }
    head
}

const fn refusal_status(verdict: Verdict, refusal: Refusal) -> StatusCode {
    match (verdict, refusal) {
        (_, Refusal::Malformed) => StatusCode::BAD_REQUEST,
        (_, Refusal::IdReused) => StatusCode::CONFLICT,
        (_, Refusal::Undeclared) => StatusCode::FORBIDDEN,
        (Verdict::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, Refusal::Deadline) => StatusCode::GATEWAY_TIMEOUT,
        (_, _) => StatusCode::BAD_GATEWAY,
    }
}

fn insert_static(headers: &mut HeaderMap, name: &'static str, value: &'static str) {
    headers.insert(
        HeaderName::from_static(name),
        HeaderValue::from_static(value),
    );
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

/// Returns the number in a header, or `None` if the header is missing.
fn header_number<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, HeaderError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| HeaderError)?;
    text.parse().map(Some).map_err(|_| HeaderError)
}

/// Only safe methods count as idempotent; PUT and DELETE do not.
fn is_idempotent(method: &Method) -> bool {
    matches!(
        *method,
        Method::GET | Method::HEAD | Method::OPTIONS | Method::TRACE
    )
}

fn fingerprint(parts: &http::request::Parts, body: &Bytes) -> u64 {
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let mut bytes = Vec::with_capacity(path.len() + body.len() + 16);
    bytes.extend_from_slice(parts.method.as_str().as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(path.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(body);
    stable_hash(&bytes)
}
