//! Admission by urgency: which opening packet or request a backend server gets next.
//!
//! An agent passes to its backend server what that has room for, and holds the rest here. `room` says how many
//! requests the backend server has, `entry` in which order those that wait are released.

mod entry;
mod room;

use super::{Flow, FlowMap, Packet, Route, Ticket};
use crate::time::Millis;
pub(super) use entry::Entry;
use room::Room;

/// Maximum number of packets that are kept at a time.
const MAX_PACKETS: usize = 1_024;
/// Maximum number of further packets of a flow that are kept behind its request.
const MAX_FOLLOWERS: usize = 8;
/// Each release with this number goes to the entry that has waited longest, so that none is starved.
const OLDEST_TURN: u64 = 8;

/// The opening packets and requests that wait for room at a backend server, and its requests.
///
/// It is in force only for a service to which routes of different priority lead.
///
/// ```
/// # use buckthornlink_core::Millis;
/// # use buckthornlink_core::datagram::{Admission, Flags, Flow, Packet, RelayTag, Route, Ticket};
/// # let caller = "100.64.0.7:40001".parse().unwrap();
/// # let flow = Flow { caller, route: "198.18.0.1:443".parse().unwrap() };
/// # let flags = Flags { syn: true, ..Flags::default() };
/// # let packet = Packet { flow, flags, seq: 1, ack: 0, len: 0, tag: RelayTag::direct() };
/// let mut admission = Admission::default();
/// assert!(admission.has_room(2, Millis(0)));
/// let ticket = admission.hold_opening(&packet, &Route::default(), Millis(0));
/// assert_eq!(ticket, Some(Ticket(1)));
/// assert_eq!(admission.len(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Admission {
    is_in_force: bool,
    entries: FlowMap<Entry>,
    packet_count: usize,
    last_ticket: Ticket,
    release_count: u64,
    /// No entry expires before this time.
    next_expiry: Millis,
    room: Room,
}

impl Admission {
    /// Whether routes of different priority lead to the backend server's service.
    #[must_use]
    pub const fn is_in_force(&self) -> bool {
        self.is_in_force
    }

    /// Sets whether routes of different priority lead to the backend server's service.
    pub const fn set_in_force(&mut self, is_in_force: bool) {
        self.is_in_force = is_in_force;
    }

