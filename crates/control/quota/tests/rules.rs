//! Rules stepped by hand, and what an operator may send.

mod common;

use common::{allowance, MEMBER};
use silvercross_control_store::State;
use silvercross_quota::*;

const S: Micros = 1_000_000;

fn count(amounts: [u64; 3]) -> Count {
    let mut count = Count::default();
    assert_eq!(count.apply(&Change::Allow(allowance(amounts, false, Away::Serve))), Ok(true));
    count
}

fn mark(node: u32, number: u64) -> Mark {
    Mark { node, life: 1, number }
}

fn charge(order: u128, claim: Mark) -> Change {
    Change::Charge { order: Order(order), claim, kind: Kind::Confirmation, units: 1 }
}

fn ask(purse: &mut Purse, now: Micros, id: u64, kind: Kind) -> Charge {
    purse.request(now, Request { id, member: MEMBER, kind, order: None, bytes: 0 })
}

/// All calls of a purse answered by the count, and the verdicts.
fn serve(purse: &mut Purse, count: &mut Count, now: Micros) -> Vec<(u64, Charge)> {
    let mut verdicts = Vec::new();
    loop {
        let calls = purse.calls();
        if calls.is_empty() {
            return verdicts;
        }
        for call in calls {
            let outcome = count.apply(&call.change);
            let answer = count.answer(&call.change, &outcome);
            verdicts.extend(purse.answer(now, call.number, &answer));
        }
    }
}

#[test]
fn an_order_is_charged_once_and_given_back_when_no_try_ran() {
    let mut count = count([0, 2, 0]);
    assert_eq!(count.apply(&charge(7, mark(1, 1))), Ok(true));
    assert_eq!(count.apply(&charge(7, mark(1, 1))), Ok(false));
    assert_eq!(count.apply(&charge(7, mark(2, 1))), Ok(true));
    assert_eq!(count.charged(0, Kind::Confirmation), 1);
    let back = |claim| Change::GiveBack { order: Order(7), claim };
    assert_eq!(count.apply(&back(mark(1, 1))), Ok(true));
    assert_eq!(count.charged(0, Kind::Confirmation), 1, "the other try may have run");
    assert_eq!(count.apply(&back(mark(2, 1))), Ok(true));
    assert_eq!(count.apply(&back(mark(2, 1))), Ok(false));
    assert_eq!(count.charged(0, Kind::Confirmation), 0);
    // A charge that was held up on its way finds that it was given back.
    assert_eq!(count.apply(&back(mark(3, 9))), Ok(true));
    assert_eq!(count.apply(&charge(7, mark(3, 9))), Ok(false));
    assert_eq!(count.charged(0, Kind::Confirmation), 0);
}

#[test]
fn an_order_of_the_window_before_is_not_charged_again() {
    let mut count = count([0, 2, 0]);
    assert_eq!(count.apply(&charge(7, mark(1, 1))), Ok(true));
    assert_eq!(count.apply(&Change::Turn { window: 0 }), Ok(true));
    assert_eq!(count.apply(&Change::Turn { window: 0 }), Ok(false));
    assert_eq!(count.apply(&charge(7, mark(2, 1))), Ok(true));
    assert_eq!((count.charged(0, Kind::Confirmation), count.charged(1, Kind::Confirmation)), (1, 0));
}

#[test]
fn far_from_the_end_nothing_is_asked_and_near_it_each() {
    let (mut count, mut purse) = (count([2_000, 0, 0]), Purse::new(0, 1, 1, Terms::default()));
    purse.set(&allowance([2_000, 0, 0], false, Away::Serve));
    let (mut now, mut accepted, mut asked_far) = (0, 0, 0);
    let mut refused = 0;
    for id in 0..2_100 {
        now += 10_000;
        let mut charge = ask(&mut purse, now, id, Kind::Read);
        if charge == Charge::AskOwner {
            asked_far += u64::from(accepted < 1_000);
            charge = serve(&mut purse, &mut count, now).into_iter().find(|v| v.0 == id).expect("answered").1;
        }
        match charge {
            Charge::Accepted { claim, .. } => {
                accepted += 1;
                purse.done(now, claim, Outcome::Ran);
            }
            Charge::Refused { why, retry_after, left, .. } => {
                assert_eq!((why, left), (Why::Spent, 0));
                assert!(retry_after > 0);
                refused += 1;
            }
            other => panic!("{other:?}"),
        }
        purse.tick(now);
        serve(&mut purse, &mut count, now);
    }
    assert_eq!((accepted, refused), (2_000, 100));
    assert_eq!(asked_far, 1, "the first only");
    assert_eq!(count.charged(0, Kind::Read), 2_000);
}

