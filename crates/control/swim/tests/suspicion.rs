//! The suspicion timeout.

use silvercross_swim::identity::Identity;
use silvercross_swim::limits::SUSPICION_BETA;
use silvercross_swim::suspicion::*;
use silvercross_swim::Micros;

#[test]
fn the_timeout_shrinks_with_independent_confirmations_to_its_minimum() {
    let id = |n| Identity(n);
    let mut s = Suspicion::begin(0, id(1), 12, 1_000_000);
    let mut last = s.deadline();
    assert_eq!(last, (min_timeout(12, 1_000_000) as f64 * SUSPICION_BETA) as Micros);
    assert!(!s.confirm(id(1)), "the first reporter does not confirm");
    for n in 2..5 {
        assert!(s.confirm(id(n)));
        assert!(s.deadline() < last);
        last = s.deadline();
    }
    assert_eq!(last, min_timeout(12, 1_000_000));
    assert!(!s.confirm(id(9)), "further confirmations have no effect");
}

#[test]
fn a_fleet_of_two_waits_for_no_confirmation() {
    assert_eq!(Suspicion::begin(5, Identity(1), 2, 10).deadline(), 5 + min_timeout(2, 10));
}
