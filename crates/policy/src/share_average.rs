//! Shares due to members and received by them, over the same recent time.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use smol_str::SmolStr;

use crate::share::Allocation;
use crate::tally::Key;
use crate::tally::Ledger;

/// Time over which shares are averaged.
const WINDOW: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    answers: u64,
    due: f64,
    received: f64,
}

/// Shares of members in the answers of a service, averaged over a minute.
///
/// Due and received are averaged in the same way, so that they can be compared after a flood.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    parts: BTreeMap<Key, Part>,
    updated: Option<Instant>,
}

impl Shares {
    /// Creates shares without history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Accounts for the time since the last call, with the current allocation of each service.
    pub fn update(
        &mut self,
        ledger: &Ledger,
        allocations: &BTreeMap<SmolStr, Allocation>,
        now: Instant,
    ) {
        let past = self.updated.map(|at| now.saturating_duration_since(at).as_secs_f64());
        self.updated = Some(now);
        let past_s = past.unwrap_or(0.0);
        let kept = (-past_s / WINDOW.as_secs_f64()).exp();
        for key in ledger.keys() {
            let part = self.parts.entry(key.clone()).or_default();
            let answers = ledger.total(key).answers();
            let allocation = allocations.get(&key.service);
            let due = allocation
                .and_then(|allocation| allocation.due[key.rank.index()].get(&key.member).copied());
            part.due = part.due * kept + due.unwrap_or(0.0) * past_s;
            // The answers before the first call belong to no known time.
            let new = if past.is_some() { answers.saturating_sub(part.answers) } else { 0 };
            part.received = part.received * kept + new as f64;
            part.answers = answers;
        }
    }

    /// Share of the service's answers that was due to the member, 0 to 1.
    pub fn due(&self, key: &Key) -> f64 {
        self.share(key, |part| part.due)
    }

    /// Share of the service's answers that the member received, 0 to 1.
    pub fn received(&self, key: &Key) -> f64 {
        self.share(key, |part| part.received)
    }

    fn share(&self, key: &Key, value: impl Fn(&Part) -> f64) -> f64 {
        let parts = self.parts.iter().filter(|(other, _)| other.service == key.service);
        let all: f64 = parts.map(|(_, part)| value(part)).sum();
        let own = self.parts.get(key).map_or(0.0, &value);
        if all > 0.0 { own / all } else { 0.0 }
    }
}
