//! What of the departures has to be written to disk, and when it counts as there.
use crate::disk::StoredDeparture;
use crate::node_state::{Departure, SidecarVersion, Tombstone};
use crate::peers::departure_log::DepartureLog;
use silvercross_mesh_membership::Node;

fn tombstone(id: &str, departure: Departure) -> Tombstone {
    let version = SidecarVersion { incarnation: 1, sequence: 2 };
    Tombstone { id: id.to_string(), sidecar: Node(7), version, departure }
}

fn ids(stored: &[StoredDeparture]) -> Vec<&str> {
    stored.iter().map(|stored| stored.id.as_str()).collect()
}

/// Guards against a departure that is taken for synced because an earlier write is.
#[test]
fn a_departure_counts_as_synced_only_once_a_write_that_includes_it_is() {
    let (a, b) = (tombstone("a", Departure::Draining), tombstone("b", Departure::Ended));
    let mut log = DepartureLog::default();
    assert!(log.is_synced(0) && !log.is_synced(1) && log.is_write_due(1, false));
    let first = log.next_write(1, [&a].into_iter()).expect("a write");
    assert_eq!((ids(&first.stored), first.deleted.len()), (vec!["a"], 0));
    // Another one comes while it is in flight: it goes into the next write.
    assert!(!log.is_synced(1) && !log.is_write_due(2, false));
    log.write_synced(first.number);
    assert!(log.is_synced(1) && !log.is_synced(2) && log.is_write_due(2, false));
    let second = log.next_write(2, [&a, &b].into_iter()).expect("a write");
    assert_eq!(ids(&second.stored), ["b"]);
    log.write_synced(second.number);
    assert!(log.is_synced(2) && !log.is_write_due(2, false));
    // How far it has left counts, and what expired is deleted.
    let ended = tombstone("a", Departure::Ended);
    let third = log.next_write(3, [&ended].into_iter()).expect("a write");
    assert_eq!((ids(&third.stored), third.deleted), (vec!["a"], vec!["b".to_string()]));
    assert!(third.stored[0].has_ended);
    log.write_synced(third.number);
    assert!(log.next_write(4, [&ended].into_iter()).is_none() && log.is_synced(4));
}

#[test]
fn what_was_found_on_disk_is_not_written_again() {
    let ended = tombstone("a", Departure::Ended);
    let found = DepartureLog::default().next_write(1, [&ended].into_iter()).expect("a write").stored;
    let mut log = DepartureLog::new(&found);
    assert_eq!(log.len(), 1);
    assert!(log.next_write(1, [&ended].into_iter()).is_none());
    assert_eq!(log.next_write(2, [].into_iter()).expect("a write").deleted, ["a"]);
    assert_eq!(log.len(), 0);
}
