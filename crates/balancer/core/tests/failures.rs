//! One small test for each failure found on the bench's days; docs/incidents/ has their stories.
mod common;
use common::*;
use silvercross_core::interface::*;

fn advice(out: &[Action]) -> Option<Micros> {
    out.iter().find_map(|a| match a {
        Action::Refuse { retry_after, .. } => *retry_after,
        _ => None,
    })
}

/// Make every upstream look crowded: `n` answers of a class that took `elapsed` each.
fn crowd(desk: &mut Desk, class: u32, n: usize, elapsed: Micros) {
    let mut out = Vec::new();
    for _ in 0..n {
        let (id, actions) = desk.ask(class);
        if first_send(&actions).is_some() {
            out.push(id);
        }
        if out.len() >= 4 {
            desk.now += elapsed / 8;
            let id = out.remove(0);
            desk.end(id, 0, Outcome::Served, elapsed);
        }
    }
    for id in out {
        desk.end(id, 0, Outcome::Served, elapsed);
    }
}

#[test]
fn second_copies_stay_within_the_retry_budget() {
    // Crowded upstreams answer late; a copy of each late request would crowd them for good.
    let mut desk = Desk::new(settings(), &[0; 8]);
    desk.spread(0, 20);
    let ids: Vec<_> =
        (0..40).filter_map(|_| Some(desk.ask(0)).filter(|a| first_send(&a.1).is_some())).collect();
    assert!(ids.len() >= 20, "enough were sent: {}", ids.len());
    desk.now += 450 * MS;
    let copies =
        ids.iter().filter(|(id, _)| first_send(&desk.event(Event::Timer { token: *id })).is_some()).count();
    assert!((1..=6).contains(&copies), "{copies} copies of {}", ids.len());
}

#[test]
fn a_try_that_never_ran_is_free_and_goes_elsewhere() {
    let mut desk = Desk::new(settings(), &[0; 4]);
    let (id, to) = desk.sent(1);
    let out = desk.end(id, 0, Outcome::ConnectFailed, MS);
    let next = first_send(&out).expect("sent again, as it never ran");
    assert_ne!(next, to);
}

#[test]
fn once_is_neither_sent_again_nor_refused_when_it_may_have_run() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::TimedOut, Outcome::Cancelled] {
        let mut desk = Desk::new(settings(), &[0; 4]);
        let (id, _) = desk.sent(1);
        let out = desk.end(id, 0, outcome, MS);
        assert!(first_send(&out).is_none() && !refused(&out) && failed(&out), "{outcome:?}: {out:?}");
    }
}

#[test]
fn advice_brings_clients_back_only_while_the_aim_can_be_met() {
    // The next try may reach another sidecar, which goes round other upstreams: it should come in time for its aim of
    // 0.5 s. Told to stay away longest, clients of a pool never came back in time.
    let mut near = Desk::new(settings(), &[]);
    let soon = advice(&near.ask(0).1).expect("advice");
    assert!((50 * MS..400 * MS).contains(&soon), "{soon}");
    let mut idle = Desk::new(settings(), &[0; 4]);
    idle.spread(0, 40);
    let lost = idle.event(Event::Request(NewRequest { budget: S, ..request(900, 0) }));
    assert_eq!(advice(&lost), Some(2 * S), "its aim has passed: stay away for the longest");
    let mut patient = settings();
    patient.classes[0].latency_target = 3 * S;
    let mut far = Desk::new(patient, &[]);
    assert_eq!(advice(&far.ask(0).1), Some(S), "a queue clears in about a second");
    let silent = Settings { max_retry_after: None, ..settings() };
    assert_eq!(advice(&Desk::new(silent, &[]).ask(0).1), None);
}

#[test]
fn a_repeat_whose_aim_has_passed_makes_room_for_others() {
    let mut desk = Desk::new(settings(), &[0; 4]);
    desk.spread(0, 40);
    let _out = desk.sent(0);
    // First tries bring 2 s; this one has 1 s left of them, so its aim of 0.5 s has passed.
    let id = desk.next;
    desk.next += 1;
    let late = NewRequest { budget: S, ..request(id, 0) };
    assert!(refused(&desk.event(Event::Request(late))));
    // Also where nothing else is out: an answer past the aim is worth nothing here.
    let mut idle = Desk::new(settings(), &[0; 4]);
    idle.spread(0, 40);
    assert!(refused(&idle.event(Event::Request(NewRequest { budget: S, ..request(900, 0) }))));
}