    /// Number of opening packets and requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether an opening packet of the flow waits.
    #[must_use]
    pub fn holds_opening(&self, flow: &Flow) -> bool {
        self.entries.get(flow).is_some_and(|e| e.is_opening)
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether a packet of the flow waits.
    #[must_use]
    pub fn holds(&self, flow: &Flow) -> bool {
        self.entries.contains_key(flow)
    }

    /// Whether a backend server with this many slots can be given one more request.
    pub fn has_room(&mut self, slots: u16, now: Millis) -> bool {
        self.room.is_left(slots, now)
    }

    /// Whether room is reserved for a request of the flow, or it has one at the backend server.
    #[must_use]
    pub fn has_reserved(&self, flow: &Flow, now: Millis) -> bool {
        self.room.holds(flow, now)
    }

    /// Reserves room for the first request of a flow whose opening packet the backend server is given.
    pub fn reserve(&mut self, flow: &Flow, now: Millis) {
        self.room.reserve(flow, now);
    }

    /// Records that the backend server is given a request of the flow.
    pub fn record_request(&mut self, flow: &Flow, route: &Route, now: Millis) {
        self.room.take(flow, route, now);
    }

    /// Records that the flow has no request at the backend server any more, which it answered in this time, if it
    /// did.
    pub fn record_answer(&mut self, flow: &Flow, response: Option<Millis>) {
        self.room.release(flow, response);
    }

    /// Forgets the requests of a backend server that has ended.
    pub fn forget_requests(&mut self) {
        self.room.clear();
    }

    /// Whether an opening packet that has no room now would be served before its timeout, by the rate at which the
    /// backend server answers and what would be released before it.
    #[must_use]
    pub fn can_serve(&self, packet: &Packet, route: &Route, slots: u16, now: Millis) -> bool {
        let entry = Entry::opening(Ticket(u64::MAX), packet, route, now);
        let response = self.room.response_time();
        let rank = entry.rank(response, now);
        let ahead = self.entries.values();
        let ahead = ahead.filter(|e| e.rank(response, now) < rank).count();
        now + self.room.waiting_time(ahead, slots) <= entry.timeout_at
    }

    /// Holds an opening packet; returns its ticket unless too many packets are kept.
    pub fn hold_opening(&mut self, packet: &Packet, route: &Route, now: Millis) -> Option<Ticket> {
        let ticket = self.next_ticket()?;
        self.insert(Entry::opening(ticket, packet, route, now));
        Some(ticket)
    }

    /// Holds a retransmission of an opening packet in place of the earlier copy; returns the tickets of that and of
    /// the retransmission.
    pub fn replace_opening(
        &mut self,
        packet: &Packet,
        route: &Route,
        now: Millis,
    ) -> Option<(Ticket, Ticket)> {
        let old = self.remove(&packet.flow)?;
        let ticket = self.next_ticket()?;
        let mut entry = Entry::opening(ticket, packet, route, now);
        entry.since = old.since;
        self.insert(entry);
        Some((old.ticket, ticket))
    }

    /// Holds a request on an open flow; returns its ticket unless too many packets are kept.
    pub fn hold_request(&mut self, packet: &Packet, route: &Route, now: Millis) -> Option<Ticket> {
        let ticket = self.next_ticket()?;
        self.insert(Entry::request(ticket, packet, route, now));
        Some(ticket)
    }

    /// Keeps a further packet behind its flow's request; returns its ticket, unless it is a copy of a kept one or
    /// too many are kept.
    pub fn hold_follower(&mut self, packet: &Packet) -> Option<Ticket> {
        let entry = self.entries.get(&packet.flow)?;
        if entry.has_copy_of(packet) || entry.followers.len() >= MAX_FOLLOWERS {
            return None;
        }
        let ticket = self.next_ticket()?;
        let entry = self.entries.get_mut(&packet.flow)?;
        entry.followers.push((ticket, *packet));
        self.packet_count += 1;
        Some(ticket)
    }

    /// Removes what waits of a flow.
    pub(super) fn remove(&mut self, flow: &Flow) -> Option<Entry> {
        let entry = self.entries.remove(flow)?;
        self.packet_count -= entry.packet_count();
        Some(entry)
    }

    /// Removes the entry to release next, if there is room; opening packets only if those are allowed.
    pub(super) fn take_next(
        &mut self,
        slots: u16,
        allows_openings: bool,
        now: Millis,
    ) -> Option<Entry> {
        if self.entries.is_empty() || !self.room.is_left(slots, now) {
            return None;
        }
        let entries = self.entries.values();
        let allowed = entries.filter(|e| allows_openings || !e.is_opening);
        let response = self.room.response_time();
        let is_oldest_turn = (self.release_count + 1).is_multiple_of(OLDEST_TURN);
        let next = if is_oldest_turn {
            allowed.min_by_key(|e| (e.since, e.ticket))
        } else {
            allowed.min_by_key(|e| e.rank(response, now))
        };
        let flow = next?.packet.flow;
        self.release_count += 1;
        self.remove(&flow)
    }

    /// Removes the entries that may wait no longer, in order of arrival.
    pub(super) fn take_expired(&mut self, now: Millis) -> Vec<Entry> {
        if now < self.next_expiry {
            return Vec::new();
        }
        let expired = self.take_where(|e| e.expires_at <= now);
        let expiries = self.entries.values().map(|e| e.expires_at);
        self.next_expiry = expiries.min().unwrap_or(now);
        expired
    }

    /// Removes all opening packets, in order of arrival.
    pub(super) fn take_openings(&mut self) -> Vec<Entry> {
        self.take_where(|e| e.is_opening)
    }

    /// Removes all entries, in order of arrival.
    pub(super) fn take_all(&mut self) -> Vec<Entry> {
        self.take_where(|_| true)
    }

    fn take_where(&mut self, is_taken: impl Fn(&Entry) -> bool) -> Vec<Entry> {
        let entries = self.entries.extract_if(|_, e| is_taken(e));
        let mut taken: Vec<Entry> = entries.map(|(_, e)| e).collect();
        taken.sort_unstable_by_key(|e| e.ticket);
        self.packet_count -= taken.iter().map(Entry::packet_count).sum::<usize>();
        taken
    }

    fn insert(&mut self, entry: Entry) {
        self.next_expiry = if self.entries.is_empty() {
            entry.expires_at
        } else {
            self.next_expiry.min(entry.expires_at)
        };
        self.remove(&entry.packet.flow);
        self.packet_count += entry.packet_count();
        self.entries.insert(entry.packet.flow, entry);
    }

    fn next_ticket(&mut self) -> Option<Ticket> {
        if self.packet_count >= MAX_PACKETS {
            return None;
        }
        self.last_ticket = Ticket(self.last_ticket.0 + 1);
        Some(self.last_ticket)
    }
}
