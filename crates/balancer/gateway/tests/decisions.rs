//! Tests of hops, statements, offers and peers with examples, arbitrary text and arbitrary orders of events.
use proptest::prelude::*;
use silvercross_core::interface::Micros;
use silvercross_gateway::hops::{HopError, Hops};
use silvercross_gateway::offer::{Limits, Offer, RemoteOutcome};
use silvercross_gateway::peers::{CrossingRefused, Peers};
use silvercross_gateway::statement::Statement;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const LIMITS: Limits = Limits { initial_slots: 4, max_slots: 100, validity: 1_500 * MS };

#[test]
fn a_request_crosses_once_and_does_not_return() {
    let none = Hops::read(None).expect("no mark");
    let crossed = none.leave("a").expect("may leave");
    assert_eq!(crossed.value(), "a");
    let cases = [
        (crossed.leave("b").err(), Some(HopError::CrossedAlready)),
        (crossed.leave("a").err(), Some(HopError::CrossedAlready)),
        (crossed.arrive("b").err(), None),
        (crossed.arrive("a").err(), Some(HopError::Loop)),
        (none.arrive("b").err(), Some(HopError::Missing)),
        (Hops::read(Some("a,b")).expect("readable").arrive("c").err(), Some(HopError::CrossedAlready)),
        (Hops::read(Some("a,,b")).err(), Some(HopError::Malformed)),
        (Hops::read(Some("")).err(), Some(HopError::Malformed)),
        (Hops::read(Some("a\r\nX: 1")).err(), Some(HopError::Malformed)),
        (Hops::read(Some(&"a,".repeat(20))).err(), Some(HopError::Malformed)),
    ];
    for (i, (got, expected)) in cases.into_iter().enumerate() {
        assert_eq!(got, expected, "case {i}");
    }
}

#[test]
fn only_valid_statements_are_parsed() {
    let s = Statement { incarnation: 0xabc, seq: 7, slots: 40, validity: 1_500 * MS };
    assert_eq!(Statement::read(&s.value()), Ok(s));
    assert_eq!(Statement::read(&(s.value() + ";later=1")), Ok(s));
    for bad in [
        "",
        "slots=1",
        "life=1;seq=1;slots=-5;for_ms=10",
        "life=1;seq=1;slots=+5;for_ms=10",
        "life=1;seq=1;slots=99999999999999999999;for_ms=10",
        "life=1;seq=1;slots=100001;for_ms=10",
        "life=1;seq=1;slots=5;for_ms=10001",
        "life=1;seq=1;slots=5;for_ms=10;slots=6",
        "life=1;seq=1;slots=5 ;for_ms=1.5",
        "HTTP/1.1 200 OK",
    ] {
        assert!(Statement::read(bad).is_err(), "{bad}");
    }
}

#[test]
fn an_offer_grows_slowly_and_shrinks_fast() {
    let mut offer = Offer::new(LIMITS, 1, 0);
    let mut now = 0;
    let mut serve = |offer: &mut Offer, n: usize, took: Micros| {
        for _ in 0..n {
            now += 10 * MS;
            while offer.admit(now) {}
            offer.ended(now, RemoteOutcome::Served, took, 40_000.0, S);
        }
    };
    serve(&mut offer, 100, 50 * MS);
    let after_a_second = offer.slots(S);
    assert!((5..=9).contains(&after_a_second), "{after_a_second}");
    serve(&mut offer, 2_000, 50 * MS);
    assert_eq!(offer.slots(21 * S), 100, "the maximum");
    // The local site becomes slow: the offer is at most half after a second.
    serve(&mut offer, 100, 200 * MS);
    assert!(offer.slots(22 * S) <= 50, "{}", offer.slots(22 * S));
    serve(&mut offer, 400, 200 * MS);
    assert!(offer.slots(26 * S) <= 4, "{}", offer.slots(26 * S));
    offer.drain();
    assert_eq!(
        (offer.slots(99 * S), offer.admit(99 * S), offer.next_statement(99 * S, 2).slots),
        (0, false, 0)
    );
}

#[test]
fn an_offer_of_a_site_that_is_overloaded_from_the_start_does_not_grow() {
    let mut offer = Offer::new(LIMITS, 1, 0);
    for n in 0..2_000 {
        let now = n * 20 * MS;
        while offer.admit(now) {}
        offer.ended(now, RemoteOutcome::Served, 300 * MS, 40_000.0, 600 * MS);
        assert!(offer.slots(now) <= LIMITS.initial_slots, "{}", offer.slots(now));
    }
}

