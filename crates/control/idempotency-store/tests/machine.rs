//! The state machine by hand: takes, windows, sessions, documents, bounds; snapshots; who is to hold.
use silvercross_idempotency_store::command::MAX_VALUE_BYTES;
use silvercross_idempotency_store::machine::{
    SessionCommand, StateMachine, MAX_SESSION_OUTCOMES, SESSION_TIMEOUT_MS,
};
use silvercross_idempotency_store::placement::{next_group, MemberStatus, PlacementInput};
use silvercross_idempotency_store::{group_of, Command, Outcome, StoredResponse, TakeOutcome};
use silvercross_raft::{Group, Node};
use std::collections::BTreeMap;

struct Log {
    machine: StateMachine,
    index: u64,
    at_ms: u64,
    office_ms: u64,
    number: u64,
}

impl Log {
    fn new() -> Self {
        Log { machine: StateMachine::default(), index: 1, at_ms: 100, office_ms: 50, number: 0 }
    }
    fn open(&mut self, by: u64) -> u64 {
        match self.say(by, 0, 0, Command::Open) {
            Outcome::Session(s) => s,
            other => panic!("{other:?}"),
        }
    }
    fn say(&mut self, by: u64, session: u64, number: u64, command: Command) -> Outcome {
        self.index += 1;
        let logged = SessionCommand { by, session, number, below: 0, command };
        self.machine.apply(self.index, self.at_ms, self.office_ms, logged)
    }
    fn next(&mut self, by: u64, session: u64, command: Command) -> Outcome {
        self.number += 1;
        let number = self.number;
        self.say(by, session, number, command)
    }
}

fn take(key: &str) -> Command {
    Command::Take { key: key.into(), window_ms: 1_000 }
}
fn hold(key: &str, body: &str) -> Command {
    Command::Hold { key: key.into(), window_ms: 1_000, answer: answer(body) }
}
fn answer(body: &str) -> StoredResponse {
    StoredResponse { status: 200, lines: Vec::new(), body: Some(body.into()) }
}
fn put(name: &str, expect: Option<u64>, value: &str) -> Command {
    Command::Put { name: name.into(), expect, bytes: Some(value.into()) }
}

#[test]
fn a_key_is_taken_once_and_its_answer_is_everybodys_until_its_window_ends() {
    let mut l = Log::new();
    let (a, b) = (l.open(1), l.open(2));
    assert_eq!(l.next(1, a, take("k")), Outcome::Take(TakeOutcome::Yours));
    l.at_ms = 400;
    let busy = |passed_ms, over| Outcome::Take(TakeOutcome::Busy { by: 1, passed_ms, over });
    assert_eq!(l.next(2, b, take("k")), busy(Some(300), false));
    // Not the second one's to hold or to give back.
    assert_eq!(l.next(2, b, hold("k", "x")), Outcome::NotYours);
    assert_eq!(l.next(2, b, Command::Give { key: "k".into(), may_have_run: false }), Outcome::NotYours);
    // Under another leader nobody knows how long ago it was.
    l.office_ms = 390;
    assert_eq!(l.next(2, b, take("k")), busy(None, false));
    l.at_ms = 900;
    assert_eq!(l.next(1, a, hold("k", "done")), Outcome::Done(0));
    // Its window counts from the answer on.
    l.at_ms = 1_899;
    assert_eq!(l.next(2, b, take("k")), Outcome::Take(TakeOutcome::Held(answer("done"))));
    l.at_ms = 1_900;
    assert_eq!(l.next(2, b, take("k")), Outcome::Take(TakeOutcome::Yours));
    let over = Command::Give { key: "k".into(), may_have_run: true };
    assert_eq!(l.next(2, b, over), Outcome::Done(0));
    l.office_ms = 50;
    let found = Outcome::Take(TakeOutcome::Busy { by: 2, passed_ms: Some(0), over: true });
    assert_eq!(l.next(1, a, take("k")), found);
}

