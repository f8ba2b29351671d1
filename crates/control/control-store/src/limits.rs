//! The bounds of tables, queues and messages, and the timeouts of the protocol.

use silvercross_time::Duration;

/// A call is answered within this.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// An owner that was forwarded a call and says nothing for this long is given up.
pub(crate) const FORWARD_TIMEOUT: Duration = Duration::from_millis(250);
/// A key without a reachable owner is claimed after this by the first in claim order, by each further one this much later.
pub(crate) const CLAIM_STAGGER: Duration = Duration::from_millis(400);
/// An owner that is linked but says nothing counts as lost after this.
pub(crate) const OWNER_SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// What was not answered is sent again after this.
pub(crate) const RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// How often an owner tells the others what it owns.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Who lost a key to a higher epoch claims it no sooner than after this.
pub(crate) const MIN_CLAIM_BACKOFF: Duration = Duration::from_millis(20);
/// And at random up to this much later, so that two that claim in turn don't go on doing so.
pub(crate) const CLAIM_BACKOFF_JITTER: Duration = Duration::from_millis(120);

/// Keys at most; a call on a further one is rejected, a message on one dropped.
pub(crate) const MAX_KEYS: usize = 4096;
/// Bytes of a key's name at most; longer ones are rejected.
pub(crate) const MAX_KEY_BYTES: usize = 256;
/// Open calls of this node at most; a further one is `Unknown` at once.
pub(crate) const MAX_OPEN_CALLS: usize = 4096;
/// Calls that wait at one key for the next append or confirmation at most, those forwarded by others included; a further one is
/// `Unknown` at once. Calls of the append or confirmation in flight are not counted: they were within the bound before.
pub(crate) const MAX_QUEUED_CALLS: usize = 1024;
/// A call is forwarded this often at most; then this node claims the key.
pub(crate) const MAX_FORWARDS_PER_CALL: usize = 6;
/// Calls forwarded to an owner that it remembers, so that one that comes twice is served once; the oldest goes first.
pub(crate) const MAX_REMEMBERED_FORWARDS: usize = 8192;
/// Writes in flight at most; what is to be written meanwhile goes into the next one together.
pub(crate) const MAX_WRITES_IN_FLIGHT: usize = 2;
/// Changes in one append at most; the rest waits for the next.
pub(crate) const MAX_BATCH_CHANGES: usize = 64;

/// Bytes of changes remembered of one key at most, as they are encoded. An append that is larger alone is not remembered: who
/// lacks it gets a snapshot.
pub(crate) const MAX_CHANGE_LOG_BYTES: usize = 1 << 20;
/// Bytes of changes remembered of all keys together; each has an even part, and its last append whatever that part.
pub(crate) const MAX_ALL_CHANGE_LOGS_BYTES: usize = 16 << 20;
/// Bytes that an append counts for besides its changes.
pub(crate) const CHANGE_LOG_ENTRY_BYTES: usize = 64;

/// Bytes of a snapshot chunk: a message that waits behind the chunks in flight waits no longer than these take on the
/// slowest link.
pub const SNAPSHOT_CHUNK_BYTES: usize = 32 * 1024;
/// Chunks of one snapshot that are asked for and not yet there, at most.
pub(crate) const MAX_CHUNKS_IN_FLIGHT: usize = 2;
/// Snapshots that are received at a time; a further one begins when one is done.
pub(crate) const MAX_INCOMING_SNAPSHOTS: usize = 2;
/// Bytes of a snapshot at most; a larger one is not received.
pub(crate) const MAX_SNAPSHOT_BYTES: u64 = 64 << 20;
/// Snapshots that are sent from at a time. The one asked for the longest ago goes first.
pub(crate) const MAX_OUTGOING_SNAPSHOTS: usize = 8;
/// A snapshot of which nobody asked for a chunk during this is no longer kept to be sent from.
pub(crate) const OUTGOING_SNAPSHOT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// A chunk that has not come within this is asked for again. A broken link doesn't wait for it.
pub(crate) const CHUNK_TIMEOUT: Duration = Duration::from_secs(1);
/// The first chunk is asked for again, of another if one has it, after this: who was asked may be stalled.
pub(crate) const FIRST_CHUNK_TIMEOUT: Duration = Duration::from_millis(400);
/// What was received of a snapshot is given up after this long without a chunk.
pub(crate) const INCOMING_SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(60);

/// A replica that nobody reaches for this long is replaced, if there is a candidate.
pub(crate) const UNREACHABLE_REPLACE_DELAY: Duration = Duration::from_secs(4);
/// The same while another replica stops in plan: once that one has ended there may be no majority without one in its place.
pub(crate) const UNREACHABLE_REPLACE_DELAY_DURING_STOP: Duration = Duration::from_secs(1);
/// Between those who propose a change of the replica set, and between the attempts of each (and up to as much again, at
/// random).
pub(crate) const PROPOSAL_STAGGER: Duration = Duration::from_millis(500);
/// Replicas of one replica set at most; one that is larger is dropped.
pub(crate) const MAX_REPLICAS: usize = 64;
/// Nodes that could become replicas, remembered at a time; a further one waits until one goes.
pub(crate) const MAX_CANDIDATES: usize = 64;
/// Control nodes remembered to have said that they stop; a further one is replaced only when it is long unreachable.
pub(crate) const MAX_STOPPING_NODES: usize = MAX_REPLICAS + MAX_CANDIDATES;
/// Links of which the state is remembered; a further one counts as down.
pub(crate) const MAX_LINKS: usize = 4096;
