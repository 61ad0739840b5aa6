//! The packets that consumers and backends exchange.

use std::net::Ipv4Addr;

pub const SYN: u8 = 1;
pub const RST: u8 = 2;
pub const ACK: u8 = 4;
pub const BOUNCED: u8 = 8;
pub const FIN: u8 = 32;

/// Bytes of the header.
pub const HEAD: usize = 32;
/// Key of the sum, which the system does not know.
const KEY: u64 = 0x51ab_77e0_9c3d_1f05;

/// A packet: header and data.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Packet {
    pub flags: u8,
    pub pad: u8,
    pub src: u32,
    pub dst: u32,
    pub dport: u16,
    pub sport: u16,
    pub seq: u32,
    pub ack: u32,
    pub sum: u32,
    pub echo: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn parse(bytes: &[u8]) -> Option<Packet> {
        let head = bytes.get(..HEAD)?;
        let u16_at = |i: usize| u16::from_le_bytes([head[i], head[i + 1]]);
        let u32_at =
            |i: usize| u32::from_le_bytes([head[i], head[i + 1], head[i + 2], head[i + 3]]);
        let data = bytes[HEAD..].to_vec();
        (usize::from(u16_at(22)) == data.len()).then(|| Packet {
            flags: head[0],
            pad: head[1],
            src: u32_at(2),
            dst: u32_at(6),
            dport: u16_at(10),
            sport: u16_at(12),
            seq: u32_at(14),
            ack: u32_at(18),
            sum: u32_at(24),
            echo: u32_at(28),
            data,
        })
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut out = vec![self.flags, self.pad];
        out.extend(self.src.to_le_bytes());
        out.extend(self.dst.to_le_bytes());
        out.extend(self.dport.to_le_bytes());
        out.extend(self.sport.to_le_bytes());
        out.extend(self.seq.to_le_bytes());
        out.extend(self.ack.to_le_bytes());
        out.extend((self.data.len() as u16).to_le_bytes());
        out.extend(self.sum.to_le_bytes());
        out.extend(self.echo.to_le_bytes());
        out.extend(&self.data);
        out
    }

    /// The packet with its sum set.
    pub fn signed(mut self) -> Packet {
        self.sum = self.expected_sum();
        self
    }

    /// Whether the packet is as its sender wrote it.
    pub fn is_intact(&self) -> bool {
        self.sum == self.expected_sum()
    }

    /// The keyed sum over all fields but `echo`, `pad` and BOUNCED.
    fn expected_sum(&self) -> u32 {
        let plain = Packet {
            flags: self.flags & !BOUNCED,
            pad: 0,
            echo: 0,
            sum: 0,
            ..self.clone()
        };
        let mut hash = KEY;
        for byte in plain.bytes() {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        (hash >> 32) as u32 | 1
    }
}

/// A flow: the consumer's end, then the route's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Flow {
    pub consumer: (u32, u16),
    pub route: (u32, u16),
}

impl std::fmt::Display for Flow {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}", Ipv4Addr::from(self.consumer.0), self.consumer.1)
    }
}
