//! Drains reported by other members: held until the own list is as new, within their bound.

use silvercross_swim::drains::*;
use silvercross_swim::limits::MAX_DRAINS;

fn drain(host: &str, seq: u64) -> Drain {
    Drain { host: host.into(), born_ms: 7, seq }
}

#[test]
fn it_holds_until_the_own_list_is_as_new_however_long_that_takes() {
    let mut d = Drains::default();
    assert!(d.list_is(10, true).is_empty());
    assert!(!d.hear(&drain("a", 10)), "the own list has said so, or that it is over");
    assert!(d.hear(&drain("a", 12)) && !d.hear(&drain("a", 12)));
    assert!(d.list_is(11, false).is_empty());
    assert!(d.holds("a", 7) && !d.holds("a", 8) && !d.holds("b", 7), "of this start of it alone");
    assert_eq!(d.list_is(12, false), [drain("a", 12)]);
    assert!(!d.holds("a", 7));
    assert!(!d.hear(&drain("a", 12)), "an old word does not bring it back");
}

#[test]
fn a_table_that_is_full_drops_the_oldest() {
    let mut d = Drains::default();
    for n in 0..=MAX_DRAINS as u64 {
        d.hear(&drain(&format!("s{n}"), n + 1));
    }
    assert_eq!(d.heard(), MAX_DRAINS);
    assert!(!d.holds("s0", 7) && d.holds("s1", 7));
    assert!(!d.hear(&drain(&"x".repeat(MAX_HOST_BYTES + 1), 99_999)), "a name past its bound");
}
