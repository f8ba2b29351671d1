//! Operators' changes of one member: its current item, modified, as the next version. Keys are part of the wire protocol.
use serde_json::{json, Map, Value};
use std::fmt;

/// Keys of an item that a renewal may change.
const RENEWABLE_KEYS: [&str; 4] = ["plan", "lapsesAt", "lapsesInS", "slowing"];
/// Time until a lapse that is to begin now, in seconds: spans must not be 0.
const AT_ONCE_S: f64 = 0.001;

/// Why a change of a member's item is invalid.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ItemChangeError {
    /// The current item can't be parsed.
    UnreadableItem,
    /// The body of the call is not a JSON object.
    UnreadableBody,
    /// A key that a renewal can't change.
    NotRenewable { key: String },
    /// The end of the trial is missing.
    NoEnd,
}

impl fmt::Display for ItemChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ItemChangeError::UnreadableItem => {
                write!(f, "the item can't be read (send it anew with Config.Patch)")
            }
            ItemChangeError::UnreadableBody => {
                write!(f, "the body is no JSON object (send {{\"lapsesInS\":...}} or nothing)")
            }
            ItemChangeError::NotRenewable { key } => write!(
                f,
                "{key}: is not changed by a renewal (give one of {RENEWABLE_KEYS:?}, or use Config.Patch)"
            ),
            ItemChangeError::NoEnd => {
                write!(f, "lapsesInS: is missing, and so are lapsesAt and plan (say until when)")
            }
        }
    }
}

impl std::error::Error for ItemChangeError {}

/// Percent-decodes a name from a call's path; `None` if it is not valid text.
pub(crate) fn percent_decoded(path: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(path.len());
    let mut rest = path.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        if *first == b'%' {
            let code = std::str::from_utf8(after.get(..2)?).ok()?;
            bytes.push(u8::from_str_radix(code, 16).ok()?);
            rest = after.get(2..)?;
        } else {
            bytes.push(*first);
            rest = after;
        }
    }
    String::from_utf8(bytes).ok()
}

fn next_version(item: &str) -> Result<Map<String, Value>, ItemChangeError> {
    let Ok(Value::Object(mut item)) = serde_json::from_str(item) else {
        return Err(ItemChangeError::UnreadableItem);
    };
    let version = version_in(&item);
    item.insert("edition".to_string(), json!(version.saturating_add(1)));
    Ok(item)
}

/// The version of an item; 0 if it has none.
pub(crate) fn item_version(item: &str) -> u64 {
    match serde_json::from_str(item) {
        Ok(Value::Object(item)) => version_in(&item),
        _ => 0,
    }
}

fn version_in(item: &Map<String, Value>) -> u64 {
    let version = item.get("edition");
    version.and_then(|v| v.as_u64().or_else(|| v.as_f64().map(|v| v as u64))).unwrap_or(0)
}

fn patch(item: Map<String, Value>) -> String {
    json!({ "deliver": { "members": [item] } }).to_string()
}

/// The patch that renews a member: its item's next version, with the changes of `body`. Without a body a trial that was given
/// as a span gets the same span again.
///
/// # Errors
/// Why the item can't be renewed this way.
pub(crate) fn renewed_item(item: &str, body: &[u8]) -> Result<String, ItemChangeError> {
    let mut item = next_version(item)?;
    let given = if body.trim_ascii().is_empty() { b"{}" } else { body };
    let Ok(Value::Object(given)) = serde_json::from_slice(given) else {
        return Err(ItemChangeError::UnreadableBody);
    };
    if let Some(key) = given.keys().find(|key| !RENEWABLE_KEYS.contains(&key.as_str())) {
        return Err(ItemChangeError::NotRenewable { key: key.clone() });
    }
    let is_full = given.get("plan").is_some_and(|plan| plan == "full");
    let has_end = given.contains_key("lapsesAt") || given.contains_key("lapsesInS");
    if !has_end && !is_full && item.get("lapsesInS").is_none_or(Value::is_null) {
        return Err(ItemChangeError::NoEnd);
    }
    if has_end || is_full {
        item.remove("lapsesAt");
        item.remove("lapsesInS");
    }
    if has_end && !is_full {
        item.insert("plan".to_string(), json!("trial"));
    }
    item.extend(given);
    Ok(patch(item))
}

/// The patch that ends a member's trial now.
///
/// # Errors
/// [`ItemChangeError::UnreadableItem`].
pub(crate) fn lapsed_item(item: &str) -> Result<String, ItemChangeError> {
    let mut item = next_version(item)?;
    item.remove("lapsesAt");
    item.insert("lapsesInS".to_string(), json!(AT_ONCE_S));
    item.insert("plan".to_string(), json!("trial"));
    Ok(patch(item))
}
