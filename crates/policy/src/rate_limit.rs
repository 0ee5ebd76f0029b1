//! Limit on the requests a second that a leaf takes from all instances together.
//!
//! A leaf that needs relief states its limit in its answers. For each such leaf one instance, the
//! owner, grants tokens from a [`Bucket`]; every instance, the owner included, sends a request only
//! with a token from its [`Allowance`]. Tokens lapse soon, so that arrivals stay close to grants.
//! Tokens are granted on demand, and so a limit of fewer requests a second than there are instances
//! can be used up without being exceeded. [`granted_fraction`] bounds the sum if instances lose
//! contact and several become owners.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Time for which a granted token may be used.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(300);
/// Time for which a stated limit holds without another answer of the leaf.
pub const STATEMENT_LIFETIME: Duration = Duration::from_secs(30);
/// Fraction of a limit that is granted; the rest covers tokens that are used late.
const GRANTED_FRACTION: f64 = 0.95;
/// Grants that a bucket saves up, in seconds of its rate.
const BURST_S: f64 = 0.2;
/// Smallest number of grants that a bucket saves up. The part above one lets the next token grow
/// while the last one waits for a request.
const BURST_MIN: f64 = 1.5;
/// Smallest rate that is granted, in requests a second. A leaf that states no requests at all is
/// still asked now and then: only an answer shows that its limit has changed.
const RATE_MIN: f64 = 0.1;
/// Greatest rate, in requests a second, to which stated limits are cut.
const RATE_MAX: f64 = 1e6;
/// Time constant of the average demand, in seconds.
const DEMAND_TIME_S: f64 = 0.5;
/// Demand for which tokens are asked in advance, in seconds.
const PREFETCH_S: f64 = 0.15;

/// Parses a limit in requests a second. Returns `None` for what is not a number of at least zero.
///
/// ```
/// use jaycrank_policy::rate_limit::parse;
///
/// assert_eq!(parse("2.5"), Some(2.5));
/// assert_eq!(parse("-1"), None);
/// ```
pub fn parse(text: &str) -> Option<f64> {
    let rate: f64 = text.trim().parse().ok()?;
    (rate.is_finite() && rate >= 0.0).then(|| rate.min(RATE_MAX))
}

/// What the last answer of a leaf says about its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// Limit in requests a second; `None` if the answer names none.
    pub rate: Option<f64>,
    /// When the answer arrived.
    pub observed: Instant,
}

impl Statement {
    /// Returns the limit that holds now.
    pub fn rate_at(&self, now: Instant) -> Option<f64> {
        self.rate.filter(|_| !self.is_expired(now))
    }

    /// Returns whether no instance has received an answer for so long that nothing is known.
    pub fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.observed) >= STATEMENT_LIFETIME
    }
}

/// Tokens of one leaf, as its owner grants them.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    tokens: f64,
    updated: Instant,
}

/// Reply of an owner to an instance that asks for tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    /// Number of tokens.
    pub tokens: u32,
    /// Time until the owner expects to have another token.
    pub next: Duration,
}

impl Grant {
    /// No token; the owner may be asked again at once.
    pub const NONE: Self = Self { tokens: 0, next: Duration::ZERO };
}

impl Bucket {
    /// Creates an empty bucket. An instance that becomes the owner does not know what the previous
    /// owner has granted.
    pub fn new(now: Instant) -> Self {
        Self { tokens: 0.0, updated: now }
    }

    /// Grants up to `wanted` tokens at `fraction` of a limit of `rate` requests a second.
    pub fn grant(&mut self, wanted: u32, rate: f64, fraction: f64, now: Instant) -> Grant {
        let rate = (rate.max(RATE_MIN) * GRANTED_FRACTION * fraction).min(RATE_MAX);
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = now;
        let burst_min = if fraction < 1.0 { 1.0 } else { BURST_MIN };
        self.tokens = (self.tokens + elapsed * rate).min((rate * BURST_S).max(burst_min));
        let tokens = (self.tokens.floor() as u32).min(wanted);
        self.tokens -= f64::from(tokens);
        let missing = (1.0 - self.tokens).max(0.0);
        Grant { tokens, next: Duration::from_secs_f64(missing / rate) }
    }
}

/// Returns the fraction of a limit that an instance may grant as owner, by the number of other
/// instances that it reached and did not reach lately.
///
/// An instance in contact with a majority may be the only owner. Without one, another owner may
/// grant the whole limit, so this one grants little: the square of the part of the fleet that it
/// reaches.
pub fn granted_fraction(reached: usize, missed: usize) -> f64 {
    let fraction = (reached + 1) as f64 / (reached + missed + 1) as f64;
    if fraction > 0.5 { 1.0 } else { fraction * fraction }
}

/// Permission to send one request to a leaf.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Permit {
    /// When the token lapses; `None` if the leaf had no limit.
    lapses: Option<Instant>,
}

impl Permit {
    /// Permission to send a request to a leaf without a limit.
    pub const UNLIMITED: Self = Self { lapses: None };

    /// Returns whether a request may still be sent to a leaf that has a limit.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.lapses.is_some_and(|lapses| now < lapses)
    }
}

