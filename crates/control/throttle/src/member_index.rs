//! Identification of the member that a request belongs to.

use std::collections::BTreeMap;

use crate::member::{Member, MemberIdentification, UnknownMemberPolicy};
use crate::member_list::MemberList;

/// The member that a request belongs to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestIdentity<'a> {
    /// The request belongs to this member.
    Member(&'a Member),
    /// The request belongs to no member and is served unthrottled.
    Anonymous,
    /// The request belongs to no member and is to be rejected before it is forwarded.
    Reject,
}

/// Index of members by key, rebuilt for each change of the list. Its size is bounded by that of the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberIndex {
    identification: Option<MemberIdentification>,
    members: BTreeMap<String, Member>,
    names_by_key: BTreeMap<String, String>,
}

impl MemberIndex {
    /// Builds the index of the current members.
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

    /// The header that carries a key, in lower case; `None` if no identification is configured.
    pub fn header(&self) -> Option<&str> {
        self.identification.as_ref().map(|identification| identification.header.as_str())
    }

    /// Identifies a request's member from all values of that header. Several values, even equal ones, identify no
    /// member: it is unknown which of them an upstream would use.
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

    /// A member by name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// All members, ordered by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }
}
