//! Rules changed on purpose, so that the tests of the checkers can show that they would catch each.

/// A rule of the protocol that is changed on purpose; without the feature `mutants` nothing heeds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Answers when the owner alone has synced.
    AnswersBeforeQuorum,
    /// Promises an epoch that it does not store.
    PromiseNotDurable,
    /// Accepts appends of a lower epoch than promised.
    AcceptsLowerEpochAppends,
    /// Votes with an empty disk.
    VotesWithEmptyDisk,
    /// Takes a key over after its own promise alone.
    ClaimsWithoutQuorum,
    /// Counts what was said with a disk that was lost since.
    CountsEarlierIncarnations,
    /// Reads without confirming that its epoch is still in force.
    ReadsWithoutConfirmation,
    /// Keeps what a value that rejects a change has made of it.
    KeepsPartialChange,
    /// A replica that joins votes before it is repaired.
    JoiningReplicaVotesUnrepaired,
    /// While a replica is being replaced a majority of the replica set before is enough.
    OldQuorumOnly,
    /// Heeds messages under an older replica set.
    AcceptsOlderReplicaSetMessages,
    /// A removed replica goes on voting and is counted.
    RemovedReplicaVotes,
    /// The replica that leaves is removed before the one that joins is repaired.
    RemovesLeavingReplicaEarly,
    /// A replica that leaves stops once it knows the replica set without it, whoever else has that.
    StopsBeforeReplicaSetInForce,
    /// Is repaired under a joint replica set though the one after it may be in force.
    RepairsUnderOvertakenReplicaSet,
    /// Goes on voting with a disk that went back to an older state.
    VotesAfterDiskRollback,
    /// Confirms promises and appends although the write failed.
    ConfirmsFailedWrites,
    /// Goes on from its start as if nothing were on its disk.
    StartsWithoutStoredState,
    /// Installs a snapshot in the place of a later value.
    InstallsOlderSnapshots,
    /// Puts chunks of several revisions together.
    MixesSnapshotRevisions,
    /// Takes ownership with the value it has, whatever the others have.
    ClaimsWithOlderValue,
    /// Rejects without confirming that its epoch is still in force.
    RejectsWithoutConfirmation,
    /// Answers at once what depends on a change that is not committed yet.
    AnswersFromUncommitted,
    /// Starts before its promises are read from disk.
    ForgetsStoredPromises,
}

/// Whether `mutation` is the one in force; never without the feature `mutants`.
pub(crate) fn is_active(in_force: Option<Mutation>, mutation: Mutation) -> bool {
    cfg!(feature = "mutants") && in_force == Some(mutation)
}
