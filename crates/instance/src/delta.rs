//! Delta encoding of the sections of successive heartbeats.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jaycrank_settings::Rank;
use smol_str::SmolStr;

use crate::wire::ByMember;
use crate::wire::Patch;
use crate::wire::Sections;

/// Returns the changes that turn `old` into `new`.
pub fn diff(old: &Sections, new: &Sections) -> Patch {
    Patch {
        demand: diff_members(&old.demand, &new.demand),
        suspected: diff_map(&old.suspected, &new.suspected),
        epochs: diff_map(&old.epochs, &new.epochs),
    }
}

/// Applies the changes of a patch to `sections`.
pub fn apply(sections: &mut Sections, patch: Patch) {
    apply_members(&mut sections.demand, patch.demand);
    apply_map(&mut sections.suspected, patch.suspected);
    apply_map(&mut sections.epochs, patch.epochs);
}

fn diff_map<K: Ord + Clone, V: Clone + PartialEq>(
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
) -> BTreeMap<K, Option<V>> {
    let removed = old.keys().filter(|key| !new.contains_key(*key)).map(|key| (key.clone(), None));
    let changed = new.iter().filter(|(key, value)| old.get(*key) != Some(*value));
    removed.chain(changed.map(|(key, value)| (key.clone(), Some(value.clone())))).collect()
}

fn diff_members<T: Clone + PartialEq>(old: &ByMember<T>, new: &ByMember<T>) -> ByMember<Option<T>> {
    let empty = BTreeMap::new();
    let mut patch: ByMember<Option<T>> = BTreeMap::new();
    let services: BTreeSet<&SmolStr> = old.keys().chain(new.keys()).collect();
    for service in services {
        for rank in Rank::ALL {
            let members =
                |map: &ByMember<T>| map.get(service).and_then(|ranks| ranks.get(&rank)).cloned();
            let (before, after) = (members(old), members(new));
            let changes =
                diff_map(before.as_ref().unwrap_or(&empty), after.as_ref().unwrap_or(&empty));
            if !changes.is_empty() {
                patch.entry(service.clone()).or_default().insert(rank, changes);
            }
        }
    }
    patch
}

fn apply_map<K: Ord, V>(map: &mut BTreeMap<K, V>, patch: BTreeMap<K, Option<V>>) {
    for (key, value) in patch {
        match value {
            Some(value) => map.insert(key, value),
            None => map.remove(&key),
        };
    }
}

fn apply_members<T>(map: &mut ByMember<T>, patch: ByMember<Option<T>>) {
    for (service, ranks) in patch {
        let by_rank = map.entry(service.clone()).or_default();
        for (rank, members) in ranks {
            apply_map(by_rank.entry(rank).or_default(), members);
        }
        by_rank.retain(|_, members| !members.is_empty());
        if by_rank.is_empty() {
            map.remove(&service);
        }
    }
}
