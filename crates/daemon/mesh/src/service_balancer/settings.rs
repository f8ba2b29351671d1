//! What the module is set to for a service: the operator's configuration and this sidecar's place in the mesh, translated
//! into the module's settings.
use super::upstream_host::UPSTREAM_KIND;
use silvercross_core::interface::{Class, Prices, Repeatability, Settings};
use silvercross_mesh_config::{Route, RouteKind, RoutingTable};
use silvercross_settings::ProxySettings;
use silvercross_time::Duration;

/// A connection to another sidecar is up within this, or the attempt has failed.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Attempts that reached no upstream may come on top of those that an operator allows.
const MAX_UNDELIVERED_ATTEMPTS: u32 = 3;
/// No client is told to retry later than this.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Sending to another zone has to gain more than this share of the latency target.
const CROSS_ZONE_COST: f64 = 0.2;
/// The same for an upload: a large body is not moved for gain at all.
const UPLOAD_CROSS_ZONE_COST: f64 = 4.0;
/// The value of a response at priority 0; each step of priority halves it.
const HIGHEST_VALUE: f64 = 4.0;
/// Priorities beyond this count as this.
const MAX_PRIORITY: u32 = 16;
/// The value of a response past its latency target, as a share.
const LATE_VALUE_SHARE: f64 = 0.3;
/// Where no warm-up is configured, a new upstream warms up for this long.
const DEFAULT_WARM_UP: Duration = Duration::from_secs(1);
/// The least share of its capacity that a new upstream has.
const WARM_UP_START_SHARE: f64 = 0.5;
/// An upstream that is warming up falls over if it is sent more than this multiple of its present capacity over
/// [`OVERLOAD_WINDOW`].
const OVERLOAD_MULTIPLE: f64 = 1.5;
const OVERLOAD_WINDOW: Duration = Duration::from_secs(1);

/// What the module is set to for a service.
pub(crate) struct ServiceSettings<'t> {
    /// The service's name.
    pub(crate) service: &'t str,
    /// The routing table in force.
    pub(crate) routing_table: &'t RoutingTable,
    /// All zones.
    pub(crate) zones: &'t [String],
    /// This sidecar's.
    pub(crate) own_zone: &'t str,
    /// How many sidecars send.
    pub(crate) senders: u32,
    /// How many of them are in this zone.
    pub(crate) senders_in_zone: u32,
    /// Attempts at a draining upstream end within this.
    pub(crate) drain_timeout: Duration,
    /// Retries, as a share of the requests.
    pub(crate) retry_ratio: f64,
    /// How many retries may be saved up.
    pub(crate) max_saved_retries: f64,
}

/// The module's settings and the names that its facade translates.
pub(super) struct ModuleSettings {
    pub(super) settings: Settings,
    pub(super) front: ProxySettings,
}

impl ServiceSettings<'_> {
    /// The module's settings.
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
        let front = ProxySettings {
            classes: routes().map(|route| route.name.clone()).collect(),
            tenants: Vec::new(),
            zones: self.zones.to_vec(),
            kinds: vec![UPSTREAM_KIND.to_string()],
            upstream_idle_timeout: None,
        };
        ModuleSettings { settings, front }
    }
}

/// A route as a class of requests.
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
