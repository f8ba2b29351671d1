//! Regression tests: one for each failure found on the bench; docs/incidents/ has the postmortems.
mod common;
use common::*;
use silvercross_core::interface::*;

fn retry_after_of(out: &[Action]) -> Option<Micros> {
    out.iter().find_map(|a| match a {
        Action::Refuse { retry_after, .. } => *retry_after,
        _ => None,
    })
}

/// Makes every upstream look congested: `n` responses to a class that took `elapsed` each.
fn congest(rig: &mut TestRig, class: u32, n: usize, elapsed: Micros) {
    let mut out = Vec::new();
    for _ in 0..n {
        let (id, actions) = rig.submit(class);
        if first_send(&actions).is_some() {
            out.push(id);
        }
        if out.len() >= 4 {
            rig.now += elapsed / 8;
            let id = out.remove(0);
            rig.end(id, 0, Outcome::Served, elapsed);
        }
    }
    for id in out {
        rig.end(id, 0, Outcome::Served, elapsed);
    }
}

#[test]
fn hedged_attempts_stay_within_the_retry_budget() {
    // Hedging each late request would keep congested upstreams congested.
    let mut rig = TestRig::new(settings(), &[0; 8]);
    rig.serve_many(0, 20);
    let ids: Vec<_> =
        (0..40).filter_map(|_| Some(rig.submit(0)).filter(|a| first_send(&a.1).is_some())).collect();
    assert!(ids.len() >= 20, "too few were sent: {}", ids.len());
    rig.now += 450 * MS;
    let hedged =
        ids.iter().filter(|(id, _)| first_send(&rig.event(Event::Timer { token: *id })).is_some()).count();
    assert!((1..=6).contains(&hedged), "{hedged} hedged of {}", ids.len());
}

#[test]
fn an_attempt_that_never_ran_is_free_and_goes_elsewhere() {
    let mut rig = TestRig::new(settings(), &[0; 4]);
    let (id, to) = rig.send(1);
    let out = rig.end(id, 0, Outcome::ConnectFailed, MS);
    let next = first_send(&out).expect("sent again, as it was not executed");
    assert_ne!(next, to);
}

#[test]
fn once_is_neither_sent_again_nor_refused_when_it_may_have_run() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::TimedOut, Outcome::Cancelled] {
        let mut rig = TestRig::new(settings(), &[0; 4]);
        let (id, _) = rig.send(1);
        let out = rig.end(id, 0, outcome, MS);
        assert!(first_send(&out).is_none() && !refused(&out) && failed(&out), "{outcome:?}: {out:?}");
    }
}

#[test]
fn retry_after_is_short_only_while_the_latency_target_can_be_met() {
    // A retry may reach another instance, which uses other upstreams: it has to come in time for its target of 0.5 s. With the
    // longest advice, the clients of a pool never retried in time.
    let mut near = TestRig::new(settings(), &[]);
    let soon = retry_after_of(&near.submit(0).1).expect("advice");
    assert!((50 * MS..400 * MS).contains(&soon), "{soon}");
    let mut idle = TestRig::new(settings(), &[0; 4]);
    idle.serve_many(0, 40);
    let lost = idle.event(Event::Request(NewRequest { budget: S, ..request(900, 0) }));
    assert_eq!(retry_after_of(&lost), Some(2 * S), "past its latency target: the longest wait");
    let mut long_target = settings();
    long_target.classes[0].latency_target = 3 * S;
    let mut far = TestRig::new(long_target, &[]);
    assert_eq!(retry_after_of(&far.submit(0).1), Some(S), "a queue clears in about a second");
    let silent = Settings { max_retry_after: None, ..settings() };
    assert_eq!(retry_after_of(&TestRig::new(silent, &[]).submit(0).1), None);
}

#[test]
fn a_client_retry_past_its_latency_target_is_refused() {
    let mut rig = TestRig::new(settings(), &[0; 4]);
    rig.serve_many(0, 40);
    let _pending = rig.send(0);
    // First tries have a budget of 2 s; this one has 1 s left, so its target of 0.5 s has passed.
    let id = rig.next_id;
    rig.next_id += 1;
    let late = NewRequest { budget: S, ..request(id, 0) };
    assert!(refused(&rig.event(Event::Request(late))));
    // Also with nothing else in flight: a response past the target has no value here.
    let mut idle = TestRig::new(settings(), &[0; 4]);
    idle.serve_many(0, 40);
    assert!(refused(&idle.event(Event::Request(NewRequest { budget: S, ..request(900, 0) }))));
}

