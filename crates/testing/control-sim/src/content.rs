//! The content of a key in this world: named items, by the rules of the operators' configuration.
//!
//! It must not know the checker's rules: both are written from the same promises, apart from each other.

use crate::history::ItemState;
use bitcode::{Decode, Encode};
use silvercross_control_store::{Rejection, State};
use std::collections::BTreeMap;

/// The version of orders: the last one holds.
pub(crate) const UNVERSIONED: u64 = 0;

/// One item of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Item {
    /// Its name.
    pub name: u8,
    /// Its version: the highest one of a name is in force; 0 of an order.
    pub version: u64,
    /// What it says; 0: the item is dropped.
    pub content: u64,
    /// An item that has to be there when this one changes something; 0: none.
    pub needs: u8,
}

/// One call's items: in force as a whole or not at all.
pub type Change = Vec<Item>;

/// Items by name; drops are remembered.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Items(pub BTreeMap<u8, ItemState>);

fn rejection(conflict: bool, item: &Item) -> Rejection {
    Rejection { conflict, reason: format!("item {}, version {}", item.name, item.version) }
}

impl State for Items {
    type Change = Change;

    fn is_unversioned(change: &Change) -> bool {
        change.iter().any(|item| item.version == UNVERSIONED)
    }

    fn apply(&mut self, change: &Change) -> Result<bool, Rejection> {
        let mut next = self.0.clone();
        let mut changed = Vec::new();
        for item in change {
            let known = next.get(&item.name).copied().unwrap_or_default();
            if item.version == UNVERSIONED {
                if known.content != item.content {
                    let state = ItemState { version: known.version + 1, content: item.content };
                    next.insert(item.name, state);
                    changed.push(item);
                }
                continue;
            }
            if known.version == item.version && known.content != item.content {
                return Err(rejection(true, item));
            }
            if known.version < item.version {
                next.insert(item.name, ItemState { version: item.version, content: item.content });
                changed.push(item);
            }
        }
        for item in &changed {
            let is_there = |needed: u8| next.get(&needed).is_some_and(|known| known.content != 0);
            if item.needs != 0 && !is_there(item.needs) {
                return Err(rejection(false, item));
            }
        }
        let any_changed = !changed.is_empty();
        self.0 = next;
        Ok(any_changed)
    }
}
