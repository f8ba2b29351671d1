//! Reading what an operator sends of members.

use std::collections::btree_map::Entry as Slot;
use std::collections::BTreeMap;

use serde_json::{Map, Value};

use crate::item::{
    Entries, Entry, Item, LapseTime, Member, MemberError, MemberIdentification, Plan, ThrottleSchedule,
    UnknownMemberPolicy, MAX_DELAY_PPM, MAX_KEYS, MAX_KEY_BYTES, MAX_NAME_BYTES, MAX_STEPS, MAX_TIME,
    MIN_STEP,
};
use crate::member_list::MemberListChange;

/// Headers that mean something else already.
const TAKEN: [&str; 15] = [
    "accept-encoding",
    "attempt-id",
    "connection",
    "content-encoding",
    "content-length",
    "content-type",
    "deadline-ms",
    "expect",
    "expect-station",
    "host",
    "keep-alive",
    "sender",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// Read `members` and `identification` of a call's `deliver` and `members` of its `withdraw`, and check all that can be
/// checked without the present roll. Other lists are left alone. Whatever the values, the outcome is a value; a fault
/// means that nothing of the call may come into force. Holds at most what the call's body says, whose length the caller
/// bounds.
pub fn read(
    deliver: &Map<String, Value>,
    withdraw: &Map<String, Value>,
) -> Result<MemberListChange, MemberError> {
    let mut sent = MemberListChange::default();
    for (i, value) in list("deliver", deliver)?.iter().enumerate() {
        let label = label(value, || format!("members[{i}]"));
        let member = member(&label, fields(&label, value)?)?;
        let name = member.name.clone();
        put(&mut sent.members, name, Entry::Set(Item { parsed: member, raw_json: value.to_string() }))?;
    }
    for (i, value) in list("withdraw", withdraw)?.iter().enumerate() {
        let label = label(value, || format!("withdraw.members[{i}]"));
        let map = fields(&label, value)?;
        let name = name(&label, map)?;
        put(&mut sent.members, name, Entry::Dropped { version: version(&label, map)?, order: 0 })?;
    }
    if let Some(value) = deliver.get("membership").filter(|value| !value.is_null()) {
        let parsed = identification(fields("membership", value)?)?;
        sent.identification = Some(Item { parsed, raw_json: value.to_string() });
    }
    let mut keys = BTreeMap::new();
    for member in sent.members.values().filter_map(Entry::member) {
        for key in &member.keys {
            if let Some(other) = keys.insert(key, &member.name) {
                return Err(shared(member, other));
            }
        }
    }
    drop(keys);
    Ok(sent)
}

/// Two members with one key. The key itself is left out: reasons are logged.
pub(crate) fn shared(member: &Member, other: &str) -> MemberError {
    let reason = if member.name == other {
        "names one twice (give each once)".to_string()
    } else {
        format!("names one that is member {other}'s (give each member its own)")
    };
    MemberError::new(&member.name, "keys", reason)
}

/// Take an item of the call. What the same call says of a name elsewhere must agree with it, except that a name may be
/// set and dropped at two editions, of which the higher holds.
fn put(entries: &mut Entries, name: String, new: Entry) -> Result<(), MemberError> {
    match entries.entry(name) {
        Slot::Vacant(slot) => {
            slot.insert(new);
        }
        Slot::Occupied(mut slot) => {
            let old = slot.get();
            if *old == new {
                return Ok(());
            }
            if old.item().is_some() && new.item().is_some() {
                let reason = "stands twice with different content (keep one)";
                return Err(MemberError::new(slot.key(), "name", reason));
            }
            if old.version() == new.version() {
                let reason = "is set and dropped at the same edition (raise the edition that is to hold)";
                return Err(MemberError::new(slot.key(), "edition", reason));
            }
            if new.version() > old.version() {
                slot.insert(new);
            }
        }
    }
    Ok(())
}

fn list<'a>(item: &str, map: &'a Map<String, Value>) -> Result<&'a [Value], MemberError> {
    match map.get("members") {
        None | Some(Value::Null) => Ok(&[]),
        Some(Value::Array(list)) => Ok(list),
        Some(_) => Err(MemberError::new(item, "members", "is not a list (send a list or leave it out)")),
    }
}

/// The item's name, or else its position.
fn label(value: &Value, position: impl Fn() -> String) -> String {
    match value.get("name") {
        Some(Value::String(name)) if !name.is_empty() && name.len() <= MAX_NAME_BYTES => name.clone(),
        _ => position(),
    }
}

