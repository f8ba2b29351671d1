//! Control stores that break one rule each: the checker has to detect every one of them. Mutations that need
//! a rare order of events, and those of the replica set, are tested step by step in the other test targets,
//! such as `rules` and `planned`.
#![cfg(feature = "mutants")]

mod common;

use common::notes::KEEPS_PARTS;
use common::simulation::Simulation;
use silvercross_control_store::Mutation;

/// The first violation that the checker reports, over this many schedules.
fn caught(mutation: Option<Mutation>, schedules: u64) -> String {
    caught_with(mutation, schedules, false)
}

fn caught_with(mutation: Option<Mutation>, schedules: u64, full_disks: bool) -> String {
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
    caught(Some(Mutation::AnswersBeforeQuorum), 300);
}

#[test]
fn an_old_owners_copy_that_is_taken_is_caught() {
    caught(Some(Mutation::AcceptsLowerEpochAppends), 1_000);
}

#[test]
fn a_wiped_replica_that_votes_is_caught() {
    caught(Some(Mutation::VotesWithEmptyDisk), 300);
}

#[test]
fn a_take_over_that_reads_too_few_is_caught() {
    caught(Some(Mutation::ClaimsWithoutQuorum), 300);
}

#[test]
fn a_read_without_a_question_is_caught() {
    caught(Some(Mutation::ReadsWithoutConfirmation), 300);
}

#[test]
fn part_of_a_call_in_force_is_caught() {
    KEEPS_PARTS.set(true);
    let why = caught(Some(Mutation::KeepsPartialChange), 50);
    KEEPS_PARTS.set(false);
    assert!(why.contains("rejected and in force") || why.contains("part of a call"), "{why}");
}

#[test]
fn a_promise_told_although_its_write_failed_is_caught() {
    caught_with(Some(Mutation::ConfirmsFailedWrites), 600, true);
}

#[test]
fn a_restart_that_claims_before_it_has_read_its_disk_is_caught() {
    caught(Some(Mutation::StartsWithoutStoredState), 300);
}

#[test]
fn a_claimer_that_is_behind_and_leads_is_caught() {
    caught(Some(Mutation::ClaimsWithOlderValue), 300);
}

#[test]
fn an_old_whole_value_in_the_place_of_a_later_one_is_caught() {
    caught(Some(Mutation::InstallsOlderSnapshots), 2_000);
}

#[test]
fn a_restart_before_the_promises_are_read_is_caught() {
    caught(Some(Mutation::ForgetsStoredPromises), 300);
}