#[test]
fn congestion_refuses_also_where_this_instance_has_nothing_in_flight() {
    // With many upstreams an instance has nothing in flight at most of them, however congested they are.
    let mut rig = TestRig::new(settings(), &[0; 30]);
    congest(&mut rig, 0, 200, 2 * S);
    let (_, first) = rig.submit(0);
    let refusals = (0..20).filter(|_| refused(&rig.submit(0).1)).count();
    assert!(refusals >= 15, "{refusals} of 20 refused after {first:?}");
}

#[test]
fn old_evidence_of_congestion_decays() {
    // Refused requests yield no samples, so the estimate that they rest on has to decay.
    let mut rig = TestRig::new(settings(), &[0; 30]);
    rig.serve_many(0, 400);
    congest(&mut rig, 0, 100, 2 * S);
    let _pending = rig.submit(0);
    assert!(refused(&rig.submit(0).1), "congested now");
    rig.now += 12 * S;
    let sent = (0..20).filter(|_| first_send(&rig.submit(0).1).is_some()).count();
    assert!(sent >= 15, "{sent} of 20 sent after a pause");
}

/// Of eight requests of a cheap class and eight of one with eight times its value, how many are sent under congestion.
fn sent_when_congested(total_value_weight: f64, answers_take: Micros) -> (usize, usize) {
    let mut set = Settings { total_value_weight, ..settings() };
    set.classes[0].value = 8.0;
    let mut rig = TestRig::new(set, &[0; 6]);
    for _ in 0..40 {
        rig.serve_many(0, 1);
        rig.serve_many(2, 1);
    }
    for _ in 0..40 {
        congest(&mut rig, 0, 4, answers_take);
        congest(&mut rig, 2, 4, answers_take);
    }
    let _pending = rig.submit(0);
    let mut count = |class| (0..8).filter(|_| first_send(&rig.submit(class).1).is_some()).count();
    (count(2), count(0))
}

#[test]
fn lowest_value_per_work_is_refused_first() {
    let (cheap, valuable) = sent_when_congested(1.0, 420 * MS);
    assert!(valuable > cheap, "{valuable} of the valuable class sent, {cheap} of the cheap one");
}

#[test]
fn where_the_worst_served_class_counts_value_orders_refusals_less() {
    // Otherwise the cheap class takes nearly all refusals, and the objective counts the worst-served class.
    let ((by_value, _), (alike, _)) =
        (sent_when_congested(1.0, 300 * MS), sent_when_congested(0.0, 300 * MS));
    assert!(alike > by_value, "of the cheap class {alike} and {by_value} were sent");
}

#[test]
fn a_light_request_that_waits_does_not_make_its_upstream_look_slow() {
    // Light requests queue as long as heavy ones; unweighted, their ratio would refuse everything.
    let mut rig = TestRig::new(settings(), &[0; 4]);
    let hinted = |rig: &mut TestRig, hint: Micros, elapsed: Micros| {
        let id = rig.next_id;
        rig.next_id += 1;
        let new = NewRequest { cost_hint: Some(hint), ..request(id, 0) };
        let out = rig.event(Event::Request(new));
        if first_send(&out).is_some() {
            rig.now += 20 * MS;
            rig.end(id, 0, Outcome::Served, elapsed);
        }
        refused(&out)
    };
    for _ in 0..60 {
        hinted(&mut rig, 2 * MS, 60 * MS);
        hinted(&mut rig, 100 * MS, 160 * MS);
    }
    let _pending = rig.send(0);
    let refusals = (0..10).filter(|_| hinted(&mut rig, 50 * MS, 100 * MS)).count();
    assert_eq!(refusals, 0);
}

