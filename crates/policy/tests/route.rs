//! Tests of the route lookup and of the split between services.

use std::collections::BTreeMap;
use std::time::Duration;

use jaycrank_policy::route::Route;
use jaycrank_policy::route::Table;
use jaycrank_policy::route::Target;
use jaycrank_policy::route::pick_service;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smol_str::SmolStr;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        rank: 0,
        attempts_max: 2,
        target: Target::Split(vec![("service".into(), 1.0)]),
    }
}

/// Guards against a shorter prefix that wins, a prefix that matches within a path segment, and a
/// host comparison that depends on case or port.
#[test]
fn longest_prefix_of_the_host_wins() {
    let table = Table::new([
        route("all", "a.example", "/"),
        route("orders", "a.example", "/orders/"),
        route("open", "a.example", "/orders/open/"),
        route("other", "b.example", "/orders/open/new/"),
    ]);
    let find = |host: &str, path: &str| table.find(host, path).map(|route| route.name.to_string());
    let cases = [
        (("a.example", "/orders/open/1"), Some("open")),
        (("a.example", "/orders/open"), Some("orders")),
        (("a.example", "/orders/opened/1"), Some("orders")),
        (("a.example", "/ordersx"), Some("all")),
        (("A.example:8080", "/orders/"), Some("orders")),
        (("a.example", "/orders/open/new/1"), Some("open")),
        (("b.example", "/orders/"), None),
        (("c.example", "/"), None),
        (("a.example", "*"), None),
    ];
    for ((host, path), expected) in cases {
        assert_eq!(find(host, path).as_deref(), expected, "{host} {path}");
    }
}

/// Guards against a split that deviates from its weights, or that picks a service without a
/// positive weight.
#[test]
fn split_follows_its_weights() {
    let split: Vec<(SmolStr, f64)> = vec![
        ("none".into(), 0.0),
        ("one".into(), 1.0),
        ("three".into(), 3.0),
        ("bad".into(), -1.0),
    ];
    let mut random = StdRng::seed_from_u64(7);
    let mut counts: BTreeMap<SmolStr, u32> = BTreeMap::new();
    for _ in 0..8_000 {
        let service = pick_service(&split, random.random()).unwrap();
        *counts.entry(service.clone()).or_default() += 1;
    }
    assert_eq!(counts.keys().collect::<Vec<_>>(), ["one", "three"]);
    assert!((1_900..2_100).contains(&counts["one"]), "{counts:?}");
    assert_eq!(pick_service(&[], 0.5), None);
    assert_eq!(pick_service(&[("none".into(), 0.0)], 0.5), None);
}
