//! Fair allocation of a service's capacity over all instances of a cell.
//!
//! Each instance computes the allocation itself, from the demand that all instances exchange. The
//! result depends on the input only, so no coordinator is needed.

use std::collections::BTreeMap;

use jaycrank_settings::Rank;
use jaycrank_settings::Service;
use smol_str::SmolStr;

use crate::admission::Weights;

/// Fraction of an even share that an instance keeps without demand, so that its first queries don't
/// wait for the next allocation.
const IDLE_FRACTION: f64 = 0.1;

/// Queries per second offered at one instance, by rank and member.
pub type Demand = [BTreeMap<SmolStr, f64>; 3];

/// Input of an allocation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Input {
    /// Fraction of the capacity that each rank is guaranteed, most urgent first.
    pub floors: [f64; 3],
    /// Weights of members; 1 for a member that is not listed.
    pub weights: BTreeMap<SmolStr, f64>,
    /// Queries per second that the service completes at saturation; 0 if unknown.
    pub capacity: f64,
    /// Demand at each live instance.
    pub demand: BTreeMap<SmolStr, Demand>,
}

impl Input {
    /// Creates an input with the floors of a service and without demand.
    pub fn new(service: &Service, weights: BTreeMap<SmolStr, f64>, capacity: f64) -> Self {
        let floors = Rank::ALL.map(|rank| service.floor(rank));
        Self { floors, weights, capacity, demand: BTreeMap::new() }
    }

    /// Adds a live instance and its demand.
    pub fn with_instance(mut self, name: impl Into<SmolStr>, demand: Demand) -> Self {
        self.demand.insert(name.into(), demand);
        self
    }
}

/// Allocation of a service's capacity.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Allocation {
    /// Fraction of the service's capacity for each instance; the sum is 1.
    pub fractions: BTreeMap<SmolStr, f64>,
    /// Queries per second due to each member over the whole cell, by rank.
    pub due: Weights,
    /// Queries per second offered by each member over the whole cell, by rank.
    offered: Weights,
    /// Limit of the members' rates in each rank, in queries per second per unit of weight.
    rates_per_weight: [f64; 3],
}

impl Allocation {
    /// Returns the fraction of all due queries that is due to a member in a rank.
    pub fn share_due(&self, rank: Rank, member: &str) -> f64 {
        let due = self.due[rank.index()].get(member).copied().unwrap_or(0.0);
        let all: f64 = self.due.iter().flat_map(BTreeMap::values).sum();
        if all > 0.0 { due / all } else { 0.0 }
    }

    /// Returns the weights for the fair queueing of members at one instance.
    ///
    /// `input` must be the one that the allocation was computed from. Weights are computed on
    /// request, because each instance needs only its own.
    pub fn weights(&self, input: &Input, instance: &str) -> Weights {
        let mut weights = Weights::default();
        let Some(demand) = input.demand.get(instance) else { return weights };
        for (rank, demand) in demand.iter().enumerate() {
            let local_weight = |(member, rate): (&SmolStr, &f64)| {
                let offered = self.offered[rank].get(member).copied().unwrap_or(0.0);
                let local_fraction = valid_rate(*rate) / offered;
                // A member whose demand is fully granted is weighted by its full share. Weighted by
                // its demand, its queue would grow whenever the demand varies.
                let full_share = self.rates_per_weight[rank] * weight(&input.weights, member);
                (local_fraction > 0.0).then(|| (member.clone(), full_share * local_fraction))
            };
            weights[rank] = demand.iter().filter_map(local_weight).collect();
        }
        weights
    }
}

/// Allocates the capacity by water-filling.
///
/// Each rank gets its floor as far as it has demand; the rest goes to the ranks in strict priority.
/// Within a rank, members share by weighted max-min fairness over the whole cell. A member's share
/// is split over the instances in proportion to its demand there. Demand that is negative or not
/// finite counts as zero.
///
/// # Examples
///
/// ```
/// use std::collections::BTreeMap;
///
/// use jaycrank_policy::share;
///
/// let demand = |rate| [BTreeMap::new(), BTreeMap::from([("tunis".into(), rate)]), BTreeMap::new()];
/// let input = share::Input { capacity: 100.0, ..share::Input::default() }
///     .with_instance("entry-1", demand(300.0))
///     .with_instance("entry-2", demand(100.0));
/// let allocation = share::allocate(&input);
/// assert_eq!(allocation.fractions["entry-1"], 0.75);
/// ```
pub fn allocate(input: &Input) -> Allocation {
    let mut offered = Weights::default();
    for demand in input.demand.values() {
        for (offered, demand) in offered.iter_mut().zip(demand) {
            add_demand(offered, demand);
        }
    }
    let granted = grant_by_rank(input, [0, 1, 2].map(|rank: usize| offered[rank].values().sum()));
    let mut allocation = Allocation::default();
    for (rank, offered) in offered.iter().enumerate() {
        let limit = rate_per_weight(offered, &input.weights, granted[rank]);
        let due = |(member, rate): (&SmolStr, &f64)| {
            (member.clone(), rate.min(limit * weight(&input.weights, member)))
        };
        allocation.due[rank] = offered.iter().map(due).collect();
        allocation.rates_per_weight[rank] = limit;
    }
    allocation.offered = offered;
    for (name, demand) in &input.demand {
        let due = (0..3).map(|rank| due_at_instance(&demand[rank], &allocation, rank));
        allocation.fractions.insert(name.clone(), due.sum());
    }
    normalize_fractions(&mut allocation.fractions);
    allocation
}

