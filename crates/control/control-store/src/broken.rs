//! Faults put in on purpose, so that the tests can show that they would find them.

use crate::store::ControlStore;
use crate::State;
#[cfg(feature = "mutants")]
use crate::{Epoch, Revision};

/// How a control store is broken on purpose; without the feature `mutants` nothing heeds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// Answers when it alone has synced.
    AnswersEarly,
    /// Promises an epoch that it does not store.
    PromiseNotDurable,
    /// Takes copies of a lower epoch than promised.
    TakesOldCopies,
    /// Votes with an empty disk.
    WipedVotes,
    /// Takes a key over after its own promise alone.
    ReadsTooFew,
    /// Counts what was said with a disk that was lost since.
    CountsLostDisks,
    /// Reads without asking whether its epoch is still in force.
    ReadsUnasked,
    /// Keeps what a value that refuses a change has made of it.
    KeepsPart,
    /// A newcomer votes before it is repaired.
    NewcomerVotes,
    /// While a replica is being replaced more than half of the replica set before is enough.
    OldQuorumOnly,
    /// Heeds messages under an older replica set.
    HeedsOldReplicaSet,
    /// A removed replica goes on voting and is counted.
    RemovedVotes,
    /// The replica that leaves is dropped before the newcomer is repaired.
    DropsLeaverEarly,
    /// A replica that leaves ends once it knows the replica set without it, whoever else has that.
    EndsUnconfirmed,
    /// Is repaired under a joint replica set though the one after it may be in force.
    RepairedOvertaken,
    /// Goes on voting with a disk that went back to an older state.
    VotesGoneBack,
    /// Confirms promises and copies although the write failed.
    SaysUnwritten,
    /// Goes on from its start as if nothing were on its disk.
    StartsUnread,
    /// Takes a whole value in the place of a later one.
    TakesOldSnapshots,
    /// Puts pieces of several revisions together.
    MixesSnapshots,
    /// Leads with the copy it has, whatever the others have.
    LeadsWithOldCopy,
    /// Refuses without asking whether its epoch is still in force.
    RefusesUnasked,
    /// Tells at once what rests on a change that is not committed yet.
    TellsUncommitted,
    /// Starts before its promises are read from disk.
    ForgetsPromises,
}

impl<P: State> ControlStore<P> {
    /// Breaks a rule on purpose.
    #[cfg(feature = "mutants")]
    #[doc(hidden)]
    pub fn break_it(&mut self, broken: Broken) {
        for slot in self.keys.values_mut().filter(|_| broken == Broken::ForgetsPromises) {
            (slot.promised, slot.seen) = Default::default();
        }
        self.broken = Some(broken);
        if broken == Broken::StartsUnread {
            for slot in self.keys.values_mut() {
                (slot.promised, slot.seen) = (Epoch::default(), Epoch::default());
                (slot.accepted, slot.value) = (Revision::default(), P::default());
            }
        }
    }

    /// Whether this one is broken so.
    pub(crate) fn is(&self, broken: Broken) -> bool {
        active(self.broken, broken)
    }
}

/// Whether `broken` is the fault put in; never without the feature `mutants`.
pub(crate) fn active(put_in: Option<Broken>, broken: Broken) -> bool {
    cfg!(feature = "mutants") && put_in == Some(broken)
}
