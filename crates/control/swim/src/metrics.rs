//! Counters of one member, shown by the sidecar and summed by the scenario runner. Go on reading at [`crate::members`].

/// Counts from the start of the process on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams that were understood.
    pub accepted: u64,
    /// Bytes of all that came.
    pub received_bytes: u64,
    /// Too short, without our mark, or with another fleet's.
    pub foreign: u64,
    /// Of our fleet, and not as they were sent.
    pub corrupt: u64,
    /// Of a version that is not spoken here.
    pub unsupported_version: u64,
    /// Seen before, too old to tell, or of a process that has been replaced.
    pub replayed: u64,
    /// Dropped before they were looked at, past what a member reads in a period.
    pub rate_limited: u64,
    /// Not sent, since too many waited.
    pub send_queue_full: u64,
    /// Members not taken in, since the table was full or the record invalid.
    pub rejected_members: u64,
    /// Probes made.
    pub probes: u64,
    /// Of them, those without a direct answer in time.
    pub late_probes: u64,
    /// Suspicions begun here by an own probe.
    pub suspected: u64,
    /// Suspicions of others that ended by a newer incarnation of theirs.
    pub refuted: u64,
    /// Suspicions of others that ended as failures here.
    pub failed: u64,
    /// Own refutations.
    pub refutations: u64,
    /// Times this process found that it had not been running.
    pub pauses: u64,
    /// Full exchanges begun here.
    pub exchanges: u64,
    /// Bytes of full exchanges, both ways, both sides.
    pub exchanged_bytes: u64,
}
