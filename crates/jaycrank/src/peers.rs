//! The instance's part of the exchange with peers: heartbeat sections, requests of peers, and
//! reports of possible leaf crashes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::Weak;

use async_trait::async_trait;
use jaycrank_backend::leaf::Observer;
use jaycrank_instance::Handler;
use jaycrank_instance::Identity;
use jaycrank_instance::Sections;
use jaycrank_instance::wire::Blob;
use jaycrank_instance::wire::Claim;
use jaycrank_instance::wire::Forward;
use jaycrank_instance::wire::Outcome;
use jaycrank_policy::quarantine::Quarantine;
use jaycrank_policy::share::Demand;
use jaycrank_settings::Rank;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::admissions;
use crate::node::Parts;

/// HTTP status of the reply to a request that was not run here because another instance owns it.
pub const MISDIRECTED: u16 = 421;

/// Significant digits of the demand in heartbeats. At full precision every entry would change with
/// every heartbeat. The rounding error is at most 0.5 %, less than the usual variation of demand.
const DEMAND_DIGITS: i32 = 3;

/// Lowest demand in heartbeats. Demand decays exponentially, so the demand of an idle member would
/// keep changing for minutes.
const DEMAND_MIN_PER_S: f64 = 0.01;

/// Age below which an observation is sent with its exact age, because the quarantine decides by the
/// order of crashes. Higher ages are rounded up to a multiple of it, so that they change rarely.
const AGE_ROUNDING_MS: u64 = 15_000;

/// Fills this instance's sections of heartbeats and keeps those of the peers.
pub struct Peers {
    quarantine: Arc<Quarantine>,
    parts: OnceLock<Weak<Parts>>,
    sections: Mutex<BTreeMap<SmolStr, Sections>>,
}

impl Peers {
    /// Creates the handler without the rest of the instance, which is set later.
    pub fn new(quarantine: Arc<Quarantine>) -> Self {
        Self { quarantine, parts: OnceLock::new(), sections: Mutex::default() }
    }

    /// Sets the parts of the instance. The reference is weak because the parts own the exchange,
    /// which owns this handler.
    pub fn set_parts(&self, parts: Weak<Parts>) {
        // A second call has no effect; the instance calls this once.
        let _ = self.parts.set(parts);
    }

    /// Returns the demand at a peer for a service, as of its last heartbeat.
    pub fn demand(&self, peer: &str, service: &str) -> Demand {
        let sections = self.sections();
        let demand = sections.get(peer).and_then(|sections| sections.demand.get(service));
        demand.map(admissions::to_demand).unwrap_or_default()
    }

    fn parts(&self) -> Option<Arc<Parts>> {
        self.parts.get().and_then(Weak::upgrade)
    }

    /// Returns the last sections received from each peer, by name of the peer.
    pub fn sections(&self) -> MutexGuard<'_, BTreeMap<SmolStr, Sections>> {
        self.sections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl Handler for Peers {
    fn fill_sections(&self, sections: &mut Sections) {
        let Some(parts) = self.parts() else { return };
        let now = Instant::now().into_std();
        sections.epochs = parts.claims.epochs();
        sections.suspected = self.quarantine.observations(now);
        for observation in sections.suspected.values_mut() {
            observation.age_ms = round_up_age(observation.age_ms);
        }
        for (service, demand) in parts.admissions.counters().demand(now) {
            let by_rank =
                Rank::ALL.into_iter().zip(demand).filter(|(_, members)| !members.is_empty());
            let rates = |members: BTreeMap<SmolStr, f64>| {
                let members = members.into_iter().filter(|(_, rate)| *rate >= DEMAND_MIN_PER_S);
                members.map(|(member, rate)| (member, round_demand(rate))).collect()
            };
            let by_rank = by_rank.map(|(rank, members)| (rank, rates(members))).collect();
            sections.demand.insert(service, by_rank);
        }
    }

    fn handle_sections(&self, from: &Identity, mut sections: Sections) {
        let now = Instant::now().into_std();
        self.quarantine.merge(std::mem::take(&mut sections.suspected), now);
        self.sections().insert(from.name.clone(), sections);
    }

    async fn claim(&self, claim: Claim) -> Outcome {
        match self.parts() {
            Some(parts) => parts.claims.serve(claim).await,
            None => misdirected(),
        }
    }

    async fn forward(&self, _forward: Forward) -> Outcome {
        // No instance forwards queries to another cell yet, so every forward is misdirected.
        misdirected()
    }
}

/// Reports possible crashes of leafs to the quarantine: connections that broke with sub-requests in
/// flight.
pub struct CrashObserver {
    quarantine: Arc<Quarantine>,
}

impl CrashObserver {
    /// Creates an observer that reports to `quarantine`.
    pub fn new(quarantine: Arc<Quarantine>) -> Self {
        Self { quarantine }
    }
}

impl Observer for CrashObserver {
    fn connection_broken(&self, leaf: &str, fingerprints: &[u64]) {
        let isolated =
            self.quarantine.isolated().filter(|fingerprint| fingerprints.contains(fingerprint));
        let now = Instant::now().into_std();
        self.quarantine.record_incident(&leaf.into(), fingerprints, isolated, now);
    }
}

/// Rounds demand for heartbeats to three significant digits.
pub fn round_demand(rate: f64) -> f32 {
    let unit = 10f64.powi(rate.log10().floor() as i32 + 1 - DEMAND_DIGITS);
    ((rate / unit).round() * unit) as f32
}

/// Rounds the age of an observation up for heartbeats. If it were rounded down, two instances would
/// keep an observation alive by reporting it to each other as younger than it is.
pub fn round_up_age(age_ms: u64) -> u64 {
    if age_ms < AGE_ROUNDING_MS { age_ms } else { age_ms.next_multiple_of(AGE_ROUNDING_MS) }
}

/// Returns the reply to a request that was not run here because another instance owns it.
pub fn misdirected() -> Outcome {
    Outcome { status: MISDIRECTED, body: Blob::default() }
}
