//! What processes say to each other about records.
use crate::command::{Command, Outcome};
use serde::{Deserialize, Serialize};
use silvercross_raft::Envelope;

/// Which founding or recovery of the records: the upper 24 bits count, the lower 40 are drawn. A greater count holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The next one, with chance of its own.
    pub fn next(self, chance: u64) -> Epoch {
        Epoch(((self.0 >> 40) + 1) << 40 | chance & ((1 << 40) - 1))
    }

    /// How many foundings and recoveries there were.
    pub fn count(self) -> u64 {
        self.0 >> 40
    }
}

/// What is known of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupInfo {
    /// Which group.
    pub group: u32,
    /// Which epoch of it.
    pub epoch: Epoch,
    /// The place of the last change of its holders that is known.
    pub changed: u64,
    /// Its voters.
    pub voters: Vec<u64>,
    /// Who is to become one.
    pub learners: Vec<u64>,
    /// The latest term heard of, and who leads in it.
    pub term: u64,
    /// Who leads.
    pub leader: Option<u64>,
}

/// What is said.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreMessage {
    /// From one holder to another.
    Replica(Envelope),
    /// To a holder: do this.
    Ask {
        /// Which group.
        group: u32,
        /// Which epoch of it.
        epoch: Epoch,
        /// The asker's session; 0: none yet.
        session: u64,
        /// Its number in it.
        number: u64,
        /// Outcomes of all numbers below are there.
        below: u64,
        /// What.
        command: Command,
    },
    /// From a holder: so it was done. StoreMessage once it is committed.
    Told {
        /// Which group.
        group: u32,
        /// Which epoch of it.
        epoch: Epoch,
        /// The asker's session.
        session: u64,
        /// Its number.
        number: u64,
        /// What came of it.
        outcome: Outcome,
    },
    /// From a process that can't: ask there, if anywhere.
    NotHere {
        /// Which group.
        group: u32,
        /// The asker's number.
        number: u64,
        /// Who leads, as far as it knows.
        leader: Option<u64>,
    },
    /// My copy of that group ended, and never comes back under this identity.
    Over {
        /// Which group.
        group: u32,
        /// Which epoch of it.
        epoch: Epoch,
    },
    /// What do you know of the groups?
    Who,
    /// This; and the upstreams that drain by operators' orders, with the version of that list.
    Known(Vec<GroupInfo>, u64, Vec<String>),
}
