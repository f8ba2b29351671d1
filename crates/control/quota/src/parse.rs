//! Parses allowances from the operator's JSON. Its keys and values (`edition`, `spent`, `away`) are external names.

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

/// Longest body of a call, in bytes.
pub const MAX_BODY_BYTES: usize = 8 << 20;

const ITEM_KEYS: [&str; 6] = ["name", "edition", "windowS", "orderHeader", "away", "kinds"];
const KIND_KEYS: [&str; 5] = ["kind", "amount", "unitBytes", "spent", "strict"];

/// Parses and validates one call: an object whose `deliver` and `withdraw` each hold a list `allowances`; an item to
/// withdraw has only its `name` and `edition`. Any input gives a result rather than a panic; on an error nothing of
/// the call may be applied.
pub fn parse(body: &[u8]) -> Result<AllowanceChange, AllowanceError> {
    if body.len() > MAX_BODY_BYTES {
        return Err(AllowanceError::new(
            "body",
            "length",
            format!("exceeds {MAX_BODY_BYTES} bytes"),
            "send fewer items per call",
        ));
    }
    let value: Value = serde_json::from_slice(body).map_err(|e| {
        AllowanceError::new("body", "json", format!("cannot be parsed: {e}"), "send one JSON object")
    })?;
    let body = as_object("body", "json", &value)?;
    check_keys("body", body, &["deliver", "withdraw"])?;
    let mut entries = BTreeMap::new();
    for section in ["deliver", "withdraw"] {
        let Some(value) = body.get(section).filter(|v| !v.is_null()) else { continue };
        let map = as_object("body", section, value)?;
        check_keys(section, map, &["allowances"])?;
        for (i, value) in optional_list(section, map, "allowances")?.iter().enumerate() {
            let label = format!("{section}.allowances[{i}]");
            let map = as_object(&label, "item", value)?;
            let name = required_name(&label, map)?;
            let entry = if section == "deliver" {
                Entry::Set(parse_item(&name, map)?)
            } else {
                check_keys(&name, map, &["name", "edition"])?;
                Entry::Tombstone(required_integer(&name, map, "edition", u64::MAX)?)
            };
            if entries.insert(name.clone(), entry).is_some() {
                return Err(AllowanceError::new(&name, "name", "appears twice", "keep one"));
            }
        }
    }
    Ok(AllowanceChange { entries })
}

fn parse_item(name: &str, map: &Map<String, Value>) -> Result<Allowance, AllowanceError> {
    check_keys(name, map, &ITEM_KEYS)?;
    let version = required_integer(name, map, "edition", u64::MAX)?;
    let seconds = map.get("windowS").and_then(Value::as_f64).unwrap_or(f64::NAN);
    let (min, max) = (MIN_WINDOW.as_secs_f64(), MAX_WINDOW.as_secs_f64());
    if !(min..=max).contains(&seconds) {
        let reason = format!("is not between {min} and {max}");
        return Err(AllowanceError::new(
            name,
            "windowS",
            reason,
            "give the seconds of a window, 604800 for a week",
        ));
    }
    let order_header = match map.get("orderHeader") {
        None | Some(Value::Null) => None,
        Some(Value::String(h)) if is_header_name(h) => Some(h.to_ascii_lowercase()),
        Some(_) => {
            return Err(AllowanceError::new(
                name,
                "orderHeader",
                "is not a valid header name",
                "use a name such as x-order",
            ))
        }
    };
    let when_unreachable = match optional_text(name, map, "away")? {
        None | Some("serve") => WhenUnreachable::ServeFromLeases,
        Some("refuse") => WhenUnreachable::Reject,
        Some(_) => return Err(AllowanceError::new(name, "away", "is unknown", "use serve or refuse")),
    };
    let mut quotas = [None; 3];
    for value in optional_list(name, map, "kinds")? {
        let (kind, quota) = parse_kind_quota(name, as_object(name, "kinds", value)?)?;
        if quotas[kind.index()].replace(quota).is_some() {
            return Err(AllowanceError::new(
                name,
                "kinds",
                format!("lists {} twice", kind.as_str()),
                "keep one",
            ));
        }
    }
    if quotas.iter().all(Option::is_none) {
        return Err(AllowanceError::new(name, "kinds", "lists no kind", "add one or withdraw the item"));
    }
    // An order takes at least one unit, so the amounts bound the number of orders to be remembered in a window.
    let requests_per_window = |kind: RequestKind| {
        quotas[kind.index()].filter(|quota| quota.unit == Unit::Request).map_or(0, |quota| quota.amount)
    };
    let orders = requests_per_window(RequestKind::Confirmation)
        .saturating_add(requests_per_window(RequestKind::Upload));
    if order_header.is_some() && orders > MAX_ORDERS as u64 {
        let reason = format!("allows {orders} orders in a window, of which {MAX_ORDERS} can be remembered");
        return Err(AllowanceError::new(name, "amount", reason, "shorten the window and lower the amounts"));
    }
    let window_length = Duration::from_micros((seconds * 1e6) as i64);
    let name = name.to_string();
    Ok(Allowance { name, version, window_length, order_header, when_unreachable, quotas })
}

