//! Snapshot transfer: whom to request a snapshot from, what to send, and when to install one.

use crate::limits::{
    INCOMING_SNAPSHOT_TIMEOUT, MAX_INCOMING_SNAPSHOTS, MAX_OUTGOING_SNAPSHOTS, MAX_SNAPSHOT_BYTES,
    OUTGOING_SNAPSHOT_IDLE_TIMEOUT,
};
use crate::message::Message;
use crate::mutation::Mutation;
use crate::repair::FetchedValue;
use crate::snapshot::{IncomingSnapshot, OutgoingSnapshot, ReceivedChunk, SnapshotDigest};
use crate::store::{ControlStore, Phase};
use crate::types::{Epoch, Node, Revision};
use crate::value::State;
use silvercross_time::Instant;

impl<V: State> ControlStore<V> {
    /// Sends the first chunk of a snapshot to a replica that has `accepted`: of a snapshot already being sent
    /// if it is later and the change log continues from it. Otherwise, or if `accepted` is unknown, of the
    /// current revision.
    pub(crate) fn send_first_chunk(&mut self, now: Instant, to: Node, key: &str, accepted: Option<Revision>) {
        let Some(slot) = self.keys.get(key) else { return };
        let is_useful = |snapshot: &&OutgoingSnapshot| {
            snapshot.key == key
                && accepted.is_some_and(|accepted| snapshot.revision > accepted)
                && slot.change_log.covers(snapshot.revision)
        };
        let known = self.outgoing_snapshots.iter().filter(is_useful);
        let revision = known.map(|snapshot| snapshot.revision).max().unwrap_or(slot.accepted);
        self.metrics.snapshots_sent += 1;
        self.send_chunk(now, to, key, revision, 0);
    }

    /// Sends the chunk at this offset, if the snapshot exists or can be made.
    fn send_chunk(&mut self, now: Instant, to: Node, key: &str, revision: Revision, offset: u64) {
        let Some(index) = self.outgoing_snapshot(now, key, revision) else { return };
        let snapshot = &mut self.outgoing_snapshots[index];
        snapshot.last_used = now;
        let message = Message::SnapshotChunk {
            key: key.to_owned(),
            revision,
            offset,
            total_bytes: snapshot.bytes.len() as u64,
            digest: snapshot.digest,
            bytes: snapshot.chunk(offset, self.snapshot_chunk_bytes).to_vec(),
        };
        self.metrics.snapshot_chunks_sent += 1;
        self.send(to, message);
    }

    /// The index of the snapshot of this revision, made if the value still has that revision.
    fn outgoing_snapshot(&mut self, now: Instant, key: &str, revision: Revision) -> Option<usize> {
        let is_match = |snapshot: &OutgoingSnapshot| snapshot.key == key && snapshot.revision == revision;
        if let Some(index) = self.outgoing_snapshots.iter().position(is_match) {
            return Some(index);
        }
        let slot = self.keys.get(key).filter(|slot| slot.accepted == revision)?;
        let bytes = bitcode::encode(&slot.value);
        let digest = SnapshotDigest::of(&bytes);
        let snapshot = OutgoingSnapshot { key: key.to_owned(), revision, digest, bytes, last_used: now };
        self.drop_idle_snapshots(now);
        if self.outgoing_snapshots.len() >= MAX_OUTGOING_SNAPSHOTS {
            let by_use = self.outgoing_snapshots.iter().enumerate();
            if let Some((oldest, _)) = by_use.min_by_key(|(_, snapshot)| snapshot.last_used) {
                self.outgoing_snapshots.swap_remove(oldest);
            }
        }
        self.outgoing_snapshots.push(snapshot);
        Some(self.outgoing_snapshots.len() - 1)
    }

    /// Drops snapshots that nobody has requested for a while.
    pub(crate) fn drop_idle_snapshots(&mut self, now: Instant) {
        self.outgoing_snapshots.retain(|snapshot| now < snapshot.last_used + OUTGOING_SNAPSHOT_IDLE_TIMEOUT);
    }

    /// Sends the requested chunk. If that snapshot no longer exists, sends the first chunk of the current
    /// revision, if it is later.
    pub(crate) fn on_snapshot_request(
        &mut self,
        now: Instant,
        from: Node,
        key: String,
        revision: Revision,
        offset: u64,
    ) {
        let Some(accepted) = self.keys.get(&key).map(|slot| slot.accepted) else { return };
        let is_kept = self.outgoing_snapshots.iter().any(|s| s.key == key && s.revision == revision);
        if accepted == revision || is_kept {
            self.send_chunk(now, from, &key, revision, offset);
        } else if accepted > revision {
            self.metrics.snapshots_sent += 1;
            self.send_chunk(now, from, &key, accepted, 0);
        }
    }

