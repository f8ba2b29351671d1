//! Publishes what this process learns of nodes, upstreams and control entries to the event feed. Independent of readers'
//! connections.
use crate::control_value::{evacuated_zone, ControlValue, CONFIGURATION_KEY};
use crate::peers::{RecordBody, UpstreamRecord};
use serde_json::{json, Value};
use silvercross_event_feed::{EventContent, EventFeed, Limits, Position};
use silvercross_mesh_config::{Configuration, NamedTombstone, Route};
use silvercross_mesh_membership::{NodeRecord, Revision};
use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use tokio::sync::Notify;

/// Longest text of an item in an event, in characters; longer ones are truncated.
const MAX_TEXT_CHARS: usize = 200;
/// Most destinations of a route that an event names.
const MAX_NAMED_DESTINATIONS: usize = 8;

/// The events of this process.
pub(crate) struct EventStream {
    pub(super) feed: RefCell<EventFeed>,
    /// Notified when events were appended.
    pub(super) appended: Notify,
    /// Number of readers that follow the stream.
    pub(super) followers: Cell<usize>,
    rejected_calls: Cell<u64>,
}

fn cut(text: &str) -> String {
    text.chars().take(MAX_TEXT_CHARS).collect()
}

fn ip(bits: u32) -> String {
    Ipv4Addr::from_bits(bits).to_string()
}

/// A configuration item, present or deleted.
struct Item<'i> {
    /// The collection that it belongs to.
    collection: &'i str,
    name: &'i str,
    version: u64,
}

/// The content of an event about a present item.
struct ItemContent {
    service: String,
    state: Value,
}

impl EventStream {
    /// Creates an event stream without events.
    pub(crate) fn new() -> Self {
        EventStream {
            feed: RefCell::new(EventFeed::new(Limits::default())),
            appended: Notify::new(),
            followers: Cell::new(0),
            rejected_calls: Cell::new(0),
        }
    }

    /// The counters, with the keys of the metrics page.
    pub(crate) fn metrics(&self) -> Value {
        let feed = self.feed.borrow().metrics();
        json!({ "followers": self.followers.get(), "keys": feed.keys, "events": feed.events,
            "dropped": feed.dropped, "forgotten": feed.forgotten })
    }

    fn append(&self, event: EventContent) {
        if self.feed.borrow_mut().publish(event) {
            self.appended.notify_waiters();
        }
    }

    /// Publishes the state of a node and of its upstream from the node's record.
    pub(crate) fn record(&self, record: &NodeRecord<RecordBody>) {
        let position = Position {
            epoch: record.incarnation,
            owner: 0,
            version: record.sequence,
            is_amended: record.gone,
        };
        let (name, zone) = (ip(record.node.0), record.zone.clone());
        let is = match record {
            record if record.gone => "gone",
            record if record.body.stopping => "leaving",
            _ => "there",
        };
        let key = format!("node/{name}");
        let state = json!({ "is": is, "core": record.is_control, "control": record.body.control_port });
        let (state, ended) = (state.to_string(), record.gone);
        self.append(EventContent {
            key,
            position,
            zone: zone.clone(),
            state,
            ended,
            ..EventContent::default()
        });
        if record.is_control {
            return;
        }
        let key = format!("upstream/{name}");
        let upstream = record.body.upstream.as_ref().filter(|_| !record.gone);
        let event = match upstream {
            Some(upstream) => upstream_event(upstream, record.incarnation),
            None => EventContent {
                state: json!({ "is": "none" }).to_string(),
                ended: true,
                ..EventContent::default()
            },
        };
        self.append(EventContent { key, position, zone, ..event });
    }

