//! Departures of upstreams on disk, beside the control store's records.
use super::super::messages::{DepartureWrite, DiskRequest, StoredDeparture};
use super::super::recovery::recover;
use super::super::DiskEvent;
use super::memory_folder::MemoryFolder;
use super::write;

fn departure(id: &str, has_ended: bool) -> StoredDeparture {
    StoredDeparture { id: id.to_string(), sidecar: 7, incarnation: 1, sequence: 2, has_ended }
}

fn writes() -> Vec<DepartureWrite> {
    vec![
        DepartureWrite { number: 1, stored: vec![departure("a", false)], deleted: vec![] },
        DepartureWrite {
            number: 2,
            stored: vec![departure("a", true), departure("b", true)],
            deleted: vec![],
        },
        DepartureWrite { number: 3, stored: vec![departure("c", false)], deleted: vec!["a".to_string()] },
    ]
}

/// The expected content after the first `count` of [`writes`].
fn content_after(count: usize) -> Vec<StoredDeparture> {
    let mut content: Vec<StoredDeparture> = Vec::new();
    for write in writes().into_iter().take(count) {
        content.retain(|known| !write.deleted.contains(&known.id));
        content.retain(|known| write.stored.iter().all(|stored| stored.id != known.id));
        content.extend(write.stored);
    }
    content.sort_by(|a, b| a.id.cmp(&b.id));
    content
}

/// Writes departures between records of the control store. Returns how many were acknowledged.
fn write_all(folder: &MemoryFolder) -> usize {
    let Ok(found) = recover(folder.clone()) else { return 0 };
    let (mut writer, mut acknowledged) = (found.writer, 0);
    for departures in writes() {
        writer.pending.push(write(departures.number, &[("k", departures.number)], true).into());
        writer.pending.push(DiskRequest::Departures(departures));
        for event in writer.attempt() {
            match event {
                DiskEvent::DeparturesSynced(_) => acknowledged += 1,
                DiskEvent::Failed(_) => return acknowledged,
                _ => {}
            }
        }
    }
    acknowledged
}

/// Guards against a departure that was reported as synced and is gone after a loss of power.
#[test]
fn power_loss_after_any_operation_keeps_every_acknowledged_departure() {
    let whole = MemoryFolder::default();
    assert_eq!(write_all(&whole), writes().len());
    for power in 0..=whole.operations() {
        let folder = MemoryFolder::default();
        folder.power_lost_after(power);
        let acknowledged = write_all(&folder);
        for (how, after) in folder.after_power_loss() {
            let case = format!("power after {power} operations, {how}");
            let found = recover(after).unwrap_or_else(|e| panic!("{case}: {e}")).departures;
            let is_kept = (acknowledged..=writes().len()).any(|count| content_after(count) == found);
            assert!(is_kept, "{case}: {acknowledged} were acknowledged, and the disk holds {found:?}");
        }
    }
}

/// Guards against departures that are lost because the disk is full when the process starts.
#[test]
fn departures_are_read_from_a_full_disk() {
    let folder = MemoryFolder::default();
    write_all(&folder);
    folder.out_of_space_from(Some(0));
    let found = recover(folder).expect("opens");
    assert_eq!(found.departures, content_after(writes().len()));
    assert!(found.writer.out_of_space.is_some());
}
