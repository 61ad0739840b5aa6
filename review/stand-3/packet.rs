//! Packets as the two ends of a flow write them.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 1;
pub const RST: u8 = 2;
pub const ACK: u8 = 4;
pub const BOUNCED: u8 = 8;
pub const HEADER_BYTES: usize = 32;
/// The key of the sum, which only the ends know.
const SUM_KEY: u32 = 0x5bd1_e995;

/// One packet.
#[derive(Clone, Debug)]
pub struct Packet {
    pub flags: u8,
    pub pad: u8,
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub seq: u32,
    pub ack: u32,
    pub sum: u32,
    pub echo: u32,
    pub data: Vec<u8>,
}

impl Packet {
    /// A packet with its sum.
    pub fn new(
        flags: u8,
        src: SocketAddrV4,
        dst: SocketAddrV4,
        seq: u32,
        ack: u32,
        data: &[u8],
    ) -> Self {
        let mut packet = Self {
            flags,
            pad: 0,
            src,
            dst,
            seq,
            ack,
            sum: 0,
            echo: 0,
            data: data.to_vec(),
        };
        packet.sum = packet.expected_sum();
        packet
    }

    pub fn parse(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < HEADER_BYTES {
            return None;
        }
        let u16_at = |at: usize| u16::from_le_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| {
            u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        let data = bytes[HEADER_BYTES..].to_vec();
        let packet = Self {
            flags: bytes[0],
            pad: bytes[1],
            src: SocketAddrV4::new(Ipv4Addr::from(u32_at(2)), u16_at(12)),
            dst: SocketAddrV4::new(Ipv4Addr::from(u32_at(6)), u16_at(10)),
            seq: u32_at(14),
            ack: u32_at(18),
            sum: u32_at(24),
            echo: u32_at(28),
            data,
        };
        (usize::from(u16_at(22)) == packet.data.len()).then_some(packet)
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![self.flags, self.pad];
        bytes.extend(u32::from(*self.src.ip()).to_le_bytes());
        bytes.extend(u32::from(*self.dst.ip()).to_le_bytes());
        bytes.extend(self.dst.port().to_le_bytes());
        bytes.extend(self.src.port().to_le_bytes());
        bytes.extend(self.seq.to_le_bytes());
        bytes.extend(self.ack.to_le_bytes());
        bytes.extend((self.data.len() as u16).to_le_bytes());
        bytes.extend(self.sum.to_le_bytes());
        bytes.extend(self.echo.to_le_bytes());
        bytes.extend(&self.data);
        bytes
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Whether it is as its sender wrote it.
    pub fn is_genuine(&self) -> bool {
        self.sum == self.expected_sum()
    }

    /// A reset of the system's own.
    pub fn is_system_reset(&self) -> bool {
        self.has(RST) && self.sum == 0 && self.data.is_empty()
    }

    /// A keyed sum over all fields but `echo`, `pad` and the flag of bounced packets; never zero.
    fn expected_sum(&self) -> u32 {
        let mut sum = SUM_KEY;
        let mut add = |value: u32| {
            sum = (sum ^ value).wrapping_mul(0x0100_0193).rotate_left(5);
        };
        add(u32::from(self.flags & !BOUNCED));
        add(u32::from(*self.src.ip()));
        add(u32::from(*self.dst.ip()));
        add(u32::from(self.src.port()) << 16 | u32::from(self.dst.port()));
        add(self.seq);
        add(self.ack);
        add(self.data.len() as u32);
        self.data.iter().for_each(|byte| add(u32::from(*byte)));
        sum.max(1)
    }
}
