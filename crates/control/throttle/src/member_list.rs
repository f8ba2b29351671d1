//! The current members, merged from the operators' calls.

use std::collections::BTreeMap;

use bitcode::{Decode, Encode};
use silvercross_config_item::{
    forget_tombstones, newer_entries, newer_item, resulting_items, store_entries, Entries, Entry, Item,
    ItemError, ItemProblem, MergeOutcome, NewerEntries, Tombstone, Versioned,
};
use silvercross_control_store::{Rejection, State};

use crate::error::{MemberError, MemberProblem};
use crate::member::{Member, MemberIdentification, MAX_MEMBERS};

/// Most tombstones kept. A tombstone prevents an older version of a withdrawn member from coming back; above the limit
/// the oldest tombstones are removed.
pub const MAX_TOMBSTONES: usize = 65_536;

/// The changes to members in one call. Its size is bounded by the call's body.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct MemberListChange {
    pub(crate) members: Entries<Member>,
    pub(crate) identification: Option<Item<MemberIdentification>>,
}

/// A version of a member's item or of the identification, either in a call or current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberItemVersion<'a> {
    /// The member's name; `None` for the [`MemberIdentification`].
    pub name: Option<&'a str>,
    /// The item's version.
    pub version: u64,
    /// The item's JSON as sent; `None` if it is withdrawn.
    pub raw_json: Option<&'a str>,
}

impl<'a> MemberItemVersion<'a> {
    fn of_member(name: &'a str, entry: &'a Entry<Member>) -> MemberItemVersion<'a> {
        let raw_json = entry.item().map(|item| item.raw_json.as_str());
        MemberItemVersion { name: Some(name), version: entry.version(), raw_json }
    }

    fn of_identification(item: &'a Item<MemberIdentification>) -> MemberItemVersion<'a> {
        MemberItemVersion { name: None, version: item.parsed.version(), raw_json: Some(&item.raw_json) }
    }
}

impl MemberListChange {
    /// The versions of all items that the change sets or withdraws.
    pub fn item_versions(&self) -> impl Iterator<Item = MemberItemVersion<'_>> {
        let members = self.members.iter().map(|(name, entry)| MemberItemVersion::of_member(name, entry));
        members.chain(self.identification.as_ref().map(MemberItemVersion::of_identification))
    }

    /// A copy of the change without these members.
    pub fn without<'a>(&self, names: impl Iterator<Item = &'a str>) -> MemberListChange {
        let mut rest = self.clone();
        for name in names {
            rest.members.remove(name);
        }
        rest
    }

    /// Whether the change has no items.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of items that the change sets or withdraws.
    pub fn len(&self) -> usize {
        self.members.len() + usize::from(self.identification.is_some())
    }
}

/// The current members and how requests identify them. Holds at most [`MAX_MEMBERS`] members and [`MAX_TOMBSTONES`]
/// tombstones.
///
/// Equality ignores the order of withdrawals.
#[derive(Clone, Debug, Default, Encode, Decode)]
pub struct MemberList {
    members: Entries<Member>,
    identification: Option<Item<MemberIdentification>>,
    /// Number of withdrawals applied so far; it orders the tombstones.
    withdrawals: u64,
}

impl PartialEq for MemberList {
    fn eq(&self, other: &Self) -> bool {
        self.members == other.members && self.identification == other.identification
    }
}

/// The items of a change that are newer than the current ones.
struct Newer<'a> {
    members: NewerEntries<'a, Member>,
    identification: Option<&'a Item<MemberIdentification>>,
}

impl Newer<'_> {
    fn is_empty(&self) -> bool {
        self.members.is_empty() && self.identification.is_none()
    }
}

impl State for MemberList {
    type Change = MemberListChange;

    /// Keeps the highest version of each name. A lower version changes nothing; the same version with different content
    /// is a conflict.
    fn apply(&mut self, change: &MemberListChange) -> Result<bool, Rejection> {
        self.merge(change).map(|outcome| outcome.is_changed)
    }
}

impl MemberList {
    /// Applies a change like [`State::apply`] and returns the tombstones that were removed for it.
    ///
    /// # Errors
    /// A version conflict, a key that two of the resulting members share, or too many members. Nothing is changed then.
    pub fn merge(&mut self, change: &MemberListChange) -> Result<MergeOutcome<Tombstone>, Rejection> {
        let newer = self.newer(change)?;
        let is_changed = !newer.is_empty();
        store_entries(&mut self.members, newer.members, &mut self.withdrawals);
        if let Some(identification) = newer.identification {
            self.identification = Some(identification.clone());
        }
        Ok(MergeOutcome { is_changed, forgotten: self.forget_oldest_tombstones() })
    }

    /// Returns what applying the change would return, without applying it.
    ///
    /// # Errors
    /// See [`MemberList::merge`].
    pub fn would_change(&self, change: &MemberListChange) -> Result<bool, Rejection> {
        self.newer(change).map(|newer| !newer.is_empty())
    }

