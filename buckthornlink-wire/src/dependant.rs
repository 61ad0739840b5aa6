//! Header value that identifies calls of a backend server to a dependency through its agent.
//!
//! Such calls belong to requests that were already admitted, so they have priority over new
//! requests. The value is authenticated, since callers could otherwise claim that priority.

use crate::key::KeyRing;

/// Returns the header value that `service` sends with the request `id`.
///
/// ```
/// use buckthornlink_wire::{KeyRing, dependant};
///
/// let keys = KeyRing::single(1, &[7; 32]);
/// let value = dependant::sign("token", "r-1", &keys);
/// assert_eq!(dependant::verify(&value, "r-1", &keys), Some("token"));
/// assert_eq!(dependant::verify(&value, "r-2", &keys), None);
/// ```
#[must_use]
pub fn sign(service: &str, id: &str, keys: &KeyRing) -> String {
    let key = keys.current();
    let tag = u64::from_be_bytes(key.envelope_tag(&authenticated_bytes(service, id)));
    format!("{service};{};{tag:016x}", key.id())
}

/// Returns the service that the header value names, or `None` if no valid key authenticates it.
#[must_use]
pub fn verify<'a>(value: &'a str, id: &str, keys: &KeyRing) -> Option<&'a str> {
    let mut parts = value.split(';');
    let service = parts.next()?;
    let key = keys.get(parts.next()?.parse().ok()?)?;
    let tag = u64::from_str_radix(parts.next()?, 16).ok()?;
    let expected = u64::from_be_bytes(key.envelope_tag(&authenticated_bytes(service, id)));
    (parts.next().is_none() && tag == expected).then_some(service)
}

/// Returns the bytes that the tag covers. They start with zero, which is no envelope version, so
/// the tag of an envelope never authenticates a header value.
fn authenticated_bytes(service: &str, id: &str) -> Vec<u8> {
    let mut bytes = vec![0];
    bytes.extend_from_slice(service.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(id.as_bytes());
    bytes
}
