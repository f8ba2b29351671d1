//! The configuration and the members under one key, so that a call over both is one change.

use bitcode::{Decode, Encode};
use silvercross_control_store::{Rejection, State};
use silvercross_throttle::{Roll, Sent};

use crate::configuration::Configuration;
use crate::history::{Forgotten, ItemKind, Said};
use crate::items::{Change, Fault};

/// No more members stand at a time: each whose trial lapses takes a key of the ledger, which has 4,096.
pub const MAX_MEMBERS: usize = 4_000;
/// No more bytes of members' items stand at a time: they go to every node in one page with the rest.
pub const MAX_ROLL: usize = 1 << 20;
/// A longer name of a member is refused: with what stands before it, it names a key of the ledger.
pub const MAX_MEMBER_NAME: usize = 250;

/// One call of the operator that says something of members.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Call {
    /// What it says of everything else.
    pub change: Change,
    /// What it says of members.
    pub members: Sent,
}

/// Everything that stands, once a call has said something of members. At most [`MAX_MEMBERS`] and [`MAX_ROLL`] beside
/// what a [`Configuration`] holds; a call that would go beyond is refused whole.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Whole {
    /// Routes, destinations, limits.
    pub configuration: Configuration,
    /// Members and how requests name them.
    pub roll: Roll,
}

impl State for Whole {
    type Change = Call;

    /// Both parts or neither.
    fn apply(&mut self, call: &Call) -> Result<bool, Rejection> {
        self.take_in(&call.change, &call.members).map(|taken| taken.is_some())
    }
}

impl Whole {
    /// The same; `None` if nothing changed, else the drops that were forgotten for it.
    pub(crate) fn take_in(
        &mut self,
        change: &Change,
        members: &Sent,
    ) -> Result<Option<Vec<Forgotten>>, Rejection> {
        let mut roll = None;
        if self.roll.would(members)? {
            let mut new = self.roll.clone();
            let dropped = new.take_in(members)?.unwrap_or_default();
            check(&new).map_err(|fault| Rejection { conflict: false, reason: fault.to_string() })?;
            roll = Some((new, dropped));
        }
        let changed = self.configuration.take_in(change)?;
        let Some((new, dropped)) = roll else { return Ok(changed) };
        self.roll = new;
        let mut forgotten = changed.unwrap_or_default();
        let members = dropped.into_iter();
        forgotten.extend(members.map(|(name, edition)| Forgotten { kind: ItemKind::Member, name, edition }));
        Ok(Some(forgotten))
    }

    /// What holds for a name, set or dropped.
    pub(crate) fn standing(&self, kind: ItemKind, name: &str) -> Option<Said<'_>> {
        match kind {
            ItemKind::Member => self.roll.standing(Some(name)).map(Said::member),
            ItemKind::Membership => self.roll.standing(None).map(Said::member),
            _ => self.configuration.standing(kind, name),
        }
    }

    /// All items that stand, each as it was sent, laid out as `deliver` in a call of the operator.
    pub fn to_json(&self) -> String {
        let mut out = self.configuration.to_json();
        let members = self.roll.to_json();
        if !members.is_empty() {
            out.pop();
            out.push(',');
            out.push_str(&members);
            out.push('}');
        }
        out
    }
}

fn check(roll: &Roll) -> Result<(), Fault> {
    let count = roll.members().count();
    if count > MAX_MEMBERS {
        let reason = format!("would be {count}, above {MAX_MEMBERS} (withdraw some first)");
        return Err(Fault::new("deliver", "members", reason));
    }
    if let Some(member) = roll.members().find(|member| member.name.len() > MAX_MEMBER_NAME) {
        let reason = format!("is above {MAX_MEMBER_NAME} bytes (give a shorter one)");
        return Err(Fault::new(&member.name, "name", reason));
    }
    let bytes = roll.to_json().len();
    if bytes > MAX_ROLL {
        let reason =
            format!("would be {bytes} bytes, above {MAX_ROLL} (withdraw some, or send shorter items)");
        return Err(Fault::new("deliver", "members", reason));
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::read_call;

    fn apply(whole: &mut Whole, body: &str) -> Result<bool, String> {
        let call = read_call(body.as_bytes()).map_err(|fault| fault.to_string())?;
        whole.apply(&call).map_err(|refusal| refusal.reason)
    }

    const BOTH: &str = r#"{"deliver":{"destinations":[{"name":"d","edition":1}],"membership":{"header":"Club","edition":1},
        "members":[{"name":"ana","key":"k1","plan":"trial","lapsesInS":5,"edition":1,"note":"x"}]}}"#;

    #[test]
    fn a_call_over_members_and_the_rest_is_all_or_nothing() {
        let mut whole = Whole::default();
        assert_eq!(apply(&mut whole, BOTH), Ok(true));
        assert_eq!(apply(&mut whole, BOTH), Ok(false));
        let before = whole.clone();
        // Either part of it may be what is refused.
        for (route, edition) in [("none", 2), ("d", 1)] {
            let body = format!(
                r#"{{"deliver":{{"depots":[{{"depot":"h","lanes":[{{"name":"r","lane":"/","routeKind":"safe","deadlineS":1,
                "destination":"{route}","edition":1}}]}}],
                "members":[{{"name":"ana","key":"k2","plan":"full","edition":{edition}}}]}}}}"#
            );
            assert!(apply(&mut whole, &body).is_err());
            assert_eq!(whole, before);
        }
    }

    #[test]
    fn what_is_read_back_is_a_call_again_and_nothing_of_members_shows_without_them() {
        let mut whole = Whole::default();
        assert_eq!(whole.to_json(), Configuration::default().to_json());
        apply(&mut whole, BOTH).expect("well-formed");
        let mut again = Whole::default();
        assert_eq!(apply(&mut again, &format!("{{\"deliver\":{}}}", whole.to_json())), Ok(true));
        assert_eq!(again, whole);
        assert!(whole.to_json().contains("\"note\":\"x\""));
        // The plain call knows no members, so that no part of one is lost.
        assert!(crate::read_patch(BOTH.as_bytes()).is_err());
    }

    #[test]
    fn the_bounds_refuse_the_call_that_would_pass_them() {
        let member = |n: usize, pad: usize| {
            format!(r#"{{"name":"m{n}","key":"k{n}","plan":"full","edition":1,"pad":"{}"}}"#, "x".repeat(pad))
        };
        let call = |members: Vec<String>| format!(r#"{{"deliver":{{"members":[{}]}}}}"#, members.join(","));
        let mut whole = Whole::default();
        let many = call((0..=MAX_MEMBERS).map(|n| member(n, 0)).collect());
        assert!(apply(&mut whole, &many).expect_err("too many").contains("above 4000"));
        let large = call(vec![member(0, MAX_ROLL)]);
        assert!(apply(&mut whole, &large).expect_err("too large").contains("bytes"));
        let name = "n".repeat(MAX_MEMBER_NAME + 1);
        let long = format!(
            r#"{{"deliver":{{"members":[{{"name":"{name}","key":"k","plan":"full","edition":1}}]}}}}"#
        );
        assert!(apply(&mut whole, &long).expect_err("too long").contains("name"));
        assert_eq!(whole, Whole::default());
    }
}
