//! How long a suspicion lasts.

use silvercross_swim::identity::Identity;
use silvercross_swim::limits::SUSPICION_BETA;
use silvercross_swim::suspicion::*;
use silvercross_swim::Micros;

#[test]
fn it_shrinks_with_independent_suspicions_to_its_least_and_no_further() {
    let id = |n| Identity(n);
    let mut s = Suspicion::begin(0, id(1), 12, 1_000_000);
    let mut last = s.deadline();
    assert_eq!(last, (min_timeout(12, 1_000_000) as f64 * SUSPICION_BETA) as Micros);
    assert!(!s.confirm(id(1)), "the first one again is no confirmation");
    for n in 2..5 {
        assert!(s.confirm(id(n)));
        assert!(s.deadline() < last);
        last = s.deadline();
    }
    assert_eq!(last, min_timeout(12, 1_000_000));
    assert!(!s.confirm(id(9)), "more count no more");
}

#[test]
fn two_have_nobody_to_wait_for() {
    assert_eq!(Suspicion::begin(5, Identity(1), 2, 10).deadline(), 5 + min_timeout(2, 10));
}