    /// Publishes a control entry that is now in force on this node.
    pub(crate) fn control_entry(&self, key: &str, revision: Revision, value: &ControlValue) {
        let (round, owner, change) = revision.into();
        let position = Position { epoch: round, owner, ..Position::default() };
        let state = json!({ "owner": ip(owner as u32), "round": round }).to_string();
        self.append(EventContent {
            key: format!("owner/{key}"),
            position,
            state,
            is_monotonic: true,
            ..EventContent::default()
        });
        match value {
            ControlValue::Configuration(configuration) if key == CONFIGURATION_KEY => {
                self.configuration(configuration);
            }
            ControlValue::Evacuation(is_evacuated) => {
                let zone = evacuated_zone(key).unwrap_or(key).to_string();
                let position = Position { version: change.saturating_add(1), ..position };
                let state = json!({ "on": is_evacuated }).to_string();
                self.append(EventContent {
                    key: key.to_string(),
                    position,
                    zone,
                    state,
                    ..EventContent::default()
                });
            }
            _ => {}
        }
    }

    /// Publishes a configuration item; without content it was deleted. `content` is called only if this version is new.
    fn item(&self, item: &Item, content: impl FnOnce() -> Option<ItemContent>) {
        let key = format!("item/{}/{}", item.collection, item.name);
        let position = Position { version: item.version.saturating_add(1), ..Position::default() };
        // Most items are unchanged: skips building their content.
        if self.feed.borrow().last_position(&key).is_some_and(|seen| seen >= position) {
            return;
        }
        let content = content();
        let ended = content.is_none();
        let ItemContent { service, mut state } =
            content.unwrap_or_else(|| ItemContent { service: String::new(), state: json!({}) });
        state["set"] = json!(!ended);
        state["edition"] = json!(item.version);
        let state = state.to_string();
        self.append(EventContent {
            key,
            position,
            service,
            state,
            ended,
            is_monotonic: true,
            ..EventContent::default()
        });
    }

    fn configuration(&self, configuration: &Configuration) {
        for destination in configuration.destinations() {
            let (name, version) = (destination.name.as_str(), destination.version);
            self.item(&Item { collection: "destination", name, version }, || {
                let state = json!({ "coldS": destination.slow_start.as_secs_f64() });
                Some(ItemContent { service: destination.name.clone(), state })
            });
        }
        for route in configuration.routes() {
            let item = Item { collection: "route", name: &route.name, version: route.version };
            self.item(&item, || Some(route_content(route)));
        }
        if let Some(limits) = configuration.limits() {
            let item = Item { collection: "limits", name: "sizeLimits", version: limits.version };
            self.item(&item, || {
                let state = json!({ "contentBytes": limits.max_body_bytes });
                Some(ItemContent { service: String::new(), state })
            });
        }
        for NamedTombstone { kind, name, version } in configuration.tombstones() {
            let collection = kind.as_str();
            self.item(&Item { collection, name, version }, || None);
        }
    }

    /// Publishes that this node, at `own_ip` and in this incarnation, rejected a call. No other node publishes it.
    pub(crate) fn call_rejected(&self, own_ip: Ipv4Addr, incarnation: u64, key: &str, reason: &str) {
        let number = self.rejected_calls.get() + 1;
        self.rejected_calls.set(number);
        let position = Position { epoch: incarnation, owner: 0, version: number, is_amended: false };
        let state = json!({ "number": number, "key": key, "why": cut(reason) }).to_string();
        self.append(EventContent {
            key: format!("refused/{own_ip}"),
            position,
            state,
            ..EventContent::default()
        });
    }
}

fn upstream_event(upstream: &UpstreamRecord, sidecar_incarnation: u64) -> EventContent {
    let is = match upstream {
        upstream if upstream.silent => "silent",
        upstream if upstream.draining => "draining",
        _ => "there",
    };
    let state = json!({ "is": is, "id": cut(&upstream.id), "slots": upstream.slots,
        "colds": upstream.warm_ups, "life": sidecar_incarnation });
    EventContent { service: upstream.service.clone(), state: state.to_string(), ..EventContent::default() }
}

fn route_content(route: &Route) -> ItemContent {
    let to: Vec<Value> =
        route.split.iter().take(MAX_NAMED_DESTINATIONS).map(|to| json!([cut(&to.name), to.weight])).collect();
    let service = match route.split.as_slice() {
        [only] => only.name.clone(),
        _ => String::new(),
    };
    let state = json!({ "depot": cut(&route.virtual_host), "lane": cut(&route.path_prefix),
        "kind": route.kind.as_str(), "to": to });
    ItemContent { service, state }
}
