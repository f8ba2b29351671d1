//! Parses allowances as an operator sends them in JSON, whose words (`edition`, `spent`, `away`) stay.

use std::collections::BTreeMap;

use serde_json::{Map, Value};

use crate::allowance::{
    Allowance, KindQuota, RequestKind, Unit, WhenExhausted, WhenUnreachable, MAX_AMOUNT, MAX_NAME_BYTES,
    MAX_WINDOW, MIN_WINDOW,
};
use crate::allowance_set::{AllowanceChange, Entry};
use crate::error::AllowanceError;
use crate::state::MAX_ORDERS;
use silvercross_time::Duration;

/// A longer body is rejected.
pub const MAX_BODY_BYTES: usize = 8 << 20;

const ITEM_KEYS: [&str; 6] = ["name", "edition", "windowS", "orderHeader", "away", "kinds"];
const KIND_KEYS: [&str; 5] = ["kind", "amount", "unitBytes", "spent", "strict"];

/// Parses one call and checks all of it: an object whose `deliver` and `withdraw` each hold a list `allowances`; an item to
/// withdraw has its `name` and its `edition`. Whatever the bytes, the outcome is a value; an error means that nothing of the call
/// may come into force.
pub fn parse(body: &[u8]) -> Result<AllowanceChange, AllowanceError> {
    if body.len() > MAX_BODY_BYTES {
        return Err(AllowanceError::new(
            "body",
            "length",
            format!("is above {MAX_BODY_BYTES} bytes"),
            "send fewer items in a call",
        ));
    }
    let value: Value = serde_json::from_slice(body).map_err(|e| {
        AllowanceError::new("body", "json", format!("can't be read whole: {e}"), "send one JSON object")
    })?;
    let body = object("body", "json", &value)?;
    known("body", body, &["deliver", "withdraw"])?;
    let mut entries = BTreeMap::new();
    for side in ["deliver", "withdraw"] {
        let Some(value) = body.get(side).filter(|v| !v.is_null()) else { continue };
        let map = object("body", side, value)?;
        known(side, map, &["allowances"])?;
        for (i, value) in list(side, map, "allowances")?.iter().enumerate() {
            let place = format!("{side}.allowances[{i}]");
            let map = object(&place, "item", value)?;
            let name = name(&place, map)?;
            let entry = if side == "deliver" {
                Entry::Set(item(&name, map)?)
            } else {
                known(&name, map, &["name", "edition"])?;
                Entry::Dropped(whole(&name, map, "edition", u64::MAX)?)
            };
            if entries.insert(name.clone(), entry).is_some() {
                return Err(AllowanceError::new(&name, "name", "stands twice", "keep one"));
            }
        }
    }
    Ok(AllowanceChange { entries })
}

fn item(name: &str, map: &Map<String, Value>) -> Result<Allowance, AllowanceError> {
    known(name, map, &ITEM_KEYS)?;
    let version = whole(name, map, "edition", u64::MAX)?;
    let seconds = map.get("windowS").and_then(Value::as_f64).unwrap_or(f64::NAN);
    let (least, most) = (MIN_WINDOW.as_secs_f64(), MAX_WINDOW.as_secs_f64());
    if !(least..=most).contains(&seconds) {
        let reason = format!("is not from {least} to {most}");
        return Err(AllowanceError::new(
            name,
            "windowS",
            reason,
            "give the seconds of a window, 604800 for a week",
        ));
    }
    let order_header = match map.get("orderHeader") {
        None | Some(Value::Null) => None,
        Some(Value::String(h)) if token(h) => Some(h.to_ascii_lowercase()),
        Some(_) => {
            return Err(AllowanceError::new(
                name,
                "orderHeader",
                "is no header's name",
                "give one like x-order",
            ))
        }
    };
    let when_unreachable = match text(name, map, "away")? {
        None | Some("serve") => WhenUnreachable::ServeFromLeases,
        Some("refuse") => WhenUnreachable::Reject,
        Some(_) => return Err(AllowanceError::new(name, "away", "is not known", "give serve or refuse")),
    };
    let mut quotas = [None; 3];
    for value in list(name, map, "kinds")? {
        let (kind, quota) = kind_quota(name, object(name, "kinds", value)?)?;
        if quotas[kind.index()].replace(quota).is_some() {
            return Err(AllowanceError::new(
                name,
                "kinds",
                format!("names {} twice", kind.as_str()),
                "keep one",
            ));
        }
    }
    if quotas.iter().all(Option::is_none) {
        return Err(AllowanceError::new(name, "kinds", "names no kind", "give one, or withdraw the item"));
    }
    // Each order is at least a unit, so that what a window allows bounds what must be remembered of it.
    let counted = |kind: RequestKind| {
        quotas[kind.index()].filter(|quota| quota.unit == Unit::Request).map_or(0, |quota| quota.amount)
    };
    let orders = counted(RequestKind::Confirmation).saturating_add(counted(RequestKind::Upload));
    if order_header.is_some() && orders > MAX_ORDERS as u64 {
        let reason = format!("comes to {orders} orders in a window, of which {MAX_ORDERS} can be remembered");
        return Err(AllowanceError::new(name, "amount", reason, "shorten the window and lower the amounts"));
    }
    let window_length = Duration::from_micros((seconds * 1e6) as i64);
    let name = name.to_string();
    Ok(Allowance { name, version, window_length, order_header, when_unreachable, quotas })
}

