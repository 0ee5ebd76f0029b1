//! Requests whose connections broke without a sign whether the leaf ended.
//!
//! A leaf may close or reset a connection and go on, so a single loss makes no suspect
//! ([`quarantine`](crate::quarantine)) of a request that may be repeated: it is sent again at once. A
//! request that was lost at two leafs of a service is more likely the cause. One that may run only
//! once is not sent again, so it becomes a suspect at its first loss, unless losses are frequent.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use smol_str::SmolStr;

use crate::quarantine::Fingerprint;

/// Time for which the loss of a request is remembered.
const LOSS_TTL: Duration = Duration::from_secs(60);
/// Most requests remembered; the one lost first is evicted.
const REQUESTS_MAX: usize = 256;
/// Shortest time between two requests that become suspects at their first loss. Each is reported to
/// all instances, and frequent losses are a fault of leafs or of the network.
const FIRST_LOSS_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time between losses that may have one cause.
const SIMULTANEOUS_WINDOW: Duration = Duration::from_secs(1);
/// Most losses kept to find simultaneous ones.
const RECENT_MAX: usize = 32;

/// Requests that were lost at this instance.
#[derive(Debug, Default)]
pub struct Losses {
    first: BTreeMap<(Fingerprint, SmolStr), (SmolStr, Instant)>,
    recent: VecDeque<(Fingerprint, SmolStr, Instant)>,
    /// Time at which a request last became a suspect at its first loss.
    suspected: Option<Instant>,
}

impl Losses {
    /// Records that a request was lost at a leaf of `service`; returns the leafs that make it a
    /// suspect, which are none unless it is one.
    pub fn record(
        &mut self,
        fingerprint: Fingerprint,
        service: &SmolStr,
        leaf: &SmolStr,
        idempotent: bool,
        now: Instant,
    ) -> Vec<SmolStr> {
        self.recent.truncate(RECENT_MAX - 1);
        self.recent.push_front((fingerprint, leaf.clone(), now));
        self.first.retain(|_, (_, at)| now.saturating_duration_since(*at) < LOSS_TTL);
        let key = (fingerprint, service.clone());
        if let Some((first, _)) = self.first.get(&key)
            && first != leaf
        {
            let (first, _) = self.first.remove(&key).unwrap_or_else(|| (leaf.clone(), now));
            return vec![first, leaf.clone()];
        }
        let is_due = self
            .suspected
            .is_none_or(|at| now.saturating_duration_since(at) >= FIRST_LOSS_INTERVAL);
        if !idempotent && is_due {
            self.suspected = Some(now);
            return vec![leaf.clone()];
        }
        if self.first.len() >= REQUESTS_MAX
            && let Some(oldest) = self.first.iter().min_by_key(|(_, (_, at))| *at)
        {
            let oldest = oldest.0.clone();
            self.first.remove(&oldest);
        }
        self.first.entry(key).or_insert_with(|| (leaf.clone(), now));
        Vec::new()
    }

    /// Returns whether another request was lost within the last second at a leaf that is not among
    /// `leafs`, at which this one was in flight. That makes a cause other than this request likely.
    pub fn has_others(
        &self,
        fingerprint: Fingerprint,
        leafs: &BTreeSet<SmolStr>,
        now: Instant,
    ) -> bool {
        self.recent.iter().any(|(other, leaf, at)| {
            *other != fingerprint
                && !leafs.contains(leaf)
                && now.saturating_duration_since(*at) <= SIMULTANEOUS_WINDOW
        })
    }
}
