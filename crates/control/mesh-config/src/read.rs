//! Reading a call of the operator.

use std::collections::btree_map::Entry as Slot;
use std::collections::BTreeMap;
use std::fmt;

use figment::error::Kind as Wrong;
use serde::de::{DeserializeOwned, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::{Map, Value};
use silvercross_throttle::Sent;

use crate::items::{
    host_key, Change, Destination, Entries, Entry, Fault, Item, Kind, Limits, Route, Versioned, MAX_TIME_US,
};
use crate::whole::Call;

/// A longer body is refused.
pub const MAX_BODY: usize = 8 << 20;
/// A longer name of an item is refused.
pub const MAX_NAME: usize = 256;

/// Read one call and check all that can be checked without the present configuration. Whatever the bytes, the outcome
/// is a value; a fault means that nothing of the call may come into force.
///
/// Fields that are not known here are kept in their item. Lists that are not known here can't be kept, so a call that
/// has items in one is refused rather than acknowledged and lost.
pub fn read_patch(body: &[u8]) -> Result<Change, Fault> {
    read(body, false).map(|call| call.change)
}

/// The same, with the lists of members and how requests name them.
pub fn read_call(body: &[u8]) -> Result<Call, Fault> {
    read(body, true)
}

fn read(body: &[u8], members: bool) -> Result<Call, Fault> {
    if body.len() > MAX_BODY {
        return Err(Fault::new(
            "body",
            "length",
            format!("is above {MAX_BODY} bytes (send fewer items in a call)"),
        ));
    }
    let body: Value = serde_json::from_slice(body).map_err(|e| {
        Fault::new("body", "json", format!("can't be read whole: {e} (send one whole JSON object)"))
    })?;
    let Value::Object(body) = &body else {
        return Err(Fault::new(
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

    let mut change = Change::default();
    for (i, value) in list("deliver", deliver, "destinations")?.iter().enumerate() {
        let label = label(value, || format!("destinations[{i}]"));
        let destination = destination(&label, extract(&label, value)?)?;
        let name = destination.name.clone();
        let item = Item { parsed: destination, raw: value.to_string() };
        put(&mut change.destinations, name, Entry::Set(item))?;
    }
    if let Some(value) = deliver.get("sizeLimits").filter(|v| !v.is_null()) {
        let parsed = limits(extract("sizeLimits", value)?)?;
        change.limits = Some(Item { parsed, raw: value.to_string() });
    }
    for (i, value) in list("deliver", deliver, "depots")?.iter().enumerate() {
        let place = format!("depots[{i}]");
        let Value::Object(entry) = value else {
            return Err(Fault::new(
                place,
                "depot",
                "is not an object (send {\"depot\":HOST,\"lanes\":[...]})",
            ));
        };
        let depot = match entry.get("depot") {
            Some(Value::String(depot)) if !host_key(depot).is_empty() => depot,
            Some(Value::String(_)) => return Err(Fault::new(place, "depot", "is empty (give the host)")),
            _ => return Err(Fault::new(place, "depot", "is missing or not a string (give the host)")),
        };
        for (j, value) in list(&place, entry, "lanes")?.iter().enumerate() {
            let label = label(value, || format!("{place}.lanes[{j}]"));
            let route = route(&label, depot, extract(&label, value)?)?;
            let name = route.name.clone();
            put(&mut change.routes, name, Entry::Set(Item { parsed: route, raw: value.to_string() }))?;
        }
    }
    drops("routes", withdraw, &mut change.routes)?;
    drops("destinations", withdraw, &mut change.destinations)?;

    let mut places = BTreeMap::new();
    for route in change.routes.values().filter_map(Entry::parsed) {
        if let Some(other) = places.insert((host_key(&route.depot), &route.lane), &route.name) {
            return Err(same_place(route, other));
        }
    }
    drop(places);
    let members = match members {
        true => {
            silvercross_throttle::read(deliver, withdraw).map_err(|f| Fault::new(f.item, f.key, f.reason))?
        }
        false => Sent::default(),
    };
    Ok(Call { change, members })
}

/// Two routes at one depot and lane.
pub(crate) fn same_place(route: &Route, other: &str) -> Fault {
    let reason = format!("{} of {} is route {other}'s (keep one of them there)", route.lane, route.depot);
    Fault::new(&route.name, "lane", reason)
}

fn drops<T: Versioned + PartialEq>(
    key: &str,
    withdraw: &Map<String, Value>,
    entries: &mut Entries<T>,
) -> Result<(), Fault> {
    for (i, value) in list("withdraw", withdraw, key)?.iter().enumerate() {
        let label = label(value, || format!("withdraw.{key}[{i}]"));
        let form: DropForm = extract(&label, value)?;
        check_name(&label, &form.name)?;
        put(entries, form.name, Entry::Dropped { edition: form.edition.0, order: 0 })?;
    }
    Ok(())
}

/// Take an item of the call. What the same call says of a name elsewhere must agree with it, except that a name may be
/// set and dropped at two editions, of which the higher holds.
fn put<T: Versioned + PartialEq>(entries: &mut Entries<T>, name: String, new: Entry<T>) -> Result<(), Fault> {
    match entries.entry(name) {
        Slot::Vacant(slot) => {
            slot.insert(new);
        }
        Slot::Occupied(mut slot) => {
            let old = slot.get();
            if old.item().is_some() && new.item().is_some() {
                if *old != new {
                    return Err(Fault::new(
                        slot.key(),
                        "name",
                        "stands twice with different content (keep one)",
                    ));
                }
            } else if old.edition() == new.edition() && *old != new {
                let reason = "is set and dropped at the same edition (raise the edition that is to hold)";
                return Err(Fault::new(slot.key(), "edition", reason));
            } else if new.edition() > old.edition() {
                slot.insert(new);
            }
        }
    }
    Ok(())
}

/// The item's name, or else its position.
fn label(value: &Value, position: impl Fn() -> String) -> String {
    match value.get("name") {
        Some(Value::String(name)) if !name.is_empty() && name.len() <= MAX_NAME => name.clone(),
        _ => position(),
    }
}

/// Refuse items in a list that is not known here.
fn known(item: &str, map: &Map<String, Value>, keys: &[&str]) -> Result<(), Fault> {
    for (key, value) in map {
        let holds = match value {
            Value::Array(list) => !list.is_empty(),
            Value::Object(map) => !map.is_empty(),
            _ => false,
        };
        if holds && !keys.contains(&key.as_str()) {
            let reason = format!("is not known here and can't be kept (send {})", keys.join(", "));
            return Err(Fault::new(item, key, reason));
        }
    }
    Ok(())
}

fn object<'a>(
    item: &str,
    map: &'a Map<String, Value>,
    key: &str,
) -> Result<Option<&'a Map<String, Value>>, Fault> {
    match map.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::Object(inner)) => Ok(Some(inner)),
        Some(_) => Err(Fault::new(item, key, "is not an object (send an object or leave it out)")),
    }
}

