//! A value of many items, as large as a real configuration.

use bitcode::{Decode, Encode};
use silvercross_control_store::{Rejection, State};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Items that exist from the start: as many as the removed ones that a configuration remembers.
pub const ITEM_COUNT: u32 = 65_536;

/// Item to version and bytes.
type Part = BTreeMap<u32, (u64, [u64; 5])>;

/// Numbered items, each with a version and some bytes. Parts of them are shared until they change.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Items(BTreeMap<u32, Rc<Part>>);

/// Bytes that don't compress.
fn item_bytes(number: u64) -> [u64; 5] {
    [number.wrapping_mul(0x9e37_79b9_7f4a_7c15); 5]
}

impl Items {
    pub fn filled(count: u32) -> Items {
        let mut items = Items::default();
        for item in 0..count {
            let part = Rc::make_mut(items.0.entry(item / 256).or_default());
            part.insert(item, (1, item_bytes(u64::from(item))));
        }
        items
    }
}

impl State for Items {
    /// Item, version.
    type Change = (u32, u64);

    fn apply(&mut self, change: &(u32, u64)) -> Result<bool, Rejection> {
        let part = Rc::make_mut(self.0.entry(change.0 / 256).or_default());
        let known = part.entry(change.0).or_default();
        let changed = change.1 > known.0;
        if changed {
            *known = (change.1, item_bytes(change.1));
        }
        Ok(changed)
    }
}
