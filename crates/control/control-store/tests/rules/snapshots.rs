//! A snapshot that is corrupt, incomplete, mixed from two revisions, or older is never installed.

use crate::common::cluster::{others, Cluster, NotesMessage};
use silvercross_control_store::*;

/// All chunks of the key's current value, from its owner.
fn snapshot_chunks(cluster: &mut Cluster, owner: usize, requester: usize) -> Vec<NotesMessage> {
    let OwnedKey { key, revision, .. } = cluster.owned(owner);
    let (mut chunks, mut offset) = (Vec::new(), 0);
    loop {
        let message = Message::SnapshotRequest { key: key.clone(), revision, offset };
        cluster.receive(owner, requester, 1, message);
        for effect in cluster.stores[owner].take_effects() {
            let Effect::Send { message, .. } = effect else { panic!("{effect:?}") };
            let Message::SnapshotChunk { total_bytes, bytes, .. } = &message else { panic!("{message:?}") };
            offset += bytes.len() as u64;
            let last = offset >= *total_bytes;
            chunks.push(message);
            if last {
                return chunks;
            }
        }
    }
}

/// A lagging replica receives chunks of two revisions. Returns whether it installs a snapshot with a corrupt
/// chunk, one with a missing chunk, one mixed from both revisions, and the older one after the later one.
fn installs(mutation: Option<Mutation>) -> [bool; 4] {
    let (mut cluster, owner) = Cluster::settled();
    let (x, y) = others(owner);
    cluster.set_mutation(mutation);
    cluster.stores.iter_mut().for_each(|l| l.set_snapshot_chunk_bytes(5));
    cluster.isolate(x);
    let mut sent = Vec::new();
    for version in [1, 2] {
        let change: Vec<_> = (0..30).map(|item| (item, version, 1_000 * version + u64::from(item))).collect();
        cluster.call(owner, version, &change);
        assert!(cluster.is_committed(version));
        sent.push(snapshot_chunks(&mut cluster, owner, y));
    }
    let [old, new] = [sent[0].clone(), sent[1].clone()];
    assert!(old.len() > 3 && old.len() == new.len());
    let values = |cluster: &Cluster| cluster.disks[x].keys[0].value.clone();
    let nothing = values(&cluster);
    let mut deliver = |chunks: Vec<NotesMessage>| {
        for chunk in chunks {
            cluster.receive(x, owner, 1, chunk);
        }
        cluster.run();
        (values(&cluster), cluster.stores[x].metrics().corrupt_snapshots)
    };
    let mut torn = old.clone();
    let Message::SnapshotChunk { bytes, .. } = &mut torn[1] else { panic!("a chunk") };
    bytes[0] ^= 0x80;
    let (value, count) = deliver(torn);
    let torn = value != nothing;
    assert!(torn || count == 1);
    let incomplete = deliver(old[..2].iter().chain(&old[3..]).cloned().collect()).0 != nothing;
    let mixed = deliver([&old[..2], &new[2..]].concat()).0 != nothing;
    let whole = deliver(new.clone()).0;
    assert!(whole.0.iter().all(|(i, one)| *one == (2, 2_000 + u64::from(*i))) && whole.0.len() == 30);
    let older = deliver(old).0 != whole;
    [torn, incomplete, mixed, older]
}

#[test]
fn a_snapshot_corrupt_mixed_or_old_is_never_installed() {
    assert_eq!(installs(None), [false; 4]);
}

#[cfg(feature = "mutants")]
#[test]
fn a_snapshot_mixed_from_two_revisions_is_caught() {
    assert!(installs(Some(Mutation::MixesSnapshotRevisions))[2]);
}

#[cfg(feature = "mutants")]
#[test]
fn an_old_snapshot_over_a_newer_value_is_caught() {
    assert!(installs(Some(Mutation::InstallsOlderSnapshots))[3]);
}
