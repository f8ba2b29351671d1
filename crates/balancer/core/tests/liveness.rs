//! Exclusion and readmission of upstreams: one test for each transition.
mod common;
use common::*;
use silvercross_core::interface::*;

/// Whether none of the next requests goes to an upstream.
fn excluded(rig: &mut TestRig, upstream: u32) -> bool {
    !rig.serve_many(0, 12).contains(&upstream)
}

/// Latency targets so long that a second request is sent where one is in flight already.
fn long_targets() -> Settings {
    let mut set = settings();
    set.classes.iter_mut().for_each(|c| (c.latency_target, c.deadline) = (100 * S, 200 * S));
    set
}

/// One failure, late enough after the upstream's last response to count.
fn fail_once(rig: &mut TestRig, upstream: u32) {
    let id = rig.until_sent_to(1, upstream);
    rig.now += 501 * MS;
    rig.end(id, 0, Outcome::Reset, MS);
}

#[test]
fn failures_amid_answers_exclude_nobody_and_three_in_a_row_do() {
    // Single broken connections must not exclude an upstream that responds to other requests. Each once excluded an upstream with
    // dozens of responses per second for 2 s.
    let mut rig = TestRig::new(settings(), &[0, 0, 0]);
    rig.serve_many(0, 200);
    for outcome in [Outcome::Reset, Outcome::ConnectFailed, Outcome::Reset] {
        let ids = [rig.until_sent_to(1, 1), rig.until_sent_to(1, 1)];
        for id in ids {
            rig.now += MS;
            rig.end(id, 0, outcome, MS);
        }
        assert!(!excluded(&mut rig, 1), "responses came before and between the failures");
    }
    let ids: Vec<_> = (0..3).map(|_| rig.until_sent_to(1, 1)).collect();
    for id in ids {
        rig.now += MS;
        rig.end(id, 0, Outcome::Reset, MS);
    }
    assert!(excluded(&mut rig, 1), "no response between the three failures");
}

#[test]
fn a_reused_upstream_number_carries_no_history() {
    let mut rig = TestRig::new(settings(), &[0, 0, 0]);
    rig.serve_many(0, 400);
    fail_once(&mut rig, 1);
    assert!(excluded(&mut rig, 1));
    let gone = Entry { lifecycle: Lifecycle::Gone, ..entry(1, 0) };
    rig.list(ListKind::Patch, &[gone]);
    rig.list(ListKind::Patch, &[entry(1, 0)]);
    assert!(rig.serve_many(0, 60).contains(&1), "the new upstream starts without history");
}

#[test]
fn unknown_upstreams_are_eligible_and_take_turns() {
    // The window has two upstreams at first, and all of them once there is enough traffic.
    let mut rig = TestRig::new(settings(), &[0, 0, 0]);
    rig.serve_many(0, 200);
    let chosen = rig.serve_many(0, 30);
    for u in 0..3 {
        assert_eq!(chosen.iter().filter(|m| **m == u).count(), 10, "uneven rotation: {chosen:?}");
    }
}

#[test]
fn a_reset_a_failed_connection_and_our_own_late_first_answer_exclude() {
    for outcome in [Outcome::Reset, Outcome::ConnectFailed] {
        let mut rig = TestRig::new(settings(), &[0, 0, 0]);
        let id = rig.until_sent_to(1, 1);
        rig.now += MS;
        rig.end(id, 0, outcome, MS);
        assert!(excluded(&mut rig, 1), "{outcome:?}");
    }
    let mut rig = TestRig::new(settings(), &[0, 0, 0]);
    let id = rig.until_sent_to(1, 1);
    rig.now += 600 * MS;
    rig.event(Event::Timer { token: id });
    assert!(excluded(&mut rig, 1), "late first answer");
}

#[test]
fn errors_rejections_and_cancellations_do_not_exclude() {
    for outcome in [Outcome::Error, Outcome::Rejected, Outcome::Cancelled, Outcome::NotSent] {
        let mut rig = TestRig::new(settings(), &[0, 0]);
        let id = rig.until_sent_to(1, 1);
        rig.now += MS;
        rig.end(id, 0, outcome, MS);
        // Its weight may be lower, but one request in fifty still goes there, without a trial.
        rig.now += 3 * S;
        assert!(rig.serve_many(1, 60).contains(&1), "{outcome:?}");
    }
}

