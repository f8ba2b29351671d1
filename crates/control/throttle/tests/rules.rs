//! Items, whose a request is, the lapse, the time of day, the delay and the queue, each stepped by hand.

use serde_json::{json, Map, Value};
use silvercross_control_store::{Epoch, Node, State};
use silvercross_throttle::{
    decide_delay, lapse_key, member_of_lapse_key, parse_members, ClockSettings, DelayDecision, DelayQueue,
    LapseChange, LapseState, LapseTime, LapseTimer, LapseView, Member, MemberError, MemberIndex, MemberList,
    MemberListChange, PeerClockReading, Plan, RequestIdentity, RequestStage, RequestThrottle, RouteKind,
    ThrottleRequest, ThrottleSchedule, ThrottleStep, TimerDecision, TrustedClock, UnixTime, WaitingFor,
};
use silvercross_time::{Duration, Instant};

const S: i64 = 1_000_000;
const DAY: i64 = 1_790_000_000 * S;

/// A moment of the monotonic clock, in microseconds.
fn at(micros: i64) -> Instant {
    Instant::from_micros(micros)
}

fn span(micros: i64) -> Duration {
    Duration::from_micros(micros)
}

/// A time of day, in microseconds.
fn wall(micros: i64) -> UnixTime {
    UnixTime::from_micros(micros)
}

fn map(value: &Value) -> Map<String, Value> {
    value.as_object().cloned().unwrap_or_default()
}

fn try_read(body: &Value) -> Result<MemberListChange, MemberError> {
    parse_members(&map(&body["deliver"]), &map(&body["withdraw"]))
}

fn sent(body: Value) -> MemberListChange {
    try_read(&body).unwrap()
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
    let good = json!({"deliver": {
        "members": [trial("a", "k1", 1), {"name": "b", "keys": ["k2", "k3"], "plan": "full", "edition": 2.0}],
        "membership": {"header": "Workshop-Key", "unknown": "refuse", "edition": 1}},
        "withdraw": {"members": [{"name": "old", "edition": 1}]}});
    assert_eq!(try_read(&good).map(|sent| sent.len()), Ok(4));
    let (a, b, m) = ("/deliver/members/0", "/deliver/members/1", "/deliver/membership");
    // Where the good call is changed, to what (nothing: the key is taken out), and what the error names.
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
    for (at, key, value, item, named) in table {
        let mut bad = good.clone();
        let map = bad.pointer_mut(at).unwrap().as_object_mut().unwrap();
        if value.is_null() {
            map.remove(key);
        } else {
            map.insert(key.into(), value);
        }
        let error = try_read(&bad).expect_err(&bad.to_string());
        assert_eq!((error.item.as_str(), error.key.as_str()), (item, named), "{error}");
        assert!(error.problem.to_string().contains('('), "{error}");
    }
}

#[test]
fn the_higher_version_wins_and_nothing_of_a_rejected_call() {
    let mut list = MemberList::default();
    assert_eq!(list.to_json(), "");
    let mut odd = trial("a", "k1", 5);
    odd["allowance"] = json!({"reads": 100});
    assert_eq!(list.apply(&sent(members(&[odd.clone(), trial("b", "k2", 5)]))), Ok(true));
    assert_eq!(list.apply(&sent(members(&[odd.clone()]))), Ok(false));
    assert_eq!(list.apply(&sent(members(&[trial("a", "k9", 4)]))), Ok(false));
    let before = list.clone();
    assert!(list.apply(&sent(members(&[trial("a", "k9", 5)]))).unwrap_err().conflict);
    let taken = sent(members(&[trial("c", "k3", 1), trial("d", "k2", 1)]));
    assert!(!list.would_change(&taken).unwrap_err().conflict);
    assert!(list.apply(&taken).is_err());
    assert_eq!((&list, list.len()), (&before, 2));
    assert_eq!(list.raw_json("a"), Some(odd.to_string().as_str()));
    // A key may move within one call.
    assert_eq!(list.apply(&sent(members(&[trial("a", "k2", 6), trial("b", "k1", 6)]))), Ok(true));
    let drop = sent(json!({"withdraw": {"members": [{"name": "a", "edition": 7}]}}));
    assert_eq!((list.apply(&drop), list.apply(&drop)), (Ok(true), Ok(false)));
    assert_eq!(list.apply(&sent(members(&[trial("a", "k2", 6)]))), Ok(false));
    assert_eq!(list.to_json(), format!("\"members\":[{}]", trial("b", "k1", 6)));
    let bytes = bitcode::encode(&list);
    assert_eq!(bitcode::decode::<MemberList>(&bytes).ok(), Some(list));
}

