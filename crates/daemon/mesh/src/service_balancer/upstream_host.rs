//! Upstreams as the module knows them.
use silvercross_facade::{Health, Host};
use std::net::SocketAddr;

/// The kind of all upstreams: its value is shared with the module's stored state and its logs.
pub(super) const UPSTREAM_KIND: &str = "station";

/// An upstream for the module. `gate`: where its sidecar takes requests; `slots`: how many it works on at a time;
/// `started_ms`: tells this incarnation from those before it.
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
