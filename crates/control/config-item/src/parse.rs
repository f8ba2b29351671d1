//! Parses what all items share from an operator's JSON.

use std::collections::btree_map::Entry as Slot;
use std::fmt;

use serde_json::{Map, Value};

use crate::entry::{Entries, Entry, Versioned};
use crate::error::{ItemError, ItemProblem};

/// Maximum length of an item's name.
pub const MAX_NAME_BYTES: usize = 256;

/// How errors identify an item: by its name, or by its position if the name is missing or invalid.
pub fn item_label(value: &Value, position: impl Fn() -> String) -> String {
    match value.get("name") {
        Some(Value::String(name)) if !name.is_empty() && name.len() <= MAX_NAME_BYTES => name.clone(),
        _ => position(),
    }
}

/// The fields of an item.
///
/// # Errors
/// [`ItemProblem::ItemIsNoObject`].
pub fn item_fields<'a, P>(item: &str, value: &'a Value) -> Result<&'a Map<String, Value>, ItemError<P>>
where
    P: From<ItemProblem> + fmt::Display,
{
    value.as_object().ok_or_else(|| ItemError::new(item, "item", ItemProblem::ItemIsNoObject))
}

/// The items of an optional list.
///
/// # Errors
/// [`ItemProblem::NoList`].
pub fn item_list<'a, P>(
    item: &str,
    map: &'a Map<String, Value>,
    key: &str,
) -> Result<&'a [Value], ItemError<P>>
where
    P: From<ItemProblem> + fmt::Display,
{
    match map.get(key) {
        None | Some(Value::Null) => Ok(&[]),
        Some(Value::Array(list)) => Ok(list),
        Some(_) => Err(ItemError::new(item, key, ItemProblem::NoList)),
    }
}

/// Checks the length of a name.
///
/// # Errors
/// [`ItemProblem::EmptyName`], [`ItemProblem::NameTooLong`].
pub fn check_name<P>(item: &str, name: &str) -> Result<(), ItemError<P>>
where
    P: From<ItemProblem> + fmt::Display,
{
    if name.is_empty() {
        Err(ItemError::new(item, "name", ItemProblem::EmptyName))
    } else if name.len() > MAX_NAME_BYTES {
        Err(ItemError::new(item, "name", ItemProblem::NameTooLong { max_bytes: MAX_NAME_BYTES }))
    } else {
        Ok(())
    }
}

/// Adds an entry to those of a call. Entries of one call with the same name must be equal, except that a name may be
/// set and withdrawn at different versions, of which the higher wins.
///
/// # Errors
/// [`ItemProblem::ConflictingContent`], [`ItemProblem::SetAndWithdrawn`].
pub fn insert_entry<T, P>(entries: &mut Entries<T>, name: String, new: Entry<T>) -> Result<(), ItemError<P>>
where
    T: Versioned + PartialEq,
    P: From<ItemProblem> + fmt::Display,
{
    let mut slot = match entries.entry(name) {
        Slot::Vacant(slot) => {
            slot.insert(new);
            return Ok(());
        }
        Slot::Occupied(slot) => slot,
    };
    let old = slot.get();
    if *old == new {
        return Ok(());
    }
    if old.item().is_some() && new.item().is_some() {
        return Err(ItemError::new(slot.key(), "name", ItemProblem::ConflictingContent));
    }
    if old.version() == new.version() {
        return Err(ItemError::new(slot.key(), "edition", ItemProblem::SetAndWithdrawn));
    }
    if new.version() > old.version() {
        slot.insert(new);
    }
    Ok(())
}
