//! Rules of items, identification, lapses, the trusted clock, delays and the delay queue, each on small cases.

use serde_json::{json, Map, Value};
use silvercross_control_store::{Epoch, Node, State};
use silvercross_throttle::{
    decide_delay, lapse_key, member_of_lapse_key, parse_members, ClockSettings, DelayDecision, DelayQueue,
    LapseChange, LapseState, LapseTime, LapseTimer, LapseView, Member, MemberError, MemberIndex, MemberList,
    MemberListChange, PeerClockReading, Plan, RequestIdentity, RequestStage, RequestThrottle, RouteKind,
    ThrottleRequest, ThrottleSchedule, ThrottleStep, TimerDecision, TrustedClock, UnixTime, WaitingFor,
};
use silvercross_time::{Duration, Instant};

/// One second in microseconds.
const SECOND: i64 = 1_000_000;
/// Wall clock time at the start of the tests, in microseconds since the Unix epoch.
const WALL_START: i64 = 1_790_000_000 * SECOND;

/// A moment of the monotonic clock.
fn at(micros: i64) -> Instant {
    Instant::from_micros(micros)
}

fn span(micros: i64) -> Duration {
    Duration::from_micros(micros)
}

/// A wall clock time.
fn wall(micros: i64) -> UnixTime {
    UnixTime::from_micros(micros)
}

fn map(value: &Value) -> Map<String, Value> {
    value.as_object().cloned().unwrap_or_default()
}

fn try_parse(body: &Value) -> Result<MemberListChange, MemberError> {
    parse_members(&map(&body["deliver"]), &map(&body["withdraw"]))
}

fn parse(body: Value) -> MemberListChange {
    try_parse(&body).unwrap()
}

fn trial(name: &str, key: &str, version: u64) -> Value {
    json!({"name": name, "key": key, "plan": "trial", "lapsesAt": 1790000100.5, "edition": version,
        "slowing": {"fullShare": 0.4, "spanS": 40, "steps": 4}})
}

fn members(list: &[Value]) -> Value {
    json!({"deliver": {"members": list}})
}

#[test]
fn errors_name_item_and_key() {
    let valid = json!({"deliver": {
        "members": [trial("a", "k1", 1), {"name": "b", "keys": ["k2", "k3"], "plan": "full", "edition": 2.0}],
        "membership": {"header": "Workshop-Key", "unknown": "refuse", "edition": 1}},
        "withdraw": {"members": [{"name": "old", "edition": 1}]}});
    assert_eq!(try_parse(&valid).map(|change| change.len()), Ok(4));
    let (a, b, m) = ("/deliver/members/0", "/deliver/members/1", "/deliver/membership");
    // Object and key changed in the valid call, the new value (null: the key is removed), and the item and key of the
    // error.
    let table = [
        (a, "name", json!(""), "members[0]", "name"),
        (a, "name", Value::Null, "members[0]", "name"),
        (a, "name", json!("b"), "b", "name"),
        (a, "key", Value::Null, "a", "key"),
        (a, "key", json!("a key"), "a", "key"),
        (a, "key", json!(7), "a", "key"),
        (a, "key", json!("k2"), "b", "keys"),
        (a, "keys", json!(["k4"]), "a", "keys"),
        (b, "keys", json!([]), "b", "keys"),
        (b, "keys", json!(["x", "x"]), "b", "keys"),
        (a, "plan", json!("Trial"), "a", "plan"),
        (a, "plan", json!("full"), "a", "lapsesAt"),
        (a, "plan", Value::Null, "a", "plan"),
        (a, "lapsesAt", Value::Null, "a", "lapsesAt"),
        (a, "lapsesAt", json!(0), "a", "lapsesAt"),
        (a, "lapsesAt", json!("soon"), "a", "lapsesAt"),
        (a, "lapsesAt", json!(1790000000000000u64), "a", "lapsesAt"),
        (a, "lapsesInS", json!(5), "a", "lapsesInS"),
        (b, "lapsesInS", json!(5), "b", "lapsesInS"),
        (a, "slowing", json!([]), "a", "slowing"),
        (a, "slowing", json!({"fullShare": 0.6}), "a", "fullShare"),
        (a, "slowing", json!({"fullShare": 0}), "a", "fullShare"),
        (a, "slowing", json!({"steps": 0}), "a", "steps"),
        (a, "slowing", json!({"steps": 1001}), "a", "steps"),
        (a, "slowing", json!({"spanS": 2, "steps": 3}), "a", "spanS"),
        (a, "edition", json!(1.5), "a", "edition"),
        (a, "edition", Value::Null, "a", "edition"),
        (m, "header", json!("Host"), "membership", "header"),
        (m, "header", json!("a b"), "membership", "header"),
        (m, "header", Value::Null, "membership", "header"),
        (m, "unknown", json!("drop"), "membership", "unknown"),
        (m, "edition", Value::Null, "membership", "edition"),
        ("/deliver", "members", json!({}), "deliver", "members"),
        ("/deliver", "members", json!([7]), "members[0]", "item"),
        ("/withdraw/members/0", "edition", Value::Null, "old", "edition"),
        ("/withdraw/members/0", "name", json!("a"), "a", "edition"),
    ];
    for (at, key, value, item, error_key) in table {
        let mut invalid = valid.clone();
        let map = invalid.pointer_mut(at).unwrap().as_object_mut().unwrap();
        if value.is_null() {
            map.remove(key);
        } else {
            map.insert(key.into(), value);
        }
        let error = try_parse(&invalid).expect_err(&invalid.to_string());
        assert_eq!((error.item.as_str(), error.key.as_str()), (item, error_key), "{error}");
        assert!(error.problem.to_string().contains('('), "{error}");
    }
}