#[test]
fn a_time_out_that_the_budget_cut_does_not_count() {
    let mut rig = TestRig::new(settings(), &[0, 0, 0]);
    let id = rig.next_id;
    let mut r = request(id, 1);
    r.budget = 50 * MS;
    rig.next_id += 1;
    let to = first_send(&rig.event(Event::Request(r))).expect("sent");
    rig.now += 50 * MS;
    rig.end(id, 0, Outcome::TimedOut, 50 * MS);
    assert!(!excluded(&mut rig, to));
}

#[test]
fn a_response_after_the_send_outweighs_a_late_answer() {
    let mut rig = TestRig::new(long_targets(), &[0, 0, 0]);
    rig.serve_many(1, 600);
    let slow = rig.until_sent_to(1, 1);
    rig.now += 20 * S;
    let other = rig.until_sent_to(1, 1);
    rig.now += 10 * MS;
    rig.end(other, 0, Outcome::Served, 10 * MS);
    rig.now += 90 * S;
    rig.event(Event::Timer { token: slow });
    rig.disconnect(slow);
    rig.now += 20 * S;
    let trials_only = excluded(&mut rig, 1);
    assert!(!trials_only);
}

#[test]
fn expiry_admits_one_request_at_a_time_until_a_success() {
    let mut rig = TestRig::new(settings(), &[0, 0, 0]);
    rig.serve_many(0, 600);
    fail_once(&mut rig, 1);
    rig.now += 2_100 * MS;
    let trial = rig.until_sent_to(0, 1);
    assert!(excluded(&mut rig, 1), "a second request while the trial is in flight");
    rig.end(trial, 0, Outcome::Served, 20 * MS);
    assert!(!excluded(&mut rig, 1), "a success ends the exclusion at once");
}

#[test]
fn the_cooldown_doubles_and_failures_within_it_are_ignored() {
    let mut rig = TestRig::new(long_targets(), &[0, 0, 0]);
    for class in [0, 1] {
        rig.serve_many(class, 600);
    }
    // Two in flight together: the second failure comes within the cooldown and must not double it.
    let a = rig.until_sent_to(1, 1);
    let b = rig.until_sent_to(1, 1);
    rig.now += 501 * MS;
    rig.end(a, 0, Outcome::Reset, MS);
    rig.now += MS;
    rig.end(b, 0, Outcome::Reset, MS);
    rig.now += 2_100 * MS;
    let trial = rig.until_sent_to(0, 1);
    rig.now += MS;
    rig.end(trial, 0, Outcome::Reset, MS);
    rig.now += 2_500 * MS;
    assert!(excluded(&mut rig, 1), "the second cooldown is longer than the first");
    rig.now += 1_800 * MS;
    assert!(!excluded(&mut rig, 1), "and no more than twice as long");
}

#[test]
fn a_request_that_cannot_be_repeated_is_no_trial_while_others_are_healthy() {
    let mut rig = TestRig::new(settings(), &[0, 0, 0]);
    rig.serve_many(0, 600);
    fail_once(&mut rig, 1);
    rig.now += 3 * S;
    assert!(!rig.serve_many(1, 12).contains(&1));
    assert!(rig.serve_many(0, 12).contains(&1));
}

/// Fails the trials of upstream 1 until it has had `n` failures; the length of the cooldown that follows.
fn last_cooldown(others_respond: bool, n: u32) -> Micros {
    let mut rig = TestRig::new(settings(), &[0, 0, 0]);
    rig.serve_many(0, 600);
    fail_once(&mut rig, 1);
    for _ in 1..n {
        let mut trial = None;
        while trial.is_none() {
            rig.now += 20 * MS;
            let (id, to) = rig.send(0);
            match to {
                1 => trial = Some(id),
                _ if others_respond => drop(rig.end(id, 0, Outcome::Served, MS)),
                // No upstream responds: the client disconnects.
                _ => rig.disconnect(id),
            }
        }
        let trial = trial.expect("a trial");
        rig.event(Event::RequestGone { request: RequestId(trial) });
        rig.end(trial, 0, Outcome::Reset, MS);
    }
    let from = rig.now;
    for _ in 0..2_000 {
        rig.now += 20 * MS;
        let (id, to) = rig.send(0);
        if to == 1 {
            return rig.now - from;
        }
        rig.disconnect(id);
    }
    rig.now - from
}

