//! The judge of records itself: histories by hand, each with one thing wrong, and what it says of them.
use silvercross_history_checker::idempotency::{check, Answer, Invocation, Key};
use silvercross_history_checker::linearizability::{self, Linearizability, Operation};
use silvercross_history_checker::{EventKind, History};

fn op(began: i64, ended: i64, call: Invocation, answer: Option<Answer>) -> Operation<Invocation, Answer> {
    Operation { began, ended: answer.is_some().then_some(ended), call, answer }
}

#[test]
fn orders_that_can_be_are_told_from_those_that_can_not() {
    use Answer::{Claimed, Done, InProgress, Mismatch, Value};
    use Invocation::{Cas, Claim, Complete, Get, Put, Release};
    let holds = |name: &str, ops: &[Operation<Invocation, Answer>], good: bool| {
        let verdict = linearizability::check(&Key, ops);
        assert_eq!(verdict == Linearizability::Linearizable, good, "{name}: {verdict:?}");
    };
    let put = op(0, 10, Put(1), Some(Done));
    holds("read of what was written", &[put.clone(), op(20, 30, Get, Some(Value(1)))], true);
    holds("stale read", &[put.clone(), op(20, 30, Get, Some(Value(0)))], false);
    holds("read meanwhile", &[put.clone(), op(5, 30, Get, Some(Value(0)))], true);
    holds("from nowhere", &[op(0, 10, Get, Some(Value(7)))], false);
    let lost = op(0, 0, Put(1), None);
    holds("unanswered, seen", &[lost.clone(), op(20, 30, Get, Some(Value(1)))], true);
    holds("unanswered, not seen", &[lost.clone(), op(20, 30, Get, Some(Value(0)))], true);
    let back = [lost, op(20, 30, Get, Some(Value(1))), op(40, 50, Get, Some(Value(0)))];
    holds("unanswered, seen and gone", &back, false);
    let cas = |n: i64, new, a| op(20 + n, 60 + n, Cas(1, new), Some(a));
    holds("one of two wins", &[put.clone(), cas(0, 2, Done), cas(1, 3, Mismatch)], true);
    holds("both win", &[put.clone(), cas(0, 2, Done), cas(1, 3, Done)], false);
    let two = [op(0, 10, Claim(1), Some(Claimed)), op(5, 15, Claim(2), Some(Claimed))];
    holds("two take it", &two, false);
    let given = [
        op(0, 10, Claim(1), Some(Claimed)),
        op(5, 15, Claim(2), Some(InProgress)),
        op(20, 30, Release(1), Some(Done)),
        op(40, 50, Claim(2), Some(Claimed)),
        op(60, 70, Complete(2, 9), Some(Done)),
        op(80, 90, Claim(1), Some(Value(9))),
    ];
    holds("given back and held", &given, true);
    holds("held by who has it not", &[op(0, 10, Complete(1, 9), Some(Done))], false);
}

#[test]
fn each_property_is_broken_by_its_history() {
    let marked = |answer: &str| EventKind::Marked { key: "k".into(), answer: answer.into() };
    let effect = |by: &str| EventKind::Effect { key: "k".into(), by: by.into() };
    let unmarked = EventKind::Unmarked { key: "k".into(), answer: "b".into() };
    let unanswered =
        EventKind::Operation { process: 0, key: "d".into(), call: Invocation::Get, answer: None };
    let stale = EventKind::Operation {
        process: 0,
        key: "d".into(),
        call: Invocation::Get,
        answer: Some(Answer::Value(3)),
    };
    for (events, once, broken) in [
        (vec![(1, marked("a")), (2, marked("a")), (3, effect("x"))], true, None),
        (vec![(1, marked("a")), (2, marked("b"))], true, Some("mark_lost")),
        (vec![(1, marked("a")), (2, unmarked.clone())], true, Some("mark_lost")),
        (vec![(1, unmarked.clone()), (2, marked("a"))], true, None),
        (vec![(1, marked("a")), (2, unmarked)], false, None),
        (vec![(1, effect("x")), (2, effect("y"))], true, Some("twice")),
        (vec![(1, stale)], true, Some("not_linear")),
        (vec![(1, EventKind::Calm), (50, unanswered.clone()), (99, marked("a"))], true, Some("unanswered")),
        (vec![(1, EventKind::Calm), (5, unanswered), (99, marked("a"))], true, None),
    ] {
        let mut h = History::default();
        events.iter().for_each(|(at, what)| h.took(*at, *at, what.clone()));
        let v = check(&h.sorted(), 20, once);
        assert_eq!(v.violation_counts.keys().next().copied(), broken, "{events:?}");
    }
}
