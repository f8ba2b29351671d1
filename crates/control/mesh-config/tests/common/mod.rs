//! Calls and configurations for the tests of this package.
#![allow(dead_code)]

use serde_json::{json, Value};
use silvercross_control_store::State;
use silvercross_mesh_config::{parse_change, Configuration, ConfigurationChange};

pub fn change(body: Value) -> ConfigurationChange {
    parse_change(body.to_string().as_bytes()).unwrap()
}

pub fn route(name: &str, path_prefix: &str, destination: &str, version: u64) -> Value {
    json!({"name": name, "lane": path_prefix, "routeKind": "safe", "deadlineS": 4, "destination": destination, "edition": version})
}

pub fn routes(virtual_host: &str, routes: &[Value]) -> Value {
    json!({"deliver": {"depots": [{"depot": virtual_host, "lanes": routes}]}})
}

pub fn destination(name: &str, version: u64) -> Value {
    json!({"name": name, "healthPath": "/health", "lineCap": 130, "edition": version})
}

pub fn destinations(names: &[&str]) -> Value {
    json!({"deliver": {"destinations": names.iter().map(|name| destination(name, 1)).collect::<Vec<_>>()}})
}

pub fn withdrawal(list: &str, name: &str, version: u64) -> Value {
    json!({"withdraw": {list: [{"name": name, "edition": version}]}})
}

/// A configuration with destinations a and b and one route.
pub fn initial_configuration() -> Configuration {
    let mut configuration = Configuration::default();
    assert_eq!(configuration.apply(&change(destinations(&["a", "b"]))), Ok(true));
    assert_eq!(configuration.apply(&change(routes("x.example", &[route("r", "/p/", "a", 5)]))), Ok(true));
    configuration
}
