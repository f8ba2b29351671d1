//! One rule changed at a time: the checker of the drawn schedules finds each.

mod common;

use common::World;
use silvercross_quota::{set_mutation, Mutation};

fn caught(mutation: Mutation, word: &str) {
    set_mutation(Some(mutation));
    let found = (0..3_000).find_map(|seed| {
        let why = World::new(seed).run().err().filter(|why| why.contains(word))?;
        Some((seed, why))
    });
    set_mutation(None);
    let (seed, why) = found.unwrap_or_else(|| panic!("{mutation:?} was not found"));
    println!("{mutation:?}: seed {seed}: {why}");
    assert!(World::new(seed).run().is_ok(), "the schedule is good where no rule is broken");
}

#[test]
fn a_lost_lease_that_is_reused_is_caught() {
    caught(Mutation::ReusesLostLeases, "beyond the allowance");
}

#[test]
fn a_charge_of_each_attempt_is_caught() {
    caught(Mutation::ChargesEachAttempt, "the plain counter says");
}

#[test]
fn a_refund_of_what_may_have_run_is_caught() {
    caught(Mutation::RefundsUnknown, "given back what may have run");
}

#[test]
fn a_window_by_a_nodes_own_clock_is_caught() {
    caught(Mutation::EndsWindowByOwnClock, "accepted");
}

#[test]
fn a_lease_counted_twice_at_a_hand_over_is_caught() {
    caught(Mutation::CountsSettledTwice, "the plain counter says");
}
