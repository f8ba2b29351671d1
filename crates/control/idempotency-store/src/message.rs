//! Messages between the processes of a fleet about the store.
use crate::command::{Command, Outcome};
use serde::{Deserialize, Serialize};
use silvercross_raft::Envelope;

/// Epoch of a group, new with each bootstrap or recovery of the store: the upper 24 bits are a counter, the lower 40 are random.
/// The epoch with the greater counter is in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The next epoch, with new random bits.
    pub fn next(self, random: u64) -> Epoch {
        Epoch(((self.0 >> 40) + 1) << 40 | random & ((1 << 40) - 1))
    }

    /// Number of bootstraps and recoveries up to this epoch.
    pub fn count(self) -> u64 {
        self.0 >> 40
    }
}

/// Epoch, voters and leader of a group, as far as known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupInfo {
    /// The group.
    pub group: u32,
    /// Its epoch.
    pub epoch: Epoch,
    /// Log index of its last known change of voters or learners.
    pub changed: u64,
    /// Its voters.
    pub voters: Vec<u64>,
    /// Its learners, which are to become voters.
    pub learners: Vec<u64>,
    /// The latest known term.
    pub term: u64,
    /// The leader of that term, if known.
    pub leader: Option<u64>,
}

/// A message about the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreMessage {
    /// A Raft message between replicas of a group.
    Replica(Envelope),
    /// A command for the leader of a group.
    Ask {
        /// The group.
        group: u32,
        /// Its epoch.
        epoch: Epoch,
        /// Session of the client; 0 if none is open yet.
        session: u64,
        /// Number of the command in the session.
        number: u64,
        /// The client has the outcomes of all numbers below this one.
        below: u64,
        /// The command.
        command: Command,
    },
    /// The outcome of a command, sent once its entry is committed.
    Told {
        /// The group.
        group: u32,
        /// Its epoch.
        epoch: Epoch,
        /// Session of the client.
        session: u64,
        /// Number of the command.
        number: u64,
        /// The outcome.
        outcome: Outcome,
    },
    /// The process is not the leader and redirects the client.
    NotHere {
        /// The group.
        group: u32,
        /// Number of the command.
        number: u64,
        /// The leader, if known.
        leader: Option<u64>,
    },
    /// The sender's replica of a group has ended and never returns under this identity.
    Over {
        /// The group.
        group: u32,
        /// Its epoch.
        epoch: Epoch,
    },
    /// Request for [`StoreMessage::Known`].
    Who,
    /// The groups known to the sender, the version of the list of drains ordered by operators, and that list.
    Known(Vec<GroupInfo>, u64, Vec<String>),
}
