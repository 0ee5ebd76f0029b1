//! Tests of the limits on the connections that instances open to one leaf.

use std::time::Duration;
use std::time::Instant;

use jaycrank_policy::connections::Bounds;
use jaycrank_policy::connections::ConnectionLimit;
use jaycrank_policy::connections::FleetSize;
use jaycrank_policy::connections::is_kept;
use jaycrank_policy::connections::share;

/// Guards against shares whose sum exceeds the connections that a leaf accepts, for the current
/// fleet sizes and leaf limits.
#[test]
fn shares_add_up_to_less_than_the_leaf_accepts() {
    for (max, in_region, all) in [(30, 2, 6), (30, 3, 9), (26, 3, 9), (96, 2, 6), (41, 3, 9)] {
        let fleet = FleetSize { own_region: in_region, all };
        let sum =
            share(max, true, fleet) * in_region + share(max, false, fleet) * (all - in_region);
        assert!(sum <= max as usize, "{sum} of {max} for {in_region} in the region of {all}");
    }
}

/// A leaf fails and its requests move to another one. Guards against a limit that never grows, that
/// grows beyond what the slots can use, or that grows again immediately after a reset.
#[test]
fn limit_grows_on_demand_and_halves_at_a_reset() {
    let now = Instant::now();
    let fleet = FleetSize { own_region: 3, all: 9 };
    let bounds = Bounds { max: 26, slots: 2, in_own_region: false };
    let mut limit = ConnectionLimit::new(bounds, fleet);
    assert_eq!(limit.value(), 1);
    while limit.try_grow(now) {}
    assert_eq!(limit.value(), 4, "two connections per slot");
    limit.record_reset(now);
    assert_eq!(limit.value(), 2);
    assert!(!limit.try_grow(now + Duration::from_secs(1)));
    assert!(limit.try_grow(now + Duration::from_secs(3)));
    limit.set_share(bounds, FleetSize { own_region: 1, all: 1 });
    assert!(limit.value() >= 1);
}

/// All instances lose power after a burst, and a leaf keeps counting their half-open connections.
/// Guards against keeping so many idle ones that the restarted instances can't connect.
#[test]
fn idle_connections_leave_room_for_restarted_instances() {
    const INSTANCES: usize = 9;
    const ACCEPTED: usize = 26;
    // Each instance had four connections in the burst; two seconds later they are idle.
    let idle = Duration::from_secs(2);
    let kept = (0..4).filter(|at| is_kept(*at == 0, idle)).count();
    let room = ACCEPTED - INSTANCES * kept;
    assert!(room >= INSTANCES, "room for one connection of each restarted instance: {room}");
    assert!(is_kept(true, idle), "the next request reuses a connection");
}
