//! What an operator may state beside the module's own figures.
mod common;
use common::*;
use silvercross_core::interface::*;

/// Requests that a cold upstream gets from all instances in five seconds, light and heavy ones in turn.
fn fed_cold(set: &Settings) -> usize {
    let mut sent = 0;
    for seed in 0..u64::from(set.instances) {
        let mut desk = Desk::seeded(set.clone(), &[0; 4], seed);
        let ask = |desk: &mut Desk| {
            let (id, hint) = (desk.next, if desk.next.is_multiple_of(2) { 2 * MS } else { 20 * MS });
            desk.next += 1;
            let out = desk.event(Event::Request(NewRequest { cost_hint: Some(hint), ..request(id, 0) }));
            desk.end(id, 0, Outcome::Served, hint);
            desk.now += 20 * MS;
            first_send(&out).expect("there is room for all")
        };
        (0..100).for_each(|_| assert!(ask(&mut desk) < 4));
        desk.list(ListKind::Patch, &[Entry { last_start: Some(desk.now), ..entry(4, 0) }]);
        sent += (0..250).filter(|_| ask(&mut desk) == 4).count();
    }
    sent
}

#[test]
fn a_stated_cold_rate_holds_for_all_instances_together() {
    let stated = Settings { instances: 10, cold_rate: Some(20.0), overload_window: 0, ..settings() };
    let sent = fed_cold(&stated);
    assert!((70..=110).contains(&sent), "{sent} in 5 s at 20 a second");
    // Where fewer may send, each has a larger part.
    let fewer = fed_cold(&Settings { cold_senders: 5, ..stated.clone() });
    assert!((140..=220).contains(&fewer), "{fewer} in 5 s at 20 a second and half the senders");
    assert!(
        fed_cold(&Settings { cold_rate: None, overload_window: 3 * S, ..stated }) > 220,
        "else the multiple"
    );
}

/// Second tries of as many requests, each answered with an error at first.
fn second_tries(set: Settings, requests: usize) -> usize {
    let mut desk = Desk::new(set, &[0; 8]);
    let mut again = 0;
    for _ in 0..requests {
        let id = desk.sent(0).0;
        desk.now += 20 * MS;
        if first_send(&desk.end(id, 0, Outcome::Reset, 20 * MS)).is_some() {
            again += 1;
            desk.end(id, 1, Outcome::Served, 20 * MS);
        }
        desk.spread(0, 3);
    }
    again
}

#[test]
fn stated_retry_figures_go_before_the_modules_own() {
    let stated = |share, cap| Settings { retry_ratio: share, max_saved_retries: cap, ..settings() };
    // 100 requests: half of the cap at the start, and a share of each.
    assert_eq!(second_tries(stated(None, None), 25), 4);
    assert_eq!(second_tries(stated(Some(0.25), None), 25), 25);
    assert_eq!(second_tries(stated(Some(0.0), Some(20.0)), 25), 10);
    assert_eq!(second_tries(stated(Some(0.25), Some(0.5)), 25), 0, "less than one can be saved up");
}

#[test]
fn no_more_upstreams_receive_a_request_than_its_class_says() {
    let stated = |sends, may_hedge| {
        let mut set = Settings { may_hedge, max_saved_retries: Some(20.0), ..settings() };
        set.classes[0].max_receivers = sends;
        let mut desk = Desk::new(set, &[0; 8]);
        desk.spread(0, 20);
        desk
    };
    // What ended unseen does not count; the cap on attempts bounds it all.
    for unseen in [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent] {
        let mut desk = stated(Some(1), true);
        let id = desk.sent(0).0;
        for attempt in 0..3 {
            assert!(first_send(&desk.end(id, attempt, unseen, MS)).is_some(), "{unseen:?} {attempt}");
        }
        assert!(first_send(&desk.end(id, 3, unseen, MS)).is_none());
    }
    for (sends, more) in [(None, true), (Some(2), true), (Some(1), false)] {
        // Received and failed, or still out at the first-answer limit.
        let mut desk = stated(sends, true);
        let id = desk.sent(0).0;
        assert_eq!(first_send(&desk.end(id, 0, Outcome::Error, MS)).is_some(), more, "{sends:?}");
        let mut desk = stated(sends, true);
        let id = desk.sent(0).0;
        desk.now += 450 * MS;
        assert_eq!(first_send(&desk.event(Event::Timer { token: id })).is_some(), more, "{sends:?}");
        // It is not given up at that limit where nobody else may have it.
        let cut = |a: &Action| matches!(a, Action::Send { limit: Some(_), .. });
        assert_eq!(stated(sends, false).ask(0).1.iter().any(cut), more, "{sends:?}");
    }
}

#[test]
fn a_toll_keeps_a_class_in_its_zone() {
    let crossed = |toll: f64| {
        let mut set = settings();
        set.classes[0].cross_zone_cost = toll;
        let mut desk = Desk::new(set, &[0, 1]);
        let mut crossed = 0;
        for _ in 0..300 {
            let (id, to) = desk.sent(0);
            // The own zone's answers take ten times as long.
            let took = if to == 0 { 200 * MS } else { 20 * MS };
            crossed += usize::from(to == 1);
            desk.now += took;
            desk.end(id, 0, Outcome::Served, took);
        }
        crossed
    };
    assert!(crossed(0.0) > 20, "for so much gain some cross");
    assert!(crossed(50.0) <= 2, "for this toll none does, but before anything was learnt");
}
