//! Drains reported by other members: held until the own list is as new, within their bound.

use silvercross_swim::drains::*;
use silvercross_swim::limits::MAX_DRAINS;

fn drain(host: &str, seq: u64) -> Drain {
    Drain { host: host.into(), born_ms: 7, seq }
}

#[test]
fn it_holds_until_the_own_list_is_as_new_however_long_that_takes() {
    let mut d = Drains::default();
    assert!(d.set_list_version(10, true).is_empty());
    assert!(!d.add_reported(&drain("a", 10)), "the own list has said so, or that it is over");
    assert!(d.add_reported(&drain("a", 12)) && !d.add_reported(&drain("a", 12)));
    assert!(d.set_list_version(11, false).is_empty());
    assert!(
        d.is_draining("a", 7) && !d.is_draining("a", 8) && !d.is_draining("b", 7),
        "of this start of it alone"
    );
    assert_eq!(d.set_list_version(12, false), [drain("a", 12)]);
    assert!(!d.is_draining("a", 7));
    assert!(!d.add_reported(&drain("a", 12)), "an old word does not bring it back");
}

#[test]
fn a_table_that_is_full_drops_the_oldest() {
    let mut d = Drains::default();
    for n in 0..=MAX_DRAINS as u64 {
        d.add_reported(&drain(&format!("s{n}"), n + 1));
    }
    assert_eq!(d.reported_count(), MAX_DRAINS);
    assert!(!d.is_draining("s0", 7) && d.is_draining("s1", 7));
    assert!(!d.add_reported(&drain(&"x".repeat(MAX_HOST_BYTES + 1), 99_999)), "a name past its bound");
}
