//! Route lookup, and the selection of a service.

use oleander_core::Span;
use oleander_relay::{RetryPolicy, Route, RouteKind, RouteTable, TrafficShare};

fn route(name: &str, prefix: &str, shares: &[(&str, u32)]) -> Route {
    let shares = shares.iter().map(|(service, weight)| TrafficShare {
        service: service.parse().expect("name of a service"),
        weight: *weight,
    });
    Route {
        name: name.to_owned(),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Stream,
        retry: RetryPolicy::Resume,
        timeout: Span::from_secs(5),
        latency_goal: Span::from_millis(300),
        max_pause: Span::from_millis(300),
        caller_timeout: None,
        priority: 0,
        max_attempts: 2,
        shares: shares.collect(),
    }
}

#[test]
fn the_longest_prefix_wins() {
    let routes = vec![
        route("all", "/", &[("s", 1)]),
        route("short", "/a/", &[("s", 1)]),
        route("long", "/a/b/", &[("s", 1)]),
    ];
    let table = RouteTable::new(1, routes);
    let name = |path| table.find("a.example", path).map(|route| route.name.clone());
    assert_eq!(name("/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("/a/b").as_deref(), Some("short"));
    assert_eq!(name("/a/b/?q=/z/").as_deref(), Some("long"));
    assert_eq!(name("/x").as_deref(), Some("all"));
    assert!(table.find("b.example", "/a/b/c").is_none());
    assert!(table.find("A.example:80", "/a/").is_some());
}

#[test]
fn requests_are_split_by_weight() {
    let route = route("r", "/", &[("most", 9), ("none", 0), ("few", 1)]);
    let few = (0..10_000)
        .filter(|id| route.service(&format!("request-{id}")).is_some_and(|s| s.as_str() == "few"))
        .count();
    assert!((800..1_200).contains(&few), "{few} of 10000 requests");
    let none = (0..10_000)
        .any(|id| route.service(&format!("request-{id}")).is_some_and(|s| s.as_str() == "none"));
    assert!(!none);
}

#[test]
fn a_route_with_a_bad_prefix_or_no_weight_is_rejected() {
    assert!(route("r", "a/", &[("s", 1)]).validate().is_err());
    assert!(route("r", "/a", &[("s", 1)]).validate().is_err());
    assert!(route("r", "/a/", &[("s", 0)]).validate().is_err());
    assert!(route("r", "/a/", &[("s", 1)]).validate().is_ok());
}