#[test]
fn the_higher_version_wins_and_a_rejected_call_changes_nothing() {
    let mut list = MemberList::default();
    assert_eq!(list.to_json(), "");
    let mut with_unknown_field = trial("a", "k1", 5);
    with_unknown_field["allowance"] = json!({"reads": 100});
    assert_eq!(list.apply(&parse(members(&[with_unknown_field.clone(), trial("b", "k2", 5)]))), Ok(true));
    assert_eq!(list.apply(&parse(members(&[with_unknown_field.clone()]))), Ok(false));
    assert_eq!(list.apply(&parse(members(&[trial("a", "k9", 4)]))), Ok(false));
    let before = list.clone();
    assert!(list.apply(&parse(members(&[trial("a", "k9", 5)]))).unwrap_err().conflict);
    let shared_key = parse(members(&[trial("c", "k3", 1), trial("d", "k2", 1)]));
    assert!(!list.would_change(&shared_key).unwrap_err().conflict);
    assert!(list.apply(&shared_key).is_err());
    assert_eq!((&list, list.len()), (&before, 2));
    assert_eq!(list.raw_json("a"), Some(with_unknown_field.to_string().as_str()));
    // A key may move to another member within one call.
    assert_eq!(list.apply(&parse(members(&[trial("a", "k2", 6), trial("b", "k1", 6)]))), Ok(true));
    let withdrawal = parse(json!({"withdraw": {"members": [{"name": "a", "edition": 7}]}}));
    assert_eq!((list.apply(&withdrawal), list.apply(&withdrawal)), (Ok(true), Ok(false)));
    assert_eq!(list.apply(&parse(members(&[trial("a", "k2", 6)]))), Ok(false));
    assert_eq!(list.to_json(), format!("\"members\":[{}]", trial("b", "k1", 6)));
    let bytes = bitcode::encode(&list);
    assert_eq!(bitcode::decode::<MemberList>(&bytes).ok(), Some(list));
}

#[test]
fn a_request_identifies_one_member_or_none() {
    let mut list = MemberList::default();
    list.apply(&parse(members(&[trial("a", "k1", 1)]))).unwrap();
    assert_eq!(
        MemberIndex::new(&list).identify([&b"k1"[..]]),
        RequestIdentity::Anonymous,
        "no identification is configured"
    );
    for (unknown, version, other) in
        [("serve", 1, RequestIdentity::Anonymous), ("refuse", 2, RequestIdentity::Reject)]
    {
        let set = json!({"header": "Workshop-Key", "unknown": unknown, "edition": version});
        list.apply(&parse(json!({"deliver": {"membership": set}}))).unwrap();
        let index = MemberIndex::new(&list);
        assert_eq!(index.header(), Some("workshop-key"));
        assert_eq!(index.identify([&b" k1 "[..]]), RequestIdentity::Member(list.member("a").unwrap()));
        for values in [vec![], vec![&b"k2"[..]], vec![b"k1", b"k1"], vec![b"\xff"], vec![b"k1,k1"]] {
            assert_eq!(index.identify(values.clone()), other, "{values:?}");
        }
    }
}