#[test]
fn a_repeat_of_a_take_that_found_something_never_takes() {
    let mut l = Log::new();
    let (a, b) = (l.open(1), l.open(2));
    assert_eq!(l.say(1, a, 1, take("k")), Outcome::Take(TakeOutcome::Yours));
    let busy = l.say(2, b, 1, take("k"));
    assert_eq!(l.say(1, a, 2, Command::Give { key: "k".into(), may_have_run: false }), Outcome::Done(0));
    assert_eq!(l.say(2, b, 1, take("k")), busy);
    assert_eq!(l.say(1, a, 3, take("k")), Outcome::Take(TakeOutcome::Yours));
    assert_eq!(l.say(1, a, 4, hold("k", "x")), Outcome::Done(0));
    for _ in 0..2 {
        assert_eq!(l.say(2, b, 2, take("k")), Outcome::Take(TakeOutcome::Held(answer("x"))));
    }
    l.at_ms += 1_000;
    assert!(matches!(l.say(2, b, 2, take("k")), Outcome::Take(TakeOutcome::Busy { over: true, .. })));
    assert_eq!(l.say(1, a, 5, take("k")), Outcome::Take(TakeOutcome::Yours), "nobody has taken it");
}

#[test]
fn a_repeat_is_not_done_again_over_a_snapshot_too() {
    let mut l = Log::new();
    let a = l.open(1);
    let first = l.say(1, a, 7, put("d", Some(0), "x"));
    assert_eq!(first, Outcome::Done(1));
    l.machine = StateMachine::restore(&l.machine.snapshot()).expect("a snapshot of this version");
    assert_eq!(l.say(1, a, 7, put("d", Some(0), "x")), first);
    assert_eq!(l.say(1, a, 8, put("d", Some(0), "y")), Outcome::Other(1));
    // Another one's session, one that is over, and too many without an answer taken: nobody knows.
    assert_eq!(l.say(2, a, 9, put("d", None, "y")), Outcome::NoSession);
    for n in 0..MAX_SESSION_OUTCOMES as u64 {
        l.say(1, a, 10 + n, put("d", Some(0), "y"));
    }
    assert_eq!(l.say(1, a, 5_000, put("d", None, "z")), Outcome::NoSession);
    l.at_ms += SESSION_TIMEOUT_MS;
    assert_eq!(l.say(1, a, 5_001, put("d", None, "z")), Outcome::NoSession);
    assert_eq!(l.machine.document("d"), Some((1, b"x".as_slice())));
}

#[cfg(feature = "mutants")]
#[test]
fn over_a_snapshot_without_sessions_a_repeat_is_done_again() {
    let mut l = Log::new();
    let a = l.open(1);
    assert_eq!(l.say(1, a, 7, put("d", None, "x")), Outcome::Done(1));
    l.machine = StateMachine::restore(&l.machine.snapshot_without_sessions()).expect("a snapshot");
    assert_eq!(l.say(1, a, 7, put("d", None, "x")), Outcome::Done(2), "the whole one says version 1 again");
}

#[test]
fn bounds_are_kept_and_told_and_bytes_are_counted() {
    let mut l = Log::new();
    let a = l.open(1);
    for (command, outcome) in [
        (take(""), Outcome::Bad),
        (take(&"k".repeat(513)), Outcome::Bad),
        (Command::Take { key: "k".into(), window_ms: 0 }, Outcome::Bad),
        (put("d", None, &"x".repeat(MAX_VALUE_BYTES + 1)), Outcome::Bad),
    ] {
        assert_eq!(l.next(1, a, command.clone()), outcome, "{command:?}");
    }
    let empty = l.machine.size().3;
    let mut held = 0;
    for n in 0..2_000 {
        let full = l.next(1, a, put(&format!("d{n}"), None, &"x".repeat(MAX_VALUE_BYTES))) == Outcome::Full;
        held += usize::from(!full);
        // What is told is forgotten, as askers do.
        let logged =
            SessionCommand { by: 1, session: a, number: l.number, below: l.number, command: take("t") };
        l.machine.apply(1, l.at_ms, 1, logged);
    }
    assert!(held < 1_100, "64 MiB hold {held} documents of 64 KiB");
    for n in 0..2_000 {
        let gone = Command::Put { name: format!("d{n}"), expect: None, bytes: None };
        l.next(1, a, gone);
        let logged =
            SessionCommand { by: 1, session: a, number: l.number, below: l.number, command: take("t") };
        l.machine.apply(1, l.at_ms, 1, logged);
    }
    assert_eq!(l.machine.size().3, empty, "all that was held is given back");
}

