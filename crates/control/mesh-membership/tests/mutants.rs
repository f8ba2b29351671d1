//! The checker of the simulation detects deliberate bugs.
#![cfg(feature = "mutants")]

mod simulation;
use silvercross_mesh_membership::Mutation;
use simulation::schedules::{run, start_during_read, Case, Fault, Reachable, Starting, KEY, OLD};
use simulation::thin_links::{longest_lag, MAX_LAG, SEND_BUFFER_BYTES};
use simulation::{secs, World};

/// A node called itself current with the old entry.
fn assert_caught(world: &World) {
    let stale = world.stale_entries.iter().any(|found| found.key == KEY && found.has == Some(OLD));
    assert!(stale, "{:?}", world.stale_entries);
}

#[test]
fn a_control_node_that_answers_without_a_majority_is_caught() {
    for fault in [Fault::CutBothWays, Fault::CutIn, Fault::ResumedAlone] {
        let (starting, reachable) = (Starting::Restarts, Reachable::FirstControlNode);
        let case = Case { fault, starting, reachable, span: secs(5) };
        assert_caught(&run(&case, Some(Mutation::AnswersWithoutMajority)).1);
    }
}

#[test]
fn a_request_that_joins_the_one_in_flight_is_caught() {
    assert_caught(&start_during_read(Some(Mutation::JoinsReadInFlight)));
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
