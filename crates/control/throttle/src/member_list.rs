//! Which members are in force, and who a request is of.

use std::collections::BTreeMap;

use bitcode::{Decode, Encode};
use silvercross_control_store::{Rejection, State};

use crate::item::{
    Entries, Entry, Item, Member, MemberError, MemberIdentification, UnknownMemberPolicy, MAX_MEMBERS,
};
use crate::read::shared;

/// How many drops are remembered, so that an older setting of a dropped name does not come back. Beyond it the drops
/// that were taken first are forgotten.
pub const MAX_TOMBSTONES: usize = 65_536;

/// What one call says of members. Holds at most what the call's body says.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct MemberListChange {
    pub(crate) members: Entries,
    pub(crate) identification: Option<Item<MemberIdentification>>,
}

/// What a call says of an item of members, or what holds for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberItemVersion<'a> {
    /// The member's name; `None` for how requests name members.
    pub name: Option<&'a str>,
    /// The item's version.
    pub version: u64,
    /// As it was sent; `None` if it is dropped.
    pub raw_json: Option<&'a str>,
}

impl<'a> MemberItemVersion<'a> {
    fn member(name: &'a str, entry: &'a Entry) -> MemberItemVersion<'a> {
        let raw_json = entry.item().map(|item| item.raw_json.as_str());
        MemberItemVersion { name: Some(name), version: entry.version(), raw_json }
    }

    fn identification(item: &'a Item<MemberIdentification>) -> MemberItemVersion<'a> {
        MemberItemVersion { name: None, version: item.parsed.version, raw_json: Some(&item.raw_json) }
    }
}

impl MemberListChange {
    /// All that it says.
    pub fn item_versions(&self) -> impl Iterator<Item = MemberItemVersion<'_>> {
        let members = self.members.iter().map(|(name, entry)| MemberItemVersion::member(name, entry));
        members.chain(self.identification.as_ref().map(MemberItemVersion::identification))
    }

    /// Without these members.
    pub fn without<'a>(&self, names: impl Iterator<Item = &'a str>) -> MemberListChange {
        let mut rest = self.clone();
        for name in names {
            rest.members.remove(name);
        }
        rest
    }

    /// Whether the call names no item.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many items the call sets or drops.
    pub fn len(&self) -> usize {
        self.members.len() + usize::from(self.identification.is_some())
    }
}

/// The members in force and how requests name them. At most [`MAX_MEMBERS`] and [`MAX_TOMBSTONES`].
///
/// Two are equal if the same holds in them, whenever it was dropped.
#[derive(Clone, Debug, Default, Encode, Decode)]
pub struct MemberList {
    members: Entries,
    identification: Option<Item<MemberIdentification>>,
    /// Drops taken so far.
    drops: u64,
}

impl PartialEq for MemberList {
    fn eq(&self, other: &Self) -> bool {
        self.members == other.members && self.identification == other.identification
    }
}

/// What of a call would come into force.
struct Newer<'a> {
    members: BTreeMap<&'a str, &'a Entry>,
    identification: Option<&'a Item<MemberIdentification>>,
}

impl State for MemberList {
    type Change = MemberListChange;

    /// The higher edition of each name holds, a lower one changes nothing, and the same edition with other content is a
    /// conflict.
    fn apply(&mut self, sent: &MemberListChange) -> Result<bool, Rejection> {
        self.merge(sent).map(|taken| taken.is_some())
    }
}

impl MemberList {
    /// The same; `None` if nothing changed, else the drops that were forgotten for it, by name and version.
    pub fn merge(&mut self, sent: &MemberListChange) -> Result<Option<Vec<(String, u64)>>, Rejection> {
        let newer = self.newer(sent)?;
        let changed = !newer.members.is_empty() || newer.identification.is_some();
        for (name, new) in newer.members {
            let entry = match new {
                Entry::Set(item) => Entry::Set(item.clone()),
                Entry::Dropped { version, .. } => {
                    self.drops += 1;
                    Entry::Dropped { version: *version, order: self.drops }
                }
            };
            self.members.insert(name.to_string(), entry);
        }
        if let Some(identification) = newer.identification {
            self.identification = Some(identification.clone());
        }
        let forgotten = self.forget();
        Ok(changed.then_some(forgotten))
    }

