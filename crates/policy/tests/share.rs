//! Allocation of capacity to instances, ranks and members.

use std::collections::BTreeMap;

use jaycrank_policy::share;
use jaycrank_policy::share::Demand;
use jaycrank_policy::share::Input;
use jaycrank_settings::Rank;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smol_str::SmolStr;
use smol_str::format_smolstr;

const SEED: u64 = 12;

fn demand(rank: Rank, rates: &[(&str, f64)]) -> Demand {
    let mut demand = Demand::default();
    for (member, rate) in rates {
        demand[rank.index()].insert((*member).into(), *rate);
    }
    demand
}

fn is_close(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-6 * (1.0 + a.abs().max(b.abs()))
}

/// Guards against a member that gains by sending all its queries through a few instances, and
/// against members that are cut below their fair share while another exceeds its own.
#[test]
fn flood_through_two_instances_does_not_cut_other_members() {
    let rate = 60.0;
    let small = ["a", "b", "c", "d", "e", "f", "g"];
    let mut input = Input { capacity: 9.0 * rate, ..Input::default() };
    for index in 0..6 {
        let mut rates: Vec<_> = small.map(|member| (member, rate / 6.0)).to_vec();
        if index < 2 {
            rates.push(("big", 10.0 * rate));
        }
        let name = format_smolstr!("entry-{index}");
        input = input.with_instance(name, demand(Rank::Middle, &rates));
    }
    let allocation = share::allocate(&input);
    let due = &allocation.due[Rank::Middle.index()];
    assert!(small.iter().all(|member| is_close(due[*member], rate)), "{due:?}");
    assert!(is_close(due["big"], 2.0 * rate), "{due:?}");
    let fraction = |name: &str| allocation.fractions[name];
    assert!(is_close(fraction("entry-0"), (7.0 / 6.0 + 1.0) / 9.0), "{:?}", fraction("entry-0"));
    assert!(is_close(fraction("entry-5"), (7.0 / 6.0) / 9.0), "{:?}", fraction("entry-5"));
    let weights = &allocation.weights(&input, "entry-0")[Rank::Middle.index()];
    assert!(weights["a"] * 2.0 < weights["big"] && weights["a"] >= rate / 6.0, "{weights:?}");
}

/// Guards against a rank that loses its floor to a more urgent one, and against capacity that is
/// reserved for a rank without demand.
#[test]
fn floors_are_granted_before_priority_applies() {
    let input = Input { floors: [0.5, 0.3, 0.1], capacity: 100.0, ..Input::default() };
    let mut flood = demand(Rank::Urgent, &[("a", 500.0)]);
    flood[1].insert("a".into(), 20.0);
    flood[2].insert("a".into(), 500.0);
    let allocation = share::allocate(&input.clone().with_instance("entry-1", flood));
    let due = [0, 1, 2].map(|rank: usize| allocation.due[rank]["a"]);
    assert!(is_close(due[0], 70.0) && is_close(due[1], 20.0) && is_close(due[2], 10.0), "{due:?}");
    let least = input.with_instance("entry-1", demand(Rank::Least, &[("a", 500.0)]));
    assert!(is_close(share::allocate(&least).due[2]["a"], 100.0));
}

/// Guards against weights that are ignored when members are cut.
#[test]
fn members_are_cut_by_weight() {
    let weights = BTreeMap::from([("a".into(), 3.0)]);
    let input = Input { weights, capacity: 100.0, ..Input::default() };
    let rates = [("a", 500.0), ("b", 500.0), ("c", 10.0)];
    let allocation = share::allocate(&input.with_instance("i", demand(Rank::Middle, &rates)));
    let due = &allocation.due[1];
    assert!(
        is_close(due["a"], 67.5) && is_close(due["b"], 22.5) && is_close(due["c"], 10.0),
        "{due:?}"
    );
}

/// Guards against an instance without demand that gets no capacity, and against a division by
/// zero when nothing is offered anywhere.
#[test]
fn idle_instance_keeps_a_minimum_fraction() {
    let input = Input { capacity: 100.0, ..Input::default() };
    let idle = input.with_instance("a", Demand::default()).with_instance("b", Demand::default());
    let fractions = |input: &Input| {
        let allocation = share::allocate(input);
        allocation.fractions.into_values().collect::<Vec<_>>()
    };
    assert_eq!(fractions(&idle), [0.5, 0.5]);
    let busy = idle.with_instance("b", demand(Rank::Urgent, &[("m", 10.0)]));
    let fractions = fractions(&busy);
    assert!(
        is_close(fractions[0], 0.05 / 1.05) && is_close(fractions[1], 1.0 / 1.05),
        "{fractions:?}"
    );
    assert!(share::allocate(&Input::default()).fractions.is_empty());
}

/// Guards against invalid demand from a faulty peer that breaks the allocation for all.
#[test]
fn invalid_demand_counts_as_zero() {
    let input = Input { capacity: 100.0, ..Input::default() };
    let rates = [("a", f64::NAN), ("b", -5.0), ("c", f64::INFINITY), ("d", 10.0)];
    let allocation = share::allocate(&input.with_instance("i", demand(Rank::Middle, &rates)));
    assert_eq!(allocation.due[1].values().sum::<f64>(), 10.0);
    assert_eq!(allocation.fractions["i"], 1.0);
}

/// Guards against allocations above the capacity or the demand, against unused capacity while
/// demand is cut, and against ranks below their floors. Demand, weights and capacity are random,
/// since such a fault may show only for some of their combinations.
#[test]
fn random_demand_is_allocated_within_bounds() {
    let mut random = StdRng::seed_from_u64(SEED);
    for round in 0..300 {
        let floors = [0.5, 0.3, 0.1];
        let capacity = random.random_range(1.0..1_000.0);
        let weights =
            (0..8).map(|member| (format_smolstr!("m{member}"), random.random_range(0.1..9.0)));
        let mut input = Input { floors, capacity, weights: weights.collect(), ..Input::default() };
        for index in 0..random.random_range(1..8) {
            let mut demand = Demand::default();
            for members in &mut demand {
                for member in 0..random.random_range(0..8) {
                    members.insert(format_smolstr!("m{member}"), random.random_range(0.0..90.0));
                }
            }
            input = input.with_instance(format_smolstr!("entry-{index}"), demand);
        }
        let allocation = share::allocate(&input);
        assert_eq!(allocation, share::allocate(&input), "round {round}");
        let offered = |rank: usize, member: &SmolStr| {
            input.demand.values().filter_map(|demand| demand[rank].get(member)).sum::<f64>()
        };
        let mut total_due = 0.0;
        let mut total_offered = 0.0;
        for (rank, floor) in floors.iter().enumerate() {
            let due: f64 = allocation.due[rank].values().sum();
            let total: f64 = allocation.due[rank].keys().map(|member| offered(rank, member)).sum();
            for (member, rate) in &allocation.due[rank] {
                assert!(*rate <= offered(rank, member) + 1e-6, "round {round}");
            }
            assert!(due + 1e-6 >= total.min(floor * capacity), "round {round}");
            total_due += due;
            total_offered += total;
        }
        assert!(is_close(total_due, total_offered.min(capacity)), "round {round}");
        let sum: f64 = allocation.fractions.values().sum();
        assert!(is_close(sum, 1.0), "round {round}");
    }
}
