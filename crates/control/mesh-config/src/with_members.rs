//! The configuration and the members under one key, so that a call over both is one change.

use bitcode::{Decode, Encode};
use silvercross_control_store::{Rejection, State};
use silvercross_throttle::{MemberList, MemberListChange};

use crate::configuration::Configuration;
use crate::history::{Forgotten, ItemKind, Said};
use crate::item::{ConfigurationChange, ConfigurationError};

/// No more members stand at a time: each whose trial lapses takes a key of the ledger, which has 4,096.
pub const MAX_MEMBERS: usize = 4_000;
/// No more bytes of members' items stand at a time: they go to every node in one page with the rest.
pub const MAX_MEMBER_LIST_BYTES: usize = 1 << 20;
/// A longer name of a member is refused: with what stands before it, it names a key of the ledger.
pub const MAX_MEMBER_NAME_BYTES: usize = 250;

/// One call of the operator that says something of members.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ConfigurationUpdate {
    /// What it says of everything else.
    pub configuration: ConfigurationChange,
    /// What it says of members.
    pub members: MemberListChange,
}

/// Everything that stands, once a call has said something of members. At most [`MAX_MEMBERS`] and [`MAX_MEMBER_LIST_BYTES`] beside
/// what a [`Configuration`] holds; a call that would go beyond is refused whole.
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
    fn apply(&mut self, call: &ConfigurationUpdate) -> Result<bool, Rejection> {
        self.merge(&call.configuration, &call.members).map(|taken| taken.is_some())
    }
}

impl ConfigurationWithMembers {
    /// The same; `None` if nothing changed, else the drops that were forgotten for it.
    pub(crate) fn merge(
        &mut self,
        change: &ConfigurationChange,
        members: &MemberListChange,
    ) -> Result<Option<Vec<Forgotten>>, Rejection> {
        let mut member_list = None;
        if self.member_list.would_change(members)? {
            let mut new = self.member_list.clone();
            let tombstones = new.merge(members)?.unwrap_or_default();
            check(&new).map_err(|fault| Rejection { conflict: false, reason: fault.to_string() })?;
            member_list = Some((new, tombstones));
        }
        let changed = self.configuration.merge(change)?;
        let Some((new, tombstones)) = member_list else { return Ok(changed) };
        self.member_list = new;
        let mut forgotten = changed.unwrap_or_default();
        let members = tombstones.into_iter();
        forgotten.extend(members.map(|(name, version)| Forgotten { kind: ItemKind::Member, name, version }));
        Ok(Some(forgotten))
    }

    /// What holds for a name, set or dropped.
    pub(crate) fn current(&self, kind: ItemKind, name: &str) -> Option<Said<'_>> {
        match kind {
            ItemKind::Member => self.member_list.current(Some(name)).map(Said::member),
            ItemKind::Membership => self.member_list.current(None).map(Said::member),
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
        let reason = format!("would be {count}, above {MAX_MEMBERS} (withdraw some first)");
        return Err(ConfigurationError::new("deliver", "members", reason));
    }
    if let Some(member) = member_list.members().find(|member| member.name.len() > MAX_MEMBER_NAME_BYTES) {
        let reason = format!("is above {MAX_MEMBER_NAME_BYTES} bytes (give a shorter one)");
        return Err(ConfigurationError::new(&member.name, "name", reason));
    }
    let bytes = member_list.to_json().len();
    if bytes > MAX_MEMBER_LIST_BYTES {
        let reason = format!(
            "would be {bytes} bytes, above {MAX_MEMBER_LIST_BYTES} (withdraw some, or send shorter items)"
        );
        return Err(ConfigurationError::new("deliver", "members", reason));
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::parse_update;

    fn apply(whole: &mut ConfigurationWithMembers, body: &str) -> Result<bool, String> {
        let call = parse_update(body.as_bytes()).map_err(|fault| fault.to_string())?;
        whole.apply(&call).map_err(|refusal| refusal.reason)
    }

    const BOTH: &str = r#"{"deliver":{"destinations":[{"name":"d","edition":1}],"membership":{"header":"Club","edition":1},
        "members":[{"name":"ana","key":"k1","plan":"trial","lapsesInS":5,"edition":1,"note":"x"}]}}"#;

    #[test]
    fn a_call_over_members_and_the_rest_is_all_or_nothing() {
        let mut whole = ConfigurationWithMembers::default();
        assert_eq!(apply(&mut whole, BOTH), Ok(true));
        assert_eq!(apply(&mut whole, BOTH), Ok(false));
        let before = whole.clone();
        // Either part of it may be what is refused.
        for (route, version) in [("none", 2), ("d", 1)] {
            let body = format!(
                r#"{{"deliver":{{"depots":[{{"depot":"h","lanes":[{{"name":"r","lane":"/","routeKind":"safe","deadlineS":1,
                "destination":"{route}","edition":1}}]}}],
                "members":[{{"name":"ana","key":"k2","plan":"full","edition":{version}}}]}}}}"#
            );
            assert!(apply(&mut whole, &body).is_err());
            assert_eq!(whole, before);
        }
    }

    #[test]
    fn what_is_read_back_is_a_call_again_and_nothing_of_members_shows_without_them() {
        let mut whole = ConfigurationWithMembers::default();
        assert_eq!(whole.to_json(), Configuration::default().to_json());
        apply(&mut whole, BOTH).expect("well-formed");
        let mut again = ConfigurationWithMembers::default();
        assert_eq!(apply(&mut again, &format!("{{\"deliver\":{}}}", whole.to_json())), Ok(true));
        assert_eq!(again, whole);
        assert!(whole.to_json().contains("\"note\":\"x\""));
        // The plain call knows no members, so that no part of one is lost.
        assert!(crate::parse_change(BOTH.as_bytes()).is_err());
    }

    #[test]
    fn the_bounds_refuse_the_call_that_would_pass_them() {
        let member = |n: usize, pad: usize| {
            format!(r#"{{"name":"m{n}","key":"k{n}","plan":"full","edition":1,"pad":"{}"}}"#, "x".repeat(pad))
        };
        let call = |members: Vec<String>| format!(r#"{{"deliver":{{"members":[{}]}}}}"#, members.join(","));
        let mut whole = ConfigurationWithMembers::default();
        let many = call((0..=MAX_MEMBERS).map(|n| member(n, 0)).collect());
        assert!(apply(&mut whole, &many).expect_err("too many").contains("above 4000"));
        let large = call(vec![member(0, MAX_MEMBER_LIST_BYTES)]);
        assert!(apply(&mut whole, &large).expect_err("too large").contains("bytes"));
        let name = "n".repeat(MAX_MEMBER_NAME_BYTES + 1);
        let long = format!(
            r#"{{"deliver":{{"members":[{{"name":"{name}","key":"k","plan":"full","edition":1}}]}}}}"#
        );
        assert!(apply(&mut whole, &long).expect_err("too long").contains("name"));
        assert_eq!(whole, ConfigurationWithMembers::default());
    }
}
