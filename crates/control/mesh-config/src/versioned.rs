//! What stands together with what was taken before it.

use bitcode::{Decode, Encode};
use silvercross_control_store::{Rejection, State};
use silvercross_throttle::MemberListChange;

use crate::change::{ConfigurationChange, ConfigurationUpdate};
use crate::error::ConfigurationProblem;
use crate::history::{History, TakenBefore};
use crate::item_version::{ItemKind, ItemVersion, VersionDigest};
use crate::mutation::{self, Mutation};
use crate::rejection::{version_conflict, version_taken};
use crate::with_members::ConfigurationWithMembers;

/// Everything that stands, and the versions that were taken before.
///
/// Of two calls that say different things under one version of an item, one at most is ever applied: the other is a
/// conflict while that version stands, and also once it was superseded. A call that was taken is applied again and changes
/// nothing: each of its items stands, or was superseded with this content.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct VersionedConfiguration {
    /// What stands.
    pub current: ConfigurationWithMembers,
    /// What stood.
    pub history: History,
}

impl State for VersionedConfiguration {
    type Change = ConfigurationUpdate;

    fn apply(&mut self, update: &ConfigurationUpdate) -> Result<bool, Rejection> {
        self.merge(&update.configuration, &update.members)
    }
}

/// What a call says beside its new versions.
#[derive(Default)]
struct Review<'a> {
    /// Versions that are superseded with it, or were before it came.
    superseded: Vec<VersionDigest>,
    /// Items that were withdrawn since, by withdrawals that are no longer remembered by name.
    withdrawn: Vec<ItemVersion<'a>>,
}

impl VersionedConfiguration {
    /// Apply a call whole or not at all, as [`State::apply`].
    ///
    /// # Errors
    /// A conflict of versions, or what would stand is invalid. Nothing of the call is in force.
    pub fn merge(
        &mut self,
        change: &ConfigurationChange,
        members: &MemberListChange,
    ) -> Result<bool, Rejection> {
        let mut review = Review::default();
        for item in change.item_versions().chain(members.item_versions().map(ItemVersion::of_member)) {
            self.review(item, &mut review)?;
        }
        if mutation::is_active(Mutation::RejectedCallRemembered) {
            self.history.remember(review.superseded.clone());
        }
        let outcome = if review.withdrawn.is_empty() {
            self.current.merge(change, members)?
        } else {
            let withdrawn_members = review.withdrawn.iter().filter(|item| item.kind == ItemKind::Member);
            let members = members.without(withdrawn_members.map(|item| item.name));
            self.current.merge(&change.without(&review.withdrawn), &members)?
        };
        let is_remembered = self.history.remember(review.superseded);
        for tombstone in &outcome.forgotten {
            self.history.raise_floor(tombstone);
        }
        Ok(outcome.is_changed || is_remembered)
    }

    fn review<'a>(&self, sent: ItemVersion<'a>, review: &mut Review<'a>) -> Result<(), Rejection> {
        let Some(current) = self.current.current(sent.kind, sent.name) else {
            return self.review_unknown(sent, review);
        };
        if sent.version > current.version {
            review.superseded.push(current.digest());
        } else if sent.version < current.version {
            let is_other = self.history.taken_before(&sent) == TakenBefore::OtherContent;
            if is_other || mutation::is_active(Mutation::RepeatRejected) {
                return Err(version_taken(sent.name, sent.version));
            }
            review.superseded.push(sent.digest());
        }
        Ok(())
    }

    /// Nothing is known of the name: it is new, or its withdrawal is no longer remembered by name.
    fn review_unknown<'a>(&self, sent: ItemVersion<'a>, review: &mut Review<'a>) -> Result<(), Rejection> {
        let version = sent.version;
        let Some(floor) = self.history.floor(&sent).filter(|floor| version <= *floor) else {
            return Ok(());
        };
        match self.history.taken_before(&sent) {
            TakenBefore::OtherContent => return Err(version_taken(sent.name, version)),
            // Whatever it was, it does not come back. A withdrawal finds nothing to withdraw.
            TakenBefore::SameContent => {}
            TakenBefore::Unknown if sent.is_withdrawal() => {}
            TakenBefore::Unknown => {
                let problem = ConfigurationProblem::VersionNotAboveFloor { version, floor };
                return Err(version_conflict(sent.name, problem));
            }
        }
        review.withdrawn.push(sent);
        Ok(())
    }
}