fn list<'a>(item: &str, map: &'a Map<String, Value>, key: &str) -> Result<&'a [Value], Fault> {
    match map.get(key) {
        None | Some(Value::Null) => Ok(&[]),
        Some(Value::Array(list)) => Ok(list),
        Some(_) => Err(Fault::new(item, key, "is not a list (send a list or leave it out)")),
    }
}

/// Read an item's fields. `figment` says which key doesn't fit and why.
fn extract<T: DeserializeOwned>(item: &str, value: &Value) -> Result<T, Fault> {
    if !value.is_object() {
        return Err(Fault::new(item, "item", "is not an object (send each item as an object)"));
    }
    let wrong = |e: figment::Error| {
        let inner = e.path.iter().rev().find(|part| part.parse::<usize>().is_err());
        match &e.kind {
            Wrong::MissingField(key) => Fault::new(item, key.as_ref(), "is missing (give it)"),
            kind => {
                Fault::new(item, inner.map_or("item", String::as_str), format!("{kind} (mend the value)"))
            }
        }
    };
    let fields = figment::value::Value::serialize(value).map_err(wrong)?;
    fields.deserialize().map_err(wrong)
}

/// A whole number from 0 on, however it is written.
#[derive(Clone, Copy)]
struct Whole(u64);

impl<'de> Deserialize<'de> for Whole {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Reader;
        impl Visitor<'_> for Reader {
            type Value = Whole;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a whole number from 0 on")
            }

            fn visit_u64<E: serde::de::Error>(self, n: u64) -> Result<Whole, E> {
                Ok(Whole(n))
            }

            fn visit_i64<E: serde::de::Error>(self, n: i64) -> Result<Whole, E> {
                let wrong = |_| E::invalid_value(serde::de::Unexpected::Signed(n), &self);
                u64::try_from(n).map(Whole).map_err(wrong)
            }

            fn visit_f64<E: serde::de::Error>(self, n: f64) -> Result<Whole, E> {
                // Above 2^53 a float no longer tells neighbouring numbers apart.
                if n >= 0.0 && n.fract() == 0.0 && n <= 9_007_199_254_740_992.0 {
                    Ok(Whole(n as u64))
                } else {
                    Err(E::invalid_value(serde::de::Unexpected::Float(n), &self))
                }
            }
        }
        from.deserialize_u64(Reader)
    }
}

