//! Fuzz test of the collection of replies. The seed is in `.cargo/config.toml`.

use std::collections::BTreeMap;

use jaycrank_policy::Reason;
use jaycrank_policy::gather::Gather;
use jaycrank_policy::snapshot::Group;
use smol_str::format_smolstr;

const ITERATIONS: usize = 20_000;
const GROUPS: usize = 5;

/// Guards against duplicate or late replies, or replies of another version, that change an answer,
/// and against a coverage that differs from the bodies, for arbitrary orders of replies.
#[test]
fn coverage_matches_the_bodies_for_arbitrary_reply_orders() {
    let names: Vec<Group> = (0..GROUPS).map(|group| format_smolstr!("g{group}")).collect();
    bolero::check!().with_type::<Vec<(u8, u8, u32)>>().with_iterations(ITERATIONS).for_each(
        |replies| {
            let mut gather = Gather::new(1, GROUPS);
            let mut expected: BTreeMap<usize, Option<u32>> = BTreeMap::new();
            for (group, kind, body) in replies {
                let group = usize::from(*group) % (GROUPS + 1);
                let first = group < GROUPS && !expected.contains_key(&group);
                match kind % 3 {
                    0 => assert!(!gather.add_reply(group, 2, *body), "a reply of another version"),
                    1 => {
                        assert_eq!(gather.add_reply(group, 1, *body), first);
                        if first {
                            expected.insert(group, Some(*body));
                        }
                    }
                    _ => {
                        assert_eq!(gather.give_up(group, Reason::Shed), first);
                        if first {
                            expected.insert(group, None);
                        }
                    }
                }
                assert_eq!(gather.pending(), GROUPS - expected.len());
            }
            let (coverage, bodies) = gather.finish(names.iter(), |_| Reason::Deadline);
            assert!(coverage.covered.iter().eq(bodies.keys()));
            assert_eq!(coverage.covered.len() + coverage.missing.len(), GROUPS);
            for (index, name) in names.iter().enumerate() {
                match expected.get(&index) {
                    Some(Some(body)) => assert_eq!(bodies.get(name), Some(body)),
                    outcome => {
                        let shed = outcome.is_some();
                        let reason = if shed { Reason::Shed } else { Reason::Deadline };
                        let named = coverage.missing.iter().find(|miss| miss.group == *name);
                        assert_eq!(named.map(|miss| miss.reason), Some(reason));
                    }
                }
            }
        },
    );
}