#[test]
fn crowding_refuses_also_where_this_sidecar_has_nothing_out() {
    // In a wide fleet one sidecar has nothing out at most upstreams, however crowded they are.
    let mut desk = Desk::new(settings(), &[0; 30]);
    crowd(&mut desk, 0, 200, 2 * S);
    let (_, first) = desk.ask(0);
    let refusals = (0..20).filter(|_| refused(&desk.ask(0).1)).count();
    assert!(refusals >= 15, "{refusals} of 20 refused after {first:?}");
}

#[test]
fn old_evidence_of_crowding_fades() {
    // Refusals bring no answers; what they rest on must not outlive the crowd.
    let mut desk = Desk::new(settings(), &[0; 30]);
    desk.spread(0, 400);
    crowd(&mut desk, 0, 100, 2 * S);
    let _held = desk.ask(0);
    assert!(refused(&desk.ask(0).1), "crowded now");
    desk.now += 12 * S;
    let sent = (0..20).filter(|_| first_send(&desk.ask(0).1).is_some()).count();
    assert!(sent >= 15, "{sent} of 20 sent after a rest");
}

/// Of eight requests each of a cheap class and of one worth eight times as much, how many are sent into a crowd.
fn sent_into_a_crowd(total_value_weight: f64, answers_take: Micros) -> (usize, usize) {
    let mut set = Settings { total_value_weight, ..settings() };
    set.classes[0].value = 8.0;
    let mut desk = Desk::new(set, &[0; 6]);
    for _ in 0..40 {
        desk.spread(0, 1);
        desk.spread(2, 1);
    }
    for _ in 0..40 {
        crowd(&mut desk, 0, 4, answers_take);
        crowd(&mut desk, 2, 4, answers_take);
    }
    let _out = desk.ask(0);
    let mut count = |class| (0..8).filter(|_| first_send(&desk.ask(class).1).is_some()).count();
    (count(2), count(0))
}

#[test]
fn least_worth_per_work_is_refused_first() {
    let (cheap, dear) = sent_into_a_crowd(1.0, 420 * MS);
    assert!(dear > cheap, "{dear} of the dear class sent, {cheap} of the cheap one");
}

#[test]
fn where_the_worst_served_class_counts_worth_orders_refusals_less() {
    // The cheap class took nearly all refusals, and the result counts the class that is served worst.
    let ((by_worth, _), (alike, _)) = (sent_into_a_crowd(1.0, 300 * MS), sent_into_a_crowd(0.0, 300 * MS));
    assert!(alike > by_worth, "of the cheap class {alike} and {by_worth} sent");
}

#[test]
fn a_light_request_that_waits_does_not_make_its_upstream_look_slow() {
    // With hints, light requests wait as long as heavy ones. Their ratio alone would refuse all.
    let mut desk = Desk::new(settings(), &[0; 4]);
    let hinted = |desk: &mut Desk, hint: Micros, elapsed: Micros| {
        let id = desk.next;
        desk.next += 1;
        let new = NewRequest { cost_hint: Some(hint), ..request(id, 0) };
        let out = desk.event(Event::Request(new));
        if first_send(&out).is_some() {
            desk.now += 20 * MS;
            desk.end(id, 0, Outcome::Served, elapsed);
        }
        refused(&out)
    };
    for _ in 0..60 {
        hinted(&mut desk, 2 * MS, 60 * MS);
        hinted(&mut desk, 100 * MS, 160 * MS);
    }
    let _out = desk.sent(0);
    let refusals = (0..10).filter(|_| hinted(&mut desk, 50 * MS, 100 * MS)).count();
    assert_eq!(refusals, 0);
}

