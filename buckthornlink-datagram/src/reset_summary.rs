//! Warnings about flows that were reset, summed up by what the resets rest on.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use buckthornlink_core::Millis;
use buckthornlink_core::datagram::{Decision, Evidence, Flow, Reason};

use crate::decision_log::{LOG_TARGET, OrDash};

/// Maximum number of warnings in one window. Beyond, resets are counted together.
const MAX_GROUPS: usize = 8;

/// The flows that were reset since the last warnings.
#[derive(Debug, Default)]
pub(crate) struct ResetSummary {
    groups: BTreeMap<GroupKey, Group>,
    /// Resets that belong to no group, as there are [`MAX_GROUPS`].
    others: u64,
}

/// Why flows were reset: the decision, the name of its evidence if it has any, and the instance involved.
type GroupKey = (Reason, Option<&'static str>, Option<Ipv4Addr>);

/// Resets of flows for the same reason.
#[derive(Debug)]
struct Group {
    evidence: Option<Evidence>,
    first: Flow,
    /// Greatest age of the evidence; if the owner is silent, the greatest time for which it was.
    max_age: Millis,
    count: u64,
}

impl ResetSummary {
    /// Counts a decision that reset a flow; ignores all others.
    pub(crate) fn record(&mut self, decision: &Decision) {
        let Some(flow) = decision.flow.filter(|_| is_reset(decision)) else {
            return;
        };
        let name = decision.evidence.map(Evidence::name);
        let key = (decision.reason, name, decision.peer);
        if self.groups.len() >= MAX_GROUPS && !self.groups.contains_key(&key) {
            self.others += 1;
            return;
        }
        let group = self.groups.entry(key).or_insert(Group {
            evidence: decision.evidence,
            first: flow,
            max_age: decision.age,
            count: 0,
        });
        group.max_age = group.max_age.max(decision.age);
        group.count += 1;
    }

    /// Writes a warning for each group, and forgets them.
    pub(crate) fn write(&mut self) {
        for ((reason, evidence, owner), group) in std::mem::take(&mut self.groups) {
            log::warn!(
                target: LOG_TARGET,
                reason = reason.name(),
                evidence:% = OrDash(evidence),
                basis:% = OrDash(group.evidence.map(|e| e.basis().name())),
                owner:% = OrDash(owner),
                max_age_ms = group.max_age.0,
                count = group.count,
                caller:% = group.first.caller,
                route:% = group.first.route;
                "flows were reset"
            );
        }
        let others = std::mem::take(&mut self.others);
        if others > 0 {
            log::warn!(target: LOG_TARGET, count = others; "more flows were reset");
        }
    }
}

/// Whether a decision resets its flow. One that is refused for want of an agent or a route may have opened meanwhile.
fn is_reset(decision: &Decision) -> bool {
    decision.evidence.is_some() || matches!(decision.reason, Reason::NoAgent | Reason::NoRoute)
}
