//! Test of admission while the processor is busy.

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

/// Share of admitted requests of a rank at a lasting delay of the processor.
fn admitted(rank: u8, delay_ms: u64) -> f64 {
    let shedder = Shedder::new();
    (0..50).for_each(|_| shedder.observe(Duration::from_millis(delay_ms)));
    let route = route(rank);
    let admitted = (0..100).filter(|_| shedder.admit(&route).is_some()).count();
    assert_eq!(shedder.admitted(), 0, "requests that end are not counted");
    admitted as f64 / 100.0
}

/// Pattern: a flood that the processor can't keep up with. Guards against urgent requests that are
/// refused before less urgent ones, and against refusals on an idle process.
#[test]
fn less_urgent_requests_are_refused_first() {
    for rank in 0..3 {
        assert_eq!(admitted(rank, 5), 1.0, "rank {rank} on an idle process");
    }
    assert_eq!(admitted(0, 38), 1.0);
    assert!(admitted(2, 38) < admitted(1, 38), "rank 2 goes before rank 1");
    assert!(admitted(1, 38) < 1.0);
    assert_eq!(admitted(0, 200), 0.0, "what can't be served is refused");
}
