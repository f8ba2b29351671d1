//! One test for each transition of the mechanism.
mod common;
use common::*;
use silvercross_core::interface::*;

/// Excluded after one transport failure: none of the next requests go there.
fn excluded(desk: &mut Desk, upstream: u32) -> bool {
    !desk.spread(0, 12).contains(&upstream)
}

/// A far aim, so that a second request goes where one is out already.
fn patient() -> Settings {
    let mut set = settings();
    set.classes.iter_mut().for_each(|c| (c.latency_target, c.deadline) = (100 * S, 200 * S));
    set
}

/// One failure, so long after the upstream's last answer that it stands for the upstream.
fn fail_once(desk: &mut Desk, upstream: u32) {
    let id = desk.until_sent_to(1, upstream);
    desk.now += 501 * MS;
    desk.end(id, 0, Outcome::Reset, MS);
}

#[test]
fn failures_amid_answers_exclude_nobody_and_three_in_a_row_do() {
    // Connections that broke one by one, at an upstream with dozens of answers a second, each took it out for 2 s.
    let mut desk = Desk::new(settings(), &[0, 0, 0]);
    desk.spread(0, 200);
    for outcome in [Outcome::Reset, Outcome::ConnectFailed, Outcome::Reset] {
        let ids = [desk.until_sent_to(1, 1), desk.until_sent_to(1, 1)];
        for id in ids {
            desk.now += MS;
            desk.end(id, 0, outcome, MS);
        }
        assert!(!excluded(&mut desk, 1), "answers came before and between");
    }
    let ids: Vec<_> = (0..3).map(|_| desk.until_sent_to(1, 1)).collect();
    for id in ids {
        desk.now += MS;
        desk.end(id, 0, Outcome::Reset, MS);
    }
    assert!(excluded(&mut desk, 1), "no answer between the three");
}

#[test]
fn a_number_given_to_another_upstream_brings_none_of_the_history() {
    let mut desk = Desk::new(settings(), &[0, 0, 0]);
    desk.spread(0, 400);
    fail_once(&mut desk, 1);
    assert!(excluded(&mut desk, 1));
    let gone = Entry { lifecycle: Lifecycle::Gone, ..entry(1, 0) };
    desk.list(ListKind::Patch, &[gone]);
    desk.list(ListKind::Patch, &[entry(1, 0)]);
    assert!(desk.spread(0, 60).contains(&1), "another one, of which nothing is known");
}

#[test]
fn unknown_upstreams_are_eligible_and_take_turns() {
    // Two at least share the turns from the start, all once there is traffic enough to know them.
    let mut desk = Desk::new(settings(), &[0, 0, 0]);
    desk.spread(0, 200);
    let met = desk.spread(0, 30);
    for u in 0..3 {
        assert_eq!(met.iter().filter(|m| **m == u).count(), 10, "even turns: {met:?}");
    }
}

#[test]
fn a_reset_a_failed_connection_and_our_own_late_first_answer_exclude() {
    for outcome in [Outcome::Reset, Outcome::ConnectFailed] {
        let mut desk = Desk::new(settings(), &[0, 0, 0]);
        let id = desk.until_sent_to(1, 1);
        desk.now += MS;
        desk.end(id, 0, outcome, MS);
        assert!(excluded(&mut desk, 1), "{outcome:?}");
    }
    let mut desk = Desk::new(settings(), &[0, 0, 0]);
    let id = desk.until_sent_to(1, 1);
    desk.now += 600 * MS;
    desk.event(Event::Timer { token: id });
    assert!(excluded(&mut desk, 1), "late first answer");
}

#[test]
fn errors_full_and_cancelled_do_not_exclude() {
    for outcome in [Outcome::Error, Outcome::Rejected, Outcome::Cancelled, Outcome::NotSent] {
        let mut desk = Desk::new(settings(), &[0, 0]);
        let id = desk.until_sent_to(1, 1);
        desk.now += MS;
        desk.end(id, 0, outcome, MS);
        // Passed over softly perhaps, but it still gets a turn in fifty at least, and without a scout.
        desk.now += 3 * S;
        assert!(desk.spread(1, 60).contains(&1), "{outcome:?}");
    }
}

