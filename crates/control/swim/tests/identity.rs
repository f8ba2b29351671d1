//! Identities and incarnations: order over starts and refutations, parsing and formatting.

use silvercross_swim::identity::*;

#[test]
fn a_later_start_is_newer_than_all_refutations_before_it() {
    let mut i = Incarnation::at_start(3);
    for _ in 0..1000 {
        i = i.above(i);
    }
    assert_eq!(i.start_number(), 3);
    assert!(Incarnation::at_start(4) > i && i > Incarnation::at_start(3));
    let at_end = Incarnation((3 << 32) | 0xffff_ffff);
    assert_eq!(i.above(at_end).start_number(), 3, "the refutation count saturates");
}

#[test]
fn an_identity_is_parsed_as_formatted() {
    let i = Identity(0xab);
    assert_eq!(i.to_string().parse(), Ok(i));
    for bad in ["", "0", "0000000000000000", "xyz", "1", "11112222333344445"] {
        assert!(bad.parse::<Identity>().is_err(), "{bad:?}");
    }
}
