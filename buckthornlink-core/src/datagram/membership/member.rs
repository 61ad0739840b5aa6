//! One known instance, and whether it can be relied on.

use crate::datagram::{Evidence, Fact, Phase};
use crate::id::BootId;
use crate::time::Millis;

/// Time within which a live instance answers, or its heartbeat advances.
const ANSWER_TIMEOUT: Millis = Millis(1_000);
/// Minimum unanswered probes or search queries for [`ANSWER_TIMEOUT`] to apply.
const MIN_UNANSWERED: u16 = 3;
/// Answer timeout of an agent whose backend server has ended; short, since it holds no flows.
const ENDED_BACKEND_TIMEOUT: Millis = Millis(300);
/// Minimum unanswered probes for [`ENDED_BACKEND_TIMEOUT`] to apply.
const ENDED_BACKEND_MIN_UNANSWERED: u16 = 2;
/// Time without an answer after which an instance counts as unresponsive although its heartbeats
/// still arrive: in a large system, those of a failed instance circulate for seconds.
const UNRESPONSIVE_TIMEOUT: Millis = Millis(2_000);
/// Minimum unanswered probes for [`UNRESPONSIVE_TIMEOUT`] to apply.
const UNRESPONSIVE_MIN_UNANSWERED: u16 = 6;
/// An instance whose answer is outstanding for longer gets no new flows while others can take them.
const OVERDUE_TIMEOUT: Millis = Millis(400);

/// One known instance and what this process has observed of it.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// Its latest fact.
    pub fact: Fact,
    /// When its heartbeat last advanced.
    pub last_heard: Millis,
    /// When its latest fact arrived.
    pub last_fact: Millis,
    /// Sequence number of its latest heartbeat.
    pub heartbeat_seq: u32,
    /// When the first of the unanswered probes was sent.
    pub probed_since: Option<Millis>,
    /// When it last answered, or became known.
    pub last_answer: Millis,
    /// Unanswered probes, which are requests for the instance's status.
    pub unanswered_probes: u16,
    /// When the first of the unanswered search queries was sent.
    pub queried_since: Option<Millis>,
    /// Unanswered search queries. An agent may leave a query unanswered, but not a probe.
    pub unanswered_queries: u16,
    /// Flows placed on it since its last fact.
    pub placed: u16,
    /// Whether it is suspected to have failed.
    pub is_suspect: bool,
    /// When it was last heard before it was suspected, until it is heard again.
    pub lost_since: Option<Millis>,
}

impl Member {
    pub(super) const fn new(fact: Fact, now: Millis) -> Self {
        Self {
            fact,
            last_heard: now,
            last_fact: now,
            heartbeat_seq: fact.seq,
            probed_since: None,
            last_answer: now,
            unanswered_probes: 0,
            queried_since: None,
            unanswered_queries: 0,
            placed: 0,
            is_suspect: false,
            lost_since: None,
        }
    }

    /// Whether an answer is outstanding for too long to place new flows on the instance.
    #[must_use]
    pub fn is_answer_overdue(&self, now: Millis) -> bool {
        self.probed_since
            .is_some_and(|at| now.since(at) > OVERDUE_TIMEOUT)
            && self.unanswered_probes > 1
    }

    /// Records that the instance was probed.
    pub fn record_probe(&mut self, now: Millis) {
        self.probed_since.get_or_insert(now);
        self.unanswered_probes = self.unanswered_probes.saturating_add(1);
    }

    /// Records that the instance was queried for a flow in a search.
    pub fn record_query(&mut self, now: Millis) {
        self.queried_since.get_or_insert(now);
        self.unanswered_queries = self.unanswered_queries.saturating_add(1);
    }

    /// Leaves a time in which this process was away, which ends now, out of the instance's silence.
    pub(super) fn exclude_absence(&mut self, absence: Millis, now: Millis) {
        let shift = |at| now.min(at + absence);
        self.last_heard = now.min(self.last_heard + absence);
        self.probed_since = self.probed_since.map(shift);
        self.queried_since = self.queried_since.map(shift);
    }