fn fields<'a>(item: &str, value: &'a Value) -> Result<&'a Map<String, Value>, MemberError> {
    value
        .as_object()
        .ok_or_else(|| MemberError::new(item, "item", "is not an object (send each item as an object)"))
}

/// A field that is there and not null.
fn given<'a>(map: &'a Map<String, Value>, key: &str) -> Option<&'a Value> {
    map.get(key).filter(|value| !value.is_null())
}

fn text<'a>(item: &str, map: &'a Map<String, Value>, key: &str) -> Result<Option<&'a str>, MemberError> {
    match given(map, key) {
        None => Ok(None),
        Some(Value::String(text)) => Ok(Some(text)),
        Some(_) => Err(MemberError::new(item, key, "is not a string (give a string)")),
    }
}

fn missing(item: &str, key: &str) -> MemberError {
    MemberError::new(item, key, "is missing (give it)")
}

fn name(item: &str, map: &Map<String, Value>) -> Result<String, MemberError> {
    let name = text(item, map, "name")?.ok_or_else(|| missing(item, "name"))?;
    if name.is_empty() {
        Err(MemberError::new(item, "name", "is empty (give the item a name)"))
    } else if name.len() > MAX_NAME_BYTES {
        Err(MemberError::new(item, "name", format!("is above {MAX_NAME_BYTES} bytes (give a shorter one)")))
    } else {
        Ok(name.to_string())
    }
}

/// A whole number from 0 on, however it is written.
fn whole(item: &str, map: &Map<String, Value>, key: &str) -> Result<Option<u64>, MemberError> {
    let wrong = || MemberError::new(item, key, "is not a whole number from 0 on (give one)");
    let Some(value) = given(map, key) else { return Ok(None) };
    if let Some(n) = value.as_u64() {
        return Ok(Some(n));
    }
    // Above 2^53 a float no longer tells neighbouring numbers apart.
    let n = value.as_f64().filter(|n| *n >= 0.0 && n.fract() == 0.0 && *n <= 9_007_199_254_740_992.0);
    n.map(|n| Some(n as u64)).ok_or_else(wrong)
}

fn version(item: &str, map: &Map<String, Value>) -> Result<u64, MemberError> {
    whole(item, map, "edition")?.ok_or_else(|| missing(item, "edition"))
}

fn number(item: &str, map: &Map<String, Value>, key: &str) -> Result<Option<f64>, MemberError> {
    match given(map, key) {
        None => Ok(None),
        Some(value) => match value.as_f64().filter(|n| n.is_finite()) {
            Some(n) => Ok(Some(n)),
            None => Err(MemberError::new(item, key, "is not a number (give a number)")),
        },
    }
}

/// Seconds above 0 as microseconds, at least one.
fn seconds(item: &str, map: &Map<String, Value>, key: &str) -> Result<Option<i64>, MemberError> {
    let Some(seconds) = number(item, map, key)? else { return Ok(None) };
    let us = (seconds * 1e6).round();
    if us < 1.0 {
        return Err(MemberError::new(item, key, "must be above 0 (give the seconds, fractions may be used)"));
    }
    if us > MAX_TIME as f64 {
        let most = MAX_TIME / 1_000_000;
        return Err(MemberError::new(item, key, format!("is above {most} (give seconds, not milliseconds)")));
    }
    Ok(Some(us as i64))
}

fn member(item: &str, map: &Map<String, Value>) -> Result<Member, MemberError> {
    let name = name(item, map)?;
    let keys = keys(item, map)?;
    let plan = match text(item, map, "plan")? {
        Some("trial") => Plan::Trial,
        Some("full") => Plan::Full,
        Some(_) => return Err(MemberError::new(item, "plan", "is not a plan (give trial or full)")),
        None => return Err(missing(item, "plan")),
    };
    let at = seconds(item, map, "lapsesAt")?.map(LapseTime::At);
    let within = seconds(item, map, "lapsesInS")?.map(LapseTime::In);
    let lapse_time = match (plan, at, within) {
        (_, Some(_), Some(_)) => {
            return Err(MemberError::new(item, "lapsesInS", "stands beside lapsesAt (give one of the two)"))
        }
        (Plan::Trial, None, None) => {
            let reason = "is missing, and so is lapsesInS (give one of them, or the plan full)";
            return Err(MemberError::new(item, "lapsesAt", reason));
        }
        (Plan::Full, Some(_), None) => {
            return Err(MemberError::new(
                item,
                "lapsesAt",
                "stands on a full plan (leave it out, or give trial)",
            ))
        }
        (Plan::Full, None, Some(_)) => {
            return Err(MemberError::new(
                item,
                "lapsesInS",
                "stands on a full plan (leave it out, or give trial)",
            ))
        }
        (Plan::Trial, at, within) => at.or(within),
        (Plan::Full, None, None) => None,
    };
    let throttle = match given(map, "slowing") {
        None => ThrottleSchedule::default(),
        Some(Value::Object(map)) => throttle(item, map)?,
        Some(_) => {
            return Err(MemberError::new(
                item,
                "slowing",
                "is not an object (send an object or leave it out)",
            ))
        }
    };
    Ok(Member { name, keys, plan, lapse_time, throttle, version: version(item, map)? })
}

