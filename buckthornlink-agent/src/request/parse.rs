//! Builds the reducer's request from the headers and the body of an HTTP request.

use std::str::FromStr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use http::{HeaderMap, Method};

use buckthornlink_core::Millis;
use buckthornlink_core::agent::{Priority, Request, RequestId, Ticket};
use buckthornlink_core::id::stable_hash;
use buckthornlink_core::verdict::{
    ATTEMPT_HEADER, CLASS_HEADER, DEADLINE_HEADER, DEPENDANT_HEADER, REQUEST_ID_HEADER,
};
use buckthornlink_wire::dependant;

use super::{ReceivedRequest, RequestHandler};

/// Maximum length of a class name, in bytes. Longer ones count as the service's default class.
const MAX_CLASS_BYTES: usize = 32;
/// Number of distinct classes after which new ones count as the service's default class; limited
/// because callers choose the names.
const MAX_CLASSES: usize = 32;

/// A numeric `buckthornlink-*` header does not parse.
pub(super) struct HeaderError;

impl RequestHandler {
    /// Builds a request from its headers, with the service's defaults for missing ones.
    ///
    /// A header that does not parse is an error: a retry mistaken for a first attempt could run the
    /// request twice.
    pub(super) fn parse(
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
