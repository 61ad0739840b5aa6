//! Flows that were admitted within the last second, which bound the rate of a cold start.

use std::collections::VecDeque;

use super::Start;
use crate::time::Millis;

/// Window over which admissions are counted.
const WINDOW: Millis = Millis(1_000);
/// Time within which admissions are counted together, so that their number is not bounded by memory.
const GROUP_TIME: Millis = Millis(10);

/// The admissions of one process.
#[derive(Clone, Debug, Default)]
pub(super) struct Admissions {
    groups: VecDeque<Group>,
    /// Since when this process has counted; before, another process may have admitted flows.
    counted_since: Millis,
    /// Whether the machine has booted since an earlier process ran there.
    has_machine_booted: bool,
}

/// Admissions within [`GROUP_TIME`], which count up to the end of the window after the last one.
#[derive(Clone, Copy, Debug)]
struct Group {
    first: Millis,
    last: Millis,
    count: usize,
}

impl Admissions {
    /// The admissions of a process that starts now.
    pub(super) fn new(now: Millis) -> Self {
        Self {
            counted_since: now,
            ..Self::default()
        }
    }

    pub(super) const fn record_machine_boot(&mut self) {
        self.has_machine_booted = true;
    }

    /// Whether those of the last second are all known: this process has run for that long, or the machine has booted,
    /// which takes longer, and the backend server started together with this process.
    pub(super) fn are_counted(&self, start: Start, now: Millis) -> bool {
        let has_predecessor = !self.has_machine_booted || start != Start::Joint;
        !has_predecessor || now.since(self.counted_since) > WINDOW
    }

    /// Number of those of the last second.
    pub(super) fn recent(&mut self, now: Millis) -> usize {
        let is_old = |group: &Group| now.since(group.last) > WINDOW;
        while self.groups.front().is_some_and(is_old) {
            self.groups.pop_front();
        }
        self.groups.iter().map(|group| group.count).sum()
    }

    pub(super) fn record(&mut self, now: Millis) {
        let last = self.groups.back_mut();
        if let Some(group) = last.filter(|group| now.since(group.first) < GROUP_TIME) {
            group.last = now;
            group.count += 1;
        } else {
            self.groups.push_back(Group {
                first: now,
                last: now,
                count: 1,
            });
        }
    }
}
