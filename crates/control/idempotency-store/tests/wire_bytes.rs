//! Compares the encoding of all messages, log entries and persisted state of the store with recorded bytes, since processes of
//! different builds communicate and read each other's disks.

use serde::{de::DeserializeOwned, Serialize};
use silvercross_idempotency_store::group_replica::CommandEntry;
use silvercross_idempotency_store::machine::{SessionCommand, StateMachine};
use silvercross_idempotency_store::{
    Command, Epoch, GroupInfo, Outcome, StoreMessage, StoredResponse, TakeOutcome,
};
use silvercross_raft::{Entry, Envelope, Group, HardState, Message, Node, Payload, Snapshot};
use std::fmt::{Debug, Write};

/// One line per value: its name, then its bytes in hexadecimal.
const TABLE: &str = include_str!("data/wire.hex");

/// Adds the line of a value to `lines`, after reading the value back from its bytes.
fn add<T: Serialize + DeserializeOwned + PartialEq + Debug>(lines: &mut String, name: &str, value: T) {
    let bytes = postcard::to_allocvec(&value).expect("encoded");
    assert_eq!(postcard::from_bytes::<T>(&bytes).as_ref(), Ok(&value), "{name}");
    add_bytes(lines, name, &bytes);
}

fn add_bytes(lines: &mut String, name: &str, bytes: &[u8]) {
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    writeln!(lines, "{name} {hex}").expect("written to a string");
}

fn answer(body: Option<&[u8]>) -> StoredResponse {
    StoredResponse {
        status: 201,
        lines: b"content-type: text/plain\r\n".to_vec(),
        body: body.map(<[u8]>::to_vec),
    }
}

fn commands() -> Vec<(&'static str, Command)> {
    let (key, name) = (|| "orders/k-1".to_string(), || "upstream-1".to_string());
    vec![
        ("open", Command::Open),
        ("take", Command::Take { key: key(), window_ms: 60_000 }),
        ("hold", Command::Hold { key: key(), window_ms: 60_000, answer: answer(Some(b"ok")) }),
        ("give", Command::Give { key: key(), may_have_run: true }),
        ("drain", Command::Drain { name: name(), on: true }),
        ("put", Command::Put { name: "doc".into(), expect: Some(3), bytes: Some(vec![1, 2]) }),
        ("put-removes", Command::Put { name: "doc".into(), expect: None, bytes: None }),
        ("get", Command::Get { name: "doc".into() }),
    ]
}

fn outcomes() -> Vec<(&'static str, Outcome)> {
    vec![
        ("session", Outcome::Session(9)),
        ("take-yours", Outcome::Take(TakeOutcome::Yours)),
        ("take-held", Outcome::Take(TakeOutcome::Held(answer(None)))),
        ("take-busy", Outcome::Take(TakeOutcome::Busy { by: 4, passed_ms: Some(700), over: true })),
        ("done", Outcome::Done(300)),
        ("document", Outcome::Document(2, Some(vec![1]))),
        ("other", Outcome::Other(5)),
        ("not-yours", Outcome::NotYours),
        ("full", Outcome::Full),
        ("no-session", Outcome::NoSession),
        ("bad", Outcome::Bad),
    ]
}

fn group() -> Group {
    Group { voters: vec![Node(1), Node(300)], learners: vec![Node(5)] }
}

fn entries() -> Vec<Entry> {
    let entry = |payload| Entry { term: 3, at_ms: 70_000, payload };
    vec![entry(Payload::Nothing), entry(Payload::Change(group())), entry(Payload::Command(vec![0, 255]))]
}

/// Raft messages between replicas of a group.
fn messages() -> Vec<(&'static str, Message)> {
    let (term, last, last_term, round) = (3, 400, 2, 9);
    vec![
        ("hello", Message::Hello),
        ("hello-back", Message::HelloBack { seen: 5 }),
        ("ask-vote", Message::RequestVote { term, last, last_term, pre_vote: true, transfer: false }),
        ("vote", Message::RequestVoteResponse { term, granted: true, pre_vote: false }),
        (
            "append",
            Message::AppendEntries { term, prev: 397, prev_term: 2, entries: entries(), commit: 390, round },
        ),
        (
            "appended",
            Message::AppendEntriesResponse { term, matched: Some(400), last, round, gone: vec![Node(2)] },
        ),
        ("appended-none", Message::AppendEntriesResponse { term, matched: None, last, round, gone: vec![] }),
        (
            "piece",
            Message::InstallSnapshot {
                term,
                index: 400,
                index_term: 2,
                at_ms: 70_000,
                group: group(),
                offset: 65_536,
                data: vec![1, 2, 3],
                done: true,
                round,
            },
        ),
        ("piece-taken", Message::InstallSnapshotResponse { term, index: 400, next: 65_539, round }),
        ("stand-now", Message::TimeoutNow { term }),
        ("older", Message::Older { seen: 6 }),
    ]
}

fn other_messages() -> Vec<(&'static str, StoreMessage)> {
    let (group, epoch) = (2, Epoch(1 << 40 | 77));
    let info = GroupInfo {
        group,
        epoch,
        changed: 9,
        voters: vec![1, 300],
        learners: vec![5],
        term: 3,
        leader: Some(1),
    };
    vec![
        ("not-here", StoreMessage::NotHere { group, number: 8, leader: Some(1) }),
        ("over", StoreMessage::Over { group, epoch }),
        ("who", StoreMessage::Who),
        ("known", StoreMessage::Known(vec![info], 12, vec!["upstream-1".to_string()])),
    ]
}

#[test]
fn messages_log_entries_and_persisted_state_match_the_recorded_bytes() {
    let mut lines = String::new();
    let epoch = Epoch(1 << 40 | 77);
    for (name, message) in messages() {
        let envelope =
            Envelope { group: 2, epoch: epoch.0, from: Node(1), to: Node(300), writes: 17, message };
        add(&mut lines, &format!("said/replica-{name}"), StoreMessage::Replica(envelope));
    }
    for (name, command) in commands() {
        let message = StoreMessage::Ask { group: 2, epoch, session: 11, number: 8, below: 6, command };
        add(&mut lines, &format!("said/ask-{name}"), message);
    }
    for (name, outcome) in outcomes() {
        let message = StoreMessage::Told { group: 2, epoch, session: 11, number: 8, outcome };
        add(&mut lines, &format!("said/told-{name}"), message);
    }
    for (name, message) in other_messages() {
        add(&mut lines, &format!("said/{name}"), message);
    }
    for (i, entry) in entries().into_iter().enumerate() {
        add(&mut lines, &format!("disk/entry-{i}"), entry);
    }
    add(&mut lines, "disk/hard", HardState { term: 3, vote: Some(Node(300)) });
    let snapshot = Snapshot { index: 400, term: 2, at_ms: 70_000, group: group(), data: vec![1, 2, 3] };
    add(&mut lines, "disk/snapshot", snapshot);

    let mut machine = StateMachine::default();
    for (i, (name, command)) in commands().into_iter().enumerate() {
        let (number, session) = (i as u64, u64::from(i > 0));
        let logged = SessionCommand { by: 4, session, number, below: 0, command };
        add(&mut lines, &format!("log/{name}"), CommandEntry { office_ms: 500, logged: logged.clone() });
        machine.apply(number + 1, 1_000 + number, 500, logged);
    }
    let snapshot_bytes = machine.snapshot();
    assert_eq!(StateMachine::restore(&snapshot_bytes).as_ref(), Some(&machine));
    add_bytes(&mut lines, "disk/machine", &snapshot_bytes);
    assert!(lines == TABLE, "the encoding has changed; it is now:\n{lines}");
}