#[test]
fn the_first_answer_limit_leaves_ordinary_answers_alone() {
    // Where no second copy may go out, a limit below the aim cuts off attempts that would have been in time.
    let single = Settings { may_hedge: false, ..settings() };
    let mut desk = Desk::new(single, &[0; 4]);
    for _ in 0..60 {
        let (id, _) = desk.sent(0);
        desk.now += 30 * MS;
        desk.end(id, 0, Outcome::Served, 100 * MS);
    }
    let (_, out) = desk.ask(0);
    let limit = out.iter().find_map(|a| match a {
        Action::Send { limit, .. } => Some(limit.unwrap_or(2 * S)),
        _ => None,
    });
    assert!(limit >= Some(400 * MS), "{limit:?} with a usual 100 ms and an aim of 500 ms");
}

#[test]
fn small_differences_do_not_stop_the_rotation() {
    let mut desk = Desk::new(settings(), &[0; 4]);
    let took = |to: u32| 50 * MS + Micros::from(to) * MS;
    let mut met = [0; 4];
    for n in 0..400 {
        let (id, to) = desk.sent(0);
        // The window opens as the rate of requests is learnt, over 6 s.
        met[to as usize] += i32::from(n >= 200);
        desk.now += 30 * MS;
        desk.end(id, 0, Outcome::Served, took(to));
    }
    assert!(met.iter().all(|n| (40..=60).contains(n)), "even turns: {met:?}");
}

#[test]
fn a_slow_upstream_is_passed_over_but_still_sampled() {
    let mut desk = Desk::new(settings(), &[0; 4]);
    let mut met = [0; 4];
    for _ in 0..600 {
        let (id, to) = desk.sent(0);
        met[to as usize] += 1;
        desk.now += 30 * MS;
        desk.end(id, 0, Outcome::Served, if to == 2 { 400 * MS } else { 40 * MS });
    }
    assert!(met[2] >= 1 && met[2] < 60, "{met:?}");
    assert!(met[0] > 150, "{met:?}");
}

#[test]
fn a_fast_failing_upstream_is_passed_over_but_never_excluded() {
    let mut desk = Desk::new(settings(), &[0; 4]);
    let mut met = [0; 4];
    for _ in 0..600 {
        let (id, to) = desk.sent(1);
        met[to as usize] += 1;
        desk.now += 30 * MS;
        let outcome = if to == 2 { Outcome::Error } else { Outcome::Served };
        desk.end(id, 0, outcome, if to == 2 { MS } else { 40 * MS });
    }
    assert!(met[2] >= 2 && met[2] < 60, "{met:?}");
}

#[test]
fn a_crowded_zone_spills_when_the_wait_is_worth_the_price() {
    let spread = |price: f64| {
        let mut set = settings();
        set.prices.cross_zone = price;
        let mut desk = Desk::new(set, &[0, 0, 1, 1]);
        let mut away = 0;
        for _ in 0..300 {
            let (id, out) = desk.ask(0);
            let Some(to) = first_send(&out) else { continue };
            away += (to >= 2) as u32;
            desk.now += 20 * MS;
            desk.end(id, 0, Outcome::Served, if to < 2 { 200 * MS } else { 50 * MS });
        }
        away
    };
    assert!(spread(0.03) > 50, "cheap: {}", spread(0.03));
    assert_eq!(spread(5.0), 0, "dearer than any wait saved");
}

#[test]
fn answers_far_quicker_than_expected_lower_the_bar() {
    // Upstreams that work on many at once answer in a fraction of what a queue of them would take. While the spread
    // was held at 0.7 or more, a third of the requests were refused though answers came in a third of the aim.
    let mut desk = Desk::new(settings(), &[0, 0]);
    desk.spread(0, 100);
    for _ in 0..30 {
        let ids: Vec<_> = (0..20).map(|_| desk.sent(0).0).collect();
        desk.now += 20 * MS;
        ids.into_iter().for_each(|id| drop(desk.end(id, 0, Outcome::Served, 20 * MS)));
    }
    let refused = (0..160).filter(|_| refused(&desk.ask(0).1)).count();
    assert_eq!(refused, 0, "80 at each upstream");
}

