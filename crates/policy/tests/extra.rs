//! Test of the budget of extra requests over all instances.

use jaycrank_policy::extra_requests::Quota;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const RATIO: f64 = 0.2;
const FIXED: f64 = 52.0;
const INSTANCES: usize = 9;
/// Steps of a window; in each step some instances get a request.
const WINDOW: usize = 1_000;

/// Steps after which an instance that starts knows all others.
const ACQUAINTED: usize = 100;

/// Pattern: every request of a service fails and is wanted again, on instances with unequal load.
/// Guards against more extra requests in any window than the bound that all instances share.
#[test]
fn instances_keep_the_common_bound_in_every_window() {
    keeps_the_bound(3, None);
}

/// Pattern: the same, and all processes are killed at once and start again. Guards against fixed
/// parts that are spent once more by the new processes, in full by each that knows no other yet.
#[test]
fn restart_of_all_instances_keeps_the_common_bound() {
    for seed in 0..20 {
        keeps_the_bound(seed, Some(1_500));
    }
}

/// Spends all that the budgets allow, and compares each window with the common bound.
fn keeps_the_bound(seed: u64, restart: Option<usize>) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut instances = vec![Quota::new(RATIO, FIXED, INSTANCES); INSTANCES];
    let mut requests = vec![0_u32; 5 * WINDOW];
    let mut extra = vec![0_u32; 5 * WINDOW];
    for step in 0..5 * WINDOW {
        if restart == Some(step) {
            instances.fill(Quota::new(RATIO, FIXED, 1));
        }
        if restart.is_some_and(|restart| restart + ACQUAINTED == step) {
            instances.iter_mut().for_each(|extra| extra.configure(RATIO, FIXED, INSTANCES));
        }
        // The load rises and falls, and the first instances get most of it.
        let load = if (step / 700) % 2 == 0 { 0.9 } else { 0.1 };
        for (at, instance) in instances.iter_mut().enumerate() {
            if random.random_bool(load / (at + 1) as f64) {
                instance.earn();
                requests[step] += 1;
            }
            extra[step] += u32::from(instance.try_spend());
        }
    }
    for start in 0..4 * WINDOW {
        let sum = |of: &[u32]| f64::from(of[start..start + WINDOW].iter().sum::<u32>());
        let allowed = RATIO * sum(&requests) + FIXED;
        assert!(sum(&extra) <= allowed, "{} of {allowed} from step {start}", sum(&extra));
    }
}
