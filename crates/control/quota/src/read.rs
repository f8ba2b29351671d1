//! Reading allowances as an operator sends them.

use std::collections::BTreeMap;

use serde_json::{Map, Value};

use crate::count::ORDERS;
use crate::items::{
    Allowance, Away, BookChange, Entry, Fault, Kind, Share, Spent, Unit, MAX_AMOUNT, MAX_NAME, MAX_WINDOW_US,
    MIN_WINDOW_US,
};

/// A longer body is refused.
pub const MAX_BODY: usize = 8 << 20;

const ITEM_KEYS: [&str; 6] = ["name", "edition", "windowS", "orderHeader", "away", "kinds"];
const KIND_KEYS: [&str; 5] = ["kind", "amount", "unitBytes", "spent", "strict"];

/// Read one call, `{"deliver":{"allowances":[...]},"withdraw":{"allowances":[{"name":..,"edition":..}]}}`, and check all
/// of it. Whatever the bytes, the outcome is a value; a fault means that nothing of the call may come into force.
pub fn read(body: &[u8]) -> Result<BookChange, Fault> {
    if body.len() > MAX_BODY {
        return Err(Fault::new(
            "body",
            "length",
            format!("is above {MAX_BODY} bytes"),
            "send fewer items in a call",
        ));
    }
    let value: Value = serde_json::from_slice(body).map_err(|e| {
        Fault::new("body", "json", format!("can't be read whole: {e}"), "send one JSON object")
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
                return Err(Fault::new(&name, "name", "stands twice", "keep one"));
            }
        }
    }
    Ok(BookChange { entries })
}

fn item(name: &str, map: &Map<String, Value>) -> Result<Allowance, Fault> {
    known(name, map, &ITEM_KEYS)?;
    let edition = whole(name, map, "edition", u64::MAX)?;
    let seconds = map.get("windowS").and_then(Value::as_f64).unwrap_or(f64::NAN);
    let (least, most) = (MIN_WINDOW_US as f64 / 1e6, MAX_WINDOW_US as f64 / 1e6);
    if !(least..=most).contains(&seconds) {
        let reason = format!("is not from {least} to {most}");
        return Err(Fault::new(name, "windowS", reason, "give the seconds of a window, 604800 for a week"));
    }
    let order_header = match map.get("orderHeader") {
        None | Some(Value::Null) => None,
        Some(Value::String(h)) if token(h) => Some(h.to_ascii_lowercase()),
        Some(_) => {
            return Err(Fault::new(name, "orderHeader", "is no header's name", "give one like x-order"))
        }
    };
    let away = match text(name, map, "away")? {
        None | Some("serve") => Away::Serve,
        Some("refuse") => Away::Refuse,
        Some(_) => return Err(Fault::new(name, "away", "is not known", "give serve or refuse")),
    };
    let mut shares = [None; 3];
    for value in list(name, map, "kinds")? {
        let (kind, share) = share(name, object(name, "kinds", value)?)?;
        if shares[kind.at()].replace(share).is_some() {
            return Err(Fault::new(name, "kinds", format!("names {} twice", kind.word()), "keep one"));
        }
    }
    if shares.iter().all(Option::is_none) {
        return Err(Fault::new(name, "kinds", "names no kind", "give one, or withdraw the item"));
    }
    // Each order is at least a unit, so that what a window allows bounds what must be remembered of it.
    let counted = |kind: Kind| shares[kind.at()].filter(|s| s.unit == Unit::Request).map_or(0, |s| s.amount);
    let orders = counted(Kind::Confirmation).saturating_add(counted(Kind::Upload));
    if order_header.is_some() && orders > ORDERS as u64 {
        let reason = format!("comes to {orders} orders in a window, of which {ORDERS} can be remembered");
        return Err(Fault::new(name, "amount", reason, "shorten the window and lower the amounts"));
    }
    let window_us = (seconds * 1e6) as i64;
    Ok(Allowance { name: name.to_string(), edition, window_us, order_header, away, shares })
}

fn share(name: &str, map: &Map<String, Value>) -> Result<(Kind, Share), Fault> {
    known(name, map, &KIND_KEYS)?;
    let Some(kind) = text(name, map, "kind")?.and_then(Kind::from_word) else {
        return Err(Fault::new(name, "kind", "is missing or not known", "give read, confirmation or upload"));
    };
    let amount = whole(name, map, "amount", MAX_AMOUNT)?;
    let unit = match map.get("unitBytes") {
        None | Some(Value::Null) => Unit::Request,
        Some(_) => match whole(name, map, "unitBytes", MAX_AMOUNT)? {
            0 => {
                return Err(Fault::new(name, "unitBytes", "is 0", "give the bytes of a unit or leave it out"))
            }
            bytes => Unit::Bytes(bytes),
        },
    };
    let spent = match text(name, map, "spent")? {
        None | Some("refuse") => Spent::Refuse,
        Some("slow") if kind == Kind::Read => Spent::Slow,
        Some("slow") => return Err(Fault::new(name, "spent", "slows what is no read", "give refuse")),
        Some(_) => return Err(Fault::new(name, "spent", "is not known", "give refuse or slow")),
    };
    let strict = match map.get("strict") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(strict)) => *strict,
        Some(_) => return Err(Fault::new(name, "strict", "is not true or false", "give one of them")),
    };
    Ok((kind, Share { amount, unit, spent, strict }))
}

fn token(header: &str) -> bool {
    let good = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    !header.is_empty() && header.len() <= 64 && header.bytes().all(good)
}

fn name(place: &str, map: &Map<String, Value>) -> Result<String, Fault> {
    match map.get("name") {
        Some(Value::String(name)) if (1..=MAX_NAME).contains(&name.len()) => Ok(name.clone()),
        Some(Value::String(_)) => {
            let reason = format!("is empty or above {MAX_NAME} bytes");
            Err(Fault::new(place, "name", reason, "give the member's name"))
        }
        _ => Err(Fault::new(place, "name", "is missing or not a string", "give the member's name")),
    }
}

fn known(item: &str, map: &Map<String, Value>, keys: &[&str]) -> Result<(), Fault> {
    match map.keys().find(|key| !keys.contains(&key.as_str())) {
        Some(key) => Err(Fault::new(item, key, "is not known here", format!("send {}", keys.join(", ")))),
        None => Ok(()),
    }
}

fn object<'a>(item: &str, key: &str, value: &'a Value) -> Result<&'a Map<String, Value>, Fault> {
    value.as_object().ok_or_else(|| Fault::new(item, key, "is not an object", "send an object"))
}

fn list<'a>(item: &str, map: &'a Map<String, Value>, key: &str) -> Result<&'a [Value], Fault> {
    match map.get(key) {
        None | Some(Value::Null) => Ok(&[]),
        Some(Value::Array(list)) => Ok(list),
        Some(_) => Err(Fault::new(item, key, "is not a list", "send a list")),
    }
}

fn text<'a>(item: &str, map: &'a Map<String, Value>, key: &str) -> Result<Option<&'a str>, Fault> {
    match map.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(text)) => Ok(Some(text)),
        Some(_) => Err(Fault::new(item, key, "is not a string", "send a string")),
    }
}

fn whole(item: &str, map: &Map<String, Value>, key: &str, most: u64) -> Result<u64, Fault> {
    match map.get(key) {
        Some(value) => value.as_u64().filter(|n| *n <= most).ok_or_else(|| {
            Fault::new(item, key, format!("is no whole number from 0 to {most}"), "give such a number")
        }),
        None => Err(Fault::new(item, key, "is missing", "give it")),
    }
}
