//! Limits of tables, queues and messages, and timeouts of the protocol.

use silvercross_time::Duration;

/// A call is answered within this time.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// How long to wait for the reply to a forwarded call before it is routed elsewhere.
pub(crate) const FORWARD_TIMEOUT: Duration = Duration::from_millis(250);
/// A key without a reachable owner is claimed after this delay by the first node in claim order, and by each
/// further one this much later.
pub(crate) const CLAIM_STAGGER: Duration = Duration::from_millis(400);
/// An owner that has a link but sends nothing counts as lost after this time.
pub(crate) const OWNER_SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Unanswered messages are sent again after this time.
pub(crate) const RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// How often an owner announces what it owns.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest wait before a node that lost a key to a higher epoch claims it again.
pub(crate) const MIN_CLAIM_BACKOFF: Duration = Duration::from_millis(20);
/// Upper bound of the random wait added to that, so that two nodes don't keep taking a key from each other.
pub(crate) const CLAIM_BACKOFF_JITTER: Duration = Duration::from_millis(120);

/// Maximum number of keys. A call on a further one is rejected, a message dropped.
pub(crate) const MAX_KEYS: usize = 4096;
/// Maximum length of a key. Longer ones are rejected.
pub(crate) const MAX_KEY_BYTES: usize = 256;
/// Maximum number of open calls of this node. A further one is `Unknown` at once.
pub(crate) const MAX_OPEN_CALLS: usize = 4096;
/// Maximum number of calls that wait at one key for the next append or confirmation, including calls
/// forwarded by other nodes. A further one is `Unknown` at once. Calls of the append or confirmation in
/// flight are not counted: they were within the limit before.
pub(crate) const MAX_QUEUED_CALLS: usize = 1024;
/// Maximum number of times a call is forwarded; after that this node claims the key.
pub(crate) const MAX_FORWARDS_PER_CALL: usize = 6;
/// Forwarded calls that an owner remembers, to serve a duplicate only once. The oldest is dropped first.
pub(crate) const MAX_RECENT_FORWARDS: usize = 8192;
/// Maximum number of writes in flight. Further changes are combined into the next write.
pub(crate) const MAX_WRITES_IN_FLIGHT: usize = 2;
/// Maximum number of changes in one append. The rest waits for the next one.
pub(crate) const MAX_BATCH_CHANGES: usize = 64;

/// Maximum size of one key's change log, as encoded. A single append larger than this is not kept: a replica
/// that lacks it gets a snapshot.
pub(crate) const MAX_CHANGE_LOG_BYTES: usize = 1 << 20;
/// Maximum size of all change logs. Each key has an equal share of it, and may exceed that with its last
/// append alone.
pub(crate) const MAX_TOTAL_CHANGE_LOG_BYTES: usize = 16 << 20;
/// Size that each append counts for in addition to its changes.
pub(crate) const CHANGE_LOG_ENTRY_OVERHEAD_BYTES: usize = 64;

/// Size of a snapshot chunk. It bounds how long a message waits on a slow link behind the chunks in flight.
pub const SNAPSHOT_CHUNK_BYTES: usize = 32 * 1024;
/// Maximum number of chunks of one snapshot that are requested and not yet received.
pub(crate) const MAX_CHUNKS_IN_FLIGHT: usize = 2;
/// Maximum number of snapshots received at a time. The next one starts when one is complete.
pub(crate) const MAX_INCOMING_SNAPSHOTS: usize = 2;
/// Maximum size of a snapshot. A larger one is not received.
pub(crate) const MAX_SNAPSHOT_BYTES: u64 = 64 << 20;
/// Maximum number of snapshots kept for sending. The least recently requested one is dropped first.
pub(crate) const MAX_OUTGOING_SNAPSHOTS: usize = 8;
/// A snapshot kept for sending is dropped when no chunk was requested for this long.
pub(crate) const OUTGOING_SNAPSHOT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// A chunk is requested again after this time. A lost link doesn't wait for it.
pub(crate) const CHUNK_TIMEOUT: Duration = Duration::from_secs(1);
/// The first chunk is requested again after this time, from another node that has it if there is one: the
/// first one may be stalled.
pub(crate) const FIRST_CHUNK_TIMEOUT: Duration = Duration::from_millis(400);
/// A partly received snapshot is dropped after this time without a chunk.
pub(crate) const INCOMING_SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(60);

/// A replica that is unreachable for this long is replaced, if there is a candidate.
pub(crate) const UNREACHABLE_REPLACE_DELAY: Duration = Duration::from_secs(4);
/// The same while another replica is stopping gracefully: once that one has stopped, there may be no majority
/// unless the unreachable one was replaced.
pub(crate) const UNREACHABLE_REPLACE_DELAY_DURING_STOP: Duration = Duration::from_secs(1);
/// Delay between the nodes that propose a change of the replica set, and between the attempts of each (which
/// wait up to as much again, at random).
pub(crate) const PROPOSAL_STAGGER: Duration = Duration::from_millis(500);
/// Maximum number of replicas in a replica set. A larger replica set is ignored.
pub(crate) const MAX_REPLICAS: usize = 64;
/// Maximum number of candidates for replicas. A further one is added when one is removed.
pub(crate) const MAX_CANDIDATES: usize = 64;
/// Maximum number of nodes known to be stopping. A further one is replaced only once it has been unreachable
/// for long.
pub(crate) const MAX_STOPPING_NODES: usize = MAX_REPLICAS + MAX_CANDIDATES;
/// Maximum number of nodes whose link state is tracked. Further links count as down.
pub(crate) const MAX_LINKS: usize = 4096;
