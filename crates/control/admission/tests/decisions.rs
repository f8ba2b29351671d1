//! Examples of the controller's decisions.
mod support;
use silvercross_admission::*;
use silvercross_time::{Duration, Instant};
use support::{at, ms, report, secs, SERVICE};

/// A controller for upstream `a`, which is ready and warm from the start.
fn controller(slots: u32) -> AdmissionController {
    let settings = AdmissionSettings { drain_timeout: secs(4), warmup_overrun: 1.0, warmup_slack: 5.0 };
    let limits = UpstreamLimits { max_connections: 130, warmup_rate: 20.0, warmup_span: secs(3) };
    let mut controller = AdmissionController::new(settings);
    controller.set_limits(at(0), limits);
    controller.heartbeat(at(0), report("a", slots), Duration::ZERO);
    controller
}

fn request(number: u64, priority: u32, max_pending: Duration) -> AdmissionRequest {
    AdmissionRequest {
        number,
        attempt_id: format!("attempt-{number}"),
        expected_upstream: Some("a".into()),
        service: SERVICE.into(),
        priority,
        is_idempotent: false,
        is_retry: false,
        latency_target: secs(1),
        max_pending,
        timeout: secs(4),
    }
}

/// A request of the highest priority that is not allowed to be pending.
fn urgent(number: u64) -> AdmissionRequest {
    request(number, 0, Duration::ZERO)
}

fn reason(decision: Decision) -> Option<Rejection> {
    match decision {
        Decision::Rejected { reason, .. } => Some(reason),
        _ => None,
    }
}

/// Admits requests with these numbers immediately.
fn admit_all(controller: &mut AdmissionController, now: Instant, numbers: std::ops::Range<u64>) {
    for number in numbers {
        assert_eq!(controller.admit(now, &urgent(number)), Decision::Admitted);
    }
}

#[test]
fn draining_is_bounded_by_the_first_acknowledgement() {
    let mut controller = controller(4);
    controller.begin_drain(at(10_000), "a");
    controller.begin_drain(at(12_000), "a");
    assert_eq!(controller.admit(at(13_700), &urgent(1)), Decision::Admitted);
    assert!(controller.may_begin(at(13_740), 1));
    assert!(!controller.may_begin(at(13_750), 1));
    assert_eq!(reason(controller.admit(at(13_750), &urgent(2))), Some(Rejection::Draining));
    // A ready heartbeat reopens admission, but a second drain soon after it does not extend the first.
    controller.heartbeat(at(14_000), report("a", 4), Duration::ZERO);
    assert_eq!(controller.admit(at(14_000), &urgent(3)), Decision::Admitted);
    controller.begin_drain(at(14_001), "a");
    assert_eq!(reason(controller.admit(at(14_001), &urgent(4))), Some(Rejection::Draining));
    controller.heartbeat(at(15_000), report("a", 4), Duration::ZERO);
    controller.begin_drain(at(20_000), "a");
    assert_eq!(controller.admit(at(23_000), &urgent(5)), Decision::Admitted);
}

#[test]
fn an_ended_incarnation_does_not_come_back() {
    let mut controller = controller(4);
    controller.heartbeat(at(5_000), report("b", 4), Duration::ZERO);
    controller.heartbeat(at(5_000), report("a", 4), Duration::ZERO);
    assert_eq!(reason(controller.admit(at(7_000), &urgent(1))), Some(Rejection::WrongUpstream));
    controller.signed_off(at(7_000), "b");
    controller.heartbeat(at(8_000), report("b", 4), Duration::ZERO);
    assert_eq!(controller.upstream().map(|upstream| upstream.state), Some(UpstreamState::SignedOff));
}