#[test]
fn a_node_that_stood_still_asks_anew() {
    let (mut count, mut purse) = (count([2_000, 0, 0]), Purse::new(0, 1, 1, Terms::default()));
    purse.set(&allowance([2_000, 0, 0], false, Away::Serve));
    assert_eq!(ask(&mut purse, 0, 1, Kind::Read), Charge::AskOwner);
    serve(&mut purse, &mut count, 0);
    assert!(matches!(ask(&mut purse, 1, 2, Kind::Read), Charge::Accepted { .. }));
    assert_eq!(ask(&mut purse, 2 * S, 3, Kind::Read), Charge::AskOwner);
    assert_eq!(purse.figures().stood_still, 1);
}

#[test]
fn a_term_counts_from_the_question() {
    let (mut count, mut purse) = (count([2_000, 0, 0]), Purse::new(0, 1, 1, Terms::default()));
    purse.set(&allowance([2_000, 0, 0], false, Away::Serve));
    assert_eq!(ask(&mut purse, 0, 1, Kind::Read), Charge::AskOwner);
    let call = purse.calls().remove(0);
    for at in 1..=20 {
        purse.tick(at * S / 4);
    }
    let outcome = count.apply(&call.change);
    assert!(purse.answer(5 * S, call.number, &count.answer(&call.change, &outcome)).is_empty());
    assert_eq!(purse.held(MEMBER, Kind::Read), 0, "it came when its time was over");
}

#[test]
fn out_of_reach_the_plan_decides() {
    for (away, served) in [(Away::Serve, true), (Away::Refuse, false)] {
        let (mut count, mut purse) = (count([2_000, 0, 0]), Purse::new(0, 1, 1, Terms::default()));
        purse.set(&allowance([2_000, 0, 0], false, away));
        ask(&mut purse, 0, 1, Kind::Read);
        serve(&mut purse, &mut count, 0);
        // Half of the part is used, so that a question is under way that nobody answers.
        let accepted =
            (0..9).filter(|id| matches!(ask(&mut purse, 1, *id, Kind::Read), Charge::Accepted { .. }));
        assert_eq!(accepted.count(), 9);
        for at in 1..=8 {
            purse.tick(at * S / 4);
        }
        let charge = ask(&mut purse, 2 * S, 99, Kind::Read);
        assert_eq!(matches!(charge, Charge::Accepted { .. }), served, "{charge:?}");
        for at in 9..=24 {
            purse.tick(at * S / 4);
        }
        let charge = ask(&mut purse, 6 * S, 100, Kind::Read);
        assert!(matches!(charge, Charge::Refused { why: Why::Away, .. }), "{charge:?}");
    }
}

#[test]
fn a_window_ends_by_what_went_by_and_not_by_a_leap() {
    let mut page = count([5, 5, 5]);
    assert_eq!(page.apply(&charge(1, mark(1, 1))), Ok(true));
    let mut clerk = Clerk::new(0, Terms::default());
    clerk.seen(0, MEMBER, &page);
    assert!(clerk.tick(3_600 * S).is_empty(), "a leap of an hour");
    let mut now = 3_600 * S;
    let mut turned = 0;
    // The owner changes half-way: the next goes on from what was told.
    for step in 0..140 {
        now += S / 2;
        if step == 60 {
            clerk = Clerk::new(now, Terms::default());
            clerk.seen(now, MEMBER, &page);
        }
        for (_, change) in clerk.tick(now) {
            turned += u64::from(matches!(change, Change::Turn { .. }));
            assert_eq!(page.apply(&change), Ok(true));
            clerk.seen(now, MEMBER, &page);
        }
    }
    assert_eq!((turned, page.window()), (1, 1));
}