    /// The current version of a member, or with `None` that of the [`MemberIdentification`].
    pub fn current<'a>(&'a self, name: Option<&str>) -> Option<MemberItemVersion<'a>> {
        match name {
            Some(name) => {
                let entry = self.members.get_key_value(name);
                entry.map(|(name, entry)| MemberItemVersion::of_member(name, entry))
            }
            None => self.identification.as_ref().map(MemberItemVersion::of_identification),
        }
    }

    /// The current members, ordered by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter_map(Entry::parsed)
    }

    /// A current member by name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name).and_then(Entry::parsed)
    }

    /// A member's item as sent, including fields that this package does not know (such as those of a quota).
    pub fn raw_json(&self, name: &str) -> Option<&str> {
        self.members.get(name).and_then(Entry::item).map(|item| item.raw_json.as_str())
    }

    /// How requests identify their member. Without it no request is throttled.
    pub fn identification(&self) -> Option<&MemberIdentification> {
        self.identification.as_ref().map(|item| &item.parsed)
    }

    /// Whether there are no items.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of items; tombstones do not count.
    pub fn len(&self) -> usize {
        self.members().count() + usize::from(self.identification.is_some())
    }

    /// The keys to add to the configuration's JSON (`"members":[...],"membership":{...}`), each item as sent; empty if
    /// there are no items.
    pub fn to_json(&self) -> String {
        let mut parts = Vec::new();
        let items = self.members.values().filter_map(Entry::item);
        let members: Vec<&str> = items.map(|item| item.raw_json.as_str()).collect();
        if !members.is_empty() {
            parts.push(format!("\"members\":[{}]", members.join(",")));
        }
        if let Some(identification) = &self.identification {
            parts.push(format!("\"membership\":{}", identification.raw_json));
        }
        parts.join(",")
    }

    fn newer<'a>(&self, change: &'a MemberListChange) -> Result<Newer<'a>, Rejection> {
        let members =
            newer_entries(&self.members, &change.members, |name, version| Err(conflict(name, version)))?;
        let identification =
            newer_item(self.identification.as_ref(), change.identification.as_ref(), |version| {
                conflict("membership", version)
            })?;
        if members.values().any(|entry| entry.item().is_some()) {
            let invalid = |error: MemberError| Rejection { conflict: false, reason: error.to_string() };
            self.check(&members).map_err(invalid)?;
        }
        Ok(Newer { members, identification })
    }

    /// Checks the members that would result from replacing current entries with the newer ones.
    fn check(&self, newer: &NewerEntries<'_, Member>) -> Result<(), MemberError> {
        // Only the keys of newer members are collected: current members share no keys.
        let mut keys = BTreeMap::new();
        for member in newer.values().filter_map(|entry| entry.parsed()) {
            check_keys(&mut keys, member)?;
        }
        for (name, entry) in &self.members {
            let Some(member) = entry.parsed().filter(|_| !newer.contains_key(name.as_str())) else {
                continue;
            };
            for key in &member.keys {
                if let Some(other) = keys.get(key.as_str()).and_then(|name| newer.get(name)?.parsed()) {
                    return Err(duplicate_key(other, &member.name));
                }
            }
        }
        let count = resulting_items(&self.members, newer).count();
        if count > MAX_MEMBERS {
            let problem = ItemProblem::TooMany { count, max: MAX_MEMBERS };
            return Err(ItemError::new("deliver", "members", problem));
        }
        Ok(())
    }

    fn forget_oldest_tombstones(&mut self) -> Vec<Tombstone> {
        let mut orders: Vec<u64> = self.members.values().filter_map(Entry::tombstone_order).collect();
        if orders.len() <= MAX_TOMBSTONES {
            return Vec::new();
        }
        orders.sort_unstable();
        forget_tombstones(&mut self.members, orders[orders.len() - MAX_TOMBSTONES])
    }
}

/// Adds a member's keys to `seen`, which maps keys to the names of their members.
///
/// # Errors
/// A key is already in `seen`.
pub(crate) fn check_keys<'a>(
    seen: &mut BTreeMap<&'a str, &'a str>,
    member: &'a Member,
) -> Result<(), MemberError> {
    for key in &member.keys {
        if let Some(other) = seen.insert(key, &member.name) {
            return Err(duplicate_key(member, other));
        }
    }
    Ok(())
}

fn duplicate_key(member: &Member, other: &str) -> MemberError {
    let problem = if member.name == other {
        MemberProblem::KeyTwice
    } else {
        MemberProblem::KeyOfOtherMember { member: other.to_string() }
    };
    ItemError::new(&member.name, "keys", problem)
}

fn conflict(name: &str, version: u64) -> Rejection {
    let error: MemberError = ItemError::new(name, "edition", ItemProblem::VersionTaken { version });
    Rejection { conflict: true, reason: error.to_string() }
}
