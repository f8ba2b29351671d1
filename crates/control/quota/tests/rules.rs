//! Tests of single rules of leases, quota state and window timer, and of the operator's calls.

mod common;

use common::{allowance, at, MEMBER, SECOND};
use silvercross_control_store::State;
use silvercross_quota::*;
use silvercross_time::{Duration, Instant};

fn state_with(amounts: [u64; 3]) -> QuotaState {
    let mut state = QuotaState::default();
    assert_eq!(
        state.apply(&Change::SetAllowance(allowance(amounts, false, WhenUnreachable::ServeFromLeases))),
        Ok(true)
    );
    state
}

fn operation_id(node: u32, number: u64) -> OperationId {
    OperationId { node, incarnation: 1, number }
}

fn charge(order: u128, attempt: OperationId) -> Change {
    Change::ChargeOrder { order: OrderId(order), attempt, kind: RequestKind::Confirmation, units: 1 }
}

fn decide_request(leases: &mut QuotaLeases, now: Instant, id: u64, kind: RequestKind) -> Decision {
    leases.decide(now, Request { id, member: MEMBER, kind, order: None, body_bytes: 0 })
}

/// Applies all calls of a node, hands it the answers, and returns the deferred decisions.
fn serve(leases: &mut QuotaLeases, state: &mut QuotaState, now: Instant) -> Vec<LateDecision> {
    let mut decisions = Vec::new();
    loop {
        let calls = leases.take_calls();
        if calls.is_empty() {
            return decisions;
        }
        for call in calls {
            let outcome = state.apply(&call.change);
            let answer = state.answer(&call.change, &outcome);
            decisions.extend(leases.handle_answer(now, call.number, &answer));
        }
    }
}

#[test]
fn an_order_is_charged_once_and_refunded_when_no_attempt_ran() {
    let mut state = state_with([0, 2, 0]);
    assert_eq!(state.apply(&charge(7, operation_id(1, 1))), Ok(true));
    assert_eq!(state.apply(&charge(7, operation_id(1, 1))), Ok(false));
    assert_eq!(state.apply(&charge(7, operation_id(2, 1))), Ok(true));
    assert_eq!(state.charged_units(0, RequestKind::Confirmation), 1);
    let refund = |attempt| Change::RefundOrder { order: OrderId(7), attempt };
    assert_eq!(state.apply(&refund(operation_id(1, 1))), Ok(true));
    assert_eq!(state.charged_units(0, RequestKind::Confirmation), 1, "the other attempt may have run");
    assert_eq!(state.apply(&refund(operation_id(2, 1))), Ok(true));
    assert_eq!(state.apply(&refund(operation_id(2, 1))), Ok(false));
    assert_eq!(state.charged_units(0, RequestKind::Confirmation), 0);
    // A delayed charge finds that it was refunded.
    assert_eq!(state.apply(&refund(operation_id(3, 9))), Ok(true));
    assert_eq!(state.apply(&charge(7, operation_id(3, 9))), Ok(false));
    assert_eq!(state.charged_units(0, RequestKind::Confirmation), 0);
}

#[test]
fn an_order_of_the_previous_window_is_not_charged_again() {
    let mut state = state_with([0, 2, 0]);
    assert_eq!(state.apply(&charge(7, operation_id(1, 1))), Ok(true));
    assert_eq!(state.apply(&Change::EndWindow { window: 0 }), Ok(true));
    assert_eq!(state.apply(&Change::EndWindow { window: 0 }), Ok(false));
    assert_eq!(state.apply(&charge(7, operation_id(2, 1))), Ok(true));
    assert_eq!(
        (
            state.charged_units(0, RequestKind::Confirmation),
            state.charged_units(1, RequestKind::Confirmation)
        ),
        (1, 0)
    );
}

#[test]
fn requests_wait_for_the_owner_only_at_first_and_near_exhaustion() {
    let (mut state, mut leases) =
        (state_with([2_000, 0, 0]), QuotaLeases::new(Instant::ZERO, 1, 1, QuotaConfig::default()));
    leases.set_allowance(&allowance([2_000, 0, 0], false, WhenUnreachable::ServeFromLeases));
    let (mut now, mut accepted, mut waited_early) = (Instant::ZERO, 0, 0);
    let mut rejected = 0;
    for id in 0..2_100 {
        now += Duration::from_millis(10);
        let mut decision = decide_request(&mut leases, now, id, RequestKind::Read);
        if decision == Decision::AwaitOwner {
            waited_early += u64::from(accepted < 1_000);
            let deferred = serve(&mut leases, &mut state, now);
            let late = deferred.into_iter().find(|late| late.request == id);
            decision = late.expect("answered").decision;
        }
        match decision {
            Decision::Accepted { attempt, .. } => {
                accepted += 1;
                leases.finish(now, attempt, RequestOutcome::Ran);
            }
            Decision::Rejected { reason, retry_after, free, .. } => {
                assert_eq!((reason, free), (RejectionReason::Exhausted, 0));
                assert!(retry_after > Duration::ZERO);
                rejected += 1;
            }
            other => panic!("{other:?}"),
        }
        leases.tick(now);
        serve(&mut leases, &mut state, now);
    }
    assert_eq!((accepted, rejected), (2_000, 100));
    assert_eq!(waited_early, 1, "only the first request waits early");
    assert_eq!(state.charged_units(0, RequestKind::Read), 2_000);
}

