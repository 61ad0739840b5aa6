//! Encoding of control messages as `MessagePack`.

use buckthornlink_core::message::Message;

/// Encodes a control message.
///
/// # Errors
///
/// Returns an error if the message cannot be encoded, which no well-formed message causes.
///
/// ```
/// use buckthornlink_core::{BootId, ZoneTag};
/// use buckthornlink_core::member::{Fact, Phase, Role};
/// use buckthornlink_core::message::Message;
/// use buckthornlink_wire::control;
///
/// let fact = Fact {
///     addr: "127.0.0.1:7000".parse().unwrap(),
///     role: Role::Balancer,
///     zone: ZoneTag(1),
///     boot: BootId(2),
///     seq: 3,
///     phase: Phase::Warm,
/// };
/// let bytes = control::encode(&Message::Hello(fact)).unwrap();
/// assert_eq!(control::decode(&bytes).unwrap(), Message::Hello(fact));
/// ```
pub fn encode(message: &Message) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    rmp_serde::to_vec(message)
}

/// Decodes a control message.
///
/// # Errors
///
/// Returns an error if `bytes` does not decode as a message.
pub fn decode(bytes: &[u8]) -> Result<Message, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}
