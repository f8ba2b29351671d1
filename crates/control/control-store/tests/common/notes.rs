//! A value for tests: numbered items, each with a version and content, of which the highest version wins. A change of an item
//! under version 0 is unversioned: the last one wins.

use silvercross_control_store::{Rejection, State};
use std::cell::Cell;
use std::cmp::Ordering;
use std::collections::BTreeMap;

thread_local! {
    /// Whether a rejected change is partly applied. Only with a mutation that keeps such a value.
    pub static KEEP_PARTIAL_CHANGES: Cell<bool> = const { Cell::new(false) };
}

/// Item to version and content.
#[derive(Clone, Debug, Default, PartialEq, bitcode::Encode, bitcode::Decode)]
pub struct Notes(pub BTreeMap<u8, (u64, u64)>);

/// The version of an unversioned change.
pub const UNVERSIONED: u64 = 0;

/// Item, version, content.
pub type Change = Vec<(u8, u64, u64)>;

/// A content that refers to another item: it is valid only if that item exists.
pub fn refers_to(item: u8) -> u64 {
    (1 << 32) | u64::from(item)
}

impl Notes {
    fn apply_item(&mut self, item: u8, version: u64, content: u64) -> Result<bool, Rejection> {
        let rejection = |conflict| Rejection { conflict, reason: format!("item {item}, version {version}") };
        let known = self.0.get(&item).copied().unwrap_or_default();
        let is_dangling = content >> 32 == 1 && !self.0.contains_key(&(content as u8));
        match version.cmp(&known.0) {
            _ if content == 0 => Err(rejection(false)),
            _ if version == UNVERSIONED => {
                self.0.insert(item, (known.0 + u64::from(known.1 != content), content));
                Ok(known.1 != content)
            }
            Ordering::Greater if is_dangling => Err(rejection(false)),
            Ordering::Equal if known.1 != content => Err(rejection(true)),
            Ordering::Greater => {
                self.0.insert(item, (version, content));
                Ok(true)
            }
            _ => Ok(false),
        }
    }
}

impl State for Notes {
    type Change = Change;

    fn is_unversioned(change: &Change) -> bool {
        change.iter().any(|(_, version, _)| *version == UNVERSIONED)
    }

    fn apply(&mut self, change: &Change) -> Result<bool, Rejection> {
        let mut next = self.clone();
        let mut changed = false;
        for (item, version, content) in change {
            match next.apply_item(*item, *version, *content) {
                Ok(item_changed) => changed |= item_changed,
                Err(rejection) => {
                    if KEEP_PARTIAL_CHANGES.get() {
                        *self = next;
                    }
                    return Err(rejection);
                }
            }
        }
        *self = next;
        Ok(changed)
    }
}