    /// What holds for a member, or (`None`) for how requests name members.
    pub fn current<'a>(&'a self, name: Option<&str>) -> Option<MemberItemVersion<'a>> {
        match name {
            Some(name) => {
                self.members.get_key_value(name).map(|(name, entry)| MemberItemVersion::member(name, entry))
            }
            None => self.identification.as_ref().map(MemberItemVersion::identification),
        }
    }

    /// What applying the call would say, without doing it.
    pub fn would_change(&self, sent: &MemberListChange) -> Result<bool, Rejection> {
        self.newer(sent).map(|newer| !newer.members.is_empty() || newer.identification.is_some())
    }

    /// The members in force, by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter_map(Entry::member)
    }

    /// A member in force.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name).and_then(Entry::member)
    }

    /// A member's item as it was sent, with the fields that are not known here (an allowance's, for one).
    pub fn raw_json(&self, name: &str) -> Option<&str> {
        self.members.get(name).and_then(Entry::item).map(|item| item.raw_json.as_str())
    }

    /// How requests name their member; nobody is slowed where nothing was sent.
    pub fn identification(&self) -> Option<&MemberIdentification> {
        self.identification.as_ref().map(|item| &item.parsed)
    }

    /// Whether no item stands.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many items stand.
    pub fn len(&self) -> usize {
        self.members().count() + usize::from(self.identification.is_some())
    }

    /// The keys to add to what is read back (`"members":[...],"identification":{...}`), each item as it was sent; empty where
    /// no item stands.
    pub fn to_json(&self) -> String {
        let mut parts = Vec::new();
        let raws: Vec<&str> =
            self.members.values().filter_map(Entry::item).map(|item| item.raw_json.as_str()).collect();
        if !raws.is_empty() {
            parts.push(format!("\"members\":[{}]", raws.join(",")));
        }
        if let Some(identification) = &self.identification {
            parts.push(format!("\"membership\":{}", identification.raw_json));
        }
        parts.join(",")
    }

    fn newer<'a>(&self, sent: &'a MemberListChange) -> Result<Newer<'a>, Rejection> {
        let mut members = BTreeMap::new();
        for (name, new) in &sent.members {
            match self.members.get(name) {
                Some(old) if new.version() < old.version() => {}
                Some(old) if new.version() == old.version() => {
                    if old != new {
                        return Err(conflict(name, new.version()));
                    }
                }
                _ => {
                    members.insert(name.as_str(), new);
                }
            }
        }
        let identification = match (&self.identification, &sent.identification) {
            (_, None) => None,
            (None, new) => new.as_ref(),
            (Some(old), Some(new)) if new.parsed.version > old.parsed.version => Some(new),
            (Some(old), Some(new)) if new.parsed.version == old.parsed.version && old != new => {
                return Err(conflict("membership", new.parsed.version))
            }
            _ => None,
        };
        if members.values().any(|entry| entry.item().is_some()) {
            self.check(&members).map_err(|fault| Rejection { conflict: false, reason: fault.to_string() })?;
        }
        Ok(Newer { members, identification })
    }

    /// Whether the members would be valid with these entries in place of the present ones.
    fn check(&self, newer: &BTreeMap<&str, &Entry>) -> Result<(), MemberError> {
        let kept = self.members.iter().filter(|(name, _)| !newer.contains_key(name.as_str()));
        let old = kept.filter_map(|(_, entry)| entry.member());
        let new = newer.values().filter_map(|entry| entry.member());
        // The keys of the newer members alone are looked for: the present ones share none.
        let mut count = 0;
        let mut keys = BTreeMap::new();
        for member in new {
            count += 1;
            for key in &member.keys {
                if let Some(other) = keys.insert(key.as_str(), member.name.as_str()) {
                    return Err(shared(member, other));
                }
            }
        }
        for member in old {
            count += 1;
            for key in &member.keys {
                if let Some(other) = keys.get(key.as_str()).and_then(|name| newer.get(*name)?.member()) {
                    return Err(shared(other, &member.name));
                }
            }
        }
        if count > MAX_MEMBERS {
            let reason = format!("would be {count}, above {MAX_MEMBERS} (withdraw some first)");
            return Err(MemberError::new("deliver", "members", reason));
        }
        Ok(())
    }

    /// Forget the drops that were taken first, down to the bound.
    fn forget(&mut self) -> Vec<(String, u64)> {
        let order = |entry: &Entry| match entry {
            Entry::Set(_) => None,
            Entry::Dropped { order, .. } => Some(*order),
        };
        let mut forgotten = Vec::new();
        let mut orders: Vec<u64> = self.members.values().filter_map(order).collect();
        if orders.len() > MAX_TOMBSTONES {
            orders.sort_unstable();
            let kept = orders[orders.len() - MAX_TOMBSTONES];
            self.members.retain(|name, entry| {
                let keeps = order(entry).is_none_or(|order| order >= kept);
                if !keeps {
                    forgotten.push((name.clone(), entry.version()));
                }
                keeps
            });
        }
        forgotten
    }
}

fn conflict(name: &str, version: u64) -> Rejection {
    let reason =
        format!("{version} stands already with other content (read the configuration, raise the edition)");
    Rejection { conflict: true, reason: MemberError::new(name, "edition", reason).to_string() }
}

/// Who a request is of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestIdentity<'a> {
    /// A member's.
    Member(&'a Member),
    /// No member's: served as everything was before there were members.
    Anonymous,
    /// No member's, and such are to be refused before they are sent on.
    Reject,
}

/// The members by key, made once for each change of the roll. No larger than the roll.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberIndex {
    identification: Option<MemberIdentification>,
    members: BTreeMap<String, Member>,
    /// Key to name.
    keys: BTreeMap<String, String>,
}

impl MemberIndex {
    /// The directory of what stands in `roll`.
    pub fn new(roll: &MemberList) -> MemberIndex {
        let mut directory =
            MemberIndex { identification: roll.identification().cloned(), ..MemberIndex::default() };
        for member in roll.members() {
            for key in &member.keys {
                directory.keys.insert(key.clone(), member.name.clone());
            }
            directory.members.insert(member.name.clone(), member.clone());
        }
        directory
    }

    /// The header to look for, in lower case; nothing is looked for where no `identification` stands.
    pub fn header(&self) -> Option<&str> {
        self.identification.as_ref().map(|identification| identification.header.as_str())
    }

    /// Who a request is of, by all values of that header on it. Several values, even equal ones, name nobody: which of
    /// them an upstream would believe is not known here.
    pub fn identify<'v>(&self, values: impl IntoIterator<Item = &'v [u8]>) -> RequestIdentity<'_> {
        let Some(identification) = &self.identification else { return RequestIdentity::Anonymous };
        let mut values = values.into_iter();
        let named = match (values.next(), values.next()) {
            (Some(one), None) => std::str::from_utf8(one.trim_ascii()).ok(),
            _ => None,
        };
        match named.and_then(|key| self.keys.get(key)).and_then(|name| self.members.get(name)) {
            Some(member) => RequestIdentity::Member(member),
            None if identification.unknown == UnknownMemberPolicy::Reject => RequestIdentity::Reject,
            None => RequestIdentity::Anonymous,
        }
    }

    /// A member by its name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// All members, by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }
}
