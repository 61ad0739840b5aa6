//! Replays recorded traces and compares their outcomes with a snapshot.
//!
//! `tests/traces` holds event traces of real runs with planned changes, failures and outages. The
//! reducers process the same events again; invariants are checked after each one.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use buckthornlink_core::agent::{self, Ticket};
use buckthornlink_core::balancer::{self, Snapshot};
use buckthornlink_core::{Verdict, Version};
use buckthornlink_node::trace::{TraceReader, TraceRole, effects_hash};

/// Number of effects, refusals and differences in one replay, by name.
type EffectCounts = BTreeMap<String, u64>;

fn trace_paths() -> Vec<PathBuf> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let entries = std::fs::read_dir(dir).unwrap();
    let mut paths: Vec<_> = entries.map(|e| e.unwrap().path()).collect();
    paths.sort();
    paths
}

fn count(counts: &mut EffectCounts, name: impl Into<String>) {
    *counts.entry(name.into()).or_default() += 1;
}

/// Name of an enum's variant, from its debug form.
fn variant_name(value: &impl std::fmt::Debug) -> String {
    let text = format!("{value:?}");
    let end = text
        .find(|c: char| !c.is_alphanumeric())
        .unwrap_or(text.len());
    text[..end].to_owned()
}

fn replay_agent(reader: &mut TraceReader, setup: agent::Setup) -> EffectCounts {
    let mut state = agent::Agent::new(setup);
    let mut counts = EffectCounts::new();
    let mut ran = BTreeSet::<Ticket>::new();
    let mut version = Version::default();
    while let Some(record) = reader.read::<agent::Event>().unwrap() {
        if let agent::Event::Finished {
            ticket, outcome, ..
        } = &record.event
        {
            use agent::Outcome::{Declined, Shed, Unreachable};
            if matches!(outcome, Shed | Declined | Unreachable) {
                ran.remove(ticket);
            }
        }
        let effects = state.reduce(record.event, record.at);
        if effects_hash(&effects) != record.effects {
            count(&mut counts, "differing");
        }
        for effect in &effects {
            count(&mut counts, variant_name(effect));
            match effect {
                agent::Effect::Run(ticket) => {
                    assert!(ran.insert(*ticket), "{ticket:?} ran twice");
                    assert!(
                        !state.is_zone_out(),
                        "{ticket:?} ran in a zone that is out of service"
                    );
                }
                agent::Effect::Refuse {
                    ticket,
                    verdict,
                    refusal,
                } => {
                    let is_correct = *verdict != Verdict::NotRun || !ran.contains(ticket);
                    assert!(is_correct, "{ticket:?} ran, but was refused as not run");
                    count(&mut counts, format!("{verdict}: {}", refusal.as_str()));
                }
                _ => {}
            }
        }
        assert!(state.version() >= version, "the version decreased");
        version = state.version();
    }
    counts
}

fn replay_balancer(reader: &mut TraceReader, setup: balancer::Setup) -> EffectCounts {
    let mut state = balancer::Balancer::new(setup);
    let mut counts = EffectCounts::new();
    let mut snapshot = Snapshot::default();
    while let Some(record) = reader.read::<balancer::Event>().unwrap() {
        let effects = state.reduce(record.event, record.at);
        if effects_hash(&effects) != record.effects {
            count(&mut counts, "differing");
        }
        for effect in effects {
            count(&mut counts, variant_name(&effect));
            match effect {
                balancer::Effect::Forward(candidates) => {
                    for candidate in candidates {
                        let member = state.members().at(candidate.addr).unwrap();
                        assert!(
                            member.can_accept_flows(),
                            "an opener was forwarded to an instance that cannot accept flows"
                        );
                        assert!(
                            !snapshot.is_out(member.fact.zone),
                            "an opener was forwarded to a zone that is out of service"
                        );
                    }
                }
                balancer::Effect::Publish(next) => {
                    assert!(next.version >= snapshot.version, "the version decreased");
                    snapshot = next;
                }
                _ => {}
            }
        }
    }
    counts
}

#[test]
fn recorded_traces_keep_their_outcomes() {
    let mut found = BTreeMap::new();
    for path in trace_paths() {
        let mut reader = TraceReader::open(&path).unwrap();
        let counts = match reader.header().role.clone() {
            TraceRole::Agent(setup) => replay_agent(&mut reader, setup),
            TraceRole::Balancer(setup) => replay_balancer(&mut reader, setup),
        };
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        found.insert(name, counts);
    }
    assert!(found.len() >= 40, "only {} traces", found.len());
    insta::assert_json_snapshot!(found);
}