#[test]
fn the_first_answer_limit_leaves_ordinary_answers_alone() {
    // Without hedging, too low a limit cuts off attempts that would respond in time.
    let single = Settings { may_hedge: false, ..settings() };
    let mut rig = TestRig::new(single, &[0; 4]);
    for _ in 0..60 {
        let (id, _) = rig.send(0);
        rig.now += 30 * MS;
        rig.end(id, 0, Outcome::Served, 100 * MS);
    }
    let (_, out) = rig.submit(0);
    let limit = out.iter().find_map(|a| match a {
        Action::Send { limit, .. } => Some(limit.unwrap_or(2 * S)),
        _ => None,
    });
    assert!(limit >= Some(400 * MS), "{limit:?} with a typical 100 ms and a target of 500 ms");
}

#[test]
fn small_differences_do_not_stop_the_rotation() {
    let mut rig = TestRig::new(settings(), &[0; 4]);
    let took = |to: u32| 50 * MS + Micros::from(to) * MS;
    let mut chosen = [0; 4];
    for n in 0..400 {
        let (id, to) = rig.send(0);
        // The window grows as the request rate is learnt, over 6 s.
        chosen[to as usize] += i32::from(n >= 200);
        rig.now += 30 * MS;
        rig.end(id, 0, Outcome::Served, took(to));
    }
    assert!(chosen.iter().all(|n| (40..=60).contains(n)), "uneven rotation: {chosen:?}");
}

#[test]
fn a_slow_upstream_is_passed_over_but_still_sampled() {
    let mut rig = TestRig::new(settings(), &[0; 4]);
    let mut chosen = [0; 4];
    for _ in 0..600 {
        let (id, to) = rig.send(0);
        chosen[to as usize] += 1;
        rig.now += 30 * MS;
        rig.end(id, 0, Outcome::Served, if to == 2 { 400 * MS } else { 40 * MS });
    }
    assert!(chosen[2] >= 1 && chosen[2] < 60, "{chosen:?}");
    assert!(chosen[0] > 150, "{chosen:?}");
}

#[test]
fn a_fast_failing_upstream_is_passed_over_but_never_excluded() {
    let mut rig = TestRig::new(settings(), &[0; 4]);
    let mut chosen = [0; 4];
    for _ in 0..600 {
        let (id, to) = rig.send(1);
        chosen[to as usize] += 1;
        rig.now += 30 * MS;
        let outcome = if to == 2 { Outcome::Error } else { Outcome::Served };
        rig.end(id, 0, outcome, if to == 2 { MS } else { 40 * MS });
    }
    assert!(chosen[2] >= 2 && chosen[2] < 60, "{chosen:?}");
}

#[test]
fn a_congested_zone_spills_when_the_gain_exceeds_the_cost() {
    let spread = |price: f64| {
        let mut set = settings();
        set.prices.cross_zone = price;
        let mut rig = TestRig::new(set, &[0, 0, 1, 1]);
        let mut away = 0;
        for _ in 0..300 {
            let (id, out) = rig.submit(0);
            let Some(to) = first_send(&out) else { continue };
            away += (to >= 2) as u32;
            rig.now += 20 * MS;
            rig.end(id, 0, Outcome::Served, if to < 2 { 200 * MS } else { 50 * MS });
        }
        away
    };
    assert!(spread(0.03) > 50, "cheap: {}", spread(0.03));
    assert_eq!(spread(5.0), 0, "the cost exceeds any time saved");
}

#[test]
fn responses_far_quicker_than_expected_relax_admission() {
    // Upstreams that process many requests at once respond in a fraction of what a queue would take. With too high a
    // lower bound of the margin, requests would be refused that are served well within the target.
    let mut rig = TestRig::new(settings(), &[0, 0]);
    rig.serve_many(0, 100);
    for _ in 0..30 {
        let ids: Vec<_> = (0..20).map(|_| rig.send(0).0).collect();
        rig.now += 20 * MS;
        ids.into_iter().for_each(|id| drop(rig.end(id, 0, Outcome::Served, 20 * MS)));
    }
    let refused = (0..160).filter(|_| refused(&rig.submit(0).1)).count();
    assert_eq!(refused, 0, "80 at each upstream");
}

