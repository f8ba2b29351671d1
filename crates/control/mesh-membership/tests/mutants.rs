//! Checks in which one rule each is changed on purpose are caught by the simulation's checker.
#![cfg(feature = "mutants")]

mod simulation;
use silvercross_mesh_membership::Mutation;
use simulation::schedules::{run, starts_during_a_read, Case, Fault, Reachable, Starting, KEY, OLD};
use simulation::thin_links::{longest_lag, MAX_LAG, SEND_BUFFER_BYTES};
use simulation::{secs, World};

/// A node called itself current with the old entry.
fn assert_caught(world: &World) {
    let stale = world.found.iter().any(|found| found.key == KEY && found.has == Some(OLD));
    assert!(stale, "{:?}", world.found);
}

#[test]
fn a_control_node_that_answers_without_a_majority_is_caught() {
    for fault in [Fault::CutBothWays, Fault::CutIn, Fault::Alone] {
        let (starting, reachable) = (Starting::Restarts, Reachable::Below);
        let case = Case { fault, starting, reachable, span: secs(5) };
        assert_caught(&run(&case, Some(Mutation::AnswersWithoutMajority)).1);
    }
}

#[test]
fn a_request_that_joins_the_one_in_flight_is_caught() {
    assert_caught(&starts_during_a_read(Some(Mutation::JoinsReadInFlight)));
}

#[test]
fn a_relay_that_sends_every_version_falls_behind() {
    let lag = longest_lag(1, 0, Some(Mutation::SendsEveryVersion));
    assert!(lag.is_none_or(|lag| lag > MAX_LAG * 2), "{lag:?}");
}

#[test]
fn a_node_that_asks_for_every_version_falls_behind() {
    let lag = longest_lag(1, SEND_BUFFER_BYTES, Some(Mutation::AsksForEveryVersion));
    assert!(lag.is_none_or(|lag| lag > MAX_LAG * 2), "{lag:?}");
}