#[test]
fn versions_only_grow_and_drains_have_theirs() {
    let mut l = Log::new();
    let a = l.open(1);
    assert_eq!(l.next(1, a, put("d", None, "x")), Outcome::Done(1));
    assert_eq!(l.next(1, a, Command::Drain { name: "s".into(), on: true }), Outcome::Done(2));
    assert_eq!(
        l.next(1, a, Command::Put { name: "d".into(), expect: Some(1), bytes: None }),
        Outcome::Done(3)
    );
    assert_eq!(l.next(1, a, put("d", Some(0), "y")), Outcome::Done(4));
    let (version, names) = l.machine.drains();
    assert_eq!((version, names.collect::<Vec<_>>()), (2, vec!["s"]));
    assert_eq!(l.next(1, a, Command::Drain { name: "s".into(), on: false }), Outcome::Done(5));
    assert_eq!(l.machine.drains().0, 5);
}

#[test]
fn no_other_versions_snapshot_is_read() {
    let mut bytes = StateMachine::default().snapshot();
    bytes[0] += 1;
    assert!(StateMachine::restore(&bytes).is_none());
    assert!(StateMachine::restore(&[]).is_some_and(|m| m == StateMachine::default()));
}

#[test]
fn keys_spread_over_groups_and_few_move_when_one_comes() {
    let keys: Vec<String> = (0..4_000).map(|n| format!("pay {n}")).collect();
    let count = |g| keys.iter().filter(|k| group_of(k, 4) == g).count();
    assert!((0..4).all(|g| (850..1_150).contains(&count(g))), "{:?}", (0..4).map(count).collect::<Vec<_>>());
    let moved = keys.iter().filter(|k| group_of(k, 4) != group_of(k, 5)).count();
    assert!((600..1_000).contains(&moved), "a fifth moves: {moved}");
}

#[test]
fn holders_come_one_at_a_time_from_other_zones_and_go_only_when_most_say_so() {
    let place = |n: u64, alive| MemberStatus { node: Node(n), zone: format!("z{}", n % 3), alive };
    let places: Vec<MemberStatus> = (1..=9).map(|n| place(n, true)).collect();
    let step = |group: &Group, gone: &[(u64, usize)], caught_up: &[u64], members: &[MemberStatus]| {
        let gone: BTreeMap<Node, usize> = gone.iter().map(|(n, c)| (Node(*n), *c)).collect();
        let caught_up: Vec<Node> = caught_up.iter().map(|n| Node(*n)).collect();
        let input = PlacementInput {
            group_id: 0,
            target_voters: 3,
            members,
            gone_reports: &gone,
            caught_up: &caught_up,
            leader: Node(1),
        };
        next_group(group, &input)
    };
    let nodes = |v: &[u64]| v.iter().map(|n| Node(*n)).collect::<Vec<_>>();
    let mut group = Group::of(nodes(&[1]));
    // From one to three voters, each as a learner first, in a zone of its own.
    let mut seen = Vec::new();
    while let Some(to) = step(&group, &[], &seen, &places) {
        assert!(group.is_single_server_change(&to), "{group:?} to {to:?}");
        seen.extend(to.learners.iter().map(|n| n.0));
        group = to;
    }
    let zones: std::collections::BTreeSet<u64> = group.voters.iter().map(|n| n.0 % 3).collect();
    assert_eq!((group.voters.len(), zones.len(), group.learners.len()), (3, 3, 0));
    // One voter's word, or half of them, replaces nobody; most do, after another has taken the place.
    let other = group.voters.iter().find(|n| n.0 != 1).expect("there").0;
    assert_eq!(step(&group, &[(other, 1)], &[], &places), None);
    let learns = step(&group, &[(other, 2)], &[], &places).expect("one is asked in");
    assert_eq!((learns.voters.clone(), learns.learners.len()), (group.voters.clone(), 1));
    let new = learns.learners[0].0;
    assert_eq!(step(&learns, &[(other, 2)], &[], &places), None);
    let four = step(&learns, &[(other, 2)], &[new], &places).expect("it is a voter");
    assert_eq!(four.voters.len(), 4);
    let three = step(&four, &[(other, 3)], &[], &places).expect("the one that is gone leaves");
    assert!(three.voters.len() == 3 && !three.is_voter(Node(other)));
    // With nobody to take the place it stays, and a learner that died is let go.
    let few: Vec<MemberStatus> = places.iter().filter(|p| group.is_voter(p.node)).cloned().collect();
    assert_eq!(step(&group, &[(other, 2)], &[], &few), None);
    let dead: Vec<MemberStatus> = places.iter().map(|p| place(p.node.0, p.node.0 != new)).collect();
    assert_eq!(step(&learns, &[(other, 2)], &[], &dead).map(|g| g.learners.len()), Some(0));
}
