//! Handling of one HTTP/3 request.

mod guards;
mod parse;
mod reply;

use std::collections::BTreeSet;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use h3::server::{RequestResolver, RequestStream};
use http::HeaderValue;

use buckthornlink_core::agent::{Event, Outcome, Request};
use buckthornlink_core::verdict::{CALL_HEADER, DEADLINE_HEADER, Refusal};
use buckthornlink_core::{Millis, Verdict};

use crate::backend::BackendClient;
use crate::executor::{Decision, Job, Shared};
use crate::metrics::Metrics;
use guards::{CancelGuard, WaitGuard};
use parse::HeaderError;
use reply::Reply;

/// Maximum length of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

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

/// A request that was received completely.
struct ReceivedRequest {
    parts: http::request::Parts,
    body: Bytes,
    request: Request,
    arrived: Instant,
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
        reply.send(&mut stream).await;
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
    reply.send(&mut stream).await;
}

impl RequestHandler {
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