/// Tokens that one instance holds for a leaf, and its demand for more.
#[derive(Debug, Default)]
pub struct Allowance {
    statement: Option<Statement>,
    /// Tokens with the time at which they lapse, the first one first.
    tokens: VecDeque<(Instant, u32)>,
    /// Requests a second that would be sent to the leaf, as an average.
    demand: f64,
    demand_updated: Option<Instant>,
    /// Time before which the owner has no token.
    denied_until: Option<Instant>,
    /// Time until which a reply of the owner is awaited.
    asked_until: Option<Instant>,
    /// Number of requests that wait for a token, by rank.
    waiting: BTreeMap<u8, u32>,
}

impl Allowance {
    /// Records what an answer says; returns the limit before it if the limit changes. An older
    /// statement than the known one is ignored.
    pub fn observe(&mut self, statement: Statement, now: Instant) -> Option<Option<f64>> {
        if self.statement.is_some_and(|known| known.observed >= statement.observed) {
            return None;
        }
        let before = self.rate(now);
        self.statement = Some(statement);
        let after = self.rate(now);
        if after.is_none() {
            self.tokens.clear();
            self.denied_until = None;
        }
        (before != after).then_some(before)
    }

    /// Returns the last statement of the leaf.
    pub fn statement(&self) -> Option<Statement> {
        self.statement
    }

    /// Returns the limit that holds now.
    pub fn rate(&self, now: Instant) -> Option<f64> {
        self.statement.and_then(|statement| statement.rate_at(now))
    }

    /// Takes permission to send a request of this rank, 0 the most urgent. Returns `None` if there
    /// is no token, or if a more urgent request waits for one.
    pub fn try_acquire(&mut self, rank: u8, now: Instant) -> Option<Permit> {
        if self.rate(now).is_none() {
            return Some(Permit::UNLIMITED);
        }
        if self.waiting.range(..rank).next().is_some() {
            return None;
        }
        self.drop_lapsed(now);
        let (lapses, count) = self.tokens.front_mut()?;
        let permit = Permit { lapses: Some(*lapses) };
        *count -= 1;
        if *count == 0 {
            self.tokens.pop_front();
        }
        Some(permit)
    }

    /// Counts a request that the leaf would get, whether or not there is a token for it.
    pub fn record_demand(&mut self, now: Instant) {
        self.decay_demand(now);
        self.demand += 1.0 / DEMAND_TIME_S;
    }

    /// Counts a request as waiting for a token until [`stop_waiting`](Self::stop_waiting).
    pub fn start_waiting(&mut self, rank: u8) {
        *self.waiting.entry(rank).or_default() += 1;
    }

    /// Ends the waiting of a request.
    pub fn stop_waiting(&mut self, rank: u8) {
        if let Some(count) = self.waiting.get_mut(&rank) {
            *count -= 1;
            if *count == 0 {
                self.waiting.remove(&rank);
            }
        }
    }

    /// Returns the number of tokens to ask the owner for: one for each waiting request, and those
    /// that the demand of the near future needs.
    pub fn wanted(&mut self, now: Instant) -> u32 {
        let is_denied = self.denied_until.is_some_and(|until| now < until);
        if self.rate(now).is_none() || is_denied || self.is_asked(now) {
            return 0;
        }
        self.decay_demand(now);
        self.drop_lapsed(now);
        let waiting: u32 = self.waiting.values().sum();
        let ahead = (self.demand * PREFETCH_S).floor() as u32;
        waiting.max(ahead).saturating_sub(self.tokens())
    }

    /// Records that the owner was asked, and when its reply counts as lost.
    pub fn mark_asked(&mut self, until: Instant) {
        self.asked_until = Some(until);
    }

    /// Returns whether the owner was asked and its reply may still come.
    pub fn is_asked(&self, now: Instant) -> bool {
        self.asked_until.is_some_and(|until| now < until)
    }

    /// Returns when the owner may be asked again for the requests that wait; `None` if none waits.
    pub fn next_ask(&self) -> Option<Instant> {
        if self.waiting.is_empty() {
            return None;
        }
        self.denied_until.max(self.asked_until)
    }

    /// Adds tokens that the owner granted.
    pub fn add(&mut self, grant: Grant, wanted: u32, now: Instant) {
        self.asked_until = None;
        if grant.tokens > 0 {
            self.tokens.push_back((now + TOKEN_LIFETIME, grant.tokens));
        }
        self.denied_until = (grant.tokens < wanted).then(|| now + grant.next);
    }

    /// Returns the number of tokens, lapsed ones included.
    pub fn tokens(&self) -> u32 {
        self.tokens.iter().map(|(_, count)| count).sum()
    }

    /// Returns the time until a request may get a token, zero if there is one now or the owner has
    /// not denied one.
    pub fn wait(&self, now: Instant) -> Duration {
        let has_token = self.tokens.iter().any(|(lapses, _)| now < *lapses);
        match self.denied_until {
            Some(until) if !has_token && self.rate(now).is_some() => {
                until.saturating_duration_since(now)
            }
            _ => Duration::ZERO,
        }
    }

    fn drop_lapsed(&mut self, now: Instant) {
        while self.tokens.front().is_some_and(|(lapses, _)| *lapses <= now) {
            self.tokens.pop_front();
        }
    }

    fn decay_demand(&mut self, now: Instant) {
        if let Some(updated) = self.demand_updated {
            let elapsed = now.saturating_duration_since(updated).as_secs_f64();
            self.demand *= (-elapsed / DEMAND_TIME_S).exp();
        }
        self.demand_updated = Some(now);
    }
}
