//! Flows that an agent saves in the store for its next process, which may be the only one that can tell after
//! a loss of all processes.
//!
//! What was saved names flows that the backend server holds or, once it has ended, flows that are gone. The set of a
//! backend server that drains is final: flows that it lacks are held by others.

use super::Agent;
use crate::datagram::{
    Backend, Effect, Evidence, Flow, FlowDigest, FlowState, Message, Ownership, Reason, SavedFlow,
};
use crate::id::BootId;
use crate::time::Millis;

/// Minimum interval between two saves.
const MIN_SAVE_INTERVAL: Millis = Millis(8_000);
/// Interval between two saves for each agent of the fleet: all of them together save 40 times a second.
const SAVE_INTERVAL_PER_AGENT: Millis = Millis(25);
/// Minimum age of a flow that is saved; shorter ones end before that is of use.
const MIN_SAVED_AGE: Millis = Millis(1_000);

/// What this process has saved, and what an earlier one had.
#[derive(Clone, Debug, Default)]
pub(super) struct SavedFlows {
    loaded: Option<LoadedFlows>,
    saved: FlowDigest,
    saved_at: Millis,
}

/// What an earlier process saved.
#[derive(Clone, Debug)]
struct LoadedFlows {
    digest: FlowDigest,
    /// When it was read.
    at: Millis,
    /// Whether the machine has booted since it was saved, so that all processes of that time have ended: the clock, which
    /// runs from the boot, was later then.
    is_before_boot: bool,
    /// Whether the callers of the flows were told that they have ended.
    is_reported: bool,
}

impl LoadedFlows {
    /// Whether the backend server that held the flows has ended: a later boot is heard, or none is, nothing listens, and the
    /// machine has booted since. The clock alone does not show it: two containers on a machine may have different clocks.
    fn has_ended(&self, backend: &Backend) -> bool {
        let unknown = BootId::default();
        if backend.boot() == unknown {
            return self.is_before_boot && backend.is_refusing();
        }
        self.digest.backend != unknown && self.digest.backend < backend.boot()
    }

    /// Whether the flows are those of the present backend server.
    fn is_current(&self, backend: &Backend) -> bool {
        let is_doubtful = self.is_before_boot && backend.boot() == BootId::default();
        self.digest.is_about(backend.boot()) && !is_doubtful && !self.has_ended(backend)
    }
}

impl Agent {
    /// Takes over what an earlier process saved. A later read finds what this process saved itself.
    pub(super) fn load_saved_flows(
        &mut self,
        digest: FlowDigest,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if self.saved_flows.loaded.is_some() {
            return;
        }
        self.try_mark.load(&digest);
        self.saved_flows.saved = digest.clone();
        self.saved_flows.saved_at = now;
        let is_before_boot = digest.saved_at > now;
        if is_before_boot {
            self.backend.record_machine_boot();
        } else {
            self.record_earlier_backend(digest.backend, now, out);
        }
        self.saved_flows.loaded = Some(LoadedFlows {
            is_before_boot,
            is_reported: false,
            digest,
            at: now,
        });
        self.report_ended_flows(now, out);
        self.resume_searches(now, out);
    }

    /// Resets the flows that an earlier process saved once their backend server has ended, so that callers learn it before
    /// they send a request that they may not repeat. A flow of the same addresses that was opened since ignores the reset,
    /// whose sequence number is not its own.
    pub(super) fn report_ended_flows(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let Some(mut loaded) = self.saved_flows.loaded.take() else {
            return;
        };
        if !loaded.is_reported && loaded.has_ended(&self.backend) {
            loaded.is_reported = true;
            let age = now.since(loaded.at);
            for saved in loaded.digest.iter_held() {
                self.report_ended_flow(saved, age, now, out);
            }
        }
        self.saved_flows.loaded = Some(loaded);
    }

    /// Resets a saved flow, unless it is open here or elsewhere since. A try of it is over: the backend server that it was made at is another
    /// boot, so its answer need not be waited for. If others have asked for it, its home agent is told as well: the reset may be lost, and a home agent
    /// whose packet came back from this one does not ask again.
    fn report_ended_flow(
        &mut self,
        saved: &SavedFlow,
        age: Millis,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let state = self.flows.get(&saved.flow);
        match state.map(|s| s.ownership).unwrap_or_default() {
            Ownership::Open | Ownership::Remote { owner: Some(_) } => return,
            Ownership::Trial { .. } | Ownership::Recorded { .. } => {
                self.flows.update(&saved.flow, |s| {
                    s.ownership = Ownership::Remote { owner: None };
                });
            }
            _ => {}
        }
        let basis = (Some(Evidence::SavedAsEnded), age);
        out.push(self.end_decision(Reason::BackendOver, Some(saved.flow), basis));
        out.push(Effect::Reset {
            flow: saved.flow,
            seq: saved.ack,
        });
        let home = self.gossip.membership().home_agent(&saved.flow, now);
        let is_asked = self.flows.get(&saved.flow).is_some();
        if let Some(to) = home.filter(|&ip| is_asked && ip != self.gossip.own().ip) {
            let message = Message::Ended(*saved);
            out.push(Effect::Send { to, message });
        }
    }

