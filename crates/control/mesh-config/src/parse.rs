//! Parses a call of the operator.

mod client_limits;
mod destination;
mod fields;
mod route;

use serde_json::{Map, Value};
use silvercross_config_item::{
    check_name, insert_entry, item_label, item_list, Entries, Entry, Item, ItemError, ItemProblem, Versioned,
};
use silvercross_throttle::{parse_members, MemberListChange};

use crate::change::{ConfigurationChange, ConfigurationUpdate};
use crate::error::{ConfigurationError, ConfigurationProblem};
use crate::route::{check_path_prefixes, host_key};
use crate::wire::{CLIENT_LIMITS, DELIVER, ROUTES_OF_HOST, VIRTUAL_HOST, VIRTUAL_HOSTS, WITHDRAW};
use fields::{extract, WithdrawalForm};

pub use fields::MAX_DURATION;

/// Maximum length of a call's body.
pub const MAX_BODY_BYTES: usize = 8 << 20;

const BODY: &str = "body";

/// The lists that a call may contain.
struct KnownLists {
    deliver: &'static [&'static str],
    withdraw: &'static [&'static str],
}

const WITHOUT_MEMBERS: KnownLists = KnownLists {
    deliver: &["destinations", CLIENT_LIMITS, VIRTUAL_HOSTS],
    withdraw: &["routes", "destinations"],
};

const WITH_MEMBERS: KnownLists = KnownLists {
    deliver: &["destinations", CLIENT_LIMITS, VIRTUAL_HOSTS, "members", "membership"],
    withdraw: &["routes", "destinations", "members"],
};

/// Parses one call and checks everything that does not depend on the current configuration.
///
/// Unknown fields are kept in their item. Unknown lists cannot be kept, so a call with items in one is rejected;
/// otherwise they would be acknowledged and lost.
///
/// # Errors
/// Any input gives a result rather than a panic; on an error nothing of the call may be applied.
pub fn parse_change(body: &[u8]) -> Result<ConfigurationChange, ConfigurationError> {
    let body = parse_body(body)?;
    let Sections { deliver, withdraw } = sections(body, &WITHOUT_MEMBERS)?;
    parse_items(&deliver, &withdraw)
}

/// The same, with members and how requests name them.
///
/// # Errors
/// As [`parse_change`].
pub fn parse_update(body: &[u8]) -> Result<ConfigurationUpdate, ConfigurationError> {
    let body = parse_body(body)?;
    let Sections { deliver, withdraw } = sections(body, &WITH_MEMBERS)?;
    let configuration = parse_items(&deliver, &withdraw)?;
    let members: MemberListChange =
        parse_members(&deliver, &withdraw).map_err(|error| error.map(ConfigurationProblem::Member))?;
    Ok(ConfigurationUpdate { configuration, members })
}

fn parse_body(body: &[u8]) -> Result<Map<String, Value>, ConfigurationError> {
    if body.len() > MAX_BODY_BYTES {
        let problem = ConfigurationProblem::BodyTooLong { max_bytes: MAX_BODY_BYTES };
        return Err(ItemError::new(BODY, "length", problem));
    }
    let json_error = |error: serde_json::Error| {
        ItemError::new(BODY, "json", ConfigurationProblem::InvalidJson { parser: error.to_string() })
    };
    match serde_json::from_slice(body).map_err(json_error)? {
        Value::Object(body) => Ok(body),
        _ => Err(ItemError::new(BODY, "json", ConfigurationProblem::BodyIsNoObject)),
    }
}

/// The sections of a call: what it sets and what it withdraws.
struct Sections {
    deliver: Map<String, Value>,
    withdraw: Map<String, Value>,
}

fn sections(mut body: Map<String, Value>, known: &KnownLists) -> Result<Sections, ConfigurationError> {
    check_known(BODY, &body, &[DELIVER, WITHDRAW])?;
    let deliver = take_object(BODY, &mut body, DELIVER)?;
    let withdraw = take_object(BODY, &mut body, WITHDRAW)?;
    check_known(DELIVER, &deliver, known.deliver)?;
    check_known(WITHDRAW, &withdraw, known.withdraw)?;
    Ok(Sections { deliver, withdraw })
}

