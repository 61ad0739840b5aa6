//! Envelope of the datagrams between balancers and agents.
//!
//! Layout of every envelope: version, kind, key id, the fields of the kind in network byte order,
//! an eight-byte tag, the payload. The tag covers the header, and in control messages also the
//! payload. Payloads of flows are QUIC packets, which have their own protection.

use std::net::{Ipv4Addr, SocketAddrV4};

use bytes::{Buf, BufMut, BytesMut};

use buckthornlink_core::ServicePort;
use buckthornlink_core::balancer::{Candidate, MAX_CANDIDATES};
use buckthornlink_core::member::{Load, Phase};

use crate::key::{ENVELOPE_TAG_BYTES, Key, KeyRing};

const VERSION: u8 = 1;
const KIND_OPENER: u8 = 1;
const KIND_FLOW: u8 = 2;
const KIND_ORPHAN: u8 = 3;
const KIND_RETURN: u8 = 4;
const KIND_CONTROL: u8 = 5;
const CANDIDATE_BYTES: usize = 10;
/// Longest header with its tag, in bytes: an opener with all its candidates.
pub const MAX_HEADER_BYTES: usize =
    3 + 2 + 6 + 6 + 2 + MAX_CANDIDATES * CANDIDATE_BYTES + ENVELOPE_TAG_BYTES;

/// Header of an envelope.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Header {
    /// To an agent: a datagram that opens a flow.
    Opener {
        /// Service that the caller addressed.
        service: ServicePort,
        /// The caller.
        caller: SocketAddrV4,
        /// Balancer through which the agent responds.
        via: SocketAddrV4,
        /// Number of agents that have handed the opener off.
        hops: u8,
        /// Remaining candidate agents, which may accept it instead.
        rest: Vec<Candidate>,
    },
    /// To an agent: a datagram of a flow that it holds.
    Flow {
        /// Service that the caller addressed.
        service: ServicePort,
        /// The caller.
        caller: SocketAddrV4,
        /// Balancer through which the agent responds.
        via: SocketAddrV4,
    },
    /// To an agent: a datagram of a flow whose own agent is in a zone out of service; the receiver
    /// resets the flow.
    Orphan {
        /// Service that the caller addressed.
        service: ServicePort,
        /// The caller.
        caller: SocketAddrV4,
        /// Balancer through which the agent responds.
        via: SocketAddrV4,
    },
    /// To a balancer: a datagram for a caller.
    Return(ReturnHeader),
    /// A control message.
    Control,
}

/// Header of a datagram on its way back to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReturnHeader {
    /// Service that the caller addressed.
    pub service: ServicePort,
    /// The caller.
    pub caller: SocketAddrV4,
    /// The agent's phase.
    pub phase: Phase,
    /// The agent's load.
    pub load: Load,
}

/// Error while decoding an envelope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The envelope is shorter than its fields.
    #[error("envelope is truncated")]
    Truncated,
    /// The version, the kind or the value of a field is unknown.
    #[error("envelope has an unknown version, kind or field value")]
    Unknown,
    /// The key id is unknown, or the tag does not match the key.
    #[error("envelope key id is unknown or its tag does not match")]
    Forged,
}

impl Header {
    /// Writes the envelope with its payload to `out`, replacing the previous content.
    pub fn encode(&self, key: &Key, payload: &[u8], out: &mut BytesMut) {
        out.clear();
        out.reserve(MAX_HEADER_BYTES + payload.len());
        out.put_u8(VERSION);
        out.put_u8(self.kind());
        out.put_u8(key.id());
        self.put_fields(out);
        let header_len = out.len();
        if matches!(self, Self::Control) {
            out.put_slice(payload);
        }
        let tag = key.envelope_tag(out);
        out.truncate(header_len);
        out.put_slice(&tag);
        out.put_slice(payload);
    }

    /// Decodes an envelope; returns its header and the offset of the payload.
    ///
    /// # Errors
    ///
    /// Returns an error if the envelope is truncated, not authentic, or has an unknown version, kind
    /// or field value.
    pub fn decode(bytes: &[u8], keys: &KeyRing) -> Result<(Self, usize), DecodeError> {
        let mut buf = bytes;
        if get_u8(&mut buf)? != VERSION {
            return Err(DecodeError::Unknown);
        }
        let kind = get_u8(&mut buf)?;
        let key = keys.get(get_u8(&mut buf)?).ok_or(DecodeError::Forged)?;
        let header = Self::get_fields(kind, &mut buf)?;
        let header_len = bytes.len() - buf.len();
        let tag = buf
            .get(..ENVELOPE_TAG_BYTES)
            .ok_or(DecodeError::Truncated)?;
        let payload = &buf[ENVELOPE_TAG_BYTES..];
        let expected = if matches!(header, Self::Control) {
            key.envelope_tag(&[&bytes[..header_len], payload].concat())
        } else {
            key.envelope_tag(&bytes[..header_len])
        };
        if !is_equal(tag, &expected) {
            return Err(DecodeError::Forged);
        }
        Ok((header, header_len + ENVELOPE_TAG_BYTES))
    }

