//! The state machine, driven entry by entry: takes, windows, sessions, documents, limits and snapshots; placement of replicas.
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
        match self.apply(by, 0, 0, Command::Open) {
            Outcome::Session(s) => s,
            other => panic!("{other:?}"),
        }
    }
    fn apply(&mut self, by: u64, session: u64, number: u64, command: Command) -> Outcome {
        self.index += 1;
        let logged = SessionCommand { by, session, number, below: 0, command };
        self.machine.apply(self.index, self.at_ms, self.office_ms, logged)
    }
    fn apply_next(&mut self, by: u64, session: u64, command: Command) -> Outcome {
        self.number += 1;
        let number = self.number;
        self.apply(by, session, number, command)
    }
}

fn take(key: &str) -> Command {
    Command::Take { key: key.into(), window_ms: 1_000 }
}
fn store(key: &str, body: &str) -> Command {
    Command::Hold { key: key.into(), window_ms: 1_000, answer: response(body) }
}
fn response(body: &str) -> StoredResponse {
    StoredResponse { status: 200, lines: Vec::new(), body: Some(body.into()) }
}
fn put(name: &str, expect: Option<u64>, value: &str) -> Command {
    Command::Put { name: name.into(), expect, bytes: Some(value.into()) }
}

#[test]
fn a_key_is_claimed_once_and_its_response_is_returned_until_its_window_ends() {
    let mut log = Log::new();
    let (a, b) = (log.open(1), log.open(2));
    assert_eq!(log.apply_next(1, a, take("k")), Outcome::Take(TakeOutcome::Yours));
    log.at_ms = 400;
    let busy = |passed_ms, over| Outcome::Take(TakeOutcome::Busy { by: 1, passed_ms, over });
    assert_eq!(log.apply_next(2, b, take("k")), busy(Some(300), false));
    // The second client can neither store a response nor end the claim.
    assert_eq!(log.apply_next(2, b, store("k", "x")), Outcome::NotYours);
    assert_eq!(
        log.apply_next(2, b, Command::Give { key: "k".into(), may_have_run: false }),
        Outcome::NotYours
    );
    // Under another leader the age of the claim is unknown.
    log.office_ms = 390;
    assert_eq!(log.apply_next(2, b, take("k")), busy(None, false));
    log.at_ms = 900;
    assert_eq!(log.apply_next(1, a, store("k", "done")), Outcome::Done(0));
    // The window starts again with the response.
    log.at_ms = 1_899;
    assert_eq!(log.apply_next(2, b, take("k")), Outcome::Take(TakeOutcome::Held(response("done"))));
    log.at_ms = 1_900;
    assert_eq!(log.apply_next(2, b, take("k")), Outcome::Take(TakeOutcome::Yours));
    let ended = Command::Give { key: "k".into(), may_have_run: true };
    assert_eq!(log.apply_next(2, b, ended), Outcome::Done(0));
    log.office_ms = 50;
    let found = Outcome::Take(TakeOutcome::Busy { by: 2, passed_ms: Some(0), over: true });
    assert_eq!(log.apply_next(1, a, take("k")), found);
}

#[test]
fn a_retry_of_a_refused_take_never_claims_the_key() {
    let mut log = Log::new();
    let (a, b) = (log.open(1), log.open(2));
    assert_eq!(log.apply(1, a, 1, take("k")), Outcome::Take(TakeOutcome::Yours));
    let busy = log.apply(2, b, 1, take("k"));
    assert_eq!(log.apply(1, a, 2, Command::Give { key: "k".into(), may_have_run: false }), Outcome::Done(0));
    assert_eq!(log.apply(2, b, 1, take("k")), busy);
    assert_eq!(log.apply(1, a, 3, take("k")), Outcome::Take(TakeOutcome::Yours));
    assert_eq!(log.apply(1, a, 4, store("k", "x")), Outcome::Done(0));
    for _ in 0..2 {
        assert_eq!(log.apply(2, b, 2, take("k")), Outcome::Take(TakeOutcome::Held(response("x"))));
    }
    log.at_ms += 1_000;
    assert!(matches!(log.apply(2, b, 2, take("k")), Outcome::Take(TakeOutcome::Busy { over: true, .. })));
    assert_eq!(log.apply(1, a, 5, take("k")), Outcome::Take(TakeOutcome::Yours), "the key is free");
}