#[test]
fn a_node_not_stepped_for_too_long_requests_a_new_lease() {
    let (mut state, mut leases) =
        (state_with([2_000, 0, 0]), QuotaLeases::new(Instant::ZERO, 1, 1, QuotaConfig::default()));
    leases.set_allowance(&allowance([2_000, 0, 0], false, WhenUnreachable::ServeFromLeases));
    assert_eq!(decide_request(&mut leases, at(0), 1, RequestKind::Read), Decision::AwaitOwner);
    serve(&mut leases, &mut state, at(0));
    assert!(matches!(decide_request(&mut leases, at(1), 2, RequestKind::Read), Decision::Accepted { .. }));
    assert_eq!(decide_request(&mut leases, at(2_000_000), 3, RequestKind::Read), Decision::AwaitOwner);
    assert_eq!(leases.metrics().missed_steps, 1);
}

#[test]
fn a_lease_expires_relative_to_its_request() {
    let (mut state, mut leases) =
        (state_with([2_000, 0, 0]), QuotaLeases::new(Instant::ZERO, 1, 1, QuotaConfig::default()));
    leases.set_allowance(&allowance([2_000, 0, 0], false, WhenUnreachable::ServeFromLeases));
    assert_eq!(decide_request(&mut leases, at(0), 1, RequestKind::Read), Decision::AwaitOwner);
    let call = leases.take_calls().remove(0);
    for quarter in 1..=20 {
        leases.tick(at(quarter * 250_000));
    }
    let outcome = state.apply(&call.change);
    assert!(leases
        .handle_answer(at(5_000_000), call.number, &state.answer(&call.change, &outcome))
        .is_empty());
    assert_eq!(leases.held_units(MEMBER, RequestKind::Read), 0, "the lease arrived after it had expired");
}

#[test]
fn an_unreachable_owner_is_handled_as_configured() {
    for (when_unreachable, is_served) in
        [(WhenUnreachable::ServeFromLeases, true), (WhenUnreachable::Reject, false)]
    {
        let (mut state, mut leases) =
            (state_with([2_000, 0, 0]), QuotaLeases::new(Instant::ZERO, 1, 1, QuotaConfig::default()));
        leases.set_allowance(&allowance([2_000, 0, 0], false, when_unreachable));
        decide_request(&mut leases, at(0), 1, RequestKind::Read);
        serve(&mut leases, &mut state, at(0));
        // Half of the lease is used, so that a call for the next one is pending, which is never answered.
        let accepted = (0..9).filter(|id| {
            matches!(decide_request(&mut leases, at(1), *id, RequestKind::Read), Decision::Accepted { .. })
        });
        assert_eq!(accepted.count(), 9);
        for quarter in 1..=8 {
            leases.tick(at(quarter * 250_000));
        }
        let decision = decide_request(&mut leases, at(2_000_000), 99, RequestKind::Read);
        assert_eq!(matches!(decision, Decision::Accepted { .. }), is_served, "{decision:?}");
        for quarter in 9..=24 {
            leases.tick(at(quarter * 250_000));
        }
        let decision = decide_request(&mut leases, at(6_000_000), 100, RequestKind::Read);
        assert!(
            matches!(decision, Decision::Rejected { reason: RejectionReason::OwnerUnreachable, .. }),
            "{decision:?}"
        );
    }
}

#[test]
fn a_clock_jump_does_not_end_a_window() {
    let mut state = state_with([5, 5, 5]);
    assert_eq!(state.apply(&charge(1, operation_id(1, 1))), Ok(true));
    let mut timer = WindowTimer::new(Instant::ZERO, QuotaConfig::default());
    timer.observe(at(0), MEMBER, &state);
    assert!(timer.tick(at(0) + SECOND * 3_600).is_empty(), "the clock jumped by an hour");
    let mut now = at(0) + SECOND * 3_600;
    let mut windows_ended = 0;
    // The owner changes half-way; the next one continues from the recorded time.
    for step in 0..140 {
        now += SECOND / 2;
        if step == 60 {
            timer = WindowTimer::new(now, QuotaConfig::default());
            timer.observe(now, MEMBER, &state);
        }
        for Proposal { change, .. } in timer.tick(now) {
            windows_ended += u64::from(matches!(change, Change::EndWindow { .. }));
            assert_eq!(state.apply(&change), Ok(true));
            timer.observe(now, MEMBER, &state);
        }
    }
    assert_eq!((windows_ended, state.window()), (1, 1));
}

#[test]
fn excess_orders_are_rejected_and_none_is_forgotten() {
    let mut state = state_with([0, 1_000_000, 0]);
    for order in 0..MAX_ORDERS as u128 {
        assert_eq!(state.apply(&charge(order, operation_id(1, order as u64))), Ok(true));
    }
    let over_limit = state.apply(&charge(u128::MAX, operation_id(2, 1))).expect_err("above the limit");
    assert_eq!(RejectionReason::of(&over_limit), RejectionReason::LimitReached);
    assert_eq!(state.apply(&charge(0, operation_id(2, 2))), Ok(true));
    assert_eq!(state.charged_units(0, RequestKind::Confirmation), MAX_ORDERS as u64);
}

