//! One HTTP/3 request.

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

use crate::answer::Answer;
use crate::backend::Backend;
use crate::executor::{Decision, Job, Shared};
use crate::metrics::Metrics;
use crate::waits::Waits;

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Longest class name, in bytes. Longer ones count as the service's own class.
const MAX_CLASS_BYTES: usize = 32;
/// Classes kept apart; callers name them.
const MAX_CLASSES: usize = 32;
/// Seconds after which a caller may repeat a refused request.
const RETRY_AFTER: HeaderValue = HeaderValue::from_static("1");

type Stream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;
type Resolver = RequestResolver<h3_quinn::Connection, Bytes>;

/// What all requests of an agent share.
pub(crate) struct Server {
    pub(crate) service: String,
    pub(crate) jobs: flume::Sender<Job>,
    pub(crate) backend: Backend,
    pub(crate) shared: Shared,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) tickets: AtomicU64,
    pub(crate) classes: Mutex<BTreeSet<Arc<str>>>,
}

/// A header of ours does not parse.
struct HeaderError;

/// A request that has been read whole.
struct Call {
    parts: http::request::Parts,
    body: Bytes,
    request: Request,
    arrived: Instant,
}

/// How a request ends for its caller.
enum Reply {
    Answer(Arc<Answer>),
    Refusal(Verdict, Refusal),
}

/// Tells the reducer that a request was given up, unless it ended before.
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

/// Counts the time that a request waits for dependencies; ends with the request.
struct WaitGuard<'a> {
    waits: &'a Waits,
    ticket: Ticket,
}

impl<'a> WaitGuard<'a> {
    fn open(waits: &'a Waits, ticket: Ticket) -> Self {
        waits.open(ticket);
        Self { waits, ticket }
    }

    fn close(&mut self) -> Duration {
        self.waits.close(self.ticket)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.close();
    }
}

/// Reads a request, has it decided, and answers it.
pub(crate) async fn serve(resolver: Resolver, server: Arc<Server>) {
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
    let reply = match server.call(parts, body, arrived) {
        Ok(call) => {
            let class = Arc::clone(&call.request.class);
            let reply = server.decide(call).await;
            server.observe(&class, &reply, arrived);
            reply
        }
        Err(HeaderError) => Reply::Refusal(Verdict::MayHaveRun, Refusal::Malformed),
    };
    respond(&mut stream, &reply).await;
}

impl Server {
    /// Fills in what the headers leave out.
    ///
    /// A header that does not parse is an error: an attempt taken for the first could run twice.
    fn call(
        &self,
        mut parts: http::request::Parts,
        body: Bytes,
        arrived: Instant,
    ) -> Result<Call, HeaderError> {
        let config = self.shared.config.borrow().clone();
        let own = config.config.service_named(&self.service);
        let default_class = own.map_or("default", |s| s.class.as_str());
        let default_deadline = own.map_or(2_000, |s| u64::from(s.deadline_ms));
        let id = text(&parts.headers, REQUEST_ID_HEADER).unwrap_or("");
        let class = text(&parts.headers, CLASS_HEADER).unwrap_or(default_class);
        let mark = text(&parts.headers, DEPENDANT_HEADER);
        let dependant = mark.and_then(|m| dependant::verify(m, id, &self.shared.keys));
        let deadline = number(&parts.headers, DEADLINE_HEADER)?.unwrap_or(default_deadline);
        let request = Request {
            ticket: Ticket(self.tickets.fetch_add(1, Ordering::Relaxed)),
            id: RequestId::new(id),
            attempt: number(&parts.headers, ATTEMPT_HEADER)?.unwrap_or(1),
            fingerprint: fingerprint(&parts, &body),
            class: self.known_class(class, default_class),
            deadline: self.shared.clock.now() + Millis(deadline),
            idempotent: is_idempotent(&parts.method),
            priority: if dependant.is_some() {
                Priority::Admitted
            } else {
                Priority::Fresh
            },
        };
        parts.headers.remove(DEPENDANT_HEADER);
        Ok(Call {
            parts,
            body,
            request,
            arrived,
        })
    }

    /// The class, or the default one if there are too many. Each class costs memory for its queue
    /// and histograms, and callers name them.
    fn known_class(&self, class: &str, default_class: &str) -> Arc<str> {
        let mut classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = classes.get(class) {
            return Arc::clone(known);
        }
        let is_taken = classes.len() < MAX_CLASSES && class.len() <= MAX_CLASS_BYTES;
        let class = if is_taken { class } else { default_class };
        let class: Arc<str> = class.into();
        classes.insert(Arc::clone(&class));
        class
    }

