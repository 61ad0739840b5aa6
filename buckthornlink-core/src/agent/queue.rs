//! Deadline-aware queue, fair between classes.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Request, RequestId, Ticket};
use crate::time::Millis;

/// Requests of higher priority run before all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Part of work that a dependent service has admitted.
    Admitted,
    /// New work.
    Fresh,
}

/// A request that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// The request.
    pub ticket: Ticket,
    /// The caller's id.
    pub id: Option<RequestId>,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// When the caller gives up.
    pub deadline: Millis,
    class: Arc<str>,
    priority: Priority,
}

impl Waiting {
    /// What is kept of a request while it waits.
    #[must_use]
    pub fn new(request: Request) -> Self {
        Self {
            ticket: request.ticket,
            id: request.id,
            idempotent: request.idempotent,
            deadline: request.deadline,
            class: request.class,
            priority: request.priority,
        }
    }
}

/// Waiting requests of one priority, with the classes in turn.
#[derive(Clone, Debug, Default)]
struct Lane {
    classes: BTreeMap<Arc<str>, VecDeque<Waiting>>,
    turn: VecDeque<Arc<str>>,
}

/// All waiting requests.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    lanes: BTreeMap<Priority, Lane>,
    len: usize,
}

impl Queue {
    /// Appends a request to its class.
    pub fn push(&mut self, waiting: Waiting) {
        self.len += 1;
        let lane = self.lanes.entry(waiting.priority).or_default();
        lane.push(waiting);
    }

    /// The next request whose deadline is after `latest`. Those that end before go to `expired`.
    pub fn pop(&mut self, latest: Millis, expired: &mut Vec<Waiting>) -> Option<Waiting> {
        for lane in self.lanes.values_mut() {
            while let Some(waiting) = lane.pop() {
                self.len -= 1;
                if waiting.deadline > latest {
                    return Some(waiting);
                }
                expired.push(waiting);
            }
        }
        None
    }

    /// Takes one request out.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        for lane in self.lanes.values_mut() {
            for queue in lane.classes.values_mut() {
                if let Some(i) = queue.iter().position(|w| w.ticket == ticket) {
                    self.len -= 1;
                    return queue.remove(i);
                }
            }
        }
        None
    }

    /// Takes out all requests.
    pub fn drain(&mut self) -> Vec<Waiting> {
        self.len = 0;
        let lanes = std::mem::take(&mut self.lanes).into_values();
        let queues = lanes.flat_map(|lane| lane.classes.into_values());
        queues.flatten().collect()
    }

    /// Takes out all requests whose deadline has passed.
    pub fn expired(&mut self, now: Millis) -> Vec<Waiting> {
        let mut expired = Vec::new();
        for lane in self.lanes.values_mut() {
            for queue in lane.classes.values_mut() {
                let (late, live) = queue.drain(..).partition(|w| w.deadline <= now);
                *queue = live;
                expired.extend::<VecDeque<_>>(late);
            }
        }
        self.len -= expired.len();
        expired
    }

    /// Number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }
}

impl Lane {
    fn push(&mut self, waiting: Waiting) {
        let class = Arc::clone(&waiting.class);
        let queue = self.classes.entry(Arc::clone(&class)).or_default();
        queue.push_back(waiting);
        if !self.turn.contains(&class) {
            self.turn.push_back(class);
        }
    }

    /// The oldest request of the class whose turn it is.
    fn pop(&mut self) -> Option<Waiting> {
        while let Some(class) = self.turn.pop_front() {
            let queue = self.classes.get_mut(&class)?;
            let Some(waiting) = queue.pop_front() else {
                self.classes.remove(&class);
                continue;
            };
            if queue.is_empty() {
                self.classes.remove(&class);
            } else {
                self.turn.push_back(class);
            }
            return Some(waiting);
        }
        None
    }
}