#[test]
fn a_time_out_that_the_budget_cut_does_not_count() {
    let mut desk = Desk::new(settings(), &[0, 0, 0]);
    let id = desk.next;
    let mut r = request(id, 1);
    r.budget = 50 * MS;
    desk.next += 1;
    let to = first_send(&desk.event(Event::Request(r))).expect("sent");
    desk.now += 50 * MS;
    desk.end(id, 0, Outcome::TimedOut, 50 * MS);
    assert!(!excluded(&mut desk, to));
}

#[test]
fn a_sign_of_life_after_the_send_outweighs_a_late_answer() {
    let mut desk = Desk::new(patient(), &[0, 0, 0]);
    desk.spread(1, 600);
    let slow = desk.until_sent_to(1, 1);
    desk.now += 20 * S;
    let other = desk.until_sent_to(1, 1);
    desk.now += 10 * MS;
    desk.end(other, 0, Outcome::Served, 10 * MS);
    desk.now += 90 * S;
    desk.event(Event::Timer { token: slow });
    desk.leave(slow);
    desk.now += 20 * S;
    let scouts_only = excluded(&mut desk, 1);
    assert!(!scouts_only);
}

#[test]
fn expiry_admits_one_request_at_a_time_until_a_success() {
    let mut desk = Desk::new(settings(), &[0, 0, 0]);
    desk.spread(0, 600);
    fail_once(&mut desk, 1);
    desk.now += 2_100 * MS;
    let scout = desk.until_sent_to(0, 1);
    assert!(excluded(&mut desk, 1), "a second one while the scout is out");
    desk.end(scout, 0, Outcome::Served, 20 * MS);
    assert!(!excluded(&mut desk, 1), "success restores at once");
}

#[test]
fn the_cooldown_doubles_and_failures_within_it_are_ignored() {
    let mut desk = Desk::new(patient(), &[0, 0, 0]);
    for class in [0, 1] {
        desk.spread(class, 600);
    }
    // Two out together: the second failure comes within the cooldown and must not double it.
    let a = desk.until_sent_to(1, 1);
    let b = desk.until_sent_to(1, 1);
    desk.now += 501 * MS;
    desk.end(a, 0, Outcome::Reset, MS);
    desk.now += MS;
    desk.end(b, 0, Outcome::Reset, MS);
    desk.now += 2_100 * MS;
    let scout = desk.until_sent_to(0, 1);
    desk.now += MS;
    desk.end(scout, 0, Outcome::Reset, MS);
    desk.now += 2_500 * MS;
    assert!(excluded(&mut desk, 1), "the second cooldown is longer than the first");
    desk.now += 1_800 * MS;
    assert!(!excluded(&mut desk, 1), "and twice as long, no more");
}

#[test]
fn a_request_that_cannot_be_repeated_is_no_scout_while_others_are_well() {
    let mut desk = Desk::new(settings(), &[0, 0, 0]);
    desk.spread(0, 600);
    fail_once(&mut desk, 1);
    desk.now += 3 * S;
    assert!(!desk.spread(1, 12).contains(&1));
    assert!(desk.spread(0, 12).contains(&1));
}

/// Fail upstream 1 through its scouts until it has had `n` failures; the length of the cooldown after it.
fn last_cooldown(elsewhere: bool, n: u32) -> Micros {
    let mut desk = Desk::new(settings(), &[0, 0, 0]);
    desk.spread(0, 600);
    fail_once(&mut desk, 1);
    for _ in 1..n {
        let mut scout = None;
        while scout.is_none() {
            desk.now += 20 * MS;
            let (id, to) = desk.sent(0);
            match to {
                1 => scout = Some(id),
                _ if elsewhere => drop(desk.end(id, 0, Outcome::Served, MS)),
                // Nobody answers: the client leaves.
                _ => desk.leave(id),
            }
        }
        let scout = scout.expect("a scout");
        desk.event(Event::RequestGone { request: RequestId(scout) });
        desk.end(scout, 0, Outcome::Reset, MS);
    }
    let from = desk.now;
    for _ in 0..2_000 {
        desk.now += 20 * MS;
        let (id, to) = desk.sent(0);
        if to == 1 {
            return desk.now - from;
        }
        desk.leave(id);
    }
    desk.now - from
}