    /// Whether an earlier process saved that the backend server holds a flow.
    pub(super) fn is_saved(&self, flow: &Flow) -> bool {
        let loaded = self.saved_flows.loaded.as_ref();
        loaded.is_some_and(|l| l.is_current(&self.backend) && l.digest.contains(flow))
    }

    /// What an earlier process saved of a flow that the backend server held, if that backend server has ended. Later than the
    /// idle timeout, or once it was told, the caller may have opened another flow from the same port.
    pub(super) fn saved_as_ended(&self, flow: &Flow, now: Millis) -> Option<&SavedFlow> {
        let state = self.flows.get(flow);
        let ownership = state.map(|s| s.ownership).unwrap_or_default();
        let is_unseen = matches!(
            ownership,
            Ownership::Unknown | Ownership::Ended | Ownership::Remote { owner: None }
        );
        let is_told = state.is_some_and(|s| s.was_reset);
        let loaded = self.saved_flows.loaded.as_ref()?;
        let is_recent = now.since(loaded.at) <= self.table.idle;
        let is_ended = is_unseen && !is_told && is_recent && loaded.has_ended(&self.backend);
        loaded.digest.held(flow).filter(|_| is_ended)
    }

    /// Whether an earlier process saved all flows of a backend server that was to open no more, and no other one has
    /// taken its place: that one is heard, or nothing listens at the address.
    pub(super) fn is_saved_set_final(&self) -> bool {
        let boot = self.backend.boot();
        let is_alone = if boot == BootId::default() {
            self.backend.is_refusing()
        } else {
            true
        };
        let loaded = self.saved_flows.loaded.as_ref();
        loaded.is_some_and(|l| l.digest.is_final && l.digest.is_about(boot) && is_alone)
    }

    /// Returns what was last saved, with a mark of tries, once what an earlier process saved is known.
    pub(super) fn marked_record(&mut self) -> Option<FlowDigest> {
        self.saved_flows.loaded.as_ref()?;
        self.saved_flows.saved.has_tried = true;
        Some(self.saved_flows.saved.clone())
    }

    /// Saves the flows of the backend server if there are new ones, once those of an earlier process are known. Ended
    /// ones do no harm there. A final set is saved at once, and replaced at once when another boot is heard: it says
    /// nothing about the flows which that one opens. While the backend server counts as ended, which may be taken back, its
    /// set is not complete.
    /// A mark of tries that is outdated is cleared with the next save.
    pub(super) fn save_flows(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let Some(loaded) = &self.saved_flows.loaded else {
            return;
        };
        let boot = self.backend.boot();
        if boot == BootId::default() && loaded.digest.is_final {
            return;
        }
        let is_complete = self.knows_all_flows(now) && !self.backend.is_over();
        let is_final = self.is_saved_set_final() || self.backend.is_draining() && is_complete;
        let agents = self.gossip.membership().all_agents().count() as u64;
        let interval = MIN_SAVE_INTERVAL.max(Millis(SAVE_INTERVAL_PER_AGENT.0 * agents));
        let is_due = now.since(self.saved_flows.saved_at) >= interval;
        let saved = &self.saved_flows.saved;
        let is_newly_final = is_final && !saved.is_final;
        let is_outdated = saved.is_final && !saved.is_about(boot);
        if !is_due && !is_newly_final && !is_outdated && !self.is_leaving {
            return;
        }
        let mut digest = self.digest(is_final, now);
        let is_recent = now.since(loaded.at) <= self.table.idle;
        if (is_recent || is_final) && loaded.is_current(&self.backend) {
            digest.merge(&loaded.digest);
        }
        digest.saved_at = now;
        digest.is_final = is_final;
        let is_marked = self.saved_flows.saved.has_tried;
        let is_mark_outdated = self.is_mark_outdated(is_marked, now);
        digest.has_tried = is_marked && !is_mark_outdated;
        self.saved_flows.saved_at = now;
        if is_newly_final || is_mark_outdated || !self.saved_flows.saved.includes(&digest) {
            if is_mark_outdated {
                self.try_mark.clear();
            }
            self.saved_flows.saved = digest.clone();
            out.push(Effect::SaveFlows(digest));
        }
    }

    /// The flows of the backend server that have lasted, or all that it may hold if the set is final.
    fn digest(&self, is_final: bool, now: Millis) -> FlowDigest {
        let min_age = if is_final { Millis(0) } else { MIN_SAVED_AGE };
        let is_lasting = |s: &FlowState| now.since(s.opened_at) >= min_age;
        let lasting = self.flows.iter().filter(|(_, s)| is_lasting(s));
        let may_be_held = |s: &FlowState| s.is_established() || is_final && s.may_be_held();
        let held = lasting.filter(|(_, s)| may_be_held(s));
        FlowDigest::new(
            self.backend.boot(),
            held.map(|(flow, s)| {
                let is_proven = self.backend.is_proven_at(s.opened_at);
                SavedFlow::of(flow, s, is_proven)
            }),
        )
    }
}

impl FlowState {
    /// Whether the flow may be one that the backend server holds, so that a final set has to name it.
    pub(super) fn may_be_held(&self) -> bool {
        self.is_offered()
            || matches!(
                self.ownership,
                Ownership::Trial { .. } | Ownership::Recorded { .. }
            )
    }
}
