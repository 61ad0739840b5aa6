//! Deadline-aware request queue, fair between classes.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Request, RequestId, Ticket};
use crate::time::Millis;

/// Priority of a request; a request runs only if none of a higher priority waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Part of work that the calling service has already admitted; the higher priority.
    Admitted,
    /// New work.
    Fresh,
}

/// A request that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Identifies the request within this process.
    pub ticket: Ticket,
    /// Request id that the caller assigned.
    pub id: Option<RequestId>,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Time at which the caller stops waiting.
    pub deadline: Millis,
    class: Arc<str>,
    priority: Priority,
}

impl QueuedRequest {
    /// Keeps the parts of `request` that are needed while it waits.
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

/// Waiting requests of one priority, with one FIFO per class in round-robin order.
#[derive(Clone, Debug, Default)]
struct ClassQueues {
    classes: BTreeMap<Arc<str>, VecDeque<QueuedRequest>>,
    rotation: VecDeque<Arc<str>>,
}

/// All waiting requests, ordered by priority, then round-robin between classes.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    by_priority: BTreeMap<Priority, ClassQueues>,
    len: usize,
}

impl Queue {
    /// Appends a request to its class.
    pub fn push(&mut self, queued: QueuedRequest) {
        self.len += 1;
        let class_queues = self.by_priority.entry(queued.priority).or_default();
        class_queues.push(queued);
    }

    /// Removes and returns the next request whose deadline is after `cutoff`. Requests ahead of it
    /// whose deadline is not after `cutoff` are moved to `expired`.
    pub fn pop(
        &mut self,
        cutoff: Millis,
        expired: &mut Vec<QueuedRequest>,
    ) -> Option<QueuedRequest> {
        for class_queues in self.by_priority.values_mut() {
            while let Some(queued) = class_queues.pop() {
                self.len -= 1;
                if queued.deadline > cutoff {
                    return Some(queued);
                }
                expired.push(queued);
            }
        }
        None
    }

    /// Removes one request, if it is queued.
    pub fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        for class_queues in self.by_priority.values_mut() {
            for queue in class_queues.classes.values_mut() {
                if let Some(i) = queue.iter().position(|q| q.ticket == ticket) {
                    self.len -= 1;
                    return queue.remove(i);
                }
            }
        }
        None
    }

    /// Removes and returns all requests.
    pub fn drain(&mut self) -> Vec<QueuedRequest> {
        self.len = 0;
        let by_priority = std::mem::take(&mut self.by_priority).into_values();
        let queues = by_priority.flat_map(|class_queues| class_queues.classes.into_values());
        queues.flatten().collect()
    }

    /// Removes and returns all requests whose deadline has passed.
    pub fn take_expired(&mut self, now: Millis) -> Vec<QueuedRequest> {
        let mut expired = Vec::new();
        for class_queues in self.by_priority.values_mut() {
            for queue in class_queues.classes.values_mut() {
                let (late, live) = queue.drain(..).partition(|q| q.deadline <= now);
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

    /// Whether the queue is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }
}

impl ClassQueues {
    fn push(&mut self, queued: QueuedRequest) {
        let class = Arc::clone(&queued.class);
        let queue = self.classes.entry(Arc::clone(&class)).or_default();
        queue.push_back(queued);
        if !self.rotation.contains(&class) {
            self.rotation.push_back(class);
        }
    }

    /// Removes and returns the oldest request of the next class in rotation.
    fn pop(&mut self) -> Option<QueuedRequest> {
        while let Some(class) = self.rotation.pop_front() {
            let queue = self.classes.get_mut(&class)?;
            let Some(queued) = queue.pop_front() else {
                self.classes.remove(&class);
                continue;
            };
            if queue.is_empty() {
                self.classes.remove(&class);
            } else {
                self.rotation.push_back(class);
            }
            return Some(queued);
        }
        None
    }
}
