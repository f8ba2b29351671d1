//! Reading a call of the operator.

use std::collections::btree_map::Entry as Slot;
use std::collections::BTreeMap;
use std::fmt;

use figment::error::Kind as Wrong;
use serde::de::{DeserializeOwned, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::{Map, Value};
use silvercross_throttle::MemberListChange;

use crate::item::{
    host_key, ClientLimits, ConfigurationChange, ConfigurationError, Destination, Entries, Entry, Item,
    Route, RouteKind, Versioned, MAX_DURATION,
};
use crate::with_members::ConfigurationUpdate;

/// A longer body is refused.
pub const MAX_BODY_BYTES: usize = 8 << 20;
/// A longer name of an item is refused.
pub const MAX_NAME_BYTES: usize = 256;

/// Read one call and check all that can be checked without the present configuration. Whatever the bytes, the outcome
/// is a value; a fault means that nothing of the call may come into force.
///
/// Fields that are not known here are kept in their item. Lists that are not known here can't be kept, so a call that
/// has items in one is refused rather than acknowledged and lost.
pub fn parse_change(body: &[u8]) -> Result<ConfigurationChange, ConfigurationError> {
    read(body, false).map(|update| update.configuration)
}

/// The same, with the lists of members and how requests name them.
pub fn parse_update(body: &[u8]) -> Result<ConfigurationUpdate, ConfigurationError> {
    read(body, true)
}

fn read(body: &[u8], members: bool) -> Result<ConfigurationUpdate, ConfigurationError> {
    if body.len() > MAX_BODY_BYTES {
        return Err(ConfigurationError::new(
            "body",
            "length",
            format!("is above {MAX_BODY_BYTES} bytes (send fewer items in a call)"),
        ));
    }
    let body: Value = serde_json::from_slice(body).map_err(|e| {
        ConfigurationError::new(
            "body",
            "json",
            format!("can't be read whole: {e} (send one whole JSON object)"),
        )
    })?;
    let Value::Object(body) = &body else {
        return Err(ConfigurationError::new(
            "body",
            "json",
            "is not an object (send {\"deliver\":{...},\"withdraw\":{...}})",
        ));
    };
    let nothing = Map::new();
    known("body", body, &["deliver", "withdraw"])?;
    let deliver = object("body", body, "deliver")?.unwrap_or(&nothing);
    let withdraw = object("body", body, "withdraw")?.unwrap_or(&nothing);
    // The two of members come last.
    let (delivered, withdrawn) = (
        ["destinations", "sizeLimits", "depots", "members", "membership"],
        ["routes", "destinations", "members"],
    );
    known("deliver", deliver, if members { &delivered } else { &delivered[..3] })?;
    known("withdraw", withdraw, if members { &withdrawn } else { &withdrawn[..2] })?;

    let mut change = ConfigurationChange::default();
    for (i, value) in list("deliver", deliver, "destinations")?.iter().enumerate() {
        let label = label(value, || format!("destinations[{i}]"));
        let destination = destination(&label, extract(&label, value)?)?;
        let name = destination.name.clone();
        let item = Item { parsed: destination, raw_json: value.to_string() };
        put(&mut change.destinations, name, Entry::Set(item))?;
    }
    if let Some(value) = deliver.get("sizeLimits").filter(|v| !v.is_null()) {
        let parsed = limits(extract("sizeLimits", value)?)?;
        change.limits = Some(Item { parsed, raw_json: value.to_string() });
    }
    for (i, value) in list("deliver", deliver, "depots")?.iter().enumerate() {
        let place = format!("depots[{i}]");
        let Value::Object(entry) = value else {
            return Err(ConfigurationError::new(
                place,
                "depot",
                "is not an object (send {\"depot\":HOST,\"lanes\":[...]})",
            ));
        };
        let virtual_host = match entry.get("depot") {
            Some(Value::String(virtual_host)) if !host_key(virtual_host).is_empty() => virtual_host,
            Some(Value::String(_)) => {
                return Err(ConfigurationError::new(place, "depot", "is empty (give the host)"))
            }
            _ => {
                return Err(ConfigurationError::new(
                    place,
                    "depot",
                    "is missing or not a string (give the host)",
                ))
            }
        };
        for (j, value) in list(&place, entry, "lanes")?.iter().enumerate() {
            let label = label(value, || format!("{place}.lanes[{j}]"));
            let route = route(&label, virtual_host, extract(&label, value)?)?;
            let name = route.name.clone();
            put(&mut change.routes, name, Entry::Set(Item { parsed: route, raw_json: value.to_string() }))?;
        }
    }
    drops("routes", withdraw, &mut change.routes)?;
    drops("destinations", withdraw, &mut change.destinations)?;

    let mut places = BTreeMap::new();
    for route in change.routes.values().filter_map(Entry::parsed) {
        if let Some(other) = places.insert((host_key(&route.virtual_host), &route.path_prefix), &route.name) {
            return Err(same_place(route, other));
        }
    }
    drop(places);
    let members = match members {
        true => silvercross_throttle::read(deliver, withdraw)
            .map_err(|f| ConfigurationError::new(f.item, f.key, f.reason))?,
        false => MemberListChange::default(),
    };
    Ok(ConfigurationUpdate { configuration: change, members })
}

/// Two routes at one depot and lane.
pub(crate) fn same_place(route: &Route, other: &str) -> ConfigurationError {
    let reason = format!(
        "{} of {} is route {other}'s (keep one of them there)",
        route.path_prefix, route.virtual_host
    );
    ConfigurationError::new(&route.name, "lane", reason)
}

fn drops<T: Versioned + PartialEq>(
    key: &str,
    withdraw: &Map<String, Value>,
    entries: &mut Entries<T>,
) -> Result<(), ConfigurationError> {
    for (i, value) in list("withdraw", withdraw, key)?.iter().enumerate() {
        let label = label(value, || format!("withdraw.{key}[{i}]"));
        let form: DropForm = extract(&label, value)?;
        check_name(&label, &form.name)?;
        put(entries, form.name, Entry::Dropped { version: form.version.0, order: 0 })?;
    }
    Ok(())
}

/// Take an item of the call. What the same call says of a name elsewhere must agree with it, except that a name may be
/// set and dropped at two editions, of which the higher holds.
fn put<T: Versioned + PartialEq>(
    entries: &mut Entries<T>,
    name: String,
    new: Entry<T>,
) -> Result<(), ConfigurationError> {
    match entries.entry(name) {
        Slot::Vacant(slot) => {
            slot.insert(new);
        }
        Slot::Occupied(mut slot) => {
            let old = slot.get();
            if old.item().is_some() && new.item().is_some() {
                if *old != new {
                    return Err(ConfigurationError::new(
                        slot.key(),
                        "name",
                        "stands twice with different content (keep one)",
                    ));
                }
            } else if old.version() == new.version() && *old != new {
                let reason = "is set and dropped at the same edition (raise the edition that is to hold)";
                return Err(ConfigurationError::new(slot.key(), "edition", reason));
            } else if new.version() > old.version() {
                slot.insert(new);
            }
        }
    }
    Ok(())
}

/// The item's name, or else its position.
fn label(value: &Value, position: impl Fn() -> String) -> String {
    match value.get("name") {
        Some(Value::String(name)) if !name.is_empty() && name.len() <= MAX_NAME_BYTES => name.clone(),
        _ => position(),
    }
}

/// Refuse items in a list that is not known here.
fn known(item: &str, map: &Map<String, Value>, keys: &[&str]) -> Result<(), ConfigurationError> {
    for (key, value) in map {
        let holds = match value {
            Value::Array(list) => !list.is_empty(),
            Value::Object(map) => !map.is_empty(),
            _ => false,
        };
        if holds && !keys.contains(&key.as_str()) {
            let reason = format!("is not known here and can't be kept (send {})", keys.join(", "));
            return Err(ConfigurationError::new(item, key, reason));
        }
    }
    Ok(())
}

fn object<'a>(
    item: &str,
    map: &'a Map<String, Value>,
    key: &str,
) -> Result<Option<&'a Map<String, Value>>, ConfigurationError> {
    match map.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::Object(inner)) => Ok(Some(inner)),
        Some(_) => {
            Err(ConfigurationError::new(item, key, "is not an object (send an object or leave it out)"))
        }
    }
}

