//! Revisions as the control store, membership and the history each write them. The only file that knows all three forms.

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
