//! What an instance tells its peers and takes from them.

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

/// Status of a reply that says: nothing was done here, ask another instance.
pub const MISDIRECTED: u16 = 421;

/// Significant digits of the demand in heartbeats. With all digits every heartbeat would change
/// every entry; half a percent is less than the demand varies anyway.
const DEMAND_DIGITS: i32 = 3;

/// Lowest demand in heartbeats, in queries a second. Demand fades exponentially, so an idle
/// member's would change for minutes.
const DEMAND_MIN: f64 = 0.01;

/// Age of an observation, in milliseconds, up to which it is sent to the millisecond: conclusions
/// from crashes depend on which came first. Older ones change once in this time.
const AGE_ROUNDING_MS: u64 = 15_000;

/// Fills the node's parts of heartbeats and keeps those of the peers.
pub struct Peers {
    quarantine: Arc<Quarantine>,
    parts: OnceLock<Weak<Parts>>,
    sections: Mutex<BTreeMap<SmolStr, Sections>>,
}

impl Peers {
    /// Creates the border before the rest of the node exists.
    pub fn new(quarantine: Arc<Quarantine>) -> Self {
        Self { quarantine, parts: OnceLock::new(), sections: Mutex::default() }
    }

    /// Connects the rest of the node. Weak, because its exchange owns this.
    pub fn set_parts(&self, parts: Weak<Parts>) {
        // A second call has no effect; the node connects once.
        let _ = self.parts.set(parts);
    }

    /// Demand at a peer for a service, as of its last heartbeat.
    pub fn demand(&self, peer: &str, service: &str) -> Demand {
        let sections = self.sections();
        let demand = sections.get(peer).and_then(|sections| sections.demand.get(service));
        demand.map(admissions::to_demand).unwrap_or_default()
    }

    fn parts(&self) -> Option<Arc<Parts>> {
        self.parts.get().and_then(Weak::upgrade)
    }

    /// Last parts received from each of the named peers.
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
                let members = members.into_iter().filter(|(_, rate)| *rate >= DEMAND_MIN);
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
        // With one cell there is no hop; an instance of another cell is never asked.
        misdirected()
    }
}

/// Reports connections that broke with sub-requests in flight to the quarantine.
pub struct Incidents {
    quarantine: Arc<Quarantine>,
}

impl Incidents {
    /// Creates the receiver of a fleet's incidents.
    pub fn new(quarantine: Arc<Quarantine>) -> Self {
        Self { quarantine }
    }
}

impl Observer for Incidents {
    fn connection_broken(&self, leaf: &str, fingerprints: &[u64]) {
        let isolated = self.quarantine.isolated().filter(|one| fingerprints.contains(one));
        let now = Instant::now().into_std();
        self.quarantine.record_incident(&leaf.into(), fingerprints, isolated, now);
    }
}

/// Rounds demand for heartbeats to a few significant digits.
pub fn round_demand(rate: f64) -> f32 {
    let unit = 10f64.powi(rate.log10().floor() as i32 + 1 - DEMAND_DIGITS);
    ((rate / unit).round() * unit) as f32
}

/// Rounds the age of an observation up for heartbeats. Rounded down, two instances would keep an
/// observation alive by telling each other that it is younger than it is.
pub fn round_up_age(age_ms: u64) -> u64 {
    if age_ms < AGE_ROUNDING_MS { age_ms } else { age_ms.next_multiple_of(AGE_ROUNDING_MS) }
}

/// Reply that says: nothing was done here.
pub fn misdirected() -> Outcome {
    Outcome { status: MISDIRECTED, body: Blob::default() }
}