#[test]
fn list_calls_are_spread_and_back_off() {
    // A hundred would hold a small service down; a few need not wait long for one that is back.
    let few = |desk: &mut Desk| (0..9).map(|_| desk.list(ListKind::Broken, &[])).last();
    let mut two = Desk::new(Settings { instances: 2, ..settings() }, &[0]);
    let [Action::Timer { after, .. }] = few(&mut two).expect("asked")[..] else { panic!("a timer alone") };
    assert!(after <= 3 * S, "{after}");
    let mut desk = Desk::new(Settings { instances: 100, ..settings() }, &[0]);
    let timer = |out: &[Action]| match out {
        [Action::Timer { after, token }] => (*after, *token),
        other => panic!("a timer alone, not {other:?}"),
    };
    let (_, token) = timer(&desk.list(ListKind::StaleCopy, &[entry(0, 0)]));
    assert_eq!(desk.event(Event::Timer { token }), [Action::Subscribe(true)]);
    assert_eq!(desk.event(Event::Timer { token }), [], "one call at a time");
    let mut last = 0;
    for k in 0..4 {
        let (after, token) = timer(&desk.list(ListKind::Broken, &[]));
        assert!(after >= (S << k) / 2, "try {k} after {after}");
        last = after;
        assert_eq!(desk.event(Event::Timer { token }), [Action::Subscribe(true)]);
    }
    assert!(last <= 12 * S);
    // Another service owes nothing to what the last one did: asked at once, and the backing off begins anew.
    assert_eq!(desk.list(ListKind::Moved, &[]), [Action::Subscribe(true)]);
    assert!(desk.event(Event::Timer { token }).is_empty(), "the old wait asks no second time");
    let (after, token) = timer(&desk.list(ListKind::Broken, &[]));
    assert!((500 * MS..=1500 * MS).contains(&after), "{after}");
    assert_eq!(desk.event(Event::Timer { token }), [Action::Subscribe(true)]);
    desk.list(ListKind::Patch, &[]);
    assert_eq!(desk.event(Event::Timer { token }), [], "subscribed: no further call");
}

/// How many upstreams meet `n` requests that come `pause` apart.
fn met(desk: &mut Desk, n: usize, pause: Micros) -> usize {
    let mut met: Vec<_> = (0..n)
        .map(|_| {
            desk.now += pause;
            desk.serve(0)
        })
        .collect();
    met.sort_unstable();
    met.dedup();
    met.len()
}

#[test]
fn little_traffic_goes_round_a_window_and_much_round_the_zone() {
    // A sidecar that meets each of thirty once a minute knows none of them; of a few it knows the bad ones.
    let mut few = Desk::new(settings(), &[0; 30]);
    assert!((2..=4).contains(&met(&mut few, 60, 480 * MS)));
    // Fifteen a second: round all thirty, each is known by an answer 2 s old, which a hundred others have outdated.
    let mut some = Desk::new(settings(), &[0; 30]);
    assert!((3..=8).contains(&met(&mut some, 300, 47 * MS)));
    let (mut many, mut seen) = (Desk::new(settings(), &[0; 30]), [false; 30]);
    for _ in 0..1000 {
        let (id, to) = many.sent(0);
        seen[to as usize] = true;
        many.now += 4 * MS;
        many.end(id, 0, Outcome::Served, 20 * MS);
    }
    assert_eq!(seen, [true; 30]);
}

#[test]
fn one_that_answers_late_leaves_the_window_and_another_comes_in() {
    let mut desk = Desk::new(settings(), &[0; 30]);
    met(&mut desk, 40, 480 * MS);
    let (id, bad) = desk.sent(0);
    desk.now += 450 * MS;
    desk.end(id, 0, Outcome::Served, 450 * MS);
    // One late answer leaves it within the slack of a few ms; the next one tells.
    loop {
        let (id, to) = desk.sent(0);
        let took = if to == bad { 450 } else { 20 } * MS;
        desk.now += 480 * MS;
        desk.end(id, 0, Outcome::Served, took);
        if to == bad {
            break;
        }
    }
    // Evidence of one answer is held for 10 s at the most, so for the half of it.
    let again = (0..10).filter(|_| {
        desk.now += 480 * MS;
        desk.serve(0) == bad
    });
    assert!(again.count() <= 2);
}

