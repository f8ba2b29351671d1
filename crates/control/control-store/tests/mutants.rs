//! Control stores that break one rule each: the checker has to detect every one of them. Mutations that need
//! a rare order of events, and those of the replica set, are tested step by step in the other test targets,
//! such as `rules` and `planned`.
#![cfg(feature = "mutants")]

mod common;

use common::notes::KEEP_PARTIAL_CHANGES;
use common::simulation::Simulation;
use silvercross_control_store::Mutation;

/// The first violation that the checker reports, over this many schedules.
fn find_violation(mutation: Option<Mutation>, schedules: u64) -> String {
    find_violation_with(mutation, schedules, false)
}

fn find_violation_with(mutation: Option<Mutation>, schedules: u64, full_disks: bool) -> String {
    let mut seeds = (0..schedules).filter_map(|seed| {
        let machines = if seed % 4 == 0 { 5 } else { 3 };
        let mut simulation = Simulation::new(seed, machines, mutation);
        simulation.full_disks = full_disks;
        let why = simulation.run().err()?;
        // Not a violation of safety: a mutation has to cause one.
        if why.starts_with("not settled") || why.starts_with("a call after") {
            return None;
        }
        Some(format!("seed {seed}: {}", why.lines().next().unwrap_or_default()))
    });
    let why = seeds.next().unwrap_or_else(|| panic!("{mutation:?} was not found in {schedules} schedules"));
    println!("{mutation:?}: {why}");
    why
}

#[test]
fn an_answer_before_the_second_sync_is_caught() {
    find_violation(Some(Mutation::AnswersBeforeQuorum), 300);
}

#[test]
fn accepting_a_lower_epoch_append_is_caught() {
    find_violation(Some(Mutation::AcceptsLowerEpochAppends), 1_000);
}

#[test]
fn a_wiped_replica_that_votes_is_caught() {
    find_violation(Some(Mutation::VotesWithEmptyDisk), 300);
}

#[test]
fn a_claim_without_a_quorum_is_caught() {
    find_violation(Some(Mutation::ClaimsWithoutQuorum), 300);
}

#[test]
fn a_read_without_epoch_confirmation_is_caught() {
    find_violation(Some(Mutation::ReadsWithoutConfirmation), 300);
}

#[test]
fn a_partially_applied_change_is_caught() {
    KEEP_PARTIAL_CHANGES.set(true);
    let why = find_violation(Some(Mutation::KeepsPartialChange), 50);
    KEEP_PARTIAL_CHANGES.set(false);
    assert!(why.contains("rejected and in force") || why.contains("part of a call"), "{why}");
}

#[test]
fn a_promise_sent_despite_a_failed_write_is_caught() {
    find_violation_with(Some(Mutation::ConfirmsFailedWrites), 600, true);
}

#[test]
fn a_restart_without_stored_state_is_caught() {
    find_violation(Some(Mutation::StartsWithoutStoredState), 300);
}

#[test]
fn a_claim_with_an_older_value_is_caught() {
    find_violation(Some(Mutation::ClaimsWithOlderValue), 300);
}

#[test]
fn installing_an_older_snapshot_is_caught() {
    find_violation(Some(Mutation::InstallsOlderSnapshots), 2_000);
}

#[test]
fn a_restart_without_stored_promises_is_caught() {
    find_violation(Some(Mutation::ForgetsStoredPromises), 300);
}