    const fn kind(&self) -> u8 {
        match self {
            Self::Opener { .. } => KIND_OPENER,
            Self::Flow { .. } => KIND_FLOW,
            Self::Orphan { .. } => KIND_ORPHAN,
            Self::Return(_) => KIND_RETURN,
            Self::Control => KIND_CONTROL,
        }
    }

    fn put_fields(&self, out: &mut BytesMut) {
        match self {
            Self::Opener {
                service,
                caller,
                via,
                hops,
                rest,
            } => {
                put_endpoints(out, *service, *caller, *via);
                out.put_u8(*hops);
                put_candidates(out, rest);
            }
            Self::Flow {
                service,
                caller,
                via,
            }
            | Self::Orphan {
                service,
                caller,
                via,
            } => put_endpoints(out, *service, *caller, *via),
            Self::Return(header) => put_return(out, header),
            Self::Control => {}
        }
    }

    fn get_fields(kind: u8, buf: &mut &[u8]) -> Result<Self, DecodeError> {
        match kind {
            KIND_OPENER => {
                let (service, caller, via) = get_endpoints(buf)?;
                Ok(Self::Opener {
                    service,
                    caller,
                    via,
                    hops: get_u8(buf)?,
                    rest: get_candidates(buf)?,
                })
            }
            KIND_FLOW => {
                let (service, caller, via) = get_endpoints(buf)?;
                Ok(Self::Flow {
                    service,
                    caller,
                    via,
                })
            }
            KIND_ORPHAN => {
                let (service, caller, via) = get_endpoints(buf)?;
                Ok(Self::Orphan {
                    service,
                    caller,
                    via,
                })
            }
            KIND_RETURN => get_return(buf).map(Self::Return),
            KIND_CONTROL => Ok(Self::Control),
            _ => Err(DecodeError::Unknown),
        }
    }
}

fn put_addr(out: &mut BytesMut, addr: SocketAddrV4) {
    out.put_slice(&addr.ip().octets());
    out.put_u16(addr.port());
}

fn put_endpoints(
    out: &mut BytesMut,
    service: ServicePort,
    caller: SocketAddrV4,
    via: SocketAddrV4,
) {
    out.put_u16(service.0);
    put_addr(out, caller);
    put_addr(out, via);
}

fn put_candidates(out: &mut BytesMut, rest: &[Candidate]) {
    let rest = &rest[..rest.len().min(MAX_CANDIDATES)];
    out.put_u8(u8::try_from(rest.len()).unwrap_or(0));
    for candidate in rest {
        put_addr(out, candidate.addr);
        out.put_u32(candidate.flows);
    }
}

fn put_return(out: &mut BytesMut, header: &ReturnHeader) {
    out.put_u16(header.service.0);
    put_addr(out, header.caller);
    out.put_u8(header.phase as u8);
    out.put_u32(header.load.flows);
    out.put_u8(header.load.weight);
    out.put_u8(header.load.pressure);
}

fn get_u8(buf: &mut &[u8]) -> Result<u8, DecodeError> {
    buf.try_get_u8().map_err(|_| DecodeError::Truncated)
}

fn get_u16(buf: &mut &[u8]) -> Result<u16, DecodeError> {
    buf.try_get_u16().map_err(|_| DecodeError::Truncated)
}

fn get_u32(buf: &mut &[u8]) -> Result<u32, DecodeError> {
    buf.try_get_u32().map_err(|_| DecodeError::Truncated)
}

fn get_addr(buf: &mut &[u8]) -> Result<SocketAddrV4, DecodeError> {
    let ip = Ipv4Addr::from_bits(get_u32(buf)?);
    Ok(SocketAddrV4::new(ip, get_u16(buf)?))
}

fn get_endpoints(
    buf: &mut &[u8],
) -> Result<(ServicePort, SocketAddrV4, SocketAddrV4), DecodeError> {
    let service = ServicePort(get_u16(buf)?);
    Ok((service, get_addr(buf)?, get_addr(buf)?))
}

fn get_candidates(buf: &mut &[u8]) -> Result<Vec<Candidate>, DecodeError> {
    let count = usize::from(get_u8(buf)?);
    if count > MAX_CANDIDATES {
        return Err(DecodeError::Unknown);
    }
    let mut rest = Vec::with_capacity(count);
    for _ in 0..count {
        rest.push(Candidate {
            addr: get_addr(buf)?,
            flows: get_u32(buf)?,
        });
    }
    Ok(rest)
}

fn get_return(buf: &mut &[u8]) -> Result<ReturnHeader, DecodeError> {
    Ok(ReturnHeader {
        service: ServicePort(get_u16(buf)?),
        caller: get_addr(buf)?,
        phase: get_phase(get_u8(buf)?)?,
        load: Load {
            flows: get_u32(buf)?,
            weight: get_u8(buf)?,
            pressure: get_u8(buf)?,
        },
    })
}

fn get_phase(byte: u8) -> Result<Phase, DecodeError> {
    let phases = [
        Phase::Cold,
        Phase::Warm,
        Phase::Draining,
        Phase::Silent,
        Phase::Left,
    ];
    let found = phases.into_iter().find(|p| *p as u8 == byte);
    found.ok_or(DecodeError::Unknown)
}

/// Compares tags in constant time.
fn is_equal(a: &[u8], b: &[u8]) -> bool {
    let differing = a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y));
    a.len() == b.len() && differing == 0
}
