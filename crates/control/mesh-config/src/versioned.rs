//! The configuration in force together with the history of accepted versions.

use bitcode::{Decode, Encode};
use silvercross_control_store::{Rejection, State};
use silvercross_throttle::MemberListChange;

use crate::change::{ConfigurationChange, ConfigurationUpdate};
use crate::error::ConfigurationProblem;
use crate::history::{History, PastVersion};
use crate::item_version::{ItemKind, ItemVersion, VersionDigest};
use crate::mutation::{self, Mutation};
use crate::rejection::{version_conflict, version_taken};
use crate::with_members::ConfigurationWithMembers;

/// The configuration in force and the versions accepted before.
///
/// Of two calls with the same version of an item and different content at most one is ever applied: the other is a
/// conflict while that version is current and also after it was superseded. A repeat of an accepted call is
/// acknowledged and changes nothing: each of its items is in force or was superseded with this content.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct VersionedConfiguration {
    /// The configuration in force.
    pub current: ConfigurationWithMembers,
    /// Versions that were accepted and are no longer current.
    pub history: History,
}

impl State for VersionedConfiguration {
    type Change = ConfigurationUpdate;

    fn apply(&mut self, update: &ConfigurationUpdate) -> Result<bool, Rejection> {
        self.merge(&update.configuration, &update.members)
    }
}

/// The items of a call and of the configuration that need more than a merge.
#[derive(Default)]
struct Review<'a> {
    /// Versions that the call supersedes, and versions in the call that were superseded before it arrived.
    superseded: Vec<VersionDigest>,
    /// Items that were withdrawn later by tombstones that have been removed; they are not applied.
    withdrawn: Vec<ItemVersion<'a>>,
}

impl VersionedConfiguration {
    /// Applies a call as a whole or not at all, like [`State::apply`].
    ///
    /// # Errors
    /// A version conflicts, or the resulting configuration would be invalid. Nothing of the call is applied.
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
            let is_different = self.history.past_version(&sent) == PastVersion::DifferentContent;
            if is_different || mutation::is_active(Mutation::RepeatRejected) {
                return Err(version_taken(sent.name, sent.version));
            }
            review.superseded.push(sent.digest());
        }
        Ok(())
    }

    /// No entry is stored under the name: it is new, or its tombstone was removed.
    fn review_unknown<'a>(&self, sent: ItemVersion<'a>, review: &mut Review<'a>) -> Result<(), Rejection> {
        let version = sent.version;
        let Some(floor) = self.history.floor(&sent).filter(|floor| version <= *floor) else {
            return Ok(());
        };
        match self.history.past_version(&sent) {
            PastVersion::DifferentContent => return Err(version_taken(sent.name, version)),
            // The item does not come back, and a withdrawal has nothing to withdraw.
            PastVersion::SameContent => {}
            PastVersion::Unknown if sent.is_withdrawal() => {}
            PastVersion::Unknown => {
                let problem = ConfigurationProblem::VersionNotAboveFloor { version, floor };
                return Err(version_conflict(sent.name, problem));
            }
        }
        review.withdrawn.push(sent);
        Ok(())
    }
}