    /// Follows the reducer's decisions about a request until it has a reply.
    async fn decide(&self, call: Call) -> Reply {
        let ticket = call.request.ticket;
        let class = Arc::clone(&call.request.class);
        let (sender, decisions) = flume::unbounded();
        let mut guard = CancelGuard {
            ticket,
            jobs: self.jobs.clone(),
            is_armed: true,
        };
        let job = Job::Request(call.request.clone(), sender);
        if self.jobs.send_async(job).await.is_err() {
            return Reply::Refusal(Verdict::NotRun, Refusal::Draining);
        }
        let reply = match decisions.recv_async().await {
            Ok(Decision::Run) => {
                let waited = call.arrived.elapsed().as_secs_f64();
                let labels = [self.service.as_str(), &class];
                self.metrics
                    .queueing
                    .with_label_values(&labels)
                    .observe(waited);
                self.run(call, &decisions).await
            }
            Ok(Decision::Refuse(verdict, refusal)) => Reply::Refusal(verdict, refusal),
            Ok(Decision::Replay(answer)) => Reply::Answer(answer),
            Ok(Decision::Abort) | Err(_) => Reply::Refusal(Verdict::NotRun, Refusal::ZoneOut),
        };
        guard.is_armed = false;
        reply
    }

    /// Sends a request to the backend server.
    async fn run(&self, call: Call, decisions: &flume::Receiver<Decision>) -> Reply {
        let Call {
            mut parts,
            body,
            request,
            ..
        } = call;
        let left = request.deadline.since(self.shared.clock.now());
        parts
            .headers
            .insert(DEADLINE_HEADER, HeaderValue::from(left.0));
        parts
            .headers
            .insert(CALL_HEADER, HeaderValue::from(request.ticket.0));
        let mut guard = WaitGuard::open(&self.shared.waits, request.ticket);
        let started = Instant::now();
        let (outcome, answer) = tokio::select! {
            ended = self.backend.run(&parts, body, Duration::from_millis(left.0)) => ended,
            _ = decisions.recv_async() => (Outcome::Aborted, None),
        };
        let answer = answer.filter(|_| matches!(outcome, Outcome::Answered { .. }));
        let answer = answer.map(Arc::new);
        if let Some(answer) = answer.as_ref().filter(|_| !request.idempotent) {
            self.shared.answers.keep(request.ticket, Arc::clone(answer));
        }
        let took = started.elapsed().saturating_sub(guard.close());
        let took = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        let event = Event::Finished {
            ticket: request.ticket,
            outcome,
            took: Millis(took),
        };
        let _ = self.jobs.send_async(Job::Event(event)).await;
        match answer {
            Some(answer) => Reply::Answer(answer),
            None => final_refusal(decisions).await,
        }
    }

    fn observe(&self, class: &str, reply: &Reply, arrived: Instant) {
        let labels = [self.service.as_str(), class];
        let seconds = arrived.elapsed().as_secs_f64();
        self.metrics
            .latency
            .with_label_values(&labels)
            .observe(seconds);
        let verdict = match reply {
            Reply::Answer(answer) => {
                #[expect(clippy::cast_precision_loss, reason = "answers have at most 16 MiB")]
                let len = answer.body.len() as f64;
                self.metrics.sizes.with_label_values(&labels).observe(len);
                answer.verdict()
            }
            Reply::Refusal(verdict, _) => *verdict,
        };
        self.metrics.verdict(&self.service, class, verdict);
    }
}

/// The reducer's word on a request that ended without an answer.
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

/// The body is too long or was cut short.
struct BodyError;

async fn respond(stream: &mut Stream, reply: &Reply) {
    let (head, body) = match reply {
        Reply::Answer(answer) => (answer_head(answer), answer.body.clone()),
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
        log::debug!(err:% = err; "answer cannot be sent");
    }
}

fn answer_head(answer: &Answer) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = answer.status;
    *head.headers_mut() = answer.headers.clone();
    insert(
        head.headers_mut(),
        VERDICT_HEADER,
        answer.verdict().as_str(),
    );
    head
}

fn refusal_head(verdict: Verdict, refusal: Refusal) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = status_of(verdict, refusal);
    insert(head.headers_mut(), VERDICT_HEADER, verdict.as_str());
    insert(head.headers_mut(), REASON_HEADER, refusal.as_str());
    if verdict == Verdict::NotRun && refusal != Refusal::Malformed {
        head.headers_mut().insert(header::RETRY_AFTER, RETRY_AFTER);
    }
    head
}

const fn status_of(verdict: Verdict, refusal: Refusal) -> StatusCode {
    match (verdict, refusal) {
        (_, Refusal::Malformed) => StatusCode::BAD_REQUEST,
        (_, Refusal::IdReused) => StatusCode::CONFLICT,
        (_, Refusal::Undeclared) => StatusCode::FORBIDDEN,
        (Verdict::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, Refusal::Deadline) => StatusCode::GATEWAY_TIMEOUT,
        (_, _) => StatusCode::BAD_GATEWAY,
    }
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: &'static str) {
    headers.insert(
        HeaderName::from_static(name),
        HeaderValue::from_static(value),
    );
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

/// The number in a header, or `None` if the header is left out.
fn number<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, HeaderError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| HeaderError)?;
    text.parse().map(Some).map_err(|_| HeaderError)
}

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