#[test]
fn list_calls_are_spread_and_back_off() {
    // Calls of a hundred instances would keep a small service down; a few need not wait long.
    let few = |rig: &mut TestRig| (0..9).map(|_| rig.list(ListKind::Broken, &[])).last();
    let mut two = TestRig::new(Settings { instances: 2, ..settings() }, &[0]);
    let [Action::Timer { after, .. }] = few(&mut two).expect("a list event")[..] else {
        panic!("expected a single timer")
    };
    assert!(after <= 3 * S, "{after}");
    let mut rig = TestRig::new(Settings { instances: 100, ..settings() }, &[0]);
    let timer = |out: &[Action]| match out {
        [Action::Timer { after, token }] => (*after, *token),
        other => panic!("expected a single timer, not {other:?}"),
    };
    let (_, token) = timer(&rig.list(ListKind::StaleCopy, &[entry(0, 0)]));
    assert_eq!(rig.event(Event::Timer { token }), [Action::Subscribe(true)]);
    assert_eq!(rig.event(Event::Timer { token }), [], "one call at a time");
    let mut last = 0;
    for k in 0..4 {
        let (after, token) = timer(&rig.list(ListKind::Broken, &[]));
        assert!(after >= (S << k) / 2, "try {k} after {after}");
        last = after;
        assert_eq!(rig.event(Event::Timer { token }), [Action::Subscribe(true)]);
    }
    assert!(last <= 12 * S);
    // A new list service is called at once, and the backoff starts anew.
    assert_eq!(rig.list(ListKind::Moved, &[]), [Action::Subscribe(true)]);
    assert!(rig.event(Event::Timer { token }).is_empty(), "the old timer starts no second call");
    let (after, token) = timer(&rig.list(ListKind::Broken, &[]));
    assert!((500 * MS..=1500 * MS).contains(&after), "{after}");
    assert_eq!(rig.event(Event::Timer { token }), [Action::Subscribe(true)]);
    rig.list(ListKind::Patch, &[]);
    assert_eq!(rig.event(Event::Timer { token }), [], "subscribed: no further call");
}

/// How many upstreams serve `n` requests that come `pause` apart.
fn distinct_upstreams(rig: &mut TestRig, n: usize, pause: Micros) -> usize {
    let mut chosen: Vec<_> = (0..n)
        .map(|_| {
            rig.now += pause;
            rig.serve(0)
        })
        .collect();
    chosen.sort_unstable();
    chosen.dedup();
    chosen.len()
}

#[test]
fn little_traffic_goes_round_a_window_and_much_round_the_zone() {
    // At two requests per second an instance has current estimates of a few upstreams, but not of thirty.
    let mut few = TestRig::new(settings(), &[0; 30]);
    assert!((2..=4).contains(&distinct_upstreams(&mut few, 60, 480 * MS)));
    // Fifteen per second: over all thirty, each sample would be 2 s old, and outdated by other instances' requests.
    let mut some = TestRig::new(settings(), &[0; 30]);
    assert!((3..=8).contains(&distinct_upstreams(&mut some, 300, 47 * MS)));
    let (mut many, mut seen) = (TestRig::new(settings(), &[0; 30]), [false; 30]);
    for _ in 0..1000 {
        let (id, to) = many.send(0);
        seen[to as usize] = true;
        many.now += 4 * MS;
        many.end(id, 0, Outcome::Served, 20 * MS);
    }
    assert_eq!(seen, [true; 30]);
}

#[test]
fn one_that_answers_late_leaves_the_window_and_another_comes_in() {
    let mut rig = TestRig::new(settings(), &[0; 30]);
    distinct_upstreams(&mut rig, 40, 480 * MS);
    let (id, bad) = rig.send(0);
    rig.now += 450 * MS;
    rig.end(id, 0, Outcome::Served, 450 * MS);
    // After one late response it is still within the slack of a few ms; the next one puts it out.
    loop {
        let (id, to) = rig.send(0);
        let took = if to == bad { 450 } else { 20 } * MS;
        rig.now += 480 * MS;
        rig.end(id, 0, Outcome::Served, took);
        if to == bad {
            break;
        }
    }
    // The slowdown decays over 10 s at most, so it still counts over half of that.
    let again = (0..10).filter(|_| {
        rig.now += 480 * MS;
        rig.serve(0) == bad
    });
    assert!(again.count() <= 2);
}

