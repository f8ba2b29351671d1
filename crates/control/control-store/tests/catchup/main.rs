//! How a replica that was away catches up over links of 7 Mbit/s: the time it takes, the bytes sent, and the
//! chunk sizes.

mod items;
mod network;

use items::{Items, ITEM_COUNT};
use network::{Network, LINK_BITS_PER_SECOND};
use silvercross_control_store::{Node, SNAPSHOT_CHUNK_BYTES};
use silvercross_time::{Duration, Instant};

/// Maximum size of a message in addition to its chunk or changes.
const MAX_OVERHEAD_BYTES: usize = 512;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Absence {
    /// Stopped, and restarted on its disk.
    Restart,
    /// The same for the owner; another replica owns the key in the meantime.
    RestartOfTheOwner,
    /// Its disk was lost.
    Wipe,
    /// All its links were cut.
    Cut,
    /// A spare node joins in place of a lost replica.
    Join,
}

struct Measurement {
    took: Duration,
    bytes: usize,
    largest_message: usize,
    unknown: u64,
}

/// A replica misses this many changes. With `load`, another change follows every 50 ms while it catches up.
fn catch_up_after(absence: Absence, changes: u64, load: bool) -> Measurement {
    let mut network = Network::new(Items::filled(ITEM_COUNT), 1, SNAPSHOT_CHUNK_BYTES);
    let owner = network.owner().expect("an owner");
    let replica = match absence {
        Absence::RestartOfTheOwner => owner,
        _ => (owner + 1) % 3,
    };
    begin_absence(&mut network, absence, replica);
    network.change(changes);
    let (before, begun, unknown) = (network.traffic(replica), network.now, network.unknown);
    network.largest_message = 0;
    let replica = end_absence(&mut network, absence, replica);
    let before = if absence == Absence::Join { 0 } else { before };
    let mut next_change = Instant::ZERO;
    while !has_caught_up(&network, replica) {
        assert!(network.now < begun + Duration::from_secs(60), "{absence:?} after {changes} changes");
        assert_ne!(network.owner(), Some(replica), "owner before it has caught up");
        if load && network.now >= next_change {
            next_change = network.now + Duration::from_millis(50);
            let item = (network.tokens % u64::from(ITEM_COUNT)) as u32;
            let node = network.owner().unwrap_or((replica + 1) % 3);
            network.call(node, (item, 1 + network.tokens));
        }
        network.advance(Duration::from_millis(1));
    }
    let took = network.now - begun;
    let bytes = network.traffic(replica);
    read_without_value(&mut network, replica);
    let measurement = Measurement {
        took,
        bytes: bytes - before,
        largest_message: network.largest_message,
        unknown: network.unknown - unknown,
    };
    println!(
        "{changes:>7} changes, {absence:?}{}: caught up in {} ms, {} KB, largest message {} bytes, {} calls unknown",
        if load { ", with 20 changes a second" } else { "" },
        took.as_micros() / 1_000,
        measurement.bytes / 1_000,
        measurement.largest_message,
        measurement.unknown,
    );
    measurement
}

fn begin_absence(network: &mut Network, absence: Absence, replica: usize) {
    match absence {
        Absence::Restart | Absence::RestartOfTheOwner => network.stop(replica, false),
        Absence::Wipe => network.stop(replica, true),
        Absence::Cut => {
            for other in (0..4).filter(|other| *other != replica) {
                network.unlink(replica, other);
            }
        }
        Absence::Join => {}
    }
}

/// Returns the node that has to catch up.
fn end_absence(network: &mut Network, absence: Absence, replica: usize) -> usize {
    match absence {
        Absence::Join => {
            network.stop(replica, true);
            for node in 0..3 {
                if let Some(store) = &mut network.stores[node] {
                    store.set_candidate(network.now, Node(3), true);
                }
            }
            return 3;
        }
        Absence::Cut => (0..4).for_each(|other| network.link(replica, other)),
        _ => network.start(replica),
    }
    replica
}

/// Whether a replica has everything that the owner has.
fn has_caught_up(network: &Network, replica: usize) -> bool {
    let owner = network.owner().filter(|owner| *owner != replica);
    let owned = owner.and_then(|owner| network.accepted(owner));
    owned.is_some_and(|owned| network.accepted(replica).is_some_and(|accepted| accepted >= owned))
}

