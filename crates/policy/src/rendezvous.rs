//! Rendezvous hashing: assigns keys to names of instances without coordination.
//!
//! All instances that know the same names compute the same owner of a key. When a name is added or
//! removed, only the keys that it owns move.

use std::collections::BTreeSet;

use sha2::Digest;
use sha2::Sha256;
use smol_str::SmolStr;
use smol_str::format_smolstr;

/// Returns the weight of a name for a key: the same on all instances and in all releases.
///
/// The length of the key is hashed first, so that different pairs of key and name never give the
/// same hash input.
pub fn weight(key: &str, name: &str) -> u64 {
    let mut hash = Sha256::new();
    hash.update((key.len() as u64).to_be_bytes());
    hash.update(key);
    hash.update(name);
    let digest: [u8; 32] = hash.finalize().into();
    digest.iter().take(8).fold(0, |weight, byte| weight << 8 | u64::from(*byte))
}

/// Returns the names by descending weight for a key, the owner first. Duplicate names are removed.
pub fn preference_list<'a>(
    key: &str,
    names: impl IntoIterator<Item = &'a SmolStr>,
) -> Vec<SmolStr> {
    let names: BTreeSet<&SmolStr> = names.into_iter().collect();
    let mut weighted: Vec<(u64, &SmolStr)> =
        names.into_iter().map(|name| (weight(key, name), name)).collect();
    weighted.sort_by(|a, b| b.cmp(a));
    weighted.into_iter().map(|(_, name)| name.clone()).collect()
}

/// Returns the name that owns a key, or `None` if there are no names.
pub fn owner<'a>(key: &str, names: impl IntoIterator<Item = &'a SmolStr>) -> Option<SmolStr> {
    let heaviest = names.into_iter().map(|name| (weight(key, name), name)).max();
    heaviest.map(|(_, name)| name.clone())
}

/// Returns the `n` names of a region that watch the store for the others.
pub fn readers<'a>(
    region: &str,
    names: impl IntoIterator<Item = &'a SmolStr>,
    n: usize,
) -> Vec<SmolStr> {
    let mut readers = preference_list(&format_smolstr!("reader/{region}"), names);
    readers.truncate(n);
    readers
}

/// Returns the instance that `own` gets updates from, or `None` if `own` has the greatest weight.
///
/// The names by descending weight form a tree in which each node has up to `fan_out` children. An
/// instance follows only names of greater weight, so there are no cycles even if instances know
/// different names.
pub fn upstream<'a>(
    key: &str,
    own: &SmolStr,
    others: impl IntoIterator<Item = &'a SmolStr>,
    fan_out: usize,
) -> Option<&'a SmolStr> {
    let own = (weight(key, own), own);
    let others = others.into_iter().map(|name| (weight(key, name), name));
    let mut heavier: Vec<(u64, &SmolStr)> = others.filter(|other| *other > own).collect();
    heavier.sort_by(|a, b| b.cmp(a));
    let parent = heavier.len().checked_sub(1)? / fan_out.max(1);
    heavier.get(parent).map(|(_, name)| *name)
}
