//! The checker of the idempotency store on histories written by hand, each with one thing wrong.
use silvercross_history_checker::idempotency::check;
use silvercross_history_checker::linearizability::{self, Linearizability, Operation};
use silvercross_history_checker::{Answer, EventKind, History, Invocation, KeyedEntry, Property};
use silvercross_time::{Duration, Instant};

fn operation(
    began: i64,
    ended: i64,
    invocation: Invocation,
    answer: Option<Answer>,
) -> Operation<Invocation, Answer> {
    let ended = answer.is_some().then_some(Instant::from_micros(ended));
    Operation { began: Instant::from_micros(began), ended, invocation, answer }
}

#[test]
fn orders_that_can_be_are_told_from_those_that_can_not() {
    use Answer::{Claimed, Done, InProgress, Mismatch, Value};
    use Invocation::{Cas, Claim, Complete, Get, Put, Release};
    let holds = |name: &str, operations: &[Operation<Invocation, Answer>], good: bool| {
        let result = linearizability::check(&KeyedEntry, operations);
        assert_eq!(result == Linearizability::Linearizable, good, "{name}: {result:?}");
    };
    let put = operation(0, 10, Put(1), Some(Done));
    holds("read of what was written", &[put.clone(), operation(20, 30, Get, Some(Value(1)))], true);
    holds("stale read", &[put.clone(), operation(20, 30, Get, Some(Value(0)))], false);
    holds("read meanwhile", &[put.clone(), operation(5, 30, Get, Some(Value(0)))], true);
    holds("from nowhere", &[operation(0, 10, Get, Some(Value(7)))], false);
    let lost = operation(0, 0, Put(1), None);
    holds("unanswered, seen", &[lost.clone(), operation(20, 30, Get, Some(Value(1)))], true);
    holds("unanswered, not seen", &[lost.clone(), operation(20, 30, Get, Some(Value(0)))], true);
    let back = [lost, operation(20, 30, Get, Some(Value(1))), operation(40, 50, Get, Some(Value(0)))];
    holds("unanswered, seen and gone", &back, false);
    let cas = |delay: i64, new, answer| operation(20 + delay, 60 + delay, Cas(1, new), Some(answer));
    holds("one of two wins", &[put.clone(), cas(0, 2, Done), cas(1, 3, Mismatch)], true);
    holds("both win", &[put.clone(), cas(0, 2, Done), cas(1, 3, Done)], false);
    let two = [operation(0, 10, Claim(1), Some(Claimed)), operation(5, 15, Claim(2), Some(Claimed))];
    holds("two claim it", &two, false);
    let released = [
        operation(0, 10, Claim(1), Some(Claimed)),
        operation(5, 15, Claim(2), Some(InProgress)),
        operation(20, 30, Release(1), Some(Done)),
        operation(40, 50, Claim(2), Some(Claimed)),
        operation(60, 70, Complete(2, 9), Some(Done)),
        operation(80, 90, Claim(1), Some(Value(9))),
    ];
    holds("released and completed", &released, true);
    holds("completed by who has not claimed it", &[operation(0, 10, Complete(1, 9), Some(Done))], false);
}

#[test]
fn each_property_is_broken_by_its_history() {
    let marked = |answer: &str| EventKind::MarkedAnswer { key: "k".into(), answer: answer.into() };
    let effect = |by: &str| EventKind::Effect { key: "k".into(), by: by.into() };
    let unmarked = EventKind::UnmarkedAnswer { key: "k".into(), answer: "b".into() };
    let get = |answer| {
        let invocation = Invocation::Get;
        EventKind::Operation { process: 0, key: "d".into(), invocation, answer }
    };
    let (unanswered, stale) = (get(None), get(Some(Answer::Value(3))));
    for (events, exactly_once, broken) in [
        (vec![(1, marked("a")), (2, marked("a")), (3, effect("x"))], true, None),
        (vec![(1, marked("a")), (2, marked("b"))], true, Some(Property::MarkLost)),
        (vec![(1, marked("a")), (2, unmarked.clone())], true, Some(Property::MarkLost)),
        (vec![(1, unmarked.clone()), (2, marked("a"))], true, None),
        (vec![(1, marked("a")), (2, unmarked)], false, None),
        (vec![(1, effect("x")), (2, effect("y"))], true, Some(Property::Twice)),
        (vec![(1, stale)], true, Some(Property::NotLinear)),
        (
            vec![(1, EventKind::Healed), (50, unanswered.clone()), (99, marked("a"))],
            true,
            Some(Property::Unanswered),
        ),
        (vec![(1, EventKind::Healed), (5, unanswered), (99, marked("a"))], true, None),
    ] {
        let mut history = History::default();
        for (at, kind) in &events {
            history.record(Instant::from_micros(*at), kind.clone());
        }
        let report = check(&history.sorted(), Duration::from_micros(20), exactly_once);
        assert_eq!(report.violations.counts.keys().next().copied(), broken, "{events:?}");
    }
}