#[test]
fn steps_only_rise_and_an_old_step_does_not_touch_a_renewal() {
    let mut state = LapseState::default();
    assert_eq!(member_of_lapse_key(&lapse_key("a/b")), Some("a/b"));
    assert!(state.apply(&LapseChange::Begin { version: 1 }).is_err(), "not renewed yet");
    assert!(state.apply(&LapseChange::Renew { version: 1, total_steps: 0 }).is_err());
    assert_eq!(state.apply(&LapseChange::Renew { version: 1, total_steps: 2 }), Ok(true));
    assert_eq!(state.apply(&LapseChange::Renew { version: 1, total_steps: 2 }), Ok(false));
    assert!(state.apply(&LapseChange::Step { version: 1, to: 1 }).is_err(), "not begun");
    assert_eq!(state.apply(&LapseChange::Due { version: 1, at: wall(5) }), Ok(true));
    assert!(state.apply(&LapseChange::Due { version: 1, at: wall(6) }).is_err());
    assert_eq!(state.apply(&LapseChange::Begin { version: 1 }), Ok(true));
    assert_eq!(state.apply(&LapseChange::Begin { version: 1 }), Ok(false));
    assert!(state.apply(&LapseChange::Step { version: 1, to: 2 }).is_err(), "a step is skipped");
    assert_eq!(state.apply(&LapseChange::Step { version: 1, to: 1 }), Ok(true));
    assert_eq!(state.apply(&LapseChange::Step { version: 1, to: 1 }), Ok(false));
    assert_eq!(state.apply(&LapseChange::Step { version: 1, to: 2 }), Ok(true));
    assert!(state.apply(&LapseChange::Step { version: 1, to: 3 }).is_err(), "above the last step");
    assert_eq!(state.apply(&LapseChange::Renew { version: 3, total_steps: 2 }), Ok(true));
    let renewed = state.clone();
    for old in [
        LapseChange::Step { version: 1, to: 2 },
        LapseChange::Begin { version: 1 },
        LapseChange::Renew { version: 2, total_steps: 9 },
    ] {
        assert_eq!(state.apply(&old), Ok(false));
    }
    assert_eq!((&state, state.step, state.begun, state.renewals), (&renewed, 0, false, 1));
}

fn reading(node: u32, now: i64, time: i64) -> PeerClockReading {
    PeerClockReading {
        node: Node(node),
        sent_at: at(now - 1_000),
        received_at: at(now),
        wall: wall(time),
        stepped: false,
    }
}

#[test]
fn a_time_of_day_is_trusted_only_if_two_clocks_agree() {
    let hour = 3_600 * SECOND;
    let mut clock = TrustedClock::new(ClockSettings::default(), false);
    assert!(!clock.observe_local(at(0), wall(WALL_START)));
    assert_eq!(clock.wall_time(at(0)), None, "no peer agrees");
    clock.observe_peer(reading(1, 0, WALL_START));
    assert_eq!(clock.wall_time(at(0)), Some(wall(WALL_START)));
    // It steps and one peer does not: no trusted time. Two peers that agree outvote it.
    assert!(clock.observe_local(at(SECOND), wall(WALL_START + SECOND + hour)));
    assert!(clock.stepped(at(SECOND)));
    clock.observe_peer(reading(1, SECOND, WALL_START + SECOND));
    assert_eq!(clock.wall_time(at(SECOND)), None);
    clock.observe_peer(reading(2, SECOND, WALL_START + SECOND + 400_000));
    assert!(clock
        .wall_time(at(SECOND))
        .is_some_and(|time| (time.as_micros() - WALL_START - SECOND).abs() < SECOND));
    // Agreement with a peer that also stepped does not count.
    let mut pair = TrustedClock::new(ClockSettings::default(), false);
    pair.observe_local(at(0), wall(WALL_START));
    pair.observe_local(at(SECOND), wall(WALL_START + SECOND + hour));
    pair.observe_peer(PeerClockReading { stepped: true, ..reading(1, SECOND, WALL_START + SECOND + hour) });
    assert_eq!(pair.wall_time(at(SECOND)), None);
    // Without peers a steady clock does not suffice after a step: first it must agree with peers again.
    for s in 2..2_000 {
        clock.observe_local(at(s * SECOND), wall(WALL_START + s * SECOND + hour));
    }
    assert_eq!(clock.wall_time(at(1_999 * SECOND)), None);
    // An answer with a long round trip is ignored.
    clock.observe_peer(PeerClockReading {
        sent_at: at(1_990 * SECOND),
        ..reading(1, 1_999 * SECOND, WALL_START + 1_999 * SECOND + hour)
    });
    assert_eq!(clock.wall_time(at(1_999 * SECOND)), None);
}