#[test]
fn hundreds_of_instances_do_not_flood_a_cold_upstream() {
    // Each instance's share of the cold budget is under one request: together they may send few, not one each.
    let mut set = settings();
    set.instances = 300;
    let mut sent = 0;
    for seed in 0..300 {
        let mut rig = TestRig::seeded(set.clone(), &[0; 6], seed);
        distinct_upstreams(&mut rig, 12, 480 * MS);
        let cold = Entry { last_start: Some(rig.now), ..entry(3, 0) };
        rig.list(ListKind::Patch, &[cold]);
        for _ in 0..6 {
            rig.now += 480 * MS;
            sent += usize::from(rig.serve(0) == 3);
        }
    }
    // 300 instances send 600 requests per second to six upstreams, 100 each: three seconds at the initial capacity
    // and the multiple of three allow 270.
    assert!(sent <= 270, "{sent} sent");
    assert!(sent >= 10, "the cold upstream is used: {sent}");
}

#[test]
fn quiet_instances_feed_a_cold_upstream_light_and_heavy_requests_alike() {
    // If a request's work had to be saved up in advance, the cap on savings would starve heavy requests, and the cold
    // upstream would stay idle.
    let mut set = settings();
    (set.instances, set.initial_capacity) = (100, 0.2);
    let (mut work, mut warm) = ([0.0; 20], 0.0);
    for seed in 0..100 {
        let mut rig = TestRig::seeded(set.clone(), &[0; 6], seed);
        let ask = |rig: &mut TestRig| {
            let (id, hint) = (rig.next_id, [1, 2, 4, 8, 16, 32, 64, 128][rig.next_id as usize * 5 % 8] * MS);
            rig.next_id += 1;
            let out = rig.event(Event::Request(NewRequest { cost_hint: Some(hint), ..request(id, 0) }));
            let to = first_send(&out).expect("every request is sent");
            rig.end(id, 0, Outcome::Served, hint);
            rig.now += 200 * MS;
            (to, hint as f64)
        };
        for _ in 0..60 {
            warm += ask(&mut rig).1;
        }
        let cold = Entry { last_start: Some(rig.now), ..entry(6, 0) };
        rig.list(ListKind::Patch, &[cold]);
        for step in &mut work {
            let (to, hint) = ask(&mut rig);
            *step += if to == 6 { hint } else { 0.0 };
        }
    }
    // Served in 12 s by six; in a window of 3 s, 15 steps here, the cold one may get the multiple of its cold share.
    let usual = warm / 6.0 / 12.0 * 3.0;
    let (span, got) = (15, work.iter().sum::<f64>());
    let most = work.windows(span).map(|w| w.iter().sum::<f64>()).fold(0.0, f64::max);
    let allowed = set.overload_multiple * (0.2 + 0.8 * 4.0 * S as f64 / set.warm_up_time as f64) * usual;
    assert!(most <= allowed, "{most:.0} in a span, {allowed:.0} allowed");
    assert!(got >= 0.3 * set.overload_multiple * 0.2 * usual, "{got:.0} of {usual:.0} that a warm one gets");
}

#[test]
fn where_all_is_cold_a_heavy_request_is_still_sent() {
    let mut rig = TestRig::new(Settings { warm_up_time: 90 * S, ..settings() }, &[0; 4]);
    let cold: Vec<_> = (0..4).map(|i| Entry { last_start: Some(rig.now), ..entry(i, 0) }).collect();
    rig.list(ListKind::Snapshot, &cold);
    let mut sent = |id: u64, hint: Micros| {
        rig.now += S;
        let out = rig.event(Event::Request(NewRequest { cost_hint: Some(hint), ..request(id, 0) }));
        let placed = first_send(&out).is_some();
        placed.then(|| rig.end(id, 0, Outcome::Served, hint)).is_some()
    };
    assert!((0..20).filter(|id| sent(*id, 10 * MS)).count() > 3, "light ones set the typical work");
    let placed = (20..25).any(|id| sent(id, 3 * S));
    assert!(placed, "refused for its work while every upstream is cold");
}

