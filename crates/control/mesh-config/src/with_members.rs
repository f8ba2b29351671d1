//! The configuration and the members under one key, so that a call over both is one change.

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

/// No more members stand at a time: each whose trial lapses takes a key of the control store, which has 4,096.
pub const MAX_MEMBERS: usize = 4_000;
/// No more bytes of members' items stand at a time: they go to every node in one control entry with the rest.
pub const MAX_MEMBER_LIST_BYTES: usize = 1 << 20;
/// A longer name of a member is rejected: with what stands before it, it names a key of the control store.
pub const MAX_MEMBER_NAME_BYTES: usize = 250;

/// Everything that stands, once a call has said something of members. At most [`MAX_MEMBERS`] and
/// [`MAX_MEMBER_LIST_BYTES`] beside what a [`Configuration`] holds; a call that would go beyond is rejected whole.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ConfigurationWithMembers {
    /// Routes, destinations, limits.
    pub configuration: Configuration,
    /// Members and how requests name them.
    pub member_list: MemberList,
}

impl State for ConfigurationWithMembers {
    type Change = ConfigurationUpdate;

    /// Both parts or neither.
    fn apply(&mut self, update: &ConfigurationUpdate) -> Result<bool, Rejection> {
        self.merge(&update.configuration, &update.members).map(|outcome| outcome.is_changed)
    }
}

impl ConfigurationWithMembers {
    /// Apply both changes or neither, and say which tombstones were forgotten for them.
    pub(crate) fn merge(
        &mut self,
        change: &ConfigurationChange,
        members: &MemberListChange,
    ) -> Result<MergeOutcome<ForgottenTombstone>, Rejection> {
        if !self.member_list.would_change(members)? {
            return self.configuration.merge(change);
        }
        let mut member_list = self.member_list.clone();
        let of_members = member_list.merge(members)?;
        check(&member_list).map_err(invalid)?;
        let mut outcome = self.configuration.merge(change)?;
        self.member_list = member_list;
        outcome.is_changed = true;
        outcome.forgotten.extend(of_members.forgotten.into_iter().map(|tombstone| ForgottenTombstone {
            kind: ItemKind::Member,
            name: tombstone.name,
            version: tombstone.version,
        }));
        Ok(outcome)
    }

    /// The version that stands of a name, set or withdrawn.
    pub(crate) fn current(&self, kind: ItemKind, name: &str) -> Option<ItemVersion<'_>> {
        match kind {
            ItemKind::Member => self.member_list.current(Some(name)).map(ItemVersion::of_member),
            ItemKind::MemberIdentification => self.member_list.current(None).map(ItemVersion::of_member),
            _ => self.configuration.current(kind, name),
        }
    }

    /// All items that stand, each as it was sent, laid out as `deliver` in a call of the operator.
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

fn check(member_list: &MemberList) -> Result<(), ConfigurationError> {
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
