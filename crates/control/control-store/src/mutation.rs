//! Deliberately broken protocol rules, with which the tests show that they detect each violation.

/// A rule of the protocol to break. Without the feature `mutants` it has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Answers when only the owner has synced.
    AnswersBeforeQuorum,
    /// Promises an epoch without storing it.
    PromiseNotDurable,
    /// Accepts appends of a lower epoch than promised.
    AcceptsLowerEpochAppends,
    /// Votes with an empty disk.
    VotesWithEmptyDisk,
    /// Takes ownership after its own promise alone.
    ClaimsWithoutQuorum,
    /// Counts what was said with a disk that was lost since.
    CountsEarlierIncarnations,
    /// Reads without confirming that its epoch is still in force.
    ReadsWithoutConfirmation,
    /// Keeps what `State::apply` left behind when it rejected a change.
    KeepsPartialChange,
    /// A joining replica votes before it is repaired.
    JoiningReplicaVotesUnrepaired,
    /// During a replacement, a majority of the previous replica set is enough.
    OldQuorumOnly,
    /// Handles messages under an older replica set.
    AcceptsOlderReplicaSetMessages,
    /// A removed replica continues to vote and is counted.
    RemovedReplicaVotes,
    /// Removes the leaving replica before the joining one is repaired.
    RemovesLeavingReplicaEarly,
    /// A leaving replica stops once it knows the replica set without it, even if no other replica has that
    /// one.
    StopsBeforeReplicaSetInForce,
    /// Repairs under a joint replica set although the next one may be in force.
    RepairsUnderOvertakenReplicaSet,
    /// Continues to vote with a disk that was rolled back to an older state.
    VotesAfterDiskRollback,
    /// Confirms promises and appends although the write failed.
    ConfirmsFailedWrites,
    /// Starts as if its disk were empty.
    StartsWithoutStoredState,
    /// Installs a snapshot in place of a later value.
    InstallsOlderSnapshots,
    /// Assembles a snapshot from chunks of different revisions.
    MixesSnapshotRevisions,
    /// Takes ownership with its own value even if others have a later one.
    ClaimsWithOlderValue,
    /// Rejects without confirming that its epoch is still in force.
    RejectsWithoutConfirmation,
    /// Answers at once what depends on a change that is not committed yet.
    AnswersFromUncommitted,
    /// Starts without reading its promises from disk.
    ForgetsStoredPromises,
    /// Continues under the same epoch after an unversioned change.
    KeepsEpochAfterUnversionedChange,
    /// Takes any call without a version for newer than all that were committed.
    TakesAnyCallForNew,
}

/// Whether `mutation` is active; never without the feature `mutants`.
pub(crate) fn is_active(in_force: Option<Mutation>, mutation: Mutation) -> bool {
    cfg!(feature = "mutants") && in_force == Some(mutation)
}
