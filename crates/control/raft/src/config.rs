//! Times and bounds of a replica, and the rules that tests can leave out of it.
use silvercross_time::Duration;

/// What a replica keeps to.
#[derive(Clone, Debug)]
pub struct Config {
    /// The shortest election timeout; each is drawn between it and twice it (RP 5.2).
    pub election_timeout: Duration,
    /// The interval between a leader's heartbeats; well below `election_timeout`.
    pub heartbeat_interval: Duration,
    /// Bytes of entries in one message, at most; one entry always goes.
    pub max_append_bytes: usize,
    /// Messages with entries in flight to one follower, at most.
    pub max_in_flight: usize,
    /// Bytes of one snapshot chunk (D 5.1).
    pub snapshot_chunk_bytes: usize,
    /// Entries that are proposed and not yet committed, at most; beyond it proposals are rejected.
    pub max_uncommitted: usize,
    /// The rule to leave out; has effect only with the feature `mutants`.
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
    /// Whether this rule is left out.
    pub(crate) fn is_broken(&self, mutation: Mutation) -> bool {
        cfg!(feature = "mutants") && self.mutation == Some(mutation)
    }
}

/// Rules left out on purpose, so that tests of the checkers can see them caught.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Messages do not wait for the writes they rest on.
    AnswerBeforeSync,
    /// A vote is not made durable.
    VoteNotPersisted,
    /// A folder that is older than what was promised from it votes.
    VotesWithOldStorage,
    /// Entries of an earlier term count as committed by copies alone.
    OldTermCommits,
    /// A leader answers reads without asking whether it still leads.
    StaleRead,
    /// A second change of voters begins before the first is committed.
    ConcurrentChanges,
    /// Learners count in majorities.
    LearnerCounts,
    /// The log's time is the leader's own clock.
    LocalClock,
}
