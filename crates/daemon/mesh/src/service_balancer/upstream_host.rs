//! Upstreams in the form that the decision module uses.
use silvercross_facade::{Health, Host};
use std::net::SocketAddr;

/// The kind of all upstreams. The value also appears in the module's stored state and its logs.
pub(super) const UPSTREAM_KIND: &str = "station";

/// Returns an upstream in the module's form. `gate` is the address where its sidecar accepts requests, `slots` is how
/// many requests it processes concurrently, and `started_ms` distinguishes this incarnation from earlier ones.
pub(crate) fn upstream_host(
    name: &str,
    gate: SocketAddr,
    zone: &str,
    health: Health,
    slots: u32,
    started_ms: u64,
) -> Host {
    Host {
        name: name.to_string(),
        address: Some(gate),
        zone: zone.to_string(),
        kind: UPSTREAM_KIND.to_string(),
        cell: 0,
        health,
        size: f64::from(slots.max(1)),
        started_ms,
    }
}