#[test]
fn a_repeat_with_excess_orders_is_refused_and_none_forgotten() {
    let mut count = count([0, 1_000_000, 0]);
    for order in 0..ORDERS as u128 {
        assert_eq!(count.apply(&charge(order, mark(1, order as u64))), Ok(true));
    }
    let more = count.apply(&charge(u128::MAX, mark(2, 1))).expect_err("the bound");
    assert_eq!(Why::of(&more), Why::Full);
    assert_eq!(count.apply(&charge(0, mark(2, 2))), Ok(true));
    assert_eq!(count.charged(0, Kind::Confirmation), ORDERS as u64);
}

const GOOD: &str = r#"{"name":"w","edition":3,"windowS":604800,"orderHeader":"X-Order","away":"refuse",
    "kinds":[{"kind":"read","amount":9,"spent":"slow"},{"kind":"upload","amount":7,"unitBytes":1024}]}"#;

fn deliver(item: &str) -> Result<BookChange, Fault> {
    read(format!(r#"{{"deliver":{{"allowances":[{item}]}}}}"#).as_bytes())
}

#[test]
fn items_are_read_and_merged_by_edition() {
    let mut book = Book::default();
    let change = deliver(GOOD).expect("good");
    assert_eq!((book.apply(&change), book.apply(&change)), (Ok(true), Ok(false)));
    let item = book.get("w").expect("it stands").clone();
    assert_eq!((item.order_header.as_deref(), item.window_us), (Some("x-order"), 604_800 * S));
    assert_eq!(item.share(Kind::Upload).map(|s| s.unit.units(2_049)), Some(3));
    assert!(item.share(Kind::Confirmation).is_none());
    let other = deliver(&GOOD.replace("\"amount\":9", "\"amount\":8")).expect("good");
    assert!(book.apply(&other).is_err_and(|refusal| refusal.conflict));
    let drop = read(br#"{"withdraw":{"allowances":[{"name":"w","edition":4}]}}"#).expect("good");
    assert_eq!((book.apply(&drop), book.apply(&change), book.is_empty()), (Ok(true), Ok(false), true));
}

#[test]
fn each_fault_names_item_key_and_mend() {
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
        let fault = deliver(&GOOD.replacen(from, to, 1)).expect_err(to);
        assert_eq!((fault.item.as_str(), fault.key.as_str()), (item, key), "{fault}");
        assert!(!fault.reason.is_empty() && !fault.mend.is_empty());
    }
    assert!(read(b"[]").is_err() && read(b"{").is_err() && read(br#"{"deliver":{"x":1}}"#).is_err());
}

#[test]
fn any_bytes_and_any_changes_give_values() {
    bolero::check!().with_iterations(2_000).with_type::<Vec<u8>>().for_each(|bytes| {
        let _ = read(bytes);
    });
    type Raw = (u8, u8, u8, u8, u64, u64);
    bolero::check!().with_iterations(2_000).with_type::<Vec<Raw>>().for_each(|raws| {
        let mut count = count([20, u64::MAX / 4, 3]);
        for (what, node, number, order, a, b) in raws {
            let kind = Kind::ALL[(*b % 3) as usize];
            let (part, claim) =
                (mark(u32::from(*node % 3), u64::from(*number % 5)), mark(1, u64::from(*number)));
            let order = Order(u128::from(*order % 4));
            let slip = Slip { order, claim, units: *b };
            let change = match what % 8 {
                0 => Change::Grant { part, kind, want: *a, least: *b },
                1 => Change::Settle { part, used: *a, orders: vec![slip] },
                2 => Change::Charge { order, claim, kind, units: *a },
                3 => Change::GiveBack { order, claim },
                4 => Change::Turn { window: a % 3 },
                5 => Change::Reclaim { part },
                6 => Change::Elapsed { window: a % 3, us: *b as i64 },
                _ => Change::Grant { part, kind, want: a % 9, least: b % 3 },
            };
            let before = count.clone();
            let outcome = count.apply(&change);
            if !matches!(outcome, Ok(true)) {
                assert_eq!(count, before, "{change:?}");
            }
            let _ = count.answer(&change, &outcome);
        }
    });
}
