//! One rule broken at a time: the judge of the drawn schedules finds each.

mod common;

use common::World;
use silvercross_quota::{break_on_purpose, Broken};

fn caught(broken: Broken, word: &str) {
    break_on_purpose(Some(broken));
    let found = (0..3_000).find_map(|seed| {
        let why = World::new(seed).run().err().filter(|why| why.contains(word))?;
        Some((seed, why))
    });
    break_on_purpose(None);
    let (seed, why) = found.unwrap_or_else(|| panic!("{broken:?} was not found"));
    println!("{broken:?}: seed {seed}: {why}");
    assert!(World::new(seed).run().is_ok(), "the schedule is good where no rule is broken");
}

#[test]
fn a_part_that_is_not_fenced_is_caught() {
    caught(Broken::PartNotFenced, "beyond the allowance");
}

#[test]
fn a_charge_by_try_is_caught() {
    caught(Broken::ChargeByTry, "the plain counter says");
}

#[test]
fn a_give_back_of_what_may_have_run_is_caught() {
    caught(Broken::GivesBackUnknown, "given back what may have run");
}

#[test]
fn a_window_by_a_nodes_own_clock_is_caught() {
    caught(Broken::WindowByOwnClock, "accepted");
}

#[test]
fn a_part_counted_twice_at_a_hand_over_is_caught() {
    caught(Broken::CountedTwice, "the plain counter says");
}
