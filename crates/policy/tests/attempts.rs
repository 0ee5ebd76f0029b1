//! Tests of the leafs that one request may be sent to.

use std::collections::BTreeSet;

use jaycrank_policy::attempts::Attempts;
use smol_str::SmolStr;
use smol_str::format_smolstr;

const LEAFS_MAX: usize = 2;
const COUNT: usize = 5_000;

fn leaf(at: u8) -> SmolStr {
    format_smolstr!("leaf-{}", at % 5)
}

/// Guards against a request that more leafs may have run than its route allows, and against one
/// that is sent without end, for arbitrary orders of outcomes. The seed is in `.cargo/config.toml`.
#[test]
fn bounds_hold_for_arbitrary_outcomes() {
    bolero::check!().with_type::<Vec<(u8, u8)>>().with_iterations(COUNT).for_each(|steps| {
        let mut attempts = Attempts::new(LEAFS_MAX as u32);
        let mut may_have_run: BTreeSet<SmolStr> = BTreeSet::new();
        for (at, outcome) in steps {
            let leaf = leaf(*at);
            if !attempts.allows_send()
                || !(attempts.allows_new_leaf(&leaf) || attempts.allows_repeat(&leaf))
            {
                continue;
            }
            attempts.record_send(&leaf);
            let ran_before = may_have_run.contains(&leaf);
            may_have_run.insert(leaf.clone());
            match outcome % 4 {
                0 => {}
                1 => attempts.record_failure(&leaf),
                2 => attempts.clear_rejections(),
                _ if ran_before => attempts.record_failure(&leaf),
                _ => {
                    attempts.record_rejection(&leaf);
                    may_have_run.remove(&leaf);
                }
            }
            assert!(may_have_run.len() <= LEAFS_MAX, "{may_have_run:?}");
            assert!(attempts.sends() <= 10, "{}", attempts.sends());
        }
    });
}

/// Pattern: both leafs that a route allows lose their answers. Guards against giving up although
/// one of them may answer the next time, and against a third leaf.
#[test]
fn leafs_that_lost_an_answer_are_asked_again() {
    let (first, second, third) = (leaf(0), leaf(1), leaf(2));
    let mut attempts = Attempts::new(LEAFS_MAX as u32);
    attempts.record_send(&first);
    assert!(!attempts.allows_repeat(&first), "it may still answer");
    attempts.record_failure(&first);
    attempts.record_send(&second);
    attempts.record_failure(&second);
    assert!(attempts.allows_send());
    assert!(!attempts.allows_new_leaf(&third));
    assert!(attempts.allows_repeat(&first) && attempts.allows_repeat(&second));
}