#[test]
fn a_single_node_waits_for_a_steady_clock() {
    let mut clock = TrustedClock::new(ClockSettings::default(), true);
    let mut has_time = |s: i64, error: i64| {
        clock.observe_local(at(s * SECOND), wall(WALL_START + s * SECOND + error));
        clock.wall_time(at(s * SECOND)).is_some()
    };
    assert_eq!((0..700).filter(|&s| has_time(s, 0)).min(), Some(600));
    assert!(!has_time(700, -3_600 * SECOND));
    // A series of small steps counts as a step.
    assert!((701..2_000).all(|s| !has_time(s, -3_600 * SECOND + (s - 700) * 900_000)));
}

fn member(lapse_time: LapseTime) -> Member {
    Member {
        name: "a".into(),
        keys: vec!["k1".into()],
        plan: Plan::Trial,
        lapse_time: Some(lapse_time),
        throttle: ThrottleSchedule { max_delay_ppm: 400_000, ramp: span(40 * SECOND), steps: 4 },
        version: 1,
    }
}

#[test]
fn the_lapse_timer_proposes_each_change_once_when_it_is_due() {
    let (mut timer, mut clock, mut state) =
        (LapseTimer::new(), TrustedClock::new(ClockSettings::default(), false), LapseState::default());
    let member = member(LapseTime::In(span(20 * SECOND)));
    let epoch = Epoch { round: 1, owner: 1 };
    let mut now = 0;
    let mut proposed = Vec::new();
    while let TimerDecision { proposal, next_deadline: Some(next_deadline), waiting_for } = {
        clock.observe_local(at(now), wall(WALL_START + now));
        clock.observe_peer(reading(1, now, WALL_START + now));
        timer.decide(at(now), "a", epoch, &state, Some(&member), &clock)
    } {
        assert_eq!(
            (timer.next_deadline(), waiting_for == WaitingFor::Commit),
            (Some(next_deadline), proposal.is_some())
        );
        match proposal {
            Some(change) => {
                let again = timer.decide(at(now + 1), "a", epoch, &state, Some(&member), &clock);
                assert_eq!(
                    (again.proposal, again.next_deadline),
                    (None, Some(next_deadline)),
                    "proposed once"
                );
                assert_eq!(state.apply(&change), Ok(true));
                proposed.push((now / SECOND, change));
            }
            None => {
                now = next_deadline.as_micros();
                assert_eq!(timer.due(at(now), 9), ["a"]);
            }
        }
    }
    let version = 1;
    let mut expected = vec![
        (0, LapseChange::Renew { version, total_steps: 4 }),
        (0, LapseChange::Due { version, at: wall(WALL_START + 20 * SECOND) }),
        (20, LapseChange::Begin { version }),
    ];
    expected.extend((1..=4).map(|to| (20 + 10 * i64::from(to), LapseChange::Step { version, to })));
    assert_eq!(proposed, expected);
    assert_eq!((timer.next_deadline(), timer.len()), (None, 1));
    timer.decide(at(now), "a", epoch, &state, None, &clock);
    assert!(timer.is_empty());
}

#[test]
fn a_member_whose_lapse_is_far_off_costs_the_control_store_nothing() {
    let (mut timer, mut clock) = (LapseTimer::new(), TrustedClock::new(ClockSettings::default(), false));
    clock.observe_local(at(0), wall(WALL_START));
    clock.observe_peer(reading(1, 0, WALL_START));
    let distant = member(LapseTime::At(wall(WALL_START + 86_400 * SECOND)));
    let decision = timer.decide(at(0), "a", Epoch::default(), &LapseState::default(), Some(&distant), &clock);
    assert_eq!((decision.proposal, decision.waiting_for), (None, WaitingFor::LapseTime));
}

#[test]
fn a_node_follows_the_newest_lapse_and_a_newer_item_renews_at_once() {
    let mut view = LapseView::new();
    let mut a = member(LapseTime::In(span(SECOND)));
    let stepped = |version, step| LapseState {
        version: Some(version),
        begun: true,
        step,
        total_steps: 4,
        ..LapseState::default()
    };
    assert_eq!(view.status(at(0), &a).age, None);
    assert!(view.observe(at(SECOND), "a", &stepped(1, 2)).is_some());
    assert!(view.observe(at(2 * SECOND), "a", &stepped(1, 1)).is_none(), "late copy");
    let status = view.status(at(3 * SECOND), &a);
    assert_eq!(
        (status.throttle_step, status.age),
        (ThrottleStep { step: 2, total_steps: 4 }, Some(span(2 * SECOND)))
    );
    assert_eq!(view.count_by_tenth([&a].into_iter())[5], 1);
    a.version = 2;
    assert_eq!(view.status(at(3 * SECOND), &a).throttle_step.step, 0);
    assert!(view.observe(at(4 * SECOND), "a", &stepped(3, 1)).is_some());
    assert_eq!(view.status(at(4 * SECOND), &a).throttle_step.step, 1, "the item is older than the lapse");
    a.plan = Plan::Full;
    assert_eq!(view.status(at(4 * SECOND), &a).throttle_step.step, 0);
}