fn kind_quota(name: &str, map: &Map<String, Value>) -> Result<(RequestKind, KindQuota), AllowanceError> {
    known(name, map, &KIND_KEYS)?;
    let Some(kind) = text(name, map, "kind")?.and_then(RequestKind::parse) else {
        return Err(AllowanceError::new(
            name,
            "kind",
            "is missing or not known",
            "give read, confirmation or upload",
        ));
    };
    let amount = whole(name, map, "amount", MAX_AMOUNT)?;
    let unit = match map.get("unitBytes") {
        None | Some(Value::Null) => Unit::Request,
        Some(_) => match whole(name, map, "unitBytes", MAX_AMOUNT)? {
            0 => {
                return Err(AllowanceError::new(
                    name,
                    "unitBytes",
                    "is 0",
                    "give the bytes of a unit or leave it out",
                ))
            }
            bytes => Unit::Bytes(bytes),
        },
    };
    let when_exhausted = match text(name, map, "spent")? {
        None | Some("refuse") => WhenExhausted::Reject,
        Some("slow") if kind == RequestKind::Read => WhenExhausted::Slow,
        Some("slow") => {
            return Err(AllowanceError::new(name, "spent", "slows what is no read", "give refuse"))
        }
        Some(_) => return Err(AllowanceError::new(name, "spent", "is not known", "give refuse or slow")),
    };
    let strict = match map.get("strict") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(strict)) => *strict,
        Some(_) => {
            return Err(AllowanceError::new(name, "strict", "is not true or false", "give one of them"))
        }
    };
    Ok((kind, KindQuota { amount, unit, when_exhausted, strict }))
}

fn token(header: &str) -> bool {
    let good = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    !header.is_empty() && header.len() <= 64 && header.bytes().all(good)
}

fn name(place: &str, map: &Map<String, Value>) -> Result<String, AllowanceError> {
    match map.get("name") {
        Some(Value::String(name)) if (1..=MAX_NAME_BYTES).contains(&name.len()) => Ok(name.clone()),
        Some(Value::String(_)) => {
            let reason = format!("is empty or above {MAX_NAME_BYTES} bytes");
            Err(AllowanceError::new(place, "name", reason, "give the member's name"))
        }
        _ => Err(AllowanceError::new(place, "name", "is missing or not a string", "give the member's name")),
    }
}

fn known(item: &str, map: &Map<String, Value>, keys: &[&str]) -> Result<(), AllowanceError> {
    match map.keys().find(|key| !keys.contains(&key.as_str())) {
        Some(key) => {
            Err(AllowanceError::new(item, key, "is not known here", format!("send {}", keys.join(", "))))
        }
        None => Ok(()),
    }
}

fn object<'a>(item: &str, key: &str, value: &'a Value) -> Result<&'a Map<String, Value>, AllowanceError> {
    value.as_object().ok_or_else(|| AllowanceError::new(item, key, "is not an object", "send an object"))
}

fn list<'a>(item: &str, map: &'a Map<String, Value>, key: &str) -> Result<&'a [Value], AllowanceError> {
    match map.get(key) {
        None | Some(Value::Null) => Ok(&[]),
        Some(Value::Array(list)) => Ok(list),
        Some(_) => Err(AllowanceError::new(item, key, "is not a list", "send a list")),
    }
}

fn text<'a>(item: &str, map: &'a Map<String, Value>, key: &str) -> Result<Option<&'a str>, AllowanceError> {
    match map.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(text)) => Ok(Some(text)),
        Some(_) => Err(AllowanceError::new(item, key, "is not a string", "send a string")),
    }
}

fn whole(item: &str, map: &Map<String, Value>, key: &str, most: u64) -> Result<u64, AllowanceError> {
    match map.get(key) {
        Some(value) => value.as_u64().filter(|n| *n <= most).ok_or_else(|| {
            AllowanceError::new(
                item,
                key,
                format!("is no whole number from 0 to {most}"),
                "give such a number",
            )
        }),
        None => Err(AllowanceError::new(item, key, "is missing", "give it")),
    }
}
