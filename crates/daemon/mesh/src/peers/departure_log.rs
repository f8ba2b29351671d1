//! Which departures of upstreams are on the disk of this node, and what has to be written. One write at a time: what is new
//! meanwhile goes into the next one. Independent of links, and of the disk itself.
use crate::disk::{DepartureWrite, StoredDeparture};
use crate::node_state::{Departure, SidecarVersion, Tombstone};
use silvercross_mesh_membership::Node;
use std::collections::BTreeMap;

/// The departures on disk, as of the last write.
#[derive(Default)]
pub(super) struct DepartureLog {
    on_disk: BTreeMap<String, StoredDeparture>,
    /// The number of the last write.
    last_write: u64,
    /// The number of the last write that is synced.
    last_synced: u64,
    /// The changes of the table of tombstones that the last write includes.
    written_changes: u64,
    /// Those that are synced.
    synced_changes: u64,
}

/// The stored form of a tombstone.
fn stored(tombstone: &Tombstone) -> StoredDeparture {
    StoredDeparture {
        id: tombstone.id.clone(),
        sidecar: tombstone.sidecar.0,
        incarnation: tombstone.version.incarnation,
        sequence: tombstone.version.sequence,
        has_ended: tombstone.departure == Departure::Ended,
    }
}

/// The tombstone of a stored departure.
pub(super) fn tombstone(stored: StoredDeparture) -> Tombstone {
    let StoredDeparture { id, sidecar, incarnation, sequence, has_ended } = stored;
    let departure = if has_ended { Departure::Ended } else { Departure::Draining };
    let version = SidecarVersion { incarnation, sequence };
    Tombstone { id, sidecar: Node(sidecar), version, departure }
}

impl DepartureLog {
    /// Creates it from what was found on disk.
    pub(super) fn new(found: &[StoredDeparture]) -> Self {
        let on_disk = found.iter().map(|stored| (stored.id.clone(), stored.clone())).collect();
        DepartureLog { on_disk, ..DepartureLog::default() }
    }

    /// The number of departures on disk, or being written.
    pub(super) fn len(&self) -> usize {
        self.on_disk.len()
    }

    /// Whether these changes of the table of tombstones are synced.
    pub(super) fn is_synced(&self, table_changes: u64) -> bool {
        self.synced_changes >= table_changes
    }

    /// Whether a write is due: none is in flight, and the table has changed or expired departures are to be deleted.
    pub(super) fn is_write_due(&self, table_changes: u64, deletes_expired: bool) -> bool {
        !self.is_writing() && (self.written_changes < table_changes || deletes_expired)
    }

    fn is_writing(&self) -> bool {
        self.last_synced < self.last_write
    }

    /// The write that makes the disk hold these tombstones; `None` if it does already. Only if none is in flight.
    pub(super) fn next_write<'t>(
        &mut self,
        table_changes: u64,
        tombstones: impl Iterator<Item = &'t Tombstone>,
    ) -> Option<DepartureWrite> {
        let wanted: BTreeMap<String, StoredDeparture> =
            tombstones.map(|tombstone| (tombstone.id.clone(), stored(tombstone))).collect();
        self.written_changes = table_changes;
        let is_new = |stored: &&StoredDeparture| {
            self.on_disk.get(&stored.id).is_none_or(|known| known.has_ended != stored.has_ended)
        };
        let new: Vec<StoredDeparture> = wanted.values().filter(is_new).cloned().collect();
        let is_gone = |id: &&String| !wanted.contains_key(*id);
        let deleted: Vec<String> = self.on_disk.keys().filter(is_gone).cloned().collect();
        if new.is_empty() && deleted.is_empty() {
            self.synced_changes = table_changes;
            return None;
        }
        deleted.iter().for_each(|id| drop(self.on_disk.remove(id)));
        self.on_disk.extend(new.iter().map(|stored| (stored.id.clone(), stored.clone())));
        self.last_write += 1;
        Some(DepartureWrite { number: self.last_write, stored: new, deleted })
    }

    /// A write is synced.
    pub(super) fn write_synced(&mut self, number: u64) {
        self.last_synced = number;
        self.synced_changes = self.written_changes;
    }
}
