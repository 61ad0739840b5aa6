//! How many requests a backend server has, and how fast it answers them.

use super::entry::timeout;
use crate::datagram::{Flow, FlowMap, Route};
use crate::time::Millis;

/// Requests beyond its slots that a backend server is given, so that a slot is not idle between an answer and the
/// next request.
const MARGIN: usize = 1;
/// Time in which the request of an admitted flow arrives. It needs a round trip to the caller, of about 10 ms.
const RESERVATION_TIME: Millis = Millis(30);
/// Maximum number of flows whose requests are counted.
const MAX_FLOWS: usize = 4_096;
/// Weight of earlier response times in the moving average, relative to one for the latest.
const AVERAGE_WEIGHT: u64 = 7;
/// Fractions of a millisecond in which the moving average is kept.
const FRACTIONS: u64 = 16;

/// The requests that a backend server was given, or that are about to arrive.
#[derive(Clone, Debug, Default)]
pub(super) struct Room {
    /// Flows that take room, and until when at most. A backend server that hangs may leave a request unanswered,
    /// which its caller gives up.
    taken: FlowMap<Millis>,
    /// Moving average of the response times, in fractions; zero if there was no answer yet.
    mean_response: u64,
}

impl Room {
    /// Whether a backend server with this many slots can be given one more request. Zero slots mean that their
    /// number is not known.
    pub(super) fn is_left(&mut self, slots: u16, now: Millis) -> bool {
        let slots = usize::from(slots);
        if slots == 0 || self.taken.len() < slots + MARGIN {
            return true;
        }
        self.taken.retain(|_, until| now < *until);
        self.taken.len() < slots + MARGIN
    }

    pub(super) fn holds(&self, flow: &Flow, now: Millis) -> bool {
        self.taken.get(flow).is_some_and(|&until| now < until)
    }

    pub(super) fn reserve(&mut self, flow: &Flow, now: Millis) {
        self.insert(flow, now + RESERVATION_TIME);
    }

    pub(super) fn take(&mut self, flow: &Flow, route: &Route, now: Millis) {
        self.insert(flow, now + timeout(route));
    }

    pub(super) fn release(&mut self, flow: &Flow, response: Option<Millis>) {
        self.taken.remove(flow);
        let Some(Millis(response)) = response else {
            return;
        };
        let latest = response * FRACTIONS;
        self.mean_response = if self.mean_response == 0 {
            latest
        } else {
            (self.mean_response * AVERAGE_WEIGHT + latest) / (AVERAGE_WEIGHT + 1)
        };
    }

    pub(super) fn clear(&mut self) {
        self.taken.clear();
    }

    /// Mean time from a request to its answer.
    pub(super) const fn response_time(&self) -> Millis {
        Millis(self.mean_response / FRACTIONS)
    }

    /// Time until the backend server answers a request that is released after `ahead` others.
    pub(super) fn waiting_time(&self, ahead: usize, slots: u16) -> Millis {
        let width = (usize::from(slots) + MARGIN) as u64;
        let turns = ahead as u64 + 1;
        Millis(self.mean_response * (turns + width) / (width * FRACTIONS))
    }

    fn insert(&mut self, flow: &Flow, until: Millis) {
        if self.taken.len() < MAX_FLOWS {
            self.taken.insert(*flow, until);
        }
    }
}
