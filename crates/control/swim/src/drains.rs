//! Draining upstreams, learned from discovery by one member and gossiped to members whose endpoint list is older. A reported
//! drain never makes an upstream ready, and does not expire: it holds until the local endpoint list reaches its version.
use crate::limits::MAX_DRAINS;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum length of an upstream name, in bytes.
pub const MAX_HOST_BYTES: usize = 128;

/// An upstream that is draining according to one version of the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Name of the upstream.
    pub host: String,
    /// Start time of the upstream in that list, Unix time in milliseconds.
    pub born_ms: u64,
    /// Version of the endpoint list.
    pub seq: u64,
}

/// Drains reported by other members and drains in the local endpoint list.
#[derive(Debug, Default)]
pub struct Drains {
    reported: BTreeMap<String, Drain>,
    /// Version of the local endpoint list.
    list_version: u64,
    local: BTreeMap<String, Drain>,
}

impl Drains {
    /// Adds a drain reported by another member. Returns whether it is new and newer than the local endpoint list.
    pub fn add_reported(&mut self, d: &Drain) -> bool {
        if d.host.len() > MAX_HOST_BYTES || d.seq <= self.list_version {
            return false;
        }
        if self.reported.get(&d.host).is_some_and(|h| h.seq >= d.seq) {
            return false;
        }
        Self::insert_bounded(&mut self.reported, d);
        true
    }

    /// Adds a drain from the local endpoint list. Returns whether it has to be gossiped.
    pub fn add_own(&mut self, d: &Drain) -> bool {
        if d.host.len() > MAX_HOST_BYTES || self.local.get(&d.host).is_some_and(|h| h.born_ms == d.born_ms) {
            return false;
        }
        Self::insert_bounded(&mut self.local, d);
        true
    }

    /// Removes an upstream that the local endpoint list no longer marks as draining.
    pub fn remove_own(&mut self, host: &str) {
        self.local.remove(host);
    }

    fn insert_bounded(map: &mut BTreeMap<String, Drain>, d: &Drain) {
        if map.len() >= MAX_DRAINS && !map.contains_key(&d.host) {
            let oldest = map.values().min_by_key(|h| h.seq).map(|h| h.host.clone());
            oldest.into_iter().for_each(|h| drop(map.remove(&h)));
        }
        map.insert(d.host.clone(), d.clone());
    }

    /// Sets the version of the local endpoint list; `whole` means that the list was replaced and not patched. The list covers
    /// all reports up to its version: these are removed and returned.
    pub fn set_list_version(&mut self, seq: u64, whole: bool) -> Vec<Drain> {
        self.list_version = seq;
        if whole {
            self.local.clear();
        }
        let superseded: Vec<Drain> = self.reported.values().filter(|d| d.seq <= seq).cloned().collect();
        self.reported.retain(|_, d| d.seq > seq);
        superseded
    }

    /// Drops all reported drains, for [`crate::Mutant::DrainsExpire`].
    pub(crate) fn clear_reported(&mut self) {
        self.reported.clear();
    }

    /// Whether another member reported this start of the upstream, or a later one, as draining.
    pub fn is_draining(&self, host: &str, born_ms: u64) -> bool {
        self.reported.get(host).is_some_and(|d| d.born_ms >= born_ms)
    }

    /// All drains to gossip: reported and local ones.
    pub fn all(&self) -> impl Iterator<Item = &Drain> {
        self.reported.values().chain(self.local.values())
    }

    /// Number of drains reported by other members that still hold.
    pub fn reported_count(&self) -> usize {
        self.reported.len()
    }
}
