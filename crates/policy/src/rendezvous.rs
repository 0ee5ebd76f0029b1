//! Rendezvous hashing: which names own a key, without agreement among them.
//!
//! Every instance that knows the same names computes the same owner. When a name comes or goes,
//! only the keys that it owns move.

use std::collections::BTreeSet;

use sha2::Digest;
use sha2::Sha256;
use smol_str::SmolStr;
use smol_str::format_smolstr;

/// Weight of a name for a key. It is the same on every instance and in every release.
///
/// The key is preceded by its length, so that no two pairs of key and name share an input.
pub fn weight(key: &str, name: &str) -> u64 {
    let mut hash = Sha256::new();
    hash.update((key.len() as u64).to_be_bytes());
    hash.update(key);
    hash.update(name);
    let digest: [u8; 32] = hash.finalize().into();
    digest.iter().take(8).fold(0, |weight, byte| weight << 8 | u64::from(*byte))
}

/// Ranks the names for a key, the owner first. A name that occurs twice counts once.
pub fn preference_list<'a>(
    key: &str,
    names: impl IntoIterator<Item = &'a SmolStr>,
) -> Vec<SmolStr> {
    let names: BTreeSet<&SmolStr> = names.into_iter().collect();
    let mut ranked: Vec<(u64, &SmolStr)> =
        names.into_iter().map(|name| (weight(key, name), name)).collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, name)| name.clone()).collect()
}

/// The name that owns a key, or `None` without names.
pub fn owner<'a>(key: &str, names: impl IntoIterator<Item = &'a SmolStr>) -> Option<SmolStr> {
    let best = names.into_iter().map(|name| (weight(key, name), name)).max();
    best.map(|(_, name)| name.clone())
}

/// The `n` names of a region that watch the store.
pub fn readers<'a>(
    region: &str,
    names: impl IntoIterator<Item = &'a SmolStr>,
    n: usize,
) -> Vec<SmolStr> {
    let mut ranked = preference_list(&format_smolstr!("reader/{region}"), names);
    ranked.truncate(n);
    ranked
}

/// The instance that `own` hears from, or `None` if it is the first of the rank.
///
/// The rank is read as a tree: the first one has `fan_out` followers, each of which has as many. An
/// instance follows only names of greater weight, so there are no cycles even where instances know
/// different names.
pub fn upstream<'a>(
    key: &str,
    own: &SmolStr,
    others: impl IntoIterator<Item = &'a SmolStr>,
    fan_out: usize,
) -> Option<&'a SmolStr> {
    let own = (weight(key, own), own);
    let others = others.into_iter().map(|name| (weight(key, name), name));
    let mut better: Vec<(u64, &SmolStr)> = others.filter(|other| *other > own).collect();
    better.sort_by(|a, b| b.cmp(a));
    let parent = better.len().checked_sub(1)? / fan_out.max(1);
    better.get(parent).map(|(_, name)| *name)
}
