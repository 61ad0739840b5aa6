//! Packets that wait until the reducer releases them.

use std::collections::HashMap;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::Ticket;

/// Maximum number of packets that are kept at a time.
const MAX_PACKETS: usize = 1_024;
/// Time after which a packet is dropped. Reducers release or discard packets sooner; callers have given up by then.
const MAX_AGE: Millis = Millis(10_000);

/// The bytes of kept packets, by ticket.
#[derive(Debug, Default)]
pub(crate) struct KeptPackets {
    packets: HashMap<Ticket, (Millis, Vec<u8>)>,
}

impl KeptPackets {
    /// Keeps a packet, unless too many are kept.
    pub(crate) fn insert(&mut self, ticket: Ticket, bytes: &[u8], now: Millis) {
        if self.packets.len() < MAX_PACKETS {
            self.packets.insert(ticket, (now, bytes.to_vec()));
        }
    }

    /// Removes and returns a packet, unless it was not kept.
    pub(crate) fn take(&mut self, ticket: Ticket) -> Option<Vec<u8>> {
        let (_, bytes) = self.packets.remove(&ticket)?;
        Some(bytes)
    }

    /// Drops packets that have been kept too long.
    pub(crate) fn remove_expired(&mut self, now: Millis) {
        self.packets.retain(|_, (at, _)| now.since(*at) <= MAX_AGE);
    }
}

#[cfg(test)]
#[path = "../tests/unit/kept_packets.rs"]
mod tests;
