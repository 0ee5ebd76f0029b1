//! Tests of the bound on extra requests over all instances.

use jaycrank_policy::extra_requests::Quota;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const RATIO: f64 = 0.2;
const FIXED: f64 = 52.0;
const INSTANCES: usize = 9;
/// Number of steps in a window; in each step some instances get a request.
const WINDOW: usize = 1_000;

/// Steps after which a restarted instance knows all others.
const DISCOVERY_STEPS: usize = 100;

/// Every request of a service is retried, on instances with unequal load. Guards against more extra
/// requests in any window than the bound that all instances share.
#[test]
fn instances_keep_the_shared_bound_in_every_window() {
    check_shared_bound(3, None);
}

/// All instances are killed at once and restart while every request is retried. Guards against new
/// processes that spend the fixed amount again, each in full as long as it knows no other instance.
#[test]
fn restart_of_all_instances_keeps_the_shared_bound() {
    for seed in 0..20 {
        check_shared_bound(seed, Some(1_500));
    }
}

/// Spends all tokens of all quotas and compares each window with the shared bound.
fn check_shared_bound(seed: u64, restart: Option<usize>) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut instances = vec![Quota::new(RATIO, FIXED, INSTANCES); INSTANCES];
    let mut requests = vec![0_u32; 5 * WINDOW];
    let mut extra = vec![0_u32; 5 * WINDOW];
    for step in 0..5 * WINDOW {
        if restart == Some(step) {
            instances.fill(Quota::new(RATIO, FIXED, 1));
        }
        if restart.is_some_and(|restart| restart + DISCOVERY_STEPS == step) {
            instances.iter_mut().for_each(|extra| extra.configure(RATIO, FIXED, INSTANCES));
        }
        // The load varies, and the first instances get most of it.
        let load = if (step / 700) % 2 == 0 { 0.9 } else { 0.1 };
        for (at, instance) in instances.iter_mut().enumerate() {
            if random.random_bool(load / (at + 1) as f64) {
                instance.deposit();
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
