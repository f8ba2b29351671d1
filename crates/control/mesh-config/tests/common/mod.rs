//! Calls and what they lead to, for the tests of this package.
#![allow(dead_code)]

use serde_json::{json, Value};
use silvercross_control_store::State;
use silvercross_mesh_config::{parse_change, Configuration, ConfigurationChange};

pub fn change(body: Value) -> ConfigurationChange {
    parse_change(body.to_string().as_bytes()).unwrap()
}

pub fn route(name: &str, path_prefix: &str, to: &str, version: u64) -> Value {
    json!({"name": name, "lane": path_prefix, "routeKind": "safe", "deadlineS": 4, "destination": to, "edition": version})
}

pub fn routes(virtual_host: &str, lanes: &[Value]) -> Value {
    json!({"deliver": {"depots": [{"depot": virtual_host, "lanes": lanes}]}})
}

pub fn to(name: &str, version: u64) -> Value {
    json!({"name": name, "healthPath": "/health", "lineCap": 130, "edition": version})
}

pub fn services(names: &[&str]) -> Value {
    json!({"deliver": {"destinations": names.iter().map(|name| to(name, 1)).collect::<Vec<_>>()}})
}

pub fn withdrawal(list: &str, name: &str, version: u64) -> Value {
    json!({"withdraw": {list: [{"name": name, "edition": version}]}})
}

/// A configuration with services a and b and one route.
pub fn started() -> Configuration {
    let mut started = Configuration::default();
    assert_eq!(started.apply(&change(services(&["a", "b"]))), Ok(true));
    assert_eq!(started.apply(&change(routes("x.example", &[route("r", "/p/", "a", 5)]))), Ok(true));
    started
}
