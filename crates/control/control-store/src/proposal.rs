//! A proposal of this node for the next replica set, in progress.

use crate::replica_set::{keep_later, AcceptedReplicaSet, ReplicaSet};
use crate::types::{Epoch, Incarnation, Node};
use std::collections::BTreeMap;

/// A next replica set that this node proposes.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    pub(crate) epoch: Epoch,
    pub(crate) next: ReplicaSet,
    /// The replicas that have promised, with their incarnations.
    pub(crate) promises: BTreeMap<Node, Incarnation>,
    /// The replica set accepted under the highest epoch by any replica that promised. It takes the place of
    /// `next`.
    pub(crate) latest_accepted: Option<AcceptedReplicaSet>,
    /// Whether a quorum has promised, so that `next` may be accepted.
    pub(crate) is_accepting: bool,
    /// The replicas that have accepted, with their incarnations.
    pub(crate) accepted: BTreeMap<Node, Incarnation>,
}

impl Proposal {
    /// A proposal without promises.
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

    /// Records a replica's promise, and what it has accepted before.
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
