//! Which members are in force, and who a request is of.

use std::collections::BTreeMap;

use bitcode::{Decode, Encode};
use silvercross_control_store::{Rejection, State};

use crate::items::{Entries, Entry, Fault, Item, Member, Membership, Unknown, MAX_MEMBERS};
use crate::read::shared;

/// How many drops are remembered, so that an older setting of a dropped name does not come back. Beyond it the drops
/// that were taken first are forgotten.
pub const MAX_DROPPED: usize = 65_536;

/// What one call says of members. Holds at most what the call's body says.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Sent {
    pub(crate) members: Entries,
    pub(crate) membership: Option<Item<Membership>>,
}

/// What a call says of an item of members, or what holds for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stated<'a> {
    /// The member's name; `None` for how requests name members.
    pub name: Option<&'a str>,
    /// The item's version.
    pub edition: u64,
    /// As it was sent; `None` if it is dropped.
    pub raw: Option<&'a str>,
}

impl<'a> Stated<'a> {
    fn member(name: &'a str, entry: &'a Entry) -> Stated<'a> {
        let raw = entry.item().map(|item| item.raw.as_str());
        Stated { name: Some(name), edition: entry.edition(), raw }
    }

    fn membership(item: &'a Item<Membership>) -> Stated<'a> {
        Stated { name: None, edition: item.parsed.edition, raw: Some(&item.raw) }
    }
}

impl Sent {
    /// All that it says.
    pub fn stated(&self) -> impl Iterator<Item = Stated<'_>> {
        let members = self.members.iter().map(|(name, entry)| Stated::member(name, entry));
        members.chain(self.membership.as_ref().map(Stated::membership))
    }

    /// Without these members.
    pub fn without<'a>(&self, names: impl Iterator<Item = &'a str>) -> Sent {
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
        self.members.len() + usize::from(self.membership.is_some())
    }
}

/// The members in force and how requests name them. At most [`MAX_MEMBERS`] and [`MAX_DROPPED`].
///
/// Two are equal if the same holds in them, whenever it was dropped.
#[derive(Clone, Debug, Default, Encode, Decode)]
pub struct Roll {
    members: Entries,
    membership: Option<Item<Membership>>,
    /// Drops taken so far.
    drops: u64,
}

impl PartialEq for Roll {
    fn eq(&self, other: &Self) -> bool {
        self.members == other.members && self.membership == other.membership
    }
}

/// What of a call would come into force.
struct Newer<'a> {
    members: BTreeMap<&'a str, &'a Entry>,
    membership: Option<&'a Item<Membership>>,
}

impl State for Roll {
    type Change = Sent;

    /// The higher edition of each name holds, a lower one changes nothing, and the same edition with other content is a
    /// conflict.
    fn apply(&mut self, sent: &Sent) -> Result<bool, Rejection> {
        self.take_in(sent).map(|taken| taken.is_some())
    }
}

impl Roll {
    /// The same; `None` if nothing changed, else the drops that were forgotten for it, by name and version.
    pub fn take_in(&mut self, sent: &Sent) -> Result<Option<Vec<(String, u64)>>, Rejection> {
        let newer = self.newer(sent)?;
        let changed = !newer.members.is_empty() || newer.membership.is_some();
        for (name, new) in newer.members {
            let entry = match new {
                Entry::Set(item) => Entry::Set(item.clone()),
                Entry::Dropped { edition, .. } => {
                    self.drops += 1;
                    Entry::Dropped { edition: *edition, order: self.drops }
                }
            };
            self.members.insert(name.to_string(), entry);
        }
        if let Some(membership) = newer.membership {
            self.membership = Some(membership.clone());
        }
        let forgotten = self.forget();
        Ok(changed.then_some(forgotten))
    }