#[test]
fn hundreds_do_not_rush_to_a_cold_upstream() {
    // Each one's part of the cold budget is under one request: in sum they may send few, not one each.
    let mut set = settings();
    set.instances = 300;
    let mut sent = 0;
    for seed in 0..300 {
        let mut desk = Desk::seeded(set.clone(), &[0; 6], seed);
        met(&mut desk, 12, 480 * MS);
        let cold = Entry { last_start: Some(desk.now), ..entry(3, 0) };
        desk.list(ListKind::Patch, &[cold]);
        for _ in 0..6 {
            desk.now += 480 * MS;
            sent += usize::from(desk.serve(0) == 3);
        }
    }
    // 300 balancers serve 600 requests a second on six: 100 each; three seconds at the least share and the
    // multiple of three allow 270.
    assert!(sent <= 270, "{sent} sent");
    assert!(sent >= 10, "the cold one is taken up: {sent}");
}

#[test]
fn quiet_sidecars_feed_a_cold_upstream_light_and_heavy_requests_alike() {
    // A hundred sidecars of a few requests a second, some light and some heavy. A budget that had to be saved up
    // whole, and was cut back at each light request, let next to no work through: the cold stayed idle, and so cold.
    let mut set = settings();
    (set.instances, set.initial_capacity) = (100, 0.2);
    let (mut work, mut warm) = ([0.0; 20], 0.0);
    for seed in 0..100 {
        let mut desk = Desk::seeded(set.clone(), &[0; 6], seed);
        let ask = |desk: &mut Desk| {
            let (id, hint) = (desk.next, [1, 2, 4, 8, 16, 32, 64, 128][desk.next as usize * 5 % 8] * MS);
            desk.next += 1;
            let out = desk.event(Event::Request(NewRequest { cost_hint: Some(hint), ..request(id, 0) }));
            let to = first_send(&out).expect("there is room for all");
            desk.end(id, 0, Outcome::Served, hint);
            desk.now += 200 * MS;
            (to, hint as f64)
        };
        for _ in 0..60 {
            warm += ask(&mut desk).1;
        }
        let cold = Entry { last_start: Some(desk.now), ..entry(6, 0) };
        desk.list(ListKind::Patch, &[cold]);
        for step in &mut work {
            let (to, hint) = ask(&mut desk);
            *step += if to == 6 { hint } else { 0.0 };
        }
    }
    // Served in 12 s by six; in a span of 3 s, 15 steps here, the cold one may get the multiple of its least share.
    let usual = warm / 6.0 / 12.0 * 3.0;
    let (span, got) = (15, work.iter().sum::<f64>());
    let most = work.windows(span).map(|w| w.iter().sum::<f64>()).fold(0.0, f64::max);
    let allowed = set.overload_multiple * (0.2 + 0.8 * 4.0 * S as f64 / set.warm_up_time as f64) * usual;
    assert!(most <= allowed, "{most:.0} in a span, {allowed:.0} allowed");
    assert!(got >= 0.3 * set.overload_multiple * 0.2 * usual, "{got:.0} of {usual:.0} that a warm one gets");
}

#[test]
fn where_all_is_cold_a_heavy_request_still_has_a_place() {
    let mut desk = Desk::new(Settings { warm_up_time: 90 * S, ..settings() }, &[0; 4]);
    let cold: Vec<_> = (0..4).map(|i| Entry { last_start: Some(desk.now), ..entry(i, 0) }).collect();
    desk.list(ListKind::Snapshot, &cold);
    let mut sent = |id: u64, hint: Micros| {
        desk.now += S;
        let out = desk.event(Event::Request(NewRequest { cost_hint: Some(hint), ..request(id, 0) }));
        let placed = first_send(&out).is_some();
        placed.then(|| desk.end(id, 0, Outcome::Served, hint)).is_some()
    };
    assert!((0..20).filter(|id| sent(*id, 10 * MS)).count() > 3, "light ones tell what is usual");
    let placed = (20..25).any(|id| sent(id, 3 * S));
    assert!(placed, "refused for its weight as long as the fleet is cold");
}

