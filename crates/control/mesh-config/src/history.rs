//! The versions accepted before the current ones. With them, of two calls with the same version and different content
//! only one is ever applied, and a repeat of an accepted call is acknowledged, whatever was sent since.

use std::collections::BTreeMap;

use bitcode::{Decode, Encode};

use crate::item_version::{stable_hash, ItemKind, ItemVersion, VersionDigest};
use crate::mutation::{self, Mutation};

/// Minimum number of superseded versions that are kept, the most recent ones; at most twice as many are kept. Each
/// takes 16 bytes. Older versions are acknowledged whatever their content.
pub const MAX_SUPERSEDED: usize = 8_192;

/// Number of groups into which names are hashed; each has one floor for the tombstones that were removed.
const FLOOR_GROUPS: usize = 1_024;

/// A tombstone that was removed to stay within the limit.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ForgottenTombstone {
    pub(crate) kind: ItemKind,
    pub(crate) name: String,
    pub(crate) version: u64,
}

/// What the history knows of a version that is not the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PastVersion {
    /// It is not in the history.
    Unknown,
    /// It was accepted with the same content.
    SameContent,
    /// It was accepted with different content.
    DifferentContent,
}

/// Accepted versions that are no longer current. At most twice [`MAX_SUPERSEDED`] versions and 1,024 floors, about 270
/// KB.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct History {
    /// Content hash by version hash. At most [`MAX_SUPERSEDED`]; when full it replaces `older`.
    recent: BTreeMap<u64, u64>,
    older: BTreeMap<u64, u64>,
    /// For each group of names the highest version of the tombstones that were removed. Empty until the first is
    /// removed.
    floors: Vec<Option<u64>>,
}

impl History {
    /// Whether the history is empty.
    pub fn is_empty(&self) -> bool {
        self.recent.is_empty() && self.older.is_empty() && self.floors.is_empty()
    }

    /// Looks up whether this version was accepted before.
    pub(crate) fn past_version(&self, item: &ItemVersion<'_>) -> PastVersion {
        let version = item.version_hash();
        match self.recent.get(&version).or_else(|| self.older.get(&version)) {
            None => PastVersion::Unknown,
            Some(_) if mutation::is_active(Mutation::SupersededForgotten) => PastVersion::Unknown,
            Some(content) if *content == item.content_hash() => PastVersion::SameContent,
            Some(_) => PastVersion::DifferentContent,
        }
    }

    /// Records superseded versions; returns whether any of them is new.
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

    /// Raises the floor of a removed tombstone's group.
    pub(crate) fn raise_floor(&mut self, forgotten: &ForgottenTombstone) {
        if self.floors.is_empty() {
            self.floors = vec![None; FLOOR_GROUPS];
        }
        let floor = &mut self.floors[floor_group(forgotten.kind, &forgotten.name)];
        *floor = (*floor).max(Some(forgotten.version));
    }

    /// The highest version at which this name, if no entry is stored under it, may have been withdrawn.
    pub(crate) fn floor(&self, item: &ItemVersion<'_>) -> Option<u64> {
        let floor = self.floors.get(floor_group(item.kind, item.name)).copied().flatten();
        floor.filter(|_| !mutation::is_active(Mutation::TombstonesForgotten))
    }
}

fn floor_group(kind: ItemKind, name: &str) -> usize {
    (stable_hash(&[&[kind as u8], name.as_bytes()]) % FLOOR_GROUPS as u64) as usize
}
