//! HTTP/1.1 client of the backend server, over loopback.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use buckthornlink_core::agent::Outcome;
use buckthornlink_core::verdict::{BACKEND_BOOT_HEADER, SHED_FOR_DEPENDENCY, SHED_HEADER};

use crate::response::BackendResponse;

/// Maximum length of a response body, in bytes. Responses are buffered completely before they are
/// passed on, so that a caller never receives a truncated one.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [header::HeaderName; 6] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::PROXY_AUTHENTICATE,
];

/// Client of the backend server.
#[derive(Clone, Debug)]
pub(crate) struct BackendClient {
    addr: SocketAddrV4,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl BackendClient {
    pub(crate) fn new(addr: SocketAddrV4) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { addr, client }
    }

    /// Forwards a request; returns its outcome, and the response if it is complete.
    pub(crate) async fn forward(
        &self,
        parts: &http::request::Parts,
        body: Bytes,
        timeout: Duration,
    ) -> (Outcome, Option<BackendResponse>) {
        let Ok(request) = self.build_request(parts, body) else {
            return (Outcome::Unreachable, None);
        };
        match tokio::time::timeout(timeout, self.send(request)).await {
            Ok(result) => result,
            Err(_) => (Outcome::Late, None),
        }
    }

    /// Sends a GET request to the health or load endpoint; returns the response if it is complete.
    pub(crate) async fn probe(&self, path: &str, timeout: Duration) -> Option<BackendResponse> {
        let request = Request::get(self.uri(path).ok()?)
            .body(Full::default())
            .ok()?;
        let result = tokio::time::timeout(timeout, self.send(request)).await;
        result.ok()?.1
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> (Outcome, Option<BackendResponse>) {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(err) if err.is_connect() => return (Outcome::Unreachable, None),
            Err(_) => return (Outcome::Broken, None),
        };
        let (parts, body) = response.into_parts();
        let Ok(body) = Limited::new(body, MAX_RESPONSE_BYTES).collect().await else {
            return (Outcome::Broken, None);
        };
        let outcome = outcome_from_headers(&parts.headers);
        let mut headers = parts.headers;
        remove_hop_by_hop(&mut headers);
        let response = BackendResponse {
            status: parts.status,
            headers,
            body: body.to_bytes(),
        };
        (outcome, Some(response))
    }

    fn build_request(
        &self,
        parts: &http::request::Parts,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = parts.method.clone();
        *request.uri_mut() = self.uri(path)?;
        *request.headers_mut() = parts.headers.clone();
        remove_hop_by_hop(request.headers_mut());
        Ok(request)
    }

    fn uri(&self, path: &str) -> Result<Uri, http::Error> {
        Ok(format!("http://{}{path}", self.addr).parse::<Uri>()?)
    }
}

fn outcome_from_headers(headers: &HeaderMap) -> Outcome {
    if let Some(reason) = headers.get(SHED_HEADER) {
        return if reason == SHED_FOR_DEPENDENCY {
            Outcome::Declined
        } else {
            Outcome::Shed
        };
    }
    let boot = headers
        .get(BACKEND_BOOT_HEADER)
        .and_then(|v| v.to_str().ok());
    Outcome::Answered {
        boot: boot.and_then(|v| v.parse().ok()),
    }
}

fn remove_hop_by_hop(headers: &mut HeaderMap) {
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}
