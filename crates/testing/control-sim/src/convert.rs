//! Revisions and quorums as the control store, membership and the history each write them. The only file that knows all forms.

use crate::history::ObservedRevision;
use silvercross_control_store as control;
use silvercross_mesh_membership as membership;

/// A revision of the control store, for the history.
pub(crate) fn observed(revision: control::Revision) -> ObservedRevision {
    ObservedRevision {
        round: revision.epoch.round,
        owner: u64::from(revision.epoch.owner),
        sequence: revision.sequence,
    }
}

/// A revision that came with a membership update, for the history.
pub(crate) fn observed_update(revision: membership::Revision) -> ObservedRevision {
    ObservedRevision { round: revision.epoch, owner: revision.owner, sequence: revision.sequence }
}

/// A revision for a membership update.
pub(crate) fn update(revision: ObservedRevision) -> membership::Revision {
    membership::Revision::new(revision.round, revision.owner, revision.sequence)
}

/// The quorum of a replica set, for membership.
pub(crate) fn control_quorum(replica_set: &control::ReplicaSet) -> membership::ControlQuorum {
    let nodes = |group: Vec<control::Node>| group.into_iter().map(|node| membership::Node(node.0)).collect();
    let groups = replica_set.quorum_groups().into_iter().map(nodes).collect();
    membership::ControlQuorum { version: replica_set.version, groups }
}