#[test]
fn time_outs_at_the_clients_limit_make_a_zone_look_crowded() {
    // In a collapse only the fast answers come: without the time-outs all would look well.
    let mut desk = Desk::new(settings(), &[0; 6]);
    desk.spread(0, 60);
    let mut refusals = 0;
    for _ in 0..60 {
        let id = desk.next;
        desk.next += 1;
        let out = desk.event(Event::Request(NewRequest { budget: 450 * MS, ..request(id, 0) }));
        refusals += usize::from(refused(&out));
        desk.now += 450 * MS;
        if first_send(&out).is_some() {
            desk.end(id, 0, Outcome::TimedOut, 450 * MS);
        }
    }
    assert!(refusals >= 10, "{refusals} of 60 refused");
}

#[test]
fn with_nothing_out_a_class_is_not_barred_for_good() {
    // Answers were slow, then no request is let in and so none tells that it is well again.
    let mut desk = Desk::new(settings(), &[0; 6]);
    crowd(&mut desk, 0, 300, 3 * S);
    let sent = (0..600).find(|_| {
        desk.now += 100 * MS;
        first_send(&desk.ask(0).1).is_some()
    });
    assert!(sent.is_some());
}

#[test]
fn full_queues_make_a_zone_look_crowded() {
    // In a burst queues fill before answers come late; errors say nothing of the kind.
    let refusals = |outcome| {
        let mut desk = Desk::new(settings(), &[0; 6]);
        desk.spread(0, 60);
        let _held = desk.sent(0);
        let mut refusals = 0;
        for _ in 0..60 {
            let (id, out) = desk.ask(0);
            refusals += usize::from(refused(&out));
            desk.now += 20 * MS;
            let mut last = out;
            for k in 0.. {
                if first_send(&last).is_none() {
                    break;
                }
                last = desk.end(id, k, outcome, MS);
            }
        }
        refusals
    };
    assert!(refusals(Outcome::Rejected) >= 10, "{}", refusals(Outcome::Rejected));
    assert_eq!(refusals(Outcome::Error), 0);
}

#[test]
fn a_subject_goes_to_one_upstream_at_every_sidecar_until_that_is_late() {
    // A pool of sidecars that each go round the fleet bring an upstream the same subject so seldom that nothing is warm.
    let warm = Settings { key_affinity: true, ..settings() };
    let home = |desk: &mut Desk, key: u64| {
        let r = NewRequest { key: Some(key), ..request(desk.next, 0) };
        desk.next += 1;
        let to = first_send(&desk.event(Event::Request(r))).expect("sent");
        desk.now += 5 * MS;
        desk.end(r.id.0, 0, Outcome::Served, 5 * MS);
        to
    };
    // Two sidecars with seeds and histories of their own.
    let (mut one, mut other) = (Desk::new(warm.clone(), &[0; 12]), Desk::new(warm, &[0; 12]));
    other.spread(0, 37);
    let homes: Vec<_> = (0..60).map(|key| home(&mut one, key)).collect();
    assert_eq!(homes, (0..60).map(|key| home(&mut other, key)).collect::<Vec<_>>());
    assert!((0..12).all(|u| homes.contains(&u)), "subjects are spread over the fleet: {homes:?}");
    // Without warm subjects the turns go on.
    let mut plain = Desk::new(settings(), &[0; 12]);
    let turns: std::collections::HashSet<_> = (0..6).map(|_| home(&mut plain, 7)).collect();
    assert!(turns.len() > 1, "{turns:?}");
    // A home that is late is passed over.
    let first = home(&mut one, 7);
    for _ in 0..8 {
        let r = NewRequest { key: Some(7), ..request(one.next, 0) };
        one.next += 1;
        let to = first_send(&one.event(Event::Request(r))).expect("sent");
        let took = if to == first { 300 * MS } else { 5 * MS };
        one.now += took;
        one.end(r.id.0, 0, Outcome::Served, took);
    }
    assert_ne!(home(&mut one, 7), first);
}
