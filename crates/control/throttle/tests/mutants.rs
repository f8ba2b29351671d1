//! Mutants that break one rule each: the reference model detects every one, with the expected message.
#![cfg(feature = "mutants")]

mod common;

use common::{schedule, Simulation};
use silvercross_throttle::Mutation;

/// Asserts that the model detects a mutation within `schedules` schedules, with a message that contains `expected`.
fn assert_detected(mutation: Mutation, schedules: u64, expected: &str) {
    let found = (0..schedules).find_map(|seed| {
        let message = Simulation::new(seed, Some(mutation)).run(&schedule(seed)).err()?;
        message.contains(expected).then_some((seed, message))
    });
    let (seed, message) =
        found.unwrap_or_else(|| panic!("{mutation:?} was not detected in {schedules} schedules"));
    println!("{mutation:?}, seed {seed}: {message}");
}

#[test]
fn a_lapse_by_the_owners_own_clock_is_caught() {
    assert_detected(Mutation::OwnClock, 500, "lapsed at");
}

#[test]
fn a_step_from_local_time_is_caught() {
    assert_detected(Mutation::StepFromLocalTime, 50, "a node in touch is at step");
}

#[test]
fn a_delay_by_node_is_caught() {
    assert_detected(Mutation::DelayByNode(0), 50, "on another at");
}

#[test]
fn a_rejection_mid_request_is_caught() {
    assert_detected(Mutation::RejectionMidRequest, 200, "Reject {");
}

#[test]
fn a_step_lost_at_a_hand_over_is_caught() {
    assert_detected(Mutation::StepLostAtHandOver, 200, "stalls at");
}

#[test]
fn a_step_doubled_at_a_hand_over_is_caught() {
    assert_detected(Mutation::StepDoubledAtHandOver, 200, "the one before at");
}
