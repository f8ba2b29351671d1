//! All allowances, with the version of each that is in force.

use crate::allowance::Allowance;
use crate::error::AllowanceError;
use bitcode::{Decode, Encode};
use silvercross_control_store::{Rejection, State};
use std::collections::BTreeMap;

/// Maximum number of allowances and tombstones; a call that would exceed it is rejected as a whole.
pub const MAX_ALLOWANCES: usize = 131_072;

/// What is stored under a name.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum Entry {
    Set(Allowance),
    /// Version of the withdrawal, kept so that an older version does not come back.
    Tombstone(u64),
}

impl Entry {
    fn version(&self) -> u64 {
        match self {
            Entry::Set(item) => item.version,
            Entry::Tombstone(version) => *version,
        }
    }
}

/// One validated call of the operator. Its size is bounded by [`crate::MAX_BODY_BYTES`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct AllowanceChange {
    pub(crate) entries: BTreeMap<String, Entry>,
}

impl AllowanceChange {
    /// Number of items that the call sets or withdraws.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the call contains no items.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// All allowances; at most [`MAX_ALLOWANCES`], tombstones included.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct AllowanceSet {
    entries: BTreeMap<String, Entry>,
}

impl AllowanceSet {
    /// A member's allowance, if one is in force.
    pub fn get(&self, member: &str) -> Option<&Allowance> {
        match self.entries.get(member) {
            Some(Entry::Set(item)) => Some(item),
            _ => None,
        }
    }

    /// All allowances in force, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Allowance> {
        self.entries.values().filter_map(|entry| match entry {
            Entry::Set(item) => Some(item),
            Entry::Tombstone(_) => None,
        })
    }

    /// Whether no allowance is in force; then no request is counted.
    pub fn is_empty(&self) -> bool {
        self.iter().next().is_none()
    }
}

impl State for AllowanceSet {
    type Change = AllowanceChange;

    /// The highest version of each name wins and lower versions are ignored; the same version with different content
    /// is a conflict.
    fn apply(&mut self, change: &AllowanceChange) -> Result<bool, Rejection> {
        let mut newer = Vec::new();
        for (name, new) in &change.entries {
            match self.entries.get(name) {
                Some(old) if new.version() < old.version() || old == new => {}
                Some(old) if new.version() == old.version() => {
                    let reason = format!("{} already exists with different content", new.version());
                    let remedy = "read the item and raise the edition";
                    let error = AllowanceError::new(name, "edition", reason, remedy);
                    return Err(Rejection { conflict: true, reason: error.to_string() });
                }
                _ => newer.push((name, new)),
            }
        }
        let added = newer.iter().filter(|(name, _)| !self.entries.contains_key(*name)).count();
        if self.entries.len() + added > MAX_ALLOWANCES {
            let reason = format!("would exceed {MAX_ALLOWANCES}");
            let error = AllowanceError::new("body", "allowances", reason, "send fewer members");
            return Err(Rejection { conflict: false, reason: error.to_string() });
        }
        let any_changed = !newer.is_empty();
        for (name, new) in newer {
            self.entries.insert(name.clone(), new.clone());
        }
        Ok(any_changed)
    }
}
