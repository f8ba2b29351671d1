//! The decision module's settings for a service, derived from the operator's configuration and this sidecar's
//! position in the mesh.
use super::upstream_host::UPSTREAM_KIND;
use silvercross_core::interface::{Class, Prices, Repeatability, Settings};
use silvercross_mesh_config::{Route, RouteKind, RoutingTable};
use silvercross_settings::ProxySettings;
use silvercross_time::Duration;

/// Timeout for connecting to another sidecar. The attempt fails after it.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Attempts allowed in addition to the configured maximum, to replace those that reached no upstream.
const MAX_UNDELIVERED_ATTEMPTS: u32 = 3;
/// Maximum `Retry-After` for clients.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Cost of sending to another zone, as a share of the latency target. The expected gain must exceed it.
const CROSS_ZONE_COST: f64 = 0.2;
/// The same for an upload: so high that a large body never crosses zones merely for a gain in latency.
const UPLOAD_CROSS_ZONE_COST: f64 = 4.0;
/// Value of a response at priority 0. Each further priority level halves it.
const HIGHEST_VALUE: f64 = 4.0;
/// Higher priority numbers are treated as this one.
const MAX_PRIORITY: u32 = 16;
/// Share of its value that a response past its latency target still has.
const LATE_VALUE_SHARE: f64 = 0.3;
/// Warm-up time of a new upstream if none is configured.
const DEFAULT_WARM_UP: Duration = Duration::from_secs(1);
/// Minimum share of its full capacity that an upstream has right after its start.
const WARM_UP_START_SHARE: f64 = 0.5;
/// A warming-up upstream is assumed to collapse when it is sent more than this multiple of its current capacity over
/// [`OVERLOAD_WINDOW`].
const OVERLOAD_MULTIPLE: f64 = 1.5;
const OVERLOAD_WINDOW: Duration = Duration::from_secs(1);

/// The inputs of the module's settings for a service.
pub(crate) struct ServiceSettings<'t> {
    /// The name of the service.
    pub(crate) service: &'t str,
    /// The routing table in force.
    pub(crate) routing_table: &'t RoutingTable,
    /// The names of all zones.
    pub(crate) zones: &'t [String],
    /// The zone of this sidecar.
    pub(crate) own_zone: &'t str,
    /// The number of sidecars that send requests.
    pub(crate) senders: u32,
    /// The number of them in this zone.
    pub(crate) senders_in_zone: u32,
    /// Time limit for attempts at a draining upstream.
    pub(crate) drain_timeout: Duration,
    /// Retries as a share of requests.
    pub(crate) retry_ratio: f64,
    /// Maximum number of retries that may be saved up.
    pub(crate) max_saved_retries: f64,
}

/// The module's settings and the names that its facade translates.
pub(super) struct ModuleSettings {
    pub(super) settings: Settings,
    pub(super) proxy_settings: ProxySettings,
}

impl ServiceSettings<'_> {
    /// Returns the module's settings.
    pub(super) fn module_settings(&self) -> ModuleSettings {
        let routes = || {
            self.routing_table.routes().filter(|route| route.split.iter().any(|to| to.name == self.service))
        };
        let max_attempts = routes().map(|route| route.max_attempts).max().unwrap_or(1).max(1);
        let service = self.routing_table.destination(self.service);
        let own_zone = self.zones.iter().position(|zone| zone == self.own_zone).unwrap_or(0);
        let settings = Settings {
            instances: self.senders.max(1),
            instance_index: 0,
            own_zone: own_zone as u32,
            zones: self.zones.len() as u32,
            classes: routes().map(class).collect(),
            tenants: Vec::new(),
            over_share_value: 1.0,
            value_per_work: false,
            total_value_weight: 1.0,
            prices: Prices { cross_zone: CROSS_ZONE_COST, ..Prices::default() },
            list_on_request: false,
            max_list_age: i64::MAX / 8,
            drain_grace: self.drain_timeout.as_micros(),
            initial_capacity: WARM_UP_START_SHARE,
            warm_up_time: service
                .map_or(DEFAULT_WARM_UP.as_micros(), |service| service.slow_start.as_micros().max(1)),
            overload_multiple: OVERLOAD_MULTIPLE,
            overload_window: OVERLOAD_WINDOW.as_micros(),
            max_attempts: max_attempts + MAX_UNDELIVERED_ATTEMPTS,
            connect_timeout: CONNECT_TIMEOUT.as_micros(),
            may_cancel: true,
            may_hedge: true,
            probes: false,
            max_retry_after: Some(MAX_RETRY_AFTER.as_micros()),
            clients_mark_retries: false,
            key_affinity: false,
            cold_rate: service.map(|service| service.slow_start_rate).filter(|rate| *rate > 0.0),
            cold_senders: self.senders_in_zone.max(1),
            retry_ratio: Some(self.retry_ratio),
            max_saved_retries: Some(self.max_saved_retries),
        };
        let proxy_settings = ProxySettings {
            classes: routes().map(|route| route.name.clone()).collect(),
            tenants: Vec::new(),
            zones: self.zones.to_vec(),
            kinds: vec![UPSTREAM_KIND.to_string()],
            upstream_idle_timeout: None,
        };
        ModuleSettings { settings, proxy_settings }
    }
}

/// Returns a route as a class of requests.
fn class(route: &Route) -> Class {
    Class {
        latency_target: route.latency_target.min(route.deadline).as_micros(),
        target_per_work: 0.0,
        deadline: route.deadline.as_micros(),
        value: HIGHEST_VALUE / f64::from(1u32 << route.priority.min(MAX_PRIORITY)),
        late_value_share: LATE_VALUE_SHARE,
        repeatability: if route.kind == RouteKind::Safe {
            Repeatability::Repeatable
        } else {
            Repeatability::Once
        },
        stream: false,
        max_receivers: Some(route.max_attempts),
        cross_zone_cost: if route.kind == RouteKind::Upload { UPLOAD_CROSS_ZONE_COST } else { 0.0 },
    }
}