#[test]
fn a_retry_is_not_applied_again_after_a_snapshot() {
    let mut log = Log::new();
    let a = log.open(1);
    let first = log.apply(1, a, 7, put("d", Some(0), "x"));
    assert_eq!(first, Outcome::Done(1));
    log.machine = StateMachine::restore(&log.machine.snapshot()).expect("a snapshot of this version");
    assert_eq!(log.apply(1, a, 7, put("d", Some(0), "x")), first);
    assert_eq!(log.apply(1, a, 8, put("d", Some(0), "y")), Outcome::Other(1));
    // Refused: the session of another client, a session with too many outcomes, and an expired one.
    assert_eq!(log.apply(2, a, 9, put("d", None, "y")), Outcome::NoSession);
    for n in 0..MAX_SESSION_OUTCOMES as u64 {
        log.apply(1, a, 10 + n, put("d", Some(0), "y"));
    }
    assert_eq!(log.apply(1, a, 5_000, put("d", None, "z")), Outcome::NoSession);
    log.at_ms += SESSION_TIMEOUT_MS;
    assert_eq!(log.apply(1, a, 5_001, put("d", None, "z")), Outcome::NoSession);
    assert_eq!(log.machine.document("d"), Some((1, b"x".as_slice())));
}

#[cfg(feature = "mutants")]
#[test]
fn after_a_snapshot_without_sessions_a_retry_is_applied_again() {
    let mut log = Log::new();
    let a = log.open(1);
    assert_eq!(log.apply(1, a, 7, put("d", None, "x")), Outcome::Done(1));
    log.machine = StateMachine::restore(&log.machine.snapshot_without_sessions()).expect("a snapshot");
    assert_eq!(
        log.apply(1, a, 7, put("d", None, "x")),
        Outcome::Done(2),
        "a complete snapshot returns version 1 again"
    );
}

#[test]
fn limits_are_enforced_and_bytes_are_counted() {
    let mut log = Log::new();
    let a = log.open(1);
    for (command, outcome) in [
        (take(""), Outcome::Bad),
        (take(&"k".repeat(513)), Outcome::Bad),
        (Command::Take { key: "k".into(), window_ms: 0 }, Outcome::Bad),
        (put("d", None, &"x".repeat(MAX_VALUE_BYTES + 1)), Outcome::Bad),
    ] {
        assert_eq!(log.apply_next(1, a, command.clone()), outcome, "{command:?}");
    }
    let initial_bytes = log.machine.size().3;
    let mut held = 0;
    for n in 0..2_000 {
        let full =
            log.apply_next(1, a, put(&format!("d{n}"), None, &"x".repeat(MAX_VALUE_BYTES))) == Outcome::Full;
        held += usize::from(!full);
        // Drop the outcome, as clients do with `below`.
        let logged =
            SessionCommand { by: 1, session: a, number: log.number, below: log.number, command: take("t") };
        log.machine.apply(1, log.at_ms, 1, logged);
    }
    assert!(held < 1_100, "64 MiB contain {held} documents of 64 KiB");
    for n in 0..2_000 {
        let remove = Command::Put { name: format!("d{n}"), expect: None, bytes: None };
        log.apply_next(1, a, remove);
        let logged =
            SessionCommand { by: 1, session: a, number: log.number, below: log.number, command: take("t") };
        log.machine.apply(1, log.at_ms, 1, logged);
    }
    assert_eq!(log.machine.size().3, initial_bytes, "removing all documents frees all bytes");
}