    /// What holds for a member, or (`None`) for how requests name members.
    pub fn standing<'a>(&'a self, name: Option<&str>) -> Option<Stated<'a>> {
        match name {
            Some(name) => self.members.get_key_value(name).map(|(name, entry)| Stated::member(name, entry)),
            None => self.membership.as_ref().map(Stated::membership),
        }
    }

    /// What applying the call would say, without doing it.
    pub fn would(&self, sent: &Sent) -> Result<bool, Rejection> {
        self.newer(sent).map(|newer| !newer.members.is_empty() || newer.membership.is_some())
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
    pub fn raw(&self, name: &str) -> Option<&str> {
        self.members.get(name).and_then(Entry::item).map(|item| item.raw.as_str())
    }

    /// How requests name their member; nobody is slowed where nothing was sent.
    pub fn membership(&self) -> Option<&Membership> {
        self.membership.as_ref().map(|item| &item.parsed)
    }

    /// Whether no item stands.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many items stand.
    pub fn len(&self) -> usize {
        self.members().count() + usize::from(self.membership.is_some())
    }

    /// The keys to add to what is read back (`"members":[...],"membership":{...}`), each item as it was sent; empty where
    /// no item stands.
    pub fn to_json(&self) -> String {
        let mut parts = Vec::new();
        let raws: Vec<&str> =
            self.members.values().filter_map(Entry::item).map(|item| item.raw.as_str()).collect();
        if !raws.is_empty() {
            parts.push(format!("\"members\":[{}]", raws.join(",")));
        }
        if let Some(membership) = &self.membership {
            parts.push(format!("\"membership\":{}", membership.raw));
        }
        parts.join(",")
    }

    fn newer<'a>(&self, sent: &'a Sent) -> Result<Newer<'a>, Rejection> {
        let mut members = BTreeMap::new();
        for (name, new) in &sent.members {
            match self.members.get(name) {
                Some(old) if new.edition() < old.edition() => {}
                Some(old) if new.edition() == old.edition() => {
                    if old != new {
                        return Err(conflict(name, new.edition()));
                    }
                }
                _ => {
                    members.insert(name.as_str(), new);
                }
            }
        }
        let membership = match (&self.membership, &sent.membership) {
            (_, None) => None,
            (None, new) => new.as_ref(),
            (Some(old), Some(new)) if new.parsed.edition > old.parsed.edition => Some(new),
            (Some(old), Some(new)) if new.parsed.edition == old.parsed.edition && old != new => {
                return Err(conflict("membership", new.parsed.edition))
            }
            _ => None,
        };
        if members.values().any(|entry| entry.item().is_some()) {
            self.check(&members).map_err(|fault| Rejection { conflict: false, reason: fault.to_string() })?;
        }
        Ok(Newer { members, membership })
    }

    /// Whether the members would be valid with these entries in place of the present ones.
    fn check(&self, newer: &BTreeMap<&str, &Entry>) -> Result<(), Fault> {
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
            return Err(Fault::new("deliver", "members", reason));
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
        if orders.len() > MAX_DROPPED {
            orders.sort_unstable();
            let kept = orders[orders.len() - MAX_DROPPED];
            self.members.retain(|name, entry| {
                let keeps = order(entry).is_none_or(|order| order >= kept);
                if !keeps {
                    forgotten.push((name.clone(), entry.edition()));
                }
                keeps
            });
        }
        forgotten
    }
}

fn conflict(name: &str, edition: u64) -> Rejection {
    let reason =
        format!("{edition} stands already with other content (read the configuration, raise the edition)");
    Rejection { conflict: true, reason: Fault::new(name, "edition", reason).to_string() }
}

/// Who a request is of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Whose<'a> {
    /// A member's.
    Member(&'a Member),
    /// No member's: served as everything was before there were members.
    Nobody,
    /// No member's, and such are to be refused before they are sent on.
    Refuse,
}

/// The members by key, made once for each change of the roll. No larger than the roll.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Directory {
    membership: Option<Membership>,
    members: BTreeMap<String, Member>,
    /// Key to name.
    keys: BTreeMap<String, String>,
}

impl Directory {
    /// The directory of what stands in `roll`.
    pub fn new(roll: &Roll) -> Directory {
        let mut directory = Directory { membership: roll.membership().cloned(), ..Directory::default() };
        for member in roll.members() {
            for key in &member.keys {
                directory.keys.insert(key.clone(), member.name.clone());
            }
            directory.members.insert(member.name.clone(), member.clone());
        }
        directory
    }

    /// The header to look for, in lower case; nothing is looked for where no `membership` stands.
    pub fn header(&self) -> Option<&str> {
        self.membership.as_ref().map(|membership| membership.header.as_str())
    }

    /// Who a request is of, by all values of that header on it. Several values, even equal ones, name nobody: which of
    /// them an upstream would believe is not known here.
    pub fn whose<'v>(&self, values: impl IntoIterator<Item = &'v [u8]>) -> Whose<'_> {
        let Some(membership) = &self.membership else { return Whose::Nobody };
        let mut values = values.into_iter();
        let named = match (values.next(), values.next()) {
            (Some(one), None) => std::str::from_utf8(one.trim_ascii()).ok(),
            _ => None,
        };
        match named.and_then(|key| self.keys.get(key)).and_then(|name| self.members.get(name)) {
            Some(member) => Whose::Member(member),
            None if membership.unknown == Unknown::Refuse => Whose::Refuse,
            None => Whose::Nobody,
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