/// A replica that has the value reads it with nothing but its revision from the other nodes.
fn read_without_value(network: &mut Network, replica: usize) {
    let (values, bytes) = (network.values, network.traffic(replica));
    network.read(replica);
    network.advance(Duration::from_millis(800));
    assert!(network.values == values + 1 && network.traffic(replica) < bytes + 4_096, "a read");
}

fn snapshot_bytes() -> usize {
    bitcode::encode(&Items::filled(ITEM_COUNT)).len()
}

fn check_all_absences(changes: &[u64]) {
    let snapshot = snapshot_bytes();
    let link_time = snapshot as i64 * 8_000 / LINK_BITS_PER_SECOND;
    println!("the value: {snapshot} bytes, {link_time} ms of a link");
    for changes in changes {
        for (absence, load) in [
            (Absence::Restart, false),
            (Absence::Restart, true),
            (Absence::RestartOfTheOwner, false),
            (Absence::Wipe, false),
            (Absence::Wipe, true),
            (Absence::Cut, false),
            (Absence::Join, false),
        ] {
            let measured = catch_up_after(absence, *changes, load);
            let is_incremental = *changes <= 3_000 && !matches!(absence, Absence::Wipe | Absence::Join);
            // What the replica lacks, and a tenth for overhead. A change is well under 64 bytes.
            let missing_bytes = if is_incremental { *changes as usize * 64 } else { snapshot };
            let bytes = missing_bytes + missing_bytes / 10 + 64 * 1024;
            let replacement = if absence == Absence::Join { 5_500_000 } else { 0 };
            let micros = bytes as i64 * 8_000_000 / LINK_BITS_PER_SECOND + 1_000_000 + replacement;
            let took = Duration::from_micros(micros);
            let name = format!("{absence:?} after {changes}");
            assert!(measured.bytes <= bytes, "{name}: {} bytes, not {bytes}", measured.bytes);
            assert!(measured.took <= took, "{name}: {}, not {took}", measured.took);
            let largest = measured.largest_message;
            assert!(largest <= SNAPSHOT_CHUNK_BYTES + MAX_OVERHEAD_BYTES, "{name}: {largest} bytes at once");
            assert_eq!(measured.unknown, 0, "{name}: calls meanwhile");
        }
    }
}

#[test]
fn a_returning_replica_catches_up_in_chunks() {
    check_all_absences(&[300]);
}

/// `cargo test --release -p silvercross-control-store --test catchup -- --ignored --nocapture`
#[test]
#[ignore = "takes minutes in a debug build"]
fn a_replica_returning_after_many_changes_catches_up() {
    check_all_absences(&[300, 3_000, 100_000]);
}

/// A wiped replica receives a value of many chunks while its link to the sender is lost at each chunk, or it
/// restarts at one of them, also with a change at each chunk.
#[test]
fn a_link_lost_at_every_chunk_resends_nothing() {
    for (breaks, changes, restarts) in
        [(true, false, false), (true, true, false), (false, true, false), (true, true, true)]
    {
        let mut network = Network::new(Items::filled(600), 0, 1024);
        let owner = network.owner().expect("an owner");
        let replica = (owner + 1) % 3;
        network.stop(replica, true);
        network.start(replica);
        let begun = network.now;
        let mut break_count = 0;
        while network.accepted(replica).is_none() {
            assert!(network.now < begun + Duration::from_secs(20), "the repair completes");
            network.run_to_next_chunk(network.now + Duration::from_millis(100));
            if restarts && network.chunks_arrived == 10 {
                network.stop(replica, false);
                network.start(replica);
                // What it had only in memory is lost.
                network.arrived_chunks.clear();
            } else if breaks {
                let sender = network.last_sender;
                network.unlink(replica, sender);
                network.advance(Duration::from_millis(5));
                network.link(replica, sender);
                break_count += 1;
            }
            if changes {
                network.call(owner, (break_count % 600, 2 + network.tokens));
            }
        }
        network.advance(Duration::from_millis(1_100));
        let now = network.owner().and_then(|owner| network.accepted(owner));
        assert_eq!(network.accepted(replica), now, "including the changes made meanwhile");
        assert!(!breaks || break_count >= 20, "{break_count} breaks");
        assert_eq!(network.resent_chunks, 0, "chunks sent again that had arrived");
        let largest = network.largest_message;
        assert!(largest <= 1024 + MAX_OVERHEAD_BYTES, "{largest} bytes at once");
    }
}
