//! Load shedding by scheduling delay.

use std::time::Duration;

use jaycrank_policy::overload::Shedder;
use jaycrank_policy::route::Route;
use jaycrank_policy::route::Target;

fn route(rank: u8) -> Route {
    Route {
        name: "route".into(),
        host: "a.example".into(),
        prefix: "/".into(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        rank,
        attempts_max: 2,
        target: Target::Split(Vec::new()),
    }
}

/// Returns the fraction of requests of a rank that is admitted at a constant scheduling delay.
fn admitted_fraction(rank: u8, delay_ms: u64) -> f64 {
    let shedder = Shedder::new();
    (0..50).for_each(|_| shedder.observe(Duration::from_millis(delay_ms)));
    let route = route(rank);
    let admitted = (0..100).filter(|_| shedder.admit(&route).is_some()).count();
    assert_eq!(shedder.admitted(), 0, "finished requests are not counted");
    admitted as f64 / 100.0
}

/// Guards against an overloaded process that refuses urgent requests before less urgent ones, and
/// against refusals by an idle process.
#[test]
fn less_urgent_requests_are_refused_first() {
    for rank in 0..3 {
        assert_eq!(admitted_fraction(rank, 5), 1.0, "rank {rank} at a delay of an idle process");
    }
    assert_eq!(admitted_fraction(0, 38), 1.0);
    assert!(admitted_fraction(2, 38) < admitted_fraction(1, 38), "rank 2 is refused before rank 1");
    assert!(admitted_fraction(1, 38) < 1.0);
    assert_eq!(admitted_fraction(0, 200), 0.0, "all requests are refused at a high delay");
}
