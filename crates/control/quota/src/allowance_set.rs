//! All allowances, and which version of each is in force.

use crate::allowance::Allowance;
use crate::error::AllowanceError;
use bitcode::{Decode, Encode};
use silvercross_control_store::{Rejection, State};
use std::collections::BTreeMap;

/// No more items stand or are remembered as dropped; a call that would go beyond is rejected as a whole.
pub const MAX_ALLOWANCES: usize = 131_072;

/// What is in force for a name.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum Entry {
    Set(Allowance),
    /// The version that dropped it, kept so that an older setting does not come back.
    Dropped(u64),
}

impl Entry {
    fn version(&self) -> u64 {
        match self {
            Entry::Set(item) => item.version,
            Entry::Dropped(version) => *version,
        }
    }
}

/// One call of the operator, checked. Holds at most what a body of [`crate::MAX_BODY_BYTES`] says.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct AllowanceChange {
    pub(crate) entries: BTreeMap<String, Entry>,
}

impl AllowanceChange {
    /// How many items the call sets or drops.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the call names no item.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// All allowances. At most [`MAX_ALLOWANCES`], dropped ones included.
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

    /// All that are in force, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Allowance> {
        self.entries.values().filter_map(|entry| match entry {
            Entry::Set(item) => Some(item),
            Entry::Dropped(_) => None,
        })
    }

    /// Whether no allowance is in force: then nothing is asked and nothing costs.
    pub fn is_empty(&self) -> bool {
        self.iter().next().is_none()
    }
}

impl State for AllowanceSet {
    type Change = AllowanceChange;

    /// The higher version of each name holds, a lower one changes nothing, the same with other content is a conflict.
    fn apply(&mut self, change: &AllowanceChange) -> Result<bool, Rejection> {
        let mut newer = Vec::new();
        for (name, new) in &change.entries {
            match self.entries.get(name) {
                Some(old) if new.version() < old.version() || old == new => {}
                Some(old) if new.version() == old.version() => {
                    let reason = format!("{} stands already with other content", new.version());
                    let mend = "read the item, raise the edition";
                    let error = AllowanceError::new(name, "edition", reason, mend);
                    return Err(Rejection { conflict: true, reason: error.to_string() });
                }
                _ => newer.push((name, new)),
            }
        }
        let added = newer.iter().filter(|(name, _)| !self.entries.contains_key(*name)).count();
        if self.entries.len() + added > MAX_ALLOWANCES {
            let reason = format!("would be above {MAX_ALLOWANCES}");
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
