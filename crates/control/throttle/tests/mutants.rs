//! Parts that break one rule each: the model finds every one of them, for its own reason.
#![cfg(feature = "mutants")]

mod common;

use common::{schedule, World};
use silvercross_throttle::Mutation;

/// The model finds it within so many schedules, in these words.
fn caught(mutation: Mutation, schedules: u64, words: &str) {
    let found = (0..schedules).find_map(|seed| {
        let why = World::new(seed, Some(mutation)).run(&schedule(seed)).err()?;
        why.contains(words).then_some((seed, why))
    });
    let (seed, why) = found.unwrap_or_else(|| panic!("{mutation:?} was not found in {schedules} schedules"));
    println!("{mutation:?}, seed {seed}: {why}");
}

#[test]
fn a_lapse_by_the_owners_own_clock_is_caught() {
    caught(Mutation::OwnClock, 500, "lapsed at");
}

#[test]
fn a_step_from_local_time_is_caught() {
    caught(Mutation::StepFromLocalTime, 50, "a node in touch stands at");
}

#[test]
fn a_delay_by_node_is_caught() {
    caught(Mutation::DelayByNode(0), 50, "on another at");
}

#[test]
fn a_refusal_midway_is_caught() {
    caught(Mutation::RejectionMidRequest, 200, "Reject {");
}

#[test]
fn a_step_lost_at_a_hand_over_is_caught() {
    caught(Mutation::StepLostAtHandOver, 200, "stalls at");
}

#[test]
fn a_step_doubled_at_a_hand_over_is_caught() {
    caught(Mutation::StepDoubledAtHandOver, 200, "the one before at");
}