#[test]
fn a_repeated_attempt_that_was_begun_is_a_duplicate_even_when_closed() {
    let mut controller = controller(4);
    assert_eq!(controller.admit(at(2_000), &urgent(1)), Decision::Admitted);
    controller.begin(at(2_000), 1);
    controller.finish(at(2_000), 1);
    controller.set_silent(at(2_000));
    let again = |number| AdmissionRequest { number, timeout: Duration::ZERO, ..urgent(1) };
    assert_eq!(reason(controller.admit(at(3_000), &again(2))), Some(Rejection::Duplicate));
    let forgotten = at(2_000) + ID_RETENTION;
    assert_eq!(reason(controller.admit(forgotten, &again(3))), Some(Rejection::DeadlinePassed));
    // A request that the upstream rejected or that was never begun did not run: its id may be used again.
    let now = at(70_000);
    controller.heartbeat(now, report("a", 4), Duration::ZERO);
    for (number, is_begun) in [(10, true), (11, false)] {
        let same = AdmissionRequest { attempt_id: "same".into(), ..urgent(number) };
        assert_eq!(controller.admit(now, &same), Decision::Admitted);
        if is_begun {
            controller.begin(now, number);
            controller.finish_rejected_by_upstream(now, number);
        }
        controller.finish(now, number);
    }
}

#[test]
fn evacuation_stops_admission_and_leaves_the_upstream_warming_up() {
    let mut controller = controller(1);
    admit_all(&mut controller, at(2_000), 0..3);
    assert_eq!(controller.admit(at(2_000), &request(3, 0, secs(1))), Decision::Pending);
    controller.set_evacuated(at(2_000), true);
    let rejected = Effect::Rejected { number: 3, reason: Rejection::Evacuated, retry_after: None };
    assert_eq!(controller.take_effects(), [rejected]);
    let decision = controller.admit(at(3_000), &request(4, 0, secs(1)));
    assert_eq!(reason(decision), Some(Rejection::Evacuated));
    controller.set_evacuated(at(4_000), false);
    let warming_until =
        |controller: &AdmissionController| controller.upstream().map(|upstream| upstream.warming_until);
    assert_eq!(warming_until(&controller), Some(at(7_000)));
    controller.heartbeat(at(4_001), report("a", 1), Duration::ZERO);
    assert_eq!(warming_until(&controller), Some(at(5_000)));
}

#[test]
fn a_higher_priority_takes_the_place_of_the_newest_of_the_lowest() {
    let mut controller = controller(1);
    let now = at(2_000);
    admit_all(&mut controller, now, 0..3);
    for number in 3..19 {
        assert_eq!(controller.admit(now, &request(number, 1, secs(1))), Decision::Pending);
    }
    let decision = controller.admit(now, &request(19, 1, secs(1)));
    assert_eq!(reason(decision), Some(Rejection::AtCapacity));
    assert_eq!(controller.admit(now, &request(20, 0, secs(1))), Decision::Pending);
    let effects = controller.take_effects();
    assert!(matches!(effects[..], [Effect::Rejected { number: 18, reason: Rejection::AtCapacity, .. }]));
    controller.finish(now, 0);
    assert_eq!(controller.take_effects(), [Effect::Admitted(20)]);
}

#[test]
fn a_request_that_would_wait_too_long_is_rejected_immediately() {
    let mut controller = controller(2);
    admit_all(&mut controller, at(2_000), 0..4);
    (0..4).for_each(|number| controller.begin(at(2_000), number));
    (0..4).for_each(|number| controller.finish(at(2_400), number));
    let now = at(3_000);
    admit_all(&mut controller, now, 4..8);
    // Capacity becomes free every 100 ms: two requests wait 100 and 200 ms, a third would wait longer than it may.
    assert_eq!(controller.admit(now, &request(8, 1, ms(250))), Decision::Pending);
    assert_eq!(controller.admit(now, &request(9, 1, ms(250))), Decision::Pending);
    let rejected = Decision::Rejected { reason: Rejection::AtCapacity, retry_after: Some(ms(300)) };
    assert_eq!(controller.admit(now, &request(10, 1, ms(250))), rejected);
    assert_eq!(controller.admit(now, &request(11, 0, ms(250))), Decision::Pending);
    // A request is rejected when its latency target can no longer be met: 400 ms, one service time, before it.
    controller.tick(now + ms(250));
    assert_eq!(controller.take_effects().len(), 3);
    assert_eq!(controller.admit(now + ms(250), &request(12, 1, secs(1))), Decision::Pending);
    assert_eq!(controller.next_deadline(), Some(now + ms(850)));
}

