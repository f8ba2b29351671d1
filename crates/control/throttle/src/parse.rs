//! Parses the members in an operator's call.

mod fields;

use std::collections::BTreeMap;

use serde_json::{Map, Value};
use silvercross_config_item::{insert_entry, item_fields, item_label, item_list, Entry, Item, ItemProblem};

use crate::error::{MemberError, MemberProblem};
use crate::member::{
    LapseTime, Member, MemberIdentification, Plan, ThrottleSchedule, UnknownMemberPolicy, MAX_DELAY_PPM,
    MAX_KEYS, MAX_KEY_BYTES, MAX_STEPS, MIN_STEP,
};
use crate::member_list::{check_keys, MemberListChange};
use crate::unix_time::UnixTime;
use fields::Fields;

/// Headers that are used for other purposes.
const RESERVED_HEADERS: [&str; 15] = [
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

const MAX_HEADER_BYTES: usize = 64;
const PPM: f64 = 1e6;

/// Parses `members` and `membership` of a call's `deliver` and `members` of its `withdraw`, and checks all that does
/// not depend on the current members. Other lists are ignored. The size of the result is bounded by that of the
/// call's body, which the caller limits.
///
/// # Errors
/// The first problem found. The caller must then apply no part of the call. No input causes a panic.
pub fn parse_members(
    deliver: &Map<String, Value>,
    withdraw: &Map<String, Value>,
) -> Result<MemberListChange, MemberError> {
    let mut change = MemberListChange::default();
    for (i, value) in item_list("deliver", deliver, "members")?.iter().enumerate() {
        let label = item_label(value, || format!("members[{i}]"));
        let member = member(&Fields { item: &label, map: item_fields(&label, value)? })?;
        let name = member.name.clone();
        insert_entry(&mut change.members, name, Entry::set(member, value.to_string()))?;
    }
    for (i, value) in item_list("withdraw", withdraw, "members")?.iter().enumerate() {
        let label = item_label(value, || format!("withdraw.members[{i}]"));
        let fields = Fields { item: &label, map: item_fields(&label, value)? };
        let name = fields.name()?;
        insert_entry(&mut change.members, name, Entry::withdrawal(fields.version()?))?;
    }
    if let Some(value) = deliver.get("membership").filter(|value| !value.is_null()) {
        let item = "membership";
        let parsed = identification(&Fields { item, map: item_fields(item, value)? })?;
        change.identification = Some(Item { parsed, raw_json: value.to_string() });
    }
    let mut keys = BTreeMap::new();
    for member in change.members.values().filter_map(Entry::parsed) {
        check_keys(&mut keys, member)?;
    }
    drop(keys);
    Ok(change)
}

fn member(fields: &Fields<'_>) -> Result<Member, MemberError> {
    let name = fields.name()?;
    let keys = keys(fields)?;
    let plan = match fields.string("plan")? {
        Some("trial") => Plan::Trial,
        Some("full") => Plan::Full,
        Some(_) => return Err(fields.error("plan", MemberProblem::UnknownPlan)),
        None => return Err(fields.error("plan", ItemProblem::Missing)),
    };
    let lapse_time = lapse_time(fields, plan)?;
    let throttle = match fields.non_null("slowing") {
        None => ThrottleSchedule::default(),
        Some(Value::Object(map)) => schedule(&Fields { item: fields.item, map })?,
        Some(_) => return Err(fields.error("slowing", ItemProblem::NoObject)),
    };
    Ok(Member { name, keys, plan, lapse_time, throttle, version: fields.version()? })
}

fn lapse_time(fields: &Fields<'_>, plan: Plan) -> Result<Option<LapseTime>, MemberError> {
    let at = fields.seconds("lapsesAt")?.map(|span| LapseTime::At(UnixTime::from_micros(span.as_micros())));
    let within = fields.seconds("lapsesInS")?.map(LapseTime::In);
    match (plan, at, within) {
        (_, Some(_), Some(_)) => Err(fields.error("lapsesInS", MemberProblem::TwoLapseTimes)),
        (Plan::Trial, None, None) => Err(fields.error("lapsesAt", MemberProblem::NoLapseTime)),
        (Plan::Full, Some(_), None) => Err(fields.error("lapsesAt", MemberProblem::FullPlanLapses)),
        (Plan::Full, None, Some(_)) => Err(fields.error("lapsesInS", MemberProblem::FullPlanLapses)),
        (Plan::Trial, at, within) => Ok(at.or(within)),
        (Plan::Full, None, None) => Ok(None),
    }
}

/// The keys, from either `key` or `keys`.
fn keys(fields: &Fields<'_>) -> Result<Vec<String>, MemberError> {
    let (field, values) = match (fields.non_null("key"), fields.non_null("keys")) {
        (Some(one), None) => ("key", std::slice::from_ref(one)),
        (None, Some(Value::Array(list))) => ("keys", list.as_slice()),
        (None, Some(_)) => return Err(fields.error("keys", MemberProblem::KeysAreNoList)),
        (Some(_), Some(_)) => return Err(fields.error("keys", MemberProblem::KeyAndKeys)),
        (None, None) => return Err(fields.error("key", MemberProblem::NoKey)),
    };
    if values.is_empty() || values.len() > MAX_KEYS {
        return Err(fields.error(field, MemberProblem::KeyCount { max: MAX_KEYS }));
    }
    let is_key = |key: &&str| {
        !key.is_empty() && key.len() <= MAX_KEY_BYTES && key.bytes().all(|b| b.is_ascii_graphic())
    };
    let key = |value: &Value| value.as_str().filter(is_key).map(str::to_string);
    let keys: Option<Vec<String>> = values.iter().map(key).collect();
    keys.ok_or_else(|| fields.error(field, MemberProblem::MalformedKey { max_bytes: MAX_KEY_BYTES }))
}

fn schedule(fields: &Fields<'_>) -> Result<ThrottleSchedule, MemberError> {
    let mut schedule = ThrottleSchedule::default();
    if let Some(share) = fields.number("fullShare")? {
        let ppm = (share * PPM).round();
        if !(1.0..=f64::from(MAX_DELAY_PPM)).contains(&ppm) {
            let problem = MemberProblem::DelayOutOfRange { max_ppm: MAX_DELAY_PPM };
            return Err(fields.error("fullShare", problem));
        }
        schedule.max_delay_ppm = ppm as u32;
    }
    schedule.ramp = fields.seconds("spanS")?.unwrap_or(schedule.ramp);
    if let Some(steps) = fields.whole_number("steps")? {
        schedule.steps = u32::try_from(steps)
            .ok()
            .filter(|n| (1..=MAX_STEPS).contains(n))
            .ok_or_else(|| fields.error("steps", MemberProblem::StepCount { max: MAX_STEPS }))?;
    }
    if schedule.ramp / i64::from(schedule.steps) < MIN_STEP {
        let min_seconds = MIN_STEP.as_micros() / 1_000_000;
        return Err(fields.error("spanS", MemberProblem::StepTooShort { min_seconds }));
    }
    Ok(schedule)
}

fn identification(fields: &Fields<'_>) -> Result<MemberIdentification, MemberError> {
    let header = fields.string("header")?.ok_or_else(|| fields.error("header", ItemProblem::Missing))?;
    let header = header.to_ascii_lowercase();
    // RFC 9110, section 5.6.2: characters of a token.
    let is_token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    if header.is_empty() || header.len() > MAX_HEADER_BYTES || !header.bytes().all(is_token) {
        return Err(fields.error("header", MemberProblem::MalformedHeader));
    }
    if RESERVED_HEADERS.contains(&header.as_str()) {
        return Err(fields.error("header", MemberProblem::ReservedHeader));
    }
    let unknown = match fields.string("unknown")? {
        None | Some("serve") => UnknownMemberPolicy::Serve,
        Some("refuse") => UnknownMemberPolicy::Reject,
        Some(_) => return Err(fields.error("unknown", MemberProblem::UnknownPolicy)),
    };
    Ok(MemberIdentification { header, unknown, version: fields.version()? })
}
