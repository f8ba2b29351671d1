//! The configuration and the members in one value, so that a call that changes both is one change.

use bitcode::{Decode, Encode};
use silvercross_config_item::{ItemError, ItemProblem, MergeOutcome};
use silvercross_control_store::{Rejection, State};
use silvercross_throttle::{MemberList, MemberListChange};

use crate::change::{ConfigurationChange, ConfigurationUpdate};
use crate::configuration::Configuration;
use crate::error::{ConfigurationError, ConfigurationProblem};
use crate::history::ForgottenTombstone;
use crate::item_version::{ItemKind, ItemVersion};
use crate::rejection::invalid;
use crate::wire::DELIVER;

/// Maximum number of members: each whose trial lapses takes one of the control store's 4,096 keys.
pub const MAX_MEMBERS: usize = 4_000;
/// Maximum total size of the members' items: they are sent to every node in one control entry with the rest.
pub const MAX_MEMBER_LIST_BYTES: usize = 1 << 20;
/// Maximum length of a member's name: with a prefix it is a key of the control store.
pub const MAX_MEMBER_NAME_BYTES: usize = 250;

/// All items in force, members included. At most [`MAX_MEMBERS`] and [`MAX_MEMBER_LIST_BYTES`] besides what a
/// [`Configuration`] holds; a call that would exceed them is rejected as a whole.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ConfigurationWithMembers {
    /// Routes, destinations, limits.
    pub configuration: Configuration,
    /// Members and how requests name them.
    pub member_list: MemberList,
}

impl State for ConfigurationWithMembers {
    type Change = ConfigurationUpdate;

    /// Applies both parts of the call or neither.
    fn apply(&mut self, update: &ConfigurationUpdate) -> Result<bool, Rejection> {
        self.merge(&update.configuration, &update.members).map(|outcome| outcome.is_changed)
    }
}

impl ConfigurationWithMembers {
    /// Applies both changes or neither, and returns the tombstones that were removed.
    pub(crate) fn merge(
        &mut self,
        change: &ConfigurationChange,
        members: &MemberListChange,
    ) -> Result<MergeOutcome<ForgottenTombstone>, Rejection> {
        if !self.member_list.would_change(members)? {
            return self.configuration.merge(change);
        }
        let mut member_list = self.member_list.clone();
        let members_outcome = member_list.merge(members)?;
        check_limits(&member_list).map_err(invalid)?;
        let mut outcome = self.configuration.merge(change)?;
        self.member_list = member_list;
        outcome.is_changed = true;
        outcome.forgotten.extend(members_outcome.forgotten.into_iter().map(|tombstone| ForgottenTombstone {
            kind: ItemKind::Member,
            name: tombstone.name,
            version: tombstone.version,
        }));
        Ok(outcome)
    }

    /// The current version of a name, set or withdrawn.
    pub(crate) fn current(&self, kind: ItemKind, name: &str) -> Option<ItemVersion<'_>> {
        match kind {
            ItemKind::Member => self.member_list.current(Some(name)).map(ItemVersion::of_member),
            ItemKind::MemberIdentification => self.member_list.current(None).map(ItemVersion::of_member),
            _ => self.configuration.current(kind, name),
        }
    }

    /// All items in force, each as it was sent, laid out like `deliver` in a call of the operator.
    pub fn to_json(&self) -> String {
        let mut out = self.configuration.to_json();
        let members = self.member_list.to_json();
        if !members.is_empty() {
            out.pop();
            out.push(',');
            out.push_str(&members);
            out.push('}');
        }
        out
    }
}

fn check_limits(member_list: &MemberList) -> Result<(), ConfigurationError> {
    let count = member_list.members().count();
    if count > MAX_MEMBERS {
        return Err(ItemError::new(DELIVER, "members", ItemProblem::TooMany { count, max: MAX_MEMBERS }));
    }
    if let Some(member) = member_list.members().find(|member| member.name.len() > MAX_MEMBER_NAME_BYTES) {
        let problem = ItemProblem::NameTooLong { max_bytes: MAX_MEMBER_NAME_BYTES };
        return Err(ItemError::new(&member.name, "name", problem));
    }
    let bytes = member_list.to_json().len();
    if bytes > MAX_MEMBER_LIST_BYTES {
        let problem = ConfigurationProblem::MemberListTooLarge { bytes, max_bytes: MAX_MEMBER_LIST_BYTES };
        return Err(ItemError::new(DELIVER, "members", problem));
    }
    Ok(())
}
