//! What stands under a name: an item, or the tombstone of one.

use std::collections::BTreeMap;

use bitcode::{Decode, Encode};

use crate::canonical::canonical_json;

/// Something an operator gave a version.
pub trait Versioned {
    /// The item's version; of two under one name the higher stands.
    fn version(&self) -> u64;
}

/// An item as it is used and as it was sent, with the fields that are not known here.
#[derive(Clone, Debug, Encode, Decode)]
pub struct Item<T> {
    /// As it is used.
    pub parsed: T,
    /// Its JSON as sent, without blanks.
    pub raw_json: String,
}

impl<T: PartialEq> PartialEq for Item<T> {
    /// The same content: order of keys and the way a number is written don't matter.
    fn eq(&self, other: &Self) -> bool {
        self.parsed == other.parsed
            && (self.raw_json == other.raw_json
                || canonical_json(&self.raw_json) == canonical_json(&other.raw_json))
    }
}

/// What stands under a name.
#[derive(Clone, Debug, Encode, Decode)]
pub enum Entry<T> {
    /// An item.
    Set(Item<T>),
    /// The item was withdrawn. Kept so that an older version of it does not come back.
    Tombstone {
        /// The version of the withdrawal.
        version: u64,
        /// Which withdrawal of the state it is, counted from 1; 0 as long as it is part of a call.
        order: u64,
    },
}

/// Names and what stands under them.
pub type Entries<T> = BTreeMap<String, Entry<T>>;

impl<T: PartialEq> PartialEq for Entry<T> {
    /// Equal if they mean the same; when an item was withdrawn doesn't matter.
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
    /// An entry of an item that was just read.
    pub fn set(parsed: T, raw_json: String) -> Entry<T> {
        Entry::Set(Item { parsed, raw_json })
    }

    /// An entry of a withdrawal that was just read.
    pub fn withdrawal(version: u64) -> Entry<T> {
        Entry::Tombstone { version, order: 0 }
    }

    /// Forgets the JSON as sent, for nodes that only use the item.
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

    /// The item as it is used; `None` for a tombstone.
    pub fn parsed(&self) -> Option<&T> {
        self.item().map(|item| &item.parsed)
    }

    /// Which withdrawal of the state a tombstone is; `None` for an item.
    pub fn tombstone_order(&self) -> Option<u64> {
        match self {
            Entry::Set(_) => None,
            Entry::Tombstone { order, .. } => Some(*order),
        }
    }
}
