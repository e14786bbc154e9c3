//! Lookups of routes by host and path, and of tenants by key.

use mastbay_routing::{
    AllowedRegions, Route, RouteKind, RouteTable, RoutingConfiguration, Target, Tenant,
};
use std::time::Duration;

fn route(name: &str, host: &str, prefix: &str, targets: &[(&str, u32)]) -> Route {
    let targets = targets
        .iter()
        .map(|(service, weight)| Target { service: (*service).to_owned(), weight: *weight });
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(3),
        objective: Duration::from_millis(300),
        pause_objective: None,
        priority: 1,
        targets: targets.collect(),
        max_attempts: 2,
        public: false,
        resumable: false,
        regions: AllowedRegions::default(),
    }
}

fn table() -> RouteTable {
    RouteTable::new(RoutingConfiguration {
        version: 5,
        routes: vec![
            route("short", "a.example", "/x/", &[("one", 1)]),
            route("long", "a.example", "/x/y/", &[("one", 90), ("two", 10)]),
            route("other", "b.example", "/x/", &[("two", 1)]),
        ],
        tenants: vec![Tenant {
            name: "t".to_owned(),
            keys: vec!["k1".to_owned(), "k2".to_owned()],
            priority: None,
            regions: AllowedRegions::default(),
        }],
        ..RoutingConfiguration::default()
    })
}

fn find_route(host: &str, path: &str) -> Option<String> {
    table().route(host, path).map(|entry| entry.route.name.clone())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    assert_eq!(find_route("a.example", "/x/1").as_deref(), Some("short"));
    assert_eq!(find_route("A.Example:8080", "/x/y/1").as_deref(), Some("long"));
    assert_eq!(find_route("b.example", "/x/y/1").as_deref(), Some("other"));
    assert_eq!(find_route("a.example", "/z/"), None);
    assert_eq!(find_route("c.example", "/x/"), None);
    assert_eq!(find_route("a.example", "/x"), None);
}

#[test]
fn weights_split_requests() {
    let entry = table().route("a.example", "/x/y/").expect("a route");
    let ones = (0..1_000).filter(|draw| entry.service(f64::from(*draw) / 1e3) == Some("one"));
    assert_eq!(ones.count(), 900);
}

#[test]
fn keys_name_their_tenant() {
    assert_eq!(table().tenant("k2").map(|tenant| tenant.name.as_str()), Some("t"));
    assert!(table().tenant("k3").is_none());
    assert!(table().has_tenants());
}