/// Adds the demand of an instance to the sum. Equal sets of members are added pairwise, without
/// lookups.
fn add_demand(offered: &mut BTreeMap<SmolStr, f64>, demand: &BTreeMap<SmolStr, f64>) {
    if offered.len() == demand.len() && offered.keys().eq(demand.keys()) {
        offered.values_mut().zip(demand.values()).for_each(|(sum, rate)| *sum += valid_rate(*rate));
        return;
    }
    for (member, rate) in demand {
        match offered.get_mut(member) {
            Some(sum) => *sum += valid_rate(*rate),
            None => drop(offered.insert(member.clone(), valid_rate(*rate))),
        }
    }
}

/// Returns the queries per second that are due at an instance in a rank.
fn due_at_instance(demand: &BTreeMap<SmolStr, f64>, allocation: &Allocation, rank: usize) -> f64 {
    let (due, offered) = (&allocation.due[rank], &allocation.offered[rank]);
    let split = |rate: f64, due: f64, offered: f64| {
        if offered > 0.0 { due * valid_rate(rate) / offered } else { 0.0 }
    };
    if demand.len() == due.len() {
        // Both maps contain every member with demand, so equal sizes mean equal keys.
        let members = demand.values().zip(due.values()).zip(offered.values());
        return members.map(|((rate, due), offered)| split(*rate, *due, *offered)).sum();
    }
    demand.iter().map(|(member, rate)| split(*rate, due[member], offered[member])).sum()
}

fn valid_rate(rate: f64) -> f64 {
    if rate.is_finite() && rate > 0.0 { rate } else { 0.0 }
}

fn weight(weights: &BTreeMap<SmolStr, f64>, member: &str) -> f64 {
    weights.get(member).copied().filter(|weight| *weight > 0.0).unwrap_or(1.0)
}

/// Grants each rank queries per second: first the floors, then the rest by priority.
fn grant_by_rank(input: &Input, offered: [f64; 3]) -> [f64; 3] {
    if input.capacity <= 0.0 {
        return offered;
    }
    let mut granted = [0, 1, 2].map(|rank| offered[rank].min(input.floors[rank] * input.capacity));
    let mut capacity_left = input.capacity - granted.iter().sum::<f64>();
    for rank in 0..3 {
        let more = (offered[rank] - granted[rank]).min(capacity_left).max(0.0);
        granted[rank] += more;
        capacity_left -= more;
    }
    granted
}

/// Returns the rate per unit of weight, in queries per second, to which members must be limited so
/// that their sum is `granted` (water-filling); the highest demand per weight if no member has to
/// be limited.
fn rate_per_weight(
    totals: &BTreeMap<SmolStr, f64>,
    weights: &BTreeMap<SmolStr, f64>,
    granted: f64,
) -> f64 {
    let mut members: Vec<_> =
        totals.iter().map(|(member, rate)| (*rate, weight(weights, member))).collect();
    members.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
    let mut granted_left = granted;
    let mut weight_left: f64 = members.iter().map(|(_, weight)| weight).sum();
    let mut highest = 0.0;
    for (rate, weight) in members {
        let limit = granted_left / weight_left;
        // The tolerance keeps rounding from cutting a member whose demand is fully granted.
        if rate / weight > limit * (1.0 + 1e-9) {
            return limit;
        }
        highest = rate / weight;
        granted_left -= rate;
        weight_left -= weight;
    }
    highest
}

/// Scales the fractions to a sum of 1, with a minimum for idle instances.
fn normalize_fractions(fractions: &mut BTreeMap<SmolStr, f64>) {
    let count = fractions.len() as f64;
    let sum: f64 = fractions.values().sum();
    for fraction in fractions.values_mut() {
        let scaled = if sum > 0.0 { *fraction / sum } else { 1.0 / count };
        *fraction = scaled.max(IDLE_FRACTION / count);
    }
    let sum: f64 = fractions.values().sum();
    fractions.values_mut().for_each(|fraction| *fraction /= sum);
}
