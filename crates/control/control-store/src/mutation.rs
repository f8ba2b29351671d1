//! Faults put in on purpose, so that the tests can show that they would find them.

use crate::store::ControlStore;
use crate::State;
#[cfg(feature = "mutants")]
use crate::{Epoch, Revision};

/// How a control store is broken on purpose; without the feature `mutants` nothing heeds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Answers when it alone has synced.
    AnswersBeforeQuorum,
    /// Promises an epoch that it does not store.
    PromiseNotDurable,
    /// Takes copies of a lower epoch than promised.
    AcceptsLowerEpochAppends,
    /// Votes with an empty disk.
    VotesWithEmptyDisk,
    /// Takes a key over after its own promise alone.
    ClaimsWithoutQuorum,
    /// Counts what was said with a disk that was lost since.
    CountsEarlierIncarnations,
    /// Reads without asking whether its epoch is still in force.
    ReadsWithoutConfirmation,
    /// Keeps what a value that refuses a change has made of it.
    KeepsPartialChange,
    /// A newcomer votes before it is repaired.
    JoiningReplicaVotesUnrepaired,
    /// While a replica is being replaced more than half of the replica set before is enough.
    OldQuorumOnly,
    /// Heeds messages under an older replica set.
    AcceptsOlderReplicaSetMessages,
    /// A removed replica goes on voting and is counted.
    RemovedReplicaVotes,
    /// The replica that leaves is dropped before the newcomer is repaired.
    RemovesLeavingReplicaEarly,
    /// A replica that leaves ends once it knows the replica set without it, whoever else has that.
    StopsBeforeReplicaSetInForce,
    /// Is repaired under a joint replica set though the one after it may be in force.
    RepairsUnderOvertakenReplicaSet,
    /// Goes on voting with a disk that went back to an older state.
    VotesAfterDiskRollback,
    /// Confirms promises and copies although the write failed.
    ConfirmsFailedWrites,
    /// Goes on from its start as if nothing were on its disk.
    StartsWithoutStoredState,
    /// Takes a whole value in the place of a later one.
    InstallsOlderSnapshots,
    /// Puts pieces of several revisions together.
    MixesSnapshotRevisions,
    /// Leads with the copy it has, whatever the others have.
    ClaimsWithOlderValue,
    /// Refuses without asking whether its epoch is still in force.
    RejectsWithoutConfirmation,
    /// Tells at once what rests on a change that is not committed yet.
    AnswersFromUncommitted,
    /// Starts before its promises are read from disk.
    ForgetsStoredPromises,
}

impl<P: State> ControlStore<P> {
    /// Breaks a rule on purpose.
    #[cfg(feature = "mutants")]
    #[doc(hidden)]
    pub fn set_mutation(&mut self, broken: Mutation) {
        for slot in self.keys.values_mut().filter(|_| broken == Mutation::ForgetsStoredPromises) {
            (slot.promised, slot.seen) = Default::default();
        }
        self.broken = Some(broken);
        if broken == Mutation::StartsWithoutStoredState {
            for slot in self.keys.values_mut() {
                (slot.promised, slot.seen) = (Epoch::default(), Epoch::default());
                (slot.accepted, slot.value) = (Revision::default(), P::default());
            }
        }
    }

    /// Whether this one is broken so.
    pub(crate) fn is(&self, broken: Mutation) -> bool {
        active(self.broken, broken)
    }
}

/// Whether `broken` is the fault put in; never without the feature `mutants`.
pub(crate) fn active(put_in: Option<Mutation>, broken: Mutation) -> bool {
    cfg!(feature = "mutants") && put_in == Some(broken)
}
