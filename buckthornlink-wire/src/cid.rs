//! QUIC connection ids that contain the agent that holds the flow.
//!
//! Layout: one byte key id, one AES block, three bytes tag. The block holds the agent's IPv4
//! address and port, zone, service, a hash of its boot id, a nonce and a zero byte. A random id
//! passes the checks of tag and zero byte with probability 2^-32; the service must then also match
//! the port at which the datagram arrived.

use std::net::{Ipv4Addr, SocketAddrV4};

use buckthornlink_core::{ServicePort, ZoneTag};

use crate::key::{Block, Key, KeyRing};

/// Length of every connection id that agents issue, in bytes.
pub const CID_BYTES: usize = 20;

const CID_TAG_BYTES: usize = 3;
const BLOCK_END: usize = CID_BYTES - CID_TAG_BYTES;

/// The agent process that holds a flow, and the service of the flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FlowLocation {
    /// Link address of the agent.
    pub agent: SocketAddrV4,
    /// The service that the flow was opened to.
    pub service: ServicePort,
    /// Availability zone of the agent.
    pub zone: ZoneTag,
    /// Two-byte hash of the agent's boot id.
    pub boot: u16,
}

/// Encrypts and decrypts connection ids.
#[derive(Clone, Copy, Debug)]
pub struct CidCodec;

impl CidCodec {
    /// Encrypts and authenticates a location. Only the low three bytes of `nonce` are used.
    #[must_use]
    pub fn seal(location: &FlowLocation, nonce: u32, key: &Key) -> [u8; CID_BYTES] {
        let block = key.encrypt(pack(location, nonce));
        let tag = key.cid_tag(block);
        let mut cid = [0; CID_BYTES];
        cid[0] = key.id();
        cid[1..BLOCK_END].copy_from_slice(&block);
        cid[BLOCK_END..].copy_from_slice(&tag[..CID_TAG_BYTES]);
        cid
    }

    /// Returns the location that `cid` contains, or `None` if no valid key authenticates it.
    #[must_use]
    pub fn open(cid: &[u8], keys: &KeyRing) -> Option<FlowLocation> {
        let cid: &[u8; CID_BYTES] = cid.try_into().ok()?;
        let key = keys.get(cid[0])?;
        let block = Block::try_from(&cid[1..BLOCK_END]).ok()?;
        let tag = key.cid_tag(block);
        if tag[..CID_TAG_BYTES] != cid[BLOCK_END..] {
            return None;
        }
        unpack(key.decrypt(block))
    }
}

fn pack(location: &FlowLocation, nonce: u32) -> Block {
    let mut block = [0; 16];
    block[..4].copy_from_slice(&location.agent.ip().octets());
    block[4..6].copy_from_slice(&location.agent.port().to_be_bytes());
    block[6..8].copy_from_slice(&location.zone.0.to_be_bytes());
    block[8..10].copy_from_slice(&location.service.0.to_be_bytes());
    block[10..12].copy_from_slice(&location.boot.to_be_bytes());
    block[12..15].copy_from_slice(&nonce.to_be_bytes()[1..]);
    block
}

fn unpack(block: Block) -> Option<FlowLocation> {
    let [a, b, c, d, p0, p1, z0, z1, s0, s1, b0, b1, _, _, _, zero] = block;
    let location = FlowLocation {
        agent: SocketAddrV4::new(Ipv4Addr::new(a, b, c, d), u16::from_be_bytes([p0, p1])),
        service: ServicePort(u16::from_be_bytes([s0, s1])),
        zone: ZoneTag(u16::from_be_bytes([z0, z1])),
        boot: u16::from_be_bytes([b0, b1]),
    };
    (zero == 0).then_some(location)
}
