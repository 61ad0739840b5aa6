//! An opening packet or a request that waits for room at a backend server.

use crate::datagram::{Packet, Route, Ticket};
use crate::time::Millis;

/// Times after the first copy of an opening packet at which callers send the next ones, and at which they give up.
const RETRANSMISSION_TIMES: [Millis; 4] = [Millis(0), Millis(200), Millis(600), Millis(1_400)];
/// Time before the caller's next retransmission by which an opening packet is returned. A flow that is admitted
/// later than that would be offered to a second backend server before the answer reaches the caller.
const RETURN_MARGIN: Millis = Millis(20);
/// A request counts as late if less than this many mean response times are left until its target. Many answers take
/// longer than the mean, and a request that misses its target would delay others that can still meet theirs.
const RESPONSE_ALLOWANCE: u64 = 2;
/// Target of requests on routes that configure none.
const DEFAULT_TARGET: Millis = Millis(200);
/// Timeout of requests on routes that configure none.
const DEFAULT_TIMEOUT: Millis = Millis(2_000);

/// An opening packet, or a request with the packets after it.
#[derive(Clone, Debug)]
pub(in crate::datagram) struct Entry {
    pub ticket: Ticket,
    pub packet: Packet,
    pub is_opening: bool,
    /// When it arrived; of several copies, the first one.
    pub since: Millis,
    /// Until when it may wait.
    pub expires_at: Millis,
    /// When its caller gives up.
    pub timeout_at: Millis,
    /// Further packets of a flow whose request waits, in order.
    pub followers: Vec<(Ticket, Packet)>,
    priority: u8,
    /// When it is to be answered.
    target_at: Millis,
}

/// What is released first: what can still meet its target, then the higher priority, then what has less time left.
pub(super) type Rank = (bool, u8, Millis, Ticket);

impl Entry {
    /// An opening packet that arrives now. Its `ack` tells how often it was sent before.
    pub(super) fn opening(ticket: Ticket, packet: &Packet, route: &Route, now: Millis) -> Self {
        let last = RETRANSMISSION_TIMES.len() - 2;
        let copies = usize::try_from(packet.ack).unwrap_or(last).min(last);
        let elapsed = RETRANSMISSION_TIMES[copies];
        let until_next = RETRANSMISSION_TIMES[copies + 1] - elapsed - RETURN_MARGIN;
        Self {
            is_opening: true,
            expires_at: now + until_next,
            timeout_at: now + (timeout(route) - elapsed),
            target_at: (now + target(route)) - elapsed,
            ..Self::request(ticket, packet, route, now)
        }
    }

    /// A request on an open flow that arrives now. It may wait until its caller gives up.
    pub(super) fn request(ticket: Ticket, packet: &Packet, route: &Route, now: Millis) -> Self {
        Self {
            ticket,
            packet: *packet,
            is_opening: false,
            since: now,
            expires_at: now + timeout(route),
            timeout_at: now + timeout(route),
            followers: Vec::new(),
            priority: route.priority,
            target_at: now + target(route),
        }
    }

    /// Its place in the order of release, if the backend server takes `response` for a request.
    pub(super) fn rank(&self, response: Millis, now: Millis) -> Rank {
        let is_late = now + Millis(response.0 * RESPONSE_ALLOWANCE) > self.target_at;
        let due_at = if is_late {
            self.timeout_at
        } else {
            self.target_at
        };
        (is_late, self.priority, due_at, self.ticket)
    }

    /// Whether a packet is a copy of one that is kept.
    pub(super) fn has_copy_of(&self, packet: &Packet) -> bool {
        let is_copy =
            |p: &Packet| (p.seq, p.len, p.flags.fin) == (packet.seq, packet.len, packet.flags.fin);
        is_copy(&self.packet) || self.followers.iter().any(|(_, p)| is_copy(p))
    }

    /// Number of kept packets.
    pub(super) fn packet_count(&self) -> usize {
        1 + self.followers.len()
    }

    /// Tickets of its packets, in order.
    pub(in crate::datagram) fn tickets(&self) -> impl Iterator<Item = Ticket> {
        let followers = self.followers.iter().map(|(ticket, _)| *ticket);
        std::iter::once(self.ticket).chain(followers)
    }
}

/// Time in which a request of the route is to be answered.
const fn target(route: &Route) -> Millis {
    if route.target.0 == 0 {
        DEFAULT_TARGET
    } else {
        route.target
    }
}

/// Time after which a caller gives up a request of the route.
pub(super) const fn timeout(route: &Route) -> Millis {
    if route.timeout.0 == 0 {
        DEFAULT_TIMEOUT
    } else {
        route.timeout
    }
}
