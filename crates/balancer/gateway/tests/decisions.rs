//! Hops, statements, offers and peers: by cases, under arbitrary text, and under arbitrary orders of events.
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
fn nothing_crosses_twice_and_nothing_comes_back() {
    let none = Hops::read(None).expect("no mark");
    let over = none.leave("a").expect("may leave");
    assert_eq!(over.value(), "a");
    let cases = [
        (over.leave("b").err(), Some(HopError::CrossedAlready)),
        (over.leave("a").err(), Some(HopError::CrossedAlready)),
        (over.arrive("b").err(), None),
        (over.arrive("a").err(), Some(HopError::Loop)),
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
fn a_statement_is_read_as_written_and_nothing_else_is() {
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
fn an_offer_is_given_slowly_and_withdrawn_fast() {
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
    assert_eq!(offer.slots(21 * S), 100, "all that the settings allow");
    // Home turns slow: within a second of it, guests are down to a half and less.
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
fn an_offer_made_where_home_is_overloaded_from_the_start_does_not_grow() {
    let mut offer = Offer::new(LIMITS, 1, 0);
    for n in 0..2_000 {
        let now = n * 20 * MS;
        while offer.admit(now) {}
        offer.ended(now, RemoteOutcome::Served, 300 * MS, 40_000.0, 600 * MS);
        assert!(offer.slots(now) <= LIMITS.initial_slots, "{}", offer.slots(now));
    }
}

#[test]
fn an_offer_counts_by_life_and_sequence_and_ages_from_its_arrival() {
    let said = |incarnation, seq, slots| Statement { incarnation, seq, slots, validity: 1_000 * MS };
    let mut peers = Peers::new(2, 50);
    assert_eq!(peers.may_cross(0, S, 1.0), Err(CrossingRefused::NoRoom));
    peers.receive(0, 0, said(1, 5, 40));
    assert_eq!([peers.slots(0, 0), peers.slots(500 * MS, 0), peers.slots(1_000 * MS, 0)], [40, 40, 0]);
    assert!((1..40).contains(&peers.slots(900 * MS, 0)), "aged");
    peers.receive(100 * MS, 0, said(1, 4, 90));
    assert_eq!((peers.slots(100 * MS, 0), peers.ignored), (40, 1), "an older one");
    peers.receive(200 * MS, 0, said(2, 1, 90));
    assert_eq!(peers.slots(200 * MS, 0), 50, "a new life, held to our own bound");
    peers.receive(300 * MS, 0, said(1, 99, 7));
    assert_eq!((peers.slots(300 * MS, 0), peers.ignored), (50, 2), "the old life is over");
    peers.link_lost(0);
    assert_eq!(peers.slots(300 * MS, 0), 0, "the link took it along");
    peers.receive(400 * MS, 0, said(2, 2, 10));
    assert_eq!(peers.slots(400 * MS, 0), 10);
    assert!(peers.receive_header(0, 0, "life=1;seq=1;slots=-5;for_ms=10").is_err());
    peers.receive(0, 7, said(1, 1, 1));
    assert_eq!(peers.ignored, 4, "malformed, and of nobody");
}

#[test]
fn what_cannot_be_answered_in_time_does_not_go_over() {
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
    // What was learnt of a stall fades: somebody has to find out that it is over.
    peers.receive(4 * S, 0, Statement { incarnation: 1, seq: 2, slots: 10, validity: S });
    assert!(peers.is_open(4 * S, 60 * MS));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn no_text_is_trusted_or_panics(text in ".{0,80}") {
        if let Ok(s) = Statement::read(&text) {
            prop_assert!(s.slots <= 100_000 && (0..=10_000 * MS).contains(&s.validity));
        }
        if let Ok(hops) = Hops::read(Some(&text)) {
            prop_assert_eq!(Hops::read(Some(&hops.value())), Ok(hops.clone()));
            prop_assert!(hops.leave("home").is_err());
        }
    }

    #[test]
    fn what_looks_like_a_statement_neither(life in any::<i128>(), seq in any::<i128>(), slots in any::<i128>(), for_ms in any::<i128>()) {
        let text = format!("life={life};seq={seq};slots={slots};for_ms={for_ms}");
        if let Ok(s) = Statement::read(&text) {
            prop_assert!(s.slots <= 100_000 && (0..=10_000 * MS).contains(&s.validity));
        }
    }

    /// Whatever order things happen in: guests never exceed the bound, what is out at a peer never exceeds what stood when it
    /// was sent, and counts come back to nothing.
    #[test]
    fn no_order_of_events_exceeds_a_bound(events in proptest::collection::vec((0u8..9, 0usize..3, 0i64..400), 1..300)) {
        let (mut offer, mut peers, mut now) = (Offer::new(LIMITS, 9, 0), Peers::new(3, 30), 0);
        let (mut guests, mut out, mut seq) = (0u32, [0u32; 3], 0);
        for (what, i, wait) in events {
            now += wait * MS;
            match what {
                0 | 1 => guests += u32::from(offer.admit(now)),
                2 if guests > 0 => {
                    guests -= 1;
                    let how = [RemoteOutcome::Served, RemoteOutcome::Rejected, RemoteOutcome::Disconnected][i];
                    offer.ended(now, how, (wait + 1) * MS, 40_000.0, S);
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
            prop_assert!(offer.slots(now) <= 100 && offer.in_flight == guests && guests <= 100);
            prop_assert_eq!(peers.in_flight(i), out[i]);
            prop_assert!(peers.next_change(now).is_none_or(|at| at > now));
        }
    }
}
