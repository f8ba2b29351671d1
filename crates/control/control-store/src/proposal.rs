//! A proposal of this node for the next replica set, in progress.

use crate::replica_set::{keep_later, AcceptedReplicaSet, ReplicaSet};
use crate::types::{Epoch, Incarnation, Node};
use std::collections::BTreeMap;

/// A next replica set that this node proposes.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    pub(crate) epoch: Epoch,
    pub(crate) next: ReplicaSet,
    /// Who has promised, with which incarnation.
    pub(crate) promises: BTreeMap<Node, Incarnation>,
    /// What was accepted under the highest epoch, of all who promised: it goes in the place of `next`.
    pub(crate) latest_accepted: Option<AcceptedReplicaSet>,
    /// A quorum has promised: `next` may be accepted now.
    pub(crate) is_accepting: bool,
    /// Who has accepted, with which incarnation.
    pub(crate) accepted: BTreeMap<Node, Incarnation>,
}

impl Proposal {
    /// One that nobody has promised yet.
    pub(crate) fn new(epoch: Epoch, next: ReplicaSet) -> Proposal {
        Proposal {
            epoch,
            next,
            promises: BTreeMap::new(),
            latest_accepted: None,
            is_accepting: false,
            accepted: BTreeMap::new(),
        }
    }

    /// A replica has promised, and accepted this before.
    pub(crate) fn promise(
        &mut self,
        from: Node,
        incarnation: Incarnation,
        accepted: Option<AcceptedReplicaSet>,
    ) {
        self.promises.insert(from, incarnation);
        keep_later(&mut self.latest_accepted, accepted);
    }
}
