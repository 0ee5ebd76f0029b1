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
/// Shortest time between two requests that become suspects at their first loss, at one of up to
/// [`FIRST_LOSS_INSTANCES`] instances; with more instances it grows with their number. Each is
/// reported to all instances, and frequent losses are a fault of leafs or of the network.
const FIRST_LOSS_INTERVAL: Duration = Duration::from_secs(1);
/// Number of instances up to which each may have a suspect in each [`FIRST_LOSS_INTERVAL`].
const FIRST_LOSS_INSTANCES: usize = 8;
/// Longest time between losses that may have one cause.
const SIMULTANEOUS_WINDOW: Duration = Duration::from_secs(1);
/// Most losses kept to find simultaneous ones.
const RECENT_MAX: usize = 256;
/// Time constant of the share of requests that are lost, in seconds.
const SHARE_TIME_S: f64 = 2.0;
/// Share of lost requests from which a request that is lost twice is no suspect: then chance
/// explains it, as a query goes to many leafs.
const MASS_LOSS_SHARE: f64 = 0.1;
/// Fewest requests to leafs from which the share of lost ones is known.
const SHARE_REQUESTS_MIN: f64 = 20.0;

/// Requests to leafs that were answered and lost, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    answered: f64,
    lost: f64,
    at: Option<Instant>,
}

impl Share {
    fn decay(&mut self, now: Instant) {
        if let Some(at) = self.at {
            let age_s = now.saturating_duration_since(at).as_secs_f64();
            let kept = (-age_s / SHARE_TIME_S).exp();
            self.answered *= kept;
            self.lost *= kept;
        }
        self.at = Some(now);
    }
}

/// Requests that were lost at this instance.
#[derive(Debug, Default)]
pub struct Losses {
    first: BTreeMap<(Fingerprint, SmolStr), (SmolStr, Instant)>,
    recent: VecDeque<(Fingerprint, SmolStr, Instant)>,
    share: Share,
    /// Number of instances; zero until it is known.
    instances: usize,
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
        self.share.decay(now);
        self.share.lost += 1.0;
        self.recent.truncate(RECENT_MAX - 1);
        self.recent.push_front((fingerprint, leaf.clone(), now));
        self.first.retain(|_, (_, at)| now.saturating_duration_since(*at) < LOSS_TTL);
        let key = (fingerprint, service.clone());
        if let Some((first, _)) = self.first.get(&key)
            && first != leaf
        {
            if self.is_mass_loss(fingerprint, now) {
                return Vec::new();
            }
            let (first, _) = self.first.remove(&key).unwrap_or_else(|| (leaf.clone(), now));
            return vec![first, leaf.clone()];
        }
        let is_due = self
            .suspected
            .is_none_or(|at| now.saturating_duration_since(at) >= self.first_loss_interval());
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

    /// Sets the number of instances, which share the bound on suspects.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances;
    }

    fn first_loss_interval(&self) -> Duration {
        let ratio = self.instances as f64 / FIRST_LOSS_INSTANCES as f64;
        FIRST_LOSS_INTERVAL.mul_f64(ratio.max(1.0))
    }

    /// Records that a leaf answered a request.
    pub fn record_answer(&mut self, now: Instant) {
        self.share.decay(now);
        self.share.answered += 1.0;
    }

    /// Returns whether so many of the other requests are lost that chance explains two losses of one.
    fn is_mass_loss(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        let own = self.recent.iter().filter(|(other, _, _)| *other == fingerprint);
        let weight =
            |at: &Instant| (-now.saturating_duration_since(*at).as_secs_f64() / SHARE_TIME_S).exp();
        let lost = self.share.lost - own.map(|(_, _, at)| weight(at)).sum::<f64>();
        let requests = lost + self.share.answered;
        requests >= SHARE_REQUESTS_MIN && lost >= requests * MASS_LOSS_SHARE
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
