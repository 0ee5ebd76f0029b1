//! Bounded gossip: how often an instance passes on news, and to how many others.
//!
//! News reaches all instances of a region by pushes to a few random ones, each of which pushes on
//! what it did not know. One instance of each region, its bridge, also pushes what its region has
//! seen to one instance of each other region. The bounds do not depend on the size of the fleet, so a
//! failure that gives all instances news at the same moment can't flood them. What the bounds hold
//! back, and what a bridge that is out of reach misses, reaches the others by regular exchanges.

use std::collections::BTreeMap;
use std::hash::BuildHasher;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::RngExt;
use rand::seq::IteratorRandom;
use smol_str::SmolStr;

/// Number of instances of the own region that a push goes to. With four, news reaches 98% of a
/// region by pushes alone.
const PUSH_PEERS: usize = 4;
/// Most observations of one push.
pub const PUSH_MAX: usize = 16;
/// Most observations of one message of a regular exchange.
pub const EXCHANGE_MAX: usize = 32;
/// Most refusals of one message to another region.
pub const CROSSING_REFUSALS_MAX: usize = 16;
/// Most other observations of one message to another region, where bytes are expensive. A suspect
/// that matters is refused within a second.
pub const CROSSING_SUSPECTS_MAX: usize = 3;

/// Number of peers of a regular exchange. With two, an instance that missed a push gets it within
/// 5 s with a probability of over 99.99%.
const EXCHANGE_PEERS: usize = 2;
/// Regular exchanges with other regions by all instances of a region together, as a fraction of the
/// rounds.
const CROSSING_ROUNDS: f64 = 0.5;
/// Most instances of another region that a push is sent to until one answers.
const CROSSING_ATTEMPTS: usize = 3;
/// Most messages of pushes within the own region at once. With a burst of four pushes, two requests
/// that crash leafs at three instances could crash ten of them before all instances knew.
const PUSH_MESSAGES_BURST: f64 = 32.0;
/// Messages of pushes a second within the own region.
const PUSH_MESSAGES_PER_S: f64 = 16.0;
/// Pushes a second of a bridge to other regions while there are refusals to tell.
const REFUSAL_CROSSINGS_PER_S: f64 = 4.0;
/// Pushes a second of a bridge to other regions otherwise.
const CROSSINGS_PER_S: f64 = 1.0;

/// Token bucket in time.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    burst: f64,
    per_s: f64,
    filled_at: Instant,
}

impl Bucket {
    fn new(burst: f64, per_s: f64, now: Instant) -> Self {
        Self { tokens: burst, burst, per_s, filled_at: now }
    }

    fn fill(&mut self, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * self.per_s).min(self.burst);
        self.filled_at = now;
    }

    fn try_take(&mut self, count: f64, now: Instant) -> bool {
        self.fill(now);
        let granted = self.tokens >= count;
        if granted {
            self.tokens -= count;
        }
        granted
    }

    fn wait(&self, count: f64, now: Instant) -> Duration {
        let elapsed_s = now.saturating_duration_since(self.filled_at).as_secs_f64();
        let missing = count - self.tokens - elapsed_s * self.per_s;
        Duration::from_secs_f64((missing / self.per_s).max(0.0))
    }
}

/// Bounds on the pushes of one instance.
#[derive(Clone, Debug)]
pub struct Pacer {
    pushes: Bucket,
    crossings: Bucket,
    refusal_crossings: Bucket,
}

impl Pacer {
    /// Creates the bounds of an instance that has not pushed anything yet.
    pub fn new(now: Instant) -> Self {
        Self {
            pushes: Bucket::new(PUSH_MESSAGES_BURST, PUSH_MESSAGES_PER_S, now),
            crossings: Bucket::new(1.0, CROSSINGS_PER_S, now),
            refusal_crossings: Bucket::new(1.0, REFUSAL_CROSSINGS_PER_S, now),
        }
    }

    /// Takes a push to `targets` instances of the own region; returns whether it is allowed now.
    pub fn try_push(&mut self, targets: usize, now: Instant) -> bool {
        self.pushes.try_take(targets.min(PUSH_PEERS) as f64, now)
    }

    /// Takes a push to each other region, with refusals or without; returns whether it is allowed now.
    pub fn try_cross(&mut self, with_refusals: bool, now: Instant) -> bool {
        let bucket = if with_refusals { &mut self.refusal_crossings } else { &mut self.crossings };
        bucket.try_take(1.0, now)
    }

    /// Returns the time until a push to `targets` instances of the own region is allowed.
    pub fn push_wait(&self, targets: usize, now: Instant) -> Duration {
        self.pushes.wait(targets.min(PUSH_PEERS) as f64, now)
    }

    /// Returns the time until a push to other regions, with refusals or without, is allowed.
    pub fn crossing_wait(&self, with_refusals: bool, now: Instant) -> Duration {
        let bucket = if with_refusals { &self.refusal_crossings } else { &self.crossings };
        bucket.wait(1.0, now)
    }
}

/// Other instances, by their region.
#[derive(Clone, Debug, Default)]
pub struct Regions<A> {
    /// Instances of the own region.
    pub own: Vec<A>,
    /// Instances of each other region.
    pub others: BTreeMap<SmolStr, Vec<A>>,
}

impl<A: Copy + Ord + Hash> Regions<A> {
    /// Returns the bridge of the own region, of which `this` is this instance: all of its instances
    /// that know each other choose the same one, by a hash that is the same in all processes.
    pub fn bridge(&self, this: A) -> A {
        let rank = |instance: &A| {
            (BuildHasherDefault::<DefaultHasher>::default().hash_one(instance), *instance)
        };
        self.own.iter().copied().chain([this]).min_by_key(rank).unwrap_or(this)
    }

    /// Chooses the instances of the own region that a push goes to; the bridge is always among them.
    pub fn push_targets(&self, this: A, rng: &mut impl Rng) -> Vec<A> {
        let mut targets = self.own.iter().copied().sample(rng, PUSH_PEERS);
        let bridge = self.bridge(this);
        if bridge != this && !targets.contains(&bridge) {
            targets.truncate(PUSH_PEERS - 1);
            targets.push(bridge);
        }
        targets
    }

    /// Chooses the instances that a push to other regions goes to: for each region one, and others to
    /// try if it fails.
    pub fn crossing_targets(&self, rng: &mut impl Rng) -> Vec<Vec<A>> {
        let sample = |peers: &Vec<A>| peers.iter().copied().sample(rng, CROSSING_ATTEMPTS);
        self.others.values().map(sample).collect()
    }

    /// Chooses the instances of a regular exchange, and of those of other regions at most one. All
    /// instances of the region together cross in a fraction of the rounds.
    pub fn exchange_targets(&self, rng: &mut impl Rng) -> (Vec<A>, Option<A>) {
        let crosses = rng.random_bool(CROSSING_ROUNDS / (self.own.len() + 1) as f64);
        let mut near = self.own.iter().copied().sample(rng, EXCHANGE_PEERS);
        if !crosses && !near.is_empty() {
            return (near, None);
        }
        near.truncate(EXCHANGE_PEERS - 1);
        (near, self.others.values().flatten().copied().choose(rng))
    }
}