#[test]
fn a_request_names_one_member_or_none() {
    let mut list = MemberList::default();
    list.apply(&sent(members(&[trial("a", "k1", 1)]))).unwrap();
    assert_eq!(
        MemberIndex::new(&list).identify([&b"k1"[..]]),
        RequestIdentity::Anonymous,
        "no header is set"
    );
    for (unknown, version, other) in
        [("serve", 1, RequestIdentity::Anonymous), ("refuse", 2, RequestIdentity::Reject)]
    {
        let set = json!({"header": "Workshop-Key", "unknown": unknown, "edition": version});
        list.apply(&sent(json!({"deliver": {"membership": set}}))).unwrap();
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
    assert!(state.apply(&LapseChange::Step { version: 1, to: 2 }).is_err(), "one left out");
    assert_eq!(state.apply(&LapseChange::Step { version: 1, to: 1 }), Ok(true));
    assert_eq!(state.apply(&LapseChange::Step { version: 1, to: 1 }), Ok(false));
    assert_eq!(state.apply(&LapseChange::Step { version: 1, to: 2 }), Ok(true));
    assert!(state.apply(&LapseChange::Step { version: 1, to: 3 }).is_err(), "beyond the last");
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
    let hour = 3_600 * S;
    let mut clock = TrustedClock::new(ClockSettings::default(), false);
    assert!(!clock.observe_local(at(0), wall(DAY)));
    assert_eq!(clock.wall_time(at(0)), None, "nobody agrees");
    clock.observe_peer(reading(1, 0, DAY));
    assert_eq!(clock.wall_time(at(0)), Some(wall(DAY)));
    // It steps and one other does not follow: no time. Two others that agree outvote it.
    assert!(clock.observe_local(at(S), wall(DAY + S + hour)));
    assert!(clock.stepped(at(S)));
    clock.observe_peer(reading(1, S, DAY + S));
    assert_eq!(clock.wall_time(at(S)), None);
    clock.observe_peer(reading(2, S, DAY + S + 400_000));
    assert!(clock.wall_time(at(S)).is_some_and(|time| (time.as_micros() - DAY - S).abs() < S));
    // Another that stepped alike is no witness.
    let mut pair = TrustedClock::new(ClockSettings::default(), false);
    pair.observe_local(at(0), wall(DAY));
    pair.observe_local(at(S), wall(DAY + S + hour));
    pair.observe_peer(PeerClockReading { stepped: true, ..reading(1, S, DAY + S + hour) });
    assert_eq!(pair.wall_time(at(S)), None);
    // Alone afterwards, being steady is not enough: it is in doubt until others agree.
    for s in 2..2_000 {
        clock.observe_local(at(s * S), wall(DAY + s * S + hour));
    }
    assert_eq!(clock.wall_time(at(1_999 * S)), None);
    // A slow answer says nothing.
    clock.observe_peer(PeerClockReading {
        sent_at: at(1_990 * S),
        ..reading(1, 1_999 * S, DAY + 1_999 * S + hour)
    });
    assert_eq!(clock.wall_time(at(1_999 * S)), None);
}

#[test]
fn a_single_node_waits_for_a_steady_clock() {
    let mut clock = TrustedClock::new(ClockSettings::default(), true);
    let mut read = |s: i64, wrong: i64| {
        clock.observe_local(at(s * S), wall(DAY + s * S + wrong));
        clock.wall_time(at(s * S)).is_some()
    };
    assert_eq!((0..700).filter(|&s| read(s, 0)).min(), Some(600));
    assert!(!read(700, -3_600 * S));
    // Many small steps are a step.
    assert!((701..2_000).all(|s| !read(s, -3_600 * S + (s - 700) * 900_000)));
}

fn member(lapse_time: LapseTime) -> Member {
    Member {
        name: "a".into(),
        keys: vec!["k1".into()],
        plan: Plan::Trial,
        lapse_time: Some(lapse_time),
        throttle: ThrottleSchedule { max_delay_ppm: 400_000, ramp: span(40 * S), steps: 4 },
        version: 1,
    }
}

#[test]
fn the_lapse_timer_proposes_each_change_once_when_it_is_due() {
    let (mut timer, mut clock, mut state) =
        (LapseTimer::new(), TrustedClock::new(ClockSettings::default(), false), LapseState::default());
    let member = member(LapseTime::In(span(20 * S)));
    let epoch = Epoch { round: 1, owner: 1 };
    let mut now = 0;
    let mut asked = Vec::new();
    while let TimerDecision { proposal, next_deadline: Some(next_deadline), waiting_for } = {
        clock.observe_local(at(now), wall(DAY + now));
        clock.observe_peer(reading(1, now, DAY + now));
        timer.decide(at(now), "a", epoch, &state, Some(&member), &clock)
    } {
        assert_eq!(
            (timer.next_deadline(), waiting_for == WaitingFor::Commit),
            (Some(next_deadline), proposal.is_some())
        );
        match proposal {
            Some(change) => {
                let again = timer.decide(at(now + 1), "a", epoch, &state, Some(&member), &clock);
                assert_eq!((again.proposal, again.next_deadline), (None, Some(next_deadline)), "asked once");
                assert_eq!(state.apply(&change), Ok(true));
                asked.push((now / S, change));
            }
            None => {
                now = next_deadline.as_micros();
                assert_eq!(timer.due(at(now), 9), ["a"]);
            }
        }
    }
    let version = 1;
    let mut want = vec![
        (0, LapseChange::Renew { version, total_steps: 4 }),
        (0, LapseChange::Due { version, at: wall(DAY + 20 * S) }),
        (20, LapseChange::Begin { version }),
    ];
    want.extend((1..=4).map(|to| (20 + 10 * i64::from(to), LapseChange::Step { version, to })));
    assert_eq!(asked, want);
    assert_eq!((timer.next_deadline(), timer.len()), (None, 1));
    timer.decide(at(now), "a", epoch, &state, None, &clock);
    assert!(timer.is_empty());
}

#[test]
fn a_member_whose_lapse_is_far_off_costs_the_control_store_nothing() {
    let (mut timer, mut clock) = (LapseTimer::new(), TrustedClock::new(ClockSettings::default(), false));
    clock.observe_local(at(0), wall(DAY));
    clock.observe_peer(reading(1, 0, DAY));
    let far = member(LapseTime::At(wall(DAY + 86_400 * S)));
    let decision = timer.decide(at(0), "a", Epoch::default(), &LapseState::default(), Some(&far), &clock);
    assert_eq!((decision.proposal, decision.waiting_for), (None, WaitingFor::LapseTime));
}

#[test]
fn a_node_follows_what_is_newest_and_a_newer_item_renews_at_once() {
    let mut view = LapseView::new();
    let mut a = member(LapseTime::In(span(S)));
    let stepped = |version, step| LapseState {
        version: Some(version),
        begun: true,
        step,
        total_steps: 4,
        ..LapseState::default()
    };
    assert_eq!(view.status(at(0), &a).age, None);
    assert!(view.observe(at(S), "a", &stepped(1, 2)).is_some());
    assert!(view.observe(at(2 * S), "a", &stepped(1, 1)).is_none(), "late copy");
    let status = view.status(at(3 * S), &a);
    assert_eq!(
        (status.throttle_step, status.age),
        (ThrottleStep { step: 2, total_steps: 4 }, Some(span(2 * S)))
    );
    assert_eq!(view.count_by_tenth([&a].into_iter())[5], 1);
    a.version = 2;
    assert_eq!(view.status(at(3 * S), &a).throttle_step.step, 0);
    assert!(view.observe(at(4 * S), "a", &stepped(3, 1)).is_some());
    assert_eq!(view.status(at(4 * S), &a).throttle_step.step, 1, "the item lags");
    a.plan = Plan::Full;
    assert_eq!(view.status(at(4 * S), &a).throttle_step.step, 0);
}

#[test]
fn a_delay_is_bounded_and_evenly_drawn() {
    let a = member(LapseTime::In(span(S)));
    let asked = |left| ThrottleRequest {
        kind: RouteKind::Safe,
        stage: RequestStage::Head,
        id: b"x",
        latency_target: span(S),
        remaining_deadline: span(left),
    };
    let half = ThrottleStep { step: 2, total_steps: 4 };
    // A fifth of the target at most, and a tenth at least; the mean between them.
    let mut sum = 0;
    for id in 0..1_000u32 {
        let id = id.to_string();
        match decide_delay(&a, half, &ThrottleRequest { id: id.as_bytes(), ..asked(4 * S) }) {
            DelayDecision::Delay(wait) if (100_000..=200_000).contains(&wait.as_micros()) => {
                sum += wait.as_micros()
            }
            other => panic!("{other:?}"),
        }
    }
    assert!((145_000..155_000).contains(&(sum / 1_000)), "{sum}");
    assert_eq!(decide_delay(&a, ThrottleStep { step: 0, total_steps: 4 }, &asked(S)), DelayDecision::Forward);
    assert_eq!(
        decide_delay(&a, half, &asked(200_000)),
        DelayDecision::Delay(span(100_000)),
        "cut to half of what is left"
    );
    assert_eq!(decide_delay(&a, half, &asked(199_998)), DelayDecision::Reject { retry_after: span(200_000) });
    for kind in [RouteKind::Unsafe, RouteKind::Upload] {
        let throttle = RequestThrottle::at_head(&a, half, kind, b"x", span(S), span(1));
        assert_eq!((throttle.decision(), throttle.throttle_step()), (DelayDecision::Forward, half));
    }
    let huge =
        ThrottleRequest { latency_target: Duration::MAX, remaining_deadline: Duration::MAX, ..asked(0) };
    assert!(matches!(decide_delay(&a, half, &huge), DelayDecision::Delay(wait) if wait <= Duration::MAX / 2));
}

/// Waits fixed once: nodes of two builds must draw alike.
#[test]
fn the_draw_does_not_change_from_build_to_build() {
    let a = member(LapseTime::In(span(S)));
    let waiting_for = [b"9c41d07be2a35f68", b"0000000000000000"].map(|id| {
        RequestThrottle::at_head(
            &a,
            ThrottleStep { step: 3, total_steps: 4 },
            RouteKind::Safe,
            id,
            span(600_000),
            span(4 * S),
        )
        .decision()
    });
    assert_eq!(waiting_for, [DelayDecision::Delay(span(114_815)), DelayDecision::Delay(span(111_749))]);
}

#[test]
fn what_finds_no_room_goes_on_at_once_and_a_stop_releases_all() {
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
