//! Tests of the connections that instances open to one leaf.

use std::time::Duration;
use std::time::Instant;

use jaycrank_policy::connections::Bounds;
use jaycrank_policy::connections::ConnectionLimit;
use jaycrank_policy::connections::FleetSize;
use jaycrank_policy::connections::is_kept;
use jaycrank_policy::connections::share;

/// Guards against shares whose sum exceeds what a leaf accepts, at today's sizes.
#[test]
fn shares_add_up_to_less_than_the_leaf_accepts() {
    for (max, near, all) in [(30, 2, 6), (30, 3, 9), (26, 3, 9), (96, 2, 6), (41, 3, 9)] {
        let fleet = FleetSize { own_region: near, all };
        let sum = share(max, true, fleet) * near + share(max, false, fleet) * (all - near);
        assert!(sum <= max as usize, "{sum} of {max} for {near} near of {all}");
    }
}

/// Pattern: a leaf is lost and its requests move to another one. Guards against a limit that never
/// grows, grows beyond what the slots can use, or grows again at once after the leaf has reset.
#[test]
fn limits_grow_with_need_and_halve_at_a_reset() {
    let now = Instant::now();
    let fleet = FleetSize { own_region: 3, all: 9 };
    let bounds = Bounds { max: 26, slots: 2, near: false };
    let mut limit = ConnectionLimit::new(bounds, fleet);
    assert_eq!(limit.value(), 1);
    while limit.try_grow(now) {}
    assert_eq!(limit.value(), 4, "two connections a slot");
    limit.record_reset(now);
    assert_eq!(limit.value(), 2);
    assert!(!limit.try_grow(now + Duration::from_secs(1)));
    assert!(limit.try_grow(now + Duration::from_secs(3)));
    limit.set_share(bounds, FleetSize { own_region: 1, all: 1 });
    assert!(limit.value() >= 1);
}

/// Pattern: all instances lose power after a burst, and a leaf goes on counting their connections.
/// Guards against so many idle ones that a successor finds no room at the leaf.
#[test]
fn a_leaf_has_room_for_the_successors_of_lost_instances() {
    const INSTANCES: usize = 9;
    const ACCEPTED: usize = 26;
    // Each instance had four connections in the burst; two seconds later they are idle.
    let idle = Duration::from_secs(2);
    let kept = (0..4).filter(|at| is_kept(*at == 0, idle)).count();
    let room = ACCEPTED - INSTANCES * kept;
    assert!(room >= INSTANCES, "room for one connection of each successor: {room}");
    assert!(is_kept(true, idle), "the next request finds one open");
}
