//! Moving averages of the shares of capacity due to members and received by them.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use smol_str::SmolStr;

use crate::share::Allocation;
use crate::tally::Aggregate;
use crate::tally::Key;

/// Time constant of the exponential moving averages.
const TIME_CONSTANT: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug, Default)]
struct Average {
    /// Total number of answers at the last update.
    answers: u64,
    /// Decaying number of answers due: the rate due, summed over time.
    due: f64,
    /// Decaying number of answers received.
    received: f64,
}

/// Shares of the members in the answers of each service, averaged over a minute.
///
/// Due and received shares are averaged in the same way, so that they are comparable after a flood.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    averages: BTreeMap<Key, Average>,
    updated_at: Option<Instant>,
}

impl Shares {
    /// Creates averages without history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the time and the answers since the last call, with the current allocation of each
    /// service.
    pub fn update(
        &mut self,
        aggregate: &Aggregate,
        allocations: &BTreeMap<SmolStr, Allocation>,
        now: Instant,
    ) {
        let elapsed = self.updated_at.map(|at| now.saturating_duration_since(at).as_secs_f64());
        self.updated_at = Some(now);
        let elapsed_s = elapsed.unwrap_or(0.0);
        let kept = (-elapsed_s / TIME_CONSTANT.as_secs_f64()).exp();
        for key in aggregate.keys() {
            let average = self.averages.entry(key.clone()).or_default();
            let answers = aggregate.total(key).answers();
            let allocation = allocations.get(&key.service);
            let due = allocation
                .and_then(|allocation| allocation.due[key.rank.index()].get(&key.member).copied());
            average.due = average.due * kept + due.unwrap_or(0.0) * elapsed_s;
            // Answers before the first call belong to an unknown period.
            let new = if elapsed.is_some() { answers.saturating_sub(average.answers) } else { 0 };
            average.received = average.received * kept + new as f64;
            average.answers = answers;
        }
    }

    /// Returns the share of the service's answers that was due to the member, from 0 to 1.
    pub fn due(&self, key: &Key) -> f64 {
        self.share(key, |average| average.due)
    }

    /// Returns the share of the service's answers that the member received, from 0 to 1.
    pub fn received(&self, key: &Key) -> f64 {
        self.share(key, |average| average.received)
    }

    fn share(&self, key: &Key, value: impl Fn(&Average) -> f64) -> f64 {
        let averages = self.averages.iter().filter(|(other, _)| other.service == key.service);
        let all: f64 = averages.map(|(_, average)| value(average)).sum();
        let own = self.averages.get(key).map_or(0.0, &value);
        if all > 0.0 { own / all } else { 0.0 }
    }
}
