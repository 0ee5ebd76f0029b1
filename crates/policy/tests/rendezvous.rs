//! Rendezvous hashing is stable and even, and moves few keys.

use std::collections::BTreeMap;

use jaycrank_policy::rendezvous;
use smol_str::SmolStr;
use smol_str::format_smolstr;

fn names(n: usize) -> Vec<SmolStr> {
    (0..n).map(|number| format_smolstr!("entry-{number}")).collect()
}

/// Guards against a hash that differs between releases, which would give a key two owners.
#[test]
fn preference_lists_are_stable() {
    let mut text: Vec<String> = (0..4)
        .map(|partition| {
            let preferred = rendezvous::preference_list(&format!("claims/{partition}"), &names(5));
            format!("claims/{partition}: {}", preferred.join(" "))
        })
        .collect();
    text.push(format!("readers: {}", rendezvous::readers("north", &names(9), 3).join(" ")));
    insta::assert_snapshot!(text.join("\n"));
}

/// Guards against an owner that depends on the order of the names, or that differs from the first
/// name of the preference list.
#[test]
fn owner_is_first_in_the_preference_list() {
    let mut names = names(9);
    for key in 0..100 {
        let key = format!("key-{key}");
        let preferred = rendezvous::preference_list(&key, &names);
        names.rotate_left(1);
        assert_eq!(rendezvous::owner(&key, &names).as_ref(), preferred.first());
        assert_eq!(rendezvous::preference_list(&key, names.iter().chain(&names)), preferred);
    }
    assert_eq!(rendezvous::owner("key", &[]), None);
}

/// Guards against a lost instance that moves keys it did not own, and against an uneven number of
/// keys per instance.
#[test]
fn only_keys_of_a_lost_instance_move() {
    const KEYS: usize = 4_000;
    let all = names(8);
    let lost = &all[3];
    let rest: Vec<SmolStr> = all.iter().filter(|name| *name != lost).cloned().collect();
    let mut owned: BTreeMap<SmolStr, usize> = BTreeMap::new();
    for key in 0..KEYS {
        let key = format!("key-{key}");
        let before = rendezvous::owner(&key, &all).unwrap();
        let after = rendezvous::owner(&key, &rest).unwrap();
        assert!(before == after || before == *lost);
        *owned.entry(before).or_default() += 1;
    }
    let mean = KEYS / all.len();
    assert!(owned.values().all(|count| (mean * 4 / 5..mean * 6 / 5).contains(count)), "{owned:?}");
}

/// Hundreds of instances of a failure domain get catalog changes through one of them. Guards
/// against an instance that all others ask, whose traffic grows with the failure domain, and
/// against long chains, in which each failed instance delays the changes for all behind it.
#[test]
fn followers_form_a_shallow_tree() {
    const FAN_OUT: usize = 16;
    for (n, depth_max) in [(1, 0), (2, 1), (17, 1), (100, 2), (273, 2), (300, 3)] {
        let all = names(n);
        let parent = |own: &SmolStr| {
            let others = all.iter().filter(|name| *name != own);
            rendezvous::upstream("reader/a", own, others, FAN_OUT)
        };
        let parents: BTreeMap<&SmolStr, Option<&SmolStr>> =
            all.iter().map(|own| (own, parent(own))).collect();
        assert_eq!(parents.values().filter(|parent| parent.is_none()).count(), 1);
        let mut followers: BTreeMap<&SmolStr, usize> = BTreeMap::new();
        for own in &all {
            if let Some(parent) = parents[own] {
                *followers.entry(parent).or_default() += 1;
            }
            let chain = std::iter::successors(parents[own], |name| parents[*name]);
            assert!(chain.count() <= depth_max, "{own} of {n}");
        }
        assert!(followers.values().all(|count| *count <= FAN_OUT), "{followers:?}");
    }
}

/// Guards against instances that change their upstream because of the loss of an instance that they
/// did not follow.
#[test]
fn lost_follower_moves_few_others() {
    const FAN_OUT: usize = 16;
    let all = names(100);
    let parents = |names: &[SmolStr]| -> BTreeMap<SmolStr, Option<SmolStr>> {
        let parent = |own: &SmolStr| {
            let others = names.iter().filter(|name| *name != own);
            rendezvous::upstream("reader/a", own, others, FAN_OUT).cloned()
        };
        names.iter().map(|own| (own.clone(), parent(own))).collect()
    };
    let (before, after) = (parents(&all), parents(&all[1..]));
    let moved = after.iter().filter(|(own, parent)| before[*own] != **parent).count();
    // At most one follower of each parent moves up to the preceding parent.
    assert!(moved <= 2 * FAN_OUT, "{moved} of 99 followers moved");
}
