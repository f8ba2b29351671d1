//! Counters of one member, exposed by the sidecar and summed by the scenario runner.

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams accepted and processed.
    pub accepted: u64,
    /// Bytes of all datagrams received.
    pub received_bytes: u64,
    /// Messages that are too short or too long, lack the magic bytes, or belong to another fleet.
    pub foreign: u64,
    /// Messages of this fleet with a wrong checksum or an invalid encoding.
    pub corrupt: u64,
    /// Messages of an unsupported protocol version.
    pub unsupported_version: u64,
    /// Datagrams that are duplicates, older than the replay window, or from a process that was replaced.
    pub replayed: u64,
    /// Datagrams dropped because their sender exceeded the message limit of a period.
    pub rate_limited: u64,
    /// Datagrams dropped because the send queue was full.
    pub send_queue_full: u64,
    /// Member records rejected because the table was full or the record invalid.
    pub rejected_members: u64,
    /// Probes sent.
    pub probes: u64,
    /// Probes without a direct ack in time.
    pub late_probes: u64,
    /// Suspicions started by a failed probe of this member.
    pub suspected: u64,
    /// Suspicions of other members that ended with a refutation.
    pub refuted: u64,
    /// Suspicions of other members that timed out here.
    pub failed: u64,
    /// Refutations by this member.
    pub refutations: u64,
    /// Pauses of this process that were detected.
    pub pauses: u64,
    /// Full-state exchanges started by this member.
    pub exchanges: u64,
    /// Bytes of full-state exchanges, sent and received, started here or elsewhere.
    pub exchanged_bytes: u64,
}
