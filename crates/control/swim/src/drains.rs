//! Drains heard from discovery by one member and reported to the others: evidence that an upstream finishes what it has, for
//! those whose own list is older. Never a readiness; never forgotten by time, only once the own list is as new.
use crate::limits::MAX_DRAINS;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An upstream's name is no longer, in bytes.
pub const MAX_HOST_BYTES: usize = 128;

/// An upstream that a version of discovery's list says is draining.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Its name.
    pub host: String,
    /// Its last start by that list, Unix time in milliseconds.
    pub born_ms: u64,
    /// The list's version.
    pub seq: u64,
}

/// Those that hold here.
#[derive(Debug, Default)]
pub struct Drains {
    held: BTreeMap<String, Drain>,
    /// The version of the own list.
    list: u64,
    own: BTreeMap<String, Drain>,
}

impl Drains {
    /// One heard from another member; whether it is new here and says more than the own list.
    pub fn add_reported(&mut self, d: &Drain) -> bool {
        if d.host.len() > MAX_HOST_BYTES || d.seq <= self.list {
            return false;
        }
        if self.held.get(&d.host).is_some_and(|h| h.seq >= d.seq) {
            return false;
        }
        Self::put(&mut self.held, d);
        true
    }

    /// One that the own list says; whether it is gossiped.
    pub fn add_own(&mut self, d: &Drain) -> bool {
        if d.host.len() > MAX_HOST_BYTES || self.own.get(&d.host).is_some_and(|h| h.born_ms == d.born_ms) {
            return false;
        }
        Self::put(&mut self.own, d);
        true
    }

    /// The own list no longer says that this one drains.
    pub fn remove_own(&mut self, host: &str) {
        self.own.remove(host);
    }

    fn put(map: &mut BTreeMap<String, Drain>, d: &Drain) {
        if map.len() >= MAX_DRAINS && !map.contains_key(&d.host) {
            let oldest = map.values().min_by_key(|h| h.seq).map(|h| h.host.clone());
            oldest.into_iter().for_each(|h| drop(map.remove(&h)));
        }
        map.insert(d.host.clone(), d.clone());
    }

    /// The own list has come to this version: what others reported up to it is in it, or over.
    /// Returned are those that are over by it.
    pub fn set_list_version(&mut self, seq: u64, whole: bool) -> Vec<Drain> {
        self.list = seq;
        if whole {
            self.own.clear();
        }
        let over: Vec<Drain> = self.held.values().filter(|d| d.seq <= seq).cloned().collect();
        self.held.retain(|_, d| d.seq > seq);
        over
    }

    /// What [`crate::Mutant::DrainsExpire`] does.
    pub(crate) fn clear_reported(&mut self) {
        self.held.clear();
    }

    /// Whether another member reported that this start of an upstream drains.
    pub fn is_draining(&self, host: &str, born_ms: u64) -> bool {
        self.held.get(host).is_some_and(|d| d.born_ms >= born_ms)
    }

    /// All that is gossiped: heard and own.
    pub fn all(&self) -> impl Iterator<Item = &Drain> {
        self.held.values().chain(self.own.values())
    }

    /// How many were heard from others and hold.
    pub fn reported_count(&self) -> usize {
        self.held.len()
    }
}
