//! Reading of the one QUIC header field that a balancer needs.

use std::io::Cursor;

use bytes::BytesMut;
use quinn_proto::{
    ConnectionId, FixedLengthConnectionIdParser, PacketDecodeError, ProtectedHeader,
};

use crate::CID_BYTES;

/// Bytes of a short header up to the end of the connection id.
const SHORT_HEADER_BYTES: usize = 1 + CID_BYTES;
/// Bit of the first byte that long headers set.
const LONG_HEADER_BIT: u8 = 0x80;

/// Finds the destination connection id of datagrams. Keeps a buffer, so that datagrams of
/// established flows cause no allocation.
#[derive(Debug, Default)]
pub struct QuicHeaderParser {
    scratch: BytesMut,
}

impl QuicHeaderParser {
    /// The destination connection id of the first packet in `datagram`, or `None` if it is not
    /// QUIC.
    ///
    /// ```
    /// use buckthornlink_wire::QuicHeaderParser;
    ///
    /// let mut reader = QuicHeaderParser::default();
    /// assert!(reader.destination_id(&[]).is_none());
    /// assert!(reader.destination_id(&[0x40; 30]).is_some());
    /// ```
    pub fn destination_id(&mut self, datagram: &[u8]) -> Option<ConnectionId> {
        let is_long = datagram.first()? & LONG_HEADER_BIT != 0;
        let len = if is_long {
            datagram.len()
        } else {
            datagram.len().min(SHORT_HEADER_BYTES)
        };
        self.scratch.clear();
        self.scratch.extend_from_slice(&datagram[..len]);
        let parser = FixedLengthConnectionIdParser::new(CID_BYTES);
        let mut cursor = Cursor::new(std::mem::take(&mut self.scratch));
        let versions = quinn_proto::DEFAULT_SUPPORTED_VERSIONS;
        let header = ProtectedHeader::decode(&mut cursor, &parser, versions, true);
        self.scratch = cursor.into_inner();
        match header {
            Ok(header) => Some(*header.dst_cid()),
            Err(PacketDecodeError::UnsupportedVersion { dst_cid, .. }) => Some(dst_cid),
            Err(PacketDecodeError::InvalidHeader(_)) => None,
        }
    }
}