fn parse_kind_quota(
    name: &str,
    map: &Map<String, Value>,
) -> Result<(RequestKind, KindQuota), AllowanceError> {
    check_keys(name, map, &KIND_KEYS)?;
    let Some(kind) = optional_text(name, map, "kind")?.and_then(RequestKind::parse) else {
        return Err(AllowanceError::new(
            name,
            "kind",
            "is missing or unknown",
            "use read, confirmation or upload",
        ));
    };
    let amount = required_integer(name, map, "amount", MAX_AMOUNT)?;
    let unit = match map.get("unitBytes") {
        None | Some(Value::Null) => Unit::Request,
        Some(_) => match required_integer(name, map, "unitBytes", MAX_AMOUNT)? {
            0 => {
                return Err(AllowanceError::new(
                    name,
                    "unitBytes",
                    "is 0",
                    "give the bytes per unit or omit the key",
                ))
            }
            bytes => Unit::Bytes(bytes),
        },
    };
    let when_exhausted = match optional_text(name, map, "spent")? {
        None | Some("refuse") => WhenExhausted::Reject,
        Some("slow") if kind == RequestKind::Read => WhenExhausted::Slow,
        Some("slow") => {
            return Err(AllowanceError::new(name, "spent", "supports slow for reads only", "use refuse"))
        }
        Some(_) => return Err(AllowanceError::new(name, "spent", "is unknown", "use refuse or slow")),
    };
    let strict = match map.get("strict") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(strict)) => *strict,
        Some(_) => {
            return Err(AllowanceError::new(name, "strict", "is neither true nor false", "use true or false"))
        }
    };
    Ok((kind, KindQuota { amount, unit, when_exhausted, strict }))
}

fn is_header_name(header: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    !header.is_empty() && header.len() <= 64 && header.bytes().all(is_allowed)
}

fn required_name(label: &str, map: &Map<String, Value>) -> Result<String, AllowanceError> {
    match map.get("name") {
        Some(Value::String(name)) if (1..=MAX_NAME_BYTES).contains(&name.len()) => Ok(name.clone()),
        Some(Value::String(_)) => {
            let reason = format!("is empty or longer than {MAX_NAME_BYTES} bytes");
            Err(AllowanceError::new(label, "name", reason, "give the member's name"))
        }
        _ => Err(AllowanceError::new(label, "name", "is missing or not a string", "give the member's name")),
    }
}

fn check_keys(item: &str, map: &Map<String, Value>, keys: &[&str]) -> Result<(), AllowanceError> {
    match map.keys().find(|key| !keys.contains(&key.as_str())) {
        Some(key) => {
            Err(AllowanceError::new(item, key, "is unknown here", format!("use {}", keys.join(", "))))
        }
        None => Ok(()),
    }
}

fn as_object<'a>(item: &str, key: &str, value: &'a Value) -> Result<&'a Map<String, Value>, AllowanceError> {
    value.as_object().ok_or_else(|| AllowanceError::new(item, key, "is not an object", "send an object"))
}

fn optional_list<'a>(
    item: &str,
    map: &'a Map<String, Value>,
    key: &str,
) -> Result<&'a [Value], AllowanceError> {
    match map.get(key) {
        None | Some(Value::Null) => Ok(&[]),
        Some(Value::Array(list)) => Ok(list),
        Some(_) => Err(AllowanceError::new(item, key, "is not a list", "send a list")),
    }
}

fn optional_text<'a>(
    item: &str,
    map: &'a Map<String, Value>,
    key: &str,
) -> Result<Option<&'a str>, AllowanceError> {
    match map.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(text)) => Ok(Some(text)),
        Some(_) => Err(AllowanceError::new(item, key, "is not a string", "send a string")),
    }
}

fn required_integer(
    item: &str,
    map: &Map<String, Value>,
    key: &str,
    max: u64,
) -> Result<u64, AllowanceError> {
    match map.get(key) {
        Some(value) => value.as_u64().filter(|n| *n <= max).ok_or_else(|| {
            AllowanceError::new(
                item,
                key,
                format!("is not an integer between 0 and {max}"),
                "give an integer in this range",
            )
        }),
        None => Err(AllowanceError::new(item, key, "is missing", "add it")),
    }
}
