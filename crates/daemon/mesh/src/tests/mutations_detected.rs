//! Mutation tests of the checker of interrupted requests: each rule that a mutation breaks must be reported.
use crate::mutation::{self, Mutation};
use crate::tests::interrupted_requests::{run_case, selected_cases};

/// The first violation that the checker reports under this mutation; empty if there is none.
fn first_violation(mutation: Mutation) -> String {
    let cases = selected_cases();
    mutation::set_mutation(Some(mutation));
    let violation = cases.iter().enumerate().find_map(|(number, case)| {
        let violation = run_case(*case, number).violations.into_iter().next();
        violation.map(|violation| format!("{case:?}: {violation}"))
    });
    mutation::set_mutation(None);
    violation.unwrap_or_default()
}

#[test]
fn forgetting_an_attempt_early_is_detected() {
    let violation = first_violation(Mutation::ReplayEntryForgotten);
    assert!(violation.contains("TWICE"), "{violation:?}");
}

#[test]
fn reusing_a_connection_after_a_surplus_byte_is_detected() {
    let violation = first_violation(Mutation::SurplusBytesKept);
    assert!(violation.contains("surplus byte"), "{violation:?}");
}

#[test]
fn resending_after_a_reset_of_a_reused_connection_is_detected() {
    let violation = first_violation(Mutation::NonIdempotentRetried);
    assert!(violation.contains("TWICE") || violation.contains("REFUSED"), "{violation:?}");
    assert!(violation.contains("is_warm: true"), "{violation:?}");
}

#[test]
fn trusting_another_incarnation_is_detected() {
    let violation = first_violation(Mutation::AnyIncarnation);
    assert!(violation.contains("TWICE") || violation.contains("REFUSED"), "{violation:?}");
    assert!(violation.contains("Restart"), "{violation:?}");
}

#[test]
fn starting_a_request_queried_before_it_arrived_is_detected() {
    let violation = first_violation(Mutation::LateStartAllowed);
    assert!(violation.contains("TWICE") || violation.contains("REFUSED"), "{violation:?}");
    assert!(violation.contains("DelayedRequest"), "{violation:?}");
}

#[test]
fn serving_a_departed_client_is_detected() {
    use crate::tests::departed_clients::departure_is_detected;
    assert!(departure_is_detected());
    mutation::set_mutation(Some(Mutation::DepartedClientServed));
    let detected = departure_is_detected();
    mutation::set_mutation(None);
    assert!(!detected, "the mutation was not detected: the request of a departed client was ended");
}
