//! Calls that change both the configuration and the members.

use silvercross_control_store::State;
use silvercross_mesh_config::{
    parse_change, parse_update, Configuration, ConfigurationWithMembers, MAX_MEMBERS, MAX_MEMBER_LIST_BYTES,
    MAX_MEMBER_NAME_BYTES,
};

fn apply(state: &mut ConfigurationWithMembers, body: &str) -> Result<bool, String> {
    let call = parse_update(body.as_bytes()).map_err(|error| error.to_string())?;
    state.apply(&call).map_err(|rejection| rejection.reason)
}

const BOTH: &str = r#"{"deliver":{"destinations":[{"name":"d","edition":1}],"membership":{"header":"Club","edition":1},
    "members":[{"name":"ana","key":"k1","plan":"trial","lapsesInS":5,"edition":1,"note":"x"}]}}"#;

#[test]
fn a_call_with_members_is_applied_as_a_whole_or_not_at_all() {
    let mut state = ConfigurationWithMembers::default();
    assert_eq!(apply(&mut state, BOTH), Ok(true));
    assert_eq!(apply(&mut state, BOTH), Ok(false));
    let before = state.clone();
    // Either part of the call may be the reason for the rejection.
    for (destination, version) in [("none", 2), ("d", 1)] {
        let body = format!(
            r#"{{"deliver":{{"depots":[{{"depot":"h","lanes":[{{"name":"r","lane":"/","routeKind":"safe","deadlineS":1,
            "destination":"{destination}","edition":1}}]}}],
            "members":[{{"name":"ana","key":"k2","plan":"full","edition":{version}}}]}}}}"#
        );
        assert!(apply(&mut state, &body).is_err());
        assert_eq!(state, before);
    }
}

#[test]
fn the_json_can_be_sent_as_a_call_and_omits_members_if_there_are_none() {
    let mut state = ConfigurationWithMembers::default();
    assert_eq!(state.to_json(), Configuration::default().to_json());
    apply(&mut state, BOTH).expect("well-formed");
    let mut copy = ConfigurationWithMembers::default();
    assert_eq!(apply(&mut copy, &format!("{{\"deliver\":{}}}", state.to_json())), Ok(true));
    assert_eq!(copy, state);
    assert!(state.to_json().contains("\"note\":\"x\""));
    // `parse_change` rejects members, so that none are lost.
    assert!(parse_change(BOTH.as_bytes()).is_err());
}

#[test]
fn a_call_that_would_exceed_a_limit_is_rejected() {
    let member = |n: usize, pad: usize| {
        format!(r#"{{"name":"m{n}","key":"k{n}","plan":"full","edition":1,"pad":"{}"}}"#, "x".repeat(pad))
    };
    let call = |members: Vec<String>| format!(r#"{{"deliver":{{"members":[{}]}}}}"#, members.join(","));
    let mut state = ConfigurationWithMembers::default();
    let many = call((0..=MAX_MEMBERS).map(|n| member(n, 0)).collect());
    assert!(apply(&mut state, &many).expect_err("too many").contains("above 4000"));
    let large = call(vec![member(0, MAX_MEMBER_LIST_BYTES)]);
    assert!(apply(&mut state, &large).expect_err("too large").contains("bytes"));
    let name = "n".repeat(MAX_MEMBER_NAME_BYTES + 1);
    let long =
        format!(r#"{{"deliver":{{"members":[{{"name":"{name}","key":"k","plan":"full","edition":1}}]}}}}"#);
    assert!(apply(&mut state, &long).expect_err("too long").contains("name"));
    assert_eq!(state, ConfigurationWithMembers::default());
}
