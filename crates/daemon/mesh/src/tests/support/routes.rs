//! Route changes in the format that operators send.
use super::SERVICE;

/// A route of host `h` whose path prefix is its name.
#[derive(Clone, Copy)]
pub(crate) struct RouteItem<'r> {
    pub(crate) name: &'r str,
    pub(crate) kind: &'r str,
    pub(crate) service: &'r str,
    pub(crate) max_attempts: u32,
    pub(crate) version: u64,
}

impl<'r> RouteItem<'r> {
    /// A route to [`SERVICE`](super::SERVICE).
    pub(crate) fn new(name: &'r str, kind: &'r str) -> Self {
        RouteItem { name, kind, service: SERVICE, max_attempts: 2, version: 1 }
    }
}

/// Encodes a route for a change.
pub(crate) fn route(item: RouteItem) -> String {
    let RouteItem { name, kind, service, max_attempts, version } = item;
    format!(
        "{{\"name\":\"{name}\",\"lane\":\"/{name}/\",\"routeKind\":\"{kind}\",\"deadlineS\":20,\"targetS\":1,\"priority\":1,\
         \"destination\":\"{service}\",\"attempts\":{max_attempts},\"edition\":{version}}}"
    )
}

/// A change that adds or updates these routes.
pub(crate) fn deliver_routes(routes: &[String]) -> String {
    format!("{{\"deliver\":{{\"depots\":[{{\"depot\":\"h\",\"lanes\":[{}]}}]}}}}", routes.join(","))
}

/// A change that withdraws these routes.
pub(crate) fn withdraw_routes(names: &[&str]) -> String {
    let all: Vec<String> =
        names.iter().map(|name| format!("{{\"name\":\"{name}\",\"edition\":5}}")).collect();
    format!("{{\"withdraw\":{{\"routes\":[{}]}}}}", all.join(","))
}
