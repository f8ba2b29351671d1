//! Tombstones of upstreams that leave: what a node remembers so that an older heartbeat does not bring them
//! back. Independent of links and of the upstream on this machine.
use silvercross_mesh_membership::Node;
use silvercross_time::{Duration, Instant};
use std::collections::BTreeMap;

/// How long a tombstone is kept after the departure was acknowledged. No heartbeat is delayed for longer.
pub(crate) const TOMBSTONE_RETENTION: Duration = Duration::from_secs(60);
/// The maximum number of tombstones. At the limit the one that expires first is dropped.
pub(crate) const MAX_TOMBSTONES: usize = 4_096;

/// How far an upstream has left.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum Departure {
    /// It is draining: it accepts no more requests.
    Draining,
    /// It has signed off, or another incarnation has its address.
    Ended,
}

/// The version of a sidecar's record. Comparable only with versions of the same sidecar.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct SidecarVersion {
    /// The incarnation of the sidecar.
    pub(crate) incarnation: u64,
    /// The sequence within the incarnation.
    pub(crate) sequence: u64,
}

/// An upstream that leaves.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Tombstone {
    /// The id of its incarnation.
    pub(crate) id: String,
    /// The sidecar on its machine.
    pub(crate) sidecar: Node,
    /// The sidecar's record when the departure was acknowledged, or the one that lists it as draining.
    pub(crate) version: SidecarVersion,
    /// How far it has left.
    pub(crate) departure: Departure,
}

/// A tombstone and the time until which it is kept.
struct StoredTombstone {
    tombstone: Tombstone,
    expires_at: Instant,
    /// How far the upstream has left as far as that is durable.
    durable: Option<Departure>,
}

/// A departure, without whose it was.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct KnownDeparture {
    /// The id of the upstream.
    pub(crate) id: String,
    /// How far it has left.
    pub(crate) departure: Departure,
}

/// The tombstones known to a node, by upstream id. At most [`MAX_TOMBSTONES`].
#[derive(Default)]
pub(crate) struct TombstoneTable {
    by_id: BTreeMap<String, StoredTombstone>,
    /// Increases with every change but expiry.
    changes: u64,
}

impl TombstoneTable {
    /// Stores a tombstone for the remaining time. Returns whether it says more than what was known.
    pub(crate) fn insert(&mut self, now: Instant, tombstone: Tombstone, remaining: Duration) -> bool {
        self.expire(now);
        let expires_at = now + remaining.min(TOMBSTONE_RETENTION);
        if expires_at <= now {
            return false;
        }
        if let Some(known) = self.by_id.get_mut(&tombstone.id) {
            let says_more = tombstone.departure > known.tombstone.departure;
            self.changes += u64::from(says_more);
            known.expires_at = known.expires_at.max(expires_at);
            known.tombstone.departure = known.tombstone.departure.max(tombstone.departure);
            known.tombstone.version = known.tombstone.version.max(tombstone.version);
            return says_more;
        }
        if self.by_id.len() >= MAX_TOMBSTONES {
            self.drop_first_to_expire();
        }
        self.changes += 1;
        let id = tombstone.id.clone();
        self.by_id.insert(id, StoredTombstone { tombstone, expires_at, durable: None });
        true
    }

    /// How far the upstream has left, if that is remembered.
    pub(crate) fn departure(&self, now: Instant, id: &str) -> Option<Departure> {
        self.live(now, id).map(|stored| stored.tombstone.departure)
    }

    /// Whether an upstream has left although a record of this version lists it as ready. A later record of the
    /// same incarnation is believed for an upstream that was draining: that sidecar knows the sequence of the
    /// heartbeats.
    pub(crate) fn contradicts(&self, now: Instant, id: &str, version: SidecarVersion) -> bool {
        self.live(now, id).is_some_and(|stored| !stored.tombstone.is_resumed_by(version))
    }

    /// Removes the tombstone of a draining upstream that a later record of the same incarnation lists as ready.
    pub(crate) fn remove_resumed(&mut self, id: &str, version: SidecarVersion) {
        if self.by_id.get(id).is_some_and(|stored| stored.tombstone.is_resumed_by(version)) {
            self.remove(id);
        }
    }

    /// Removes a tombstone.
    pub(crate) fn remove(&mut self, id: &str) {
        self.changes += u64::from(self.by_id.remove(id).is_some());
    }

    /// A number that increases with every change of the table but expiry.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    /// The departures that are not known to be durable.
    pub(crate) fn not_durable(&self, now: Instant) -> Vec<KnownDeparture> {
        let live = self.by_id.values().filter(|stored| stored.expires_at > now);
        let open = live.filter(|stored| stored.durable < Some(stored.tombstone.departure));
        open.map(|stored| stored.tombstone.known()).collect()
    }

    /// These departures are durable.
    pub(crate) fn set_durable(&mut self, departures: &[KnownDeparture]) {
        for KnownDeparture { id, departure } in departures {
            if let Some(stored) = self.by_id.get_mut(id) {
                stored.durable = stored.durable.max(Some(*departure));
            }
        }
    }

    /// All tombstones and the remaining times for which they are kept.
    pub(crate) fn remaining(&self, now: Instant) -> impl Iterator<Item = (&Tombstone, Duration)> {
        let live = self.by_id.values().filter(move |stored| stored.expires_at > now);
        live.map(move |stored| (&stored.tombstone, stored.expires_at - now))
    }

    /// The number of stored tombstones.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Removes expired tombstones.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.by_id.retain(|_, stored| stored.expires_at > now);
    }

    fn live(&self, now: Instant, id: &str) -> Option<&StoredTombstone> {
        self.by_id.get(id).filter(|stored| stored.expires_at > now)
    }

    fn drop_first_to_expire(&mut self) {
        let first = self.by_id.iter().min_by_key(|(_, stored)| stored.expires_at);
        if let Some(id) = first.map(|(id, _)| id.clone()) {
            self.by_id.remove(&id);
        }
    }
}

impl Tombstone {
    fn known(&self) -> KnownDeparture {
        KnownDeparture { id: self.id.clone(), departure: self.departure }
    }

    fn is_resumed_by(&self, version: SidecarVersion) -> bool {
        self.departure == Departure::Draining
            && version.incarnation == self.version.incarnation
            && version.sequence > self.version.sequence
    }
}

#[cfg(test)]
mod tests;
