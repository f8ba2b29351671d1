//! One directed schedule for each case of points 1 to 4 that is of control machines and sidecars.

mod common;

use common::*;

fn holds<T>(name: String, outcome: Result<T, String>) -> T {
    outcome.unwrap_or_else(|why| panic!("{name}: {why}"))
}

#[test]
fn a_control_machine_that_is_cut_off_tells_nothing_old_and_acknowledges_nothing() {
    for case in 0..36 {
        let (of_owner, from_all) = (case % 2 == 0, case % 4 < 2);
        let way = [Way::Both, Way::In, Way::Out][case / 4 % 3];
        let span = [5, 20, 60][case / 12];
        let name = format!("owner {of_owner}, from all {from_all}, {way:?}, {span} s");
        holds(name, cut_control_machine(of_owner, way, span * S, from_all, None));
    }
}

#[test]
fn an_owner_that_stood_still_tells_nothing_old() {
    for also_cut in [false, true] {
        holds(format!("cut {also_cut}"), frozen_owner(also_cut, None));
    }
}

#[test]
fn a_sidecar_with_a_newer_version_does_not_go_back_on_the_cut_side() {
    holds("back".to_owned(), back_to_the_cut_side());
}

#[test]
fn a_sidecar_below_old_state_is_not_ready_until_a_majority_has_told_or_the_bound_has_passed() {
    use Below::*;
    for below in [Joins, Restarts, UnderRelay] {
        for away in [3, 12] {
            holds(format!("{below:?}, {away} s"), sidecar_below_old_state(below, away * S, None));
        }
    }
}

#[test]
fn a_sidecar_that_starts_where_all_is_well_is_soon_ready() {
    for sidecars in [1, 8] {
        let took = holds(format!("{sidecars}"), ready_in(sidecars));
        println!("one of {sidecars} sidecars is ready after {took} us");
        assert!(took < S, "{took} us");
    }
}

#[test]
fn one_number_is_confirmed_to_one_operator() {
    for first in 0..3 {
        for second in 0..3 {
            for owner_stops in [false, true] {
                let name = format!("through {first} and {second}, owner stops {owner_stops}");
                holds(name, one_number_twice(first, second, owner_stops));
            }
        }
    }
}

#[test]
fn a_call_that_is_sent_again_after_no_answer_is_acknowledged() {
    use Between::*;
    for between in [OtherItems, OwnerChange, RestartOfAll, Wipe, Replacement, Drop] {
        holds(format!("{between:?}"), repeat_after(between));
    }
}

#[test]
fn eight_calls_at_once_are_acknowledged_and_what_needs_them_is_valid() {
    holds("eight".to_owned(), eight_at_once());
}

#[test]
fn power_lost_at_any_time_of_a_replacement_loses_nothing() {
    let mut joint = 0;
    for planned in [true, false] {
        for spared in [None, Some(1), Some(3)] {
            for step in 0..12 {
                // In plan it begins at once; who is lost is replaced after 4 s.
                let after = if planned { step * 2_000 } else { 4_000_000 + step * 150_000 };
                let name = format!("planned {planned}, {spared:?} spared, after {after} us");
                joint += u64::from(holds(name, power_in_a_replacement(planned, after, spared)));
            }
        }
    }
    assert!(joint >= 6, "not reached: power lost in a joint change, {joint} times");
}

#[test]
fn a_replica_wiped_right_after_the_step_is_not_repaired_as_of_before_it() {
    holds("wiped".to_owned(), wiped_after_the_step(None));
}

#[test]
fn a_newcomer_that_is_wiped_twice_loses_nothing() {
    let mut coming = 0;
    for step in 0..20 {
        let after = step * 40_000;
        coming += u64::from(holds(format!("after {after} us"), newcomer_wiped(after)));
    }
    assert!(coming >= 5, "not reached: wiped while it comes, {coming} times");
}

#[test]
fn a_removed_replica_beside_one_other_acknowledges_nothing() {
    holds("removed".to_owned(), removed_beside_one_other(None));
}

#[test]
fn whoever_was_away_for_hundreds_of_changes_catches_up() {
    use Behind::*;
    for behind in [Restarted, Wiped, Cut, SidecarRestarted] {
        for changes in [300, 1_000] {
            let took = holds(format!("{behind:?}, {changes}"), catch_up(behind, changes));
            println!("{behind:?} for {changes} changes: has all after {took} us");
            assert!(took <= 5 * S, "{behind:?}, {changes} changes: {took} us");
        }
    }
}