    /// Whether a snapshot of the key at this revision is needed.
    fn wants_snapshot(&self, key: &str, revision: Revision) -> bool {
        let installs_any = self.has_mutation(Mutation::InstallsOlderSnapshots);
        match self.phase {
            Phase::Voter => self.keys.get(key).is_some_and(|s| revision > s.accepted || installs_any),
            Phase::Repairing => self.repair.missing(key).is_some_and(|needed| revision >= needed),
            _ => false,
        }
    }

    /// Adds a chunk to its snapshot, and installs the snapshot when it is complete.
    pub(crate) fn on_snapshot_chunk(&mut self, now: Instant, from: Node, key: String, chunk: ReceivedChunk) {
        let total_bytes = chunk.header.total_bytes;
        let is_valid = total_bytes <= MAX_SNAPSHOT_BYTES && chunk.bytes.len() as u64 <= total_bytes;
        if !is_valid || !self.wants_snapshot(&key, chunk.revision) {
            return;
        }
        if !self.incoming_snapshots.contains_key(&key) {
            if chunk.offset != 0 || self.incoming_snapshots.len() >= MAX_INCOMING_SNAPSHOTS {
                return;
            }
            self.incoming_snapshots.insert(key.clone(), IncomingSnapshot::new(now, from, chunk.revision));
        }
        let mixes = self.has_mutation(Mutation::MixesSnapshotRevisions);
        let Some(snapshot) = self.incoming_snapshots.get_mut(&key) else { return };
        if mixes && chunk.offset > 0 {
            snapshot.revision = chunk.revision;
            snapshot.header = Some(chunk.header);
        }
        if !snapshot.add(now, from, chunk) {
            return;
        }
        if !snapshot.is_complete() {
            return self.request_chunks(&key);
        }
        let Some(snapshot) = self.incoming_snapshots.remove(&key) else { return };
        let digest = SnapshotDigest::of(&snapshot.bytes);
        let is_intact = mixes || snapshot.header.is_some_and(|header| header.digest == digest);
        match bitcode::decode(&snapshot.bytes) {
            Ok(value) if is_intact => self.install_snapshot(now, key, snapshot.revision, value),
            // Discarded whole; the next transfer starts from the beginning.
            _ => self.metrics.corrupt_snapshots += 1,
        }
    }

    /// Requests chunks up to the limit in flight.
    fn request_chunks(&mut self, key: &str) {
        let Some(snapshot) = self.incoming_snapshots.get_mut(key) else { return };
        let (to, revision) = (snapshot.sender, snapshot.revision);
        let offsets: Vec<u64> = std::iter::from_fn(|| snapshot.next_request()).collect();
        for offset in offsets {
            self.send(to, Message::SnapshotRequest { key: key.to_owned(), revision, offset });
        }
    }

    /// Starts to receive this revision or a later one, unless too many snapshots are being received.
    pub(crate) fn begin_snapshot(&mut self, now: Instant, from: Node, key: &str, revision: Revision) {
        let has_room = self.incoming_snapshots.len() < MAX_INCOMING_SNAPSHOTS;
        if has_room && !self.incoming_snapshots.contains_key(key) {
            self.incoming_snapshots.insert(key.to_owned(), IncomingSnapshot::new(now, from, revision));
            self.request_chunks(key);
        }
    }

    /// Continues a snapshot from what was received, with this sender.
    fn resume_snapshot(&mut self, now: Instant, from: Node, key: &str) {
        let Some(snapshot) = self.incoming_snapshots.get_mut(key) else { return };
        snapshot.resume_with(now, from);
        self.request_chunks(key);
    }

    /// The keys of incoming snapshots that match the predicate.
    fn incoming_matching(&self, predicate: impl Fn(&IncomingSnapshot) -> bool) -> Vec<String> {
        let snapshots = self.incoming_snapshots.iter().filter(|(_, snapshot)| predicate(snapshot));
        snapshots.map(|(key, _)| key.clone()).collect()
    }