#[test]
fn an_instance_with_little_traffic_waits_longer_before_a_trial() {
    // Trials of hundreds of instances at short cooldowns would hold an upstream down.
    let trial_after = |pause: Micros| {
        let mut rig = TestRig::new(settings(), &[0, 0, 0]);
        for _ in 0..200 {
            rig.now += pause;
            rig.serve(0);
        }
        fail_once(&mut rig, 1);
        let from = rig.now;
        (0..2_000).find(|_| {
            rig.now += 20 * MS;
            let (id, to) = rig.send(0);
            rig.disconnect(id);
            to == 1
        });
        rig.now - from
    };
    let (busy, idle) = (trial_after(0), trial_after(480 * MS));
    assert!(busy < 4 * S, "{busy}");
    assert!((12 * S..30 * S).contains(&idle), "{idle}");
}

#[test]
fn dead_needs_successes_elsewhere() {
    let dead = last_cooldown(true, 5);
    assert!(dead > 25 * S, "corroborated: expected the long cooldown, not {dead}");
    let offline = last_cooldown(false, 5);
    assert!(offline < 25 * S, "not corroborated: expected an ordinary cooldown, not {offline}");
}

#[test]
fn dead_needs_the_failures_and_the_streak() {
    assert!(last_cooldown(true, 3) < 10 * S);
}

#[test]
fn when_all_fail_at_two_or_more_a_local_fault_is_assumed_until_the_first_success() {
    let mut rig = TestRig::new(settings(), &[0, 0, 0, 0]);
    // Enough traffic for all four to be in the window.
    rig.serve_many(1, 300);
    rig.now += 3 * S;
    for _ in 0..4 {
        let (id, _) = rig.send(1);
        rig.now += MS;
        rig.end(id, 0, Outcome::Reset, MS);
    }
    // The first failure counted before the local fault was detected, the rest did not.
    rig.now += 10 * MS;
    let (id, to) = rig.send(1);
    rig.end(id, 0, Outcome::Served, MS);
    let mut chosen = rig.serve_many(1, 12);
    chosen.sort_unstable();
    chosen.dedup();
    assert_eq!(chosen, [0, 1, 2, 3], "exclusions cleared after the success at {to}");
    // Grace: a failure now does not exclude.
    fail_once(&mut rig, 2);
    assert!(!excluded(&mut rig, 2));
}

#[test]
fn with_none_eligible_the_nearest_expiry_goes_first() {
    let mut rig = TestRig::new(settings(), &[0, 0]);
    rig.serve_many(0, 4);
    fail_once(&mut rig, 1);
    rig.now += 500 * MS;
    fail_once(&mut rig, 0);
    let (_, to) = rig.send(0);
    assert_eq!(to, 1, "its cooldown ends first");
}

#[test]
fn own_zone_first_and_others_when_fewer_than_half_are_eligible() {
    let mut rig = TestRig::new(settings(), &[0, 0, 0, 1, 1]);
    assert!(rig.serve_many(0, 12).iter().all(|u| *u < 3));
    fail_once(&mut rig, 0);
    assert!(rig.serve_many(0, 9).iter().all(|u| *u < 3), "two of three are still more than half");
    fail_once(&mut rig, 1);
    assert!(rig.serve_many(0, 9).iter().any(|u| *u >= 3));
}

#[test]
fn a_new_start_is_unknown_again() {
    let mut rig = TestRig::new(settings(), &[0, 0, 0]);
    rig.serve_many(0, 6);
    fail_once(&mut rig, 1);
    let started = Entry { last_start: Some(rig.now - 60 * S), ..entry(1, 0) };
    rig.list(ListKind::Patch, &[started]);
    assert!(!excluded(&mut rig, 1));
}
