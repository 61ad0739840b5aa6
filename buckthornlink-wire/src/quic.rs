//! Parsing of the destination connection id, the only QUIC header field that balancers need.

use std::io::Cursor;

use bytes::BytesMut;
use quinn_proto::{
    ConnectionId, FixedLengthConnectionIdParser, PacketDecodeError, ProtectedHeader,
};

use crate::CID_BYTES;

/// Length of a short header up to the end of the connection id, in bytes.
const SHORT_HEADER_BYTES: usize = 1 + CID_BYTES;
/// Bit of the first byte that is set in long headers.
const LONG_HEADER_BIT: u8 = 0x80;

/// Parser of the destination connection id of datagrams. Reuses one buffer, so that datagrams of
/// established flows cause no allocation.
#[derive(Debug, Default)]
pub struct QuicHeaderParser {
    buffer: BytesMut,
}

impl QuicHeaderParser {
    /// Returns the destination connection id of the first packet in `datagram`, or `None` if it is
    /// not QUIC.
    ///
    /// ```
    /// use buckthornlink_wire::QuicHeaderParser;
    ///
    /// let mut parser = QuicHeaderParser::default();
    /// assert!(parser.destination_id(&[]).is_none());
    /// assert!(parser.destination_id(&[0x40; 30]).is_some());
    /// ```
    pub fn destination_id(&mut self, datagram: &[u8]) -> Option<ConnectionId> {
        let is_long = datagram.first()? & LONG_HEADER_BIT != 0;
        let len = if is_long {
            datagram.len()
        } else {
            datagram.len().min(SHORT_HEADER_BYTES)
        };
        self.buffer.clear();
        self.buffer.extend_from_slice(&datagram[..len]);
        let parser = FixedLengthConnectionIdParser::new(CID_BYTES);
        let mut cursor = Cursor::new(std::mem::take(&mut self.buffer));
        let versions = quinn_proto::DEFAULT_SUPPORTED_VERSIONS;
        let header = ProtectedHeader::decode(&mut cursor, &parser, versions, true);
        self.buffer = cursor.into_inner();
        match header {
            Ok(header) => Some(*header.dst_cid()),
            Err(PacketDecodeError::UnsupportedVersion { dst_cid, .. }) => Some(dst_cid),
            Err(PacketDecodeError::InvalidHeader(_)) => None,
        }
    }
}
