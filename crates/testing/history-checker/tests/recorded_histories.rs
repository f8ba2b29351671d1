//! A history's JSON as the versions before wrote it, name by name: recorded histories stay readable.
use silvercross_history_checker::{Answer, EventKind, History, Invocation};
use silvercross_history_checker::{ListedMember, MemberList, MemberState};
use silvercross_time::Instant;

/// Printed by the version in which `MemberList` was a `Look`, and `Invocation` a `Call`.
const RECORDED: &str = concat!(
    r#"{"events":[{"at":-1,"end":-1,"what":{"started":{"process":0,"machine":2,"fresh":true}}},"#,
    r#"{"at":1,"end":1,"what":{"ended":{"process":0,"told":true}}},"#,
    r#"{"at":2,"end":2,"what":{"hampered":{"process":1}}},"#,
    r#"{"at":3,"end":3,"what":{"free":{"process":1}}},"#,
    r#"{"at":4,"end":4,"what":{"cut":{"pairs":[[0,1],[1,0]]}}},"#,
    r#"{"at":5,"end":5,"what":"calm"},"#,
    r#"{"at":6,"end":6,"what":{"drain_told":{"host":"s","machines":[0,3]}}},"#,
    r#"{"at":7,"end":8,"what":{"look":{"by":1,"id":"id1","view":"whole","senders":3,"others":["#,
    r#"{"id":"a","state":"alive","incarnation":1},{"id":"b","state":"suspect","incarnation":2},"#,
    r#"{"id":"c","state":"failed","incarnation":3},{"id":"d","state":"left","incarnation":4}],"#,
    r#""drains":["s"]}}},"#,
    r#"{"at":9,"end":10,"what":{"request":{"process":1,"status":200}}},"#,
    r#"{"at":11,"end":12,"what":{"operation":{"process":1,"key":"k","call":{"put":1},"answer":"done"}}},"#,
    r#"{"at":11,"end":12,"what":{"operation":{"process":1,"key":"k","call":{"cas":[1,2]},"answer":"other"}}},"#,
    r#"{"at":11,"end":12,"what":{"operation":{"process":1,"key":"k","call":"get","answer":{"value":2}}}},"#,
    r#"{"at":11,"end":12,"what":{"operation":{"process":1,"key":"k","call":{"take":7},"answer":"yours"}}},"#,
    r#"{"at":11,"end":12,"what":{"operation":{"process":1,"key":"k","call":{"hold":[7,9]},"answer":"busy"}}},"#,
    r#"{"at":11,"end":12,"what":{"operation":{"process":1,"key":"k","call":{"give":7},"answer":null}}},"#,
    r#"{"at":13,"end":13,"what":{"effect":{"key":"k","by":"s"}}},"#,
    r#"{"at":14,"end":14,"what":{"marked":{"key":"k","answer":"a"}}},"#,
    r#"{"at":15,"end":15,"what":{"unmarked":{"key":"k","answer":"b"}}}]}"#,
);

fn member_list() -> MemberList {
    let listed =
        |identity: &str, state, incarnation| ListedMember { identity: identity.into(), state, incarnation };
    MemberList {
        process: 1,
        identity: "id1".into(),
        view: "whole".into(),
        senders: Some(3),
        members: vec![
            listed("a", MemberState::Alive, 1),
            listed("b", MemberState::Suspect, 2),
            listed("c", MemberState::Failed, 3),
            listed("d", MemberState::Left, 4),
        ],
        draining: vec!["s".into()],
    }
}

fn history() -> History {
    let mut history = History::default();
    let at = Instant::from_micros;
    history.record(at(-1), EventKind::Started { process: 0, machine: 2, fresh: true });
    history.record(at(1), EventKind::Ended { process: 0, graceful: true });
    history.record(at(2), EventKind::Impaired { process: 1 });
    history.record(at(3), EventKind::Recovered { process: 1 });
    history.record(at(4), EventKind::partitioned([(0, 1), (1, 0)]));
    history.record(at(5), EventKind::Healed);
    history.record(at(6), EventKind::DrainAnnounced { host: "s".into(), machines: vec![0, 3] });
    history.record_span(at(7), at(8), EventKind::MemberList(member_list()));
    history.record_span(at(9), at(10), EventKind::Request { process: 1, status: 200 });
    for (invocation, answer) in [
        (Invocation::Put(1), Some(Answer::Done)),
        (Invocation::Cas(1, 2), Some(Answer::Mismatch)),
        (Invocation::Get, Some(Answer::Value(2))),
        (Invocation::Claim(7), Some(Answer::Claimed)),
        (Invocation::Complete(7, 9), Some(Answer::InProgress)),
        (Invocation::Release(7), None),
    ] {
        let operation = EventKind::Operation { process: 1, key: "k".into(), invocation, answer };
        history.record_span(at(11), at(12), operation);
    }
    history.record(at(13), EventKind::Effect { key: "k".into(), by: "s".into() });
    history.record(at(14), EventKind::MarkedAnswer { key: "k".into(), answer: "a".into() });
    history.record(at(15), EventKind::UnmarkedAnswer { key: "k".into(), answer: "b".into() });
    history
}

#[test]
fn a_history_is_written_as_before() {
    assert_eq!(serde_json::to_string(&history()).expect("it is written"), RECORDED);
}

#[test]
fn a_recorded_history_is_read() {
    let read: History = serde_json::from_str(RECORDED).expect("it is read");
    assert_eq!(read, history());
}
