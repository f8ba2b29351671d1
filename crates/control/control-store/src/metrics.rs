//! What a control store tells about itself: its counters, and each key as an operator sees it.

use crate::state::{Ownership, Phase, Slot};
use crate::store::ControlStore;
use crate::{Epoch, Node, Revision, State};

/// What a node is to a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Its owner.
    Owner,
    /// Wants to own it, or has taken it and not yet written it anew.
    Claiming,
    /// Keeps copies.
    Replica,
    /// Its disk was empty and is being repaired: no voter.
    Repairing,
}

/// A key as an operator sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyState {
    /// Its name.
    pub key: String,
    /// The highest epoch promised here.
    pub promised: Epoch,
    /// The revision of the copy here.
    pub accepted: Revision,
    /// Who is believed to own it.
    pub owner: Option<Node>,
    /// What this node is to it.
    pub role: Role,
}

/// Plain counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Claims made.
    pub claims: u64,
    /// Keys taken and written anew.
    pub taken: u64,
    /// Keys given up, or claims, for a higher epoch.
    pub stepped_down: u64,
    /// Copies of changes sent.
    pub copies_sent: u64,
    /// Copies of whole values begun to be sent.
    pub wholes_sent: u64,
    /// Pieces of them sent.
    pub pieces_sent: u64,
    /// Values received that were not whole, and not taken.
    pub torn: u64,
    /// Claims left to one with a later copy.
    pub yielded: u64,
    /// Times that a replica said it was behind.
    pub behind: u64,
    /// Claims, copies and other messages of a lower epoch refused.
    pub rejected_lower_epoch: u64,
    /// Messages from nodes outside the replica set.
    pub strangers: u64,
    /// Calls answered `Unknown`.
    pub unsettled: u64,
    /// Calls forwarded on.
    pub forwarded: u64,
    /// Repairs of other replicas' empty disks answered.
    pub repairs: u64,
    /// What a replica said with a disk that it lost since.
    pub outlived: u64,
    /// Messages under an older replica set.
    pub older_replica_set: u64,
    /// Later replica sets taken.
    pub replica_sets: u64,
    /// Times that this replica's own disk was found to have gone back to an older state.
    pub went_back: u64,
    /// Times that the disk had no room.
    pub no_room: u64,
    /// Promises and copies that were not confirmed, for the disk had no room.
    pub unsaid: u64,
}

impl<P: State> ControlStore<P> {
    /// The keys this node owns and has written anew.
    pub fn owned_keys(&self) -> Vec<(String, Epoch, Revision)> {
        let owned = |(key, slot): (&String, &Slot<P>)| match &slot.ownership {
            Ownership::Owner(owner) => owner.committed.as_ref().map(|c| (key.clone(), owner.epoch, c.0)),
            _ => None,
        };
        self.keys.iter().filter_map(owned).collect()
    }

    /// All keys as an operator sees them.
    pub fn key_states(&self) -> Vec<KeyState> {
        let role = |slot: &Slot<P>| match &slot.ownership {
            _ if self.phase != Phase::Voter => Role::Repairing,
            Ownership::Replica => Role::Replica,
            Ownership::Owner(owner) if owner.committed.is_some() => Role::Owner,
            _ => Role::Claiming,
        };
        let one = |(key, slot): (&String, &Slot<P>)| KeyState {
            key: key.clone(),
            promised: slot.promised,
            accepted: slot.accepted,
            owner: (slot.seen != Epoch::default()).then_some(Node(slot.seen.owner)),
            role: role(slot),
        };
        self.keys.iter().map(one).collect()
    }

    /// The counters.
    pub fn metrics(&self) -> Metrics {
        self.figures
    }

    /// The replicas this node goes by, one that is coming or leaving included.
    pub fn replica_nodes(&self) -> Vec<Node> {
        self.replica_set.nodes().collect()
    }
}