    /// Records that the instance answered.
    pub const fn record_answer(&mut self, now: Millis) {
        self.last_answer = now;
        self.probed_since = None;
        self.unanswered_probes = 0;
        self.queried_since = None;
        self.unanswered_queries = 0;
    }

    /// Whether to stop waiting for the instance: it is suspected to have failed, or it answers
    /// nothing. The timeout is shorter if its heartbeat has stopped or its backend server has ended.
    ///
    /// An agent may leave search queries unanswered, so they count only beside unanswered probes.
    ///
    /// An agent that announced its shutdown is expected to stop answering, which says nothing about
    /// the flows of its backend server: its next process answers for them.
    #[must_use]
    pub fn is_unresponsive(&self, now: Millis) -> bool {
        if self.fact.phase == Phase::Leaving {
            return self.is_suspect;
        }
        let is_overdue = |since: Option<Millis>, count: u16, span, min| {
            count >= min && since.is_some_and(|at| now.since(at) >= span)
        };
        let is_probe_overdue =
            |span, min| is_overdue(self.probed_since, self.unanswered_probes, span, min);
        let is_query_overdue = is_overdue(
            self.queried_since,
            self.unanswered_queries,
            ANSWER_TIMEOUT,
            MIN_UNANSWERED,
        );
        let is_probed = self.unanswered_probes >= MIN_UNANSWERED;
        let has_heartbeat_stopped = now.since(self.last_heard) >= ANSWER_TIMEOUT;
        self.is_suspect
            || is_probe_overdue(UNRESPONSIVE_TIMEOUT, UNRESPONSIVE_MIN_UNANSWERED)
            || has_heartbeat_stopped
                && (is_query_overdue && is_probed
                    || is_probe_overdue(ANSWER_TIMEOUT, MIN_UNANSWERED))
            || self.fact.phase.is_over()
                && is_probe_overdue(ENDED_BACKEND_TIMEOUT, ENDED_BACKEND_MIN_UNANSWERED)
    }

    /// Whether the instance may store owner records.
    pub(super) fn can_be_home(&self, now: Millis) -> bool {
        let phase = self.fact.phase;
        !phase.is_over() && !phase.is_leaving() && !self.is_unresponsive(now)
    }

    /// Whether all flows recorded at this boot of its backend server have ended.
    ///
    /// An agent that starts next to a running backend server does not know its boot id, and uses
    /// zero, until the next heartbeat; nothing is known about the end of such a boot.
    #[must_use]
    pub fn is_backend_over(&self, boot: BootId) -> bool {
        self.end_evidence(boot).is_some()
    }

    /// What it reported that shows that the flows recorded at this boot of its backend server have ended, if anything. A later
    /// boot alone is only another name for what the agent has.
    #[must_use]
    pub fn end_evidence(&self, boot: BootId) -> Option<Evidence> {
        let is_later = self.has_renamed(boot);
        if is_later && !self.fact.holds_earlier {
            return Some(Evidence::ReportedReplaced);
        }
        let is_known = boot != BootId::default() && (is_later || self.fact.backend == boot);
        (is_known && self.fact.phase.is_over()).then_some(Evidence::ReportedOver)
    }

    /// Whether it knows its backend server by a later boot than this one.
    #[must_use]
    pub fn has_renamed(&self, boot: BootId) -> bool {
        boot != BootId::default() && self.fact.backend > boot
    }

    /// Flows that it reported, plus those placed on it since.
    #[must_use]
    pub fn estimated_flows(&self) -> u64 {
        u64::from(self.fact.load.flows) + u64::from(self.placed)
    }

    /// Outstanding requests, in tenths; those beyond its slots count twice.
    #[must_use]
    pub fn weighted_waiting(&self) -> u64 {
        let waiting = u64::from(self.fact.load.waiting);
        let slots = 10 * u64::from(self.fact.load.slots);
        waiting + waiting.saturating_sub(slots)
    }
}