fn list<'a>(item: &str, map: &'a Map<String, Value>, key: &str) -> Result<&'a [Value], ConfigurationError> {
    match map.get(key) {
        None | Some(Value::Null) => Ok(&[]),
        Some(Value::Array(list)) => Ok(list),
        Some(_) => Err(ConfigurationError::new(item, key, "is not a list (send a list or leave it out)")),
    }
}

/// Read an item's fields. `figment` says which key doesn't fit and why.
fn extract<T: DeserializeOwned>(item: &str, value: &Value) -> Result<T, ConfigurationError> {
    if !value.is_object() {
        return Err(ConfigurationError::new(item, "item", "is not an object (send each item as an object)"));
    }
    let wrong = |e: figment::Error| {
        let inner = e.path.iter().rev().find(|part| part.parse::<usize>().is_err());
        match &e.kind {
            Wrong::MissingField(key) => ConfigurationError::new(item, key.as_ref(), "is missing (give it)"),
            kind => ConfigurationError::new(
                item,
                inner.map_or("item", String::as_str),
                format!("{kind} (mend the value)"),
            ),
        }
    };
    let fields = figment::value::Value::serialize(value).map_err(wrong)?;
    fields.deserialize().map_err(wrong)
}

/// A whole number from 0 on, however it is written.
#[derive(Clone, Copy)]
struct WholeNumber(u64);

