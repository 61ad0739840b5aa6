//! Reading of the one QUIC header field that a balancer needs.

use std::io::Cursor;

use bytes::BytesMut;
use quinn_proto::{FixedLengthConnectionIdParser, PacketDecodeError, ProtectedHeader};

use crate::CID_BYTES;

/// The destination connection id of the first packet in `datagram`, or `None` if it is not QUIC.
///
/// The datagram is given back unchanged.
pub fn destination_id(datagram: &mut BytesMut) -> Option<quinn_proto::ConnectionId> {
    let parser = FixedLengthConnectionIdParser::new(CID_BYTES);
    let mut cursor = Cursor::new(std::mem::take(datagram));
    let versions = quinn_proto::DEFAULT_SUPPORTED_VERSIONS;
    let header = ProtectedHeader::decode(&mut cursor, &parser, versions, true);
    *datagram = cursor.into_inner();
    match header {
        Ok(header) => Some(*header.dst_cid()),
        Err(PacketDecodeError::UnsupportedVersion { dst_cid, .. }) => Some(dst_cid),
        Err(PacketDecodeError::InvalidHeader(_)) => None,
    }
}
