//! Drains reported by other members: they hold until the local endpoint list reaches their version, and are bounded.

use silvercross_swim::drains::*;
use silvercross_swim::limits::MAX_DRAINS;

fn drain(host: &str, seq: u64) -> Drain {
    Drain { host: host.into(), born_ms: 7, seq }
}

#[test]
fn a_reported_drain_holds_until_the_local_list_reaches_its_version() {
    let mut d = Drains::default();
    assert!(d.set_list_version(10, true).is_empty());
    assert!(!d.add_reported(&drain("a", 10)), "covered by the local list");
    assert!(d.add_reported(&drain("a", 12)) && !d.add_reported(&drain("a", 12)));
    assert!(d.set_list_version(11, false).is_empty());
    assert!(
        d.is_draining("a", 7) && !d.is_draining("a", 8) && !d.is_draining("b", 7),
        "holds for the reported start only"
    );
    assert_eq!(d.set_list_version(12, false), [drain("a", 12)]);
    assert!(!d.is_draining("a", 7));
    assert!(!d.add_reported(&drain("a", 12)), "an old report does not restore it");
}

#[test]
fn a_full_table_evicts_the_oldest_drain() {
    let mut d = Drains::default();
    for n in 0..=MAX_DRAINS as u64 {
        d.add_reported(&drain(&format!("s{n}"), n + 1));
    }
    assert_eq!(d.reported_count(), MAX_DRAINS);
    assert!(!d.is_draining("s0", 7) && d.is_draining("s1", 7));
    assert!(!d.add_reported(&drain(&"x".repeat(MAX_HOST_BYTES + 1), 99_999)), "a name that is too long");
}
