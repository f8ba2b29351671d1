//! A reference model: all versions ever acknowledged by name, of which the highest is in force. It shares no types with
//! the code under test.

use std::collections::BTreeMap;

#[derive(Debug, PartialEq)]
pub enum Outcome {
    Applied,
    Unchanged,
    Conflict,
    Invalid,
}
use Outcome::*;

/// Whether it is a route, its number, its version and its content: `None` withdraws the item; the content of a route is
/// its destination.
pub type Item = (bool, u8, u64, Option<u8>);

#[derive(Clone, Default)]
pub struct Model {
    acknowledged: BTreeMap<(bool, u8), BTreeMap<u64, Option<u8>>>,
}

impl Model {
    pub fn in_force(&self, route: bool, number: u8) -> Option<u8> {
        self.acknowledged.get(&(route, number))?.last_key_value()?.1.to_owned()
    }

    /// Applies a call and returns the expected outcome.
    pub fn apply(&mut self, items: &[Item]) -> Outcome {
        let mut next = self.clone();
        let mut newer = Vec::new();
        let mut is_changed = false;
        for (route, number, version, content) in items {
            let known = next.acknowledged.entry((*route, *number)).or_default();
            match known.get(version) {
                Some(other) if other != content => return Conflict,
                Some(_) => {}
                None => {
                    is_changed = true;
                    if known.keys().all(|v| v < version) {
                        newer.push((*route, *number));
                    }
                    known.insert(*version, *content);
                }
            }
        }
        let routes: Vec<(u8, u8)> =
            (0..4).filter_map(|n| next.in_force(true, n).map(|destination| (n, destination))).collect();
        for (number, destination) in routes {
            let is_missing = next.in_force(false, destination).is_none();
            if is_missing && (newer.contains(&(true, number)) || newer.contains(&(false, destination))) {
                return Invalid;
            }
        }
        *self = next;
        if is_changed {
            Applied
        } else {
            Unchanged
        }
    }
}
