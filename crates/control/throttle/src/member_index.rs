//! Whose a request is.

use std::collections::BTreeMap;

use crate::member::{Member, MemberIdentification, UnknownMemberPolicy};
use crate::member_list::MemberList;

/// Whose a request is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestIdentity<'a> {
    /// A member's.
    Member(&'a Member),
    /// No member's: served as everything was before there were members.
    Anonymous,
    /// No member's, and such are to be rejected before they are forwarded.
    Reject,
}

/// The members by key, made once for each change of the list. No larger than the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberIndex {
    identification: Option<MemberIdentification>,
    members: BTreeMap<String, Member>,
    names_by_key: BTreeMap<String, String>,
}

impl MemberIndex {
    /// The index of the members in force.
    pub fn new(list: &MemberList) -> MemberIndex {
        let mut index =
            MemberIndex { identification: list.identification().cloned(), ..MemberIndex::default() };
        for member in list.members() {
            for key in &member.keys {
                index.names_by_key.insert(key.clone(), member.name.clone());
            }
            index.members.insert(member.name.clone(), member.clone());
        }
        index
    }

    /// The header to look for, in lower case; nothing is looked for where requests can't name a member.
    pub fn header(&self) -> Option<&str> {
        self.identification.as_ref().map(|identification| identification.header.as_str())
    }

    /// Whose a request is, by all values of that header on it. Several values, even equal ones, name nobody: which of them
    /// an upstream would believe is not known here.
    pub fn identify<'v>(&self, values: impl IntoIterator<Item = &'v [u8]>) -> RequestIdentity<'_> {
        let Some(identification) = &self.identification else { return RequestIdentity::Anonymous };
        let mut values = values.into_iter();
        let key = match (values.next(), values.next()) {
            (Some(one), None) => std::str::from_utf8(one.trim_ascii()).ok(),
            _ => None,
        };
        match key.and_then(|key| self.names_by_key.get(key)).and_then(|name| self.members.get(name)) {
            Some(member) => RequestIdentity::Member(member),
            None if identification.unknown == UnknownMemberPolicy::Reject => RequestIdentity::Reject,
            None => RequestIdentity::Anonymous,
        }
    }

    /// A member by its name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// All members, by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }
}