#[test]
fn statements_are_ordered_by_incarnation_and_sequence_and_age_from_their_receipt() {
    let statement = |incarnation, seq, slots| Statement { incarnation, seq, slots, validity: 1_000 * MS };
    let mut peers = Peers::new(2, 50);
    assert_eq!(peers.may_cross(0, S, 1.0), Err(CrossingRefused::NoRoom));
    peers.receive(0, 0, statement(1, 5, 40));
    assert_eq!([peers.slots(0, 0), peers.slots(500 * MS, 0), peers.slots(1_000 * MS, 0)], [40, 40, 0]);
    assert!((1..40).contains(&peers.slots(900 * MS, 0)), "aged");
    peers.receive(100 * MS, 0, statement(1, 4, 90));
    assert_eq!((peers.slots(100 * MS, 0), peers.ignored), (40, 1), "an older statement");
    peers.receive(200 * MS, 0, statement(2, 1, 90));
    assert_eq!(peers.slots(200 * MS, 0), 50, "a new incarnation, limited by the own maximum");
    peers.receive(300 * MS, 0, statement(1, 99, 7));
    assert_eq!((peers.slots(300 * MS, 0), peers.ignored), (50, 2), "the previous incarnation is over");
    peers.link_lost(0);
    assert_eq!(peers.slots(300 * MS, 0), 0, "the offer ends with the link");
    peers.receive(400 * MS, 0, statement(2, 2, 10));
    assert_eq!(peers.slots(400 * MS, 0), 10);
    assert!(peers.receive_header(0, 0, "life=1;seq=1;slots=-5;for_ms=10").is_err());
    peers.receive(0, 7, statement(1, 1, 1));
    assert_eq!(peers.ignored, 4, "malformed, and of an unknown peer");
}

#[test]
fn a_request_that_cannot_be_answered_in_time_does_not_cross() {
    let mut peers = Peers::new(1, 50);
    peers.receive(0, 0, Statement { incarnation: 1, seq: 1, slots: 10, validity: S });
    for _ in 0..50 {
        peers.sent(0);
        peers.ended(0, 0, Some(80_000.0));
    }
    assert_eq!(peers.may_cross(0, 100 * MS, 1.0), Ok(()));
    assert_eq!(peers.may_cross(0, 60 * MS, 1.0), Err(CrossingRefused::NoTime));
    assert_eq!(peers.may_cross(0, 100 * MS, 3.0), Err(CrossingRefused::NoTime), "three times the work");
    assert!(peers.is_open(0, 100 * MS) && !peers.is_open(0, 60 * MS));
    // The estimate decays, so that the end of a stall is noticed.
    peers.receive(4 * S, 0, Statement { incarnation: 1, seq: 2, slots: 10, validity: S });
    assert!(peers.is_open(4 * S, 60 * MS));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn arbitrary_text_causes_no_panic_and_no_value_out_of_bounds(text in ".{0,80}") {
        if let Ok(s) = Statement::read(&text) {
            prop_assert!(s.slots <= 100_000 && (0..=10_000 * MS).contains(&s.validity));
        }
        if let Ok(hops) = Hops::read(Some(&text)) {
            prop_assert_eq!(Hops::read(Some(&hops.value())), Ok(hops.clone()));
            prop_assert!(hops.leave("home").is_err());
        }
    }

    #[test]
    fn text_like_a_statement_causes_no_panic_and_no_value_out_of_bounds(life in any::<i128>(), seq in any::<i128>(), slots in any::<i128>(), for_ms in any::<i128>()) {
        let text = format!("life={life};seq={seq};slots={slots};for_ms={for_ms}");
        if let Ok(s) = Statement::read(&text) {
            prop_assert!(s.slots <= 100_000 && (0..=10_000 * MS).contains(&s.validity));
        }
    }

    /// In any order of events, remote requests never exceed the maximum, requests in flight at a peer never exceed its offer
    /// at the time of sending, and the counts match the events.
    #[test]
    fn no_order_of_events_exceeds_a_bound(events in proptest::collection::vec((0u8..9, 0usize..3, 0i64..400), 1..300)) {
        let (mut offer, mut peers, mut now) = (Offer::new(LIMITS, 9, 0), Peers::new(3, 30), 0);
        let (mut remote, mut out, mut seq) = (0u32, [0u32; 3], 0);
        for (what, i, wait) in events {
            now += wait * MS;
            match what {
                0 | 1 => remote += u32::from(offer.admit(now)),
                2 if remote > 0 => {
                    remote -= 1;
                    let outcome = [RemoteOutcome::Served, RemoteOutcome::Rejected, RemoteOutcome::Disconnected][i];
                    offer.ended(now, outcome, (wait + 1) * MS, 40_000.0, S);
                }
                3 => {
                    seq += 1;
                    let incarnation = 1 + (wait as u64 % 2);
                    peers.receive(now, i, Statement { incarnation, seq, slots: (wait as u32) * 3, validity: S });
                }
                4 => peers.link_lost(i),
                5 | 6 if peers.has_room(now, i) => {
                    peers.sent(i);
                    out[i] += 1;
                    prop_assert!(out[i] <= peers.slots(now, i) && out[i] <= 30);
                }
                7 if out[i] > 0 => {
                    peers.ended(now, i, (wait % 2 == 0).then_some(wait as f64));
                    out[i] -= 1;
                }
                8 => drop(peers.next_change(now)),
                _ => {}
            }
            prop_assert!(offer.slots(now) <= 100 && offer.in_flight == remote && remote <= 100);
            prop_assert_eq!(peers.in_flight(i), out[i]);
            prop_assert!(peers.next_change(now).is_none_or(|at| at > now));
        }
    }
}
