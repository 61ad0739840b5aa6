//! Mark on calls that a backend server makes to a dependency through its agent.
//!
//! Such calls belong to work that was admitted before, so they outrank new work. The mark is
//! authenticated, since callers could otherwise claim that rank.

use crate::key::KeyRing;

/// The mark that `service` puts on the request `id`.
///
/// ```
/// use buckthornlink_wire::{KeyRing, dependant};
///
/// let keys = KeyRing::single(1, &[7; 32]);
/// let mark = dependant::sign("token", "r-1", &keys);
/// assert_eq!(dependant::verify(&mark, "r-1", &keys), Some("token"));
/// assert_eq!(dependant::verify(&mark, "r-2", &keys), None);
/// ```
#[must_use]
pub fn sign(service: &str, id: &str, keys: &KeyRing) -> String {
    let key = keys.current();
    let tag = u64::from_be_bytes(key.envelope_tag(&authenticated_bytes(service, id)));
    format!("{service};{};{tag:016x}", key.id())
}

/// The service that made the mark, or `None` if no valid key did.
#[must_use]
pub fn verify<'a>(mark: &'a str, id: &str, keys: &KeyRing) -> Option<&'a str> {
    let mut parts = mark.split(';');
    let service = parts.next()?;
    let key = keys.get(parts.next()?.parse().ok()?)?;
    let tag = u64::from_str_radix(parts.next()?, 16).ok()?;
    let expected = u64::from_be_bytes(key.envelope_tag(&authenticated_bytes(service, id)));
    (parts.next().is_none() && tag == expected).then_some(service)
}

/// Bytes under the tag; the first one keeps them apart from every envelope.
fn authenticated_bytes(service: &str, id: &str) -> Vec<u8> {
    let mut bytes = vec![0];
    bytes.extend_from_slice(service.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(id.as_bytes());
    bytes
}
