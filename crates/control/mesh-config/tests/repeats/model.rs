//! A slow plain model: by name all that was ever acknowledged, of which the highest stands. It shares no type with the
//! code it judges.

use std::collections::BTreeMap;

#[derive(Debug, PartialEq)]
pub enum Said {
    Done,
    Again,
    Conflict,
    Invalid,
}
use Said::*;

/// Whether a route, its number, version, content: `None` drops it, else a route goes to this service.
pub type Item = (bool, u8, u64, Option<u8>);

#[derive(Clone, Default)]
pub struct Model {
    acknowledged: BTreeMap<(bool, u8), BTreeMap<u64, Option<u8>>>,
}

impl Model {
    pub fn standing(&self, route: bool, number: u8) -> Option<u8> {
        self.acknowledged.get(&(route, number))?.last_key_value()?.1.to_owned()
    }

    /// What is to be said.
    pub fn say(&mut self, items: &[Item]) -> Said {
        let mut next = self.clone();
        let mut newer = Vec::new();
        let mut new = false;
        for (route, number, version, content) in items {
            let known = next.acknowledged.entry((*route, *number)).or_default();
            match known.get(version) {
                Some(other) if other != content => return Conflict,
                Some(_) => {}
                None => {
                    new = true;
                    if known.keys().all(|v| v < version) {
                        newer.push((*route, *number));
                    }
                    known.insert(*version, *content);
                }
            }
        }
        let routes: Vec<(u8, u8)> = (0..4).filter_map(|n| next.standing(true, n).map(|to| (n, to))).collect();
        for (number, to) in routes {
            let gone = next.standing(false, to).is_none();
            if gone && (newer.contains(&(true, number)) || newer.contains(&(false, to))) {
                return Invalid;
            }
        }
        *self = next;
        if new {
            Done
        } else {
            Again
        }
    }
}