#[test]
fn time_outs_at_the_clients_limit_make_a_zone_look_congested() {
    // In a collapse only fast responses arrive: without the time-outs every upstream would look healthy.
    let mut rig = TestRig::new(settings(), &[0; 6]);
    rig.serve_many(0, 60);
    let mut refusals = 0;
    for _ in 0..60 {
        let id = rig.next_id;
        rig.next_id += 1;
        let out = rig.event(Event::Request(NewRequest { budget: 450 * MS, ..request(id, 0) }));
        refusals += usize::from(refused(&out));
        rig.now += 450 * MS;
        if first_send(&out).is_some() {
            rig.end(id, 0, Outcome::TimedOut, 450 * MS);
        }
    }
    assert!(refusals >= 10, "{refusals} of 60 refused");
}

#[test]
fn with_nothing_in_flight_a_class_is_not_locked_out() {
    // After slow responses no request is admitted, so no sample could correct the estimate.
    let mut rig = TestRig::new(settings(), &[0; 6]);
    congest(&mut rig, 0, 300, 3 * S);
    let sent = (0..600).find(|_| {
        rig.now += 100 * MS;
        first_send(&rig.submit(0).1).is_some()
    });
    assert!(sent.is_some());
}

#[test]
fn full_queues_make_a_zone_look_congested() {
    // In a burst queues fill before responses get slow; errors are no sign of full queues.
    let refusals = |outcome| {
        let mut rig = TestRig::new(settings(), &[0; 6]);
        rig.serve_many(0, 60);
        let _pending = rig.send(0);
        let mut refusals = 0;
        for _ in 0..60 {
            let (id, out) = rig.submit(0);
            refusals += usize::from(refused(&out));
            rig.now += 20 * MS;
            let mut last = out;
            for k in 0.. {
                if first_send(&last).is_none() {
                    break;
                }
                last = rig.end(id, k, outcome, MS);
            }
        }
        refusals
    };
    assert!(refusals(Outcome::Rejected) >= 10, "{}", refusals(Outcome::Rejected));
    assert_eq!(refusals(Outcome::Error), 0);
}

#[test]
fn a_key_goes_to_one_upstream_at_every_instance_until_that_is_slow() {
    // If each instance spread a key over all upstreams, none would see it often enough to have it cached.
    let affine = Settings { key_affinity: true, ..settings() };
    let upstream_of = |rig: &mut TestRig, key: u64| {
        let r = NewRequest { key: Some(key), ..request(rig.next_id, 0) };
        rig.next_id += 1;
        let to = first_send(&rig.event(Event::Request(r))).expect("sent");
        rig.now += 5 * MS;
        rig.end(r.id.0, 0, Outcome::Served, 5 * MS);
        to
    };
    // Two instances with different histories.
    let (mut one, mut other) = (TestRig::new(affine.clone(), &[0; 12]), TestRig::new(affine, &[0; 12]));
    other.serve_many(0, 37);
    let upstreams: Vec<_> = (0..60).map(|key| upstream_of(&mut one, key)).collect();
    assert_eq!(upstreams, (0..60).map(|key| upstream_of(&mut other, key)).collect::<Vec<_>>());
    assert!((0..12).all(|u| upstreams.contains(&u)), "keys are spread over all upstreams: {upstreams:?}");
    // Without key affinity the rotation applies.
    let mut plain = TestRig::new(settings(), &[0; 12]);
    let rotation: std::collections::HashSet<_> = (0..6).map(|_| upstream_of(&mut plain, 7)).collect();
    assert!(rotation.len() > 1, "{rotation:?}");
    // A key's upstream is skipped while it is slow.
    let first = upstream_of(&mut one, 7);
    for _ in 0..8 {
        let r = NewRequest { key: Some(7), ..request(one.next_id, 0) };
        one.next_id += 1;
        let to = first_send(&one.event(Event::Request(r))).expect("sent");
        let took = if to == first { 300 * MS } else { 5 * MS };
        one.now += took;
        one.end(r.id.0, 0, Outcome::Served, took);
    }
    assert_ne!(upstream_of(&mut one, 7), first);
}