fn parse_items(
    deliver: &Map<String, Value>,
    withdraw: &Map<String, Value>,
) -> Result<ConfigurationChange, ConfigurationError> {
    let mut change = ConfigurationChange::default();
    for (i, value) in item_list(DELIVER, deliver, "destinations")?.iter().enumerate() {
        let label = item_label(value, || format!("destinations[{i}]"));
        let destination = destination::parse(&label, extract(&label, value)?)?;
        let name = destination.name.clone();
        insert_entry(&mut change.destinations, name, Entry::set(destination, value.to_string()))?;
    }
    if let Some(value) = deliver.get(CLIENT_LIMITS).filter(|value| !value.is_null()) {
        let parsed = client_limits::parse(CLIENT_LIMITS, extract(CLIENT_LIMITS, value)?)?;
        change.limits = Some(Item { parsed, raw_json: value.to_string() });
    }
    for (i, value) in item_list(DELIVER, deliver, VIRTUAL_HOSTS)?.iter().enumerate() {
        parse_virtual_host(&format!("{VIRTUAL_HOSTS}[{i}]"), value, &mut change)?;
    }
    parse_withdrawals("routes", withdraw, &mut change.routes)?;
    parse_withdrawals("destinations", withdraw, &mut change.destinations)?;
    check_path_prefixes(change.routes.values().filter_map(Entry::parsed))?;
    Ok(change)
}

/// Parses the routes of one virtual host.
fn parse_virtual_host(
    position: &str,
    value: &Value,
    change: &mut ConfigurationChange,
) -> Result<(), ConfigurationError> {
    let Value::Object(group) = value else {
        return Err(ItemError::new(position, VIRTUAL_HOST, ConfigurationProblem::VirtualHostIsNoObject));
    };
    let host = match group.get(VIRTUAL_HOST) {
        Some(Value::String(host)) if !host_key(host).is_empty() => host,
        Some(Value::String(_)) => {
            return Err(ItemError::new(position, VIRTUAL_HOST, ConfigurationProblem::EmptyVirtualHost))
        }
        _ => return Err(ItemError::new(position, VIRTUAL_HOST, ConfigurationProblem::NoVirtualHost)),
    };
    for (i, value) in item_list(position, group, ROUTES_OF_HOST)?.iter().enumerate() {
        let label = item_label(value, || format!("{position}.{ROUTES_OF_HOST}[{i}]"));
        let route = route::parse(&label, host, extract(&label, value)?)?;
        let name = route.name.clone();
        insert_entry(&mut change.routes, name, Entry::set(route, value.to_string()))?;
    }
    Ok(())
}

fn parse_withdrawals<T: Versioned + PartialEq>(
    key: &str,
    withdraw: &Map<String, Value>,
    entries: &mut Entries<T>,
) -> Result<(), ConfigurationError> {
    for (i, value) in item_list(WITHDRAW, withdraw, key)?.iter().enumerate() {
        let label = item_label(value, || format!("{WITHDRAW}.{key}[{i}]"));
        let WithdrawalForm { name, version } = extract(&label, value)?;
        check_name(&label, &name)?;
        insert_entry(entries, name, Entry::withdrawal(version.0))?;
    }
    Ok(())
}

/// Rejects items in an unknown list.
fn check_known(
    item: &str,
    map: &Map<String, Value>,
    known: &[&'static str],
) -> Result<(), ConfigurationError> {
    for (key, value) in map {
        let has_items = match value {
            Value::Array(list) => !list.is_empty(),
            Value::Object(map) => !map.is_empty(),
            _ => false,
        };
        if has_items && !known.contains(&key.as_str()) {
            let problem = ConfigurationProblem::UnknownList { known: known.to_vec() };
            return Err(ItemError::new(item, key, problem));
        }
    }
    Ok(())
}

/// Removes an optional object from its map; an absent one counts as empty.
fn take_object(
    item: &str,
    map: &mut Map<String, Value>,
    key: &str,
) -> Result<Map<String, Value>, ConfigurationError> {
    match map.remove(key) {
        None | Some(Value::Null) => Ok(Map::new()),
        Some(Value::Object(inner)) => Ok(inner),
        Some(_) => Err(ItemError::new(item, key, ItemProblem::NoObject)),
    }
}
