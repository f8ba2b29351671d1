//! Timeouts and limits of a replica, and the mutations that tests can switch on.
use silvercross_time::Duration;

/// Timeouts and limits of a replica.
#[derive(Clone, Debug)]
pub struct Config {
    /// The minimum election timeout; each timeout is drawn between this and twice this (RP 5.2). Failed elections in a row
    /// double it.
    pub election_timeout: Duration,
    /// The interval between a leader's heartbeats; has to be well below `election_timeout`.
    pub heartbeat_interval: Duration,
    /// No more entries are added to a message once it has this many bytes of them.
    pub max_append_bytes: usize,
    /// The maximum number of messages with entries in flight to one follower.
    pub max_in_flight: usize,
    /// The size of a snapshot chunk, in bytes (D 5.1).
    pub snapshot_chunk_bytes: usize,
    /// The maximum number of uncommitted entries; further proposals are rejected.
    pub max_uncommitted: usize,
    /// The mutation to apply; has an effect only with the feature `mutants`.
    pub mutation: Option<Mutation>,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            election_timeout: Duration::from_secs(1),
            heartbeat_interval: Duration::from_millis(200),
            max_append_bytes: 64 * 1024,
            max_in_flight: 8,
            snapshot_chunk_bytes: 64 * 1024,
            max_uncommitted: 4096,
            mutation: None,
        }
    }
}

impl Config {
    /// Whether this mutation is switched on.
    pub(crate) fn has_mutation(&self, mutation: Mutation) -> bool {
        cfg!(feature = "mutants") && self.mutation == Some(mutation)
    }
}

/// Deliberate faults, each of which leaves out one rule, to test that the checkers detect them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Messages are sent before the writes that they depend on are durable.
    AnswerBeforeSync,
    /// A granted vote is not persisted.
    VoteNotPersisted,
    /// A replica votes after its storage was replaced by an older copy.
    VotesWithOldStorage,
    /// Entries of earlier terms are committed by counting replicas (against RP 5.4.2).
    OldTermCommits,
    /// A leader answers reads without confirming its leadership.
    StaleRead,
    /// A second change of voters starts before the first is committed.
    ConcurrentChanges,
    /// Learners count towards majorities.
    LearnerCounts,
    /// Log time is the leader's local clock.
    LocalClock,
}
