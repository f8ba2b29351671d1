//! Rules stepped by hand, and what an operator may send.

mod common;

use common::{allowance, at, MEMBER, SECOND};
use silvercross_control_store::State;
use silvercross_quota::*;
use silvercross_time::{Duration, Instant};

fn state_of(amounts: [u64; 3]) -> QuotaState {
    let mut state = QuotaState::default();
    assert_eq!(
        state.apply(&Change::SetAllowance(allowance(amounts, false, WhenUnreachable::ServeFromLeases))),
        Ok(true)
    );
    state
}

fn operation(node: u32, number: u64) -> OperationId {
    OperationId { node, incarnation: 1, number }
}

fn charge(order: u128, attempt: OperationId) -> Change {
    Change::ChargeOrder { order: OrderId(order), attempt, kind: RequestKind::Confirmation, units: 1 }
}

fn ask(leases: &mut QuotaLeases, now: Instant, id: u64, kind: RequestKind) -> Decision {
    leases.decide(now, Request { id, member: MEMBER, kind, order: None, body_bytes: 0 })
}

/// All calls of a node answered by the count, and the late decisions.
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
fn an_order_is_charged_once_and_given_back_when_no_try_ran() {
    let mut state = state_of([0, 2, 0]);
    assert_eq!(state.apply(&charge(7, operation(1, 1))), Ok(true));
    assert_eq!(state.apply(&charge(7, operation(1, 1))), Ok(false));
    assert_eq!(state.apply(&charge(7, operation(2, 1))), Ok(true));
    assert_eq!(state.charged_units(0, RequestKind::Confirmation), 1);
    let back = |attempt| Change::RefundOrder { order: OrderId(7), attempt };
    assert_eq!(state.apply(&back(operation(1, 1))), Ok(true));
    assert_eq!(state.charged_units(0, RequestKind::Confirmation), 1, "the other attempt may have run");
    assert_eq!(state.apply(&back(operation(2, 1))), Ok(true));
    assert_eq!(state.apply(&back(operation(2, 1))), Ok(false));
    assert_eq!(state.charged_units(0, RequestKind::Confirmation), 0);
    // A decision that was held up on its way finds that it was given back.
    assert_eq!(state.apply(&back(operation(3, 9))), Ok(true));
    assert_eq!(state.apply(&charge(7, operation(3, 9))), Ok(false));
    assert_eq!(state.charged_units(0, RequestKind::Confirmation), 0);
}

#[test]
fn an_order_of_the_window_before_is_not_charged_again() {
    let mut state = state_of([0, 2, 0]);
    assert_eq!(state.apply(&charge(7, operation(1, 1))), Ok(true));
    assert_eq!(state.apply(&Change::EndWindow { window: 0 }), Ok(true));
    assert_eq!(state.apply(&Change::EndWindow { window: 0 }), Ok(false));
    assert_eq!(state.apply(&charge(7, operation(2, 1))), Ok(true));
    assert_eq!(
        (
            state.charged_units(0, RequestKind::Confirmation),
            state.charged_units(1, RequestKind::Confirmation)
        ),
        (1, 0)
    );
}

#[test]
fn far_from_the_end_nothing_is_asked_and_near_it_each() {
    let (mut state, mut leases) =
        (state_of([2_000, 0, 0]), QuotaLeases::new(Instant::ZERO, 1, 1, QuotaConfig::default()));
    leases.set_allowance(&allowance([2_000, 0, 0], false, WhenUnreachable::ServeFromLeases));
    let (mut now, mut accepted, mut asked_far) = (Instant::ZERO, 0, 0);
    let mut refused = 0;
    for id in 0..2_100 {
        now += Duration::from_millis(10);
        let mut decision = ask(&mut leases, now, id, RequestKind::Read);
        if decision == Decision::AwaitOwner {
            asked_far += u64::from(accepted < 1_000);
            let served = serve(&mut leases, &mut state, now);
            let late = served.into_iter().find(|late| late.request == id);
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
                refused += 1;
            }
            other => panic!("{other:?}"),
        }
        leases.tick(now);
        serve(&mut leases, &mut state, now);
    }
    assert_eq!((accepted, refused), (2_000, 100));
    assert_eq!(asked_far, 1, "the first only");
    assert_eq!(state.charged_units(0, RequestKind::Read), 2_000);
}

