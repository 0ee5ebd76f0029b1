//! Tests of the limits on the sends of one request.

use std::collections::BTreeSet;

use jaycrank_policy::attempts::Attempts;
use smol_str::SmolStr;
use smol_str::format_smolstr;

const LEAFS_MAX: usize = 2;
const ITERATIONS: usize = 5_000;

fn leaf(index: u8) -> SmolStr {
    format_smolstr!("leaf-{}", index % 5)
}

/// Guards against a request that more leafs run than its route allows, and against endless retries,
/// for arbitrary sequences of outcomes. The seed is in `.cargo/config.toml`.
#[test]
fn send_limits_hold_for_arbitrary_outcomes() {
    bolero::check!().with_type::<Vec<(u8, u8)>>().with_iterations(ITERATIONS).for_each(|steps| {
        let mut attempts = Attempts::new(LEAFS_MAX as u32);
        let mut may_have_run: BTreeSet<SmolStr> = BTreeSet::new();
        for (index, outcome) in steps {
            let leaf = leaf(*index);
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
                _ => {
                    attempts.record_rejection(&leaf);
                    if !ran_before {
                        may_have_run.remove(&leaf);
                    }
                }
            }
            assert!(may_have_run.len() <= LEAFS_MAX, "{may_have_run:?}");
            assert!(attempts.sends() <= 10, "{}", attempts.sends());
        }
    });
}

/// A leaf loses the answer, gets the request again and rejects it. Guards against counting it as a leaf
/// that did not run the request, so that more leafs run it than the route allows.
#[test]
fn leaf_that_rejects_a_repeat_still_counts() {
    let (first, second, third) = (leaf(0), leaf(1), leaf(2));
    let mut attempts = Attempts::new(LEAFS_MAX as u32);
    for leaf in [&first, &second] {
        attempts.record_send(leaf);
        attempts.record_failure(leaf);
    }
    attempts.record_send(&first);
    attempts.record_rejection(&first);
    assert!(!attempts.allows_new_leaf(&third));
    assert!(attempts.allows_repeat(&second));
}

/// Both leafs that a route allows fail to answer. Guards against giving up although a repeat may
/// succeed, and against sending the request to a third leaf.
#[test]
fn leafs_that_failed_to_answer_get_a_repeat() {
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
