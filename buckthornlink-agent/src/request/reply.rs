//! The reply that a caller gets to a request, and how it is sent.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};

use buckthornlink_core::Verdict;
use buckthornlink_core::verdict::{REASON_HEADER, Refusal, VERDICT_HEADER};

use super::Stream;
use crate::response::BackendResponse;

/// Target of the log records of this module, which was part of another one.
const LOG_TARGET: &str = "buckthornlink_agent::request";
/// Time after which a caller may retry a refused request, in seconds.
const RETRY_AFTER: HeaderValue = HeaderValue::from_static("1");

/// The reply that a caller gets to a request.
pub(super) enum Reply {
    Response(Arc<BackendResponse>),
    Refusal(Verdict, Refusal),
}

impl Reply {
    /// Sends the reply; a failure is only logged.
    pub(super) async fn send(&self, stream: &mut Stream) {
        let (head, body) = match self {
            Self::Response(response) => (response_head(response), response.body.clone()),
            Self::Refusal(verdict, refusal) => (refusal_head(*verdict, *refusal), Bytes::new()),
        };
        let sent = async {
            stream.send_response(head).await?;
            if !body.is_empty() {
                stream.send_data(body).await?;
            }
            stream.finish().await
        };
        if let Err(err) = sent.await {
            log::debug!(target: LOG_TARGET, err:% = err; "sending the response failed");
        }
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