impl Whole {
    fn small(self) -> u32 {
        u32::try_from(self.0).unwrap_or(u32::MAX)
    }
}

#[derive(Deserialize)]
struct DropForm {
    name: String,
    edition: Whole,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RouteForm {
    name: String,
    lane: String,
    route_kind: String,
    deadline_s: f64,
    target_s: Option<f64>,
    priority: Option<Whole>,
    attempts: Option<Whole>,
    destination: Option<String>,
    split: Option<Vec<ShareForm>>,
    edition: Whole,
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
    line_cap: Option<Whole>,
    protocol: Option<String>,
    sealed: Option<bool>,
    cold_s: Option<f64>,
    cold_rate_s: Option<f64>,
    edition: Whole,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct LimitsForm {
    envelope_bytes: Option<Whole>,
    content_bytes: Option<Whole>,
    envelope_s: Option<f64>,
    idle_s: Option<f64>,
    edition: Whole,
}

fn check_name(item: &str, name: &str) -> Result<(), Fault> {
    if name.is_empty() {
        Err(Fault::new(item, "name", "is empty (give the item a name)"))
    } else if name.len() > MAX_NAME {
        Err(Fault::new(item, "name", format!("is above {MAX_NAME} bytes (give a shorter one)")))
    } else {
        Ok(())
    }
}

/// Seconds above 0 as microseconds, at least one.
fn span(item: &str, key: &str, seconds: f64) -> Result<i64, Fault> {
    if !(seconds.is_finite() && seconds > 0.0) {
        return Err(Fault::new(item, key, "must be above 0 (give the seconds, fractions may be used)"));
    }
    Ok((seconds * 1e6).round().clamp(1.0, MAX_TIME_US as f64) as i64)
}

fn route(item: &str, depot: &str, form: RouteForm) -> Result<Route, Fault> {
    check_name(item, &form.name)?;
    if !(form.lane.starts_with('/') && form.lane.ends_with('/')) {
        return Err(Fault::new(item, "lane", "must begin and end with a slash (give a prefix like /a/b/)"));
    }
    let Some(kind) = Kind::from_word(&form.route_kind) else {
        return Err(Fault::new(item, "routeKind", "is not a kind of route (give safe, unsafe or upload)"));
    };
    let deadline_us = span(item, "deadlineS", form.deadline_s)?;
    let target_us = form.target_s.map_or(Ok(deadline_us), |s| span(item, "targetS", s))?;
    let attempts = form.attempts.map_or(1, Whole::small);
    if attempts == 0 {
        return Err(Fault::new(
            item,
            "attempts",
            "must be at least 1 (give how many upstreams one try may reach)",
        ));
    }
    let split = match (form.destination, form.split) {
        (Some(name), None) => vec![(name, 1.0)],
        (None, Some(shares)) => shares.into_iter().map(|s| (s.destination, s.share)).collect(),
        (Some(_), Some(_)) => {
            return Err(Fault::new(item, "split", "stands beside destination (give one of the two)"));
        }
        (None, None) => {
            return Err(Fault::new(item, "destination", "is missing, and so is split (give one of them)"))
        }
    };
    if split.is_empty() {
        return Err(Fault::new(item, "split", "is empty (name a destination)"));
    }
    if split.iter().any(|(name, _)| name.is_empty()) {
        return Err(Fault::new(item, "destination", "is empty (name a destination)"));
    }
    let sum: f64 = split.iter().map(|(_, share)| share).sum();
    if !sum.is_finite() || split.iter().any(|(_, share)| !share.is_finite() || *share < 0.0) {
        return Err(Fault::new(item, "share", "is below 0 or too large (give finite shares, 0 or above)"));
    }
    if sum <= 0.0 {
        return Err(Fault::new(item, "share", "is 0 for all (give one destination a share above 0)"));
    }
    Ok(Route {
        name: form.name,
        depot: depot.to_string(),
        lane: form.lane,
        kind,
        deadline_us,
        target_us,
        priority: form.priority.map_or(0, Whole::small),
        attempts,
        split,
        edition: form.edition.0,
        regions: form.delivery_regions.unwrap_or_default(),
    })
}

fn destination(item: &str, form: DestinationForm) -> Result<Destination, Fault> {
    check_name(item, &form.name)?;
    let health_path = form.health_path.unwrap_or_else(|| "/health".to_string());
    // It becomes part of a request line.
    if !health_path.starts_with('/') || !health_path.bytes().all(|b| b.is_ascii_graphic()) {
        let reason = "must begin with a slash and hold visible ASCII only (give a path like /health)";
        return Err(Fault::new(item, "healthPath", reason));
    }
    let line_cap = form.line_cap.map_or(u32::MAX, Whole::small);
    if line_cap == 0 {
        return Err(Fault::new(
            item,
            "lineCap",
            "must be at least 1 (give how many connections an upstream takes)",
        ));
    }
    let cold_us = match form.cold_s {
        None => 0,
        Some(0.0) => 0,
        Some(s) if s > 0.0 => span(item, "coldS", s)?,
        Some(_) => return Err(Fault::new(item, "coldS", "must not be below 0 (give the seconds)")),
    };
    let cold_rate = form.cold_rate_s.unwrap_or(f64::INFINITY);
    if cold_rate.is_nan() || cold_rate < 0.0 {
        return Err(Fault::new(item, "coldRateS", "must not be below 0 (give the requests a second)"));
    }
    Ok(Destination {
        name: form.name,
        health_path,
        line_cap,
        cold_us,
        cold_rate,
        edition: form.edition.0,
        protocol: form.protocol.unwrap_or_else(|| "h1".to_string()),
        sealed: form.sealed.unwrap_or(false),
    })
}

fn limits(form: LimitsForm) -> Result<Limits, Fault> {
    let item = "sizeLimits";
    let bytes = |key: &str, given: Option<Whole>, default: u64| match given {
        None => Ok(default),
        Some(Whole(0)) => Err(Fault::new(item, key, "must be above 0 (give the bytes)")),
        Some(Whole(n)) => Ok(n),
    };
    let time =
        |key: &str, given: Option<f64>, default: i64| given.map_or(Ok(default), |s| span(item, key, s));
    let default = Limits::default();
    let envelope = bytes("envelopeBytes", form.envelope_bytes, default.envelope_bytes as u64)?;
    Ok(Limits {
        envelope_bytes: usize::try_from(envelope).unwrap_or(usize::MAX),
        content_bytes: bytes("contentBytes", form.content_bytes, default.content_bytes)?,
        envelope_us: time("envelopeS", form.envelope_s, default.envelope_us)?,
        idle_us: time("idleS", form.idle_s, default.idle_us)?,
        edition: form.edition.0,
    })
}