const VALID_ITEM: &str = r#"{"name":"w","edition":3,"windowS":604800,"orderHeader":"X-Order","away":"refuse",
    "kinds":[{"kind":"read","amount":9,"spent":"slow"},{"kind":"upload","amount":7,"unitBytes":1024}]}"#;

fn deliver(item: &str) -> Result<AllowanceChange, AllowanceError> {
    parse(format!(r#"{{"deliver":{{"allowances":[{item}]}}}}"#).as_bytes())
}

#[test]
fn items_are_parsed_and_merged_by_version() {
    let mut set = AllowanceSet::default();
    let change = deliver(VALID_ITEM).expect("good");
    assert_eq!((set.apply(&change), set.apply(&change)), (Ok(true), Ok(false)));
    let item = set.get("w").expect("in force").clone();
    assert_eq!((item.order_header.as_deref(), item.window_length), (Some("x-order"), SECOND * 604_800));
    assert_eq!(item.quota(RequestKind::Upload).map(|s| s.unit.units(2_049)), Some(3));
    assert!(item.quota(RequestKind::Confirmation).is_none());
    let conflicting = deliver(&VALID_ITEM.replace("\"amount\":9", "\"amount\":8")).expect("good");
    assert!(set.apply(&conflicting).is_err_and(|rejection| rejection.conflict));
    let withdrawal = parse(br#"{"withdraw":{"allowances":[{"name":"w","edition":4}]}}"#).expect("good");
    assert_eq!((set.apply(&withdrawal), set.apply(&change), set.is_empty()), (Ok(true), Ok(false), true));
}

#[test]
fn each_error_names_item_key_and_remedy() {
    for (from, to, item, key) in [
        ("\"name\":\"w\"", "\"name\":\"\"", "deliver.allowances[0]", "name"),
        ("604800", "5", "w", "windowS"),
        ("604800", "\"week\"", "w", "windowS"),
        ("\"edition\":3", "\"edition\":-3", "w", "edition"),
        ("X-Order", "X Order", "w", "orderHeader"),
        ("\"refuse\"", "\"wait\"", "w", "away"),
        ("\"upload\"", "\"read\"", "w", "kinds"),
        ("\"upload\"", "\"post\"", "w", "kind"),
        ("1024", "0", "w", "unitBytes"),
        (":9", ":1e30", "w", "amount"),
        ("\"kind\":\"read\"", "\"kind\":\"confirmation\"", "w", "spent"),
        ("\"amount\":7,\"unitBytes\":1024", "\"amount\":16385", "w", "amount"),
        ("\"away\"", "\"plan\"", "w", "plan"),
    ] {
        assert!(VALID_ITEM.contains(from), "{from}");
        let error = deliver(&VALID_ITEM.replacen(from, to, 1)).expect_err(to);
        assert_eq!((error.item.as_str(), error.key.as_str()), (item, key), "{error}");
        assert!(!error.reason.is_empty() && !error.remedy.is_empty());
    }
    assert!(parse(b"[]").is_err() && parse(b"{").is_err() && parse(br#"{"deliver":{"x":1}}"#).is_err());
}

#[test]
fn arbitrary_calls_and_changes_do_not_panic() {
    bolero::check!().with_iterations(2_000).with_type::<Vec<u8>>().for_each(|bytes| {
        let _ = parse(bytes);
    });
    type Raw = (u8, u8, u8, u8, u64, u64);
    bolero::check!().with_iterations(2_000).with_type::<Vec<Raw>>().for_each(|raw_changes| {
        let mut state = state_with([20, u64::MAX / 4, 3]);
        for (selector, node, number, order, a, b) in raw_changes {
            let kind = RequestKind::ALL[(*b % 3) as usize];
            let (lease, attempt) = (
                operation_id(u32::from(*node % 3), u64::from(*number % 5)),
                operation_id(1, u64::from(*number)),
            );
            let order = OrderId(u128::from(*order % 4));
            let leased = LeasedOrder { order, attempt, units: *b };
            let change = match selector % 8 {
                0 => Change::GrantLease { lease, kind, wanted: *a, minimum: *b },
                1 => Change::SettleLease { lease, used: *a, orders: vec![leased] },
                2 => Change::ChargeOrder { order, attempt, kind, units: *a },
                3 => Change::RefundOrder { order, attempt },
                4 => Change::EndWindow { window: a % 3 },
                5 => Change::ExpireLease { lease },
                6 => Change::RecordElapsed { window: a % 3, elapsed: Duration::from_micros(*b as i64) },
                _ => Change::GrantLease { lease, kind, wanted: a % 9, minimum: b % 3 },
            };
            let before = state.clone();
            let outcome = state.apply(&change);
            if !matches!(outcome, Ok(true)) {
                assert_eq!(state, before, "{change:?}");
            }
            let _ = state.answer(&change, &outcome);
        }
    });
}