#[test]
fn versions_only_grow_and_drains_have_their_own() {
    let mut log = Log::new();
    let a = log.open(1);
    assert_eq!(log.apply_next(1, a, put("d", None, "x")), Outcome::Done(1));
    assert_eq!(log.apply_next(1, a, Command::Drain { name: "s".into(), on: true }), Outcome::Done(2));
    assert_eq!(
        log.apply_next(1, a, Command::Put { name: "d".into(), expect: Some(1), bytes: None }),
        Outcome::Done(3)
    );
    assert_eq!(log.apply_next(1, a, put("d", Some(0), "y")), Outcome::Done(4));
    let (version, names) = log.machine.drains();
    assert_eq!((version, names.collect::<Vec<_>>()), (2, vec!["s"]));
    assert_eq!(log.apply_next(1, a, Command::Drain { name: "s".into(), on: false }), Outcome::Done(5));
    assert_eq!(log.machine.drains().0, 5);
}

#[test]
fn a_snapshot_of_another_version_is_rejected() {
    let mut bytes = StateMachine::default().snapshot();
    bytes[0] += 1;
    assert!(StateMachine::restore(&bytes).is_none());
    assert!(StateMachine::restore(&[]).is_some_and(|m| m == StateMachine::default()));
}

#[test]
fn keys_spread_over_groups_and_few_move_when_a_group_is_added() {
    let keys: Vec<String> = (0..4_000).map(|n| format!("pay {n}")).collect();
    let count = |g| keys.iter().filter(|k| group_of(k, 4) == g).count();
    assert!((0..4).all(|g| (850..1_150).contains(&count(g))), "{:?}", (0..4).map(count).collect::<Vec<_>>());
    let moved = keys.iter().filter(|k| group_of(k, 4) != group_of(k, 5)).count();
    assert!((600..1_000).contains(&moved), "a fifth of the keys moves: {moved}");
}

#[test]
fn voters_are_added_one_at_a_time_across_zones_and_removed_only_by_a_majority() {
    let member = |n: u64, alive| MemberStatus { node: Node(n), zone: format!("z{}", n % 3), alive };
    let members: Vec<MemberStatus> = (1..=9).map(|n| member(n, true)).collect();
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
    // The group grows from one to three voters in different zones, each a learner first.
    let mut seen = Vec::new();
    while let Some(to) = step(&group, &[], &seen, &members) {
        assert!(group.is_single_server_change(&to), "{group:?} to {to:?}");
        seen.extend(to.learners.iter().map(|n| n.0));
        group = to;
    }
    let zones: std::collections::BTreeSet<u64> = group.voters.iter().map(|n| n.0 % 3).collect();
    assert_eq!((group.voters.len(), zones.len(), group.learners.len()), (3, 3, 0));
    // One report of two other voters is no majority and replaces nobody. With both reports the replacement is added first.
    let other = group.voters.iter().find(|n| n.0 != 1).expect("another voter").0;
    assert_eq!(step(&group, &[(other, 1)], &[], &members), None);
    let with_learner = step(&group, &[(other, 2)], &[], &members).expect("a learner is added");
    assert_eq!((with_learner.voters.clone(), with_learner.learners.len()), (group.voters.clone(), 1));
    let new = with_learner.learners[0].0;
    assert_eq!(step(&with_learner, &[(other, 2)], &[], &members), None);
    let four = step(&with_learner, &[(other, 2)], &[new], &members).expect("the learner is promoted");
    assert_eq!(four.voters.len(), 4);
    let three = step(&four, &[(other, 3)], &[], &members).expect("the gone voter is removed");
    assert!(three.voters.len() == 3 && !three.is_voter(Node(other)));
    // Without a candidate the gone voter stays; a dead learner is removed.
    let voters_only: Vec<MemberStatus> = members.iter().filter(|p| group.is_voter(p.node)).cloned().collect();
    assert_eq!(step(&group, &[(other, 2)], &[], &voters_only), None);
    let dead: Vec<MemberStatus> = members.iter().map(|p| member(p.node.0, p.node.0 != new)).collect();
    assert_eq!(step(&with_learner, &[(other, 2)], &[], &dead).map(|g| g.learners.len()), Some(0));
}
