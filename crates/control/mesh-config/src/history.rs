//! Which versions were taken before those that stand: so that of two calls under one version only one is ever applied, and
//! a call that was taken is acknowledged again, whatever was sent since.

use std::collections::BTreeMap;

use bitcode::{Decode, Encode};

use crate::item_version::{stable_hash, ItemKind, ItemVersion, VersionDigest};
use crate::mutation::{self, Mutation};

/// So many superseded versions are remembered at least, the last ones, and at most twice as many: 16 bytes each. What is
/// older is acknowledged whatever its content is.
pub const MAX_SUPERSEDED: usize = 8_192;

/// Into so many groups names are divided for the tombstones that are no longer remembered by name.
const FLOORS: usize = 1_024;

/// A withdrawal that is no longer remembered by name.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ForgottenTombstone {
    pub(crate) kind: ItemKind,
    pub(crate) name: String,
    pub(crate) version: u64,
}

/// What is remembered of a version of an item that does not stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TakenBefore {
    /// Nothing.
    Unknown,
    /// It was taken with the same content.
    SameContent,
    /// It was taken with another content.
    OtherContent,
}

/// What was taken and does not stand any more. At most twice [`MAX_SUPERSEDED`] versions and 1,024 floors, about 270 KB.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct History {
    /// The content of each version, both as hashes. At most [`MAX_SUPERSEDED`]; when full it takes the place of `older`.
    recent: BTreeMap<u64, u64>,
    older: BTreeMap<u64, u64>,
    /// For each group of names the highest version of the withdrawals that are no longer remembered by name. Empty until
    /// the first is forgotten.
    floors: Vec<Option<u64>>,
}

impl History {
    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.recent.is_empty() && self.older.is_empty() && self.floors.is_empty()
    }

    /// Whether this version was taken before.
    pub(crate) fn taken_before(&self, item: &ItemVersion<'_>) -> TakenBefore {
        let version = item.version_hash();
        match self.recent.get(&version).or_else(|| self.older.get(&version)) {
            None => TakenBefore::Unknown,
            Some(_) if mutation::is_active(Mutation::SupersededForgotten) => TakenBefore::Unknown,
            Some(content) if *content == item.content_hash() => TakenBefore::SameContent,
            Some(_) => TakenBefore::OtherContent,
        }
    }

    /// Remember superseded versions; whether one of them was not known.
    pub(crate) fn remember(&mut self, superseded: Vec<VersionDigest>) -> bool {
        let mut is_new = false;
        for VersionDigest { version, content } in superseded {
            if self.recent.contains_key(&version) || self.older.contains_key(&version) {
                continue;
            }
            is_new = true;
            if self.recent.len() >= MAX_SUPERSEDED {
                self.older = std::mem::take(&mut self.recent);
            }
            self.recent.insert(version, content);
        }
        is_new
    }

    /// A withdrawal is no longer remembered by name.
    pub(crate) fn raise_floor(&mut self, forgotten: &ForgottenTombstone) {
        if self.floors.is_empty() {
            self.floors = vec![None; FLOORS];
        }
        let floor = &mut self.floors[group(forgotten.kind, &forgotten.name)];
        *floor = (*floor).max(Some(forgotten.version));
    }

    /// The highest version at which this name, of which nothing is known, may have been withdrawn.
    pub(crate) fn floor(&self, item: &ItemVersion<'_>) -> Option<u64> {
        let floor = self.floors.get(group(item.kind, item.name)).copied().flatten();
        floor.filter(|_| !mutation::is_active(Mutation::TombstonesForgotten))
    }
}

fn group(kind: ItemKind, name: &str) -> usize {
    (stable_hash(&[&[kind as u8], name.as_bytes()]) % FLOORS as u64) as usize
}
