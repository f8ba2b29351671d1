//! What stands together with what was taken before it.

use bitcode::{Decode, Encode};
use silvercross_control_store::{Rejection, State};
use silvercross_throttle::MemberListChange;

use crate::configuration::conflict;
use crate::history::{History, ItemKind, Note, Said};
use crate::item::{ConfigurationChange, ConfigurationError};
use crate::mutation::{self, Mutation};
use crate::with_members::{ConfigurationUpdate, ConfigurationWithMembers};

/// Everything that stands, and the versions that were taken before.
///
/// Of two calls that say different things under one version of an item, one at most is ever done: the other is a
/// conflict while that version stands, and also once it was overtaken. A call that was taken is done again and changes
/// nothing: each of its items stands, or was overtaken with this content.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct VersionedConfiguration {
    /// What stands.
    pub current: ConfigurationWithMembers,
    /// What stood.
    pub history: History,
}

impl State for VersionedConfiguration {
    type Change = ConfigurationUpdate;

    fn apply(&mut self, call: &ConfigurationUpdate) -> Result<bool, Rejection> {
        self.take(&call.configuration, &call.members)
    }
}

/// What a call says beside its new versions.
#[derive(Default)]
struct Review<'a> {
    /// Versions that are overtaken with it, or were before it came.
    overtaken: Vec<Note>,
    /// Items that were dropped since, by drops that are no longer remembered by name.
    gone: Vec<(ItemKind, &'a str)>,
}

impl VersionedConfiguration {
    /// Apply a call whole or not at all, as [`State::apply`].
    pub fn take(
        &mut self,
        change: &ConfigurationChange,
        members: &MemberListChange,
    ) -> Result<bool, Rejection> {
        let mut review = Review::default();
        for said in change.said().chain(members.item_versions().map(Said::member)) {
            self.review(said, &mut review)?;
        }
        if mutation::is(Mutation::NotesRefused) {
            self.history.remember(review.overtaken.clone());
        }
        let taken = if review.gone.is_empty() {
            self.current.merge(change, members)?
        } else {
            let names = review.gone.iter().filter(|(kind, _)| *kind == ItemKind::Member);
            let members = members.without(names.map(|(_, name)| *name));
            self.current.merge(&change.without(&review.gone), &members)?
        };
        let remembered = self.history.remember(review.overtaken);
        for drop in taken.iter().flatten() {
            self.history.forgot(drop);
        }
        Ok(taken.is_some() || remembered)
    }

    fn review<'a>(&self, said: Said<'a>, review: &mut Review<'a>) -> Result<(), Rejection> {
        let Some(standing) = self.current.current(said.kind, said.name) else {
            return self.review_unknown(said, review);
        };
        if said.version > standing.version {
            review.overtaken.push(History::note(&standing));
        } else if said.version < standing.version {
            if self.history.taken(&said) == Some(false) || mutation::is(Mutation::RefusesRepeat) {
                return Err(conflict(said.name, said.version));
            }
            review.overtaken.push(History::note(&said));
        }
        Ok(())
    }

    /// Nothing is known of the name: it is new, or its drop is no longer remembered by name.
    fn review_unknown<'a>(&self, said: Said<'a>, review: &mut Review<'a>) -> Result<(), Rejection> {
        let Some(floor) = self.history.floor(&said).filter(|floor| said.version <= *floor) else {
            return Ok(());
        };
        match self.history.taken(&said) {
            Some(false) => return Err(conflict(said.name, said.version)),
            // Whatever it was, it does not come back. A drop finds nothing to drop.
            Some(true) => {}
            None if said.is_drop() => {}
            None => {
                let reason = format!(
                    "{} is not above {floor}, up to which names like it were dropped and are no longer known (raise the \
                     edition above that)",
                    said.version
                );
                let reason = ConfigurationError::new(said.name, "edition", reason).to_string();
                return Err(Rejection { conflict: true, reason });
            }
        }
        review.gone.push((said.kind, said.name));
        Ok(())
    }
}