impl<'de> Deserialize<'de> for WholeNumber {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Reader;
        impl Visitor<'_> for Reader {
            type Value = WholeNumber;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a whole number from 0 on")
            }

            fn visit_u64<E: serde::de::Error>(self, n: u64) -> Result<WholeNumber, E> {
                Ok(WholeNumber(n))
            }

            fn visit_i64<E: serde::de::Error>(self, n: i64) -> Result<WholeNumber, E> {
                let wrong = |_| E::invalid_value(serde::de::Unexpected::Signed(n), &self);
                u64::try_from(n).map(WholeNumber).map_err(wrong)
            }

            fn visit_f64<E: serde::de::Error>(self, n: f64) -> Result<WholeNumber, E> {
                // Above 2^53 a float no longer tells neighbouring numbers apart.
                if n >= 0.0 && n.fract() == 0.0 && n <= 9_007_199_254_740_992.0 {
                    Ok(WholeNumber(n as u64))
                } else {
                    Err(E::invalid_value(serde::de::Unexpected::Float(n), &self))
                }
            }
        }
        from.deserialize_u64(Reader)
    }
}

impl WholeNumber {
    fn small(self) -> u32 {
        u32::try_from(self.0).unwrap_or(u32::MAX)
    }
}

#[derive(Deserialize)]
struct DropForm {
    name: String,
    #[serde(rename = "edition")]
    version: WholeNumber,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RouteForm {
    name: String,
    #[serde(rename = "lane")]
    path_prefix: String,
    route_kind: String,
    deadline_s: f64,
    target_s: Option<f64>,
    priority: Option<WholeNumber>,
    #[serde(rename = "attempts")]
    max_attempts: Option<WholeNumber>,
    destination: Option<String>,
    split: Option<Vec<ShareForm>>,
    #[serde(rename = "edition")]
    version: WholeNumber,
    delivery_regions: Option<Vec<String>>,
}

#[derive(Deserialize)]
struct ShareForm {
    destination: String,
    share: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct DestinationForm {
    name: String,
    health_path: Option<String>,
    #[serde(rename = "lineCap")]
    max_connections: Option<WholeNumber>,
    protocol: Option<String>,
    #[serde(rename = "sealed")]
    tls: Option<bool>,
    cold_s: Option<f64>,
    cold_rate_s: Option<f64>,
    #[serde(rename = "edition")]
    version: WholeNumber,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct LimitsForm {
    #[serde(rename = "envelopeBytes")]
    max_head_bytes: Option<WholeNumber>,
    #[serde(rename = "contentBytes")]
    max_body_bytes: Option<WholeNumber>,
    envelope_s: Option<f64>,
    idle_s: Option<f64>,
    #[serde(rename = "edition")]
    version: WholeNumber,
}

fn check_name(item: &str, name: &str) -> Result<(), ConfigurationError> {
    if name.is_empty() {
        Err(ConfigurationError::new(item, "name", "is empty (give the item a name)"))
    } else if name.len() > MAX_NAME_BYTES {
        Err(ConfigurationError::new(
            item,
            "name",
            format!("is above {MAX_NAME_BYTES} bytes (give a shorter one)"),
        ))
    } else {
        Ok(())
    }
}

/// Seconds above 0 as microseconds, at least one.
fn span(item: &str, key: &str, seconds: f64) -> Result<i64, ConfigurationError> {
    if !(seconds.is_finite() && seconds > 0.0) {
        return Err(ConfigurationError::new(
            item,
            key,
            "must be above 0 (give the seconds, fractions may be used)",
        ));
    }
    Ok((seconds * 1e6).round().clamp(1.0, MAX_DURATION as f64) as i64)
}

fn route(item: &str, virtual_host: &str, form: RouteForm) -> Result<Route, ConfigurationError> {
    check_name(item, &form.name)?;
    if !(form.path_prefix.starts_with('/') && form.path_prefix.ends_with('/')) {
        return Err(ConfigurationError::new(
            item,
            "lane",
            "must begin and end with a slash (give a prefix like /a/b/)",
        ));
    }
    let Some(kind) = RouteKind::parse(&form.route_kind) else {
        return Err(ConfigurationError::new(
            item,
            "routeKind",
            "is not a kind of route (give safe, unsafe or upload)",
        ));
    };
    let deadline = span(item, "deadlineS", form.deadline_s)?;
    let latency_target = form.target_s.map_or(Ok(deadline), |s| span(item, "targetS", s))?;
    let max_attempts = form.max_attempts.map_or(1, WholeNumber::small);
    if max_attempts == 0 {
        return Err(ConfigurationError::new(
            item,
            "attempts",
            "must be at least 1 (give how many upstreams one try may reach)",
        ));
    }
    let split = match (form.destination, form.split) {
        (Some(name), None) => vec![(name, 1.0)],
        (None, Some(shares)) => shares.into_iter().map(|s| (s.destination, s.share)).collect(),
        (Some(_), Some(_)) => {
            return Err(ConfigurationError::new(
                item,
                "split",
                "stands beside destination (give one of the two)",
            ));
        }
        (None, None) => {
            return Err(ConfigurationError::new(
                item,
                "destination",
                "is missing, and so is split (give one of them)",
            ))
        }
    };
    if split.is_empty() {
        return Err(ConfigurationError::new(item, "split", "is empty (name a destination)"));
    }
    if split.iter().any(|(name, _)| name.is_empty()) {
        return Err(ConfigurationError::new(item, "destination", "is empty (name a destination)"));
    }
    let sum: f64 = split.iter().map(|(_, share)| share).sum();
    if !sum.is_finite() || split.iter().any(|(_, share)| !share.is_finite() || *share < 0.0) {
        return Err(ConfigurationError::new(
            item,
            "share",
            "is below 0 or too large (give finite shares, 0 or above)",
        ));
    }
    if sum <= 0.0 {
        return Err(ConfigurationError::new(
            item,
            "share",
            "is 0 for all (give one destination a share above 0)",
        ));
    }
    Ok(Route {
        name: form.name,
        virtual_host: virtual_host.to_string(),
        path_prefix: form.path_prefix,
        kind,
        deadline,
        latency_target,
        priority: form.priority.map_or(0, WholeNumber::small),
        max_attempts,
        split,
        version: form.version.0,
        regions: form.delivery_regions.unwrap_or_default(),
    })
}

fn destination(item: &str, form: DestinationForm) -> Result<Destination, ConfigurationError> {
    check_name(item, &form.name)?;
    let health_path = form.health_path.unwrap_or_else(|| "/health".to_string());
    // It becomes part of a request line.
    if !health_path.starts_with('/') || !health_path.bytes().all(|b| b.is_ascii_graphic()) {
        let reason = "must begin with a slash and hold visible ASCII only (give a path like /health)";
        return Err(ConfigurationError::new(item, "healthPath", reason));
    }
    let max_connections = form.max_connections.map_or(u32::MAX, WholeNumber::small);
    if max_connections == 0 {
        return Err(ConfigurationError::new(
            item,
            "lineCap",
            "must be at least 1 (give how many connections an upstream takes)",
        ));
    }
    let slow_start = match form.cold_s {
        None => 0,
        Some(0.0) => 0,
        Some(s) if s > 0.0 => span(item, "coldS", s)?,
        Some(_) => {
            return Err(ConfigurationError::new(item, "coldS", "must not be below 0 (give the seconds)"))
        }
    };
    let slow_start_rate = form.cold_rate_s.unwrap_or(f64::INFINITY);
    if slow_start_rate.is_nan() || slow_start_rate < 0.0 {
        return Err(ConfigurationError::new(
            item,
            "coldRateS",
            "must not be below 0 (give the requests a second)",
        ));
    }
    Ok(Destination {
        name: form.name,
        health_path,
        max_connections,
        slow_start,
        slow_start_rate,
        version: form.version.0,
        protocol: form.protocol.unwrap_or_else(|| "h1".to_string()),
        tls: form.tls.unwrap_or(false),
    })
}

fn limits(form: LimitsForm) -> Result<ClientLimits, ConfigurationError> {
    let item = "sizeLimits";
    let bytes = |key: &str, given: Option<WholeNumber>, default: u64| match given {
        None => Ok(default),
        Some(WholeNumber(0)) => Err(ConfigurationError::new(item, key, "must be above 0 (give the bytes)")),
        Some(WholeNumber(n)) => Ok(n),
    };
    let time =
        |key: &str, given: Option<f64>, default: i64| given.map_or(Ok(default), |s| span(item, key, s));
    let default = ClientLimits::default();
    let envelope = bytes("envelopeBytes", form.max_head_bytes, default.max_head_bytes as u64)?;
    Ok(ClientLimits {
        max_head_bytes: usize::try_from(envelope).unwrap_or(usize::MAX),
        max_body_bytes: bytes("contentBytes", form.max_body_bytes, default.max_body_bytes)?,
        head_timeout: time("envelopeS", form.envelope_s, default.head_timeout)?,
        idle_timeout: time("idleS", form.idle_s, default.idle_timeout)?,
        version: form.version.0,
    })
}
