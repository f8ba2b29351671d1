//! Merging the entries of a call into those that stand: the highest version of each name wins.

use std::collections::BTreeMap;

use crate::entry::{Entries, Entry, Item, Versioned};

/// The entries of a call that take the place of those that stand, by name.
pub type NewerEntries<'a, T> = BTreeMap<&'a str, &'a Entry<T>>;

/// What a merge did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MergeOutcome<F> {
    /// Whether anything stands that did not stand before.
    pub is_changed: bool,
    /// The tombstones that were forgotten for it.
    pub forgotten: Vec<F>,
}

/// A name that was withdrawn, and the version of its withdrawal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tombstone {
    /// The name.
    pub name: String,
    /// The version of the withdrawal.
    pub version: u64,
}

/// Those entries of a call that are of a higher version than what stands under their names. `conflict` is asked about
/// each that has the same version with another content, by name and version; if it returns an error, that is the result.
///
/// # Errors
/// What `conflict` returns.
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

/// The same for an item of which there is one: what was sent, if it is of a higher version than what stands.
///
/// # Errors
/// What `conflict` returns, which is asked about the same version with another content.
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

/// What would stand with the newer entries in place.
pub fn resulting_items<'a, T>(
    current: &'a Entries<T>,
    newer: &'a NewerEntries<'a, T>,
) -> impl Iterator<Item = &'a T> {
    let kept = current.iter().filter(|(name, _)| !newer.contains_key(name.as_str())).map(|(_, entry)| entry);
    kept.chain(newer.values().copied()).filter_map(Entry::parsed)
}

/// Put the newer entries in place. `withdrawals` counts the withdrawals taken so far and gives tombstones their order.
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

/// Forget the tombstones whose order is below `first_kept`, and return them by name.
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
