//! Breaks one rule at a time; the checker of the random schedules must detect each.

mod common;

use common::World;
use silvercross_quota::{set_mutation, Mutation};

fn assert_detected(mutation: Mutation, message: &str) {
    set_mutation(Some(mutation));
    let detected = (0..3_000).find_map(|seed| {
        let error = World::new(seed).run().err().filter(|error| error.contains(message))?;
        Some((seed, error))
    });
    set_mutation(None);
    let (seed, error) = detected.unwrap_or_else(|| panic!("{mutation:?} was not detected"));
    println!("{mutation:?}: seed {seed}: {error}");
    assert!(World::new(seed).run().is_ok(), "the schedule passes when no rule is broken");
}

#[test]
fn a_lost_lease_that_is_reused_is_caught() {
    assert_detected(Mutation::ReusesLostLeases, "exceeds the allowance");
}

#[test]
fn a_charge_of_each_attempt_is_caught() {
    assert_detected(Mutation::ChargesEachAttempt, "the model expects");
}

#[test]
fn a_refund_of_what_may_have_run_is_caught() {
    assert_detected(Mutation::RefundsUnknown, "refunded what may have run");
}

#[test]
fn a_window_by_a_nodes_own_clock_is_caught() {
    assert_detected(Mutation::EndsWindowByOwnClock, "accepted");
}

#[test]
fn a_lease_counted_twice_at_a_hand_over_is_caught() {
    assert_detected(Mutation::CountsSettledTwice, "the model expects");
}
