//! Checks that break one rule each are found by the judge of the world.
#![cfg(feature = "mutants")]

mod common;
use common::starts::{run, starts_during_a_read, Case, Trouble, Ways, Who};
use common::S;
use silvercross_mesh_membership::Mutation;

fn caught(found: &[String]) {
    assert!(found.iter().any(|found| found.contains("is current with k Some((1, 0, 0))")), "{found:?}");
}

#[test]
fn a_core_node_that_answers_without_a_majority_is_caught() {
    for trouble in [Trouble::CutBothWays, Trouble::CutIn, Trouble::Alone] {
        let case = Case { trouble, who: Who::Restarts, ways: Ways::Below, span: 5 * S };
        caught(&run(&case, Some(Mutation::AnswersWithoutMajority)).1.found);
    }
}

#[test]
fn a_request_that_joins_the_one_under_way_is_caught() {
    caught(&starts_during_a_read(Some(Mutation::JoinsReadInFlight)).found);
}
