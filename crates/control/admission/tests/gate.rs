//! Single decisions of the gate.

use silvercross_admission::*;

const S: Micros = 1_000_000;
const MS: Micros = 1_000;

fn gate(slots: u32) -> AdmissionController {
    let mut w = AdmissionController::new(Bounds { drain: 4 * S, cold_overrun: 1.0, cold_slack: 5.0 });
    w.allowance(0, Allowance { line_cap: 130, cold_rate: 20.0, cold_span: 3 * S });
    w.beat(0, facts("a", slots), 0);
    w
}

fn facts(id: &str, slots: u32) -> Facts {
    Facts { id: id.into(), service: "huvo".into(), slots }
}

fn ask(number: u64, priority: u32, patience: Micros) -> Arrival {
    Arrival {
        number,
        id: format!("try-{number}"),
        expects: Some("a".into()),
        service: "huvo".into(),
        priority,
        repeatable: false,
        further: false,
        aim: S,
        patience,
        deadline: 4 * S,
    }
}

fn why(verdict: Verdict) -> Option<Turned> {
    match verdict {
        Verdict::Turn { why, .. } => Some(why),
        _ => None,
    }
}

#[test]
fn leaving_is_bounded_by_the_first_acknowledgement() {
    let mut w = gate(4);
    w.draining(10 * S, "a");
    w.draining(12 * S, "a");
    assert_eq!(w.arrive(13 * S + 700 * MS, ask(1, 0, 0)), Verdict::Go);
    assert!(w.may_begin(13 * S + 740 * MS, 1));
    assert!(!w.may_begin(13 * S + 750 * MS, 1));
    assert_eq!(why(w.arrive(13 * S + 750 * MS, ask(2, 0, 0))), Some(Turned::Draining));
    // A beat that says ready opens again, but one that came late buys no further time.
    w.beat(14 * S, facts("a", 4), 0);
    assert_eq!(w.arrive(14 * S, ask(3, 0, 0)), Verdict::Go);
    w.draining(14 * S + MS, "a");
    assert_eq!(why(w.arrive(14 * S + MS, ask(4, 0, 0))), Some(Turned::Draining));
    w.beat(15 * S, facts("a", 4), 0);
    w.draining(20 * S, "a");
    assert_eq!(w.arrive(23 * S, ask(5, 0, 0)), Verdict::Go);
}

#[test]
fn an_ended_life_does_not_come_back() {
    let mut w = gate(4);
    w.beat(5 * S, facts("b", 4), 0);
    w.beat(5 * S, facts("a", 4), 0);
    assert_eq!(why(w.arrive(7 * S, ask(1, 0, 0))), Some(Turned::Another));
    w.signed_off(7 * S, "b");
    w.beat(8 * S, facts("b", 4), 0);
    assert_eq!(w.station().map(|s| s.state), Some(State::SignedOff));
}

#[test]
fn what_was_begun_here_gets_no_promise_even_when_shut() {
    let mut w = gate(4);
    assert_eq!(w.arrive(2 * S, ask(1, 0, 0)), Verdict::Go);
    w.begun(2 * S, 1);
    w.done(2 * S, 1);
    w.silent(2 * S);
    let again = |number| Arrival { number, deadline: 0, ..ask(1, 0, 0) };
    assert_eq!(why(w.arrive(3 * S, again(2))), Some(Turned::Twice));
    assert_eq!(why(w.arrive(2 * S + IDS_SPAN, again(3))), Some(Turned::Late));
    // Turned away by the station or never begun: it did not run.
    w.beat(70 * S, facts("a", 4), 0);
    for (n, begun) in [(10, true), (11, false)] {
        let same = |number| Arrival { id: "same".into(), ..ask(number, 0, 0) };
        assert_eq!(w.arrive(70 * S, same(n)), Verdict::Go);
        if begun {
            w.begun(70 * S, n);
            w.turned_by_station(70 * S, n);
        }
        w.done(70 * S, n);
    }
}

#[test]
fn evacuation_shuts_and_leaves_it_cold() {
    let mut w = gate(1);
    (0..3).for_each(|n| assert_eq!(w.arrive(2 * S, ask(n, 0, 0)), Verdict::Go));
    assert_eq!(w.arrive(2 * S, ask(3, 0, S)), Verdict::Wait);
    w.evacuated(2 * S, true);
    assert_eq!(w.effects(), [Effect::Turn { number: 3, why: Turned::Evacuated, retry_after: None }]);
    assert_eq!(why(w.arrive(3 * S, ask(4, 0, S))), Some(Turned::Evacuated));
    w.evacuated(4 * S, false);
    assert_eq!(w.station().map(|s| s.cold_until), Some(7 * S));
    w.beat(4 * S + MS, facts("a", 1), 0);
    assert_eq!(w.station().map(|s| s.cold_until), Some(5 * S));
}

