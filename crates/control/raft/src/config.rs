//! Times and bounds of a replica, and the ways in which it can be broken on purpose.
use crate::Micros;

/// What a replica keeps to.
#[derive(Clone, Debug)]
pub struct Config {
    /// The least election timeout, in microseconds; each is drawn between it and twice it (RP 5.2).
    pub election: Micros,
    /// A leader says that it leads so often, in microseconds; well below `election`.
    pub heartbeat: Micros,
    /// Bytes of entries in one message, at most; one entry always goes.
    pub append_bytes: usize,
    /// Messages with entries under way to one follower, at most.
    pub in_flight: usize,
    /// Bytes of one piece of a snapshot (D 5.1).
    pub piece_bytes: usize,
    /// Entries that are proposed and not yet committed, at most; beyond it proposals are refused.
    pub open: usize,
    /// How it is broken; heeded only with the feature `mutants`.
    pub mutant: Option<Mutant>,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            election: 1_000_000,
            heartbeat: 200_000,
            append_bytes: 64 * 1024,
            in_flight: 8,
            piece_bytes: 64 * 1024,
            open: 4096,
            mutant: None,
        }
    }
}

impl Config {
    /// Whether it is broken in this way.
    pub(crate) fn is_broken(&self, mutant: Mutant) -> bool {
        cfg!(feature = "mutants") && self.mutant == Some(mutant)
    }
}

/// Rules left out on purpose, for tests of the judge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Messages do not wait for the writes they rest on.
    AnswerBeforeSync,
    /// A vote is not made durable.
    VoteNotKept,
    /// A folder that is older than what was promised from it votes.
    OldFolderVotes,
    /// Entries of an earlier term count as committed by copies alone.
    OldTermCommits,
    /// A leader answers reads without asking whether it still leads.
    StaleRead,
    /// A second change of voters begins before the first is committed.
    TwoChanges,
    /// Learners count in majorities.
    LearnerCounts,
    /// The log's time is the leader's own clock.
    LocalClock,
}
