//! Merges the entries of a call into the current ones: the highest version of each name wins.

use std::collections::BTreeMap;

use crate::entry::{Entries, Entry, Item, Versioned};

/// The entries of a call that replace the current ones, by name.
pub type NewerEntries<'a, T> = BTreeMap<&'a str, &'a Entry<T>>;

/// The result of a merge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MergeOutcome<F> {
    /// Whether any entry changed.
    pub is_changed: bool,
    /// The tombstones removed to stay within the limit.
    pub forgotten: Vec<F>,
}

/// A withdrawn name and the version of its withdrawal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tombstone {
    /// The name.
    pub name: String,
    /// The version of the withdrawal.
    pub version: u64,
}

/// The entries of a call whose version is above that of the current entry. For each with the same version but different
/// content, `conflict` is called with its name and version and may return an error.
///
/// # Errors
/// The error of `conflict`.
pub fn newer_entries<'a, T, E>(
    current: &Entries<T>,
    sent: &'a Entries<T>,
    conflict: impl Fn(&str, u64) -> Result<(), E>,
) -> Result<NewerEntries<'a, T>, E>
where
    T: Versioned + PartialEq,
{
    let mut newer = NewerEntries::new();
    for (name, new) in sent {
        match current.get(name) {
            Some(old) if new.version() < old.version() => {}
            Some(old) if new.version() == old.version() => {
                if old != new {
                    conflict(name, new.version())?;
                }
            }
            _ => {
                newer.insert(name, new);
            }
        }
    }
    Ok(newer)
}

/// The same for a single item without a name: the item sent, if its version is above the current one.
///
/// # Errors
/// The error of `conflict`, if the version is the same and the content differs.
pub fn newer_item<'a, T, E>(
    current: Option<&Item<T>>,
    sent: Option<&'a Item<T>>,
    conflict: impl Fn(u64) -> E,
) -> Result<Option<&'a Item<T>>, E>
where
    T: Versioned + PartialEq,
{
    let (Some(old), Some(new)) = (current, sent) else { return Ok(sent) };
    let version = new.parsed.version();
    match version.cmp(&old.parsed.version()) {
        std::cmp::Ordering::Greater => Ok(Some(new)),
        std::cmp::Ordering::Equal if old != new => Err(conflict(version)),
        _ => Ok(None),
    }
}

/// The items that would be in force with the newer entries.
pub fn resulting_items<'a, T>(
    current: &'a Entries<T>,
    newer: &'a NewerEntries<'a, T>,
) -> impl Iterator<Item = &'a T> {
    let kept = current.iter().filter(|(name, _)| !newer.contains_key(name.as_str())).map(|(_, entry)| entry);
    kept.chain(newer.values().copied()).filter_map(Entry::parsed)
}

/// Stores the newer entries. `withdrawals` counts the withdrawals accepted so far; tombstones get their order from it.
pub fn store_entries<T: Clone>(current: &mut Entries<T>, newer: NewerEntries<'_, T>, withdrawals: &mut u64) {
    for (name, new) in newer {
        let entry = match new {
            Entry::Set(item) => Entry::Set(item.clone()),
            Entry::Tombstone { version, .. } => {
                *withdrawals += 1;
                Entry::Tombstone { version: *version, order: *withdrawals }
            }
        };
        current.insert(name.to_string(), entry);
    }
}

/// Removes the tombstones whose order is below `first_kept` and returns them in the order of their names.
pub fn forget_tombstones<T: Versioned>(current: &mut Entries<T>, first_kept: u64) -> Vec<Tombstone> {
    let mut forgotten = Vec::new();
    current.retain(|name, entry| {
        let is_kept = entry.tombstone_order().is_none_or(|order| order >= first_kept);
        if !is_kept {
            forgotten.push(Tombstone { name: name.clone(), version: entry.version() });
        }
        is_kept
    });
    forgotten
}
