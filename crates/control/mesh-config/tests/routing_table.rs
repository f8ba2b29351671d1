//! Lookups in the routing table.

mod common;

use std::collections::BTreeMap;

use common::{change, initial_configuration, route, routes};
use serde_json::{json, Value};
use silvercross_control_store::State;
use silvercross_mesh_config::{ClientLimits, RoutingTable};

#[test]
fn the_route_with_the_longest_prefix_is_found() {
    let mut c = initial_configuration();
    let prefixes = ["/", "/p/a/", "/p/a/b/c/", "/p/ab/", "/z/"];
    let with_prefixes: Vec<Value> = prefixes.iter().map(|p| route(p, p, "a", 1)).collect();
    c.apply(&change(routes("X.Example", &with_prefixes))).unwrap();
    c.apply(&change(routes("[::1]:80", &[route("six", "/s/", "b", 1)]))).unwrap();
    let table = RoutingTable::new(&c);
    let find = |host, path| table.find(host, path).map(|route| route.name.as_str());
    assert_eq!(find("x.example", "/p/a/x"), Some("/p/a/"));
    assert_eq!(find("X.EXAMPLE:8080", "/p/a/b/c/"), Some("/p/a/b/c/"));
    assert_eq!(find("x.example", "/p/a/b/d"), Some("/p/a/"));
    assert_eq!(find("x.example", "/p/ab"), Some("r"));
    assert_eq!(find("x.example", "/p/ac/d"), Some("r"));
    assert_eq!(find("x.example", "/p"), Some("/"));
    assert_eq!(find("x.example", "/p?q=/p/a/"), Some("/"));
    assert_eq!(find("x.example", "/zz/\u{10ffff}"), Some("/"));
    assert_eq!(find("x.example", "*"), None);
    assert_eq!(find("[::1]", "/s/x"), Some("six"));
    assert_eq!(find("[::1]:9", "/t/x"), None);
    assert_eq!(find("", "/"), None);
    assert!(table.destination("a").is_some() && table.destination("c").is_none());
    assert_eq!((table.destinations().count(), table.routes().count()), (2, 7));
    assert_eq!(table.limits(), ClientLimits::default());
}

/// Compares lookups with a linear search over all routes.
#[test]
fn lookup_matches_a_linear_search() {
    let prefix_of = |steps: &[u8]| {
        steps.iter().take(5).fold("/".to_string(), |s, b| s + ["a/", "b/", "ab/"][*b as usize % 3])
    };
    bolero::check!().with_type::<(Vec<(bool, Vec<u8>)>, bool, Vec<u8>, u8)>().with_iterations(500).for_each(
        |(random_routes, host, path, length)| {
            let host_of = |second: bool| if second { "b" } else { "a" };
            let mut routes: BTreeMap<(&str, String), Value> = BTreeMap::new();
            for (second, steps) in random_routes {
                let (host, text) = (host_of(*second), prefix_of(steps));
                let value = route(&format!("{host}{text}"), &text, "a", 1);
                routes.insert((host, text), value);
            }
            let virtual_hosts: Vec<Value> =
                routes.iter().map(|((host, _), route)| json!({"depot": host, "lanes": [route]})).collect();
            let mut c = initial_configuration();
            c.apply(&change(json!({"deliver": {"depots": virtual_hosts}}))).unwrap();
            let mut path = prefix_of(path);
            path.truncate(1 + *length as usize);
            let matching = routes.keys().filter(|(h, p)| *h == host_of(*host) && path.starts_with(p));
            let expected = matching
                .max_by_key(|(_, prefix)| prefix.len())
                .map(|(host, prefix)| format!("{host}{prefix}"));
            assert_eq!(
                RoutingTable::new(&c).find(host_of(*host), &path).map(|route| route.name.clone()),
                expected
            );
        },
    );
}