#[test]
fn a_delay_is_bounded_and_evenly_distributed() {
    let a = member(LapseTime::In(span(SECOND)));
    let request = |remaining| ThrottleRequest {
        kind: RouteKind::Safe,
        stage: RequestStage::Head,
        id: b"x",
        latency_target: span(SECOND),
        remaining_deadline: span(remaining),
    };
    let half = ThrottleStep { step: 2, total_steps: 4 };
    // The delay is between a tenth and a fifth of the target, and its mean in the middle.
    let mut sum = 0;
    for id in 0..1_000u32 {
        let id = id.to_string();
        match decide_delay(&a, half, &ThrottleRequest { id: id.as_bytes(), ..request(4 * SECOND) }) {
            DelayDecision::Delay(wait) if (100_000..=200_000).contains(&wait.as_micros()) => {
                sum += wait.as_micros()
            }
            other => panic!("{other:?}"),
        }
    }
    assert!((145_000..155_000).contains(&(sum / 1_000)), "{sum}");
    assert_eq!(
        decide_delay(&a, ThrottleStep { step: 0, total_steps: 4 }, &request(SECOND)),
        DelayDecision::Forward
    );
    assert_eq!(
        decide_delay(&a, half, &request(200_000)),
        DelayDecision::Delay(span(100_000)),
        "limited to half of the remaining time"
    );
    assert_eq!(
        decide_delay(&a, half, &request(199_998)),
        DelayDecision::Reject { retry_after: span(200_000) }
    );
    for kind in [RouteKind::Unsafe, RouteKind::Upload] {
        let throttle = RequestThrottle::at_head(&a, half, kind, b"x", span(SECOND), span(1));
        assert_eq!((throttle.decision(), throttle.throttle_step()), (DelayDecision::Forward, half));
    }
    let huge =
        ThrottleRequest { latency_target: Duration::MAX, remaining_deadline: Duration::MAX, ..request(0) };
    assert!(matches!(decide_delay(&a, half, &huge), DelayDecision::Delay(wait) if wait <= Duration::MAX / 2));
}

/// Fixed delays: nodes of different builds must compute the same.
#[test]
fn the_delay_does_not_change_between_builds() {
    let a = member(LapseTime::In(span(SECOND)));
    let decisions = [b"9c41d07be2a35f68", b"0000000000000000"].map(|id| {
        RequestThrottle::at_head(
            &a,
            ThrottleStep { step: 3, total_steps: 4 },
            RouteKind::Safe,
            id,
            span(600_000),
            span(4 * SECOND),
        )
        .decision()
    });
    assert_eq!(decisions, [DelayDecision::Delay(span(114_815)), DelayDecision::Delay(span(111_749))]);
}

#[test]
fn requests_above_a_limit_are_not_delayed_and_a_stop_releases_all() {
    let mut queue = DelayQueue::new(3, 100);
    let late = queue.push(at(0), span(30), 40, "late").unwrap();
    queue.push(at(0), span(10), 40, "first").unwrap();
    assert_eq!(queue.push(at(0), span(5), 21, "too large"), Err("too large"));
    queue.push(at(0), span(10), 20, "second").unwrap();
    assert_eq!(queue.push(at(0), span(5), 0, "one more"), Err("one more"));
    assert_eq!(
        (queue.len(), queue.bytes(), queue.bypassed(), queue.next_deadline()),
        (3, 100, 2, Some(at(10)))
    );
    assert_eq!((queue.pop(at(9)), queue.pop(at(10))), (None, Some("first")));
    assert_eq!((queue.cancel(late), queue.cancel(late)), (Some("late"), None));
    assert_eq!(queue.release_all(), ["second"]);
    assert_eq!((queue.bytes(), queue.push(at(0), span(1), 1, "after")), (0, Err("after")));
    queue.reopen();
    assert!(queue.push(at(0), span(1), 1, "again").is_ok());
}
