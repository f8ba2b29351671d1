//! Which versions were taken before those that stand: so that of two calls under one version only one is ever done, and
//! a call that was taken is acknowledged again, whatever was sent since.

use std::collections::BTreeMap;
use std::hash::Hasher;

use bitcode::{Decode, Encode};
use siphasher::sip::SipHasher13;

use crate::canonical::canonical;
use crate::item::{ClientLimits, Destination, Entry, Item, Route};
use crate::mutation::{self, Mutation};

/// So many overtaken versions are remembered at least, the last ones, and at most twice as many: 16 bytes each. What is
/// older is acknowledged whatever its content is.
pub const MAX_SUPERSEDED: usize = 8_192;

/// Into so many groups names are divided for the drops that are no longer remembered by name.
const FLOORS: usize = 1_024;

/// What kind of item a name is of. Names of different kinds are independent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ItemKind {
    Route = 1,
    Destination = 2,
    ClientLimits = 3,
    Member = 4,
    Membership = 5,
}

/// A drop that is no longer remembered by name.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Forgotten {
    pub kind: ItemKind,
    pub name: String,
    pub version: u64,
}

/// What a call says of an item, or what holds for it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Said<'a> {
    pub kind: ItemKind,
    pub name: &'a str,
    pub version: u64,
    /// As it was sent, and what stands beside it; `None` if it is dropped.
    content: Option<(&'a str, &'a str)>,
}

impl<'a> Said<'a> {
    pub fn route(name: &'a str, entry: &'a Entry<Route>) -> Said<'a> {
        // The host stands outside the item.
        let content = entry.item().map(|item| (item.raw_json.as_str(), item.parsed.virtual_host.as_str()));
        Said { kind: ItemKind::Route, name, version: entry.version(), content }
    }

    pub fn destination(name: &'a str, entry: &'a Entry<Destination>) -> Said<'a> {
        let content = entry.item().map(|item| (item.raw_json.as_str(), ""));
        Said { kind: ItemKind::Destination, name, version: entry.version(), content }
    }

    pub fn limits(item: &'a Item<ClientLimits>) -> Said<'a> {
        let content = Some((item.raw_json.as_str(), ""));
        Said { kind: ItemKind::ClientLimits, name: "", version: item.parsed.version, content }
    }

    pub fn member(item_versions: silvercross_throttle::MemberItemVersion<'a>) -> Said<'a> {
        let kind = if item_versions.name.is_some() { ItemKind::Member } else { ItemKind::Membership };
        let content = item_versions.raw_json.map(|raw_json| (raw_json, ""));
        Said { kind, name: item_versions.name.unwrap_or_default(), version: item_versions.version, content }
    }

    pub fn is_drop(&self) -> bool {
        self.content.is_none()
    }

    /// One number for this version of this item.
    fn version(&self) -> u64 {
        hashed(&[&[self.kind as u8], self.name.as_bytes(), &self.version.to_le_bytes()])
    }

    /// One number for its content: the same for all ways to write it.
    fn content(&self) -> u64 {
        match self.content {
            None => hashed(&[]),
            Some((raw_json, beside)) => match canonical(raw_json) {
                Some(text) => hashed(&[text.as_bytes(), beside.as_bytes()]),
                None => hashed(&[raw_json.as_bytes(), beside.as_bytes()]),
            },
        }
    }
}

/// The same on every machine and in every version, for it is on disk.
fn hashed(parts: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher13::new();
    for part in parts {
        hasher.write(&(part.len() as u64).to_le_bytes());
        hasher.write(part);
    }
    hasher.finish()
}

/// What is remembered of a version that was overtaken.
pub(crate) type Note = (u64, u64);

/// What was taken and does not stand any more. At most twice [`MAX_SUPERSEDED`] versions and 1,024 floors, about 270 KB.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct History {
    /// By version, the content. At most [`MAX_SUPERSEDED`]; when full it takes the place of `before`.
    recent: BTreeMap<u64, u64>,
    before: BTreeMap<u64, u64>,
    /// For each group of names the highest version of the drops that are no longer remembered by name. Empty until the
    /// first is forgotten.
    floors: Vec<Option<u64>>,
}

impl History {
    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.recent.is_empty() && self.before.is_empty() && self.floors.is_empty()
    }

    /// Whether this version was taken before: with this content, or with another.
    pub(crate) fn taken(&self, said: &Said) -> Option<bool> {
        let version = said.version();
        let content = self.recent.get(&version).or_else(|| self.before.get(&version))?;
        (!mutation::is(Mutation::OvertakenForgotten)).then(|| *content == said.content())
    }

    pub(crate) fn note(said: &Said) -> Note {
        (said.version(), said.content())
    }

    /// Remembers overtaken versions; whether one of them was not known.
    pub(crate) fn remember(&mut self, notes: Vec<Note>) -> bool {
        let mut new = false;
        for (version, content) in notes {
            if self.recent.contains_key(&version) || self.before.contains_key(&version) {
                continue;
            }
            new = true;
            if self.recent.len() >= MAX_SUPERSEDED {
                self.before = std::mem::take(&mut self.recent);
            }
            self.recent.insert(version, content);
        }
        new
    }

    /// A drop is no longer remembered by name.
    pub(crate) fn forgot(&mut self, drop: &Forgotten) {
        if self.floors.is_empty() {
            self.floors = vec![None; FLOORS];
        }
        let floor = &mut self.floors[group(drop.kind, &drop.name)];
        *floor = (*floor).max(Some(drop.version));
    }

    /// The highest version at which this name, of which nothing is known, may have been dropped.
    pub(crate) fn floor(&self, said: &Said) -> Option<u64> {
        let floor = self.floors.get(group(said.kind, said.name)).copied().flatten();
        floor.filter(|_| !mutation::is(Mutation::DropsForgotten))
    }
}

fn group(kind: ItemKind, name: &str) -> usize {
    (hashed(&[&[kind as u8], name.as_bytes()]) % FLOORS as u64) as usize
}