/// One `key`, or several `keys`.
fn keys(item: &str, map: &Map<String, Value>) -> Result<Vec<String>, MemberError> {
    let (named, values) = match (given(map, "key"), given(map, "keys")) {
        (Some(one), None) => ("key", std::slice::from_ref(one)),
        (None, Some(Value::Array(list))) => ("keys", list.as_slice()),
        (None, Some(_)) => {
            return Err(MemberError::new(item, "keys", "is not a list (send a list of keys, or key)"))
        }
        (Some(_), Some(_)) => {
            return Err(MemberError::new(item, "keys", "stands beside key (give one of the two)"))
        }
        (None, None) => {
            return Err(MemberError::new(item, "key", "is missing, and so is keys (give one of them)"))
        }
    };
    if values.is_empty() || values.len() > MAX_KEYS {
        return Err(MemberError::new(item, named, format!("must name 1 to {MAX_KEYS} keys (give so many)")));
    }
    let mut keys = Vec::with_capacity(values.len());
    for value in values {
        let key = value.as_str().filter(|key| {
            !key.is_empty() && key.len() <= MAX_KEY_BYTES && key.bytes().all(|b| b.is_ascii_graphic())
        });
        let Some(key) = key else {
            let reason =
                format!("must be 1 to {MAX_KEY_BYTES} visible ASCII characters (give such a string)");
            return Err(MemberError::new(item, named, reason));
        };
        keys.push(key.to_string());
    }
    Ok(keys)
}

fn throttle(item: &str, map: &Map<String, Value>) -> Result<ThrottleSchedule, MemberError> {
    let mut throttle = ThrottleSchedule::default();
    if let Some(share) = number(item, map, "fullShare")? {
        let ppm = (share * 1e6).round();
        if !(1.0..=f64::from(MAX_DELAY_PPM)).contains(&ppm) {
            let most = f64::from(MAX_DELAY_PPM) / 1e6;
            return Err(MemberError::new(
                item,
                "fullShare",
                format!("must be above 0 and at most {most} (give the share of the target)"),
            ));
        }
        throttle.max_delay_ppm = ppm as u32;
    }
    throttle.ramp = seconds(item, map, "spanS")?.unwrap_or(throttle.ramp);
    if let Some(steps) = whole(item, map, "steps")? {
        throttle.steps =
            u32::try_from(steps).ok().filter(|n| (1..=MAX_STEPS).contains(n)).ok_or_else(|| {
                MemberError::new(item, "steps", format!("must be 1 to {MAX_STEPS} (give so many)"))
            })?;
    }
    if throttle.ramp / i64::from(throttle.steps) < MIN_STEP {
        let least = MIN_STEP / 1_000_000;
        let reason = format!("gives steps shorter than {least} s (give a longer span or fewer steps)");
        return Err(MemberError::new(item, "spanS", reason));
    }
    Ok(throttle)
}

fn identification(map: &Map<String, Value>) -> Result<MemberIdentification, MemberError> {
    let item = "membership";
    let header = text(item, map, "header")?.ok_or_else(|| missing(item, "header"))?.to_ascii_lowercase();
    let token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    if header.is_empty() || header.len() > 64 || !header.bytes().all(token) {
        return Err(MemberError::new(
            item,
            "header",
            "is no header's name (give up to 64 letters, digits and -)",
        ));
    }
    if TAKEN.contains(&header.as_str()) {
        return Err(MemberError::new(item, "header", "means something else already (give another)"));
    }
    let unknown = match text(item, map, "unknown")? {
        None | Some("serve") => UnknownMemberPolicy::Serve,
        Some("refuse") => UnknownMemberPolicy::Reject,
        Some(_) => return Err(MemberError::new(item, "unknown", "is not known (give serve or refuse)")),
    };
    Ok(MemberIdentification { header, unknown, version: version(item, map)? })
}
