//! Decides which instance grants the tokens of a limited leaf, and grants those that this one owns.
//!
//! All instances that know the same ones rank them alike for a leaf. The first one that was not out of
//! contact lately is the owner.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use jaycrank_policy::rate_limit;
use jaycrank_policy::rate_limit::Bucket;
use jaycrank_policy::rate_limit::Grant;
use jaycrank_policy::rendezvous;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::leaf::LeafKey;

/// Time for which the outcome of a call shows whether a peer is in contact.
const CONTACT_LIFETIME: Duration = Duration::from_millis(2_500);

/// What the last call to a peer showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Contact {
    /// It answered or sent a message.
    Reached,
    /// Its host refused the connection, so that its process has ended.
    Ended,
    /// It did not answer.
    Missed,
}

/// Owners of limited leafs as this instance sees them, and the tokens of those that it owns.
#[derive(Debug, Default)]
pub(crate) struct TokenOwners {
    buckets: BTreeMap<LeafKey, Bucket>,
    contacts: BTreeMap<SocketAddr, (Contact, Instant)>,
    /// Address of this instance.
    own: Option<SocketAddr>,
    /// Known instances, this one included.
    instances: Vec<SocketAddr>,
    /// Instances by descending weight for a leaf.
    rankings: BTreeMap<LeafKey, Vec<SocketAddr>>,
}

impl TokenOwners {
    /// Sets the other known instances and the address of this one.
    pub(crate) fn set_instances(&mut self, mut instances: Vec<SocketAddr>, own: SocketAddr) {
        instances.push(own);
        self.own = Some(own);
        if self.instances != instances {
            self.rankings.clear();
            self.instances = instances;
        }
    }

    /// Records what a call to a peer showed.
    pub(crate) fn record_contact(&mut self, peer: SocketAddr, contact: Contact, now: Instant) {
        self.contacts.insert(peer, (contact, now));
    }

    /// Forgets leafs that `is_limited` does not accept, and contacts that are too long ago.
    pub(crate) fn sweep(&mut self, is_limited: impl Fn(&LeafKey) -> bool, now: Instant) {
        self.buckets.retain(|key, _| is_limited(key));
        self.rankings.retain(|key, _| is_limited(key));
        self.contacts.retain(|_, (_, at)| is_fresh(*at, now));
    }

    /// Returns whether a peer did not answer its last call, which was a short time ago.
    pub(crate) fn has_failed(&self, peer: SocketAddr, now: Instant) -> bool {
        let contact = self.contacts.get(&peer);
        contact.is_some_and(|(contact, at)| *contact != Contact::Reached && is_fresh(*at, now))
    }

    /// Returns whether any peer did not answer lately.
    pub(crate) fn misses_peers(&self, now: Instant) -> bool {
        self.contacts.keys().any(|peer| self.has_failed(*peer, now))
    }

    /// Returns the instance that grants the tokens of a leaf: the first one that has not failed.
    pub(crate) fn owner(&mut self, key: &LeafKey, now: Instant) -> Option<SocketAddr> {
        self.rank(key);
        let ranking = self.rankings.get(key)?;
        ranking.iter().copied().find(|instance| !self.has_failed(*instance, now))
    }

    /// Returns the instance that grants the tokens of a leaf if it is another one.
    pub(crate) fn other_owner(&mut self, key: &LeafKey, now: Instant) -> Option<SocketAddr> {
        self.owner(key, now).filter(|owner| Some(*owner) != self.own)
    }

    /// Puts an instance first in the order of ownership of a leaf.
    pub(crate) fn prefer(&mut self, key: &LeafKey, owner: SocketAddr) {
        self.rank(key);
        if let Some(ranking) = self.rankings.get_mut(key) {
            ranking.retain(|instance| *instance != owner);
            ranking.insert(0, owner);
        }
    }

    /// Grants tokens of a leaf as its owner.
    pub(crate) fn grant(&mut self, key: &LeafKey, wanted: u32, rate: f64, now: Instant) -> Grant {
        let fraction = self.granted_fraction(now);
        self.bucket(key, now).grant(wanted, rate, fraction, now)
    }

    /// Grants tokens of a leaf whose owner is out of reach: the equal share of this instance.
    pub(crate) fn grant_share(
        &mut self,
        key: &LeafKey,
        wanted: u32,
        rate: f64,
        now: Instant,
    ) -> Grant {
        let fraction = 1.0 / self.instances.len().max(1) as f64;
        self.bucket(key, now).grant(wanted, rate, fraction, now)
    }

    fn bucket(&mut self, key: &LeafKey, now: Instant) -> &mut Bucket {
        self.buckets.entry(key.clone()).or_insert_with(|| Bucket::new(now))
    }

    /// Ranks the instances for a leaf unless they are ranked.
    fn rank(&mut self, key: &LeafKey) {
        if self.rankings.contains_key(key) {
            return;
        }
        let names: BTreeMap<SmolStr, SocketAddr> =
            self.instances.iter().map(|address| (format_smolstr!("{address}"), *address)).collect();
        let ranked = rendezvous::preference_list(&format_smolstr!("limit/{}", key.0), names.keys());
        let ranked = ranked.iter().filter_map(|name| names.get(name).copied());
        self.rankings.insert(key.clone(), ranked.collect());
    }

    fn granted_fraction(&self, now: Instant) -> f64 {
        let fresh = self.contacts.values().filter(|(_, at)| is_fresh(*at, now));
        let (mut reached, mut missed) = (0, 0);
        for (contact, _) in fresh {
            reached += usize::from(*contact == Contact::Reached);
            missed += usize::from(*contact == Contact::Missed);
        }
        rate_limit::granted_fraction(reached, missed)
    }
}

fn is_fresh(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < CONTACT_LIFETIME
}