#[test]
fn a_node_that_was_not_stepped_for_too_long_asks_anew() {
    let (mut state, mut leases) =
        (state_of([2_000, 0, 0]), QuotaLeases::new(Instant::ZERO, 1, 1, QuotaConfig::default()));
    leases.set_allowance(&allowance([2_000, 0, 0], false, WhenUnreachable::ServeFromLeases));
    assert_eq!(ask(&mut leases, at(0), 1, RequestKind::Read), Decision::AwaitOwner);
    serve(&mut leases, &mut state, at(0));
    assert!(matches!(ask(&mut leases, at(1), 2, RequestKind::Read), Decision::Accepted { .. }));
    assert_eq!(ask(&mut leases, at(2_000_000), 3, RequestKind::Read), Decision::AwaitOwner);
    assert_eq!(leases.metrics().missed_steps, 1);
}

#[test]
fn a_leases_time_counts_from_the_question() {
    let (mut state, mut leases) =
        (state_of([2_000, 0, 0]), QuotaLeases::new(Instant::ZERO, 1, 1, QuotaConfig::default()));
    leases.set_allowance(&allowance([2_000, 0, 0], false, WhenUnreachable::ServeFromLeases));
    assert_eq!(ask(&mut leases, at(0), 1, RequestKind::Read), Decision::AwaitOwner);
    let call = leases.take_calls().remove(0);
    for quarter in 1..=20 {
        leases.tick(at(quarter * 250_000));
    }
    let outcome = state.apply(&call.change);
    assert!(leases
        .handle_answer(at(5_000_000), call.number, &state.answer(&call.change, &outcome))
        .is_empty());
    assert_eq!(leases.held_units(MEMBER, RequestKind::Read), 0, "it came when its time was over");
}

#[test]
fn out_of_reach_the_operators_choice_decides() {
    for (when_unreachable, served) in
        [(WhenUnreachable::ServeFromLeases, true), (WhenUnreachable::Reject, false)]
    {
        let (mut state, mut leases) =
            (state_of([2_000, 0, 0]), QuotaLeases::new(Instant::ZERO, 1, 1, QuotaConfig::default()));
        leases.set_allowance(&allowance([2_000, 0, 0], false, when_unreachable));
        ask(&mut leases, at(0), 1, RequestKind::Read);
        serve(&mut leases, &mut state, at(0));
        // Half of the lease is used, so that a question is under way that nobody answers.
        let accepted = (0..9).filter(|id| {
            matches!(ask(&mut leases, at(1), *id, RequestKind::Read), Decision::Accepted { .. })
        });
        assert_eq!(accepted.count(), 9);
        for quarter in 1..=8 {
            leases.tick(at(quarter * 250_000));
        }
        let decision = ask(&mut leases, at(2_000_000), 99, RequestKind::Read);
        assert_eq!(matches!(decision, Decision::Accepted { .. }), served, "{decision:?}");
        for quarter in 9..=24 {
            leases.tick(at(quarter * 250_000));
        }
        let decision = ask(&mut leases, at(6_000_000), 100, RequestKind::Read);
        assert!(
            matches!(decision, Decision::Rejected { reason: RejectionReason::OwnerUnreachable, .. }),
            "{decision:?}"
        );
    }
}

#[test]
fn a_window_ends_by_what_went_by_and_not_by_a_leap() {
    let mut state = state_of([5, 5, 5]);
    assert_eq!(state.apply(&charge(1, operation(1, 1))), Ok(true));
    let mut timer = WindowTimer::new(Instant::ZERO, QuotaConfig::default());
    timer.observe(at(0), MEMBER, &state);
    assert!(timer.tick(at(0) + SECOND * 3_600).is_empty(), "a leap of an hour");
    let mut now = at(0) + SECOND * 3_600;
    let mut turned = 0;
    // The owner changes half-way: the next goes on from what was told.
    for step in 0..140 {
        now += SECOND / 2;
        if step == 60 {
            timer = WindowTimer::new(now, QuotaConfig::default());
            timer.observe(now, MEMBER, &state);
        }
        for Proposal { change, .. } in timer.tick(now) {
            turned += u64::from(matches!(change, Change::EndWindow { .. }));
            assert_eq!(state.apply(&change), Ok(true));
            timer.observe(now, MEMBER, &state);
        }
    }
    assert_eq!((turned, state.window()), (1, 1));
}