#[test]
fn a_balancer_of_little_traffic_waits_longer_before_it_scouts() {
    // Hundreds of scouts at short cooldowns hold a server down; each counts its cooldown in own requests.
    let back_after = |pause: Micros| {
        let mut desk = Desk::new(settings(), &[0, 0, 0]);
        for _ in 0..200 {
            desk.now += pause;
            desk.serve(0);
        }
        fail_once(&mut desk, 1);
        let from = desk.now;
        (0..2_000).find(|_| {
            desk.now += 20 * MS;
            let (id, to) = desk.sent(0);
            desk.leave(id);
            to == 1
        });
        desk.now - from
    };
    let (busy, idle) = (back_after(0), back_after(480 * MS));
    assert!(busy < 4 * S, "{busy}");
    assert!((12 * S..30 * S).contains(&idle), "{idle}");
}

#[test]
fn dead_needs_successes_elsewhere() {
    let dead = last_cooldown(true, 5);
    assert!(dead > 25 * S, "corroborated: the long cooldown, not {dead}");
    let offline = last_cooldown(false, 5);
    assert!(offline < 25 * S, "not corroborated: an ordinary cooldown, not {offline}");
}

#[test]
fn dead_needs_the_failures_and_the_streak() {
    assert!(last_cooldown(true, 3) < 10 * S);
}

#[test]
fn when_all_fail_at_two_or_more_it_blames_itself_and_the_first_success_clears() {
    let mut desk = Desk::new(settings(), &[0, 0, 0, 0]);
    // Traffic enough for all four to be in the window.
    desk.spread(1, 300);
    desk.now += 3 * S;
    for _ in 0..4 {
        let (id, _) = desk.sent(1);
        desk.now += MS;
        desk.end(id, 0, Outcome::Reset, MS);
    }
    // The first failure counted before the fault could be known for our own; the rest did not.
    desk.now += 10 * MS;
    let (id, to) = desk.sent(1);
    desk.end(id, 0, Outcome::Served, MS);
    let mut met = desk.spread(1, 12);
    met.sort_unstable();
    met.dedup();
    assert_eq!(met, [0, 1, 2, 3], "exclusions cleared after the success at {to}");
    // Grace: a failure now does not exclude.
    fail_once(&mut desk, 2);
    assert!(!excluded(&mut desk, 2));
}

#[test]
fn with_none_eligible_the_nearest_expiry_goes_first() {
    let mut desk = Desk::new(settings(), &[0, 0]);
    desk.spread(0, 4);
    fail_once(&mut desk, 1);
    desk.now += 500 * MS;
    fail_once(&mut desk, 0);
    let (_, to) = desk.sent(0);
    assert_eq!(to, 1, "its cooldown ends first");
}

#[test]
fn own_zone_first_and_others_when_fewer_than_half_are_eligible() {
    let mut desk = Desk::new(settings(), &[0, 0, 0, 1, 1]);
    assert!(desk.spread(0, 12).iter().all(|u| *u < 3));
    fail_once(&mut desk, 0);
    assert!(desk.spread(0, 9).iter().all(|u| *u < 3), "two of three are still more than half");
    fail_once(&mut desk, 1);
    assert!(desk.spread(0, 9).iter().any(|u| *u >= 3));
}

#[test]
fn a_new_start_is_unknown_again() {
    let mut desk = Desk::new(settings(), &[0, 0, 0]);
    desk.spread(0, 6);
    fail_once(&mut desk, 1);
    let started = Entry { last_start: Some(desk.now - 60 * S), ..entry(1, 0) };
    desk.list(ListKind::Patch, &[started]);
    assert!(!excluded(&mut desk, 1));
}
