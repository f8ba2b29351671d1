//! What is stored under a name: an item or its tombstone.

use std::collections::BTreeMap;

use bitcode::{Decode, Encode};

use crate::canonical::canonical_json;

/// A value with a version that the operator assigned.
pub trait Versioned {
    /// The item's version; of two items with one name the higher version wins.
    fn version(&self) -> u64;
}

/// An item, parsed and as it was sent.
#[derive(Clone, Debug, Encode, Decode)]
pub struct Item<T> {
    /// The parsed item.
    pub parsed: T,
    /// Its JSON as sent, without whitespace; includes fields that are unknown here.
    pub raw_json: String,
}

impl<T: PartialEq> PartialEq for Item<T> {
    /// Compares the content: the order of keys and the notation of numbers do not matter.
    fn eq(&self, other: &Self) -> bool {
        self.parsed == other.parsed
            && (self.raw_json == other.raw_json
                || canonical_json(&self.raw_json) == canonical_json(&other.raw_json))
    }
}

/// What is stored under a name.
#[derive(Clone, Debug, Encode, Decode)]
pub enum Entry<T> {
    /// The item is set.
    Set(Item<T>),
    /// The item was withdrawn. Kept so that an older version does not come back.
    Tombstone {
        /// The version of the withdrawal.
        version: u64,
        /// Position among all withdrawals that the state accepted, from 1; 0 while it is part of a call.
        order: u64,
    },
}

/// Entries by name.
pub type Entries<T> = BTreeMap<String, Entry<T>>;

impl<T: PartialEq> PartialEq for Entry<T> {
    /// Compares the meaning: the order of a withdrawal does not matter.
    fn eq(&self, other: &Self) -> bool {
        match (self, other) {
            (Entry::Set(a), Entry::Set(b)) => a == b,
            (Entry::Tombstone { version: a, .. }, Entry::Tombstone { version: b, .. }) => a == b,
            _ => false,
        }
    }
}

impl<T: Versioned> Entry<T> {
    /// The version of the item or of its withdrawal.
    pub fn version(&self) -> u64 {
        match self {
            Entry::Set(item) => item.parsed.version(),
            Entry::Tombstone { version, .. } => *version,
        }
    }
}

impl<T> Entry<T> {
    /// The entry of an item that was just parsed.
    pub fn set(parsed: T, raw_json: String) -> Entry<T> {
        Entry::Set(Item { parsed, raw_json })
    }

    /// The entry of a withdrawal that was just parsed.
    pub fn withdrawal(version: u64) -> Entry<T> {
        Entry::Tombstone { version, order: 0 }
    }

    /// Removes the JSON as sent, for nodes that need only the parsed item.
    pub fn clear_raw_json(&mut self) {
        if let Entry::Set(item) = self {
            item.raw_json.clear();
        }
    }

    /// The item; `None` for a tombstone.
    pub fn item(&self) -> Option<&Item<T>> {
        match self {
            Entry::Set(item) => Some(item),
            Entry::Tombstone { .. } => None,
        }
    }

    /// The parsed item; `None` for a tombstone.
    pub fn parsed(&self) -> Option<&T> {
        self.item().map(|item| &item.parsed)
    }

    /// The tombstone's position among all withdrawals that the state accepted; `None` for an item.
    pub fn tombstone_order(&self) -> Option<u64> {
        match self {
            Entry::Set(_) => None,
            Entry::Tombstone { order, .. } => Some(*order),
        }
    }
}