#[test]
fn a_better_rank_takes_the_place_of_the_newest_of_the_worst() {
    let mut w = gate(1);
    (0..3).for_each(|n| assert_eq!(w.arrive(2 * S, ask(n, 0, 0)), Verdict::Go));
    (3..19).for_each(|n| assert_eq!(w.arrive(2 * S, ask(n, 1, S)), Verdict::Wait));
    assert_eq!(why(w.arrive(2 * S, ask(19, 1, S))), Some(Turned::Full));
    assert_eq!(w.arrive(2 * S, ask(20, 0, S)), Verdict::Wait);
    assert!(matches!(w.effects()[..], [Effect::Turn { number: 18, why: Turned::Full, .. }]));
    w.done(2 * S, 0);
    assert_eq!(w.effects(), [Effect::Go(20)]);
}

#[test]
fn what_would_wait_in_vain_is_given_back_at_once() {
    let mut w = gate(2);
    (0..4).for_each(|n| assert_eq!(w.arrive(2 * S, ask(n, 0, 0)), Verdict::Go));
    (0..4).for_each(|n| w.begun(2 * S, n));
    (0..4).for_each(|n| w.done(2 * S + 400 * MS, n));
    let now = 3 * S;
    (4..8).for_each(|n| assert_eq!(w.arrive(now, ask(n, 0, 0)), Verdict::Go));
    // A place is free each 100 ms: two wait 100 and 200 ms, and a third has less patience than its turn needs.
    assert_eq!(w.arrive(now, ask(8, 1, 250 * MS)), Verdict::Wait);
    assert_eq!(w.arrive(now, ask(9, 1, 250 * MS)), Verdict::Wait);
    let turn = |t| Verdict::Turn { why: Turned::Full, retry_after: Some(t) };
    assert_eq!(w.arrive(now, ask(10, 1, 250 * MS)), turn(300 * MS));
    assert_eq!(w.arrive(now, ask(11, 0, 250 * MS)), Verdict::Wait);
    // Its patience is for its aim, which is lost 400 ms before.
    w.tick(now + 250 * MS);
    assert_eq!(w.effects().len(), 3);
    assert_eq!(w.arrive(now + 250 * MS, ask(12, 1, S)), Verdict::Wait);
    assert_eq!(w.wake(), Some(now + 850 * MS));
}

#[test]
fn a_station_that_is_full_too_soon_gets_less_for_a_while() {
    let mut w = gate(2);
    (0..4).for_each(|n| assert_eq!(w.arrive(2 * S, ask(n, 0, 0)), Verdict::Go));
    w.turned_by_station(2 * S, 3);
    assert_eq!(why(w.arrive(2 * S, ask(4, 0, 0))), Some(Turned::Full));
    w.turned_by_station(2 * S, 2);
    w.turned_by_station(2 * S, 1);
    assert_eq!(w.arrive(2 * S, ask(5, 0, 0)), Verdict::Go);
    assert_eq!((w.arrive(2 * S, ask(6, 0, S)), w.figures().limit), (Verdict::Wait, 2));
    w.tick(8 * S);
    assert_eq!(w.figures().limit, 4);
}

#[test]
fn a_cold_station_gets_an_even_flow_and_the_rest_is_told_so() {
    let mut w = gate(40);
    w.cold(5 * S, 10 * S);
    let (mut went, mut turned, mut n) = (0, 0, 0);
    for ms in 5000..8000 {
        n += 1;
        match w.arrive(ms * MS, ask(n, 0, 0)) {
            Verdict::Go => {
                went += 1;
                w.begun(ms * MS, n);
                w.done(ms * MS, n);
            }
            verdict => {
                assert_eq!(why(verdict), Some(Turned::Cold));
                turned += 1;
            }
        }
    }
    // 20 a second, four fifths of what the rule allows: neither starved nor pressed.
    assert!((58..=64).contains(&went), "{went} went, {turned} were turned away");
    assert_eq!(w.arrive(8 * S, ask(9000, 0, 100 * MS)), Verdict::Wait);
    let next = w.wake().unwrap_or(0);
    w.tick(next);
    assert_eq!(w.effects(), [Effect::Go(9000)]);
}

#[test]
fn a_warm_station_is_not_paced_because_its_gate_is_new() {
    let mut w = gate(40);
    let went = |w: &mut AdmissionController, n: u64| w.arrive(n as i64 * MS, ask(n, 0, 0)) == Verdict::Go;
    assert!((1..=30).all(|n| went(&mut w, n)), "its first beat said that it is warm");
    w.beat(S, facts("b", 40), 2 * S);
    let other = |n| Arrival { expects: Some("b".into()), ..ask(n, 0, 0) };
    let cold = (100..160).filter(|n| w.arrive(S + *n as i64 * MS, other(*n)) == Verdict::Go).count();
    assert!(cold <= 10, "{cold} at once to one that said it is cold");
}

#[test]
fn ids_have_a_bound() {
    let mut w = gate(4);
    for n in 0..IDS_MOST as u64 {
        assert_eq!(w.arrive(2 * S, ask(n, 0, 0)), Verdict::Go);
        w.begun(2 * S, n);
        w.done(2 * S, n);
    }
    assert_eq!(why(w.arrive(3 * S, ask(1 << 20, 0, 0))), Some(Turned::Full));
    assert_eq!(w.arrive(3 * S, Arrival { repeatable: true, ..ask(1 << 21, 0, 0) }), Verdict::Go);
    assert_eq!(w.arrive(62 * S, ask(1 << 22, 0, 0)), Verdict::Go);
}
