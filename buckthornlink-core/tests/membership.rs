//! Merging facts in any order gives the same members.

use std::net::{Ipv4Addr, SocketAddrV4};

use buckthornlink_core::member::{Fact, Members, Phase, Role};
use buckthornlink_core::{BootId, ServicePort, ZoneTag};
use proptest::prelude::*;

prop_compose! {
    fn any_fact()(host in 0_u8..6, boot in 0_u64..3, seq in 0_u32..4, phase in 0_usize..5) -> Fact {
        let phases = [Phase::Cold, Phase::Warm, Phase::Draining, Phase::Silent, Phase::Left];
        Fact {
            addr: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host), 7000),
            role: Role::Agent(ServicePort(4433)),
            zone: ZoneTag(1),
            boot: BootId(boot),
            seq,
            phase: phases[phase],
        }
    }
}

fn merged(facts: &[Fact]) -> Members {
    let mut members = Members::default();
    for fact in facts {
        members.merge(*fact);
    }
    members
}

fn sorted(members: &Members) -> Vec<Fact> {
    let mut facts: Vec<_> = members.iter().map(|(_, m)| m.fact).collect();
    facts.sort_by_key(|f| f.addr);
    facts
}

proptest! {
    #[test]
    fn order_does_not_matter(facts in prop::collection::vec(any_fact(), 0..40), cut in 0_usize..40) {
        let mut rotated = facts.clone();
        rotated.rotate_left(cut.min(facts.len()));
        rotated.reverse();
        let (a, b) = (merged(&facts), merged(&rotated));
        prop_assert_eq!(sorted(&a), sorted(&b));
        prop_assert_eq!(a.digest(), b.digest());
    }

    #[test]
    fn digests_are_equal_if_and_only_if_live_facts_are(
        a in prop::collection::vec(any_fact(), 0..20),
        b in prop::collection::vec(any_fact(), 0..20),
    ) {
        let (a, b) = (merged(&a), merged(&b));
        let live = |m: &Members| {
            let facts = sorted(m).into_iter();
            facts.filter(|f| !f.phase.is_gone()).collect::<Vec<_>>()
        };
        prop_assert_eq!(a.digest() == b.digest(), live(&a) == live(&b));
    }

    #[test]
    fn a_merged_fact_is_never_older(facts in prop::collection::vec(any_fact(), 1..40)) {
        let mut members = Members::default();
        for fact in facts {
            let before = members.at(fact.addr).map(|m| m.fact);
            members.merge(fact);
            let after = members.at(fact.addr).unwrap().fact;
            if let Some(before) = before {
                prop_assert!(after == before || after.supersedes(&before));
            }
        }
    }
}