    /// A link came up: resumes the snapshots sent by this node, and those without a first chunk whose sender
    /// is unreachable. One that is partly received waits for its sender: another node probably has a later
    /// revision, and the transfer would start from the beginning.
    pub(crate) fn resume_snapshots_from(&mut self, now: Instant, with: Node) {
        let resumes = |snapshot: &IncomingSnapshot| {
            let is_stuck = snapshot.header.is_none() && !self.reachable.contains(&snapshot.sender);
            snapshot.sender == with || is_stuck
        };
        for key in self.incoming_matching(resumes) {
            self.resume_snapshot(now, with, &key);
        }
    }

    /// A link was lost: requests the snapshots without a first chunk from another node known to have them.
    pub(crate) fn request_snapshots_elsewhere(&mut self, now: Instant, lost: Node) {
        for key in self.incoming_matching(|snapshot| snapshot.sender == lost && snapshot.header.is_none()) {
            let mut sources = self.repair.sources(&key);
            if let Some(to) = sources.find(|node| self.reachable.contains(node)) {
                drop(sources);
                self.resume_snapshot(now, to, &key);
            }
        }
    }

    /// When the next snapshot request has to be repeated.
    pub(crate) fn snapshot_deadline(&self) -> Option<Instant> {
        self.incoming_snapshots.values().map(IncomingSnapshot::deadline).min()
    }

    /// Repeats requests that were not answered in time.
    pub(crate) fn tick_snapshots(&mut self, now: Instant) {
        for key in self.incoming_matching(|snapshot| now >= snapshot.deadline()) {
            let Some(snapshot) = self.incoming_snapshots.get(&key) else { continue };
            let has_progress = now < snapshot.last_received + INCOMING_SNAPSHOT_TIMEOUT;
            if !has_progress || !self.wants_snapshot(&key, snapshot.revision) {
                self.incoming_snapshots.remove(&key);
                continue;
            }
            let sender = snapshot.sender;
            match self.next_sender(&key, sender) {
                Some(to) => self.resume_snapshot(now, to, &key),
                None => {
                    if let Some(snapshot) = self.incoming_snapshots.get_mut(&key) {
                        snapshot.last_requested = now;
                    }
                }
            }
        }
    }

    /// The next node to request a snapshot from: another one known to have it, the owner, the same sender
    /// again, or any reachable replica.
    fn next_sender(&mut self, key: &str, sender: Node) -> Option<Node> {
        let owner = self.keys.get(key).map(|slot| Node(slot.highest_epoch.owner));
        let others = self.reachable_replicas();
        let another = self.repair.sources(key).find(|node| *node != sender && others.contains(node));
        let index = (self.random() % others.len().max(1) as u64) as usize;
        let is_reachable = |node: &Node| others.contains(node);
        another
            .or(owner.filter(is_reachable))
            .or(Some(sender).filter(is_reachable))
            .or(others.get(index).copied())
    }

    /// Installs a complete snapshot. Its value was written by the owner of its revision, so it may replace an
    /// older value even if a higher epoch was promised since. In that case nothing is confirmed.
    fn install_snapshot(&mut self, now: Instant, key: String, revision: Revision, value: V) {
        if self.phase == Phase::Repairing {
            self.repair.values.insert(key, FetchedValue { revision, value });
            return self.continue_repair(now);
        }
        self.observe_epoch(now, &key, revision.epoch);
        let Some(slot) = self.keys.get_mut(&key) else { return };
        let is_in_force = revision.epoch >= slot.promised;
        slot.replace(now, slot.promised.max(revision.epoch), revision, value);
        self.persist_key(&key);
        self.resume_reads(now, &key);
        let owner = Node(revision.epoch.owner);
        if is_in_force && owner != self.node {
            self.confirm_append(now, owner, key.clone(), revision);
        }
        let Some(epoch) = self.keys.get(&key).map(|slot| slot.highest_epoch) else { return };
        self.request_catch_up(&key, epoch);
    }

    /// Asks the owner for the changes since the revision here.
    pub(crate) fn request_catch_up(&mut self, key: &str, epoch: Epoch) {
        let owner = Node(epoch.owner);
        let Some(accepted) = self.keys.get(key).map(|slot| slot.accepted) else { return };
        let is_incoming = self.incoming_snapshots.contains_key(key);
        if owner != self.node && self.reachable.contains(&owner) && !is_incoming {
            let key = key.to_owned();
            self.send(owner, Message::Lagging { key, epoch, accepted, needs_snapshot: false });
        }
    }
}