#[test]
fn excess_orders_are_rejected_and_none_is_forgotten() {
    let mut state = state_of([0, 1_000_000, 0]);
    for order in 0..MAX_ORDERS as u128 {
        assert_eq!(state.apply(&charge(order, operation(1, order as u64))), Ok(true));
    }
    let more = state.apply(&charge(u128::MAX, operation(2, 1))).expect_err("the bound");
    assert_eq!(RejectionReason::of(&more), RejectionReason::LimitReached);
    assert_eq!(state.apply(&charge(0, operation(2, 2))), Ok(true));
    assert_eq!(state.charged_units(0, RequestKind::Confirmation), MAX_ORDERS as u64);
}

const GOOD: &str = r#"{"name":"w","edition":3,"windowS":604800,"orderHeader":"X-Order","away":"refuse",
    "kinds":[{"kind":"read","amount":9,"spent":"slow"},{"kind":"upload","amount":7,"unitBytes":1024}]}"#;

fn deliver(item: &str) -> Result<AllowanceChange, AllowanceError> {
    parse(format!(r#"{{"deliver":{{"allowances":[{item}]}}}}"#).as_bytes())
}

#[test]
fn items_are_parsed_and_merged_by_version() {
    let mut set = AllowanceSet::default();
    let change = deliver(GOOD).expect("good");
    assert_eq!((set.apply(&change), set.apply(&change)), (Ok(true), Ok(false)));
    let item = set.get("w").expect("it stands").clone();
    assert_eq!((item.order_header.as_deref(), item.window_length), (Some("x-order"), SECOND * 604_800));
    assert_eq!(item.quota(RequestKind::Upload).map(|s| s.unit.units(2_049)), Some(3));
    assert!(item.quota(RequestKind::Confirmation).is_none());
    let other = deliver(&GOOD.replace("\"amount\":9", "\"amount\":8")).expect("good");
    assert!(set.apply(&other).is_err_and(|rejection| rejection.conflict));
    let drop = parse(br#"{"withdraw":{"allowances":[{"name":"w","edition":4}]}}"#).expect("good");
    assert_eq!((set.apply(&drop), set.apply(&change), set.is_empty()), (Ok(true), Ok(false), true));
}

#[test]
fn each_error_names_item_key_and_mend() {
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
        assert!(GOOD.contains(from), "{from}");
        let error = deliver(&GOOD.replacen(from, to, 1)).expect_err(to);
        assert_eq!((error.item.as_str(), error.key.as_str()), (item, key), "{error}");
        assert!(!error.reason.is_empty() && !error.remedy.is_empty());
    }
    assert!(parse(b"[]").is_err() && parse(b"{").is_err() && parse(br#"{"deliver":{"x":1}}"#).is_err());
}

#[test]
fn any_bytes_and_any_changes_give_values() {
    bolero::check!().with_iterations(2_000).with_type::<Vec<u8>>().for_each(|bytes| {
        let _ = parse(bytes);
    });
    type Raw = (u8, u8, u8, u8, u64, u64);
    bolero::check!().with_iterations(2_000).with_type::<Vec<Raw>>().for_each(|raws| {
        let mut state = state_of([20, u64::MAX / 4, 3]);
        for (what, node, number, order, a, b) in raws {
            let kind = RequestKind::ALL[(*b % 3) as usize];
            let (lease, attempt) =
                (operation(u32::from(*node % 3), u64::from(*number % 5)), operation(1, u64::from(*number)));
            let order = OrderId(u128::from(*order % 4));
            let leased = LeasedOrder { order, attempt, units: *b };
            let change = match what % 8 {
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