#[test]
fn a_rejection_by_the_upstream_lowers_the_concurrency_limit_for_a_while() {
    let mut controller = controller(2);
    let now = at(2_000);
    admit_all(&mut controller, now, 0..4);
    controller.finish_rejected_by_upstream(now, 3);
    assert_eq!(reason(controller.admit(now, &urgent(4))), Some(Rejection::AtCapacity));
    controller.finish_rejected_by_upstream(now, 2);
    controller.finish_rejected_by_upstream(now, 1);
    assert_eq!(controller.admit(now, &urgent(5)), Decision::Admitted);
    assert_eq!(controller.admit(now, &request(6, 0, secs(1))), Decision::Pending);
    assert_eq!(controller.metrics().concurrency_limit, 2);
    controller.tick(at(8_000));
    assert_eq!(controller.metrics().concurrency_limit, 4);
}

#[test]
fn an_upstream_that_warms_up_is_paced_and_excess_requests_are_rejected() {
    let mut controller = controller(40);
    controller.set_warmup_left(at(5_000), secs(10));
    let (mut admitted, mut rejected) = (0, 0);
    for (millis, number) in (5_000..8_000).zip(1..) {
        let now = at(millis);
        match controller.admit(now, &urgent(number)) {
            Decision::Admitted => {
                admitted += 1;
                controller.begin(now, number);
                controller.finish(now, number);
            }
            decision => {
                assert_eq!(reason(decision), Some(Rejection::WarmingUp));
                rejected += 1;
            }
        }
    }
    // 20 requests per second, four fifths of the allowed rate of 25.
    assert!((58..=64).contains(&admitted), "{admitted} admitted, {rejected} rejected");
    assert_eq!(controller.admit(at(8_000), &request(9_000, 0, ms(100))), Decision::Pending);
    let next = controller.next_deadline().expect("one is pending");
    controller.tick(next);
    assert_eq!(controller.take_effects(), [Effect::Admitted(9_000)]);
}

#[test]
fn a_warm_upstream_is_not_paced_because_its_controller_is_new() {
    let mut controller = controller(40);
    let warm = (1..=30).all(|n| controller.admit(at(n as i64), &urgent(n)) == Decision::Admitted);
    assert!(warm, "its first heartbeat reported that it is warm");
    controller.heartbeat(at(1_000), report("b", 40), secs(2));
    let other = |n| AdmissionRequest { expected_upstream: Some("b".into()), ..urgent(n) };
    let admitted =
        (100..160).filter(|n| controller.admit(at(1_000 + *n as i64), &other(*n)) == Decision::Admitted);
    let admitted = admitted.count();
    assert!(admitted <= 10, "{admitted} admitted to an upstream that is warming up");
}

#[test]
fn remembered_ids_are_bounded() {
    let mut controller = controller(4);
    let now = at(2_000);
    for number in 0..MAX_REMEMBERED_IDS as u64 {
        assert_eq!(controller.admit(now, &urgent(number)), Decision::Admitted);
        controller.begin(now, number);
        controller.finish(now, number);
    }
    let decision = controller.admit(at(3_000), &urgent(1 << 20));
    assert_eq!(reason(decision), Some(Rejection::AtCapacity));
    let idempotent = AdmissionRequest { is_idempotent: true, ..urgent(1 << 21) };
    assert_eq!(controller.admit(at(3_000), &idempotent), Decision::Admitted);
    assert_eq!(controller.admit(at(62_000), &urgent(1 << 22)), Decision::Admitted);
}
