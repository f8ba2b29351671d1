//! The views of a fleet, and the number of senders in each.

use silvercross_swim::view::*;

#[test]
fn each_view_and_its_number_of_senders() {
    let cases = [
        ((0, 0), View::Single, None),
        ((8, 0), View::Whole, Some(9)),
        ((4, 4), View::Part, Some(9)),
        ((3, 5), View::Part, Some(9)),
        ((0, 8), View::Alone, Some(9)),
    ];
    for ((live, failed), view, senders) in cases {
        assert_eq!(View::of(live, failed), view);
        assert_eq!(view.senders(live + 1, failed), senders, "a partition never lowers the number of senders");
    }
    assert!(View::may_forget(5, 4) && !View::may_forget(4, 5) && !View::may_forget(4, 4));
    assert_eq!(View::Out.senders(4, 2), None);
}
